package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// lateStartInterval is the time between the start points of the late-fault test. Each
// start point uses part of the allowed error probability.
const lateStartInterval = 10 * time.Second

// minStartAgeRatio is the smallest ratio between the ages of consecutive start points that
// are kept. This keeps few of them, and for any fault the age of one of them is within
// this factor of the age of the best start point.
const minStartAgeRatio = 1.4

// reportSource is one incarnation of a daemon. Its last report still counts after the
// process has ended, because its requests did run.
type reportSource struct{ daemon, incarnation string }

type sourceState struct {
	sequence uint64
	counts   map[stepRouteKey]Comparison
}

// lateStart is a start point of the late-fault test, with the totals by route at that time.
type lateStart struct {
	time   time.Time
	totals map[string]Comparison
}

// allRoutes is the route under which the sum over all routes is kept; no account has an
// empty name.
const allRoutes = ""

// stepTotal is the sum of the counts of one step and route, with the cached evidence. The
// evidence of a completed step rarely changes, so it is kept until the next report that
// concerns the step.
type stepTotal struct {
	Comparison
	evidencePolicy entity.RolloutPolicy // policy of the cached evidence; zero if the cache is invalid
	pooledSums
}

// Evidence aggregates the reports of all daemons for one rollout. A new controller
// starts with an empty Evidence and has all sums after one full report of each daemon.
// It loses only the start points of the late-fault test, which delays that test. It is
// not safe for concurrent use; the caller must serialise access.
type Evidence struct {
	sources map[reportSource]*sourceState
	// totals holds the sums by step and route; the sum over all routes is under allRoutes.
	totals     map[stepRouteKey]*stepTotal
	step       int
	lateStarts []lateStart
}

func NewEvidence() *Evidence {
	return &Evidence{sources: map[reportSource]*sourceState{}, totals: map[stepRouteKey]*stepTotal{}}
}

// Merge replaces the earlier counts of the same daemon and incarnation with those of
// the report. It returns false if the report is not newer than the last merged one.
func (e *Evidence) Merge(r Report) bool {
	key := reportSource{r.Daemon, r.Incarnation}
	state := e.sources[key]
	if state == nil {
		state = &sourceState{counts: map[stepRouteKey]Comparison{}}
		e.sources[key] = state
	}
	if r.Sequence <= state.sequence {
		return false
	}
	state.sequence = r.Sequence
	for i := range r.Counts {
		rc := &r.Counts[i]
		key := stepRouteKey{rc.Step, rc.Route}
		previous, known := state.counts[key]
		if known && previous == rc.Comparison {
			continue
		}
		for _, total := range [...]*stepTotal{e.totalFor(key), e.totalFor(stepRouteKey{rc.Step, allRoutes})} {
			total.plus(&rc.Comparison)
			total.minus(&previous)
			total.evidencePolicy = entity.RolloutPolicy{}
		}
		state.counts[key] = rc.Comparison
	}
	return true
}

func (e *Evidence) totalFor(key stepRouteKey) *stepTotal {
	t := e.totals[key]
	if t == nil {
		t = &stepTotal{}
		e.totals[key] = t
	}
	return t
}

// Total returns the sums over all routes in the given step.
func (e *Evidence) Total(step int) Comparison {
	if t := e.totals[stepRouteKey{step, allRoutes}]; t != nil {
		return t.Comparison
	}
	return Comparison{}
}

// routes returns the routes that were reported at any step, sorted, without allRoutes.
func (e *Evidence) routes() []string {
	seen := map[string]bool{}
	for key := range e.totals {
		if key.route != allRoutes {
			seen[key.route] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// addDueStart adds a start point for the late-fault test when one is due. Start points are
// dropped when the step changes, because the shares of the versions change as well.
func (e *Evidence) addDueStart(now time.Time, step int) {
	if step != e.step {
		e.step, e.lateStarts = step, nil
	}
	if n := len(e.lateStarts); n > 0 && now.Sub(e.lateStarts[n-1].time) < lateStartInterval {
		return
	}
	totals := map[string]Comparison{}
	for key, total := range e.totals {
		if key.step == step {
			totals[key.route] = total.Comparison
		}
	}
	e.lateStarts = thinStarts(append(e.lateStarts, lateStart{now, totals}), now)
}

// thinStarts drops start points that are less than minStartAgeRatio times as old as the
// next kept one. The latest two are always kept.
func thinStarts(starts []lateStart, now time.Time) []lateStart {
	kept := make([]lateStart, 0, len(starts))
	for i := len(starts) - 1; i >= 0; i-- {
		n := len(kept)
		if n < 2 || float64(now.Sub(starts[i].time)) >= minStartAgeRatio*float64(now.Sub(kept[n-1].time)) {
			kept = append(kept, starts[i])
		}
	}
	slices.Reverse(kept)
	return kept
}
