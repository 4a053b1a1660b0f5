package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	// tickInterval is the time between decisions that are not caused by an event.
	tickInterval = 20 * time.Millisecond
	// requesterTimeout is how long a waiting request, or a grant whose answer was not
	// delivered, is kept for a requester that does not repeat its call.
	requesterTimeout = 3 * time.Second
	// loadPollInterval is the time between reads of an upstream's load report.
	loadPollInterval = 250 * time.Millisecond
	loadPollTimeout  = 500 * time.Millisecond
	// minUrgentPollInterval is the least time between the extra reads that are made
	// while a request waits for a load report.
	minUrgentPollInterval = 50 * time.Millisecond
	// failedPollsUntilLost is the number of consecutive failed reads after which an
	// upstream counts as lost.
	failedPollsUntilLost = 3
	cancelTimeout        = time.Second
	// membershipLeaseTerm is the term of a membership lease, after which a previous
	// deputy can no longer grant.
	membershipLeaseTerm = 3 * time.Second
)

// Events records events in the timeline. Implementations are safe for concurrent use.
type Events interface {
	Record(kind, request string, attributes ...string)
}

// Owner grants permits for the pools of which this daemon is the owner or the deputy.
// Run must be running. The methods are safe for concurrent use.
type Owner struct {
	members Members
	engine  upstream.Engine
	plain   upstream.Plain
	events  Events
	log     logr.Logger
	now     func() time.Time
	// SendNotices sends notices about suspected requests to the other daemons. It must be
	// set before Run.
	SendNotices func([]quarantine.Notice)
	// ReserveForDeputy keeps a part of each upstream's limit for the deputy. It is off
	// when the cell can have only one member.
	ReserveForDeputy bool

	mu        sync.Mutex
	pools     map[poolRole]*ownedPool
	isLeaving func(address string) bool
}

// NewOwner returns an Owner without pools; Sync adds them.
func NewOwner(members Members, engine upstream.Engine, plain upstream.Plain, events Events, log logr.Logger) *Owner {
	return &Owner{
		members: members, engine: engine, plain: plain, events: events, log: log, now: time.Now,
		SendNotices: func([]quarantine.Notice) {}, ReserveForDeputy: true, pools: map[poolRole]*ownedPool{},
		isLeaving: func(string) bool { return false },
	}
}

// SetLeaving marks the upstreams at the addresses for which isLeaving returns true.
// They get no new work.
func (o *Owner) SetLeaving(isLeaving func(address string) bool) {
	o.mu.Lock()
	o.isLeaving = isLeaving
	pools := make([]*ownedPool, 0, len(o.pools))
	for _, own := range o.pools {
		pools = append(pools, own)
	}
	o.mu.Unlock()
	for _, own := range pools {
		own.setLeaving(isLeaving)
	}
}

// Sync takes over the pools that the current view assigns to this daemon, applies the
// configuration and drops the pools that are now assigned to others.
func (o *Owner) Sync(ctx context.Context, conf *entity.Configuration, epoch uint64) {
	wanted := map[poolRole]entity.Pool{}
	if conf != nil && conf.Text != nil {
		for _, p := range conf.Text.Pools {
			for _, role := range []Role{RoleOwner, RoleDeputy} {
				if name, _, ok := o.members.MemberInRole(p.Name, role); ok && name == o.members.Self() {
					wanted[poolRole{p.Name, role}] = p
				}
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, own := range o.pools {
		if _, ok := wanted[key]; !ok {
			own.stop()
			delete(o.pools, key)
			o.events.Record("pool-released", "", "pool", key.pool, "role", string(key.role))
		}
	}
	for key, p := range wanted {
		dataCentreOut := conf.DataCentresOut[p.DataCentre]
		if own := o.pools[key]; own != nil {
			own.configure(p, dataCentreOut, o.isLeaving)
			own.setDeputy(o.deputyOf(key))
			continue
		}
		own := o.newOwnedPool(key, p, epoch)
		own.configure(p, dataCentreOut, o.isLeaving)
		own.deputy = o.deputyOf(key)
		o.pools[key] = own
		own.start(ctx)
		o.events.Record("pool-owned", "", "pool", key.pool, "role", string(key.role))
	}
}

// deputyOf returns the name of the deputy for which an owner must keep a reserve, or "".
func (o *Owner) deputyOf(key poolRole) string {
	if key.role != RoleOwner {
		return ""
	}
	name, _, _ := o.members.MemberInRole(key.pool, RoleDeputy)
	return name
}

func (o *Owner) poolInRole(poolName string, role Role) (*ownedPool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.pools[poolRole{poolName, role}]; own != nil {
		return own, nil
	}
	return nil, failure.NotRun(failure.NoUpstream, "host %s is not the %s of pool %s", o.members.Self(), role, poolName)
}

func (o *Owner) sortedPools() []*ownedPool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*ownedPool, 0, len(o.pools))
	for _, own := range o.pools {
		out = append(out, own)
	}
	slices.SortFunc(out, func(a, b *ownedPool) int { return compareKeys(a.key, b.key) })
	return out
}

func compareKeys(a, b poolRole) int {
	if a.pool != b.pool {
		if a.pool < b.pool {
			return -1
		}
		return 1
	}
	return len(a.role) - len(b.role)
}

// Reset drops all pools. It is for a daemon that was removed from the view and has
// rejoined: other daemons may have granted permits for the pools in the meantime.
func (o *Owner) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, own := range o.pools {
		own.stop()
		delete(o.pools, key)
	}
}

// Run makes the periodic decisions until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.Reset()
			return
		case <-ticker.C:
			for _, own := range o.sortedPools() {
				own.tick()
			}
		}
	}
}

// Acquire handles MethodAcquire. It waits for at most p.Wait.
func (o *Owner) Acquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	own, err := o.poolInRole(p.Pool, p.Role)
	if err != nil {
		return AcquireResult{}, err
	}
	return own.acquire(ctx, p)
}

// Progress handles MethodProgress: it applies a progress digest.
func (o *Owner) Progress(_ context.Context, p ProgressParams) (struct{}, error) {
	own, err := o.poolInRole(p.Pool, p.Role)
	if err == nil {
		own.applyDigest(p)
	}
	return struct{}{}, err
}

// ApplyNotices handles MethodSuspect: it applies another daemon's notices to every pool.
func (o *Owner) ApplyNotices(notices []quarantine.Notice) {
	for _, own := range o.sortedPools() {
		own.applyNotices(notices)
	}
}

// Status returns the state of the pools that this daemon owns.
func (o *Owner) Status() StatusResult {
	var result StatusResult
	for _, own := range o.sortedPools() {
		if own.key.role == RoleOwner {
			result.Pools = append(result.Pools, own.status())
		}
	}
	return result
}

// EngineState is the state of an engine of an owned pool in its latest load report.
type EngineState struct {
	Pool       string
	Upstream   string
	Reachable  bool
	Report     upstream.Report
	MeasuredAt time.Time
}

// Engines returns the engines of the owned pools.
func (o *Owner) Engines() []EngineState {
	var out []EngineState
	for _, own := range o.sortedPools() {
		if own.key.role == RoleOwner {
			out = append(out, own.engines()...)
		}
	}
	return out
}

// ServiceDemand identifies the work that a pool does for one version of a service.
type ServiceDemand struct{ Pool, Service, Version string }

// TakeTokenCounts returns the numbers of output tokens that holders have reported since
// the previous call.
func (o *Owner) TakeTokenCounts() map[ServiceDemand]int {
	out := map[ServiceDemand]int{}
	for _, own := range o.sortedPools() {
		own.takeTokenCounts(out)
	}
	return out
}

func (o *Owner) newOwnedPool(key poolRole, p entity.Pool, epoch uint64) *ownedPool {
	deputy := key.role == RoleDeputy
	state := pool.New(pool.Config{
		Pool: p, Seed: xxhash.Sum64String(key.pool), KeepDeputyReserve: o.ReserveForDeputy, Deputy: deputy, PermitTerm: PermitTerm,
	})
	state.SetNextPermitID(pool.PermitIDBase(epoch, deputy))
	return &ownedPool{
		owner: o, key: key, conf: p, state: state, idBase: pool.PermitIDBase(epoch, deputy),
		waiters: map[string]*waiter{}, holders: map[uint64]*permitHolder{}, pollers: map[string]*poller{},
		reportedTokens: map[uint64]int{}, tokenCounts: map[ServiceDemand]int{},
	}
}
