package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// window is the spacing of the points from which the test for late faults can
// start. Each start costs part of the error probability.
const window = 10 * time.Second

// thinning keeps the starts so that each is at least this factor older than the
// next; the best start is missed by at most this factor, with few starts kept.
const thinning = 1.4

// source is one process life of a daemon. Its last report stays counted after the
// process has ended, because its requests did run.
type source struct{ daemon, incarnation string }

type sourceState struct {
	sequence uint64
	counts   map[routeKey]Comparison
}

// start is a point from which the late-fault test may begin, with the totals at that time.
type start struct {
	at     time.Time
	totals map[string]Comparison
}

// overall is the key of the sum over all routes; no account has an empty name.
const overall = ""

// summed is the sum of one step and route. The evidence of a step that is over hardly
// changes, so that it is kept until the next report about it.
type summed struct {
	Comparison
	policy entity.RolloutPolicy // of evidence; zero when it must be computed again
	pooledSums
}

// Evidence sums the reports of all daemons for one rollout. A new controller starts
// with an empty Evidence and has all sums after one report of each daemon; it loses
// only the starts of the late-fault test, which delays that test. It is not safe for
// concurrent use; its caller serialises access.
type Evidence struct {
	sources map[source]*sourceState
	// totals holds the sums by step and route, with the overall sum under the route "".
	totals map[routeKey]*summed
	step   int
	starts []start
}

// NewEvidence returns evidence without reports.
func NewEvidence() *Evidence {
	return &Evidence{sources: map[source]*sourceState{}, totals: map[routeKey]*summed{}}
}

// Merge replaces the earlier counts of the same daemon and incarnation. It returns
// false for a report that is not newer.
func (e *Evidence) Merge(r Report) bool {
	key := source{r.Daemon, r.Incarnation}
	state := e.sources[key]
	if state == nil {
		state = &sourceState{counts: map[routeKey]Comparison{}}
		e.sources[key] = state
	}
	if r.Sequence <= state.sequence {
		return false
	}
	state.sequence = r.Sequence
	for i := range r.Counts {
		rc := &r.Counts[i]
		key := routeKey{rc.Step, rc.Route}
		before, known := state.counts[key]
		if known && before == rc.Both {
			continue
		}
		for _, total := range [...]*summed{e.total(key), e.total(routeKey{rc.Step, overall})} {
			total.plus(&rc.Both)
			total.minus(&before)
			total.policy = entity.RolloutPolicy{}
		}
		state.counts[key] = rc.Both
	}
	return true
}

func (e *Evidence) total(key routeKey) *summed {
	t := e.totals[key]
	if t == nil {
		t = &summed{}
		e.totals[key] = t
	}
	return t
}

// Total returns the sums over all routes in the given step.
func (e *Evidence) Total(step int) Comparison {
	if t := e.totals[routeKey{step, overall}]; t != nil {
		return t.Comparison
	}
	return Comparison{}
}

// routes returns the routes that were seen in any step, sorted, without the overall sum.
func (e *Evidence) routes() []string {
	seen := map[string]bool{}
	for key := range e.totals {
		if key.route != overall {
			seen[key.route] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// advance adds a start for the late-fault test when one is due. Starts belong to one
// step, because the shares of the versions change between steps.
func (e *Evidence) advance(now time.Time, step int) {
	if step != e.step {
		e.step, e.starts = step, nil
	}
	if n := len(e.starts); n > 0 && now.Sub(e.starts[n-1].at) < window {
		return
	}
	totals := map[string]Comparison{}
	for key, total := range e.totals {
		if key.step == step {
			totals[key.route] = total.Comparison
		}
	}
	e.starts = thin(append(e.starts, start{now, totals}), now)
}

// thin drops starts that are hardly older than the next kept one.
func thin(starts []start, now time.Time) []start {
	kept := make([]start, 0, len(starts))
	for i := len(starts) - 1; i >= 0; i-- {
		n := len(kept)
		if n < 2 || float64(now.Sub(starts[i].at)) >= thinning*float64(now.Sub(kept[n-1].at)) {
			kept = append(kept, starts[i])
		}
	}
	slices.Reverse(kept)
	return kept
}
