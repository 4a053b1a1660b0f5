package permit

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// owned is one pool in one role. Its mutex serialises the pure state.
type owned struct {
	owner *Owner
	key   digestKey
	// idBase tells the permits of this owner from those of others.
	idBase uint64

	mu      sync.Mutex
	conf    entity.Pool
	out     bool
	state   *pool.State
	waiters map[string]*waiter
	holders map[uint64]*holderOf
	polls   map[string]*poller
	// produced holds the tokens last reported for each permit; tokens sums the increments.
	produced map[uint64]int
	tokens   map[Demand]int
	ctx      context.Context
	cancel   context.CancelFunc
	stopped  bool
	// deputy is the member that grants from the reserve.
	deputy string
	// granting is set while the right to grant has lasted without interruption.
	granting bool
}

// waiter is a request that waits for its permit, or whose answer waits to be collected.
type waiter struct {
	holder  string
	answer  chan AcquireResult // nil between two calls of the requester
	result  *AcquireResult     // set while nobody waits
	askedAt time.Time
}

// holderOf names the daemon that relays a request. A daemon that lost the stream
// to another one cannot take it back with a late digest.
type holderOf struct {
	current  string
	previous map[string]bool
	request  string
	upstream string
}

// accepts reports whether digests of the named daemon count for the permit. The
// first digest of a new daemon moves the permit to it.
func (h *holderOf) accepts(name string) bool {
	if h.previous[name] {
		return false
	}
	if h.current != name {
		if h.previous == nil {
			h.previous = map[string]bool{}
		}
		h.previous[h.current] = true
		h.current = name
	}
	return true
}

func (w *owned) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.syncPollers()
}

func (w *owned) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.stopped = true
	for _, waiting := range w.waiters {
		if waiting.answer != nil {
			waiting.answer <- AcquireResult{} // the requester asks the new owner
			waiting.answer = nil
		}
	}
}

func (w *owned) configure(p entity.Pool, out bool, leaving func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conf, w.out = p, out
	w.apply(leaving)
	if w.ctx != nil {
		w.syncPollers()
	}
	w.decide()
}

func (w *owned) reconfigure(leaving func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apply(leaving)
	w.decide()
}

// apply gives the state the configuration with the upstreams on leaving hosts marked.
func (w *owned) apply(leaving func(string) bool) {
	p := w.conf
	p.Upstreams = slices.Clone(p.Upstreams)
	for i, u := range p.Upstreams {
		p.Upstreams[i].Leaving = u.Leaving || leaving(u.Address)
	}
	w.state.SetPool(w.owner.now(), p, w.out)
}

// deputyIs tells the state when the deputy changes: the previous one may grant
// until its lease ends.
func (w *owned) deputyIs(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deputy == name {
		return
	}
	w.deputy = name
	now := w.owner.now()
	w.state.DeputyChanged(now, now.Add(leaseTerm))
}

// mayGrant is checked right before each decision, so that a process that was
// paused past its lease grants nothing.
func (w *owned) mayGrant() error {
	if w.stopped {
		return failure.NotRun(failure.Draining, "host %s has given pool %s up", w.owner.members.Self(), w.key.pool)
	}
	return w.owner.members.MayGrant(w.owner.now(), w.key.pool, w.key.role)
}

func (w *owned) acquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	w.mu.Lock()
	if err := w.mayGrant(); err != nil {
		w.mu.Unlock()
		return AcquireResult{}, err
	}
	now := w.owner.now()
	waiting := w.waiters[p.Request.ID]
	if waiting == nil {
		waiting = &waiter{holder: p.Holder}
		w.waiters[p.Request.ID] = waiting
	}
	waiting.askedAt = now
	if waiting.answer != nil {
		waiting.answer <- AcquireResult{} // an earlier call of the same requester was given up
	}
	answer := make(chan AcquireResult, 1)
	waiting.answer = answer
	if waiting.result != nil {
		result := *waiting.result
		w.deliver(p.Request.ID, waiting, result)
	} else {
		w.state.Acquire(now, p.Request)
		w.decide()
	}
	w.mu.Unlock()

	timer := time.NewTimer(min(p.Wait, acquireWait))
	defer timer.Stop()
	select {
	case result := <-answer:
		return result, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case result := <-answer: // answered in the meantime
		return result, nil
	default:
	}
	if waiting.answer == answer {
		waiting.answer = nil
	}
	return AcquireResult{}, nil
}

// deliver hands a result to the waiting call, or keeps it for the next call.
func (w *owned) deliver(requestID string, waiting *waiter, result AcquireResult) {
	if waiting.answer == nil {
		now := w.owner.now()
		waiting.result, waiting.askedAt = &result, now
		return
	}
	if p := result.Permit; p != nil {
		result.Waited = result.grantedAt.Sub(waiting.askedAt)
		if w.holders[p.ID] == nil {
			w.holders[p.ID] = &holderOf{current: waiting.holder, request: p.RequestID, upstream: p.Upstream}
		}
	}
	waiting.answer <- result
	delete(w.waiters, requestID)
}

// tick decides and drops requests whose requester stopped asking.
func (w *owned) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.owner.now()
	for id, waiting := range w.waiters {
		if waiting.answer != nil || now.Sub(waiting.askedAt) < collectTimeout {
			continue
		}
		if waiting.result != nil && waiting.result.Permit != nil {
			w.state.Release(now, waiting.result.Permit.ID, pool.NeverSent, 0)
		} else {
			w.state.Abandon(now, id)
		}
		delete(w.waiters, id)
	}
	w.decide()
}

// decide carries out the decisions of the state. The caller holds the lock.
func (w *owned) decide() {
	if w.mayGrant() != nil {
		w.granting = false
		return
	}
	if now := w.owner.now(); !w.granting {
		// Another daemon may have granted before; what runs is learned from digests and load reports.
		w.granting = true
		w.state.HoldUntil(now, now)
	}
	for _, command := range w.state.Decide(w.owner.now()) {
		switch c := command.(type) {
		case pool.Grant:
			p := c.Permit
			w.answer(p.RequestID, AcquireResult{Permit: &p, grantedAt: c.GrantedAt})
		case pool.Refuse:
			w.answer(c.RequestID, AcquireResult{Refusal: &Refusal{Reason: c.Reason, RetryAfter: c.RetryAfter}})
		case pool.CancelAtUpstream:
			w.owner.events.Record("upstream-cancel", c.RequestID, "upstream", c.Upstream)
			go w.cancelAtUpstream(w.ctx, c)
		}
	}
	w.wantReports(w.state.ReportsWanted(w.owner.now()))
	if notices := w.state.TakeNotices(); len(notices) > 0 {
		for _, n := range notices {
			w.owner.events.Record("request-suspected", "", "pool", w.key.pool, "fingerprint", strconv.FormatUint(n.Fingerprint, 16),
				"losses", strconv.Itoa(n.Losses), "refused", strconv.FormatBool(n.Refused), "cleared", strconv.FormatBool(n.Cleared))
		}
		go w.owner.Notify(notices)
	}
}

func (w *owned) answer(requestID string, result AcquireResult) {
	waiting := w.waiters[requestID]
	if waiting == nil {
		if result.Permit != nil {
			w.state.Release(w.owner.now(), result.Permit.ID, pool.NeverSent, 0)
		}
		return
	}
	w.deliver(requestID, waiting, result)
}

// cancelAtUpstream cancels the request of an expired permit. The state repeats
// the command until the cancellation is confirmed.
func (w *owned) cancelAtUpstream(ctx context.Context, c pool.CancelAtUpstream) {
	if err := w.callCancel(ctx, c.Upstream, c.RequestID); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.holders, c.PermitID)
	delete(w.produced, c.PermitID)
	w.state.ConfirmCancelled(w.owner.now(), c.PermitID)
	w.decide()
}

func (w *owned) callCancel(ctx context.Context, upstreamName, requestID string) error {
	address, kind, ok := w.address(upstreamName)
	if !ok || kind == entity.KindPlain {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := w.owner.engine.Cancel(ctx, address, requestID)
	if errors.Is(err, upstream.ErrUnknownGeneration) {
		return nil
	}
	return err
}

func (w *owned) address(upstreamName string) (string, entity.UpstreamKind, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.conf.Upstreams {
		if u.Name == upstreamName {
			return u.Address, w.conf.Kind, true
		}
	}
	return "", w.conf.Kind, false
}

func (w *owned) progress(p ProgressParams) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.owner.now()
	for _, r := range p.Running {
		w.renew(now, p.Holder, r)
	}
	for _, f := range p.Finished {
		if holder := w.holders[f.PermitID]; holder == nil || holder.accepts(p.Holder) {
			w.finish(now, f, holder)
		}
	}
	w.decide()
}

// renew applies one running request of a digest. Permits of earlier owners are adopted.
func (w *owned) renew(now time.Time, from string, r Running) {
	holder := w.holders[r.Permit.ID]
	if holder != nil && !holder.accepts(from) {
		return
	}
	if more := r.Progress.Tokens - w.produced[r.Permit.ID]; more > 0 {
		w.tokens[Demand{w.key.pool, r.Service, r.Version}] += more
		w.produced[r.Permit.ID] = r.Progress.Tokens
	}
	w.state.Progress(now, []pool.Progress{r.Progress})
	if len(w.state.TakeUnknownPermits()) == 0 || pool.SameIssuer(r.Permit.ID, w.idBase) {
		return // renewed, or a permit of this owner that has ended
	}
	w.state.Adopt(now, []pool.AdoptedPermit{{
		Permit: r.Permit, Tokens: r.Progress.Tokens,
		Request: pool.Request{
			ID: r.Permit.RequestID, Fingerprint: r.Fingerprint, Service: r.Service, Version: r.Version,
			Account: r.Account, PromptTokens: r.PromptTokens,
		},
	}})
	w.holders[r.Permit.ID] = &holderOf{current: from, request: r.Permit.RequestID, upstream: r.Permit.Upstream}
}

func (w *owned) finish(now time.Time, f Finished, holder *holderOf) {
	delete(w.holders, f.PermitID)
	delete(w.produced, f.PermitID)
	if !f.Cancel || f.Outcome != pool.Cancelled || holder == nil {
		w.state.Release(now, f.PermitID, f.Outcome, f.Tokens)
		return
	}
	// The slot stays taken until the upstream confirmed the cancellation.
	go func() {
		outcome := pool.Cancelled
		if w.callCancel(w.ctx, holder.upstream, holder.request) != nil {
			outcome = pool.UpstreamLost
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.state.Release(w.owner.now(), f.PermitID, outcome, f.Tokens)
		w.decide()
	}()
}

func (w *owned) notify(notices []quarantine.Notice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range notices {
		w.state.Notify(w.owner.now(), n)
	}
}

func (w *owned) status() PoolStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshot := w.state.Snapshot(w.owner.now())
	status := PoolStatus{Pool: w.key.pool, Owner: w.owner.members.Self()}
	for _, n := range snapshot.Queued {
		status.Queued += n
	}
	status.Queued += snapshot.Suspects
	for _, u := range snapshot.Upstreams {
		row := UpstreamStatus{Name: u.Name, Cold: u.Cold, Leaving: u.Leaving, Running: u.Running, Limit: u.Limit, Step: u.Step, Reachable: !u.Down}
		if p := w.polls[u.Name]; p != nil {
			row.Incarnation, row.Models, row.Reachable = p.report.Incarnation, p.report.Models, p.reachable && !u.Down
		}
		status.Upstreams = append(status.Upstreams, row)
	}
	return status
}

func (w *owned) engines() []EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conf.Kind == entity.KindPlain {
		return nil
	}
	out := make([]EngineState, 0, len(w.polls))
	for name, p := range w.polls {
		out = append(out, EngineState{Pool: w.key.pool, Upstream: name, Reachable: p.reachable, Report: p.report, MeasuredAt: p.measuredAt})
	}
	return out
}

func (w *owned) takeTokens(into map[Demand]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for demand, n := range w.tokens {
		into[demand] += n
	}
	clear(w.tokens)
}
