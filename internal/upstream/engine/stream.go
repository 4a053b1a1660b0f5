package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	drainTimeout    = 100 * time.Millisecond
	maxTrailerBytes = 4 << 10
)

var errSilent = errors.New("no token within the token time-out")

// stream implements upstream.TokenStream. The silence timer runs only while
// Next waits, so a slow reader is not taken for a silent engine.
type stream struct {
	ctx     context.Context // of the HTTP request
	cancel  context.CancelCauseFunc
	timeout time.Duration
	silence *time.Timer
	body    io.ReadCloser
	parser  *parser
	failed  error
}

// Next returns the next token, io.EOF after the end, or an error that wraps ErrLost.
func (s *stream) Next() (upstream.Token, error) {
	if s.failed != nil {
		return upstream.Token{}, s.failed
	}
	s.silence.Reset(s.timeout)
	t, err := s.parser.token()
	s.silence.Stop()
	if err != nil {
		s.failed = s.explain(err)
		return upstream.Token{}, s.failed
	}
	return t, nil
}

// explain adds why the request's context ended, if it did.
func (s *stream) explain(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", upstream.ErrLost, cause)
	}
	return err
}

// Close releases the connection; the engine keeps the generation for its resume
// window. After the end it reads the trailer, so that the connection is reused.
func (s *stream) Close() error {
	s.silence.Stop()
	if s.parser.finished && s.failed == nil {
		s.silence.Reset(drainTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxTrailerBytes))
		s.silence.Stop()
	}
	s.cancel(nil)
	return s.body.Close()
}
