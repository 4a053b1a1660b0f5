package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/hop"
)

// callerWriteTimeout limits a write to a caller that does not read.
const callerWriteTimeout = 10 * time.Second

var (
	errEventOrder = errors.New("an event of the stream is missing or comes twice")
	// errRepeatedEvent reports an event that the caller has already received.
	errRepeatedEvent = errors.New("the event was delivered before")
)

// stream is a stream in progress. The goroutine of its request owns the response. The
// goroutine that migrates it reads its progress and sets migration.
type stream struct {
	call *call

	mu sync.Mutex
	// running is set while the upstream runs the stream; it can be migrated only then.
	running    bool
	upstream   *catalog.Upstream
	eventCount int
	// lastID is the identifier of the last event, -1 if there is none.
	lastID    int64
	migration *streamMigration

	// migrating is held during a migration. It protects fullEngines, which holds the engines
	// that refused a copy, and noRoomLogged, which is set once the lack of a destination was
	// logged.
	migrating    sync.Mutex
	fullEngines  []string
	noRoomLogged bool
}

// streamMigration is a migration to another engine whose source is being stopped.
type streamMigration struct {
	// done is closed once the outcome is known. destination, copy and runNotStopped must
	// not be read before.
	done chan struct{}
	// destination is where the stream continues; nil if the migration failed.
	destination *catalog.Upstream
	// copy is the name of the copy from which the request continues at destination.
	copy string
	// source is the engine that ran the stream. It keeps the memory for a while after
	// the run was stopped.
	source *catalog.Upstream
	// runNotStopped is set if the source refused to stop the run.
	runNotStopped bool
}

// progress returns the upstream, the number of events so far, and whether the stream can
// be migrated.
func (s *stream) progress() (u *catalog.Upstream, events int, canMigrate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstream, s.eventCount, s.running && s.migration == nil
}

// beginMigration marks the stream as migrating. It returns nil if the run on the
// upstream has ended or another migration is in progress.
func (s *stream) beginMigration(source *catalog.Upstream) *streamMigration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running || s.migration != nil || s.upstream.ID != source.ID {
		return nil
	}
	s.migration = &streamMigration{done: make(chan struct{}), source: source}
	return s.migration
}

// cancelMigration ends a migration whose run the source did not stop.
func (s *stream) cancelMigration(m *streamMigration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.migration == m {
		s.migration = nil
	}
	m.runNotStopped = true
	close(m.done)
}

// continuesFromCopy reports whether the run was stopped for a migration and continues from a copy.
func (s *stream) continuesFromCopy() bool {
	s.mu.Lock()
	m := s.migration
	s.mu.Unlock()
	if m == nil {
		return false
	}
	select {
	case <-m.done:
		return !m.runNotStopped && m.destination != nil
	default:
		return false
	}
}

// isMigrating reports whether the run is being stopped for a migration.
func (s *stream) isMigrating() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.migration != nil
}

// stoppedForMigration waits for the response of the source and reports whether a run that
// has ended was stopped for a migration. Without framing the end of a stopped stream
// looks like that of a complete one.
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

// takeMigration removes and returns the migration of a run that has ended, or returns
// nil.
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

// serveStream relays a stream. The stream continues at another upstream after a
// migration and, if it may run again, after a failure of the upstream.
func (c *call) serveStream() {
	c.g.retryLimiter.RecordRequest(c.service.Name, c.startedAt)
	s := &stream{call: c, lastID: -1}
	// On other routes the engine need not heed it, and all that it sends belongs to the answer.
	if id, err := strconv.ParseInt(c.info.ResumeAfter, 10, 64); err == nil && c.route.Resumable {
		s.lastID = id
	}
	err := c.tryUpstreams(func(u *catalog.Upstream) (bool, error) {
		err := c.relayWithMigrations(s, u)
		return err != nil && !errors.Is(err, errRunMayGoOn) && c.mayResend(), err
	})
	switch {
	case err == nil:
	case c.logEntry.events > 0:
		c.abortStream(err.Error())
	default:
		c.failWithoutResponse(err.Error())
	}
}

// abortStream ends a stream of which the caller has received only a part.
func (c *call) abortStream(reason string) {
	if c.r.Context().Err() != nil {
		c.abortCallerGone()
	}
	c.abortTruncated(reason)
}

// relayWithMigrations relays the stream from the upstream, and from the destinations of
// its migrations. A nil error means that the stream is complete.
func (c *call) relayWithMigrations(s *stream, u *catalog.Upstream) error {
	d := Dispatch{}
	if c.logEntry.events > 0 {
		d.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	var migrationSource *catalog.Upstream // set while it may still hold the memory of the run
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
			// The destination refused the copy, but the source keeps the memory for a while.
			u, migrationSource = migrationSource, nil
		case result == mayHaveRun && c.mayResend():
			m, stopErr := c.g.stopLostRun(c.ctx, s, u)
			if m == nil {
				return errors.Join(err, stopErr)
			}
			d, u = c.continuation(s, m), m.destination
			migrationSource = m.source
			c.logEntry.migrations++
		default:
			return err
		}
	}
}

// awaitMigration waits for the outcome of a migration and returns how and where the
// stream continues, or a nil upstream if it does not.
func (c *call) awaitMigration(s *stream, m *streamMigration) (Dispatch, *catalog.Upstream) {
	select {
	case <-m.done:
	case <-c.ctx.Done():
		return Dispatch{}, nil
	}
	if m.destination == nil {
		return Dispatch{}, nil
	}
	return c.continuation(s, m), m.destination
}

// continuation returns how a stream continues from a copy.
func (c *call) continuation(s *stream, m *streamMigration) Dispatch {
	d := Dispatch{CopyName: m.copy}
	if s.lastID >= 0 {
		d.ResumeAfter = strconv.FormatInt(s.lastID, 10)
	}
	return d
}

// relayAt sends the request to an upstream and relays its events until the end of the
// run.
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
	if err != nil || result != responseReceived {
		return result, err
	}
	defer response.Close()
	if response.Status >= http.StatusMultipleChoices {
		return c.forwardFailure(u, response)
	}
	return c.relayEvents(s, u, response)
}

// forwardFailure forwards an upstream's error status to the caller, or returns an error
// if the request may run again or events were already delivered.
func (c *call) forwardFailure(u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	body, release, err := c.g.bodies.Read(response)
	c.releaseBodies = append(c.releaseBodies, release)
	if err != nil {
		c.recordLostRun(u, err)
		return mayHaveRun, err
	}
	c.run.recordEnd(true, time.Now())
	c.g.LoadTracker.RecordFailure(u.ID, time.Now())
	if c.mayRunAgain() || c.logEntry.events > 0 {
		return runOver, errors.New("upstream failed with status " + strconv.Itoa(response.Status))
	}
	c.writeResponse(&bufferedResponse{response.Status, response.Header, body})
	return responseReceived, nil
}

// relayEvents forwards the events of a response as they arrive.
func (c *call) relayEvents(s *stream, u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	events := newEventReader(response, c.g.bodies)
	defer events.release()
	controller := http.NewResponseController(c.w)
	silence := c.watchSilence(s, u, response)
	defer silence.stop()
	for {
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
			result := lo.Ternary(silence.wasInterrupted(), runOver, mayHaveRun)
			return result, c.recordBrokenStream(s, u, err)
		}
		if c.logEntry.events == 0 {
			copyHeader(c.w.Header(), response.Header)
			c.w.WriteHeader(response.Status)
			c.logEntry.status, c.logEntry.timeToFirstEvent = response.Status, time.Since(c.startedAt)
		}
		c.logEntry.events++
		if e.hasData {
			now := time.Now()
			c.run.recordEvent(now)
			c.logEntry.recordEvent(now)
		}
		c.markPromptProcessed(u)
		if e.hasData { // comments do not show that the run goes on
			silence.reset()
		}
		// The error is ignored because the request's context also ends when the caller has disconnected.
		_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := c.w.Write(e.raw); err != nil {
			c.abortCallerGone()
		}
		if !events.buffered() {
			if err := controller.Flush(); err != nil {
				c.abortCallerGone()
			}
		}
		c.run.waitingSince = time.Now()
	}
}

// markPromptProcessed records that the engine has processed the prompt.
func (c *call) markPromptProcessed(u *catalog.Upstream) {
	if c.streamLoad.PendingPromptTokens > 0 {
		c.g.LoadTracker.RemoveLoad(u.ID, balance.Load{PendingPromptTokens: c.streamLoad.PendingPromptTokens})
		c.streamLoad.PendingPromptTokens = 0
	}
}

// completeStream records the end of a complete stream.
func (c *call) completeStream(u *catalog.Upstream, response *hop.Response) (exchangeResult, error) {
	if c.logEntry.events == 0 { // the headers are sent with the first event, so they are still missing
		copyHeader(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
		c.logEntry.status = response.Status
	}
	c.logEntry.outcome = "answered"
	c.run.recordEnd(false, time.Now())
	c.g.LoadTracker.RecordSuccess(u.ID)
	c.g.suspects.Clear(c.fingerprint)
	return responseReceived, nil
}

// recordBrokenStream records a stream that ended early and returns the reason. The loss is recorded
// unless the caller's time is over or the run was stopped for a migration.
func (c *call) recordBrokenStream(s *stream, u *catalog.Upstream, err error) error {
	if c.ctx.Err() != nil {
		c.run.recordAbandoned(time.Now())
		return context.Cause(c.ctx)
	}
	if !s.isMigrating() {
		c.recordLostRun(u, err)
	}
	return err
}

// acceptEvent checks the order of events. It returns errRepeatedEvent for an event that
// the caller has already received.
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
