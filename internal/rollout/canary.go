package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

const (
	// CanaryPercent is the step under which the outcomes of a canary are counted.
	CanaryPercent = 5
	// canaryMaxErrorIncrease and canaryMaxSlowdown are the increase of the failure rate
	// and the slowdown above which a canary is undone. Bad versions fail a portion of
	// their requests or take several times as long.
	canaryMaxErrorIncrease = 0.05
	canaryMaxSlowdown      = 2.0
	// grossIncrease is the increase of the rate of failed or slow requests that the
	// evidence must exclude before a version takes over.
	grossIncrease = 0.25
	// exposureFraction is the part of the exposure bound that a canary uses. The rest is a
	// margin because hosts assign requests independently.
	exposureFraction = 0.5
	// acceptedFinishFraction is the fraction of the duration after which an accepted
	// version takes over at the earliest.
	acceptedFinishFraction = 0.7
	// proofFraction is the fraction of the duration at which a version is undone for lack of
	// evidence.
	proofFraction = 0.85
	// latestFinishFraction is the fraction of the duration at which an accepted version takes
	// over at the latest, and minFinishTime the time that is left at least for the write of the
	// phase.
	latestFinishFraction = 0.95
	minFinishTime        = time.Second
	// routeRequests is the number of requests of each route that the version should receive until
	// the decision, and maxRouteShare the largest fraction of a route: the rest shows how often the
	// old version fails.
	routeRequests = 30
	maxRouteShare = 0.5
	// routeFraction is the part of the exposure bound that a canary uses with the larger shares of
	// single routes.
	routeFraction = 0.75
	// minRateFraction is the fraction of the duration after which the rates of routes are known.
	minRateFraction = 0.05
	// rateMargin is the factor by which more requests may arrive until the deadline than did on
	// average since the order.
	rateMargin = 1.1
)

// Canary is a rollout in which the new version receives a small share of the requests
// until it takes over all of them in one step. Since that step is final, it needs
// evidence for the version, not only a lack of evidence against it.
type Canary struct {
	Service, Version string
	StartedAt        time.Time
	Duration         time.Duration
	Bounds           ExposureBounds
}

// ExposureBounds is the number of requests that a version may receive before it is known
// to be good: Share of all requests, plus Slack.
type ExposureBounds struct{ Share, Slack float64 }

// RequestShare returns the fraction of the service's requests that the canary receives.
// At perSecond requests a second over all hosts it spends the slack evenly until the
// decision, so that services with little traffic provide enough evidence as well.
// capacity is the fraction of the service's upstreams that run the version, which bounds
// the share so that load alone does not make the version slow.
func (c Canary) RequestShare(perSecond, capacity float64) float64 {
	share := exposureFraction * c.Bounds.Share
	if requests := perSecond * fractionOf(c.Duration, acceptedFinishFraction).Seconds(); requests > 0 {
		share += exposureFraction * c.Bounds.Slack / requests
	}
	return min(share, capacity)
}

// RouteShares returns the fractions of the routes on which the canary receives more than share, its
// fraction of all requests. It answers versions that fail on one route only: of a route with
// little traffic the share yields too few requests to show it. The rarest routes come first, and
// together they stay within routeFraction of the exposure bound.
func (c Canary) RouteShares(now time.Time, e *Evidence, share, capacity float64) map[string]float64 {
	elapsed := now.Sub(c.StartedAt)
	left := fractionOf(c.Duration, proofFraction) - elapsed
	if elapsed < fractionOf(c.Duration, minRateFraction) || left <= 0 {
		return nil
	}
	type routeNeed struct {
		route           string
		expected, extra float64
	}
	var needs []routeNeed
	var expectedAll, receivedAll, seenAll float64
	for _, route := range e.routes() {
		total := e.totals[stepRouteKey{CanaryPercent, route}]
		if total == nil {
			continue
		}
		received := float64(total.New.ended())
		seen := received + float64(total.Old.ended())
		expected := seen * float64(left) / float64(elapsed)
		expectedAll, receivedAll, seenAll = expectedAll+expected, receivedAll+received, seenAll+seen
		if extra := routeRequests - received - share*expected; extra > 0 && expected > 0 {
			needs = append(needs, routeNeed{route, expected, extra})
		}
	}
	slices.SortFunc(needs, func(a, b routeNeed) int {
		return cmp.Or(cmp.Compare(a.expected, b.expected), cmp.Compare(a.route, b.route))
	})
	budget := routeFraction*(c.Bounds.Share*(seenAll+expectedAll)+c.Bounds.Slack) - receivedAll - share*expectedAll
	shares := make(map[string]float64)
	for _, n := range needs {
		raised := min(share+n.extra/n.expected, maxRouteShare, capacity)
		cost := (raised - share) * n.expected
		if raised <= share || cost > budget {
			continue
		}
		budget -= cost
		shares[n.route] = raised
	}
	return shares
}

// JudgeCanary returns Continue, Finish or Undo for a canary. The result depends on
// its arguments only.
func JudgeCanary(now time.Time, c Canary, e *Evidence) Verdict {
	running := entity.Rollout{
		Service: c.Service, To: c.Version, Step: CanaryPercent, State: entity.RolloutRunning, StartedAt: c.StartedAt, StepAt: c.StartedAt,
	}
	service := entity.Service{Name: c.Service, Repeatable: true, Rollout: entity.RolloutPolicy{
		FinishWithin: c.Duration, MaxErrorIncrease: canaryMaxErrorIncrease, MaxSlowdown: canaryMaxSlowdown,
	}}
	elapsed := now.Sub(c.StartedAt)
	verdict := Judge(now, running, service, e)
	if verdict.Action == Undo {
		return verdict
	}
	total := e.Total(CanaryPercent)
	missing := missingProof(total, service.Rollout)
	if missing == "" { // evidence against one route, too weak to undo the version before
		missing = newEvaluation(now, running, service.Rollout, e).overdueUndoReason()
	}
	switch {
	case elapsed < fractionOf(c.Duration, acceptedFinishFraction):
		return Verdict{}
	case missing == "" && c.mayTakeOver(elapsed, total):
		return Verdict{Action: Finish, Reason: "the evidence excludes a version that often fails or is slow"}
	case missing != "" && elapsed >= fractionOf(c.Duration, proofFraction):
		return Verdict{Action: Undo, Reason: missing}
	}
	return Verdict{}
}

// mayTakeOver reports whether an accepted version may receive all requests until the deadline. It
// answers versions that turn bad late, which cannot be undone once they have taken over: the
// version takes over when all requests until the deadline fit into what is left of the exposure
// bound, so that it keeps the bound in any case, or else when the phase must be written.
func (c Canary) mayTakeOver(elapsed time.Duration, total Comparison) bool {
	if elapsed >= min(fractionOf(c.Duration, latestFinishFraction), max(c.Duration-minFinishTime, fractionOf(c.Duration, proofFraction))) {
		return true
	}
	received := float64(total.New.ended())
	soFar := received + float64(total.Old.ended())
	left := rateMargin * soFar * float64(c.Duration-elapsed) / float64(elapsed)
	return received+left <= c.Bounds.Share*(soFar+left)+c.Bounds.Slack
}

// missingProof returns which evidence for the new version is missing, or "" if it may take
// over. A service without requests needs none.
func missingProof(total Comparison, policy entity.RolloutPolicy) string {
	if total.Old.ended()+total.New.ended() == 0 {
		return ""
	}
	for _, s := range [...]statistic{failures, typicalFirstTokens, typicalSteps} {
		pair := samplePairOf(s, &total, policy)
		if s != failures && pair.old.total == 0 {
			continue // plain services have no tokens, and a quiet service has no median
		}
		if x := pair.grossLogRatio(); x > acceptBound {
			return fmt.Sprintf("too few good requests of the version to exclude %s (evidence %.1f, bound %.1f)", s, x, acceptBound)
		}
	}
	return ""
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
