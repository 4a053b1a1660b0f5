package autoscale

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var service = Service{
	Name:   "model",
	Engine: Engine{Slots: 24, MemoryTokens: 26_000, PromptTokensPerSecond: 14_000},
	Bounds: Bounds{Min: 6, Max: 30, Startup: 4 * time.Second},
}

// site plays the engines of data centres second by second: orders take effect after the start time,
// engines that leave at short notice are replaced after it.
type site struct {
	now     time.Time
	engines map[string][]time.Time // the time from which each engine serves
	out     map[string]bool
	viewAge time.Duration

	shortSeconds, seconds  int
	engineSeconds          float64
	orders                 int
	unserved, demandTokens float64
}

func newSite(names []string, count int) *site {
	s := &site{now: time.Unix(1_000_000, 0), engines: make(map[string][]time.Time), out: make(map[string]bool)}
	for _, name := range names {
		s.order(name, count, 0)
	}
	return s
}

func (s *site) order(name string, count int, startup time.Duration) {
	for len(s.engines[name]) < count {
		s.engines[name] = append(s.engines[name], s.now.Add(startup))
	}
	s.engines[name] = s.engines[name][:count]
}

func (s *site) ready(name string) int {
	ready := 0
	for _, from := range s.engines[name] {
		if !from.After(s.now) {
			ready++
		}
	}
	return ready
}

// spotLoss makes a share of the engines leave; their replacements start.
func (s *site) spotLoss(share float64, random *rand.Rand) {
	for name := range s.engines {
		for i := range s.engines[name] {
			if random.Float64() < share {
				s.engines[name][i] = s.now.Add(service.Bounds.Startup)
			}
		}
	}
}

// policy returns the count wanted in a data centre.
type policy func(now time.Time, observations []Observation) []Order

// play advances by a second with the given demand in tokens by data centre.
func (s *site) play(decide policy, tokens map[string]float64, confirm func(Order, time.Time)) {
	var observations []Observation
	for name, engines := range s.engines {
		ready := s.ready(name)
		if s.out[name] {
			ready = 0
		}
		capacity := float64(ready * service.Engine.MemoryTokens)
		if !s.out[name] {
			if tokens[name] > capacity {
				s.shortSeconds++
				s.unserved += tokens[name] - capacity
			}
			s.demandTokens += tokens[name]
			s.seconds++
		}
		s.engineSeconds += float64(len(engines))
		observations = append(observations, Observation{
			DataCentre: name, Ready: ready, Starting: len(engines) - ready, Unavailable: s.out[name], ViewAge: s.viewAge,
			Demand: Demand{Requests: int(tokens[name] / 3600), Tokens: int(tokens[name])},
		})
	}
	for _, o := range decide(s.now, observations) {
		s.orders++
		s.order(o.DataCentre, o.Count, service.Bounds.Startup)
		confirm(o, s.now)
	}
	s.now = s.now.Add(time.Second)
}

// threshold orders what the present demand takes, as a baseline.
func threshold(_ time.Time, observations []Observation) []Order {
	var orders []Order
	for _, o := range observations {
		count := min(max(int(math.Ceil(service.Need(o.Demand))), service.Bounds.Min), service.Bounds.Max)
		if count != o.Ready+o.Starting {
			orders = append(orders, Order{DataCentre: o.DataCentre, Count: count})
		}
	}
	return orders
}

func fixed(time.Time, []Observation) []Order { return nil }

func discard(Order, time.Time) {}

// playHours plays a daily wave with a faster one on it, bursts and engines that leave at short notice.
func playHours(s *site, decide policy, confirm func(Order, time.Time)) {
	random := rand.New(rand.NewPCG(1, 2))
	for second := range 4 * 3600 {
		level := 230_000 + 130_000*math.Sin(2*math.Pi*float64(second)/7200) + 40_000*math.Sin(2*math.Pi*float64(second)/60)
		if second%900 < 60 && second > 900 {
			level *= 1.4
		}
		level *= 0.95 + 0.1*random.Float64()
		if second%30 == 0 {
			s.spotLoss(0.1, random)
		}
		s.play(decide, map[string]float64{"a": level}, confirm)
	}
}

// Guards against orders that follow demand too late, or hold engines that nobody needs.
func TestPlannerOnHoursOfLoad(t *testing.T) {
	planner := NewPlanner(service, nil)
	planned, present, mean, most := newSite([]string{"a"}, 15), newSite([]string{"a"}, 15), newSite([]string{"a"}, 15), newSite([]string{"a"}, 30)
	playHours(planned, planner.Decide, planner.Confirm)
	playHours(present, threshold, discard)
	playHours(mean, fixed, discard)
	playHours(most, fixed, discard)
	for name, s := range map[string]*site{"planned": planned, "threshold": present, "fixed at 15": mean, "fixed at the maximum": most} {
		t.Logf("%s: %.2f engines, unserved %.4f, seconds short %.4f, %d orders", name, s.engineSeconds/float64(s.seconds),
			s.unserved/s.demandTokens, float64(s.shortSeconds)/float64(s.seconds), s.orders)
	}
	assert.Less(t, planned.unserved/planned.demandTokens, 0.001)
	assert.Less(t, planned.unserved, present.unserved)
	assert.Less(t, planned.orders, present.orders/2)
	assert.Less(t, planned.engineSeconds, 0.85*most.engineSeconds)
}

func observe(name string, ready, tokens int) Observation {
	return Observation{DataCentre: name, Ready: ready, Demand: Demand{Tokens: tokens}}
}

// Guards against engines that are given up while their number is needed within the hold time.
func TestEnginesAreGivenUpOneAtATime(t *testing.T) {
	p, now, ready := NewPlanner(service, nil), time.Unix(0, 0), 15
	var downs []time.Time
	for range 60 {
		now = now.Add(time.Second)
		for _, o := range p.Decide(now, []Observation{observe("a", ready, 140_000)}) {
			require.Equal(t, Order{DataCentre: "a", Count: ready - 1, Reason: Falling}, o)
			p.Confirm(o, now)
			ready = o.Count
			downs = append(downs, now)
		}
	}
	assert.Equal(t, 8, ready, "140,000 tokens take 7.7 engines")
	for i := 1; i < len(downs); i++ {
		assert.GreaterOrEqual(t, downs[i].Sub(downs[i-1]), service.Bounds.Startup)
	}
	assert.GreaterOrEqual(t, downs[0].Sub(time.Unix(0, 0)), 12*time.Second)
}

// Guards against giving up engines on a view that says nothing of the present demand.
func TestNothingIsGivenUpOnAnOldView(t *testing.T) {
	p, now := NewPlanner(service, nil), time.Unix(0, 0)
	for range 120 {
		now = now.Add(time.Second)
		o := observe("a", 15, 10)
		o.ViewAge = 4 * time.Second
		assert.Empty(t, p.Decide(now, []Observation{o}))
	}
}

// Guards against waiting for the demand of a lost data centre to arrive before ordering for it.
func TestDemandOfALostDataCentreIsOrderedAtOnce(t *testing.T) {
	p, now := NewPlanner(service, nil), time.Unix(0, 0)
	all := func(lost bool) []Observation {
		c := observe("c", 10, 180_000)
		if lost {
			c = Observation{DataCentre: "c", Unavailable: true}
		}
		return []Observation{observe("a", 10, 180_000), observe("b", 10, 180_000), c}
	}
	for range 5 {
		now = now.Add(time.Second)
		require.Empty(t, p.Decide(now, all(false)))
	}
	now = now.Add(time.Second)
	assert.Equal(t, []Order{{"a", 15, Displaced}, {"b", 15, Displaced}}, p.Decide(now, all(true)))
}

// Guards against giving up engines while a system that has just started serves nobody yet.
func TestNothingIsGivenUpBeforeTheFirstDemand(t *testing.T) {
	p, now := NewPlanner(service, nil), time.Unix(0, 0)
	for range 120 {
		now = now.Add(time.Second)
		assert.Empty(t, p.Decide(now, []Observation{observe("a", 15, 0)}))
	}
}

// Guards against an order to start engines that stops some, since those of the moment were counted
// while others were being replaced.
func TestFirstOrderCountsFromTheMostEnginesSeen(t *testing.T) {
	p, now := NewPlanner(service, nil), time.Unix(0, 0)
	require.Empty(t, p.Decide(now, []Observation{observe("a", 12, 180_000)}))
	require.Empty(t, p.Decide(now.Add(time.Second), []Observation{observe("a", 15, 180_000)}))
	assert.Empty(t, p.Decide(now.Add(2*time.Second), []Observation{observe("a", 12, 230_000)}), "15 engines are in force")
}

// Guards against an order that was lost, or undone by a call that was carried out late.
func TestOrderWithoutEffectIsRepeated(t *testing.T) {
	p, now := NewPlanner(service, nil), time.Unix(0, 0)
	p.Decide(now, []Observation{observe("a", 10, 100_000)})
	p.Confirm(Order{DataCentre: "a", Count: 16}, now)
	var repeated []Order
	for range 13 {
		now = now.Add(time.Second)
		repeated = append(repeated, p.Decide(now, []Observation{observe("a", 10, 240_000)})...)
	}
	assert.Equal(t, []Order{{DataCentre: "a", Count: 16, Reason: Unseen}}, repeated)
}

// Guards against orders outside the operators' bounds, whatever the view says.
func TestOrdersStayInBounds(t *testing.T) {
	p, now := NewPlanner(service, map[string]int{"a": 10}), time.Unix(0, 0)
	random := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		now = now.Add(time.Duration(random.IntN(5000)) * time.Millisecond)
		o := Observation{
			DataCentre: "a", Ready: random.IntN(40), Starting: random.IntN(10), Unavailable: random.IntN(9) == 0,
			ViewAge: time.Duration(random.IntN(6)) * time.Second, Demand: Demand{Requests: random.IntN(1000), Tokens: random.IntN(2_000_000)},
		}
		for _, order := range p.Decide(now, []Observation{o}) {
			require.GreaterOrEqual(t, order.Count, service.Bounds.Min)
			require.LessOrEqual(t, order.Count, service.Bounds.Max)
			if random.IntN(3) > 0 {
				p.Confirm(order, now)
			}
		}
	}
}

// Guards against an order of an earlier holder that was never carried out and is taken for done.
func TestOrderOfAnEarlierHolderWithoutEffectIsRepeated(t *testing.T) {
	p, now := NewPlanner(service, map[string]int{"a": 20}), time.Unix(0, 0)
	var repeated []Order
	for range 20 {
		now = now.Add(time.Second)
		repeated = append(repeated, p.Decide(now, []Observation{observe("a", 10, 290_000)})...)
	}
	require.NotEmpty(t, repeated)
	assert.Equal(t, Order{DataCentre: "a", Count: 20, Reason: Unseen}, repeated[0])
}
