package rollout

import (
	"math"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

const (
	// alpha is the probability of undoing a version that is as good as the old one, over
	// a whole rollout; beta is the probability of accepting a bad version at one step.
	alpha = 0.01
	beta  = 0.05
	// tolerance is the increase over the old version's rate that still counts as good.
	tolerance = 0.005
	// standardErrors is the number of standard errors by which the estimated rate of the old
	// version is raised. An estimate that is too low makes a good version look bad.
	standardErrors = 2
	// minBaseline is the number of requests of the old version in a period that is needed
	// to take a 95th percentile and to use the failure rate of that period. With fewer
	// requests latencies are not compared and the failure rate of all steps is used.
	minBaseline  = 50
	slowQuantile = 0.95
	// minMedianBaseline is the number of requests of the old version that is needed to take
	// a median.
	minMedianBaseline = 20
	// maxRate limits hypothetical rates, because a rate of 1 has no finite log-likelihood.
	maxRate = 0.99
)

// statistic identifies a quantity that is compared between the versions.
type statistic int

const (
	failures statistic = iota
	slowFirstTokens
	slowSteps
	// The typical statistics compare with the median instead of the 95th percentile. A
	// few very slow requests of the old version, as during a fault elsewhere, raise the
	// percentile far above anything that a slow version does.
	typicalFirstTokens
	typicalSteps
	statistics // the number of statistics
)

func (s statistic) String() string {
	return [...]string{"failures", "slow first tokens", "slow steps", "first tokens above its median", "steps above its median"}[s]
}

// sample counts requests; bad is the number of those that failed or were slow.
type sample struct{ bad, total float64 }

// samplePair holds the samples of both versions for one statistic over one period.
type samplePair struct{ old, new sample }

// samplePairOf reduces counts to the samples of one statistic. A request is slow above
// MaxSlowdown times a quantile of the old version in the same period, so that the limit
// rises with a load that slows both versions. Without enough requests for a
// percentile the pair is empty and has no influence on the decision.
func samplePairOf(s statistic, c *Comparison, policy entity.RolloutPolicy) samplePair {
	switch s {
	case slowFirstTokens:
		return slowSamplePair(&c.Old.FirstToken, &c.New.FirstToken, slowQuantile, minBaseline, policy.MaxSlowdown)
	case slowSteps:
		return slowSamplePair(&c.Old.Step, &c.New.Step, slowQuantile, minBaseline, policy.MaxSlowdown)
	case typicalFirstTokens:
		return slowSamplePair(&c.Old.FirstToken, &c.New.FirstToken, 0.5, minMedianBaseline, policy.MaxSlowdown)
	case typicalSteps:
		return slowSamplePair(&c.Old.Step, &c.New.Step, 0.5, minMedianBaseline, policy.MaxSlowdown)
	}
	return samplePair{
		old: sample{float64(c.Old.Failure), float64(c.Old.Failure + c.Old.Success)},
		new: sample{float64(c.New.Failure), float64(c.New.Failure + c.New.Success)},
	}
}

func slowSamplePair(old, new *Histogram, quantile float64, minOld uint64, maxSlowdown float64) samplePair {
	n := old.count()
	if n < minOld {
		return samplePair{}
	}
	// Rounding up to a whole bucket raises the limit, which favours the new version.
	bound := old.quantileBucket(quantile, n) + int(math.Ceil(math.Log2(maxSlowdown)*bucketsPerDoubling))
	return samplePair{
		old: sample{float64(old.countAbove(bound)), float64(n)},
		new: sample{float64(new.countAbove(bound)), float64(new.count())},
	}
}

// upperRateBound returns the upper bound of the Wilson interval of the rate, or 1 for an
// empty sample.
func upperRateBound(s sample) float64 {
	const z2 = standardErrors * standardErrors
	if s.total == 0 {
		return 1
	}
	p := s.bad / s.total
	spread := standardErrors * math.Sqrt(p*(1-p)/s.total+z2/(4*s.total*s.total))
	return (p + z2/(2*s.total) + spread) / (1 + z2/s.total)
}

// logLikelihoodRatio returns the log-likelihood ratio of rate p1 against rate p0.
func logLikelihoodRatio(s sample, p0, p1 float64) float64 {
	return s.bad*math.Log(p1/p0) + (s.total-s.bad)*math.Log((1-p1)/(1-p0))
}

// logEvidence returns the logarithm of the evidence that the new version is worse. The
// alternative hypothesis is a mixture of the increase that the policy names and of two
// much larger ones. The mixture keeps the error probability of Wald's test and needs far
// fewer requests when nearly all of them fail.
func (pair samplePair) logEvidence(increase float64) float64 {
	p0 := min(upperRateBound(pair.old)+tolerance, maxRate-tolerance)
	p1 := min(p0+increase, maxRate)
	a := math.Log(0.5) + logLikelihoodRatio(pair.new, p0, p1)
	b := math.Log(0.25) + logLikelihoodRatio(pair.new, p0, max(p1, p0+(maxRate-p0)*0.25))
	c := math.Log(0.25) + logLikelihoodRatio(pair.new, p0, max(p1, p0+(maxRate-p0)*0.9))
	largest := max(a, b, c)
	return largest + math.Log(math.Exp(a-largest)+math.Exp(b-largest)+math.Exp(c-largest))
}

// policyLogRatio returns the log-likelihood ratio of the increase that the policy names
// against no increase; negative values favour the new version.
func (pair samplePair) policyLogRatio(increase float64) float64 {
	if pair.new.total == 0 || pair.old.total == 0 {
		return 0
	}
	rate := (pair.old.bad + 0.5) / (pair.old.total + 1)
	p0 := min(rate+tolerance, maxRate-tolerance)
	return logLikelihoodRatio(pair.new, p0, min(p0+increase, maxRate))
}

// grossLogRatio returns the log-likelihood ratio of a gross increase against no increase.
func (pair samplePair) grossLogRatio() float64 {
	rate := (pair.old.bad + 0.5) / (pair.old.total + 1)
	p0 := min(rate+tolerance, maxRate-grossIncrease)
	return logLikelihoodRatio(pair.new, p0, p0+grossIncrease)
}

// acceptBound is Wald's lower bound, as a logarithm: evidence below it accepts the new
// version.
var acceptBound = math.Log(beta / (1 - alpha))

// bounds are the decision thresholds of the test, as logarithms of evidence.
type bounds struct {
	// pooled and late undo the rollout: pooled applies to the evidence since the start of
	// the rollout, late to the evidence since a start point of the late-fault test.
	pooled, late           float64
	routePooled, routeLate float64
	// accept passes a step; overdueUndo undoes a rollout whose step exceeded its time limit.
	accept, overdueUndo, routeOverdueUndo float64
}

// boundsFor splits alpha by the Bonferroni correction: evenly over the statistics, over
// the test of all routes together and the tests of single routes, and over the pooled
// and the late test; then over the routes and over the start points of the late test.
func boundsFor(routes int, finishWithin time.Duration) bounds {
	alphaShare := alpha / (float64(statistics) * 2 * 2)
	routeCorrection := math.Log(float64(max(routes, 1)))
	startCorrection := math.Log(max(float64(finishWithin/lateStartInterval), 1))
	pooled := math.Log((1 - beta) / alphaShare)
	return bounds{
		pooled: pooled, late: pooled + startCorrection, routePooled: pooled + routeCorrection, routeLate: pooled + routeCorrection + startCorrection,
		accept: acceptBound, overdueUndo: -math.Log(beta), routeOverdueUndo: -math.Log(beta) + routeCorrection,
	}
}
