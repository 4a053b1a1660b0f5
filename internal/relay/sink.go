package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/stream"
)

// keepAliveInterval is the time between keep-alive comments to a caller that waits for a whole answer.
const keepAliveInterval = 5 * time.Second

// sink delivers the events of a generation to the caller.
type sink interface {
	start(stream.StartData) error
	token(stream.EventID, string) error
	restart(stream.RestartData) error
	event(name string, data any) error
	done(stream.DoneData) error
	// buffered reports whether the sink withholds tokens until done.
	buffered() bool
}

func newSink(call *Call, w *stream.Writer, maxBytes int) sink {
	if call.Service.Delivery == entity.DeliverWhole {
		return &bufferedSink{w: w, maxBytes: maxBytes}
	}
	return directSink{w}
}

// directSink writes each token as it arrives.
type directSink struct{ w *stream.Writer }

func (s directSink) start(d stream.StartData) error             { return s.w.WriteEvent(stream.EventStart, d) }
func (s directSink) token(id stream.EventID, text string) error { return s.w.WriteToken(id, text) }
func (s directSink) restart(d stream.RestartData) error {
	return s.w.WriteEvent(stream.EventRestart, d)
}
func (s directSink) event(name string, data any) error { return s.w.WriteEvent(name, data) }
func (s directSink) done(d stream.DoneData) error      { return s.w.WriteEvent(stream.EventDone, d) }
func (s directSink) buffered() bool                    { return false }

// bufferedSink buffers the answer until it is complete, so that a lost generation can be
// replaced without the caller noticing.
type bufferedSink struct {
	w             *stream.Writer
	maxBytes      int
	textBytes     int
	startData     stream.StartData
	ids           []stream.EventID
	texts         []string
	lastKeepAlive time.Time
}

func (s *bufferedSink) start(d stream.StartData) error { s.startData = d; return nil }

func (s *bufferedSink) token(id stream.EventID, text string) error {
	s.textBytes += len(text)
	if s.textBytes > s.maxBytes {
		return failure.New(failure.BodyTooLarge, "the answer exceeds %d bytes, the limit of a service that delivers whole answers", s.maxBytes)
	}
	s.ids = append(s.ids, id)
	s.texts = append(s.texts, text)
	if now := time.Now(); now.Sub(s.lastKeepAlive) > keepAliveInterval {
		s.lastKeepAlive = now
		return s.w.WriteKeepAlive()
	}
	return nil
}

func (s *bufferedSink) restart(stream.RestartData) error {
	s.ids, s.texts, s.textBytes = nil, nil, 0
	return nil
}

func (s *bufferedSink) event(name string, data any) error { return s.w.WriteEvent(name, data) }
func (s *bufferedSink) buffered() bool                    { return true }

func (s *bufferedSink) done(d stream.DoneData) error {
	if err := s.w.WriteEvent(stream.EventStart, s.startData); err != nil {
		return err
	}
	for i, id := range s.ids {
		if err := s.w.WriteToken(id, s.texts[i]); err != nil {
			return err
		}
	}
	return s.w.WriteEvent(stream.EventDone, d)
}

func itoa(n int) string { return strconv.Itoa(n) }

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
