package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/hop"
)

const (
	// callerWriteTimeout bounds a write to a caller that does not read.
	callerWriteTimeout = 10 * time.Second
	// silenceFactor times the route's event gap is the silence after which a
	// resumable stream goes on at another upstream.
	silenceFactor = 6
)

var (
	errEventOrder = errors.New("an event of the stream is missing or comes twice")
	// errRepeatedEvent marks an event that the caller has already.
	errRepeatedEvent = errors.New("the event was delivered before")
)

// stream is a stream in progress. Its relay goroutine owns the response; the
// mover reads the progress and sets a handoff.
type stream struct {
	call *call

	mu sync.Mutex
	// running is set while a run is in progress; only then can the stream be moved.
	running  bool
	upstream *catalog.Upstream
	events   int
	lastID   int64
	handoff  *handoff

	// full lists the engines that refused a copy, and crowded is set once no engine
	// had room; only the mover uses them.
	full    []string
	crowded bool
}

// handoff is the move of a run to another engine.
type handoff struct {
	// done is closed once the outcome is known.
	done chan struct{}
	// target is where the stream goes on; nil if the move failed.
	target *catalog.Upstream
	copy   string
	// fallback is the source, which keeps the memory of a run that it stopped.
	fallback *catalog.Upstream
	// notStopped is set if the source refused to stop the run.
	notStopped bool
}

// progress returns the upstream and the number of events while a run is in progress.
func (s *stream) progress() (u *catalog.Upstream, events int, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstream, s.events, s.running && s.handoff == nil
}

// beginHandoff announces a move. It fails if the run on the upstream has ended.
func (s *stream) beginHandoff(source *catalog.Upstream) *handoff {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running || s.handoff != nil || s.upstream.ID != source.ID {
		return nil
	}
	s.handoff = &handoff{done: make(chan struct{}), fallback: source}
	return s.handoff
}

// abandonHandoff takes a handoff back whose run the source did not stop.
func (s *stream) abandonHandoff(h *handoff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handoff == h {
		s.handoff = nil
	}
	h.notStopped = true
	close(h.done)
}

// moving reports whether the run is being stopped for a move.
func (s *stream) moving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handoff != nil
}

// stopped reports whether a run that has ended was stopped for a move. A stream
// without a stated end then ends like a complete one. It waits for the source's word.
func (s *stream) stopped(ctx context.Context) bool {
	s.mu.Lock()
	h := s.handoff
	s.mu.Unlock()
	if h == nil {
		return false
	}
	select {
	case <-h.done:
		return !h.notStopped
	case <-ctx.Done():
		return true
	}
}

func (s *stream) takeHandoff() *handoff {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handoff
	s.handoff = nil
	s.running = false
	return h
}

func (s *stream) started(u *catalog.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstream, s.running = u, true
}

// serveStream relays a stream. It goes on at another upstream after a move, and
// where the route allows it after a loss.
func (c *call) serveStream() {
	c.g.retries.RecordRequest(c.service.Name, c.began)
	s := &stream{call: c, lastID: -1}
	if id, err := strconv.ParseInt(c.info.ResumeAfter, 10, 64); err == nil {
		s.lastID = id
	}
	err := c.tryUpstreams(func(u *catalog.Upstream) (bool, error) {
		err := c.run(s, u)
		return err != nil && c.mayTryAgain(), err
	})
	switch {
	case err == nil:
	case c.entry.events > 0:
		c.endCut(err.Error())
	default:
		c.failWithout(err.Error())
	}
}

func (c *call) endCut(reason string) {
	if c.r.Context().Err() != nil {
		c.gone()
	}
	c.abort(reason)
}

// run relays one run of the stream with its moves. A nil error means that the
// stream is complete.
func (c *call) run(s *stream, u *catalog.Upstream) error {
	d := Dispatch{}
	if c.entry.events > 0 {
		d.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	var source *catalog.Upstream // of a move, while it may still hold the run's memory
	for {
		result, err := c.runAt(s, u, d)
		if err == nil {
			return nil
		}
		h := s.takeHandoff()
		switch {
		case c.ctx.Err() != nil:
			return err
		case h != nil:
			if d, u = c.awaitMove(s, h); u == nil {
				return err
			}
			source = h.fallback
			c.entry.moves++
		case result == notRun && source != nil && source != u:
			// The destination refused the copy; the source holds the memory for a while.
			u, source = source, nil
		default:
			return err
		}
	}
}

// awaitMove waits for the outcome of a move and returns how the stream goes on.
func (c *call) awaitMove(s *stream, h *handoff) (Dispatch, *catalog.Upstream) {
	select {
	case <-h.done:
	case <-c.ctx.Done():
		return Dispatch{}, nil
	}
	if h.target == nil {
		return Dispatch{}, nil
	}
	d := Dispatch{Copy: h.copy}
	if s.lastID >= 0 {
		d.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	return d, h.target
}

// runAt sends the request to an upstream and relays its events until the end.
func (c *call) runAt(s *stream, u *catalog.Upstream, d Dispatch) (exchangeResult, error) {
	c.held = balance.Load{Requests: 1, Tokens: c.tokens()}
	if d.Copy == "" {
		c.held.PendingPromptTokens = c.info.PromptTokens
	}
	c.g.Loads.AddLoad(u.ID, c.held)
	defer func() { c.g.Loads.RemoveLoad(u.ID, c.held) }()
	s.started(u)
	c.g.streams.add(s)
	defer c.g.streams.remove(s)
	response, result, err := c.dispatch(u, d)
	if err != nil || result != answered {
		return result, err
	}
	defer response.Close()
	if response.Status >= http.StatusMultipleChoices {
		return c.passFailure(u, response)
	}
	return c.relay(s, u, response)
}

// passFailure passes on an upstream's failure, or returns an error if the request may run again.
func (c *call) passFailure(u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxWholeAnswer))
	if err != nil {
		c.lost(u)
		return unknown, err
	}
	c.report(u, true, 0, 0)
	c.g.Loads.RecordFailure(u.ID, time.Now())
	if c.mayRunAgain() || c.entry.events > 0 {
		return unknown, errors.New("upstream failed with status " + strconv.Itoa(response.Status))
	}
	c.passOn(&answer{response.Status, response.Header, body})
	return answered, nil
}

// relay forwards events as they arrive.
func (c *call) relay(s *stream, u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	events := newEventReader(response)
	out := http.NewResponseController(c.w)
	for {
		c.boundSilence(response)
		e, err := events.next()
		if err == nil {
			err = s.accept(e)
		}
		if errors.Is(err, errRepeatedEvent) {
			continue
		}
		if errors.Is(err, io.EOF) && (response.Framed || !s.stopped(c.ctx)) {
			return c.complete(u, response)
		}
		if err != nil {
			return c.broken(s, u, err)
		}
		if c.entry.events == 0 {
			copyHeader(c.w.Header(), response.Header)
			c.w.WriteHeader(response.Status)
			c.entry.status, c.entry.firstEvent = response.Status, time.Since(c.began)
		}
		c.entry.events++
		c.promptRead(u)
		// A caller that has left is noticed by its context as well.
		_ = out.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := c.w.Write(e.raw); err != nil {
			c.gone()
		}
		if !events.buffered() {
			if err := out.Flush(); err != nil {
				c.gone()
			}
		}
	}
}

// promptRead notes that the engine has read the prompt.
func (c *call) promptRead(u *catalog.Upstream) {
	if c.held.PendingPromptTokens > 0 {
		c.g.Loads.RemoveLoad(u.ID, balance.Load{PendingPromptTokens: c.held.PendingPromptTokens})
		c.held.PendingPromptTokens = 0
	}
}

func (c *call) boundSilence(response *hop.Response) {
	if c.route.Resumable && c.route.MaxEventGap > 0 && c.attempts < c.route.MaxAttempts {
		limit := c.route.LatencyTarget
		if c.entry.events > 0 {
			limit = silenceFactor * c.route.MaxEventGap
		}
		response.SetReadDeadline(time.Now().Add(limit))
	}
}

func (c *call) complete(u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	if c.entry.events == 0 { // a stream without events
		copyHeader(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
		c.entry.status = response.Status
	}
	c.entry.outcome = "answered"
	c.reportStream(u)
	c.g.Loads.RecordSuccess(u.ID)
	c.g.suspects.Cleared(c.fingerprint)
	return answered, nil
}

// reportStream tells the outcome of a complete stream. One that has moved says
// nothing about a single upstream.
func (c *call) reportStream(u *catalog.Upstream) {
	if c.entry.moves > 0 || c.entry.events == 0 {
		return
	}
	rest := time.Since(c.began) - c.entry.firstEvent
	c.report(u, false, c.entry.firstEvent, rest/time.Duration(c.entry.events))
}

// broken classifies a stream that ended early.
func (c *call) broken(s *stream, u *catalog.Upstream, err error) (exchangeResult, error) {
	if c.ctx.Err() != nil {
		return unknown, context.Cause(c.ctx)
	}
	if !s.moving() {
		c.lost(u)
	}
	return unknown, err
}

// accept checks the order of an event. Events that the caller has are skipped.
func (s *stream) accept(e event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.id >= 0 {
		switch {
		case e.id <= s.lastID:
			return errRepeatedEvent
		case s.lastID >= 0 && e.id != s.lastID+1:
			return errEventOrder
		}
		s.lastID = e.id
	}
	s.events++
	return nil
}
