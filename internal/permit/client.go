package permit

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/pool"
)

const (
	// PermitTerm is the life of a permit that is not renewed.
	PermitTerm = 10 * time.Second
	// digestInterval is the time between digests to the owner of a pool in use.
	digestInterval = 500 * time.Millisecond
	// maxAcquireWait is how long one acquire call may wait at the owner. It is far
	// below Term, because the holder counts the term from the start of the call.
	maxAcquireWait = 2 * time.Second
	// maxDeputyWait is the same for a deputy, whose reserve is either free or not.
	maxDeputyWait = 250 * time.Millisecond
	// callTimeout bounds a call to a peer beyond the time that the peer may wait.
	callTimeout = time.Second
	// retryPause separates attempts while the pool has no owner that may grant.
	retryPause = 50 * time.Millisecond
	// dispatchTimeout is the longest time between a grant and the sending of the
	// request. New owners count on it when they take over a pool.
	dispatchTimeout = 500 * time.Millisecond
)

// Caller calls a method of a peer. Implementations are safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Members answers questions about the current member view. Implementations are
// safe for concurrent use.
type Members interface {
	// MemberInRole returns the name and peer address of the member with the role for the pool.
	MemberInRole(poolName string, role Role) (name, address string, ok bool)
	// Self returns this daemon's member name.
	Self() string
	// MaySend returns a typed failure when this daemon must not send new work.
	MaySend(now time.Time) error
	// MayGrant returns a typed failure when this daemon must not grant permits of the pool in the role.
	MayGrant(now time.Time, poolName string, role Role) error
}

// HeldPermit is a permit in use. Update and Release may be called from any goroutine;
// Release ends it and further calls have no effect.
type HeldPermit struct {
	client *Client
	pool   string
	role   Role

	mu       sync.Mutex
	running  RunningRequest
	sendBy   time.Time
	released bool
	// unannounced is set until a digest with the permit was built; see Client.Adopt.
	unannounced  bool
	stepCount    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	startedAt    time.Time
}

// Client acquires permits for this daemon and reports on their use. Run sends
// the digests; it stops when its context ends.
type Client struct {
	caller        Caller
	members       Members
	log           logr.Logger
	now           func() time.Time
	flushRequests chan struct{}

	mu       sync.Mutex
	held     map[uint64]*HeldPermit
	finished map[string][]finishedPermit // by pool
}

type finishedPermit struct {
	FinishedRequest
	role Role
}

// NewClient returns a Client.
func NewClient(caller Caller, members Members, log logr.Logger) *Client {
	return &Client{
		caller: caller, members: members, log: log, now: time.Now, flushRequests: make(chan struct{}, 1),
		held: map[uint64]*HeldPermit{}, finished: map[string][]finishedPermit{},
	}
}

// Acquire waits for a permit of the pool. Every error proves that the request did not run.
func (c *Client) Acquire(ctx context.Context, poolName string, request pool.Request) (*HeldPermit, error) {
	role := RoleOwner
	for {
		if err := c.members.MaySend(c.now()); err != nil {
			return nil, err
		}
		result, sentAt, err := c.acquireOnce(ctx, poolName, role, request)
		switch {
		case ctx.Err() != nil:
			return nil, failure.NotRun(failure.DeadlineExceeded, "no permit of pool %s was granted in time", poolName)
		case err != nil:
			// The owner is unreachable or lost its lease; the deputy's reserve bridges the gap.
			role = lo.Ternary(role == RoleOwner, RoleDeputy, RoleOwner)
			if !sleep(ctx, retryPause) {
				return nil, failure.NotRun(failure.NoUpstream, "pool %s has no reachable owner: %v", poolName, err)
			}
		case result.Refusal != nil && (role == RoleOwner || result.Refusal.Reason != pool.ReasonNotAuthority):
			return nil, refusalError(poolName, *result.Refusal)
		case result.Permit != nil:
			// The owner granted at the earliest after it had received the call and had waited.
			return c.register(poolName, role, request, *result.Permit, sentAt.Add(result.Waited+dispatchTimeout)), nil
		default:
			role = RoleOwner // a deputy without free reserve has nothing to wait for
		}
	}
}

func (c *Client) acquireOnce(ctx context.Context, poolName string, role Role, request pool.Request) (AcquireResult, time.Time, error) {
	var result AcquireResult
	sentAt := c.now()
	_, address, ok := c.members.MemberInRole(poolName, role)
	if !ok {
		return result, sentAt, failure.NotRun(failure.NoUpstream, "pool %s has no %s", poolName, role)
	}
	wait := maxAcquireWait
	if role == RoleDeputy {
		wait = maxDeputyWait
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err := c.caller.Call(callCtx, address, MethodAcquire, AcquireParams{
		Pool: poolName, Role: role, Holder: c.members.Self(), Request: request, Wait: wait,
	}, &result)
	return result, sentAt, err
}

// refusalError maps a refusal of the owner to a typed failure; none of the refused requests ran.
func refusalError(poolName string, r Refusal) error {
	switch r.Reason {
	case pool.ReasonQueueFull:
		return failure.NotRun(failure.QueueFull, "the queue of pool %s is full for this client account", poolName)
	case pool.ReasonDeadline:
		return failure.NotRun(failure.DeadlineExceeded, "pool %s cannot start the request before its deadline", poolName)
	case pool.ReasonQuarantined:
		return failure.NotRun(failure.Quarantined, "this request was running on several upstreams when they were lost")
	case pool.ReasonNeverFits:
		return failure.NotRun(failure.InvalidRequest, "the prompt does not fit into the memory of pool %s", poolName)
	default:
		return failure.NotRun(failure.NoUpstream, "pool %s refused: %s", poolName, r.Reason)
	}
}

// roleOf returns the role of the daemon that granted the permit.
func roleOf(permitID uint64) Role {
	if pool.GrantedByDeputy(permitID) {
		return RoleDeputy
	}
	return RoleOwner
}

// Adopt registers a stream that was started through another host, so that its
// permit is renewed by this daemon.
func (c *Client) Adopt(poolName string, running RunningRequest) *HeldPermit {
	held := &HeldPermit{client: c, pool: poolName, role: roleOf(running.Permit.ID), running: running, startedAt: c.now(), unannounced: true}
	c.mu.Lock()
	if previous := c.held[running.Permit.ID]; previous != nil {
		previous.supersede()
	}
	c.held[running.Permit.ID] = held
	c.mu.Unlock()
	c.requestFlush()
	return held
}

func (c *Client) register(poolName string, role Role, r pool.Request, p pool.Permit, sendBy time.Time) *HeldPermit {
	held := &HeldPermit{
		client: c, pool: poolName, role: role, sendBy: sendBy, startedAt: c.now(),
		running: RunningRequest{
			Permit: p, Fingerprint: r.Fingerprint, Service: r.Service, Version: r.Version,
			Account: r.Account, PromptTokens: r.PromptTokens, Progress: pool.Progress{PermitID: p.ID},
		},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[p.ID] = held
	return held
}

// Permit returns the permit.
func (h *HeldPermit) Permit() pool.Permit { return h.running.Permit }

// MaySend reports whether the request may be sent now. It is checked right before
// sending, so that a process that was paused sends nothing with an old permit.
func (h *HeldPermit) MaySend() error {
	now := h.client.now()
	if now.After(h.sendBy) {
		return failure.NotRun(failure.DeadlineExceeded, "the permit was granted more than %v before the request could be sent", dispatchTimeout)
	}
	return h.client.members.MaySend(now)
}

// RecordToken records one received token and returns the time since the one before it,
// or 0 for the first.
func (h *HeldPermit) RecordToken() (gap time.Duration) {
	now := h.client.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &h.running.Progress
	p.Tokens++
	if p.Tokens == 1 {
		p.FirstToken = now.Sub(h.startedAt)
	}
	if h.firstTokenAt.IsZero() {
		h.firstTokenAt = now
	} else {
		// Mean of the steps since the previous digest.
		gap = now.Sub(h.lastTokenAt)
		h.stepCount++
		p.StepTime += (gap - p.StepTime) / time.Duration(h.stepCount)
	}
	h.lastTokenAt = now
	return gap
}

// TokenTimings returns the time to the first token and the mean time between tokens, 0
// where unknown.
func (h *HeldPermit) TokenTimings() (first, step time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.running.Progress.Tokens; n > 1 {
		step = h.lastTokenAt.Sub(h.firstTokenAt) / time.Duration(n-1)
	}
	return h.running.Progress.FirstToken, step
}

// Release ends the permit. With cancel, the owner cancels the request at the
// upstream unless another host has resumed it.
func (h *HeldPermit) Release(outcome pool.Outcome, cancel bool) {
	finished, ok := h.markReleased(outcome, cancel)
	if !ok {
		return
	}
	c := h.client
	c.mu.Lock()
	c.finished[h.pool] = append(c.finished[h.pool], finishedPermit{FinishedRequest: finished, role: h.role})
	c.mu.Unlock()
	c.requestFlush()
}

// ReleaseAfterUpstreamLoss ends the permit of a request whose upstream was lost and returns
// once the pool's owner knows it, or cannot be reached. A retry that came to the
// owner first could crash a second upstream beside other requests.
func (h *HeldPermit) ReleaseAfterUpstreamLoss(ctx context.Context) {
	finished, ok := h.markReleased(pool.UpstreamLost, true)
	if !ok {
		return
	}
	c := h.client
	c.sendDigest(context.WithoutCancel(ctx), poolRole{h.pool, h.role}, &ProgressParams{
		Pool: h.pool, Role: h.role, Holder: c.members.Self(), Finished: []FinishedRequest{finished},
	})
}

// markReleased takes the permit out of use. It returns false when it was ended before.
func (h *HeldPermit) markReleased(outcome pool.Outcome, cancel bool) (FinishedRequest, bool) {
	h.mu.Lock()
	released, running := h.released, h.running
	h.released = true
	h.mu.Unlock() // the client's lock comes before that of a permit
	if released {
		return FinishedRequest{}, false
	}
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	delete(h.client.held, running.Permit.ID)
	return FinishedRequest{
		PermitID: running.Permit.ID, Upstream: running.Permit.Upstream, Outcome: outcome, Tokens: running.Progress.Tokens, Cancel: cancel,
	}, true
}

// supersede makes a later Release of h do nothing.
func (h *HeldPermit) supersede() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
}

// Detach stops renewing the permit without ending it. Another host may adopt the
// stream; when none does, the owner cancels the request once the term is over.
func (h *HeldPermit) Detach() {
	h.mu.Lock()
	if h.released {
		h.mu.Unlock()
		return
	}
	h.released = true
	h.mu.Unlock()
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	delete(h.client.held, h.running.Permit.ID)
}

func (c *Client) requestFlush() {
	select {
	case c.flushRequests <- struct{}{}:
	default:
	}
}

// Run sends digests until ctx ends, and a last one after that.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			c.sendDigests(final, allPermits)
			cancel()
			return
		case <-ticker.C:
			c.sendDigests(ctx, allPermits)
		case <-c.flushRequests:
			c.sendDigests(ctx, changedPermits)
		}
	}
}

// digestScope tells which running permits a digest lists.
type digestScope bool

const (
	// allPermits renews every permit.
	allPermits digestScope = true
	// changedPermits leaves out what the next regular digest renews anyway. A digest
	// that reports the end of one request would otherwise repeat all the others, and
	// its cost would grow with the square of the load.
	changedPermits digestScope = false
)

type poolRole struct {
	pool string
	role Role
}

// sendDigests sends one digest for each pool and role in use, side by side.
func (c *Client) sendDigests(ctx context.Context, scope digestScope) {
	digests := c.buildDigests(scope)
	var calls sync.WaitGroup
	for key, digest := range digests {
		calls.Go(func() { c.sendDigest(ctx, key, digest) })
	}
	calls.Wait()
}

func (c *Client) buildDigests(scope digestScope) map[poolRole]*ProgressParams {
	digests := map[poolRole]*ProgressParams{}
	digest := func(key poolRole) *ProgressParams {
		if digests[key] == nil {
			digests[key] = &ProgressParams{Pool: key.pool, Role: key.role, Holder: c.members.Self()}
		}
		return digests[key]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, held := range c.held {
		if scope == changedPermits && !held.isUnannounced() {
			continue
		}
		d := digest(poolRole{held.pool, held.role})
		d.Running = append(d.Running, held.takeDigestEntry())
	}
	for poolName, list := range c.finished {
		for _, f := range list {
			d := digest(poolRole{poolName, f.role})
			d.Finished = append(d.Finished, f.FinishedRequest)
		}
	}
	clear(c.finished)
	return digests
}

// isUnannounced reports whether the permit waits for its first digest.
func (h *HeldPermit) isUnannounced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unannounced
}

// takeDigestEntry returns the state for a digest and starts a new mean of the step time.
func (h *HeldPermit) takeDigestEntry() RunningRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.running
	h.running.Progress.StepTime, h.stepCount, h.unannounced = 0, 0, false
	return r
}

func (c *Client) sendDigest(ctx context.Context, key poolRole, digest *ProgressParams) {
	_, address, ok := c.members.MemberInRole(key.pool, key.role)
	err := error(failure.New(failure.NoUpstream, "pool %s has no %s", key.pool, key.role))
	if ok {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = c.caller.Call(callCtx, address, MethodProgress, digest, nil)
	}
	if err == nil {
		return
	}
	c.log.V(1).Info("progress digest failed", "pool", key.pool, "role", key.role, "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	// Finished permits are reported again with the next digest; the owner ignores repetitions.
	for _, f := range digest.Finished {
		c.finished[key.pool] = append(c.finished[key.pool], finishedPermit{f, key.role})
	}
}

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
