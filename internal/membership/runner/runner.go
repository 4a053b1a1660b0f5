// Package runner connects the membership tracker and the change log to the table
// service and to the other daemons.
package runner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

const (
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds calls to other daemons. It is longer than the interval of
	// heartbeats: a daemon that answers late stays in contact.
	callTimeout = time.Second
	// readTimeout bounds one read of the store. A slow read still confirms, from its start.
	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
)

// Caller calls a method of another daemon. *peer.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Registrar takes the handlers of methods. *peer.Server is one.
type Registrar interface {
	Handle(method string, handler func(ctx context.Context, params json.RawMessage) (any, error))
}

// Config holds what a Runner needs. Everything stays the property of the caller,
// who closes it after Run has returned.
type Config struct {
	Cell string
	// Self describes the daemon; its incarnation is set by the runner.
	Self  membership.Member
	Table storage.Table
	// HostList is the hint for the first contact during a store outage; it may be nil.
	HostList  storage.HostList
	ChangeLog *changelog.Log
	Peers     Caller
	// LocalState returns what the daemon reports of itself; nil reports nothing.
	LocalState func() membership.LocalState
	// Clock returns the time with a monotonic reading; nil means time.Now.
	Clock  func() time.Time
	Logger logr.Logger
	// Timeline may be nil.
	Timeline *timeline.Recorder
	// OnViewChange is called after the daemon has taken over a view of a higher epoch. It
	// must return soon and may be nil. Calls do not overlap.
	OnViewChange func(old, new membership.View)
}

// Runner keeps a daemon's membership and configuration up to date. Register is
// called first, then Run once. The other methods are safe for concurrent use.
type Runner struct {
	config   Config
	tracker  *membership.Tracker
	follower *changelog.Follower

	// pollSlot has one place, taken during a poll and what follows from it. A wait
	// for it can be cancelled, as a poll may take long.
	pollSlot           chan struct{}
	mu                 sync.Mutex
	viewRow            viewRow
	joined             bool            // this process has been a member
	heartbeatsInFlight map[string]bool // members with a heartbeat in flight
	failedSince        map[membership.Identity]time.Time

	// pendingRevision waits for its in-force entry since pendingSince.
	pendingRevision uint64
	pendingSince    time.Time

	storeFailed  atomic.Bool
	stopped      atomic.Bool
	pullRequests chan struct{}

	reportedViewMu sync.Mutex // held during OnView
	reportedView   membership.View

	tasksMu     sync.Mutex
	tasksClosed bool
	tasks       sync.WaitGroup
}

// viewRow is the latest reading of the cell's view row, with the head.
type viewRow struct {
	view    membership.View
	version uint64
	head    changelog.Head
}

// New returns a runner whose daemon is not a member yet.
func New(config Config) *Runner {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.LocalState == nil {
		config.LocalState = func() membership.LocalState { return membership.LocalState{} }
	}
	if config.Logger.GetSink() == nil {
		config.Logger = logr.Discard()
	}
	now := config.Clock()
	config.Self.Incarnation = uint64(now.UnixMilli())
	return &Runner{
		config: config, tracker: membership.NewTracker(config.Cell, config.Self.Identity, now), follower: config.ChangeLog.Follower(),
		heartbeatsInFlight: map[string]bool{}, failedSince: map[membership.Identity]time.Time{}, pullRequests: make(chan struct{}, 1),
		pollSlot: make(chan struct{}, 1),
	}
}

// Tracker returns the tracker, for its snapshots and for handovers.
func (r *Runner) Tracker() *membership.Tracker { return r.tracker }

// Run keeps the membership until ctx ends and then leaves the view. Before that
// the daemon must have stopped granting and sending. It returns an error only
// when another process has joined under the daemon's name.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	loops := []func(context.Context){r.tickLoop, r.heartbeatLoop, r.pullLoop, func(ctx context.Context) { r.pollLoop(ctx, cancel) }}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	r.tasksMu.Lock()
	r.tasksClosed = true
	r.tasksMu.Unlock()
	r.tasks.Wait()
	r.stopped.Store(true)
	r.tracker.Stop(r.now())
	if cause := context.Cause(ctx); failure.Is(cause, failure.Conflict) {
		return cause
	}
	r.leave(context.WithoutCancel(ctx))
	return nil
}

func (r *Runner) now() time.Time { return r.config.Clock() }

func (r *Runner) record(kind timeline.Kind, attributes ...timeline.Attribute) {
	if r.config.Timeline != nil {
		r.config.Timeline.Record(kind, "", attributes...)
	}
}

// spawn runs f in a goroutine that Run waits for. It reports false, and does
// nothing, once Run is about to return.
func (r *Runner) spawn(f func()) bool {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	if r.tasksClosed {
		return false
	}
	r.tasks.Go(f)
	return true
}

// runEvery calls f at once and then at the interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Runner) tickLoop(ctx context.Context) {
	runEvery(ctx, tickInterval, func() {
		r.tracker.SetLocalState(r.now(), r.config.LocalState())
	})
}

func (r *Runner) pollLoop(ctx context.Context, cancel context.CancelCauseFunc) {
	runEvery(ctx, membership.PollInterval, func() {
		if !r.mustPoll() {
			return
		}
		if r.acquirePollSlot(ctx) != nil {
			return
		}
		defer r.releasePollSlot()
		if err := r.poll(ctx); err != nil {
			r.config.Logger.V(1).Info("table service not read", "error", err.Error())
			return
		}
		if err := r.ensureMember(ctx); err != nil {
			r.config.Logger.Error(err, "the daemon cannot be a member")
			cancel(err)
			return
		}
		r.maintainView(ctx)
	})
}

func (r *Runner) acquirePollSlot(ctx context.Context) error {
	select {
	case r.pollSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return failure.NotRun(failure.DeadlineExceeded, "table service: %v", ctx.Err())
	}
}

func (r *Runner) releasePollSlot() { <-r.pollSlot }

// mustPoll reports whether the daemon reads the store at this tick: pollers and
// daemons that are not members always do, others when their confirmation is old.
func (r *Runner) mustPoll() bool {
	s := r.tracker.Snapshot()
	if !s.Ready || !s.View.Has(s.Self) {
		return true
	}
	for _, name := range s.Pollers() {
		if name == s.Self.Name {
			return true
		}
	}
	return r.now().Sub(s.ConfirmedAt()) > membership.StaleConfirmationAge
}

// syncTracker notes the effects of new knowledge: a new revision and a new view.
func (r *Runner) syncTracker() {
	r.tracker.SetAppliedRevision(r.now(), r.follower.Revision())
	s := r.tracker.Snapshot()
	r.reportedViewMu.Lock()
	defer r.reportedViewMu.Unlock()
	if s.View.Epoch <= r.reportedView.Epoch {
		return
	}
	old := r.reportedView
	r.reportedView = s.View
	r.record("view-changed", timeline.Attr("epoch", s.View.Epoch), timeline.Attr("members", len(s.View.Members)))
	r.config.Logger.Info("view changed", "epoch", s.View.Epoch, "members", len(s.View.Members))
	if r.config.OnViewChange != nil {
		r.config.OnViewChange(old, s.View)
	}
}

// jitter spreads a pause over half of it to one and a half of it.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
