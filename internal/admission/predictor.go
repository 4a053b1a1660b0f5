package admission

import (
	"math"
	"slices"
	"strings"
)

const (
	// backoffWeight is the number of observations of an account that count as much as
	// the service's distribution.
	backoffWeight = 8.0
	// priorObservations is the number of observations of a service that count as much
	// as the prior, which keeps a long tail in every service's distribution.
	priorObservations = 2.0
	// The prior is log-logistic: heavy-tailed around a median.
	priorMedian = 256.0
	priorShape  = 1.2
	// maxAccounts bounds the account histograms kept for a pool.
	maxAccounts = 2048
)

// Key identifies the traffic that shares an output-length distribution.
type Key struct {
	Service string
	Account string
}

func (k Key) compare(o Key) int {
	if c := strings.Compare(k.Service, o.Service); c != 0 {
		return c
	}
	return strings.Compare(k.Account, o.Account)
}

// Lengths is the predicted distribution of output lengths of one Key. It stays
// valid until the next call of Predictor.Observe.
type Lengths struct {
	survival survivalFunction
	mean     float64
}

// Mean returns the expected output length.
func (l *Lengths) Mean() float64 { return l.mean }

// Quantile returns the length that an output does not exceed with the given probability.
func (l *Lengths) Quantile(probability float64) float64 {
	for b := range bucketCount {
		if float64(l.survival[b+1]) <= 1-probability {
			return lowerBound(b + 1)
		}
	}
	return lowerBound(bucketCount)
}

// ProbabilityBeyond returns the probability that a request that has produced some tokens,
// and may produce at most limit (0 means no limit), produces more than ahead further tokens.
func (l *Lengths) ProbabilityBeyond(produced, limit, ahead int) float64 {
	if limit > 0 && produced+ahead >= limit {
		return 0
	}
	if ahead <= 0 {
		return 1
	}
	s := l.survival.probabilityAbove(produced - 1)
	if s <= 1e-9 {
		return 0.5
	}
	return l.survival.probabilityAbove(produced+ahead-1) / s
}

// ExpectedRemaining returns the expected number of further tokens.
func (l *Lengths) ExpectedRemaining(produced, limit int) float64 {
	if produced == 0 && limit == 0 {
		return l.mean
	}
	sum, lastProbability, lastPoint := 0.0, 1.0, 0
	for _, t := range grid[1:] {
		p := l.ProbabilityBeyond(produced, limit, t)
		sum += (lastProbability + p) / 2 * float64(t-lastPoint)
		lastProbability, lastPoint = p, t
	}
	return sum
}

type serviceLengths struct {
	histogram        Histogram
	mixed            Lengths
	histogramVersion uint32
	mixedValid       bool
}

type accountLengths struct {
	histogram        Histogram
	mixed            Lengths
	histogramVersion uint32
	serviceVersion   uint32
	mixedValid       bool
	lastUsed         uint64
}

// Predictor learns output lengths for each service and client account. An
// account with few observations uses its service's distribution, and a service
// with few observations uses a heavy-tailed prior.
type Predictor struct {
	services         map[string]*serviceLengths
	accounts         map[Key]*accountLengths
	prior            Lengths
	observationCount uint64
}

// NewPredictor returns a predictor that knows only the prior.
func NewPredictor() *Predictor {
	p := &Predictor{services: map[string]*serviceLengths{}, accounts: map[Key]*accountLengths{}}
	for b := range p.prior.survival {
		x := lowerBound(b)
		p.prior.survival[b] = float32(1 / (1 + math.Pow(x/priorMedian, priorShape)))
	}
	p.prior.mean = p.prior.survival.mean()
	return p
}

// Observe records the length of a completed output.
func (p *Predictor) Observe(key Key, length int) {
	p.observationCount++
	p.serviceFor(key.Service).histogram.Add(length)
	a := p.accounts[key]
	if a == nil {
		if len(p.accounts) >= maxAccounts {
			p.evict()
		}
		a = &accountLengths{}
		p.accounts[key] = a
	}
	a.lastUsed = p.observationCount
	a.histogram.Add(length)
}

// ResetRunning removes the requests in progress.
func (p *Predictor) ResetRunning() {
	for _, s := range p.services {
		s.histogram.ResetRunning()
	}
	for _, a := range p.accounts {
		a.histogram.ResetRunning()
	}
}

// ObserveRunning records a request in progress and the tokens that it has produced.
func (p *Predictor) ObserveRunning(key Key, produced int) {
	p.serviceFor(key.Service).histogram.AddRunning(produced)
	if a := p.accounts[key]; a != nil {
		a.histogram.AddRunning(produced)
	}
}

func (p *Predictor) serviceFor(name string) *serviceLengths {
	s := p.services[name]
	if s == nil {
		s = &serviceLengths{}
		p.services[name] = s
	}
	return s
}

// evict removes the eighth of the account histograms that was used least recently.
func (p *Predictor) evict() {
	keys := make([]Key, 0, len(p.accounts))
	for k := range p.accounts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if x, y := p.accounts[a].lastUsed, p.accounts[b].lastUsed; x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a.compare(b)
	})
	for _, k := range keys[:len(keys)/8+1] {
		delete(p.accounts, k)
	}
}

// Lengths returns the distribution for a key.
func (p *Predictor) Lengths(key Key) *Lengths {
	s := p.services[key.Service]
	if s == nil {
		return &p.prior
	}
	if !s.mixedValid || s.histogramVersion != s.histogram.version {
		s.histogram.mixInto(&s.mixed.survival, &p.prior.survival, priorObservations)
		s.mixed.mean = s.mixed.survival.mean()
		s.histogramVersion, s.mixedValid = s.histogram.version, true
	}
	a := p.accounts[key]
	if a == nil {
		return &s.mixed
	}
	if !a.mixedValid || a.histogramVersion != a.histogram.version || a.serviceVersion != s.histogramVersion {
		a.histogram.mixInto(&a.mixed.survival, &s.mixed.survival, backoffWeight)
		a.mixed.mean = a.mixed.survival.mean()
		a.histogramVersion, a.serviceVersion, a.mixedValid = a.histogram.version, s.histogramVersion, true
	}
	return &a.mixed
}

// AccountCount returns the number of account histograms kept.
func (p *Predictor) AccountCount() int { return len(p.accounts) }
