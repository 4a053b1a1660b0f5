package rollout

import (
	"math"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

const (
	// alpha is the probability of undoing a version that is as good as the old one, for a
	// whole rollout; beta is that of accepting a bad one at a step.
	alpha = 0.01
	beta  = 0.05
	// tolerance is how much worse than the old version's rate still counts as good.
	tolerance = 0.005
	// standardErrors is the number of standard errors that the old version's rate is raised by,
	// because an old rate that is estimated too low makes a good version look bad.
	standardErrors = 2
	// minBaseline is the number of the old version's requests in a period below which no 95th
	// percentile is taken, and below which its failure rate is that of all steps.
	minBaseline  = 50
	slowQuantile = 0.95
	// maxRate bounds hypothetical rates away from certainty.
	maxRate = 0.99
)

// statistic names what is compared between the versions.
type statistic int

const (
	failures statistic = iota
	slowFirstTokens
	slowSteps
	statistics // the number of statistics
)

func (s statistic) String() string {
	return [...]string{"failures", "slow first tokens", "slow steps"}[s]
}

// sample is a number of requests, of which bad ones failed or were slow.
type sample struct{ bad, total float64 }

// samplePair compares the new version with the old one by one statistic over one period.
type samplePair struct{ old, new sample }

// samplePairOf reduces counts to a trial. Slow is what is above maxSlowdown times the old
// version's 95th percentile of the same period, so that load that slows both versions
// moves the bound with it. A trial without baseline is empty and decides nothing.
func samplePairOf(s statistic, c *Comparison, policy entity.RolloutPolicy) samplePair {
	switch s {
	case slowFirstTokens:
		return slowSamplePair(&c.Old.FirstToken, &c.New.FirstToken, policy.MaxSlowdown)
	case slowSteps:
		return slowSamplePair(&c.Old.Step, &c.New.Step, policy.MaxSlowdown)
	}
	return samplePair{
		old: sample{float64(c.Old.Failure), float64(c.Old.Failure + c.Old.Success)},
		new: sample{float64(c.New.Failure), float64(c.New.Failure + c.New.Success)},
	}
}

func slowSamplePair(old, new *Histogram, maxSlowdown float64) samplePair {
	n := old.count()
	if n < minBaseline {
		return samplePair{}
	}
	// Rounding up to a whole bucket only makes the bound more lenient.
	bound := old.quantileBucket(slowQuantile, n) + int(math.Ceil(math.Log2(maxSlowdown)*bucketsPerDoubling))
	return samplePair{
		old: sample{float64(old.countAbove(bound)), float64(n)},
		new: sample{float64(new.countAbove(bound)), float64(new.count())},
	}
}

// upperRateBound is the upper Wilson bound of a rate; without any sample it is 1.
func upperRateBound(s sample) float64 {
	const z2 = standardErrors * standardErrors
	if s.total == 0 {
		return 1
	}
	p := s.bad / s.total
	spread := standardErrors * math.Sqrt(p*(1-p)/s.total+z2/(4*s.total*s.total))
	return (p + z2/(2*s.total) + spread) / (1 + z2/s.total)
}

// logLikelihoodRatio is the log-likelihood ratio of rate p1 against p0.
func logLikelihoodRatio(s sample, p0, p1 float64) float64 {
	return s.bad*math.Log(p1/p0) + (s.total-s.bad)*math.Log((1-p1)/(1-p0))
}

// logEvidence is the logarithm of the evidence that the new version is worse: a mixture of
// the alternative that the policy names and of two gross ones. A mixture keeps the error
// probability of Wald's test and needs far fewer requests when nearly all of them fail.
func (pair samplePair) logEvidence(increase float64) float64 {
	p0 := min(upperRateBound(pair.old)+tolerance, maxRate-tolerance)
	p1 := min(p0+increase, maxRate)
	a := math.Log(0.5) + logLikelihoodRatio(pair.new, p0, p1)
	b := math.Log(0.25) + logLikelihoodRatio(pair.new, p0, max(p1, p0+(maxRate-p0)*0.25))
	c := math.Log(0.25) + logLikelihoodRatio(pair.new, p0, max(p1, p0+(maxRate-p0)*0.9))
	top := max(a, b, c)
	return top + math.Log(math.Exp(a-top)+math.Exp(b-top)+math.Exp(c-top))
}

// policyLogRatio is the plain log-likelihood ratio of the policy's alternative; negative
// values speak for the new version.
func (pair samplePair) policyLogRatio(increase float64) float64 {
	if pair.new.total == 0 || pair.old.total == 0 {
		return 0
	}
	rate := (pair.old.bad + 0.5) / (pair.old.total + 1)
	p0 := min(rate+tolerance, maxRate-tolerance)
	return logLikelihoodRatio(pair.new, p0, min(p0+increase, maxRate))
}

// bounds are the logarithms of evidence at which the test decides.
type bounds struct {
	// pooled and late undo the rollout, for the sum since its start and for a late start.
	pooled, late           float64
	routePooled, routeLate float64
	// accept passes a step; hold keeps a step that ran out of time, overdueUndo undoes it.
	accept, overdueUndo, routeOverdueUndo float64
}

// boundsFor splits alpha by Bonferroni's correction: evenly over the statistics, over
// the overall test and the routes together, over the pooled and the late test, then
// over the routes and over the starts of the late test.
func boundsFor(routes int, finishWithin time.Duration) bounds {
	share := alpha / (float64(statistics) * 2 * 2)
	m := math.Log(float64(max(routes, 1)))
	starts := math.Log(max(float64(finishWithin/lateStartInterval), 1))
	pooled := math.Log((1 - beta) / share)
	return bounds{
		pooled: pooled, late: pooled + starts, routePooled: pooled + m, routeLate: pooled + m + starts,
		accept: math.Log(beta / (1 - alpha)), overdueUndo: -math.Log(beta), routeOverdueUndo: -math.Log(beta) + m,
	}
}
