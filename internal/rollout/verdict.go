package rollout

import (
	"fmt"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Action is the action that a verdict asks for.
type Action int

const (
	Continue Action = iota
	Step
	Finish
	Undo
)

func (a Action) String() string { return [...]string{"continue", "step", "finish", "undo"}[a] }

// Verdict is the decision on a running rollout.
type Verdict struct {
	Action Action
	// Step is the next step of a Step verdict.
	Step int
	// Reason explains the verdict; it is empty for Continue.
	Reason string
}

const (
	// minDwellFraction is the minimum time at a step, as a fraction of finish-within. It
	// gives late faults time to appear while the new version's share is small. The five
	// steps together take at least half of finish-within.
	minDwellFraction = 0.1
	// slotFraction is the time for each step, as a fraction of finish-within, when there is
	// too little traffic to accept it. Five such slots leave 10% for outages of the store.
	slotFraction = 0.18
	// firstForcedFraction is the time limit of the first step, as a fraction of
	// finish-within since the start of the rollout; each later step has minDwellFraction
	// more. At the limit the step is passed or the rollout is undone.
	firstForcedFraction = 0.5
)

// Judge decides on a running rollout. The evidence must contain the reports received up
// to now. Judge adds start points of the late-fault test to it and should therefore be
// called at least every lateStartInterval (10 s). The result depends on its arguments only.
func Judge(now time.Time, r entity.Rollout, s entity.Service, e *Evidence) Verdict {
	if r.State != entity.RolloutRunning {
		return Verdict{}
	}
	e.addDueStart(now, r.Step)
	ev := newEvaluation(now, r, s.Rollout, e)
	if reason := ev.undoReason(); reason != "" {
		return Verdict{Action: Undo, Reason: reason}
	}
	return ev.nextAction(NewVersionPercent(r, s) == 0)
}

// evaluation is one evaluation of the evidence of a rollout.
type evaluation struct {
	now      time.Time
	rollout  entity.Rollout
	policy   entity.RolloutPolicy
	evidence *Evidence
	routes   []string
	bounds   bounds
	sums     map[string]pooledSums
}

func newEvaluation(now time.Time, r entity.Rollout, policy entity.RolloutPolicy, e *Evidence) *evaluation {
	ev := &evaluation{now: now, rollout: r, policy: policy, evidence: e, routes: e.routes(), sums: map[string]pooledSums{}}
	ev.bounds = boundsFor(len(ev.routes), policy.FinishWithin)
	return ev
}

// pooledSums holds the evidence of one route by statistic, summed over steps.
type pooledSums struct{ logEvidence, policyLogRatio [statistics]float64 }

// undoReason returns the reason to undo the rollout, or "" if there is none.
func (ev *evaluation) undoReason() string {
	if reason := ev.routeUndoReason(allRoutes, ev.bounds.pooled, ev.bounds.late); reason != "" {
		return reason
	}
	for _, route := range ev.routes {
		if reason := ev.routeUndoReason(route, ev.bounds.routePooled, ev.bounds.routeLate); reason != "" {
			return reason
		}
	}
	return ""
}

func (ev *evaluation) routeUndoReason(route string, pooled, late float64) string {
	for s, x := range ev.pooled(route).logEvidence {
		if x >= pooled {
			return faultReason(route, statistic(s), "since the start of the rollout", x, pooled)
		}
	}
	current := ev.evidence.totals[stepRouteKey{ev.rollout.Step, route}]
	if current == nil {
		return ""
	}
	for i := range ev.evidence.lateStarts {
		startTotals := ev.evidence.lateStarts[i].totals[route]
		if startTotals.New == current.New {
			continue
		}
		since := current.Comparison
		since.minus(&startTotals)
		for s := range statistics {
			pair := ev.samplePair(route, s, &since)
			if pair.new.bad == 0 {
				continue // without bad requests the evidence is not positive
			}
			if x := pair.logEvidence(ev.policy.MaxErrorIncrease); x >= late {
				return faultReason(route, s, "since "+ev.evidence.lateStarts[i].time.UTC().Format(time.RFC3339), x, late)
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

// samplePair reduces counts of the current step to the samples of one statistic.
func (ev *evaluation) samplePair(route string, s statistic, c *Comparison) samplePair {
	return ev.withBaseline(samplePairOf(s, c, ev.policy), route, s)
}

// withBaseline replaces the old version's failure sample by the one over all steps of the
// route if it has fewer than minBaseline requests. Otherwise a bad version could pass for
// lack of a baseline, in particular at 100%, where the old version receives no requests.
// Latencies are compared within one period only, because they depend on the load.
func (ev *evaluation) withBaseline(pair samplePair, route string, s statistic) samplePair {
	if s != failures || pair.old.total >= minBaseline {
		return pair
	}
	pair.old = sample{}
	for _, step := range Steps {
		if total := ev.evidence.totals[stepRouteKey{step, route}]; total != nil {
			pair.old.bad += float64(total.Old.Failure)
			pair.old.total += float64(total.Old.Failure + total.Old.Success)
		}
	}
	return pair
}

// pooled returns the evidence of the route, summed over the steps up to the current one.
// Each step has its own baseline, because shares and load differ between steps.
func (ev *evaluation) pooled(route string) pooledSums {
	if sums, known := ev.sums[route]; known {
		return sums
	}
	var sums pooledSums
	for _, step := range Steps[:stepIndex(ev.rollout.Step)+1] {
		total := ev.evidence.totals[stepRouteKey{step, route}]
		if total == nil {
			continue
		}
		for s, x := range ev.stepSums(total, route).logEvidence {
			sums.logEvidence[s] += x
			sums.policyLogRatio[s] += total.policyLogRatio[s]
		}
	}
	ev.sums[route] = sums
	return sums
}

// stepSums returns the evidence of one step. It is cached unless the baseline comes from
// other steps.
func (ev *evaluation) stepSums(total *stepTotal, route string) *pooledSums {
	if total.evidencePolicy == ev.policy && total.Old.Failure+total.Old.Success >= minBaseline {
		return &total.pooledSums
	}
	total.evidencePolicy = ev.policy
	for s := range statistics {
		pair := ev.withBaseline(samplePairOf(s, &total.Comparison, ev.policy), route, s)
		total.logEvidence[s] = pair.logEvidence(ev.policy.MaxErrorIncrease)
		total.policyLogRatio[s] = pair.policyLogRatio(ev.policy.MaxErrorIncrease)
	}
	return &total.pooledSums
}

// nextAction decides on a rollout without evidence of a fault.
func (ev *evaluation) nextAction(noTraffic bool) Verdict {
	elapsed, timeInStep := ev.now.Sub(ev.rollout.StartedAt), ev.now.Sub(ev.rollout.StepAt)
	i := stepIndex(ev.rollout.Step)
	if _, more := NextStep(ev.rollout.Step); more && elapsed >= ev.policy.FinishWithin {
		return Verdict{Action: Undo, Reason: fmt.Sprintf("step %d had not passed when finish-within %v expired", ev.rollout.Step, ev.policy.FinishWithin)}
	}
	overdue := elapsed >= ev.finishWithinFraction(firstForcedFraction+minDwellFraction*float64(i))
	switch {
	case timeInStep < ev.finishWithinFraction(minDwellFraction) && elapsed < ev.policy.FinishWithin:
		return Verdict{}
	case noTraffic:
		return ev.nextStepVerdict("the new version receives no requests at this step, because the calls are non-repeatable")
	case ev.stepAccepted():
		return ev.nextStepVerdict("the evidence meets the acceptance bound")
	case overdue && ev.overdueUndoReason() != "":
		return Verdict{Action: Undo, Reason: ev.overdueUndoReason()}
	case overdue:
		return ev.nextStepVerdict("not enough evidence against the version when the time limit of the step expired")
	case elapsed >= ev.finishWithinFraction(slotFraction*float64(i+1)) && !ev.evidenceIsAgainst():
		return ev.nextStepVerdict("too little traffic to decide, and the evidence does not favour the old version")
	}
	return Verdict{}
}

func (ev *evaluation) finishWithinFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(ev.policy.FinishWithin))
}

func (ev *evaluation) nextStepVerdict(reason string) Verdict {
	if step, more := NextStep(ev.rollout.Step); more {
		return Verdict{Action: Step, Step: step, Reason: reason}
	}
	return Verdict{Action: Finish, Reason: reason}
}

// stepAccepted reports whether the evidence of this step meets Wald's lower bound for every
// statistic that has data, and no route has evidence beyond the overdue-undo bound.
func (ev *evaluation) stepAccepted() bool {
	total := ev.evidence.Total(ev.rollout.Step)
	for s := range typicalFirstTokens { // the typical statistics can only undo a rollout
		pair := ev.samplePair(allRoutes, s, &total)
		if s != failures && (pair.new.total == 0 || pair.old.total == 0) {
			continue // a plain service has no tokens; at 100% there is no baseline
		}
		if pair.policyLogRatio(ev.policy.MaxErrorIncrease) > ev.bounds.accept {
			return false
		}
	}
	return ev.overdueUndoReason() == ""
}

// overdueUndoReason returns the reason to undo the rollout when the time limit of a step
// expires, or "" to pass the step. The evidence is then below Wald's bound but at least
// 20 to 1 against the version.
func (ev *evaluation) overdueUndoReason() string {
	for _, route := range append([]string{allRoutes}, ev.routes...) {
		bound := ev.bounds.routeOverdueUndo
		if route == allRoutes {
			bound = ev.bounds.overdueUndo
		}
		for s, x := range ev.pooled(route).logEvidence {
			if x >= bound {
				return faultReason(route, statistic(s), "when the time limit of the step expired", x, bound)
			}
		}
	}
	return ""
}

func (ev *evaluation) evidenceIsAgainst() bool {
	sums := ev.pooled(allRoutes)
	for _, x := range sums.policyLogRatio[:typicalFirstTokens] {
		if x > 0 {
			return true
		}
	}
	return false
}
