package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/guard"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 700 * time.Millisecond
	// callShare is the fraction of the term that a call of the task may take. The claim must be
	// good for as long when the call starts.
	callShare = 0.25
	// taskInterval is the interval at which the holder runs the task of a duty.
	taskInterval = 250 * time.Millisecond
	// After yieldTerms terms in which no call had an answer, the holder leaves the duty to other
	// hosts for yieldPauseTerms terms: it may be the only one that does not reach the platform.
	yieldTerms      = 1
	yieldPauseTerms = 2
)

var (
	// ErrNotHeld reports that this host does not hold the duty; nothing was sent.
	ErrNotHeld = errors.New("this host does not hold the duty; the call was not sent")
	// ErrStorePaused reports that a call to the store has just failed; nothing was written.
	ErrStorePaused = errors.New("a call to the store has just failed; nothing was written, try again later")
	// ErrSuperseded reports that the platform has seen a higher token. The call was not executed.
	ErrSuperseded = errors.New("the platform has seen a higher fencing token; the call was not executed")
	// ErrThrottled reports that the platform did not execute the call because of its rate.
	ErrThrottled = errors.New("the platform limits the rate of calls; the call was not executed, try again later")
	// ErrUnknownOutcome reports that the call may have been executed or may be executed later.
	ErrUnknownOutcome = errors.New("the outcome of the call is unknown; it may be executed later")
)

// Store reads and writes the rows of all duties.
type Store interface {
	// ReadRows returns the rows by duty and the revision of the store.
	ReadRows(ctx context.Context) (rows map[string]Observation, revision uint64, err error)
	// WriteRow writes a row if it has the expected revision; 0 expects no row.
	WriteRow(ctx context.Context, duty string, row Row, expected uint64) (revision uint64, result WriteResult, err error)
}

// Order identifies the holder in a call to the platform.
type Order struct {
	Holder string
	Token  uint64
	// Until is the time after which the call must not be sent.
	Until Instant
}

// Options configures a Runner.
type Options struct {
	Host, Process string
	// Term is the length of a claim.
	Term time.Duration
	// PauseMargin is the time at the end of a term in which the holder does not act.
	PauseMargin time.Duration
	Store       Store
	// Rank returns this host's place among the live hosts for a duty, from 0.
	Rank func(duty string) int
	// Willing reports whether this host may hold duties.
	Willing func() bool
	Metrics *metrics.Set
	Log     logr.Logger
	// Now replaces the clock in tests.
	Now func() Instant
}

// Runner executes the decisions of the trackers of a host. All its duties share their reads.
type Runner struct {
	Options
	duties []*Duty

	readMu     sync.Mutex
	lastRead   map[string]Observation
	lastStore  uint64
	lastReadAt Instant
}

// NewRunner returns a runner without duties.
func NewRunner(o Options) *Runner {
	if o.Now == nil {
		o.Now = Now
	}
	return &Runner{Options: o}
}

// Duty is one duty at this host.
type Duty struct {
	Name   string
	runner *Runner
	task   func(ctx context.Context, d *Duty)

	mu      sync.Mutex
	tracker *Tracker
	// writtenAt is the end of the last write. A read that began before shows an older row.
	writtenAt Instant
	// writeMu is held during a write of the row, and callMu during a call to the platform.
	writeMu, callMu sync.Mutex
	wake, granted   chan struct{}
	// unansweredSince is the start of the first call since the last answer; 0 if the last call had
	// one. callMu guards it.
	unansweredSince Instant
}

// Add adds a duty. While this host holds it, task is called again and again; it must return soon.
// Add must not be called after Run.
func (r *Runner) Add(name string, task func(ctx context.Context, d *Duty)) *Duty {
	d := &Duty{
		Name: name, runner: r, task: task, tracker: NewTracker(r.Host, r.Process, r.Term, r.PauseMargin, r.Now()),
		wake: make(chan struct{}, 1), granted: make(chan struct{}, 1),
	}
	r.duties = append(r.duties, d)
	r.Metrics.NewGauge(fmt.Sprintf(`rattanscale_duty_held{duty=%q}`, name), func() float64 {
		if _, held := d.Grant(); held {
			return 1
		}
		return 0
	})
	r.Metrics.NewGauge(fmt.Sprintf(`rattanscale_duty_token{duty=%q}`, name), func() float64 {
		_, token := d.Holder()
		return float64(token)
	})
	return d
}

// Wake makes the runner decide again at once, after ranks or willingness have changed.
func (r *Runner) Wake() {
	for _, d := range r.duties {
		notify(d.wake)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run holds the duties until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, d := range r.duties {
		group.Go(func() { d.runClaims(ctx) })
		group.Go(func() { d.runTask(ctx) })
	}
	group.Wait()
}

// runClaims executes the tracker's decisions until ctx ends.
func (d *Duty) runClaims(ctx context.Context) {
	for ctx.Err() == nil {
		guard.Run(d.runner.Log, "claim of a duty", func() { d.step(ctx) })
	}
}

func (d *Duty) step(ctx context.Context) {
	r := d.runner
	rank, willing := r.Rank(d.Name), r.Willing()
	d.mu.Lock()
	action, until := d.tracker.Next(r.Now(), rank, willing)
	d.mu.Unlock()
	switch action {
	case Wait:
		d.sleep(ctx, until.Sub(r.Now()))
	case Read:
		d.read(ctx)
	case Release:
		// A call that is on its way ends first, so that it does not meet that of the next holder.
		d.callMu.Lock()
		defer d.callMu.Unlock()
		_ = d.write(ctx, action, nil)
	default:
		_ = d.write(ctx, action, nil) // the tracker has recorded the failure
	}
}

func (d *Duty) sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(max(duration, time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.wake:
	case <-ctx.Done():
	}
}

func (d *Duty) read(ctx context.Context) {
	r := d.runner
	d.mu.Lock()
	since := d.writtenAt
	d.mu.Unlock()
	rows, revision, startedAt, err := r.readRows(ctx, since)
	now := r.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.tracker.ReadFailed(now)
		r.Log.Info("duties could not be read", "duty", d.Name, "error", err.Error())
		return
	}
	o := rows[d.Name]
	o.StoreRevision = revision
	previous, _ := d.tracker.Holder()
	d.tracker.Observed(o, startedAt, now)
	if o.Holder != previous {
		r.Log.Info("duty holder seen", "duty", d.Name, "holder", o.Holder, "token", o.Token)
	}
}

// readRows reads all rows, or returns those of a read that another duty has just made, after since.
func (r *Runner) readRows(ctx context.Context, since Instant) (map[string]Observation, uint64, Instant, error) {
	const shareWithin = 200 * time.Millisecond
	r.readMu.Lock()
	defer r.readMu.Unlock()
	startedAt := r.Now()
	if r.lastRead != nil && r.lastReadAt > since && startedAt.Sub(r.lastReadAt) < shareWithin {
		return r.lastRead, r.lastStore, r.lastReadAt, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, revision, err := r.Store.ReadRows(ctx)
	if err == nil {
		r.lastRead, r.lastStore, r.lastReadAt = rows, revision, startedAt
	}
	return rows, revision, startedAt, err
}

// write writes the row as the action demands, with a new state unless it is nil.
func (d *Duty) write(ctx context.Context, action Action, state []byte) error {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	r := d.runner
	d.mu.Lock()
	row, expected := d.tracker.Proposal(action, state)
	previousToken := d.tracker.token
	d.mu.Unlock()
	startedAt := r.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, result, err := r.Store.WriteRow(ctx, d.Name, row, expected)
	d.mu.Lock()
	d.writtenAt = r.Now()
	d.tracker.Wrote(row, result, revision, startedAt, d.writtenAt)
	token := d.tracker.token
	d.mu.Unlock()
	d.countWrite(action, result)
	switch {
	case result == Written && token != previousToken && token != 0:
		r.Log.Info("duty claimed", "duty", d.Name, "token", token, "action", action.String())
	case result == Written && action == Release:
		r.Log.Info("duty released", "duty", d.Name, "token", row.Token)
	case result != Written:
		r.Log.Info("duty row not written", "duty", d.Name, "action", action.String(), "token", row.Token, "error", errorText(err))
	}
	if token != 0 {
		notify(d.granted)
	}
	if result != Written {
		return fmt.Errorf("write of the row of duty %s: %w", d.Name, err)
	}
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (d *Duty) countWrite(action Action, result WriteResult) {
	d.runner.Metrics.GetOrCreateCounter(fmt.Sprintf(`rattanscale_duty_writes_total{duty=%q,action=%q,result=%q}`, d.Name, action, result)).Inc()
}

// runTask calls the task while the duty is held.
func (d *Duty) runTask(ctx context.Context) {
	ticker := time.NewTicker(taskInterval)
	defer ticker.Stop()
	for {
		if _, held := d.Grant(); !held {
			select {
			case <-d.granted:
			case <-ctx.Done():
				return
			}
			ticker.Reset(taskInterval)
			continue
		}
		guard.Run(d.runner.Log, "task of a duty", func() { d.task(ctx, d) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Grant returns this host's claim; false if it has none that is good now.
func (d *Duty) Grant() (Grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Grant(d.runner.Now())
}

// Holder returns the holder and the token as this host last saw them.
func (d *Duty) Holder() (host string, token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Holder()
}

// Save writes a new state to the row and confirms the claim thereby. After an error the state may
// have been written; the next Grant has the state that the store holds.
func (d *Duty) Save(ctx context.Context, token uint64, state []byte) error {
	if g, held := d.Grant(); !held || g.Token != token {
		return ErrNotHeld
	}
	if d.storePaused() {
		return ErrStorePaused
	}
	return d.write(ctx, Confirm, state)
}

// storePaused reports whether a call to the store has just failed.
func (d *Duty) storePaused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.StorePaused(d.runner.Now())
}

// Do makes one call to the platform under a token, if the claim is good for the whole call;
// otherwise the claim is confirmed first.
func (d *Duty) Do(ctx context.Context, token uint64, call func(ctx context.Context, o Order) error) error {
	d.callMu.Lock()
	defer d.callMu.Unlock()
	callTime := time.Duration(callShare * float64(d.runner.Term))
	g, held := d.Grant()
	if held && g.Until.Sub(d.runner.Now()) < callTime {
		if d.storePaused() {
			return ErrNotHeld
		}
		if err := d.write(ctx, Confirm, nil); err != nil {
			return errors.Join(ErrNotHeld, err)
		}
		g, held = d.Grant()
	}
	if !held || g.Token != token {
		return ErrNotHeld
	}
	// The claim bounds the call also if the process was suspended since it was confirmed.
	startedAt := d.runner.Now()
	until := min(startedAt.Add(callTime), g.Until)
	if startedAt >= until {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(startedAt))
	defer cancel()
	err := call(ctx, Order{Holder: d.runner.Host, Token: token, Until: until})
	d.runner.Metrics.GetOrCreateCounter(fmt.Sprintf(`rattanscale_duty_calls_total{duty=%q,outcome=%q}`, d.Name, outcome(err))).Inc()
	if err != nil {
		d.runner.Log.Info("duty call failed", "duty", d.Name, "token", token, "error", err.Error())
	}
	if errors.Is(err, ErrSuperseded) {
		d.Retire(token)
	}
	d.yieldIfUnanswered(errors.Is(err, ErrUnknownOutcome), startedAt)
	return err
}

// yieldIfUnanswered leaves the duty to other hosts if no call has had an answer for some time.
func (d *Duty) yieldIfUnanswered(unanswered bool, startedAt Instant) {
	r := d.runner
	switch now := r.Now(); {
	case !unanswered:
		d.unansweredSince = 0
	case d.unansweredSince == 0:
		d.unansweredSince = startedAt
	case now.Sub(d.unansweredSince) >= yieldTerms*r.Term:
		d.unansweredSince = 0
		d.mu.Lock()
		d.tracker.Yield(now.Add(yieldPauseTerms * r.Term))
		d.mu.Unlock()
		r.Log.Info("duty yielded: the platform does not answer this host", "duty", d.Name)
		notify(d.wake)
	}
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrSuperseded):
		return "superseded"
	case errors.Is(err, ErrThrottled):
		return "throttled"
	case errors.Is(err, ErrNotHeld):
		return "not-held"
	default:
		return "unknown"
	}
}

// Raise retires a token and confirms the claim under a higher one, which it returns.
func (d *Duty) Raise(ctx context.Context, token uint64) (Grant, error) {
	d.Retire(token)
	if err := d.write(ctx, Confirm, nil); err != nil {
		return Grant{}, errors.Join(ErrNotHeld, err)
	}
	g, held := d.Grant()
	if !held {
		return Grant{}, ErrNotHeld
	}
	return g, nil
}

// Retire ends the use of a token. If this host still holds the duty, it continues under a higher
// one, so that the platform rejects calls under the old one that it executes late.
func (d *Duty) Retire(token uint64) {
	d.mu.Lock()
	d.tracker.Retire(token)
	d.mu.Unlock()
	notify(d.wake)
}
