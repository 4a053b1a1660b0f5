package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

const (
	// buckets is the number of histogram buckets, which cover 1 ms to 65 s; the last one
	// also holds all longer durations.
	buckets            = 128
	bucketsPerDoubling = 8
	firstBucketLimit   = time.Millisecond
)

// Histogram counts durations in fixed logarithmic buckets of 9% width, so that the
// histograms of many daemons can be added and subtracted exactly.
type Histogram [buckets]uint32

func (h *Histogram) Add(d time.Duration) {
	h[bucketOf(d)]++
}

func bucketOf(d time.Duration) int {
	if d <= firstBucketLimit {
		return 0
	}
	return min(int(math.Log2(float64(d)/float64(firstBucketLimit))*bucketsPerDoubling), buckets-1)
}

// bucketLimit is the upper limit of the durations in a bucket.
func bucketLimit(bucket int) time.Duration {
	return time.Duration(float64(firstBucketLimit) * math.Exp2(float64(bucket+1)/bucketsPerDoubling)).Round(firstBucketLimit)
}

func (h *Histogram) count() (n uint64) {
	for _, c := range h {
		n += uint64(c)
	}
	return n
}

// quantileBucket returns the bucket that contains quantile q of the n counted durations.
func (h *Histogram) quantileBucket(q float64, n uint64) int {
	rank := uint64(math.Ceil(q * float64(n)))
	var sum uint64
	for i, c := range h {
		if sum += uint64(c); sum >= rank {
			return i
		}
	}
	return buckets - 1
}

// countAbove returns the number of durations in the buckets after the given one.
func (h *Histogram) countAbove(bucket int) (n uint64) {
	for _, c := range h[min(bucket+1, buckets):] {
		n += uint64(c)
	}
	return n
}

func (h *Histogram) plus(o *Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

func (h *Histogram) minus(o *Histogram) {
	for i := range h {
		h[i] -= o[i]
	}
}

// MarshalJSON encodes the non-empty buckets as [index, count] pairs.
func (h Histogram) MarshalJSON() ([]byte, error) {
	pairs := make([][2]uint32, 0, 16)
	for i, c := range h {
		if c != 0 {
			pairs = append(pairs, [2]uint32{uint32(i), c})
		}
	}
	return json.Marshal(pairs)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var pairs [][2]uint32
	if err := json.Unmarshal(data, &pairs); err != nil {
		return err
	}
	*h = Histogram{}
	for _, p := range pairs {
		if p[0] >= buckets {
			return fmt.Errorf("histogram bucket %d is out of range: the last bucket is %d", p[0], buckets-1)
		}
		h[p[0]] = p[1]
	}
	return nil
}
