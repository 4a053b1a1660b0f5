package enginespeed

import (
	"math"
	"time"
)

const (
	// tailHalfLife is the time after which an observed gap counts half. Long gaps are rare, so it
	// is longer than halfLife.
	tailHalfLife = 20 * time.Second
	// The bins of a distribution divide each doubling into binsPerDoubling and begin at minRatio.
	binsPerDoubling, bins = 8, 64
	minRatio              = 0.25
	// minKnownTokens is the number of tokens from which an engine is known well enough to tell how
	// much longer than expected a gap was.
	minKnownTokens = 400
	// minTailWeight is the number of gaps below which the distribution is unknown.
	minTailWeight = 100
)

// distribution holds how much longer than expected the gaps between events of a service are. It is
// observed by one host on all engines that run its streams: a long gap comes from prompts, stalls
// and the number of requests, which all engines have in common.
type distribution struct {
	weights   [bins]float64
	decayedAt time.Time
}

func (d *distribution) add(ratio float64, now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(tailHalfLife))
		for i := range d.weights {
			d.weights[i] *= factor
		}
		d.decayedAt = now
	}
	bin := int(math.Ceil(math.Log2(ratio/minRatio) * binsPerDoubling))
	d.weights[min(max(bin, 0), bins-1)]++
}

// tail is an immutable distribution.
type tail struct {
	upTo [bins]float64
	// assumed is the ratio of the longest gap while too few were observed; 0 if enough were.
	assumed float64
}

// assumedStall is how many times as long as usual an engine of which too little is known may stall.
const assumedStall = 2.0

// snapshot returns the distribution, nil if too few gaps were observed.
func (d *distribution) snapshot() *tail {
	out, total := &tail{}, 0.0
	for i, w := range d.weights {
		total += w
		out.upTo[i] = total
	}
	if total < minTailWeight {
		return nil
	}
	for i := range out.upTo {
		out.upTo[i] /= total
	}
	return out
}

// longest is the ratio that the longest of some gaps is expected to reach: all but one in as many
// are below.
func (t *tail) longest(gaps int) float64 {
	switch {
	case t == nil || gaps <= 0:
		return 1
	case t.assumed > 0:
		return t.assumed
	}
	for i, share := range t.upTo {
		if share >= 1-1/float64(gaps+1) {
			return minRatio * math.Exp2(float64(i)/binsPerDoubling)
		}
	}
	return minRatio * math.Exp2((bins-1)/binsPerDoubling)
}
