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
	// minDwellFraction of finish-within is the shortest time in a step, so that a fault that
	// shows late has time to show while the share of the new version is small. All five
	// steps take half of finish-within at best.
	minDwellFraction = 0.1
	// slotFraction of finish-within is the time for each step when too little traffic arrives to
	// accept it; five slots leave a tenth for outages of the store.
	slotFraction = 0.18
	// firstForcedFraction of finish-within is when step 1 must end even if its evidence leans
	// against the version; each later step has minDwellShare more.
	firstForcedFraction = 0.5
)

// Judge decides on a running rollout. The evidence must hold the reports received up to
// now; Judge adds starts of the late-fault test to it, so that it should be called at
// least every 10 s. Its result depends on its arguments only.
func Judge(now time.Time, r entity.Rollout, s entity.Service, e *Evidence) Verdict {
	if r.State != entity.RolloutRunning {
		return Verdict{}
	}
	e.addDueStart(now, r.Step)
	t := evaluation{now: now, rollout: r, policy: s.Rollout, evidence: e, routes: e.routes(), sums: map[string]pooledSums{}}
	t.bounds = boundsFor(len(t.routes), s.Rollout.FinishWithin)
	if reason := t.undoReason(); reason != "" {
		return Verdict{Action: Undo, Reason: reason}
	}
	return t.nextAction(NewVersionPercent(r, s) == 0)
}

// evaluation is one evaluation of the evidence.
type evaluation struct {
	now      time.Time
	rollout  entity.Rollout
	policy   entity.RolloutPolicy
	evidence *Evidence
	routes   []string
	bounds   bounds
	sums     map[string]pooledSums
}

// pooledSums are the sums of one route over all steps, by statistic.
type pooledSums struct{ logEvidence, policyLogRatio [statistics]float64 }

// undoReason returns the reason for an undo, or "".
func (t *evaluation) undoReason() string {
	if reason := t.routeUndoReason(allRoutes, t.bounds.pooled, t.bounds.late); reason != "" {
		return reason
	}
	for _, route := range t.routes {
		if reason := t.routeUndoReason(route, t.bounds.routePooled, t.bounds.routeLate); reason != "" {
			return reason
		}
	}
	return ""
}

func (t *evaluation) routeUndoReason(route string, pooled, late float64) string {
	for s, x := range t.pooled(route).logEvidence {
		if x >= pooled {
			return faultReason(route, statistic(s), "since the start of the rollout", x, pooled)
		}
	}
	current := t.evidence.totals[stepRouteKey{t.rollout.Step, route}]
	if current == nil {
		return ""
	}
	for i := range t.evidence.lateStarts {
		startTotals := t.evidence.lateStarts[i].totals[route]
		if startTotals.New == current.New {
			continue
		}
		since := current.Comparison
		since.minus(&startTotals)
		for s := range statistics {
			sample := t.samplePair(route, s, &since)
			if sample.new.bad == 0 {
				continue // the evidence cannot be positive
			}
			if x := sample.logEvidence(t.policy.MaxErrorIncrease); x >= late {
				return faultReason(route, s, "since "+t.evidence.lateStarts[i].time.UTC().Format(time.RFC3339), x, late)
			}
		}
	}
	return ""
}

func faultReason(route string, s statistic, since string, evidence, bound float64) string {
	where := "over all routes"
	if route != allRoutes {
		where = "on the route of client account " + route
	}
	return fmt.Sprintf("more %s than the old version %s %s (evidence %.1f, bound %.1f)", s, where, since, evidence, bound)
}

// samplePair reduces counts of the current step.
func (t *evaluation) samplePair(route string, s statistic, c *Comparison) samplePair {
	return t.withBaseline(samplePairOf(s, c, t.policy), route, s)
}

// withBaseline replaces a failure rate of the old version that rests on too few requests
// by the route's rate over all steps. Otherwise a bad version could pass for lack of a
// baseline, at 100% in particular, where the old version receives nothing. Slowness is
// compared within one period only, because it depends on the load.
func (t *evaluation) withBaseline(x samplePair, route string, s statistic) samplePair {
	if s != failures || x.old.total >= minBaseline {
		return x
	}
	x.old = sample{}
	for _, step := range Steps {
		if total := t.evidence.totals[stepRouteKey{step, route}]; total != nil {
			x.old.bad += float64(total.Old.Failure)
			x.old.total += float64(total.Old.Failure + total.Old.Success)
		}
	}
	return x
}

// pooled sums the evidence of all steps. Each step has its own baseline, since shares and
// load differ between steps.
func (t *evaluation) pooled(route string) pooledSums {
	if sums, known := t.sums[route]; known {
		return sums
	}
	var sums pooledSums
	for _, step := range Steps[:stepIndex(t.rollout.Step)+1] {
		total := t.evidence.totals[stepRouteKey{step, route}]
		if total == nil {
			continue
		}
		for s, x := range t.stepSums(total, route).logEvidence {
			sums.logEvidence[s] += x
			sums.policyLogRatio[s] += total.policyLogRatio[s]
		}
	}
	t.sums[route] = sums
	return sums
}

// stepSums returns the evidence of one step. It is kept unless the baseline comes from
// other steps.
func (t *evaluation) stepSums(total *stepTotal, route string) *pooledSums {
	if total.evidencePolicy == t.policy && total.Old.Failure+total.Old.Success >= minBaseline {
		return &total.pooledSums
	}
	total.evidencePolicy = t.policy
	for s := range statistics {
		x := t.withBaseline(samplePairOf(s, &total.Comparison, t.policy), route, s)
		total.logEvidence[s] = x.logEvidence(t.policy.MaxErrorIncrease)
		total.policyLogRatio[s] = x.policyLogRatio(t.policy.MaxErrorIncrease)
	}
	return &total.pooledSums
}

// nextAction decides about a rollout that shows no fault.
func (t *evaluation) nextAction(noTraffic bool) Verdict {
	elapsed, timeInStep := t.now.Sub(t.rollout.StartedAt), t.now.Sub(t.rollout.StepAt)
	i := stepIndex(t.rollout.Step)
	if _, more := NextStep(t.rollout.Step); more && elapsed >= t.policy.FinishWithin {
		return Verdict{Action: Undo, Reason: fmt.Sprintf("step %d had not passed when finish-within %v was over", t.rollout.Step, t.policy.FinishWithin)}
	}
	overdue := elapsed >= t.finishWithinFraction(firstForcedFraction+minDwellFraction*float64(i))
	switch {
	case timeInStep < t.finishWithinFraction(minDwellFraction) && elapsed < t.policy.FinishWithin:
		return Verdict{}
	case noTraffic:
		return t.nextStepVerdict("this step sends no calls that must not be repeated")
	case t.stepAccepted():
		return t.nextStepVerdict("the evidence passed")
	case overdue && t.overdueUndoReason() != "":
		return Verdict{Action: Undo, Reason: t.overdueUndoReason()}
	case overdue:
		return t.nextStepVerdict("too little evidence against the version when the time for the step was over")
	case elapsed >= t.finishWithinFraction(slotFraction*float64(i+1)) && !t.evidenceIsAgainst():
		return t.nextStepVerdict("too little traffic to decide, and none of it speaks against the version")
	}
	return Verdict{}
}

func (t *evaluation) finishWithinFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(t.policy.FinishWithin))
}

func (t *evaluation) nextStepVerdict(reason string) Verdict {
	if step, more := NextStep(t.rollout.Step); more {
		return Verdict{Action: Step, Step: step, Reason: reason}
	}
	return Verdict{Action: Finish, Reason: reason}
}

// stepAccepted tells whether this step's evidence passed Wald's lower bound by every
// statistic that has data, and no route leans clearly against the version.
func (t *evaluation) stepAccepted() bool {
	total := t.evidence.Total(t.rollout.Step)
	for s := range statistics {
		x := t.samplePair(allRoutes, s, &total)
		if s != failures && (x.new.total == 0 || x.old.total == 0) {
			continue // a plain service has no tokens, and at 100% there is no baseline
		}
		if x.policyLogRatio(t.policy.MaxErrorIncrease) > t.bounds.accept {
			return false
		}
	}
	return t.overdueUndoReason() == ""
}

// overdueUndoReason returns why a step that ran out of time is undone instead of passed: the
// evidence, though below Wald's bound, is 20 to 1 against the version.
func (t *evaluation) overdueUndoReason() string {
	for _, route := range append([]string{allRoutes}, t.routes...) {
		bound := t.bounds.routeOverdueUndo
		if route == allRoutes {
			bound = t.bounds.overdueUndo
		}
		for s, x := range t.pooled(route).logEvidence {
			if x >= bound {
				return faultReason(route, statistic(s), "when the time for the step was over", x, bound)
			}
		}
	}
	return ""
}

func (t *evaluation) evidenceIsAgainst() bool {
	for _, x := range t.pooled(allRoutes).policyLogRatio {
		if x > 0 {
			return true
		}
	}
	return false
}
