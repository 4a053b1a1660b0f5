package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/trace"
)

// generatorSeed is the seed of the committed traces.
const generatorSeed = 20260704

// Generate returns the traces that are committed under testdata/traces. It is
// deterministic, so the files can be regenerated at any time.
func Generate() []*trace.Trace {
	return []*trace.Trace{
		squareCrowd(), overnightBatch(), meanShift(), engineCold(), coldSurprise(), engineReclaimed(),
		dataCentreMove(), overload("overload-1x", 1), overload("overload-2x", 2),
	}
}

// standardEngine holds the parameters of an engine on one accelerator.
func standardEngine() trace.Engine {
	return trace.Engine{
		BaseUS: 12_000, PerRequestUS: 1200, PerThousandTokensUS: 250, PrefillPerTokenUS: 40, PrefillChunk: 256, Noise: 0.05,
		MaxBatch: 256, MemoryTokens: 65_536, PrefixCacheTokens: 4096,
		ColdRequests: 4, WarmAfter: 8, ColdFactor: 4, RestartMS: 5000,
		ReportEveryMS: 500, ReportLagMS: 300, CacheLagMS: 700, CacheEventLoss: 0.05,
	}
}

func standardPool(name, dataCentre string, upstreams int) trace.Pool {
	e := standardEngine()
	p := trace.Pool{
		Name: name, DataCentre: dataCentre,
		Limits: trace.Limits{ColdRequests: e.ColdRequests, MaxRequests: 32, MemoryTokens: e.MemoryTokens, TargetStepMS: 62},
	}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, trace.Upstream{Name: fmt.Sprintf("%s-e%d", name, i+1), Engine: e})
	}
	return p
}

// lengthDistribution is a log-normal distribution of output lengths in tokens, limited
// to the range from low to high.
type lengthDistribution struct {
	median, sigma float64
	low, high     int
}

func (l lengthDistribution) sample(r *rand.Rand) int {
	return min(max(int(l.median*math.Exp(l.sigma*r.NormFloat64())), l.low), l.high)
}

// moments returns the mean E[L] and the length-biased mean E[L*L]/E[L] of a fixed sample.
func (l lengthDistribution) moments() (mean, lengthBiased float64) {
	const samples = 20_000
	r := rand.New(rand.NewPCG(generatorSeed, 1))
	var sum, squares float64
	for range samples {
		x := float64(l.sample(r))
		sum, squares = sum+x, squares+x*x
	}
	return sum / samples, squares / sum
}

// requestClass describes one kind of request of a workload.
type requestClass struct {
	service          string
	accounts         []string // the first account sends half of the requests when there are several
	promptMin        int
	promptMax        int
	output           lengthDistribution
	maxTokens        int
	distinctPrefixes int // number of distinct prompt prefixes, 0 for none
	prefixTokens     int
	abandonShare     float64 // share of the callers that disconnect early
}

// Request classes of the committed traces.
var (
	narrations = requestClass{
		service: "narration", accounts: []string{"guides", "tourists", "museum"}, promptMin: 300, promptMax: 700,
		output: lengthDistribution{median: 420, sigma: 0.9, low: 40, high: 4096}, maxTokens: 4096, distinctPrefixes: 12, prefixTokens: 256, abandonShare: 0.02,
	}
	lookups = requestClass{
		service: "pickup-lookup", accounts: []string{"drivers", "tourists"}, promptMin: 60, promptMax: 200,
		output: lengthDistribution{median: 30, sigma: 0.5, low: 4, high: 200}, maxTokens: 256, distinctPrefixes: 4, prefixTokens: 48,
	}
	routeNotes = requestClass{
		service: "route-note", accounts: []string{"rounds"}, promptMin: 200, promptMax: 500,
		output: lengthDistribution{median: 450, sigma: 0.8, low: 60, high: 4096}, maxTokens: 4096, distinctPrefixes: 3, prefixTokens: 128,
	}
	bottleChanges = requestClass{
		service: "bottle-change", accounts: []string{"customers"}, promptMin: 80, promptMax: 240,
		output: lengthDistribution{median: 50, sigma: 0.5, low: 8, high: 300}, maxTokens: 512, distinctPrefixes: 2, prefixTokens: 64,
	}
)

// saturationRate returns the requests of the class per second that fully load the engines,
// computed from the parameters of the engine model. The batch is bounded by the
// operators' limit, by memory and by the target time between tokens.
func saturationRate(c requestClass, p trace.Pool, engines int) float64 {
	e := p.Upstreams[0].Engine
	mean, lengthBiased := c.output.moments()
	prompt := float64(c.promptMin+c.promptMax) / 2
	heldTokens := prompt + lengthBiased/2
	batch := min(float64(p.Limits.MaxRequests), float64(e.MemoryTokens)/heldTokens)
	stepUS := func(n float64) float64 {
		return e.BaseUS + e.PerRequestUS*n + e.PerThousandTokensUS*n*heldTokens/1000 + e.PrefillPerTokenUS*prompt*n/mean
	}
	for stepUS(batch) > float64(p.Limits.TargetStepMS)*1000 {
		batch--
	}
	return float64(engines) * batch / (stepUS(batch) / 1e6 * mean)
}

// traceBuilder collects the events of a trace.
type traceBuilder struct {
	rng    *rand.Rand
	events []trace.Event
}

func newTraceBuilder(stream uint64) *traceBuilder {
	return &traceBuilder{rng: rand.New(rand.NewPCG(generatorSeed, stream))}
}

func (b *traceBuilder) addArrival(c requestClass, at time.Duration) *trace.Arrival {
	a := &trace.Arrival{
		Service: c.service, Account: c.accounts[0], PromptTokens: c.promptMin + b.rng.IntN(c.promptMax-c.promptMin+1),
		OutputTokens: c.output.sample(b.rng), MaxTokens: c.maxTokens,
	}
	if n := len(c.accounts); n > 1 && b.rng.IntN(2) == 1 {
		a.Account = c.accounts[1+b.rng.IntN(n-1)]
	}
	if c.distinctPrefixes > 0 {
		a.PrefixHash = hashString(fmt.Sprintf("%s/%d", c.service, b.rng.IntN(c.distinctPrefixes))) >> 32
		a.PrefixTokens = c.prefixTokens
	}
	if b.rng.Float64() < c.abandonShare {
		a.AbandonMS = 1000 + int64(b.rng.IntN(9000))
	}
	b.events = append(b.events, trace.Event{AtMS: at.Milliseconds(), Kind: trace.Arrive, Arrival: a})
	return a
}

// addPoissonArrivals adds the arrivals of a Poisson process from start to end, with a
// rate of rate(t) per second that never exceeds maxRate.
func (b *traceBuilder) addPoissonArrivals(c requestClass, start, end time.Duration, maxRate float64, rate func(time.Duration) float64) {
	for at := start; ; {
		at += time.Duration(b.rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= end {
			return
		}
		if b.rng.Float64()*maxRate < rate(at) {
			b.addArrival(c, at)
		}
	}
}

func (b *traceBuilder) addSteadyArrivals(c requestClass, start, end time.Duration, rate float64) {
	b.addPoissonArrivals(c, start, end, rate, func(time.Duration) float64 { return rate })
}

func (b *traceBuilder) addEvent(at time.Duration, kind trace.Kind, upstream, dataCentre string, notice time.Duration) {
	b.events = append(b.events, trace.Event{
		AtMS: at.Milliseconds(), Kind: kind, Upstream: upstream, DataCentre: dataCentre, NoticeMS: notice.Milliseconds(),
	})
}

// build sorts the events, numbers the requests and returns the trace with commonOutcomes.
func (b *traceBuilder) build(h trace.Header) *trace.Trace {
	slices.SortStableFunc(b.events, func(x, y trace.Event) int { return cmp.Compare(x.AtMS, y.AtMS) })
	n := 0
	for _, e := range b.events {
		if e.Arrival != nil {
			n++
			e.Arrival.ID = fmt.Sprintf("r%d", n)
		}
	}
	h.Version, h.Order, h.Seed = trace.FormatVersion, trace.OrderTime, generatorSeed
	h.Outcomes = append(commonOutcomes(), h.Outcomes...)
	return &trace.Trace{Header: h, Events: b.events}
}

func boundOf(v float64) *float64 { return &v }

// commonOutcomes returns the outcomes that every trace states: the goals of the design
// page and the invariants.
func commonOutcomes() []trace.Outcome {
	return []trace.Outcome{
		{Name: "preemptions", Metric: trace.MetricPreemptions, ReferencePolicy: LeastOutstanding, AtMost: boundOf(0.1)},
		{Name: "goodput", Metric: trace.MetricGoodput, ReferencePolicy: LeastOutstanding, AtLeast: boundOf(1)},
		{Name: "tail-between-tokens", Metric: trace.MetricGapP99, ReferencePolicy: LeastOutstanding, AtMost: boundOf(0.5)},
		{Name: "cold-limit", Metric: trace.MetricColdViolations, AtMost: boundOf(0)},
		{Name: "one-generation", Metric: trace.MetricDuplicates, AtMost: boundOf(0)},
		{Name: "no-work-after-leaving", Metric: trace.MetricLateDispatches, AtMost: boundOf(0)},
		{Name: "all-answered", Metric: trace.MetricUnfinished, AtMost: boundOf(0)},
	}
}
