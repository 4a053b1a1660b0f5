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

var errTokenTimeout = errors.New("no token within the token time-out")

// stream implements upstream.TokenStream. The silence timer runs only while
// Next waits, so a slow reader is not taken for a silent engine.
type stream struct {
	ctx          context.Context // of the HTTP request
	cancel       context.CancelCauseFunc
	tokenTimeout time.Duration
	silenceTimer *time.Timer
	body         io.ReadCloser
	parser       *parser
	err          error
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

// withContextCause adds why the request's context ended, if it did.
func (s *stream) withContextCause(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", upstream.ErrLost, cause)
	}
	return err
}

// Close releases the connection; the engine keeps the generation for its resume
// window. After the end it reads the trailer, so that the connection is reused.
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
