package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/trace"
)

// interactiveDeadline bounds the queueing time of interactive services. The first token
// is due within 1 s, and processing the prompt takes part of that time.
const interactiveDeadline = 900 * time.Millisecond

// carriageServices returns the services of the square workloads: narrations and pick-up
// lookups for carriage tours.
func carriageServices(pools ...string) []trace.Service {
	return []trace.Service{
		{Name: "narration", Pools: pools, Delivery: trace.DeliverRestart, Priority: 5, DeadlineMS: interactiveDeadline.Milliseconds()},
		{Name: "pickup-lookup", Pools: pools, Delivery: trace.DeliverWhole, Priority: 7, DeadlineMS: interactiveDeadline.Milliseconds()},
	}
}

func carriageAccounts() []trace.Account {
	return []trace.Account{
		{Name: "guides", Share: 3, MaxQueued: 200}, {Name: "drivers", Share: 2, MaxQueued: 200},
		{Name: "tourists", Share: 2, MaxQueued: 200}, {Name: "museum", Share: 1, MaxQueued: 200},
	}
}

func carriageHeader(name, about string, span time.Duration, pools ...trace.Pool) trace.Header {
	var names []string
	for _, p := range pools {
		names = append(names, p.Name)
	}
	return trace.Header{
		Name: name, About: about, SpanMS: span.Milliseconds(), WarmupMS: warmup.Milliseconds(),
		Pools: pools, Services: carriageServices(names...), Accounts: carriageAccounts(),
	}
}

// warmup is the time at the start that the metrics exclude. About half of the later
// load arrives in it, so that policies learn output lengths and batches fill.
const warmup = 20 * time.Second

// lookupsPerNarration is the ratio of the request rates of the two classes.
const lookupsPerNarration = 1.5

// addSquareLoad adds narrations at the given fraction of the saturation rate, and lookups
// in proportion.
func (b *traceBuilder) addSquareLoad(start, end time.Duration, load, saturatedRate float64) {
	b.addSteadyArrivals(narrations, start, end, load*saturatedRate)
	b.addSteadyArrivals(lookups, start, end, load*saturatedRate*lookupsPerNarration)
}

// squareCrowd has a load that rises above saturation and falls again, as tourists fill
// a square and leave it.
func squareCrowd() *trace.Trace {
	const span = 240 * time.Second
	p := standardPool("praha-1", "praha-1", 6)
	b, peakRate := newTraceBuilder(10), 1.8*saturationRate(narrations, p, 6)
	narrationRate := func(at time.Duration) float64 {
		x := float64(at) / float64(span)
		return peakRate * (0.3 + 0.7*4*x*(1-x))
	}
	b.addPoissonArrivals(narrations, 0, span, peakRate, narrationRate)
	b.addPoissonArrivals(lookups, 0, span, peakRate*lookupsPerNarration, func(at time.Duration) float64 { return lookupsPerNarration * narrationRate(at) })
	return b.build(carriageHeader("square-crowd", "a square crowded with tourists: short lookups beside long narrations", span, p))
}

// overnightBatch submits all route notes at the start, with one finishing time.
func overnightBatch() *trace.Trace {
	const span, batch = 480 * time.Second, 900
	p := standardPool("sofia-1", "sofia-1", 4)
	b := newTraceBuilder(11)
	// The finishing time is 25% longer than saturated engines need for the batch.
	finishBy := time.Duration(1.25 * batch / saturationRate(routeNotes, p, 4) * float64(time.Second)).Round(time.Second)
	for i := range batch {
		b.addArrival(routeNotes, time.Duration(i)*20*time.Millisecond).FinishByMS = finishBy.Milliseconds()
	}
	b.addSteadyArrivals(bottleChanges, 0, span, 1)
	t := b.build(trace.Header{
		Name: "overnight-batch", About: "an overnight batch of route notes with a finishing time, beside changes by customers",
		SpanMS: span.Milliseconds(), Pools: []trace.Pool{p},
		Services: []trace.Service{
			{Name: "route-note", Pools: []string{p.Name}, Delivery: trace.DeliverWhole, Priority: 3},
			{Name: "bottle-change", Pools: []string{p.Name}, Delivery: trace.DeliverWhole, Priority: 7, DeadlineMS: interactiveDeadline.Milliseconds()},
		},
		Accounts: []trace.Account{{Name: "rounds", Share: 4, MaxQueued: 2 * batch}, {Name: "customers", Share: 1, MaxQueued: 200}},
	})
	t.Header.Outcomes = append(t.Header.Outcomes, trace.Outcome{
		Name: "batch-in-time", Metric: trace.MetricInTime, ReferencePolicy: Ideal, AtLeast: boundOf(1),
	})
	return t
}

// meanShift doubles the median output length halfway through at a constant request rate.
func meanShift() *trace.Trace {
	const span = 300 * time.Second
	p := standardPool("praha-1", "praha-1", 5)
	b, saturated := newTraceBuilder(12), saturationRate(narrations, p, 5)
	long := narrations
	long.output.median *= 2
	b.addSquareLoad(0, warmup, 0.4, saturated)
	b.addSquareLoad(warmup, span/2, 0.9, saturated)
	b.addSteadyArrivals(long, span/2, span, 0.9*saturated)
	b.addSteadyArrivals(lookups, span/2, span, 0.9*saturated*lookupsPerNarration)
	return b.build(carriageHeader("mean-shift", "heavy-tailed outputs whose median doubles half-way", span, p))
}

// engineCold has an engine that turns cold under load without warning, and another
// that is lost and comes back cold.
func engineCold() *trace.Trace {
	const span = 300 * time.Second
	p := standardPool("praha-1", "praha-1", 6)
	b, saturated := newTraceBuilder(13), saturationRate(narrations, p, 6)
	b.addSquareLoad(0, warmup, 0.4, saturated)
	b.addSquareLoad(warmup, span, 0.95, saturated)
	b.addEvent(90*time.Second, trace.UpstreamCold, p.Upstreams[1].Name, "", 0)
	b.addEvent(130*time.Second, trace.UpstreamLost, p.Upstreams[4].Name, "", 0)
	b.addEvent(150*time.Second, trace.UpstreamBack, p.Upstreams[4].Name, "", 0)
	return b.build(carriageHeader("engine-cold", "an engine turns cold without warning; another dies and comes back cold", span, p))
}

// coldSurprise has engines that repeatedly turn cold without warning under a high rate
// of short lookups, so that the requests sent before the next load report can exceed
// the cold limit. On average, an engine receives fewer requests than its cold limit
// in the time that a report takes.
func coldSurprise() *trace.Trace {
	const span, upstreams = 180 * time.Second, 4
	p := standardPool("praha-1", "praha-1", upstreams)
	b, saturated := newTraceBuilder(17), saturationRate(narrations, p, upstreams)
	b.addSteadyArrivals(lookups, 0, span, 3*upstreams)
	b.addSteadyArrivals(narrations, 0, span, 0.3*saturated)
	for at := warmup; at < span; at += 4 * time.Second {
		offset := time.Duration(b.rng.IntN(4000)) * time.Millisecond
		b.addEvent(at+offset, trace.UpstreamCold, p.Upstreams[b.rng.IntN(upstreams)].Name, "", 0)
	}
	t := b.build(carriageHeader("cold-surprise", "engines turn cold without warning again and again under short lookups", span, p))
	// Requests that run when an engine turns cold slow down under every policy, so the trace does not bound the tail.
	t.Header.Outcomes = slices.DeleteFunc(t.Header.Outcomes, func(o trace.Outcome) bool { return o.Metric == trace.MetricGapP99 })
	return t
}

// engineReclaimed has an engine that is reclaimed at short notice and replaced.
func engineReclaimed() *trace.Trace {
	const span = 240 * time.Second
	p := standardPool("praha-1", "praha-1", 4)
	b, saturated := newTraceBuilder(14), saturationRate(narrations, p, 4)
	b.addSquareLoad(0, warmup, 0.4, saturated)
	b.addSquareLoad(warmup, span, 0.95, saturated)
	b.addEvent(70*time.Second, trace.UpstreamReclaimed, p.Upstreams[2].Name, "", 15*time.Second)
	b.addEvent(170*time.Second, trace.UpstreamBack, p.Upstreams[2].Name, "", 0)
	return b.build(carriageHeader("engine-reclaimed", "an engine is reclaimed at 15 s notice and comes back cold", span, p))
}

// dataCentreMove takes one of two data centres out under load and brings it back with
// cold engines.
func dataCentreMove() *trace.Trace {
	const span = 240 * time.Second
	p, q := standardPool("praha-1", "praha-1", 4), standardPool("praha-2", "praha-2", 4)
	b, saturated := newTraceBuilder(15), saturationRate(narrations, p, 8)
	b.addSquareLoad(0, warmup, 0.3, saturated)
	b.addSquareLoad(warmup, span, 0.75, saturated)
	b.addEvent(70*time.Second, trace.DataCentreOut, "", "praha-1", 0)
	for _, u := range p.Upstreams {
		b.addEvent(149*time.Second, trace.UpstreamCold, u.Name, "", 0)
	}
	b.addEvent(150*time.Second, trace.DataCentreBack, "", "praha-1", 0)
	t := b.build(carriageHeader("data-centre-move", "a data centre leaves under load and returns with cold engines", span, p, q))
	t.Header.Outcomes = append(t.Header.Outcomes, trace.Outcome{Name: "planned-stop-cuts-nothing", Metric: trace.MetricCutOff, AtMost: boundOf(0)})
	return t
}

// overload is the workload of the overload sweep at once or twice the saturation rate.
func overload(name string, multiple int) *trace.Trace {
	const span = 180 * time.Second
	p := standardPool("praha-1", "praha-1", 4)
	b, saturated := newTraceBuilder(16), saturationRate(narrations, p, 4)
	b.addSquareLoad(0, span, 2, saturated)
	if multiple == 1 {
		// Keep every second event of the double load, so that both traces have the same workload.
		kept := b.events[:0]
		for i, e := range b.events {
			if i%2 == 0 {
				kept = append(kept, e)
			}
		}
		b.events = kept
	}
	t := b.build(carriageHeader(name, "the workload of the overload sweep; 1x is saturation", span, p))
	t.Header.WarmupMS = 2 * warmup.Milliseconds()
	if multiple == 1 {
		// At saturation the batches of least-outstanding stay small, so no policy can
		// halve its tail. The trace bounds the gap by the target itself.
		i := slices.IndexFunc(t.Header.Outcomes, func(o trace.Outcome) bool { return o.Metric == trace.MetricGapP99 })
		t.Header.Outcomes[i] = trace.Outcome{Name: "between-tokens", Metric: trace.MetricGapP95, AtMost: boundOf(float64(p.Limits.TargetStepMS))}
	}
	if multiple == 2 {
		t.Header.Outcomes = append(t.Header.Outcomes, trace.Outcome{
			Name: "overload", Metric: trace.MetricGoodput, ReferenceTrace: "overload-1x", AtLeast: boundOf(0.9),
		})
	}
	return t
}
