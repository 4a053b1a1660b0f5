package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateCanary simulates 40 requests per second until a verdict. It returns the
// verdict, its time, and the number of requests and failures of the new version.
func simulateCanary(seed uint64, c Canary, bad func(at time.Duration) Outcome, good func() Outcome) (Verdict, time.Duration, int, int) {
	random := rand.New(rand.NewPCG(seed, 1))
	counter, evidence := NewCounter("h1", "1"), NewEvidence()
	sent, failed := 0, 0
	for at := time.Duration(0); at < 2*c.Duration; at += 25 * time.Millisecond {
		onNew := random.Float64() < CanaryPercent/100.0
		o := good()
		if onNew {
			o = bad(at)
			sent++
			if o.Failed {
				failed++
			}
		}
		counter.Record(CanaryPercent, "r", onNew, o)
		if at%(250*time.Millisecond) != 0 {
			continue
		}
		evidence.Merge(counter.Report(true))
		if v := JudgeCanary(c.StartedAt.Add(at), c, evidence); v.Action != Continue {
			return v, at, sent, failed
		}
	}
	return Verdict{}, 0, sent, failed
}

// Guards against bad versions that take over although they fail from the start or
// from a later time on, and against good versions that are undone or finish late.
func TestCanary(t *testing.T) {
	c := Canary{Service: "s", Version: "v2", StartedAt: time.Unix(1000, 0), Duration: 12 * time.Second}
	ok := func() Outcome { return Outcome{FirstToken: 30 * time.Millisecond} }
	failing := func(from time.Duration, share float64, random *rand.Rand) func(time.Duration) Outcome {
		return func(at time.Duration) Outcome {
			o := ok()
			o.Failed = at >= from && random.Float64() < share
			return o
		}
	}
	undone := 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		v, at, _, _ := simulateCanary(seed, c, failing(0, 0, random), ok)
		require.Equal(t, Finish, v.Action, "a good version, seed %d: %s", seed, v.Reason)
		require.Less(t, at, c.Duration)
		v, _, _, bad := simulateCanary(seed, c, failing(0, 0.6, random), ok)
		require.Equal(t, Undo, v.Action, "a bad version, seed %d", seed)
		require.Less(t, bad, 50)
		if v, _, _, _ = simulateCanary(seed, c, failing(4*time.Second, 0.7, random), ok); v.Action == Undo {
			undone++
		}
	}
	require.GreaterOrEqual(t, undone, 18, "late faults must be detected in at least 18 of 20 runs; little traffic may hide some")
}

// Guards against a version that answers several times slower and takes over because few of
// its requests have ended when the time limit expires.
func TestSlowCanaryIsUndone(t *testing.T) {
	c := Canary{Service: "s", Version: "v2", StartedAt: time.Unix(1000, 0), Duration: 15 * time.Second}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		latency := func(slowdown float64) Outcome {
			return Outcome{FirstToken: time.Duration(slowdown * math.Exp(0.5*random.NormFloat64()) * float64(600*time.Millisecond))}
		}
		requireUndone(t, seed, c, 16, func() Outcome { return latency(1) }, func() Outcome { return latency(8) })
	}
}

// Guards against a version that takes over although nothing is known about it.
func TestCanaryWithoutEvidenceIsUndone(t *testing.T) {
	c := Canary{Service: "s", Version: "v2", StartedAt: time.Unix(1000, 0), Duration: 15 * time.Second}
	counter, evidence := NewCounter("h1", "1"), NewEvidence()
	for range 500 {
		counter.Record(CanaryPercent, "r", false, Outcome{FirstToken: 30 * time.Millisecond})
	}
	evidence.Merge(counter.Report(true))
	verdict := Verdict{}
	for at := time.Duration(0); at <= c.Duration && verdict.Action == Continue; at += 250 * time.Millisecond {
		verdict = JudgeCanary(c.StartedAt.Add(at), c, evidence)
	}
	require.Equal(t, Undo, verdict.Action, verdict.Reason)
}

// requireUndone simulates a canary whose outcomes are known when the first token arrives.
func requireUndone(t *testing.T, seed uint64, c Canary, perSecond int, old, new func() Outcome) {
	t.Helper()
	type ended struct {
		at    time.Duration
		onNew bool
		Outcome
	}
	random := rand.New(rand.NewPCG(seed, 4))
	counter, evidence := NewCounter("h1", "1"), NewEvidence()
	var running []ended
	verdict := Verdict{}
	const tick = 250 * time.Millisecond
	for at := time.Duration(0); at <= c.Duration && verdict.Action == Continue; at += tick {
		for range perSecond * int(tick) / int(time.Second) {
			e := ended{onNew: random.Float64() < CanaryPercent/100.0, Outcome: old()}
			if e.onNew {
				e.Outcome = new()
			}
			e.at = at + e.FirstToken
			running = append(running, e)
		}
		running = slices.DeleteFunc(running, func(e ended) bool {
			if e.at <= at {
				counter.Record(CanaryPercent, "r", e.onNew, e.Outcome)
			}
			return e.at <= at
		})
		evidence.Merge(counter.Report(true))
		verdict = JudgeCanary(c.StartedAt.Add(at), c, evidence)
	}
	require.Equal(t, Undo, verdict.Action, "seed %d: %s", seed, verdict.Reason)
}

// Guards against a trial that exceeds the exposure bound, and against one on a quiet
// service that ends without evidence.
func TestRequestShareStaysWithinExposureBounds(t *testing.T) {
	bounds := ExposureBounds{Share: 0.1, Slack: 50}
	c := Canary{Duration: 15 * time.Second, Bounds: bounds}
	for _, perSecond := range []float64{0, 0.5, 5, 16, 40, 500} {
		share := c.RequestShare(perSecond, 1)
		total := perSecond * c.Duration.Seconds()
		require.LessOrEqual(t, share*total, bounds.Share*total+bounds.Slack, "at %v requests a second", perSecond)
		if perSecond >= 5 {
			require.Greater(t, share*perSecond*acceptedFinishFraction*c.Duration.Seconds(), 20.0, "at %v requests a second", perSecond)
		}
	}
	require.Equal(t, 0.25, c.RequestShare(1, 0.25), "upstreams of the version are a quarter of all")
}

// Guards against a version that turns bad after it was nearly in force, when nothing can undo it: it
// must keep the exposure bound until the deadline, whenever it turns bad.
func TestVersionThatTurnsBadLateKeepsTheExposureBound(t *testing.T) {
	for _, perSecond := range []int{2, 60, 400} {
		for _, turnsBad := range []float64{0.72, 0.75, 0.8, 0.9, 2} {
			for seed := range uint64(10) {
				c := Canary{
					Service: "s", Version: "v2", StartedAt: time.Unix(1000, 0), Duration: 20 * time.Second,
					Bounds: ExposureBounds{Share: 0.1, Slack: 50},
				}
				random := rand.New(rand.NewPCG(seed, 5))
				counter, evidence := NewCounter("h1", "1"), NewEvidence()
				share, all, onNew, verdict := c.RequestShare(float64(perSecond), 0.5), 0, 0, Verdict{}
				const tick = 250 * time.Millisecond
				for at := time.Duration(0); at < c.Duration; at += tick {
					for range max(perSecond*int(tick)/int(time.Second), 1) {
						isNew := verdict.Action == Finish || verdict.Action == Continue && random.Float64() < share
						failed := isNew && at >= fractionOf(c.Duration, turnsBad) && random.Float64() < 0.4
						counter.Record(CanaryPercent, "r", isNew, Outcome{Failed: failed, FirstToken: 30 * time.Millisecond})
						if all++; isNew {
							onNew++
						}
					}
					evidence.Merge(counter.Report(true))
					if verdict.Action == Continue {
						verdict = JudgeCanary(c.StartedAt.Add(at), c, evidence)
					}
				}
				require.LessOrEqual(t, float64(onNew), c.Bounds.Share*float64(all)+c.Bounds.Slack,
					"%d a second, bad from %.2f on, seed %d: %s", perSecond, turnsBad, seed, verdict.Action)
				require.NotEqual(t, Continue, verdict.Action, "the phase is decided before the deadline")
				if turnsBad > 1 {
					require.Equal(t, Finish, verdict.Action, "a good version, %d a second, seed %d: %s", perSecond, seed, verdict.Reason)
				}
			}
		}
	}
}

// Guards against a version that fails on a route with little traffic and takes over, since its share
// of that route shows too little; and against good versions that are undone by chance.
func TestVersionThatFailsOnARareRouteIsUndone(t *testing.T) {
	const perSecond, rareShare, plays = 60, 0.05, 40
	finished := map[bool]int{}
	for _, bad := range []bool{true, false} {
		for seed := range uint64(plays) {
			c := Canary{
				Service: "s", Version: "v2", StartedAt: time.Unix(1000, 0), Duration: 20 * time.Second,
				Bounds: ExposureBounds{Share: 0.1, Slack: 50},
			}
			random := rand.New(rand.NewPCG(seed, 6))
			counter, evidence := NewCounter("h1", "1"), NewEvidence()
			all, onNew, verdict := 0, 0, Verdict{}
			const tick = 250 * time.Millisecond
			for at := time.Duration(0); at < c.Duration && verdict.Action == Continue; at += tick {
				now := c.StartedAt.Add(at)
				share := c.RequestShare(perSecond, 0.5)
				shares := c.RouteShares(now, evidence, share, 0.5)
				for range perSecond * int(tick) / int(time.Second) {
					route, routeShare := "often", share
					if random.Float64() < rareShare {
						route = "rare"
					}
					if raised, ok := shares[route]; ok {
						routeShare = raised
					}
					isNew, failureRate := random.Float64() < routeShare, 0.004
					if bad && isNew && route == "rare" {
						failureRate = 0.4
					}
					counter.Record(CanaryPercent, route, isNew, Outcome{Failed: random.Float64() < failureRate, FirstToken: 30 * time.Millisecond})
					if all++; isNew {
						onNew++
					}
				}
				evidence.Merge(counter.Report(true))
				verdict = JudgeCanary(now, c, evidence)
			}
			require.NotEqual(t, Continue, verdict.Action)
			if verdict.Action == Finish {
				finished[bad]++
			}
			require.LessOrEqual(t, float64(onNew), c.Bounds.Share*float64(all)+c.Bounds.Slack, "seed %d", seed)
		}
	}
	t.Logf("taken over: %d of %d bad versions, %d of %d good ones", finished[true], plays, finished[false], plays)
	require.LessOrEqual(t, finished[true], plays/10, "bad versions that took over")
	require.GreaterOrEqual(t, finished[false], plays*19/20, "good versions that took over")
}
