// Package admission predicts the memory peak and the step time of an engine that
// decodes a batch of requests whose output lengths are unknown, and says whether
// one more request may join the batch.
//
// All types are plain values without locks. They are not safe for concurrent
// use; the pool's owner serialises access.
package admission

import (
	"math"
	"math/bits"
)

const (
	subBits     = 2 // linear sub-buckets per octave, as a power of two
	subBuckets  = 1 << subBits
	maxExponent = 18 // lengths from 2^18 tokens on share the last bucket
	bucketCount = (maxExponent - subBits) * subBuckets

	// decayWindow is the number of recent observations that carry most of the weight.
	decayWindow = 256.0
	// smallestWeight is the weight below which nothing is left of the observations.
	smallestWeight = 1e-3
	// rescaleAt bounds the growing increment, so that single precision suffices.
	rescaleAt = 1e6

	// The mean of the logarithm over the last few observations is compared with
	// the histogram's. A shift beyond shiftSigmas discounts the old mass.
	fastWeight     = 1.0 / 12
	shiftSigmas    = 4.0
	shiftKeep      = 6.0 // observations' worth of old mass kept after a shift
	shiftMinSample = 24
)

// position returns the bucket of a length and the fraction of the bucket below it.
func position(length int) (int, float64) {
	v := uint(max(length, 0)) + subBuckets
	e := bits.Len(v) - 1
	if e >= maxExponent {
		return bucketCount - 1, 1
	}
	shift := e - subBits
	sub := int(v>>shift) & (subBuckets - 1)
	low := v & (1<<shift - 1)
	return shift*subBuckets + sub, float64(low) / float64(uint(1)<<shift)
}

// lowerBound returns the smallest length of a bucket.
func lowerBound(bucket int) float64 {
	shift, sub := bucket/subBuckets, bucket%subBuckets
	return float64((subBuckets+sub)<<shift - subBuckets)
}

// tails holds the probability that a length is at least the lower bound of each bucket.
type tails [bucketCount + 1]float32

// above returns the probability that a length is greater than x.
func (t *tails) above(x int) float64 {
	b, f := position(x + 1)
	return float64(t[b]) + f*float64(t[b+1]-t[b])
}

// mean returns the expected length.
func (t *tails) mean() float64 {
	sum := 0.0
	for b := range bucketCount {
		width := lowerBound(b+1) - lowerBound(b)
		sum += width * float64(t[b]+t[b+1]) / 2
	}
	return sum
}

// Histogram counts output lengths in log-spaced buckets. Old observations decay
// with each new one, and a shift of the mean discounts them at once.
type Histogram struct {
	counts [bucketCount]float32
	// running counts the requests in progress by the tokens produced so far.
	running      [bucketCount]float32
	runningTotal float64
	total        float64
	increment    float64
	seen         int
	fast         float64
	logSum       float64
	logSquare    float64
	version      uint32
}

// Add records one completed output.
func (h *Histogram) Add(length int) {
	if h.increment == 0 {
		h.increment = 1
	}
	h.detectShift(length)
	b, _ := position(length)
	h.counts[b] += float32(h.increment)
	h.total += h.increment
	l := math.Log(float64(max(length, 0) + 1))
	h.logSum += h.increment * l
	h.logSquare += h.increment * l * l
	h.increment *= 1 + 1/decayWindow
	h.seen++
	h.version++
	if h.increment > rescaleAt {
		h.scale(1 / h.increment)
		h.increment = 1
	}
}

// Weight returns the number of recent observations that the histogram stands for.
func (h *Histogram) Weight() float64 {
	if h.increment == 0 {
		return 0
	}
	return h.total / h.increment
}

func (h *Histogram) scale(factor float64) {
	for i := range h.counts {
		h.counts[i] *= float32(factor)
	}
	h.total *= factor
	h.logSum *= factor
	h.logSquare *= factor
}

func (h *Histogram) detectShift(length int) {
	l := math.Log(float64(max(length, 0) + 1))
	if h.seen == 0 {
		h.fast = l
		return
	}
	h.fast += fastWeight * (l - h.fast)
	if h.Weight() < shiftMinSample {
		return
	}
	mean := h.logSum / h.total
	deviation := math.Sqrt(max(h.logSquare/h.total-mean*mean, 0.01))
	// The standard deviation of an exponentially weighted mean of independent samples.
	noise := deviation * math.Sqrt(fastWeight/(2-fastWeight))
	if math.Abs(h.fast-mean) > shiftSigmas*noise {
		h.scale(shiftKeep / h.Weight())
		h.version++
	}
}

// Running records a request in progress, which is known only to be longer than
// what it has produced.
func (h *Histogram) Running(produced int) {
	b, _ := position(produced)
	h.running[b]++
	h.runningTotal++
	h.version++
}

// ResetRunning forgets the requests in progress.
func (h *Histogram) ResetRunning() {
	if h.runningTotal > 0 {
		h.running = [bucketCount]float32{}
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
func (h *Histogram) mixInto(out, prior *tails, priorWeight float64) {
	events, unit := 0.0, 0.0
	if h.increment > 0 {
		unit = 1 / h.increment
		events = h.total * unit
	}
	weight := events + h.runningTotal
	if weight == 0 {
		*out = *prior
		return
	}
	share := weight / (weight + priorWeight)
	survival, atRisk, left := 1.0, weight, events
	for b := range bucketCount {
		out[b] = float32(share*survival + (1-share)*float64(prior[b]))
		ended, running := float64(h.counts[b])*unit, float64(h.running[b])
		if left > smallestWeight {
			survival *= 1 - min(ended/max(atRisk-running/2, ended, smallestWeight), 1)
		} else if prior[b] > 0 {
			survival *= float64(prior[b+1] / prior[b])
		}
		atRisk -= ended + running
		left -= ended
	}
	out[bucketCount] = float32(share*survival + (1-share)*float64(prior[bucketCount]))
}
