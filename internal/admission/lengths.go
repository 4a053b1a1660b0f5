// Package admission predicts the memory peak and the step time of an engine that
// decodes a batch of requests whose output lengths are unknown. From these predictions
// the caller decides whether one more request may join the batch.
//
// All types are plain values without locks. They are not safe for concurrent use; the
// pool's owner serialises access.
package admission

import (
	"math"
	"math/bits"
)

const (
	subBucketBits = 2 // linear sub-buckets per octave, as a power of two
	subBuckets    = 1 << subBucketBits
	maxExponent   = 18 // lengths from 2^18 tokens on share the last bucket
	bucketCount   = (maxExponent - subBucketBits) * subBuckets

	// decayWindow is the number of recent observations that carry most of the weight.
	decayWindow = 256.0
	// negligibleWeight is the weight of observations that is treated as zero.
	negligibleWeight = 1e-3
	// maxObservationWeight bounds the weight of an observation, which grows with each
	// one, so that float32 counts stay precise enough.
	maxObservationWeight = 1e6

	// A moving average of the logarithm of recent lengths is compared with the mean of
	// the histogram. A difference of more than shiftSigmas standard deviations reduces
	// the weight of the old observations.
	shiftAverageWeight   = 1.0 / 12
	shiftSigmas          = 4.0
	shiftRetainedWeight  = 6.0 // weight kept after a shift, in observations
	shiftMinObservations = 24
)

// bucketPosition returns the bucket of a length and the fraction of the bucket below it.
func bucketPosition(length int) (int, float64) {
	v := uint(max(length, 0)) + subBuckets
	e := bits.Len(v) - 1
	if e >= maxExponent {
		return bucketCount - 1, 1
	}
	shift := e - subBucketBits
	sub := int(v>>shift) & (subBuckets - 1)
	low := v & (1<<shift - 1)
	return shift*subBuckets + sub, float64(low) / float64(uint(1)<<shift)
}

// lowerBound returns the smallest length of a bucket.
func lowerBound(bucket int) float64 {
	shift, sub := bucket/subBuckets, bucket%subBuckets
	return float64((subBuckets+sub)<<shift - subBuckets)
}

// survivalFunction holds, for each bucket, the probability that a length is at least
// the bucket's lower bound.
type survivalFunction [bucketCount + 1]float32

// probabilityAbove returns the probability that a length is greater than x.
func (t *survivalFunction) probabilityAbove(x int) float64 {
	b, f := bucketPosition(x + 1)
	return float64(t[b]) + f*float64(t[b+1]-t[b])
}

// mean returns the expected length.
func (t *survivalFunction) mean() float64 {
	sum := 0.0
	for b := range bucketCount {
		width := lowerBound(b+1) - lowerBound(b)
		sum += width * float64(t[b]+t[b+1]) / 2
	}
	return sum
}

// Histogram counts output lengths in log-spaced buckets. Old observations decay with
// each new one, and a shift of the mean reduces their weight at once.
type Histogram struct {
	counts [bucketCount]float32
	// runningCounts counts the requests in progress by the tokens produced so far.
	runningCounts     [bucketCount]float32
	runningTotal      float64
	totalWeight       float64
	observationWeight float64
	observations      int
	recentLogMean     float64
	logSum            float64
	logSquare         float64
	version           uint32
}

// Add records one completed output.
func (h *Histogram) Add(length int) {
	if h.observationWeight == 0 {
		h.observationWeight = 1
	}
	h.detectShift(length)
	b, _ := bucketPosition(length)
	h.counts[b] += float32(h.observationWeight)
	h.totalWeight += h.observationWeight
	l := math.Log(float64(max(length, 0) + 1))
	h.logSum += h.observationWeight * l
	h.logSquare += h.observationWeight * l * l
	h.observationWeight *= 1 + 1/decayWindow
	h.observations++
	h.version++
	if h.observationWeight > maxObservationWeight {
		h.scale(1 / h.observationWeight)
		h.observationWeight = 1
	}
}

// Weight returns the total weight of the observations, where a new one counts as 1.
func (h *Histogram) Weight() float64 {
	if h.observationWeight == 0 {
		return 0
	}
	return h.totalWeight / h.observationWeight
}

func (h *Histogram) scale(factor float64) {
	for i := range h.counts {
		h.counts[i] *= float32(factor)
	}
	h.totalWeight *= factor
	h.logSum *= factor
	h.logSquare *= factor
}

func (h *Histogram) detectShift(length int) {
	l := math.Log(float64(max(length, 0) + 1))
	if h.observations == 0 {
		h.recentLogMean = l
		return
	}
	h.recentLogMean += shiftAverageWeight * (l - h.recentLogMean)
	if h.Weight() < shiftMinObservations {
		return
	}
	mean := h.logSum / h.totalWeight
	deviation := math.Sqrt(max(h.logSquare/h.totalWeight-mean*mean, 0.01))
	// The standard deviation of an exponentially weighted mean of independent samples.
	noise := deviation * math.Sqrt(shiftAverageWeight/(2-shiftAverageWeight))
	if math.Abs(h.recentLogMean-mean) > shiftSigmas*noise {
		h.scale(shiftRetainedWeight / h.Weight())
		h.version++
	}
}

// AddRunning records a request in progress. Its output is known only to be longer than
// what it has produced.
func (h *Histogram) AddRunning(produced int) {
	b, _ := bucketPosition(produced)
	h.runningCounts[b]++
	h.runningTotal++
	h.version++
}

// ResetRunning removes the requests in progress.
func (h *Histogram) ResetRunning() {
	if h.runningTotal > 0 {
		h.runningCounts = [bucketCount]float32{}
		h.runningTotal = 0
		h.version++
	}
}

// mixInto combines the histogram with a prior that counts as priorWeight observations.
//
// The histogram's part is the Kaplan-Meier estimate: at each bucket the share of
// requests that ended there among those known to have reached it. Completed
// requests alone would favour short outputs, because long ones complete later.
// Beyond the longest completed output the prior's tail applies.
func (h *Histogram) mixInto(out, priorSurvival *survivalFunction, priorWeight float64) {
	completedWeight, observationScale := 0.0, 0.0
	if h.observationWeight > 0 {
		observationScale = 1 / h.observationWeight
		completedWeight = h.totalWeight * observationScale
	}
	weight := completedWeight + h.runningTotal
	if weight == 0 {
		*out = *priorSurvival
		return
	}
	share := weight / (weight + priorWeight)
	survival, atRisk, completedAhead := 1.0, weight, completedWeight
	for b := range bucketCount {
		out[b] = float32(share*survival + (1-share)*float64(priorSurvival[b]))
		ended, running := float64(h.counts[b])*observationScale, float64(h.runningCounts[b])
		if completedAhead > negligibleWeight {
			survival *= 1 - min(ended/max(atRisk-running/2, ended, negligibleWeight), 1)
		} else if priorSurvival[b] > 0 {
			survival *= float64(priorSurvival[b+1] / priorSurvival[b])
		}
		atRisk -= ended + running
		completedAhead -= ended
	}
	out[bucketCount] = float32(share*survival + (1-share)*float64(priorSurvival[bucketCount]))
}
