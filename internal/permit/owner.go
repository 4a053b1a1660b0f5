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
	// tickInterval is the time between decisions that no event caused.
	tickInterval = 20 * time.Millisecond
	// collectTimeout is how long a grant waits for its requester to ask again,
	// and how long a waiting request is kept without being asked for.
	collectTimeout = 3 * time.Second
	// pollInterval is the time between load reports of an upstream.
	pollInterval = 250 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
	// urgentPollInterval is the time between reports while a request waits for one.
	urgentPollInterval = 50 * time.Millisecond
	// lostAfter is the number of failed polls in a row after which an upstream is lost.
	lostAfter     = 3
	cancelTimeout = time.Second
	// leaseTerm is the term of a membership lease, after which a previous deputy grants no more.
	leaseTerm = 3 * time.Second
)

// Events records the timeline. Implementations are safe for concurrent use.
type Events interface {
	Record(kind, request string, attributes ...string)
}

// Owner grants permits for the pools that this daemon owns or is deputy of. Its
// methods are safe for concurrent use. Run must be running; it stops with its context.
type Owner struct {
	members Members
	engine  upstream.Engine
	plain   upstream.Plain
	events  Events
	log     logr.Logger
	now     func() time.Time
	// Notify tells the other daemons about suspected requests. Set before Run.
	Notify func([]quarantine.Notice)
	// Reserve leaves room for a deputy; it is off when the cell can only have one member.
	Reserve bool

	mu      sync.Mutex
	pools   map[digestKey]*owned
	leaving func(address string) bool
}

// NewOwner returns an Owner without pools; Sync gives it pools.
func NewOwner(members Members, engine upstream.Engine, plain upstream.Plain, events Events, log logr.Logger) *Owner {
	return &Owner{
		members: members, engine: engine, plain: plain, events: events, log: log, now: time.Now,
		Notify: func([]quarantine.Notice) {}, Reserve: true, pools: map[digestKey]*owned{},
		leaving: func(string) bool { return false },
	}
}

// SetLeaving marks the upstreams at the addresses for which leaving is true: they
// get no new work.
func (o *Owner) SetLeaving(leaving func(address string) bool) {
	o.mu.Lock()
	o.leaving = leaving
	pools := make([]*owned, 0, len(o.pools))
	for _, own := range o.pools {
		pools = append(pools, own)
	}
	o.mu.Unlock()
	for _, own := range pools {
		own.reconfigure(leaving)
	}
}

// Sync takes over pools that the current view gives to this daemon, applies the
// configuration and drops pools that belong to others now.
func (o *Owner) Sync(ctx context.Context, conf *entity.Configuration, epoch uint64) {
	wanted := map[digestKey]entity.Pool{}
	if conf != nil && conf.Text != nil {
		for _, p := range conf.Text.Pools {
			for _, role := range []Role{RoleOwner, RoleDeputy} {
				if name, _, ok := o.members.Holder(p.Name, role); ok && name == o.members.Self() {
					wanted[digestKey{p.Name, role}] = p
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
		out := conf.DataCentresOut[p.DataCentre]
		if own := o.pools[key]; own != nil {
			own.configure(p, out, o.leaving)
			own.deputyIs(o.deputyOf(key))
			continue
		}
		own := o.newOwned(key, p, epoch)
		own.configure(p, out, o.leaving)
		own.deputy = o.deputyOf(key)
		o.pools[key] = own
		own.start(ctx)
		o.events.Record("pool-owned", "", "pool", key.pool, "role", string(key.role))
	}
}

// deputyOf returns the deputy that an owner must leave room for.
func (o *Owner) deputyOf(key digestKey) string {
	if key.role != RoleOwner {
		return ""
	}
	name, _, _ := o.members.Holder(key.pool, RoleDeputy)
	return name
}

func (o *Owner) lookup(poolName string, role Role) (*owned, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if own := o.pools[digestKey{poolName, role}]; own != nil {
		return own, nil
	}
	return nil, failure.NotRun(failure.NoUpstream, "host %s is not the %s of pool %s", o.members.Self(), role, poolName)
}

func (o *Owner) all() []*owned {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*owned, 0, len(o.pools))
	for _, own := range o.pools {
		out = append(out, own)
	}
	slices.SortFunc(out, func(a, b *owned) int { return compareKeys(a.key, b.key) })
	return out
}

func compareKeys(a, b digestKey) int {
	if a.pool != b.pool {
		if a.pool < b.pool {
			return -1
		}
		return 1
	}
	return len(a.role) - len(b.role)
}

// Reset drops all pools, for a daemon that was removed from the view and joined
// again: other daemons granted in the meantime.
func (o *Owner) Reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, own := range o.pools {
		own.stop()
		delete(o.pools, key)
	}
}

// Run makes decisions each tick until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.Reset()
			return
		case <-ticker.C:
			for _, own := range o.all() {
				own.tick()
			}
		}
	}
}

// Acquire answers a requester.
func (o *Owner) Acquire(ctx context.Context, p AcquireParams) (AcquireResult, error) {
	own, err := o.lookup(p.Pool, p.Role)
	if err != nil {
		return AcquireResult{}, err
	}
	return own.acquire(ctx, p)
}

// Progress applies a digest.
func (o *Owner) Progress(_ context.Context, p ProgressParams) (struct{}, error) {
	own, err := o.lookup(p.Pool, p.Role)
	if err == nil {
		own.progress(p)
	}
	return struct{}{}, err
}

// Suspect applies another daemon's notices to every pool.
func (o *Owner) Suspect(notices []quarantine.Notice) {
	for _, own := range o.all() {
		own.notify(notices)
	}
}

// Status returns the state of the pools that this daemon owns.
func (o *Owner) Status() StatusResult {
	var result StatusResult
	for _, own := range o.all() {
		if own.key.role == RoleOwner {
			result.Pools = append(result.Pools, own.status())
		}
	}
	return result
}

// EngineState is an owned engine as its latest report shows it.
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
	for _, own := range o.all() {
		if own.key.role == RoleOwner {
			out = append(out, own.engines()...)
		}
	}
	return out
}

// Demand is work that a pool does for a version of a service.
type Demand struct{ Pool, Service, Version string }

// TakeTokens returns and forgets the output tokens that holders have reported
// since the last call.
func (o *Owner) TakeTokens() map[Demand]int {
	out := map[Demand]int{}
	for _, own := range o.all() {
		own.takeTokens(out)
	}
	return out
}

func (o *Owner) newOwned(key digestKey, p entity.Pool, epoch uint64) *owned {
	deputy := key.role == RoleDeputy
	state := pool.New(pool.Config{
		Pool: p, Seed: xxhash.Sum64String(key.pool), KeepDeputyReserve: o.Reserve, Deputy: deputy, PermitTerm: Term,
	})
	state.SetNextPermitID(pool.PermitIDBase(epoch, deputy))
	return &owned{
		owner: o, key: key, conf: p, state: state, idBase: pool.PermitIDBase(epoch, deputy),
		waiters: map[string]*waiter{}, holders: map[uint64]*holderOf{}, polls: map[string]*poller{},
		produced: map[uint64]int{}, tokens: map[Demand]int{},
	}
}
