package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// Adapt returns the factory of a policy that runs one Decider for each pool, as
// the daemons do, and sends each request to the least loaded pool of its service.
func Adapt(create DeciderFactory) Factory {
	return func(t *trace.Trace, seed uint64) Policy {
		c := &cluster{
			create: create, seed: seed, services: map[string][]string{}, byUpstream: map[string]*shard{},
			permits: map[uint64]shardPermit{}, ids: map[shardPermit]uint64{}, routes: map[string]*route{},
		}
		for _, s := range t.Header.Services {
			c.services[s.Name] = s.Pools
		}
		return c
	}
}

// cluster is the policy that Adapt creates. Permit identifiers are unique only
// within a pool, so it hands out its own.
type cluster struct {
	create     DeciderFactory
	seed       uint64
	services   map[string][]string
	shards     []*shard
	byUpstream map[string]*shard
	permits    map[uint64]shardPermit
	ids        map[shardPermit]uint64
	lastID     uint64
	routes     map[string]*route
}

// shard is one pool with its Decider.
type shard struct {
	pool    entity.Pool
	decider Decider
	out     bool
	// requests counts those that wait for or hold a permit of the pool.
	requests int
}

type shardPermit struct {
	shard *shard
	id    uint64
}

// route is where a request was sent.
type route struct {
	request pool.Request
	shard   *shard
	tried   []*shard
}

// SetPool implements Decider.
func (c *cluster) SetPool(now time.Time, p entity.Pool, out bool) {
	i := slices.IndexFunc(c.shards, func(s *shard) bool { return s.pool.Name == p.Name })
	if i < 0 {
		i = len(c.shards)
		c.shards = append(c.shards, &shard{decider: c.create(p, c.seed+uint64(i))})
	}
	s := c.shards[i]
	s.pool, s.out = p, out
	for _, u := range p.Upstreams {
		c.byUpstream[u.Name] = s
	}
	s.decider.SetPool(now, p, out)
}

// Acquire implements Decider.
func (c *cluster) Acquire(now time.Time, r pool.Request) {
	rt := &route{request: r}
	c.routes[r.ID] = rt
	if !c.send(now, rt, true) {
		// Every pool is out; the first one refuses the request with its reason.
		c.send(now, rt, false)
	}
}

// send gives the request to the least loaded pool that has not refused it.
func (c *cluster) send(now time.Time, rt *route, skipOut bool) bool {
	var best *shard
	for _, s := range c.shards {
		if (skipOut && s.out) || slices.Contains(rt.tried, s) || !slices.Contains(c.services[rt.request.Service], s.pool.Name) {
			continue
		}
		if best == nil || s.requests*len(best.pool.Upstreams) < best.requests*len(s.pool.Upstreams) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	rt.shard, rt.tried = best, append(rt.tried, best)
	best.requests++
	best.decider.Acquire(now, rt.request)
	return true
}

// Progress implements Decider.
func (c *cluster) Progress(now time.Time, progress []pool.Progress) {
	split := make(map[*shard][]pool.Progress, len(c.shards))
	for _, p := range progress {
		if sp, ok := c.permits[p.PermitID]; ok {
			p.PermitID = sp.id
			split[sp.shard] = append(split[sp.shard], p)
		}
	}
	for _, s := range c.shards {
		if len(split[s]) > 0 {
			s.decider.Progress(now, split[s])
		}
	}
}

// Release implements Decider.
func (c *cluster) Release(now time.Time, permitID uint64, outcome pool.Outcome, tokens int) {
	if sp, ok := c.forget(permitID); ok {
		sp.shard.decider.Release(now, sp.id, outcome, tokens)
	}
}

func (c *cluster) forget(permitID uint64) (shardPermit, bool) {
	sp, ok := c.permits[permitID]
	if ok {
		delete(c.permits, permitID)
		delete(c.ids, sp)
		sp.shard.requests--
	}
	return sp, ok
}

// Report implements Decider.
func (c *cluster) Report(now time.Time, r pool.Report) {
	if s := c.byUpstream[r.Upstream]; s != nil {
		s.decider.Report(now, r)
	}
}

// Lose implements Decider.
func (c *cluster) Lose(now time.Time, upstream string) {
	if s := c.byUpstream[upstream]; s != nil {
		s.decider.Lose(now, upstream)
	}
}

// ConfirmCancelled implements Decider.
func (c *cluster) ConfirmCancelled(now time.Time, permitID uint64) {
	if sp, ok := c.forget(permitID); ok {
		sp.shard.decider.ConfirmCancelled(now, sp.id)
	}
}

// Abandon implements Abandoner when the Decider does.
func (c *cluster) Abandon(now time.Time, requestID string) {
	rt := c.routes[requestID]
	if rt == nil {
		return
	}
	if a, ok := rt.shard.decider.(Abandoner); ok {
		a.Abandon(now, requestID)
	}
	rt.shard.requests--
	delete(c.routes, requestID)
}

// CacheEvents implements CacheObserver when the Decider does.
func (c *cluster) CacheEvents(now time.Time, upstream string, events ...pool.CacheEvent) {
	if s := c.byUpstream[upstream]; s != nil {
		if o, ok := s.decider.(CacheObserver); ok {
			o.CacheEvents(now, upstream, events...)
		}
	}
}

// Decide implements Decider. A request that one pool cannot serve is offered to
// the next one, so the pools decide again until none is left over.
func (c *cluster) Decide(now time.Time) []pool.Command {
	var out []pool.Command
	for again := true; again; {
		again = false
		for _, s := range c.shards {
			for _, command := range s.decider.Decide(now) {
				translated, rerouted := c.translate(now, s, command)
				if rerouted {
					again = true
				} else {
					out = append(out, translated)
				}
			}
		}
	}
	return out
}

func (c *cluster) translate(now time.Time, s *shard, command pool.Command) (pool.Command, bool) {
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
		s.requests--
		if v.Reason == pool.ReasonNoUpstream && c.send(now, rt, true) {
			return nil, true
		}
		delete(c.routes, v.RequestID)
		return v, false
	}
	return command, false
}

func (c *cluster) globalID(s *shard, id uint64) uint64 {
	sp := shardPermit{s, id}
	if known, ok := c.ids[sp]; ok {
		return known
	}
	c.lastID++
	c.permits[c.lastID], c.ids[sp] = sp, c.lastID
	return c.lastID
}
