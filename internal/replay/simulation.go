package replay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

const (
	// digestInterval and tickInterval are those of the running system.
	digestInterval = 500 * time.Millisecond
	tickInterval   = 10 * time.Millisecond
	// cancelLatency is the time between a cancellation and its confirmation.
	cancelLatency = 5 * time.Millisecond
	// settleTime is the time after which no new work may reach an upstream that leaves.
	settleTime = 3500 * time.Millisecond
	// overrun is the time after the span at which unfinished requests are given up.
	overrun = 30 * time.Minute
	// maxRounds bounds the decisions at one instant; more mean that a policy and
	// the model answer each other without progress.
	maxRounds = 1000
)

var errNoProgress = errors.New("policy decides without end at one instant")

// simulation is one run of a trace under a policy.
type simulation struct {
	trace   *trace.Trace
	policy  Policy
	observe CacheObserver // nil when the policy uses no cache events
	clock   clock
	metrics *recorder

	pools    []trace.Pool
	engines  []*engine
	byName   map[string]*engine
	poolOf   map[*engine]int
	out      []bool                    // by pool
	closedAt map[*engine]time.Duration // when an upstream began to leave or its data centre went out

	requests map[string]*request
	permits  map[uint64]*attempt
	waiting  int  // requests that the policy holds
	open     int  // requests that are not final
	arrivals int  // arrivals still to come
	visible  bool // the policy has seen something since the last decision
	ticking  bool
	window   time.Duration // offset of the last arrival
	now      time.Time
}

// Simulate runs the trace under the policy and returns the metrics of the run.
func Simulate(t *trace.Trace, name string, factory Factory, seed uint64) (Result, error) {
	s := newSimulation(t, factory(t, seed), seed)
	if err := s.run(); err != nil {
		return Result{}, fmt.Errorf("replay %s under %s with seed %d: %w", t.Header.Name, name, seed, err)
	}
	return s.result(name, seed), nil
}

func newSimulation(t *trace.Trace, policy Policy, seed uint64) *simulation {
	s := &simulation{
		trace: t, policy: policy, pools: t.Header.Pools, byName: map[string]*engine{}, poolOf: map[*engine]int{},
		closedAt: map[*engine]time.Duration{}, requests: map[string]*request{}, permits: map[uint64]*attempt{},
		out: make([]bool, len(t.Header.Pools)), now: epoch,
	}
	s.observe, _ = policy.(CacheObserver)
	s.metrics = newRecorder(t)
	for i, p := range s.pools {
		for _, u := range p.Upstreams {
			e := newEngine(u, len(s.engines), seed^t.Header.Seed, &s.clock, s)
			s.engines = append(s.engines, e)
			s.byName[u.Name], s.poolOf[e] = e, i
		}
	}
	return s
}

func (s *simulation) run() error {
	for i := range s.pools {
		s.policy.SetPool(s.now, poolEntity(s.pools[i]), false)
	}
	for _, e := range s.engines {
		s.report(e)
	}
	s.clock.after(digestInterval, s.digest)
	for _, event := range s.trace.Events {
		if event.Kind == trace.Arrive {
			s.arrivals++
			s.window = event.At()
		}
		s.clock.at(event.At(), func() { s.apply(event) })
	}
	limit := s.trace.Header.Span() + overrun
	rounds := 0
	for s.arrivals > 0 || s.open > 0 {
		at, ok := s.clock.next()
		if !ok || at > limit {
			break
		}
		if at > s.clock.now {
			rounds = 0
		}
		s.clock.step()
		s.now = epoch.Add(s.clock.now)
		for s.visible {
			if rounds++; rounds > maxRounds {
				return errNoProgress
			}
			s.decide()
		}
	}
	return nil
}

func (s *simulation) decide() {
	s.visible = false
	for _, command := range s.policy.Decide(s.now) {
		switch c := command.(type) {
		case pool.Grant:
			s.grant(c.Permit)
		case pool.Refuse:
			s.refuse(c)
		case pool.CancelAtUpstream:
			s.cancel(c.PermitID)
		}
	}
	s.tick()
}

// tick repeats the decision every tickInterval while requests wait.
func (s *simulation) tick() {
	if s.ticking || s.waiting == 0 {
		return
	}
	s.ticking = true
	s.clock.after(tickInterval, func() { s.ticking, s.visible = false, true })
}

// digest reports the progress of all permits, and repeats.
func (s *simulation) digest() {
	ids := make([]uint64, 0, len(s.permits))
	for id := range s.permits {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	all := make([]pool.Progress, 0, len(ids))
	for _, id := range ids {
		all = append(all, s.permits[id].progress(s.clock.now))
	}
	if len(all) > 0 {
		s.policy.Progress(s.now, all)
		s.visible = true
	}
	s.clock.after(digestInterval, s.digest)
}

// report samples the engine's load, delivers it after its lag, and repeats. An
// engine that is down is noticed because it does not answer.
func (s *simulation) report(e *engine) {
	lag := time.Duration(e.params.ReportLagMS) * time.Millisecond
	r := pool.Report{
		Upstream: e.name, Incarnation: e.incarnationName(), Cold: e.cold, Leaving: e.leaving,
		Running: e.inFlight(), MemoryTokens: e.memory(), Age: lag,
	}
	up := e.up
	s.clock.after(lag, func() {
		if up {
			s.policy.Report(s.now, r)
		} else {
			s.policy.Lose(s.now, e.name)
		}
		s.visible = true
	})
	s.clock.after(time.Duration(e.params.ReportEveryMS)*time.Millisecond, func() { s.report(e) })
}

// cached implements engineEvents. Events are late and some are dropped.
func (s *simulation) cached(e *engine, hash uint64, evicted bool) {
	event := pool.CacheEvent{Prefix: hash, Evicted: evicted}
	if s.observe == nil || e.rng.Float64() < e.params.CacheGap {
		return
	}
	s.clock.after(time.Duration(e.params.CacheLagMS)*time.Millisecond, func() {
		s.observe.CacheEvents(s.now, e.name, event)
	})
}

func hashString(text string) uint64 { return xxhash.Sum64String(text) }
