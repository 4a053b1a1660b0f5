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
	// callTimeout bounds calls to other daemons. It is longer than the heartbeat
	// interval, so that a slow answer still counts as contact.
	callTimeout = time.Second
	// readTimeout bounds one read of the store. A slow read still counts as a
	// confirmation, dated to its start.
	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
)

// Caller calls a method of another daemon. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Registrar registers the handlers of methods. *peer.Server implements it.
type Registrar interface {
	Handle(method string, handler func(ctx context.Context, params json.RawMessage) (any, error))
}

// Config holds the dependencies of a Runner. The caller owns them and closes them
// after Run has returned.
type Config struct {
	Cell string
	// Self describes the daemon; its incarnation is set by the runner.
	Self  membership.Member
	Table storage.Table
	// HostList gives the addresses to try when the daemon starts during a store
	// outage; it may be nil.
	HostList  storage.HostList
	ChangeLog *changelog.Log
	Peers     Caller
	// LocalState returns the state that the daemon reports about itself; nil reports
	// the zero value.
	LocalState func() membership.LocalState
	// Clock returns the time with a monotonic reading; nil means time.Now.
	Clock  func() time.Time
	Logger logr.Logger
	// Timeline may be nil.
	Timeline *timeline.Recorder
	// OnViewChange is called after the daemon has adopted a view of a higher epoch.
	// It must not block and may be nil. Calls do not overlap.
	OnViewChange func(old, new membership.View)
}

// Runner keeps a daemon's membership and configuration up to date. Call Register
// first, then Run once. The other methods are safe for concurrent use.
type Runner struct {
	config   Config
	tracker  *membership.Tracker
	follower *changelog.Follower

	// pollSlot is a semaphore of one, held during a poll and the writes that follow
	// from it. It is a channel because a poll may take long and a wait for it must be
	// cancellable.
	pollSlot           chan struct{}
	mu                 sync.Mutex
	viewRow            viewRow
	joined             bool            // this process has been a member of the view
	heartbeatsInFlight map[string]bool // by address
	failedSince        map[membership.Identity]time.Time

	// pendingRevision is the change that has been in force without an in-force entry
	// in the log since pendingSince.
	pendingRevision uint64
	pendingSince    time.Time

	storeFailed  atomic.Bool
	stopped      atomic.Bool
	pullRequests chan struct{}

	reportedViewMu sync.Mutex // held during OnViewChange
	reportedView   membership.View

	tasksMu     sync.Mutex
	tasksClosed bool
	tasks       sync.WaitGroup
}

// viewRow is the result of one read of the cell's view row and of the head revision.
type viewRow struct {
	view    membership.View
	version uint64
	head    changelog.Head
}

// New returns a runner for a daemon that has not joined yet.
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

// Run maintains the membership until ctx ends and then leaves the view. The daemon
// must have stopped granting and sending before ctx ends. Run returns an error only
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

// spawn runs f in a goroutine that Run waits for. Once Run is about to return, it
// does nothing and reports false.
func (r *Runner) spawn(f func()) bool {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	if r.tasksClosed {
		return false
	}
	r.tasks.Go(f)
	return true
}

// runEvery calls f at once and then at each interval until ctx ends.
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
			r.config.Logger.V(1).Info("failed to read the table service", "error", err.Error())
			return
		}
		if err := r.ensureMember(ctx); err != nil {
			r.config.Logger.Error(err, "stopping because another process has joined under this host's name")
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
		return failure.NotRun(failure.DeadlineExceeded, "waiting to read the table service: %v", ctx.Err())
	}
}

func (r *Runner) releasePollSlot() { <-r.pollSlot }

// mustPoll reports whether the daemon reads the store in this interval: pollers,
// non-members and daemons that are not ready always do, others when their latest
// confirmation is stale.
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

// syncTracker passes the follower's revision to the tracker, and reports a change of view
// to the timeline, the log and OnViewChange.
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
	r.config.Logger.Info("membership view changed", "epoch", s.View.Epoch, "members", len(s.View.Members))
	if r.config.OnViewChange != nil {
		r.config.OnViewChange(old, s.View)
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for d. It returns false when ctx ended first.
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
