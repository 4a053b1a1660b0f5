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
	counts    [bucketCount]float32
	total     float64
	increment float64
	seen      int
	fast      float64
	logSum    float64
	logSquare float64
	version   uint32
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

// mixInto adds the histogram to a prior that counts as priorWeight observations.
func (h *Histogram) mixInto(out, prior *tails, priorWeight float64) {
	w := h.Weight()
	if w == 0 {
		*out = *prior
		return
	}
	keep := float32(priorWeight / (w + priorWeight))
	unit := float32(w / (w + priorWeight) / h.total)
	sum := float32(0)
	out[bucketCount] = keep * prior[bucketCount]
	for b := bucketCount - 1; b >= 0; b-- {
		sum += h.counts[b] * unit
		out[b] = min(sum+keep*prior[b], 1)
	}
}
