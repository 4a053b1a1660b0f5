package admission

import "math"

// gridPoints is the number of future points, in decode steps from now, at which
// memory is predicted.
const gridPoints = 20

// grid holds these points: 0, then 8 and further ones in a ratio of about 1.5.
var grid = makeGrid()

func makeGrid() [gridPoints]int {
	var g [gridPoints]int
	point := 8.0
	for i := 1; i < gridPoints; i++ {
		g[i] = int(point)
		point *= 1.5
	}
	return g
}

// sharedGrowthError is the relative error of the predicted growth that all requests
// of an engine share, because they share the learned distribution.
const sharedGrowthError = 0.08

// Load is one request of a batch: the tokens it holds in memory now, the output tokens
// it has produced and the most that it may produce (0 means no limit).
type Load struct {
	HeldTokens     int
	ProducedTokens int
	MaxTokens      int
}

// Profile is the predicted future of a batch: at each grid point the mean and
// variance of the memory, and the expected number of requests still running.
// Profiles of independent requests add.
type Profile struct {
	meanMemory      [gridPoints]float64
	memoryVariance  [gridPoints]float64
	meanGrowth      [gridPoints]float64
	expectedRunning [gridPoints]float64
	requests        int
}

// Add adds one request with the given distribution of output lengths.
func (p *Profile) Add(l Load, lengths *Lengths) {
	p.requests++
	for i, t := range grid {
		a := lengths.ProbabilityBeyond(l.ProducedTokens, l.MaxTokens, t)
		if a == 0 {
			return
		}
		m := float64(l.HeldTokens + t)
		p.meanMemory[i] += a * m
		p.memoryVariance[i] += a * (1 - a) * m * m
		p.meanGrowth[i] += a * float64(t)
		p.expectedRunning[i] += a
	}
}

// Reset empties the profile.
func (p *Profile) Reset() { *p = Profile{} }

// Merge adds another profile.
func (p *Profile) Merge(o *Profile) {
	p.requests += o.requests
	for i := range grid {
		p.meanMemory[i] += o.meanMemory[i]
		p.memoryVariance[i] += o.memoryVariance[i]
		p.meanGrowth[i] += o.meanGrowth[i]
		p.expectedRunning[i] += o.expectedRunning[i]
	}
}

// Peak returns the memory that the batch's future peak exceeds with about the
// probability for which PeakSigmas gave z.
func (p *Profile) Peak(z float64) float64 {
	peak := 0.0
	for i := range grid {
		peak = max(peak, p.memoryBound(i, z))
	}
	return peak
}

func (p *Profile) memoryBound(i int, z float64) float64 {
	s := sharedGrowthError * p.meanGrowth[i]
	return p.meanMemory[i] + z*math.Sqrt(p.memoryVariance[i]+s*s)
}

// PeakWith returns Peak of the batch together with one more profile.
func (p *Profile) PeakWith(o *Profile, z float64) float64 {
	peak := 0.0
	for i := range grid {
		s := sharedGrowthError * (p.meanGrowth[i] + o.meanGrowth[i])
		q := p.meanMemory[i] + o.meanMemory[i] + z*math.Sqrt(p.memoryVariance[i]+o.memoryVariance[i]+s*s)
		peak = max(peak, q)
	}
	return peak
}

// gridPointRatio is the ratio of the probability that memory is exceeded at the worst
// grid point to the probability that it is exceeded at any time.
// TestPeakIsExceededRarely checks the result against exact peaks.
const gridPointRatio = 0.4

// PeakSigmas returns the number of standard deviations for Peak so that the true
// peak exceeds it with about the given probability.
func PeakSigmas(probability float64) float64 {
	p := min(max(probability, 1e-6), 0.5) * gridPointRatio
	return math.Sqrt2 * math.Erfinv(1-2*p)
}
