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
	// PermitTerm is the time after which a permit expires unless it is renewed.
	PermitTerm = 10 * time.Second
	// digestInterval is the time between regular progress digests to the owner of a
	// pool in use.
	digestInterval = 500 * time.Millisecond
	// maxAcquireWait is how long one acquire call may wait at the owner. It is far
	// below PermitTerm, because the holder counts the term from the start of the call.
	maxAcquireWait = 2 * time.Second
	// maxDeputyWait is the same limit for a deputy. It is short because a deputy's
	// reserve is either free at once or not at all.
	maxDeputyWait = 250 * time.Millisecond
	// callTimeout bounds a call to a peer, in addition to the time that the peer may wait.
	callTimeout = time.Second
	// retryPause is the time between calls while no reachable daemon may grant.
	retryPause = 50 * time.Millisecond
	// dispatchTimeout bounds the time between a grant and the sending of the request.
	// New owners rely on it when they take over a pool.
	dispatchTimeout = 500 * time.Millisecond
)

// Caller calls a method of a peer. Implementations are safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Members gives access to the current membership view. Implementations are safe for
// concurrent use.
type Members interface {
	// MemberInRole returns the name and peer address of the member that has the role in the pool.
	MemberInRole(poolName string, role Role) (name, address string, ok bool)
	// Self returns this daemon's member name.
	Self() string
	// MaySend returns a typed failure when this daemon must not send new work.
	MaySend(now time.Time) error
	// MayGrant returns a typed failure when this daemon must not grant permits of the
	// pool in the role.
	MayGrant(now time.Time, poolName string, role Role) error
}

// HeldPermit is a permit in use. Its methods are safe for concurrent use. Release ends
// the permit; further calls of Release have no effect.
type HeldPermit struct {
	client *Client
	pool   string
	role   Role

	mu       sync.Mutex
	running  RunningRequest
	sendBy   time.Time
	released bool
	// unannounced is set from Client.Adopt until the permit is put into a digest.
	unannounced  bool
	stepCount    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	startedAt    time.Time
}

// Client acquires permits for this daemon and sends progress digests about their use.
// It is safe for concurrent use.
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

func NewClient(caller Caller, members Members, log logr.Logger) *Client {
	return &Client{
		caller: caller, members: members, log: log, now: time.Now, flushRequests: make(chan struct{}, 1),
		held: map[uint64]*HeldPermit{}, finished: map[string][]finishedPermit{},
	}
}

// Acquire waits for a permit of the pool. Every error is a failure that proves that the
// request did not run.
func (c *Client) Acquire(ctx context.Context, poolName string, request pool.Request) (*HeldPermit, error) {
	role := RoleOwner
	for {
		if err := c.members.MaySend(c.now()); err != nil {
			return nil, err
		}
		result, sentAt, err := c.acquireOnce(ctx, poolName, role, request)
		switch {
		case ctx.Err() != nil:
			return nil, failure.NotRun(failure.DeadlineExceeded, "no permit of pool %s was granted before the deadline", poolName)
		case err != nil:
			// The owner is unreachable or has lost its lease; try the deputy's reserve.
			role = lo.Ternary(role == RoleOwner, RoleDeputy, RoleOwner)
			if !sleep(ctx, retryPause) {
				return nil, failure.NotRun(failure.NoUpstream, "no owner or deputy of pool %s could grant a permit: %v", poolName, err)
			}
		case result.Refusal != nil && (role == RoleOwner || result.Refusal.Reason != pool.ReasonNotOwner):
			return nil, refusalError(poolName, *result.Refusal)
		case result.Permit != nil:
			// The owner received the call after sentAt and granted the permit when the call
			// had waited for result.Waited, so the grant was made at or after their sum.
			return c.register(poolName, role, request, *result.Permit, sentAt.Add(result.Waited+dispatchTimeout)), nil
		default:
			role = RoleOwner // the deputy's reserve is used up; wait at the owner
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

// refusalError converts a refusal to a typed failure, which states that the request
// did not run.
func refusalError(poolName string, r Refusal) error {
	switch r.Reason {
	case pool.ReasonQueueFull:
		return failure.NotRun(failure.QueueFull, "the queue of pool %s is full for this client account", poolName)
	case pool.ReasonDeadline:
		return failure.NotRun(failure.DeadlineExceeded, "pool %s cannot start the request before its deadline", poolName)
	case pool.ReasonQuarantined:
		return failure.NotRun(failure.Quarantined, "this request was running on several upstreams when they were lost")
	case pool.ReasonNeverFits:
		return failure.NotRun(failure.InvalidRequest, "the prompt does not fit into the memory of any upstream of pool %s", poolName)
	default:
		return failure.NotRun(failure.NoUpstream, "pool %s refused the request: %s", poolName, r.Reason)
	}
}

// roleOf returns the role in which the permit was granted.
func roleOf(permitID uint64) Role {
	if pool.GrantedByDeputy(permitID) {
		return RoleDeputy
	}
	return RoleOwner
}

// Adopt registers a stream that was started through another host, so that this daemon
// renews its permit. The permit does not allow sending the request again: MaySend refuses.
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

func (h *HeldPermit) Permit() pool.Permit { return h.running.Permit }

// MaySend returns an error when the request must not be sent now. It must be called
// right before sending, so that a process that was paused does not use an old permit.
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
		// StepTime is the mean gap since the previous digest.
		gap = now.Sub(h.lastTokenAt)
		h.stepCount++
		p.StepTime += (gap - p.StepTime) / time.Duration(h.stepCount)
	}
	h.lastTokenAt = now
	return gap
}

// TokenTimings returns the time to the first token and the mean time between tokens;
// each is 0 while unknown.
func (h *HeldPermit) TokenTimings() (first, step time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.running.Progress.Tokens; n > 1 {
		step = h.lastTokenAt.Sub(h.firstTokenAt) / time.Duration(n-1)
	}
	return h.running.Progress.FirstToken, step
}

// Release ends the permit. If cancel is set, the owner cancels the request at the
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

// ReleaseAfterUpstreamLoss ends the permit of a request whose upstream was lost. It
// returns once the granting daemon knows of the loss or cannot be reached: if a retry
// reached it first, a request that crashes upstreams could be run on a second one
// together with other requests.
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

// markReleased removes the permit from those in use and describes its end for a
// digest. It returns false when the permit was released before.
func (h *HeldPermit) markReleased(outcome pool.Outcome, cancel bool) (FinishedRequest, bool) {
	h.mu.Lock()
	released, running := h.released, h.running
	h.released = true
	h.mu.Unlock() // lock order: the client's lock before that of a permit
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

// supersede makes a later Release of h have no effect.
func (h *HeldPermit) supersede() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
}

// Detach stops renewing the permit without ending it. Another host may adopt the
// stream; otherwise the owner cancels the request after PermitTerm.
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

// Run sends progress digests until ctx ends, and then a last one.
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

// digestScope selects the running permits that a digest lists.
type digestScope bool

const (
	// allPermits renews every permit.
	allPermits digestScope = true
	// changedPermits omits the permits that the next regular digest renews anyway. If
	// each digest that reports the end of one request listed all the others too, the
	// cost of digests would grow with the square of the load.
	changedPermits digestScope = false
)

type poolRole struct {
	pool string
	role Role
}

// sendDigests sends one digest for each pool and role in use, concurrently.
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

// isUnannounced reports whether the permit has not been put into a digest yet.
func (h *HeldPermit) isUnannounced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unannounced
}

// takeDigestEntry returns the state for a digest and restarts the mean step time.
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
	c.log.V(1).Info("failed to send progress digest", "pool", key.pool, "role", key.role, "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	// Report the finished permits again in the next digest; the owner ignores repetitions.
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
