package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// NewPolicyFactory returns the factory of a policy that runs one Decider for each pool,
// as the daemons do, and sends each request to the least loaded pool of its service.
func NewPolicyFactory(create DeciderFactory) PolicyFactory {
	return func(t *trace.Trace, seed uint64) Policy {
		c := &poolRouter{
			newDecider: create, seed: seed, poolsByService: map[string][]string{}, poolByUpstream: map[string]*routedPool{},
			permitByGlobalID: map[uint64]poolPermit{}, globalIDByPermit: map[poolPermit]uint64{}, routes: map[string]*route{},
		}
		for _, s := range t.Header.Services {
			c.poolsByService[s.Name] = s.Pools
		}
		return c
	}
}

// poolRouter is the policy that NewPolicyFactory creates. Deciders number their permits
// independently, so poolRouter replaces the identifiers by ones that are unique in the run.
type poolRouter struct {
	newDecider       DeciderFactory
	seed             uint64
	poolsByService   map[string][]string
	pools            []*routedPool
	poolByUpstream   map[string]*routedPool
	permitByGlobalID map[uint64]poolPermit
	globalIDByPermit map[poolPermit]uint64
	lastGlobalID     uint64
	routes           map[string]*route
}

// routedPool is one pool with its Decider.
type routedPool struct {
	pool          entity.Pool
	decider       Decider
	dataCentreOut bool
	// openRequests counts the requests that wait for or hold a permit of the pool.
	openRequests int
}

type poolPermit struct {
	pool *routedPool
	id   uint64
}

// route records the pool at which a request waits and the pools tried so far.
type route struct {
	request    pool.Request
	pool       *routedPool
	triedPools []*routedPool
}

// SetPool implements Decider.
func (c *poolRouter) SetPool(now time.Time, p entity.Pool, dataCentreOut bool) {
	i := slices.IndexFunc(c.pools, func(s *routedPool) bool { return s.pool.Name == p.Name })
	if i < 0 {
		i = len(c.pools)
		c.pools = append(c.pools, &routedPool{decider: c.newDecider(p, c.seed+uint64(i))})
	}
	s := c.pools[i]
	s.pool, s.dataCentreOut = p, dataCentreOut
	for _, u := range p.Upstreams {
		c.poolByUpstream[u.Name] = s
	}
	s.decider.SetPool(now, p, dataCentreOut)
}

// Acquire implements Decider.
func (c *poolRouter) Acquire(now time.Time, r pool.Request) {
	rt := &route{request: r}
	c.routes[r.ID] = rt
	if !c.sendToLeastLoaded(now, rt, true) {
		// Every pool is out of service. The first one refuses the request and gives the reason.
		c.sendToLeastLoaded(now, rt, false)
	}
}

// sendToLeastLoaded sends the request to the pool with the fewest open requests per upstream
// that has not been tried yet. It reports false when there is none.
func (c *poolRouter) sendToLeastLoaded(now time.Time, rt *route, skipOutOfService bool) bool {
	var best *routedPool
	for _, s := range c.pools {
		if (skipOutOfService && s.dataCentreOut) || slices.Contains(rt.triedPools, s) || !slices.Contains(c.poolsByService[rt.request.Service], s.pool.Name) {
			continue
		}
		if best == nil || s.openRequests*len(best.pool.Upstreams) < best.openRequests*len(s.pool.Upstreams) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	rt.pool, rt.triedPools = best, append(rt.triedPools, best)
	best.openRequests++
	best.decider.Acquire(now, rt.request)
	return true
}

// Progress implements Decider.
func (c *poolRouter) Progress(now time.Time, progress []pool.Progress) {
	byPool := make(map[*routedPool][]pool.Progress, len(c.pools))
	for _, p := range progress {
		if permit, ok := c.permitByGlobalID[p.PermitID]; ok {
			p.PermitID = permit.id
			byPool[permit.pool] = append(byPool[permit.pool], p)
		}
	}
	for _, s := range c.pools {
		if len(byPool[s]) > 0 {
			s.decider.Progress(now, byPool[s])
		}
	}
}

// Release implements Decider.
func (c *poolRouter) Release(now time.Time, permitID uint64, outcome pool.Outcome, tokens int) {
	if permit, ok := c.removePermit(permitID); ok {
		permit.pool.decider.Release(now, permit.id, outcome, tokens)
	}
}

func (c *poolRouter) removePermit(permitID uint64) (poolPermit, bool) {
	permit, ok := c.permitByGlobalID[permitID]
	if ok {
		delete(c.permitByGlobalID, permitID)
		delete(c.globalIDByPermit, permit)
		permit.pool.openRequests--
	}
	return permit, ok
}

// Report implements Decider.
func (c *poolRouter) Report(now time.Time, r pool.Report) {
	if s := c.poolByUpstream[r.Upstream]; s != nil {
		s.decider.Report(now, r)
	}
}

// Lose implements Decider.
func (c *poolRouter) Lose(now time.Time, upstream string) {
	if s := c.poolByUpstream[upstream]; s != nil {
		s.decider.Lose(now, upstream)
	}
}

// ConfirmCancelled implements Decider.
func (c *poolRouter) ConfirmCancelled(now time.Time, permitID uint64) {
	if permit, ok := c.removePermit(permitID); ok {
		permit.pool.decider.ConfirmCancelled(now, permit.id)
	}
}

// Abandon implements Abandoner. It forwards the call to a Decider that is an Abandoner.
func (c *poolRouter) Abandon(now time.Time, requestID string) {
	rt := c.routes[requestID]
	if rt == nil {
		return
	}
	if a, ok := rt.pool.decider.(Abandoner); ok {
		a.Abandon(now, requestID)
	}
	rt.pool.openRequests--
	delete(c.routes, requestID)
}

// CacheEvents implements CacheObserver. It forwards the events to a Decider that is a
// CacheObserver.
func (c *poolRouter) CacheEvents(now time.Time, upstream string, events ...pool.CacheEvent) {
	if s := c.poolByUpstream[upstream]; s != nil {
		if o, ok := s.decider.(CacheObserver); ok {
			o.CacheEvents(now, upstream, events...)
		}
	}
}

// Decide implements Decider. A request that one pool cannot serve is sent to
// another one, so the pools decide again until no request moves.
func (c *poolRouter) Decide(now time.Time) []pool.Command {
	var out []pool.Command
	for decideAgain := true; decideAgain; {
		decideAgain = false
		for _, s := range c.pools {
			for _, command := range s.decider.Decide(now) {
				translated, rerouted := c.translateCommand(now, s, command)
				if rerouted {
					decideAgain = true
				} else {
					out = append(out, translated)
				}
			}
		}
	}
	return out
}

// translateCommand replaces the pool's permit identifier in a command by the global one. It
// reports true, without a command, when a refused request was sent to another pool.
func (c *poolRouter) translateCommand(now time.Time, s *routedPool, command pool.Command) (pool.Command, bool) {
	switch v := command.(type) {
	case pool.Grant:
		v.Permit.ID = c.globalID(s, v.Permit.ID)
		delete(c.routes, v.Permit.RequestID)
		return v, false
	case pool.CancelAtUpstream:
		v.PermitID = c.globalID(s, v.PermitID)
		return v, false
	case pool.Refuse:
		rt := c.routes[v.RequestID]
		if rt == nil {
			return v, false
		}
		s.openRequests--
		if v.Reason == pool.ReasonNoUpstream && c.sendToLeastLoaded(now, rt, true) {
			return nil, true
		}
		delete(c.routes, v.RequestID)
		return v, false
	}
	return command, false
}

func (c *poolRouter) globalID(s *routedPool, id uint64) uint64 {
	permit := poolPermit{s, id}
	if known, ok := c.globalIDByPermit[permit]; ok {
		return known
	}
	c.lastGlobalID++
	c.permitByGlobalID[c.lastGlobalID], c.globalIDByPermit[permit] = permit, c.lastGlobalID
	return c.lastGlobalID
}
