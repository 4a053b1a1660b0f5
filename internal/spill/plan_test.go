package spill

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const tolerable = 750 * time.Millisecond

func dataCentre(name string, engines int, demand float64) DataCentre {
	return DataCentre{Name: name, Engines: engines, Demand: demand, Heard: true, RoundTrip: 2 * time.Millisecond}
}

// flows returns the demand that each data centre sends by its plan.
func flows(all []DataCentre) (sent map[string]float64, received map[string]float64) {
	sent, received = make(map[string]float64), make(map[string]float64)
	for _, d := range all {
		for _, s := range Decide(d.Name, all, false, tolerable).Shares {
			sent[d.Name] += s.Part * d.Demand
			received[s.DataCentre] += s.Part * d.Demand
		}
	}
	return sent, received
}

// Guards against requests that leave without need, and against a surplus that stays: one data centre
// with twice its share of the callers, from calm to more than all engines can serve.
func TestOnlyTheSurplusLeaves(t *testing.T) {
	for _, c := range []struct{ crowded, other, after float64 }{
		{8, 4, 0.4}, {16, 8, 0.8}, {18, 9, 0.7}, {24, 12, 0.8}, {40, 20, 4.0 / 3},
	} {
		sent, received := flows([]DataCentre{dataCentre("a", 20, c.crowded), dataCentre("b", 20, c.other), dataCentre("c", 20, c.other)})
		require.InDelta(t, c.after, (c.crowded-sent["a"])/20, 0.01, "%+v", c)
		for _, name := range []string{"b", "c"} {
			require.Zero(t, sent[name], "%+v", c)
			require.LessOrEqual(t, (c.other+received[name])/20, max(c.after, restPressure)+0.01, "%+v", c)
		}
	}
}

// Guards against data centres that swap requests, also where the hosts of one see the demand of
// another as it was seconds before: each is seen as 20 % lower or higher than it is.
func TestNoDataCentreSendsAndReceives(t *testing.T) {
	for demandA := 2.0; demandA <= 40; demandA += 2 {
		for demandB := 2.0; demandB <= 40; demandB += 2 {
			for _, error := range []float64{0.8, 1, 1.2} {
				toB := Decide("a", []DataCentre{dataCentre("a", 20, demandA), dataCentre("b", 20, demandB*error)}, false, tolerable).Leaving()
				toA := Decide("b", []DataCentre{dataCentre("a", 20, demandA*error), dataCentre("b", 20, demandB)}, false, tolerable).Leaving()
				if demandA/20 <= 0.7 || demandB/20 <= 0.7 || error == 1 {
					require.False(t, toB > 0 && toA > 0, "a %v, b %v, seen times %v", demandA, demandB, error)
				}
			}
		}
	}
}

// Guards against data centres that take all room of a third one, and against hosts that all send to
// the same one.
func TestRoomIsShared(t *testing.T) {
	all := []DataCentre{dataCentre("a", 20, 24), dataCentre("b", 20, 24), dataCentre("c", 20, 8), dataCentre("d", 10, 2)}
	sent, received := flows(all)
	require.InDelta(t, sent["a"], sent["b"], 1e-9)
	require.LessOrEqual(t, received["c"]+8, 0.83*20+0.1)
	require.LessOrEqual(t, received["d"]+2, 0.83*10+0.1)
	require.Positive(t, received["c"])
	require.Positive(t, received["d"])
}

// Guards against requests to a data centre that is taken out or cut off, and against requests that
// have no engine at home and stay.
func TestLostDataCentres(t *testing.T) {
	cutOff, lost := dataCentre("b", 20, 0), dataCentre("c", 0, 10)
	cutOff.Heard = false
	all := []DataCentre{dataCentre("a", 20, 30), cutOff, lost, dataCentre("d", 20, 6)}
	plan := Decide("a", all, false, tolerable)
	require.Len(t, plan.Shares, 1)
	require.Equal(t, "d", plan.Shares[0].DataCentre)
	require.InDelta(t, 1, Decide("c", all, false, tolerable).Leaving(), 1e-9)
	require.Equal(t, Plan{}, Decide("z", all, false, tolerable), "unknown")
	require.Empty(t, Decide("a", all[:3], false, tolerable).Shares, "nobody has room")
}

// Guards against a distance that costs callers more than the wait at home.
func TestDistantDataCentreMustPay(t *testing.T) {
	near, far := dataCentre("b", 20, 4), dataCentre("b", 20, 4)
	far.RoundTrip = 300 * time.Millisecond
	home := dataCentre("a", 20, 18)
	require.Positive(t, Decide("a", []DataCentre{home, near}, false, tolerable).Leaving())
	require.Zero(t, Decide("a", []DataCentre{home, far}, false, tolerable).Leaving())
}

// Guards against a share that flips: the demand varies by 8 % around the pressure at which requests
// begin to leave, as 9, 60 and 300 deciders see it with an age of 20 ms, 0.5 s and 2 s.
func TestShareSettles(t *testing.T) {
	const interval = 250 * time.Millisecond
	for _, deciders := range []int{9, 60, 300} {
		flips, updates, now := 0, 0, time.Unix(1000, 0)
		controllers, was := make([]Controller, deciders), make([]bool, deciders)
		for step := range 400 {
			for i := range controllers {
				age := []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}[i%3]
				at := time.Duration(step)*interval - age
				demand := 20 * beginPressure * (1 + 0.08*math.Sin(2*math.Pi*at.Seconds()/3))
				plan := controllers[i].Update("a", []DataCentre{dataCentre("a", 20, demand), dataCentre("b", 20, 6)}, tolerable, now.Add(time.Duration(step)*interval))
				if leaves := plan.Leaving() > 0; leaves != was[i] {
					was[i], flips = leaves, flips+1
				}
				updates++
			}
		}
		require.LessOrEqual(t, flips, deciders, "one change each, %d updates", updates)
	}
}

// BenchmarkDecide measures a decision, which a host makes for each service some times a second and
// not for each request.
func BenchmarkDecide(b *testing.B) {
	for _, dataCentres := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("data-centres=%d", dataCentres), func(b *testing.B) {
			all := make([]DataCentre, dataCentres)
			for i := range all {
				all[i] = dataCentre(fmt.Sprint(i), 20, float64(i%30))
			}
			for b.Loop() {
				Decide("29", all, false, tolerable)
			}
		})
	}
}
