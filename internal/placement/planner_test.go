package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// A fixed seed makes every run test the same cases; -rapid.seed selects others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const testTick = 5 * time.Second

// engine is the actual state of a simulated upstream.
type engine struct {
	incarnation int
	models      []string
	lost        bool
}

type runningOrder struct {
	endsAt  time.Time
	order   Order
	outcome Outcome
}

// cluster simulates engines that carry out orders after loadTime and whose reports lag.
type cluster struct {
	t             require.TestingT
	now           time.Time
	planner       *Planner
	input         Input
	engines       map[string]*engine
	runningOrders []runningOrder
	issuedOrders  []Order
	lastOrderEnd  map[string]time.Time // by upstream; zero while the order runs
	// loadTime is the time from an order to its outcome, reportInterval the time between two
	// reports of an engine.
	loadTime, reportInterval time.Duration
	outcome                  func(Order) Outcome
}

func newCluster(t require.TestingT, pools, upstreams int, models []string, settings Settings) *cluster {
	c := &cluster{t: t, now: time.Unix(100_000, 0), engines: map[string]*engine{}, lastOrderEnd: map[string]time.Time{}, loadTime: 20 * time.Second,
		outcome: func(Order) Outcome { return Done }}
	c.planner = NewPlanner(settings, c.now)
	text := &entity.ServiceText{DataCentres: []string{"dc"}}
	c.input = Input{Configuration: &entity.Configuration{Revision: 7, Text: text, Rollouts: map[string]entity.Rollout{}, DataCentresOut: map[string]bool{}},
		Epoch: 3, States: map[string]State{}, TokensPerSecond: map[Demand]float64{}}
	for p := range pools {
		pool := entity.Pool{Name: fmt.Sprintf("p%d", p), Kind: entity.KindEngine, DataCentre: "dc", Limits: entity.Limits{MaxRequests: 10, TargetStep: 100 * time.Millisecond}}
		for u := range upstreams {
			name := fmt.Sprintf("p%d-u%d", p, u)
			pool.Upstreams = append(pool.Upstreams, entity.Upstream{Name: name, Address: name + ":1", Pool: pool.Name})
			c.engines[name] = &engine{}
		}
		text.Pools = append(text.Pools, pool)
		c.input.Pools = append(c.input.Pools, pool.Name)
	}
	for i, m := range models {
		s := entity.Service{Name: fmt.Sprintf("s%d", i), Versions: []entity.Version{{Name: "v1", Model: m, Pools: c.input.Pools, Share: 100}}}
		text.Services = append(text.Services, s)
	}
	return c
}

// step advances the time by one testTick: orders end, reports arrive, the planner runs.
func (c *cluster) step() []Order {
	c.now = c.now.Add(testTick)
	var remaining []runningOrder
	for _, f := range c.runningOrders {
		if f.endsAt.After(c.now) {
			remaining = append(remaining, f)
			continue
		}
		e := c.engines[f.order.Upstream]
		if f.outcome == Done && f.order.Incarnation == fmt.Sprint(e.incarnation) {
			e.models = modelsAfter(e.models, f.order)
		}
		c.planner.RecordOutcome(c.now, f.order.ID, f.outcome)
		c.lastOrderEnd[f.order.Upstream] = c.now
		if f.outcome == NotSent {
			delete(c.lastOrderEnd, f.order.Upstream) // the order did not change the engine, so earlier reports are still valid
		}
	}
	c.runningOrders = remaining
	c.report()
	orders := c.planner.Tick(c.now, c.input)
	for _, o := range orders {
		ended, ordered := c.lastOrderEnd[o.Upstream]
		require.True(c.t, !ordered || !ended.IsZero(), "second order while one runs on %s", o.Upstream)
		require.True(c.t, !ordered || c.input.States[o.Upstream].MeasuredAt.After(ended) || c.input.States[o.Upstream].Incarnation != c.lastOrder(o.Upstream).Incarnation,
			"order on a report from before the last order of %s ended", o.Upstream)
		c.lastOrderEnd[o.Upstream] = time.Time{}
		c.runningOrders = append(c.runningOrders, runningOrder{c.now.Add(c.loadTime), o, c.outcome(o)})
		c.issuedOrders = append(c.issuedOrders, o)
	}
	return orders
}

func (c *cluster) lastOrder(name string) Order {
	i := slices.IndexFunc(c.issuedOrders, func(o Order) bool { return o.Upstream == name })
	for j := i + 1; j < len(c.issuedOrders); j++ {
		if c.issuedOrders[j].Upstream == name {
			i = j
		}
	}
	return c.issuedOrders[i]
}

// report updates the state of each reachable engine whose last report is at least lag old.
func (c *cluster) report() {
	for name, e := range c.engines {
		state := c.input.States[name]
		state.Upstream, state.Lost = name, e.lost
		if !e.lost && c.now.Sub(state.MeasuredAt) >= c.reportInterval {
			state.Incarnation, state.Models, state.MeasuredAt = fmt.Sprint(e.incarnation), slices.Clone(e.models), c.now
		}
		c.input.States[name] = state
	}
}

func (c *cluster) run(d time.Duration) (orders []Order) {
	for end := c.now.Add(d); c.now.Before(end); {
		orders = append(orders, c.step()...)
	}
	return orders
}

func (c *cluster) copies(pool, model string) (n int) {
	for name, e := range c.engines {
		if name[:2] == pool && !e.lost && slices.Contains(e.models, model) {
			n++
		}
	}
	return n
}

// checkLoadRate checks that no interval has more loads than the token bucket allows.
func (c *cluster) checkLoadRate(perMinute float64) {
	var decidedAt []time.Time
	for _, o := range c.issuedOrders {
		if o.Kind == upstream.OrderLoad {
			decidedAt = append(decidedAt, o.DecidedAt)
		}
	}
	for i := range decidedAt {
		for j := i; j < len(decidedAt); j++ {
			require.LessOrEqual(c.t, float64(j-i+1), 1+decidedAt[j].Sub(decidedAt[i]).Minutes()*perMinute+1e-9)
		}
	}
}

// Guards against plans that never converge, loads above the weight store's rate, orders
// based on reports from before the last order ended, dwell times that are too short, and
// unloads of needed models, under random losses, returns, restarts, outcomes and lag.
func TestPlannerConvergesWithinLoadRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const loadsPerMinute, models = 6.0, 3
		upstreams := rapid.IntRange(1, 5).Draw(t, "upstreams")
		settings := DefaultSettings(loadsPerMinute)
		settings.ModelsPerUpstream = rapid.IntRange(2, 4).Draw(t, "slots")
		c := newCluster(t, 2, upstreams, []string{"m0", "m1", "m2"}, settings)
		c.reportInterval = time.Duration(rapid.IntRange(0, 20).Draw(t, "lag")) * time.Second
		names := []string{}
		for name := range c.engines {
			names = append(names, name)
		}
		slices.Sort(names)
		c.outcome = func(Order) Outcome {
			return rapid.SampledFrom([]Outcome{Done, Done, Done, Failed, Unknown, NotSent}).Draw(t, "outcome")
		}
		for range rapid.IntRange(5, 60).Draw(t, "ticks") {
			e := c.engines[rapid.SampledFrom(names).Draw(t, "upstream")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				e.lost = true
			case 1:
				e.lost = false
			case 2:
				e.incarnation, e.models, e.lost = e.incarnation+1, nil, false
			case 3:
				key := Demand{rapid.SampledFrom(c.input.Pools).Draw(t, "pool"), fmt.Sprintf("m%d", rapid.IntRange(0, models-1).Draw(t, "model"))}
				c.input.TokensPerSecond[key] = rapid.Float64Range(0, 400).Draw(t, "demand")
			}
			c.step()
		}
		c.outcome = func(Order) Outcome { return Done }
		// The longest time to converge once the inputs are constant: each wait once (a
		// timed-out order, the longest retry delay, the dwell time, the surplus duration) and
		// every slot of every engine loaded at the rate limit.
		convergenceTime := settings.OrderTimeout + maxRetryFactor*settings.RetryDelay + settings.MinDwell + settings.MinSurplusDuration +
			time.Duration(float64(2*upstreams*settings.ModelsPerUpstream)/loadsPerMinute*float64(time.Minute)) + 10*(c.loadTime+c.reportInterval)
		c.run(convergenceTime)
		require.Empty(t, c.run(convergenceTime), "orders after %d ticks", convergenceTime/testTick)
		c.checkLoadRate(loadsPerMinute)
		loaded := map[copyKey]time.Time{}
		for _, o := range c.issuedOrders {
			key := copyKey{o.Upstream, o.Model}
			if o.Kind == upstream.OrderLoad {
				loaded[key] = o.DecidedAt
			} else if at, found := loaded[key]; found && !strings.Contains(o.Reason, "it has 0 of") {
				require.GreaterOrEqual(t, o.DecidedAt.Sub(at), settings.MinDwell)
			}
		}
		for _, pool := range c.input.Pools {
			usable := 0
			for name, e := range c.engines {
				if name[:2] == pool && !e.lost {
					usable++
				}
			}
			for m := range models {
				have := c.copies(pool, fmt.Sprintf("m%d", m))
				if settings.ModelsPerUpstream >= models {
					require.GreaterOrEqual(t, have, min(2, usable))
				} else if usable*settings.ModelsPerUpstream >= models {
					require.GreaterOrEqual(t, have, 1)
				}
			}
		}
	})
}

// Guards against a new version that receives requests before its model is loaded.
func TestNewVersionIsLoadedBeforeItsStep(t *testing.T) {
	c := newCluster(t, 1, 4, []string{"m0"}, DefaultSettings(60))
	c.input.TokensPerSecond[Demand{"p0", "m0"}] = 200 // 2.6 engines with slack
	c.run(5 * time.Minute)
	require.Equal(t, 3, c.copies("p0", "m0"))
	s := &c.input.Configuration.Text.Services[0]
	s.Versions = append(s.Versions, entity.Version{Name: "v2", Model: "n0", Pools: []string{"p0"}})
	c.input.Configuration.Rollouts["s0"] = entity.Rollout{Service: "s0", From: "v1", To: "v2", Step: 1, State: entity.RolloutRunning}
	require.False(t, HasCopiesForShare(c.input, 1.3, "s0", "v2", 1))
	c.run(2 * time.Minute)
	assert.Equal(t, 2, c.copies("p0", "n0"))
	assert.True(t, HasCopiesForShare(c.input, 1.3, "s0", "v2", 5))
	assert.False(t, HasCopiesForShare(c.input, 1.3, "s0", "v2", 100))
	c.input.Configuration.Rollouts["s0"] = entity.Rollout{Service: "s0", From: "v1", To: "v2", Step: 50, State: entity.RolloutRunning}
	c.run(2 * time.Minute)
	assert.True(t, HasCopiesForShare(c.input, 1.3, "s0", "v2", 100))
	c.input.Configuration.Rollouts["s0"] = entity.Rollout{Service: "s0", From: "v1", To: "v2", Step: 50, State: entity.RolloutUndone}
	c.run(time.Hour)
	assert.Equal(t, 0, c.copies("p0", "n0"))
	assert.Equal(t, 3, c.copies("p0", "m0"))
}

// Guards against a lost engine that is not replaced, and against new orders when it returns.
func TestLostUpstreamIsReplacedOnce(t *testing.T) {
	c := newCluster(t, 1, 4, []string{"m0"}, DefaultSettings(60))
	c.run(5 * time.Minute)
	holder := c.issuedOrders[0].Upstream
	c.engines[holder].lost = true
	orders := c.run(2 * time.Minute)
	require.Len(t, orders, 1)
	assert.Equal(t, upstream.OrderLoad, orders[0].Kind)
	c.engines[holder].lost = false
	assert.Empty(t, c.run(time.Hour))
}

// Guards against orders to a data centre that is taken out and to upstreams that are leaving.
func TestNoOrdersForExcludedDataCentresAndUpstreams(t *testing.T) {
	c := newCluster(t, 1, 2, []string{"m0"}, DefaultSettings(60))
	c.input.Configuration.DataCentresOut["dc"] = true
	assert.Empty(t, c.run(5*time.Minute))
	c.input.Configuration.DataCentresOut["dc"] = false
	c.input.Configuration.Text.Pools[0].Upstreams[0].Leaving = true
	orders := c.run(5 * time.Minute)
	require.Len(t, orders, 1)
	assert.Equal(t, "p0-u1", orders[0].Upstream)
	assert.Equal(t, FencingToken(3, 7), orders[0].Token)
}

// Guards against fencing tokens of an earlier view that exceed those of a later one.
func TestFencingTokenOrdersByEpochThenRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e1, r1 := rapid.Uint64Range(0, maxEpoch).Draw(t, "e1"), rapid.Uint64Range(0, maxRevision).Draw(t, "r1")
		e2, r2 := rapid.Uint64Range(0, maxEpoch).Draw(t, "e2"), rapid.Uint64Range(0, maxRevision).Draw(t, "r2")
		later := e1 > e2 || e1 == e2 && r1 > r2
		assert.Equal(t, later, FencingToken(e1, r1) > FencingToken(e2, r2))
	})
}

func BenchmarkTick(b *testing.B) {
	for _, upstreams := range []int{20, 100, 1000, 10_000} {
		for _, models := range []int{1, 5, 25, 50} {
			b.Run(fmt.Sprintf("upstreams=%d/models=%d", upstreams, models), func(b *testing.B) {
				names := make([]string, models)
				for i := range names {
					names[i] = fmt.Sprintf("m%d", i)
				}
				settings := DefaultSettings(60)
				settings.ModelsPerUpstream = 10
				c := newCluster(b, 1, upstreams, names, settings)
				rng := rand.New(rand.NewPCG(1, 2))
				for _, e := range c.engines {
					for range 4 {
						e.models = modelsAfter(e.models, Order{Kind: upstream.OrderLoad, Model: names[rng.IntN(models)]})
					}
				}
				c.now = c.now.Add(time.Hour)
				c.report()
				b.ReportAllocs()
				for b.Loop() {
					c.planner.Tick(c.now, c.input)
				}
			})
		}
	}
}
