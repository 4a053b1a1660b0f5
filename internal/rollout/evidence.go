package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// lateStartInterval is the spacing of the points from which the test for late faults can
// start. Each start costs part of the error probability.
const lateStartInterval = 10 * time.Second

// minStartAgeRatio keeps the starts so that each is at least this factor older than the
// next; the best start is missed by at most this factor, with few starts kept.
const minStartAgeRatio = 1.4

// reportSource is one process life of a daemon. Its last report stays counted after the
// process has ended, because its requests did run.
type reportSource struct{ daemon, incarnation string }

type sourceState struct {
	sequence uint64
	counts   map[stepRouteKey]Comparison
}

// lateStart is a point from which the late-fault test may begin, with the totals at that time.
type lateStart struct {
	time   time.Time
	totals map[string]Comparison
}

// allRoutes is the key of the sum over all routes; no account has an empty name.
const allRoutes = ""

// stepTotal is the sum of one step and route. The evidence of a step that is over hardly
// changes, so that it is kept until the next report about it.
type stepTotal struct {
	Comparison
	evidencePolicy entity.RolloutPolicy // of evidence; zero when it must be computed again
	pooledSums
}

// Evidence sums the reports of all daemons for one rollout. A new controller starts
// with an empty Evidence and has all sums after one report of each daemon; it loses
// only the starts of the late-fault test, which delays that test. It is not safe for
// concurrent use; its caller serialises access.
type Evidence struct {
	sources map[reportSource]*sourceState
	// totals holds the sums by step and route, with the overall sum under the route "".
	totals     map[stepRouteKey]*stepTotal
	step       int
	lateStarts []lateStart
}

// NewEvidence returns evidence without reports.
func NewEvidence() *Evidence {
	return &Evidence{sources: map[reportSource]*sourceState{}, totals: map[stepRouteKey]*stepTotal{}}
}

// Merge replaces the earlier counts of the same daemon and incarnation. It returns
// false for a report that is not newer.
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

// routes returns the routes that were seen in any step, sorted, without the overall sum.
func (e *Evidence) routes() []string {
	seen := map[string]bool{}
	for key := range e.totals {
		if key.route != allRoutes {
			seen[key.route] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// addDueStart adds a start for the late-fault test when one is due. Starts belong to one
// step, because the shares of the versions change between steps.
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

// thinStarts drops starts that are hardly older than the next kept one.
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
