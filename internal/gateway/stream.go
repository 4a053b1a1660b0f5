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
	// maxSilenceGaps times the route's event gap is the silence after which a
	// resumable stream goes on at another upstream.
	maxSilenceGaps = 6
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
	running    bool
	upstream   *catalog.Upstream
	eventCount int
	lastID     int64
	migration  *streamMigration

	// fullEngines lists the engines that refused a copy, and crowded is set once no engine
	// had room; only the mover uses them.
	fullEngines  []string
	noRoomLogged bool
}

// streamMigration is the move of a run to another engine.
type streamMigration struct {
	// done is closed once the outcome is known.
	done chan struct{}
	// destination is where the stream goes on; nil if the move failed.
	destination *catalog.Upstream
	copyName    string
	// source is the source, which keeps the memory of a run that it stopped.
	source *catalog.Upstream
	// runNotStopped is set if the source refused to stop the run.
	runNotStopped bool
}

// progress returns the upstream and the number of events while a run is in progress.
func (s *stream) progress() (u *catalog.Upstream, events int, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstream, s.eventCount, s.running && s.migration == nil
}

// beginMigration announces a move. It fails if the run on the upstream has ended.
func (s *stream) beginMigration(source *catalog.Upstream) *streamMigration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running || s.migration != nil || s.upstream.ID != source.ID {
		return nil
	}
	s.migration = &streamMigration{done: make(chan struct{}), source: source}
	return s.migration
}

// cancelMigration takes a handoff back whose run the source did not stop.
func (s *stream) cancelMigration(m *streamMigration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.migration == m {
		s.migration = nil
	}
	m.runNotStopped = true
	close(m.done)
}

// isMigrating reports whether the run is being stopped for a move.
func (s *stream) isMigrating() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.migration != nil
}

// stoppedForMigration reports whether a run that has ended was stoppedForMigration for a move. A stream
// without a stated end then ends like a complete one. It waits for the source's word.
func (s *stream) stoppedForMigration(ctx context.Context) bool {
	s.mu.Lock()
	m := s.migration
	s.mu.Unlock()
	if m == nil {
		return false
	}
	select {
	case <-m.done:
		return !m.runNotStopped
	case <-ctx.Done():
		return true
	}
}

func (s *stream) takeMigration() *streamMigration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.migration
	s.migration = nil
	s.running = false
	return m
}

func (s *stream) markRunning(u *catalog.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstream, s.running = u, true
}

// serveStream relays a stream. It goes on at another upstream after a move, and
// where the route allows it after a loss.
func (c *call) serveStream() {
	c.g.repeatLimiter.RecordRequest(c.service.Name, c.startedAt)
	s := &stream{call: c, lastID: -1}
	if id, err := strconv.ParseInt(c.info.ResumeAfter, 10, 64); err == nil {
		s.lastID = id
	}
	err := c.tryUpstreams(func(u *catalog.Upstream) (bool, error) {
		err := c.relayWithMigrations(s, u)
		return err != nil && c.mayResend(), err
	})
	switch {
	case err == nil:
	case c.logEntry.events > 0:
		c.abortStream(err.Error())
	default:
		c.failWithoutAnswer(err.Error())
	}
}

func (c *call) abortStream(reason string) {
	if c.r.Context().Err() != nil {
		c.abortCallerGone()
	}
	c.abortTruncated(reason)
}

// relayWithMigrations relays one relayWithMigrations of the stream with its moves. A nil error means that the
// stream is complete.
func (c *call) relayWithMigrations(s *stream, u *catalog.Upstream) error {
	d := Dispatch{}
	if c.logEntry.events > 0 {
		d.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	var migrationSource *catalog.Upstream // of a move, while it may still hold the run's memory
	for {
		result, err := c.relayAt(s, u, d)
		if err == nil {
			return nil
		}
		m := s.takeMigration()
		switch {
		case c.ctx.Err() != nil:
			return err
		case m != nil:
			if d, u = c.awaitMigration(s, m); u == nil {
				return err
			}
			migrationSource = m.source
			c.logEntry.migrations++
		case result == notRun && migrationSource != nil && migrationSource != u:
			// The destination refused the copy; the source holds the memory for a while.
			u, migrationSource = migrationSource, nil
		default:
			return err
		}
	}
}

// awaitMigration waits for the outcome of a move and returns how the stream goes on.
func (c *call) awaitMigration(s *stream, m *streamMigration) (Dispatch, *catalog.Upstream) {
	select {
	case <-m.done:
	case <-c.ctx.Done():
		return Dispatch{}, nil
	}
	if m.destination == nil {
		return Dispatch{}, nil
	}
	d := Dispatch{CopyName: m.copyName}
	if s.lastID >= 0 {
		d.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	return d, m.destination
}

// relayAt sends the request to an upstream and relays its events until the end.
func (c *call) relayAt(s *stream, u *catalog.Upstream, d Dispatch) (exchangeResult, error) {
	c.streamLoad = balance.Load{Requests: 1, Tokens: c.expectedMemoryTokens()}
	if d.CopyName == "" {
		c.streamLoad.PendingPromptTokens = c.info.PromptTokens
	}
	c.g.LoadTracker.AddLoad(u.ID, c.streamLoad)
	defer func() { c.g.LoadTracker.RemoveLoad(u.ID, c.streamLoad) }()
	s.markRunning(u)
	c.g.streams.add(s)
	defer c.g.streams.remove(s)
	response, result, err := c.dispatch(u, d)
	if err != nil || result != answerReceived {
		return result, err
	}
	defer response.Close()
	if response.Status >= http.StatusMultipleChoices {
		return c.forwardFailure(u, response)
	}
	return c.relayEvents(s, u, response)
}

// forwardFailure passes on an upstream's failure, or returns an error if the request may run again.
func (c *call) forwardFailure(u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedAnswerBytes))
	if err != nil {
		c.recordLostRun(u)
		return mayHaveRun, err
	}
	c.reportOutcome(u, true, 0, 0)
	c.g.LoadTracker.RecordFailure(u.ID, time.Now())
	if c.mayRunAgain() || c.logEntry.events > 0 {
		return mayHaveRun, errors.New("upstream failed with status " + strconv.Itoa(response.Status))
	}
	c.writeAnswer(&bufferedAnswer{response.Status, response.Header, body})
	return answerReceived, nil
}

// relayEvents forwards events as they arrive.
func (c *call) relayEvents(s *stream, u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	events := newEventReader(response)
	controller := http.NewResponseController(c.w)
	for {
		c.limitSilence(response)
		e, err := events.next()
		if err == nil {
			err = s.acceptEvent(e)
		}
		if errors.Is(err, errRepeatedEvent) {
			continue
		}
		if errors.Is(err, io.EOF) && (response.Framed || !s.stoppedForMigration(c.ctx)) {
			return c.completeStream(u, response)
		}
		if err != nil {
			return c.classifyBrokenStream(s, u, err)
		}
		if c.logEntry.events == 0 {
			copyHeader(c.w.Header(), response.Header)
			c.w.WriteHeader(response.Status)
			c.logEntry.status, c.logEntry.timeToFirstEvent = response.Status, time.Since(c.startedAt)
		}
		c.logEntry.events++
		c.markPromptProcessed(u)
		// A caller that has left is noticed by its context as well.
		_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := c.w.Write(e.raw); err != nil {
			c.abortCallerGone()
		}
		if !events.buffered() {
			if err := controller.Flush(); err != nil {
				c.abortCallerGone()
			}
		}
	}
}

// markPromptProcessed notes that the engine has read the prompt.
func (c *call) markPromptProcessed(u *catalog.Upstream) {
	if c.streamLoad.PendingPromptTokens > 0 {
		c.g.LoadTracker.RemoveLoad(u.ID, balance.Load{PendingPromptTokens: c.streamLoad.PendingPromptTokens})
		c.streamLoad.PendingPromptTokens = 0
	}
}

func (c *call) limitSilence(response *hop.Response) {
	if c.route.Resumable && c.route.MaxEventGap > 0 && c.attempts < c.route.MaxAttempts {
		limit := c.route.LatencyTarget
		if c.logEntry.events > 0 {
			limit = maxSilenceGaps * c.route.MaxEventGap
		}
		response.SetReadDeadline(time.Now().Add(limit))
	}
}

func (c *call) completeStream(u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	if c.logEntry.events == 0 { // a stream without events
		copyHeader(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
		c.logEntry.status = response.Status
	}
	c.logEntry.outcome = "answered"
	c.reportStreamOutcome(u)
	c.g.LoadTracker.RecordSuccess(u.ID)
	c.g.suspects.Clear(c.fingerprint)
	return answerReceived, nil
}

// reportStreamOutcome tells the outcome of a complete stream. One that has moved says
// nothing about a single upstream.
func (c *call) reportStreamOutcome(u *catalog.Upstream) {
	if c.logEntry.migrations > 0 || c.logEntry.events == 0 {
		return
	}
	afterFirstEvent := time.Since(c.startedAt) - c.logEntry.timeToFirstEvent
	c.reportOutcome(u, false, c.logEntry.timeToFirstEvent, afterFirstEvent/time.Duration(c.logEntry.events))
}

// classifyBrokenStream classifies a stream that ended early.
func (c *call) classifyBrokenStream(s *stream, u *catalog.Upstream, err error) (exchangeResult, error) {
	if c.ctx.Err() != nil {
		return mayHaveRun, context.Cause(c.ctx)
	}
	if !s.isMigrating() {
		c.recordLostRun(u)
	}
	return mayHaveRun, err
}

// acceptEvent checks the order of an event. Events that the caller has are skipped.
func (s *stream) acceptEvent(e event) error {
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
	s.eventCount++
	return nil
}
