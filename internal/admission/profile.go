package admission

import "math"

// gridPoints is the number of future points, in decode steps from now, at which
// memory is predicted.
const gridPoints = 20

// grid holds the points: now, and then in a ratio of about 1.5.
var grid = makeGrid()

func makeGrid() [gridPoints]int {
	var g [gridPoints]int
	at := 8.0
	for i := 1; i < gridPoints; i++ {
		g[i] = int(at)
		at *= 1.5
	}
	return g
}

// systematicError is the relative error of the predicted growth that all requests
// of an engine share, because they share the learned distribution.
const systematicError = 0.08

// Load is one request of a batch: the tokens it holds now, the output tokens it
// has produced and the most that it may produce (0 means no limit).
type Load struct {
	Held     int
	Produced int
	Limit    int
}

// Profile is the predicted future of a batch: at each grid point the mean and
// variance of the memory, and the expected number of requests still running.
// Profiles of independent requests add.
type Profile struct {
	mean   [gridPoints]float64
	vary   [gridPoints]float64
	grown  [gridPoints]float64
	alive  [gridPoints]float64
	active int
}

// Add adds one request with the given distribution of output lengths.
func (p *Profile) Add(l Load, lengths *Lengths) {
	p.active++
	for i, t := range grid {
		a := lengths.Alive(l.Produced, l.Limit, t)
		if a == 0 {
			return
		}
		m := float64(l.Held + t)
		p.mean[i] += a * m
		p.vary[i] += a * (1 - a) * m * m
		p.grown[i] += a * float64(t)
		p.alive[i] += a
	}
}

// Reset empties the profile.
func (p *Profile) Reset() { *p = Profile{} }

// Merge adds another profile.
func (p *Profile) Merge(o *Profile) {
	p.active += o.active
	for i := range grid {
		p.mean[i] += o.mean[i]
		p.vary[i] += o.vary[i]
		p.grown[i] += o.grown[i]
		p.alive[i] += o.alive[i]
	}
}

// Peak returns the memory that the batch's future peak exceeds with about the
// probability for which PeakSigmas gave z.
func (p *Profile) Peak(z float64) float64 {
	peak := 0.0
	for i := range grid {
		peak = max(peak, p.quantile(i, z))
	}
	return peak
}

func (p *Profile) quantile(i int, z float64) float64 {
	s := systematicError * p.grown[i]
	return p.mean[i] + z*math.Sqrt(p.vary[i]+s*s)
}

// PeakWith returns Peak of the batch together with one more profile.
func (p *Profile) PeakWith(o *Profile, z float64) float64 {
	peak := 0.0
	for i := range grid {
		s := systematicError * (p.grown[i] + o.grown[i])
		q := p.mean[i] + o.mean[i] + z*math.Sqrt(p.vary[i]+o.vary[i]+s*s)
		peak = max(peak, q)
	}
	return peak
}

// pointShare is the ratio of the probability that memory is exceeded at the worst
// grid point to the probability that it is exceeded at any time. A test compares
// the outcome with exact peaks.
const pointShare = 0.4

// PeakSigmas returns the number of standard deviations for Peak so that the true
// peak exceeds it with about the given probability.
func PeakSigmas(probability float64) float64 {
	p := min(max(probability, 1e-6), 0.5) * pointShare
	return math.Sqrt2 * math.Erfinv(1-2*p)
}
