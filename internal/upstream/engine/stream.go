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
	trailerTimeout  = 100 * time.Millisecond
	maxTrailerBytes = 4 << 10
)

var errTokenTimeout = errors.New("engine sent no token within the token timeout")

// stream implements upstream.TokenStream. silenceTimer runs only while Next waits, so
// that a slow reader does not cause a timeout.
type stream struct {
	ctx          context.Context // of the HTTP request
	cancel       context.CancelCauseFunc
	tokenTimeout time.Duration
	silenceTimer *time.Timer
	body         io.ReadCloser
	parser       *parser
	err          error // of the first failed Next
}

// Next returns the next token, io.EOF after the end, or an error that wraps ErrLost.
func (s *stream) Next() (upstream.Token, error) {
	if s.err != nil {
		return upstream.Token{}, s.err
	}
	s.silenceTimer.Reset(s.tokenTimeout)
	t, err := s.parser.nextToken()
	s.silenceTimer.Stop()
	if err != nil {
		s.err = s.withContextCause(err)
		return upstream.Token{}, s.err
	}
	return t, nil
}

// withContextCause replaces err by the cause of the request's context if that has ended,
// unless the stream is complete.
func (s *stream) withContextCause(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", upstream.ErrLost, cause)
	}
	return err
}

// Close releases the connection. The engine keeps the generation for its resume
// window. If the stream is complete, Close first reads the rest of the response, so
// that the connection can be reused.
func (s *stream) Close() error {
	s.silenceTimer.Stop()
	if s.parser.finished && s.err == nil {
		s.silenceTimer.Reset(trailerTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxTrailerBytes))
		s.silenceTimer.Stop()
	}
	s.cancel(nil)
	return s.body.Close()
}
