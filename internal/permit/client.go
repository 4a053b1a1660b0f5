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
	// Term is the life of a permit that is not renewed.
	Term = 10 * time.Second
	// progressInterval is the time between digests to the owner of a pool in use.
	progressInterval = 500 * time.Millisecond
	// acquireWait is how long one acquire call may wait at the owner. It is far
	// below Term, because the holder counts the term from the start of the call.
	acquireWait = 2 * time.Second
	// deputyWait is the same for a deputy, whose reserve is either free or not.
	deputyWait = 250 * time.Millisecond
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
	// Holder returns the name and peer address of the member with the role for the pool.
	Holder(poolName string, role Role) (name, address string, ok bool)
	// Self returns this daemon's member name.
	Self() string
	// MaySend returns a typed failure when this daemon must not send new work.
	MaySend(now time.Time) error
	// MayGrant returns a typed failure when this daemon must not grant permits of the pool in the role.
	MayGrant(now time.Time, poolName string, role Role) error
}

// Held is a permit in use. Update and Release may be called from any goroutine;
// Release ends it and further calls have no effect.
type Held struct {
	client *Client
	pool   string
	role   Role

	mu       sync.Mutex
	running  Running
	sendBy   time.Time
	released bool
	// announce is set until a digest with the permit was built; see Client.Adopt.
	announce bool
	steps    int
	firstTok time.Time
	lastTok  time.Time
	started  time.Time
}

// Client acquires permits for this daemon and reports on their use. Run sends
// the digests; it stops when its context ends.
type Client struct {
	caller  Caller
	members Members
	log     logr.Logger
	now     func() time.Time
	wake    chan struct{}

	mu       sync.Mutex
	held     map[uint64]*Held
	finished map[string][]finishedPermit // by pool
}

type finishedPermit struct {
	Finished
	role Role
}

// NewClient returns a Client.
func NewClient(caller Caller, members Members, log logr.Logger) *Client {
	return &Client{
		caller: caller, members: members, log: log, now: time.Now, wake: make(chan struct{}, 1),
		held: map[uint64]*Held{}, finished: map[string][]finishedPermit{},
	}
}

// Acquire waits for a permit of the pool. Every error proves that the request did not run.
func (c *Client) Acquire(ctx context.Context, poolName string, request pool.Request) (*Held, error) {
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
			if !pause(ctx, retryPause) {
				return nil, failure.NotRun(failure.NoUpstream, "pool %s has no reachable owner: %v", poolName, err)
			}
		case result.Refusal != nil && (role == RoleOwner || result.Refusal.Reason != pool.ReasonNotAuthority):
			return nil, refusalError(poolName, *result.Refusal)
		case result.Permit != nil:
			// The owner granted at the earliest after it had received the call and had waited.
			return c.hold(poolName, role, request, *result.Permit, sentAt.Add(result.Waited+dispatchTimeout)), nil
		default:
			role = RoleOwner // a deputy without free reserve has nothing to wait for
		}
	}
}

func (c *Client) acquireOnce(ctx context.Context, poolName string, role Role, request pool.Request) (AcquireResult, time.Time, error) {
	var result AcquireResult
	sentAt := c.now()
	_, address, ok := c.members.Holder(poolName, role)
	if !ok {
		return result, sentAt, failure.NotRun(failure.NoUpstream, "pool %s has no %s", poolName, role)
	}
	wait := acquireWait
	if role == RoleDeputy {
		wait = deputyWait
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
func (c *Client) Adopt(poolName string, running Running) *Held {
	held := &Held{client: c, pool: poolName, role: roleOf(running.Permit.ID), running: running, started: c.now(), announce: true}
	c.mu.Lock()
	if previous := c.held[running.Permit.ID]; previous != nil {
		previous.supersede()
	}
	c.held[running.Permit.ID] = held
	c.mu.Unlock()
	c.flushSoon()
	return held
}

func (c *Client) hold(poolName string, role Role, r pool.Request, p pool.Permit, sendBy time.Time) *Held {
	held := &Held{
		client: c, pool: poolName, role: role, sendBy: sendBy, started: c.now(),
		running: Running{
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
func (h *Held) Permit() pool.Permit { return h.running.Permit }

// MaySend reports whether the request may be sent now. It is checked right before
// sending, so that a process that was paused sends nothing with an old permit.
func (h *Held) MaySend() error {
	now := h.client.now()
	if now.After(h.sendBy) {
		return failure.NotRun(failure.DeadlineExceeded, "the permit was granted more than %v before the request could be sent", dispatchTimeout)
	}
	return h.client.members.MaySend(now)
}

// Token records one received token and returns the time since the one before it,
// or 0 for the first.
func (h *Held) Token() (gap time.Duration) {
	now := h.client.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &h.running.Progress
	p.Tokens++
	if p.Tokens == 1 {
		p.FirstToken = now.Sub(h.started)
	}
	if h.firstTok.IsZero() {
		h.firstTok = now
	} else {
		// Mean of the steps since the previous digest.
		gap = now.Sub(h.lastTok)
		h.steps++
		p.StepTime += (gap - p.StepTime) / time.Duration(h.steps)
	}
	h.lastTok = now
	return gap
}

// Speed returns the time to the first token and the mean time between tokens, 0
// where unknown.
func (h *Held) Speed() (first, step time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.running.Progress.Tokens; n > 1 {
		step = h.lastTok.Sub(h.firstTok) / time.Duration(n-1)
	}
	return h.running.Progress.FirstToken, step
}

// Release ends the permit. With cancel, the owner cancels the request at the
// upstream unless another host has resumed it.
func (h *Held) Release(outcome pool.Outcome, cancel bool) {
	finished, ok := h.end(outcome, cancel)
	if !ok {
		return
	}
	c := h.client
	c.mu.Lock()
	c.finished[h.pool] = append(c.finished[h.pool], finishedPermit{Finished: finished, role: h.role})
	c.mu.Unlock()
	c.flushSoon()
}

// ReleaseLost ends the permit of a request whose upstream was lost and returns
// once the pool's owner knows it, or cannot be reached. A retry that came to the
// owner first could crash a second upstream beside other requests.
func (h *Held) ReleaseLost(ctx context.Context) {
	finished, ok := h.end(pool.UpstreamLost, true)
	if !ok {
		return
	}
	c := h.client
	c.sendDigest(context.WithoutCancel(ctx), digestKey{h.pool, h.role}, &ProgressParams{
		Pool: h.pool, Role: h.role, Holder: c.members.Self(), Finished: []Finished{finished},
	})
}

// end takes the permit out of use. It returns false when it was ended before.
func (h *Held) end(outcome pool.Outcome, cancel bool) (Finished, bool) {
	h.mu.Lock()
	released, running := h.released, h.running
	h.released = true
	h.mu.Unlock() // the client's lock comes before that of a permit
	if released {
		return Finished{}, false
	}
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	delete(h.client.held, running.Permit.ID)
	return Finished{
		PermitID: running.Permit.ID, Upstream: running.Permit.Upstream, Outcome: outcome, Tokens: running.Progress.Tokens, Cancel: cancel,
	}, true
}

// supersede makes a later Release of h do nothing.
func (h *Held) supersede() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
}

// Detach stops renewing the permit without ending it. Another host may adopt the
// stream; when none does, the owner cancels the request once the term is over.
func (h *Held) Detach() {
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

func (c *Client) flushSoon() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends digests until ctx ends, and a last one after that.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
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
		case <-c.wake:
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

type digestKey struct {
	pool string
	role Role
}

// sendDigests sends one digest for each pool and role in use, side by side.
func (c *Client) sendDigests(ctx context.Context, scope digestScope) {
	digests := c.collect(scope)
	var calls sync.WaitGroup
	for key, digest := range digests {
		calls.Go(func() { c.sendDigest(ctx, key, digest) })
	}
	calls.Wait()
}

func (c *Client) collect(scope digestScope) map[digestKey]*ProgressParams {
	digests := map[digestKey]*ProgressParams{}
	digest := func(key digestKey) *ProgressParams {
		if digests[key] == nil {
			digests[key] = &ProgressParams{Pool: key.pool, Role: key.role, Holder: c.members.Self()}
		}
		return digests[key]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, held := range c.held {
		if scope == changedPermits && !held.mustAnnounce() {
			continue
		}
		d := digest(digestKey{held.pool, held.role})
		d.Running = append(d.Running, held.takeRunning())
	}
	for poolName, list := range c.finished {
		for _, f := range list {
			d := digest(digestKey{poolName, f.role})
			d.Finished = append(d.Finished, f.Finished)
		}
	}
	clear(c.finished)
	return digests
}

// mustAnnounce reports whether the permit waits for its first digest.
func (h *Held) mustAnnounce() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.announce
}

// takeRunning returns the state for a digest and starts a new mean of the step time.
func (h *Held) takeRunning() Running {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.running
	h.running.Progress.StepTime, h.steps, h.announce = 0, 0, false
	return r
}

func (c *Client) sendDigest(ctx context.Context, key digestKey, digest *ProgressParams) {
	_, address, ok := c.members.Holder(key.pool, key.role)
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

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
