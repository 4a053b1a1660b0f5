package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/hop"
	"github.com/rattanscale/rattanscale/internal/migration"
)

const (
	// maxSilenceGaps is the number of event gaps of the route after which the engine of a silent
	// resumable stream is examined.
	maxSilenceGaps = 6
	// stoppedReadGrace is how long the last events of a stopped run may take to arrive.
	stoppedReadGrace = 200 * time.Millisecond
)

// runState is what a host knows of the run of a silent stream.
type runState int

const (
	// runUnknown means that the engine may still work on the run.
	runUnknown runState = iota
	// runMoved means that the engine has stopped the run and that it continues from a copy.
	runMoved
	// runGone means that the engine has no such run.
	runGone
)

// mayContinueElsewhere reports whether a silent stream may continue at another engine now. Its
// engine may have preempted it, and many go on when the connection is closed, so the stream waits
// until the engine has stopped the run, has none, or cannot be reached.
func mayContinueElsewhere(reachable bool, run runState) bool {
	return !reachable || run != runUnknown
}

// silenceWatch examines the engine of a resumable stream that sends no events for a time. Its
// methods other than check are used by the goroutine that reads the stream.
type silenceWatch struct {
	call     *call
	stream   *stream
	upstream *catalog.Upstream
	response *hop.Response

	mu sync.Mutex
	// ended is set once the stream is not read any more, and interrupted if check has ended its
	// reading.
	ended, interrupted bool
	// events counts the resets, so that a check notices an event that arrived meanwhile.
	events int
	limit  time.Duration
	timer  *time.Timer
}

// watchSilence starts the watch of a stream, unless it may not continue at another engine.
func (c *call) watchSilence(s *stream, u *catalog.Upstream, response *hop.Response) *silenceWatch {
	w := &silenceWatch{call: c, stream: s, upstream: u, response: response}
	if c.route.Resumable && c.route.MaxEventGap > 0 && c.attempts < c.route.MaxAttempts {
		w.limit = maxSilenceGaps * c.route.MaxEventGap
		if c.logEntry.events == 0 {
			w.limit = max(w.limit, c.route.LatencyTarget)
		}
		w.timer = time.AfterFunc(w.limit, func() {
			guard.Run(c.g.Log, "examination of a silent stream", w.check)
		})
	}
	return w
}

// reset records an event.
func (w *silenceWatch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events++
	if w.timer != nil {
		w.limit = maxSilenceGaps * w.call.route.MaxEventGap
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch. The response is not touched any more when it returns.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// eventsSoFar returns the number of events, and whether the stream is still read.
func (w *silenceWatch) eventsSoFar() (events int, reading bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events, !w.ended
}

// wasInterrupted reports whether check has ended the reading, because the run has ended or its
// engine cannot be reached.
func (w *silenceWatch) wasInterrupted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.interrupted
}

// check examines the engine and ends the reading of the stream if it may continue elsewhere.
// Otherwise it is called again after the limit.
func (w *silenceWatch) check() {
	before, reading := w.eventsSoFar()
	if !reading {
		return
	}
	g, ctx := w.call.g, w.call.ctx
	reachErr := g.Pool.Reach(ctx, w.upstream.Address)
	run := runUnknown
	if events, _ := w.eventsSoFar(); reachErr == nil && events == before {
		run = g.moveSilentRun(w.stream, w.upstream)
	}
	continues := ctx.Err() == nil && mayContinueElsewhere(reachErr == nil, run)
	g.Log.Info("stream is silent", "request", w.call.info.ID, "upstream", w.upstream.ID,
		"reachable", reachErr == nil, "continues-elsewhere", continues)
	if continues && run == runMoved {
		sleep(ctx, stoppedReadGrace)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended || ctx.Err() != nil:
	case continues && (run == runMoved || w.events == before):
		w.interrupted = true
		w.response.SetReadDeadline(time.Now())
	default:
		w.timer.Reset(w.limit)
	}
}

// moveSilentRun stops the run of a silent stream by moving it to another engine, if its engine
// can do that and another one has room. A run without events may be waiting at its engine, which
// then knows no run to copy.
func (g *Gateway) moveSilentRun(s *stream, u *catalog.Upstream) runState {
	cat := g.Catalog()
	service := cat.Configuration.Service(u.Service)
	_, events, canMigrate := s.progress()
	switch {
	case s.continuesFromCopy():
		return runMoved
	case g.PlainPolicy || service == nil || service.Engine == nil || !service.Engine.SupportsMigration || events == 0 || !canMigrate:
		return runUnknown
	}
	err := g.migrate(s, u, service, s.generation(service).ValuePerToken())
	switch {
	case s.continuesFromCopy():
		return runMoved
	case errors.Is(err, ErrNoSuchRun):
		return runGone
	}
	return runUnknown
}

// generation describes the stream for the order of migrations.
func (s *stream) generation(service *catalog.Service) migration.Generation {
	_, events, _ := s.progress()
	produced := events * service.Engine.TokensPerEvent
	return migration.Generation{
		PromptTokens: s.call.info.PromptTokens, ProducedTokens: produced,
		ExpectedTokens: max(s.call.expectedOutputTokens(), produced),
	}
}
