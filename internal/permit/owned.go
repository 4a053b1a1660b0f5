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
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// ownedPool is a pool for which this daemon grants permits in one role. Its mutex guards
// state, which does no locking itself.
type ownedPool struct {
	owner *Owner
	key   poolRole
	// idBase distinguishes the permits of this owner from those of others.
	idBase uint64

	mu            sync.Mutex
	conf          entity.Pool
	dataCentreOut bool
	state         *pool.State
	waiters       map[string]*waiter
	holders       map[uint64]*permitHolder
	pollers       map[string]*poller
	// reportedTokens holds the output tokens last reported for each permit; tokenCounts
	// sums the increments.
	reportedTokens map[uint64]int
	tokenCounts    map[ServiceDemand]int
	ctx            context.Context
	cancel         context.CancelFunc
	stopped        bool
	// deputy is the name of the member that grants from the reserve.
	deputy string
	// granting is set while this daemon has had the right to grant at each decision
	// without interruption.
	granting bool
}

// waiter is a request that waits for its permit, or whose result the requester has not
// collected yet.
type waiter struct {
	holder      string
	answer      chan AcquireResult // receives the result of the open call; nil if none is open
	uncollected *AcquireResult     // result that came while no call was open
	lastCallAt  time.Time
}

// permitHolder names the daemon that relays a request. A daemon whose stream was resumed
// by another one cannot take it back with a late digest.
type permitHolder struct {
	current   string
	former    map[string]bool
	requestID string
	upstream  string
}

// acceptDigestFrom reports whether a digest of the named daemon applies to the permit.
// The first digest of a new daemon makes that daemon the holder.
func (h *permitHolder) acceptDigestFrom(name string) bool {
	if h.former[name] {
		return false
	}
	if h.current != name {
		if h.former == nil {
			h.former = map[string]bool{}
		}
		h.former[h.current] = true
		h.current = name
	}
	return true
}

func (w *ownedPool) start(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.syncPollers()
}

func (w *ownedPool) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.stopped = true
	for _, waiting := range w.waiters {
		if waiting.answer != nil {
			waiting.answer <- AcquireResult{} // the requester repeats its call to the new owner
			waiting.answer = nil
		}
	}
}

func (w *ownedPool) configure(p entity.Pool, dataCentreOut bool, isLeaving func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conf, w.dataCentreOut = p, dataCentreOut
	w.applyConfig(isLeaving)
	if w.ctx != nil {
		w.syncPollers()
	}
	w.decide()
}

func (w *ownedPool) setLeaving(isLeaving func(string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyConfig(isLeaving)
	w.decide()
}

// applyConfig passes the configuration to the state, with the upstreams marked for which
// isLeaving returns true.
func (w *ownedPool) applyConfig(isLeaving func(string) bool) {
	p := w.conf
	p.Upstreams = slices.Clone(p.Upstreams)
	for i, u := range p.Upstreams {
		p.Upstreams[i].Leaving = u.Leaving || isLeaving(u.Address)
	}
	w.state.SetPool(w.owner.now(), p, w.dataCentreOut)
}

// setDeputy records the deputy. The state must know of a change, because the previous
// deputy may grant until its lease ends.
func (w *ownedPool) setDeputy(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deputy == name {
		return
	}
	w.deputy = name
	now := w.owner.now()
	w.state.RecordDeputyChange(now, now.Add(membershipLeaseTerm))
}

// mayGrant returns an error when this daemon must not grant. It is called right before
// each decision, so that a process that was paused for longer than its lease grants
// nothing. The caller holds the lock.
func (w *ownedPool) mayGrant() error {
	if w.stopped {
		return failure.NotRun(failure.Draining, "host %s no longer serves pool %s", w.owner.members.Self(), w.key.pool)
	}
	return w.owner.members.MayGrant(w.owner.now(), w.key.pool, w.key.role)
}

func (w *ownedPool) acquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
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
	waiting.lastCallAt = now
	if waiting.answer != nil {
		waiting.answer <- AcquireResult{} // the requester has abandoned its earlier call
	}
	answer := make(chan AcquireResult, 1)
	waiting.answer = answer
	if waiting.uncollected != nil {
		result := *waiting.uncollected
		w.deliver(p.Request.ID, waiting, result)
	} else {
		w.state.Acquire(now, p.Request)
		w.decide()
	}
	w.mu.Unlock()

	timer := time.NewTimer(min(p.Wait, maxAcquireWait))
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
	case result := <-answer: // answered after the timer fired or ctx ended
		return result, nil
	default:
	}
	if waiting.answer == answer {
		waiting.answer = nil
	}
	return AcquireResult{}, nil
}

// deliver sends a result to the open call, or keeps it for the next call. The caller
// holds the lock.
func (w *ownedPool) deliver(requestID string, waiting *waiter, result AcquireResult) {
	if waiting.answer == nil {
		now := w.owner.now()
		waiting.uncollected, waiting.lastCallAt = &result, now
		return
	}
	if p := result.Permit; p != nil {
		result.Waited = result.grantedAt.Sub(waiting.lastCallAt)
		if w.holders[p.ID] == nil {
			w.holders[p.ID] = &permitHolder{current: waiting.holder, requestID: p.RequestID, upstream: p.Upstream}
		}
	}
	waiting.answer <- result
	delete(w.waiters, requestID)
}

// tick drops requests whose requester no longer repeats its call, and decides.
func (w *ownedPool) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.owner.now()
	for id, waiting := range w.waiters {
		if waiting.answer != nil || now.Sub(waiting.lastCallAt) < requesterTimeout {
			continue
		}
		if waiting.uncollected != nil && waiting.uncollected.Permit != nil {
			w.state.Release(now, waiting.uncollected.Permit.ID, pool.NeverSent, 0)
		} else {
			w.state.Abandon(now, id)
		}
		delete(w.waiters, id)
	}
	w.decide()
}

// decide runs the state's decisions and carries them out, if this daemon may grant. The
// caller holds the lock.
func (w *ownedPool) decide() {
	if w.mayGrant() != nil {
		w.granting = false
		return
	}
	if now := w.owner.now(); !w.granting {
		// Another daemon may have granted permits before. The requests that run are known
		// only after their holders' digests and the upstreams' load reports.
		w.granting = true
		w.state.StartEpoch(now, now)
	}
	for _, command := range w.state.Decide(w.owner.now()) {
		switch c := command.(type) {
		case pool.Grant:
			p := c.Permit
			w.answerRequest(p.RequestID, AcquireResult{Permit: &p, grantedAt: c.GrantedAt})
		case pool.Refuse:
			w.answerRequest(c.RequestID, AcquireResult{Refusal: &Refusal{Reason: c.Reason, RetryAfter: c.RetryAfter}})
		case pool.CancelAtUpstream:
			w.owner.events.Record("upstream-cancel", c.RequestID, "upstream", c.Upstream)
			go guard.Run(w.owner.log, "cancellation at an upstream", func() { w.cancelAtUpstream(w.ctx, c) })
		}
	}
	w.requestReports(w.state.ReportsNeeded(w.owner.now()))
	if notices := w.state.TakeNotices(); len(notices) > 0 {
		for _, n := range notices {
			w.owner.events.Record("request-suspected", "", "pool", w.key.pool, "fingerprint", strconv.FormatUint(n.Fingerprint, 16),
				"losses", strconv.Itoa(n.Losses), "refused", strconv.FormatBool(n.Refused), "cleared", strconv.FormatBool(n.Cleared))
		}
		go guard.Run(w.owner.log, "notices of suspected requests", func() { w.owner.SendNotices(notices) })
	}
}

func (w *ownedPool) answerRequest(requestID string, result AcquireResult) {
	waiting := w.waiters[requestID]
	if waiting == nil {
		if result.Permit != nil {
			w.state.Release(w.owner.now(), result.Permit.ID, pool.NeverSent, 0)
		}
		return
	}
	w.deliver(requestID, waiting, result)
}

// cancelAtUpstream cancels the request of an expired permit. When that fails it does
// nothing: the state repeats the command until the cancellation is confirmed.
func (w *ownedPool) cancelAtUpstream(ctx context.Context, c pool.CancelAtUpstream) {
	if err := w.cancelGeneration(ctx, c.Upstream, c.RequestID); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.holders, c.PermitID)
	delete(w.reportedTokens, c.PermitID)
	w.state.ConfirmCancelled(w.owner.now(), c.PermitID)
	w.decide()
}

func (w *ownedPool) cancelGeneration(ctx context.Context, upstreamName, requestID string) error {
	address, kind, ok := w.upstreamAddress(upstreamName)
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

func (w *ownedPool) upstreamAddress(upstreamName string) (string, entity.UpstreamKind, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.conf.Upstreams {
		if u.Name == upstreamName {
			return u.Address, w.conf.Kind, true
		}
	}
	return "", w.conf.Kind, false
}

func (w *ownedPool) applyDigest(p ProgressParams) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.owner.now()
	for _, r := range p.Running {
		w.renewPermit(now, p.Holder, r)
	}
	for _, f := range p.Finished {
		if holder := w.holders[f.PermitID]; holder == nil || holder.acceptDigestFrom(p.Holder) {
			w.finishRequest(now, f, holder)
		}
	}
	w.decide()
}

// renewPermit applies one running request of a digest, and adopts it if its permit was granted
// by an earlier owner. The caller holds the lock.
func (w *ownedPool) renewPermit(now time.Time, from string, r RunningRequest) {
	holder := w.holders[r.Permit.ID]
	if holder != nil && !holder.acceptDigestFrom(from) {
		return
	}
	if more := r.Progress.Tokens - w.reportedTokens[r.Permit.ID]; more > 0 {
		w.tokenCounts[ServiceDemand{w.key.pool, r.Service, r.Version}] += more
		w.reportedTokens[r.Permit.ID] = r.Progress.Tokens
	}
	w.state.Progress(now, []pool.Progress{r.Progress})
	if len(w.state.TakeUnknownPermits()) == 0 || pool.SameIssuer(r.Permit.ID, w.idBase) {
		return // the permit was renewed, or was granted by this owner and has ended
	}
	w.state.Adopt(now, []pool.AdoptedPermit{{
		Permit: r.Permit, Tokens: r.Progress.Tokens,
		Request: pool.Request{
			ID: r.Permit.RequestID, Fingerprint: r.Fingerprint, Service: r.Service, Version: r.Version,
			Account: r.Account, PromptTokens: r.PromptTokens,
		},
	}})
	w.holders[r.Permit.ID] = &permitHolder{current: from, requestID: r.Permit.RequestID, upstream: r.Permit.Upstream}
}

func (w *ownedPool) finishRequest(now time.Time, f FinishedRequest, holder *permitHolder) {
	delete(w.holders, f.PermitID)
	delete(w.reportedTokens, f.PermitID)
	if !f.Cancel || f.Outcome != pool.Cancelled || holder == nil {
		w.state.Release(now, f.PermitID, f.Outcome, f.Tokens)
		return
	}
	// The request keeps its slot until the upstream has confirmed the cancellation.
	go func() {
		outcome := pool.Cancelled
		if w.cancelGeneration(w.ctx, holder.upstream, holder.requestID) != nil {
			outcome = pool.UpstreamLost
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.state.Release(w.owner.now(), f.PermitID, outcome, f.Tokens)
		w.decide()
	}()
}

func (w *ownedPool) applyNotices(notices []quarantine.Notice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range notices {
		w.state.ApplyNotice(w.owner.now(), n)
	}
}

func (w *ownedPool) status() PoolStatus {
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
		if p := w.pollers[u.Name]; p != nil {
			row.Incarnation, row.Models, row.Reachable = p.report.Incarnation, p.report.Models, p.reachable && !u.Down
		}
		status.Upstreams = append(status.Upstreams, row)
	}
	return status
}

func (w *ownedPool) engines() []EngineState {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conf.Kind == entity.KindPlain {
		return nil
	}
	out := make([]EngineState, 0, len(w.pollers))
	for name, p := range w.pollers {
		out = append(out, EngineState{Pool: w.key.pool, Upstream: name, Reachable: p.reachable, Report: p.report, MeasuredAt: p.measuredAt})
	}
	return out
}

func (w *ownedPool) takeTokenCounts(into map[ServiceDemand]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for demand, n := range w.tokenCounts {
		into[demand] += n
	}
	clear(w.tokenCounts)
}
