package rollout

import (
	"fmt"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Action names what a verdict asks for.
type Action int

// The actions.
const (
	Continue Action = iota
	Step
	Finish
	Undo
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"continue", "step", "finish", "undo"}[a] }

// Verdict is the decision on a running rollout.
type Verdict struct {
	Action Action
	// Step is the next step of a Step verdict.
	Step int
	// Reason explains every verdict but Continue.
	Reason string
}

const (
	// minDwellShare of finish-within is the shortest time in a step, so that a fault that
	// shows late has time to show while the share of the new version is small. All five
	// steps take half of finish-within at best.
	minDwellShare = 0.1
	// slotShare of finish-within is the time for each step when too little traffic arrives to
	// accept it; five slots leave a tenth for outages of the store.
	slotShare = 0.18
	// firstForcedShare of finish-within is when step 1 must end even if its evidence leans
	// against the version; each later step has minDwellShare more.
	firstForcedShare = 0.5
)

// Judge decides on a running rollout. The evidence must hold the reports received up to
// now; Judge adds starts of the late-fault test to it, so that it should be called at
// least every 10 s. Its result depends on its arguments only.
func Judge(now time.Time, r entity.Rollout, s entity.Service, e *Evidence) Verdict {
	if r.State != entity.RolloutRunning {
		return Verdict{}
	}
	e.advance(now, r.Step)
	t := tester{now: now, rollout: r, policy: s.Rollout, evidence: e, routes: e.routes(), sums: map[string]pooledSums{}}
	t.bounds = boundsFor(len(t.routes), s.Rollout.FinishWithin)
	if reason := t.fault(); reason != "" {
		return Verdict{Action: Undo, Reason: reason}
	}
	return t.progress(Share(r, s) == 0)
}

// tester is one evaluation of the evidence.
type tester struct {
	now      time.Time
	rollout  entity.Rollout
	policy   entity.RolloutPolicy
	evidence *Evidence
	routes   []string
	bounds   bounds
	sums     map[string]pooledSums
}

// pooledSums are the sums of one route over all steps, by statistic.
type pooledSums struct{ against, leaning [statistics]float64 }

// fault returns the reason for an undo, or "".
func (t *tester) fault() string {
	if reason := t.faultOf(overall, t.bounds.pooled, t.bounds.late); reason != "" {
		return reason
	}
	for _, route := range t.routes {
		if reason := t.faultOf(route, t.bounds.routePooled, t.bounds.routeLate); reason != "" {
			return reason
		}
	}
	return ""
}

func (t *tester) faultOf(route string, pooled, late float64) string {
	for s, x := range t.pooled(route).against {
		if x >= pooled {
			return describe(route, statistic(s), "since the start of the rollout", x, pooled)
		}
	}
	current := t.evidence.totals[routeKey{t.rollout.Step, route}]
	if current == nil {
		return ""
	}
	for i := range t.evidence.starts {
		from := t.evidence.starts[i].totals[route]
		if from.New == current.New {
			continue
		}
		since := current.Comparison
		since.minus(&from)
		for s := range statistics {
			sample := t.trial(route, s, &since)
			if sample.new.bad == 0 {
				continue // the evidence cannot be positive
			}
			if x := sample.against(t.policy.MaxErrorIncrease); x >= late {
				return describe(route, s, "since "+t.evidence.starts[i].at.UTC().Format(time.RFC3339), x, late)
			}
		}
	}
	return ""
}

func describe(route string, s statistic, since string, evidence, bound float64) string {
	where := "over all routes"
	if route != overall {
		where = "on the route of client account " + route
	}
	return fmt.Sprintf("more %s than the old version %s %s (evidence %.1f, bound %.1f)", s, where, since, evidence, bound)
}

// trial reduces counts of the current step.
func (t *tester) trial(route string, s statistic, c *Comparison) trial {
	return t.withBaseline(trialOf(s, c, t.policy), route, s)
}

// withBaseline replaces a failure rate of the old version that rests on too few requests
// by the route's rate over all steps. Otherwise a bad version could pass for lack of a
// baseline, at 100% in particular, where the old version receives nothing. Slowness is
// compared within one period only, because it depends on the load.
func (t *tester) withBaseline(x trial, route string, s statistic) trial {
	if s != failures || x.old.all >= minBaseline {
		return x
	}
	x.old = sample{}
	for _, step := range Steps {
		if total := t.evidence.totals[routeKey{step, route}]; total != nil {
			x.old.bad += float64(total.Old.Failure)
			x.old.all += float64(total.Old.Failure + total.Old.Success)
		}
	}
	return x
}

// pooled sums the evidence of all steps. Each step has its own baseline, since shares and
// load differ between steps.
func (t *tester) pooled(route string) pooledSums {
	if sums, known := t.sums[route]; known {
		return sums
	}
	var sums pooledSums
	for _, step := range Steps[:stepIndex(t.rollout.Step)+1] {
		total := t.evidence.totals[routeKey{step, route}]
		if total == nil {
			continue
		}
		for s, x := range t.stepSums(total, route).against {
			sums.against[s] += x
			sums.leaning[s] += total.leaning[s]
		}
	}
	t.sums[route] = sums
	return sums
}

// stepSums returns the evidence of one step. It is kept unless the baseline comes from
// other steps.
func (t *tester) stepSums(total *summed, route string) *pooledSums {
	if total.policy == t.policy && total.Old.Failure+total.Old.Success >= minBaseline {
		return &total.pooledSums
	}
	total.policy = t.policy
	for s := range statistics {
		x := t.withBaseline(trialOf(s, &total.Comparison, t.policy), route, s)
		total.against[s] = x.against(t.policy.MaxErrorIncrease)
		total.leaning[s] = x.leaning(t.policy.MaxErrorIncrease)
	}
	return &total.pooledSums
}

// progress decides about a rollout that shows no fault.
func (t *tester) progress(noTraffic bool) Verdict {
	elapsed, inStep := t.now.Sub(t.rollout.StartedAt), t.now.Sub(t.rollout.StepAt)
	i := stepIndex(t.rollout.Step)
	if _, more := NextStep(t.rollout.Step); more && elapsed >= t.policy.FinishWithin {
		return Verdict{Action: Undo, Reason: fmt.Sprintf("step %d had not passed when finish-within %v was over", t.rollout.Step, t.policy.FinishWithin)}
	}
	late := elapsed >= t.share(firstForcedShare+minDwellShare*float64(i))
	switch {
	case inStep < t.share(minDwellShare) && elapsed < t.policy.FinishWithin:
		return Verdict{}
	case noTraffic:
		return t.next("this step sends no calls that must not be repeated")
	case t.accepted():
		return t.next("the evidence passed")
	case late && t.condemned() != "":
		return Verdict{Action: Undo, Reason: t.condemned()}
	case late:
		return t.next("too little evidence against the version when the time for the step was over")
	case elapsed >= t.share(slotShare*float64(i+1)) && !t.leansAgainst():
		return t.next("too little traffic to decide, and none of it speaks against the version")
	}
	return Verdict{}
}

func (t *tester) share(fraction float64) time.Duration {
	return time.Duration(fraction * float64(t.policy.FinishWithin))
}

func (t *tester) next(reason string) Verdict {
	if step, more := NextStep(t.rollout.Step); more {
		return Verdict{Action: Step, Step: step, Reason: reason}
	}
	return Verdict{Action: Finish, Reason: reason}
}

// accepted tells whether this step's evidence passed Wald's lower bound by every
// statistic that has data, and no route leans clearly against the version.
func (t *tester) accepted() bool {
	total := t.evidence.Total(t.rollout.Step)
	for s := range statistics {
		x := t.trial(overall, s, &total)
		if s != failures && (x.new.all == 0 || x.old.all == 0) {
			continue // a plain service has no tokens, and at 100% there is no baseline
		}
		if x.leaning(t.policy.MaxErrorIncrease) > t.bounds.accept {
			return false
		}
	}
	return t.condemned() == ""
}

// condemned returns why a step that ran out of time is undone instead of passed: the
// evidence, though below Wald's bound, is 20 to 1 against the version.
func (t *tester) condemned() string {
	for _, route := range append([]string{overall}, t.routes...) {
		bound := t.bounds.routeCondemn
		if route == overall {
			bound = t.bounds.condemn
		}
		for s, x := range t.pooled(route).against {
			if x >= bound {
				return describe(route, statistic(s), "when the time for the step was over", x, bound)
			}
		}
	}
	return ""
}

func (t *tester) leansAgainst() bool {
	for _, x := range t.pooled(overall).leaning {
		if x > 0 {
			return true
		}
	}
	return false
}
