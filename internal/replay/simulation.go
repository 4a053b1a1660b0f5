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
	// digestInterval and tickInterval are those of the daemon.
	digestInterval = 500 * time.Millisecond
	tickInterval   = 10 * time.Millisecond
	// cancelLatency is the time between a cancellation and its confirmation.
	cancelLatency = 5 * time.Millisecond
	// leavingGrace is the time after which an upstream that is leaving, or whose data centre
	// is out, must receive no new requests.
	leavingGrace = 3500 * time.Millisecond
	// maxOverrun is the time after the span for which a run waits for unfinished requests.
	maxOverrun = 30 * time.Minute
	// maxDecisionsPerInstant bounds the decisions at one instant. More mean that the
	// policy and the model react to each other without progress.
	maxDecisionsPerInstant = 1000
)

var errNoProgress = errors.New("policy keeps deciding at one instant without progress")

// simulation is one run of a trace under a policy.
type simulation struct {
	trace         *trace.Trace
	policy        Policy
	cacheObserver CacheObserver // nil when the policy uses no cache events
	clock         clock
	metrics       *recorder

	pools             []trace.Pool
	engines           []*engine
	engineByName      map[string]*engine
	poolIndex         map[*engine]int
	dataCentreOut     []bool                    // by pool
	outOfServiceSince map[*engine]time.Duration // when an upstream began to leave or its data centre went out

	requests        map[string]*request
	attemptByPermit map[uint64]*attempt
	waitingRequests int  // requests that wait for a grant of the policy
	openRequests    int  // requests that have not ended
	pendingArrivals int  // arrivals that the run has not reached
	decisionDue     bool // the policy received input since its last decision
	tickScheduled   bool
	lastArrivalAt   time.Duration // offset of the last arrival
	now             time.Time
}

// Simulate runs the trace under the policy and returns the metrics of the run.
func Simulate(t *trace.Trace, name string, factory PolicyFactory, seed uint64) (Result, error) {
	s := newSimulation(t, factory(t, seed), seed)
	if err := s.run(); err != nil {
		return Result{}, fmt.Errorf("replay %s under %s with seed %d: %w", t.Header.Name, name, seed, err)
	}
	return s.result(name, seed), nil
}

func newSimulation(t *trace.Trace, policy Policy, seed uint64) *simulation {
	s := &simulation{
		trace: t, policy: policy, pools: t.Header.Pools, engineByName: map[string]*engine{}, poolIndex: map[*engine]int{},
		outOfServiceSince: map[*engine]time.Duration{}, requests: map[string]*request{}, attemptByPermit: map[uint64]*attempt{},
		dataCentreOut: make([]bool, len(t.Header.Pools)), now: virtualEpoch,
	}
	s.cacheObserver, _ = policy.(CacheObserver)
	s.metrics = newRecorder(t)
	for i, p := range s.pools {
		for _, u := range p.Upstreams {
			e := newEngine(u, len(s.engines), seed^t.Header.Seed, &s.clock, s)
			s.engines = append(s.engines, e)
			s.engineByName[u.Name], s.poolIndex[e] = e, i
		}
	}
	return s
}

func (s *simulation) run() error {
	for i := range s.pools {
		s.policy.SetPool(s.now, poolEntity(s.pools[i]), false)
	}
	for _, e := range s.engines {
		s.sampleLoad(e)
	}
	s.clock.scheduleAfter(digestInterval, s.reportProgress)
	for _, event := range s.trace.Events {
		if event.Kind == trace.Arrive {
			s.pendingArrivals++
			s.lastArrivalAt = event.At()
		}
		s.clock.scheduleAt(event.At(), func() { s.applyEvent(event) })
	}
	limit := s.trace.Header.Span() + maxOverrun
	decisions := 0
	for s.pendingArrivals > 0 || s.openRequests > 0 {
		at, ok := s.clock.nextTime()
		if !ok || at > limit {
			break
		}
		if at > s.clock.now {
			decisions = 0
		}
		s.clock.runNext()
		s.now = virtualEpoch.Add(s.clock.now)
		for s.decisionDue {
			if decisions++; decisions > maxDecisionsPerInstant {
				return errNoProgress
			}
			s.decide()
		}
	}
	return nil
}

func (s *simulation) decide() {
	s.decisionDue = false
	for _, command := range s.policy.Decide(s.now) {
		switch c := command.(type) {
		case pool.Grant:
			s.handleGrant(c.Permit)
		case pool.Refuse:
			s.handleRefuse(c)
		case pool.CancelAtUpstream:
			s.handleCancel(c.PermitID)
		}
	}
	s.scheduleTick()
}

// scheduleTick schedules the next decision after tickInterval while requests wait.
func (s *simulation) scheduleTick() {
	if s.tickScheduled || s.waitingRequests == 0 {
		return
	}
	s.tickScheduled = true
	s.clock.scheduleAfter(tickInterval, func() { s.tickScheduled, s.decisionDue = false, true })
}

// reportProgress sends a progress digest of all permits every digestInterval.
func (s *simulation) reportProgress() {
	ids := make([]uint64, 0, len(s.attemptByPermit))
	for id := range s.attemptByPermit {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	all := make([]pool.Progress, 0, len(ids))
	for _, id := range ids {
		all = append(all, s.attemptByPermit[id].nextProgress(s.clock.now))
	}
	if len(all) > 0 {
		s.policy.Progress(s.now, all)
		s.decisionDue = true
	}
	s.clock.scheduleAfter(digestInterval, s.reportProgress)
}

// sampleLoad samples the engine's load every ReportEveryMS and delivers the report after
// ReportLagMS. An engine that is down sends no report, so it is reported as lost.
func (s *simulation) sampleLoad(e *engine) {
	lag := time.Duration(e.params.ReportLagMS) * time.Millisecond
	r := pool.Report{
		Upstream: e.name, Incarnation: e.incarnationName(), Cold: e.cold, Leaving: e.leaving,
		Running: e.inFlight(), MemoryTokens: e.usedMemory(), Age: lag,
	}
	up := e.up
	s.clock.scheduleAfter(lag, func() {
		if up {
			s.policy.Report(s.now, r)
		} else {
			s.policy.Lose(s.now, e.name)
		}
		s.decisionDue = true
	})
	s.clock.scheduleAfter(time.Duration(e.params.ReportEveryMS)*time.Millisecond, func() { s.sampleLoad(e) })
}

// cacheChanged implements engineEvents. Events are delayed, and some are dropped.
func (s *simulation) cacheChanged(e *engine, hash uint64, evicted bool) {
	event := pool.CacheEvent{Prefix: hash, Evicted: evicted}
	if s.cacheObserver == nil || e.rng.Float64() < e.params.CacheEventLoss {
		return
	}
	s.clock.scheduleAfter(time.Duration(e.params.CacheLagMS)*time.Millisecond, func() {
		s.cacheObserver.CacheEvents(s.now, e.name, event)
	})
}

func hashString(text string) uint64 { return xxhash.Sum64String(text) }
