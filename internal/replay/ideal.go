package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// noiseMargin is the number of standard deviations of the step time that the
// ideal scheduler leaves below the target.
const noiseMargin = 2

// memoryMargin is the part of the memory that the ideal scheduler plans with. The
// rest covers prompts whose processing is delayed, which shifts the peak.
const memoryMargin = 0.97

// idealScheduler knows the true output lengths, the parameters of the engines and
// when they turn cold. It shows what is feasible on a trace.
type idealScheduler struct {
	fleet
	output  map[string]int
	engines map[string]trace.Engine
	colds   []trace.Event // sorted by time
	cold    map[string]bool
	// changed is the time at which the upstream last turned cold; earlier reports are ignored.
	changed map[string]time.Time
	queue   []pool.Request
	// stale is set when a decision may differ from the last one, unsorted when
	// requests were added to the queue.
	stale, unsorted bool
	// nextExpiry is the earliest deadline in the queue at the last decision.
	nextExpiry time.Time
}

// maxMisses bounds the requests tried in one decision once some did not fit.
const maxMisses = 8

func newIdeal(t *trace.Trace, _ uint64) Policy {
	p := &idealScheduler{
		fleet: newFleet(), output: map[string]int{}, engines: map[string]trace.Engine{},
		cold: map[string]bool{}, changed: map[string]time.Time{},
	}
	for _, tp := range t.Header.Pools {
		for _, u := range tp.Upstreams {
			p.engines[u.Name], p.cold[u.Name] = u.Engine, u.Engine.StartsCold
		}
	}
	for _, e := range t.Events {
		switch e.Kind {
		case trace.Arrive:
			p.output[e.Arrival.ID] = e.Arrival.OutputTokens
		case trace.UpstreamCold, trace.UpstreamBack:
			p.colds = append(p.colds, e)
		}
	}
	return p
}

// Acquire implements Decider.
func (p *idealScheduler) Acquire(_ time.Time, r pool.Request) {
	p.queue, p.stale, p.unsorted = append(p.queue, r), true, true
}

// Release implements Decider.
func (p *idealScheduler) Release(now time.Time, permitID uint64, o pool.Outcome, tokens int) {
	p.fleet.Release(now, permitID, o, tokens)
	p.stale = true
}

// Progress implements Decider.
func (p *idealScheduler) Progress(now time.Time, progress []pool.Progress) {
	p.fleet.Progress(now, progress)
	p.stale = true
}

// Report implements Decider.
func (p *idealScheduler) Report(now time.Time, r pool.Report) {
	p.fleet.Report(now, r)
	p.turn(now)
	p.stale = true
	if !now.Add(-r.Age).Before(p.changed[r.Upstream]) {
		p.cold[r.Upstream] = r.Cold
	}
}

// turn applies the cold events up to now.
func (p *idealScheduler) turn(now time.Time) {
	for len(p.colds) > 0 && !epoch.Add(p.colds[0].At()).After(now) {
		p.cold[p.colds[0].Upstream] = true
		p.changed[p.colds[0].Upstream] = epoch.Add(p.colds[0].At())
		p.colds = p.colds[1:]
	}
}

// Decide implements Decider. Requests go by priority, then by finishing time, and
// among those with the same finishing time the longest first, which shortens the whole.
func (p *idealScheduler) Decide(now time.Time) []pool.Command {
	p.turn(now)
	if !p.stale && (p.nextExpiry.IsZero() || !now.After(p.nextExpiry)) {
		return nil
	}
	p.sort()
	var commands []pool.Command
	kept := p.queue[:0]
	misses := 0
	if !p.stale {
		misses = maxMisses
	}
	p.stale, p.nextExpiry = false, time.Time{}
	for _, r := range p.queue {
		if expired(r, now) {
			commands = append(commands, pool.Refuse{RequestID: r.ID, Reason: pool.ReasonDeadline})
			continue
		}
		if misses < maxMisses {
			if m := p.least(func(m *member) bool { return p.fits(m, r) }); m != nil {
				commands = append(commands, p.grant(now, r, m, 0))
				continue
			}
			misses++
		}
		if !r.Deadline.IsZero() && (p.nextExpiry.IsZero() || r.Deadline.Before(p.nextExpiry)) {
			p.nextExpiry = r.Deadline
		}
		kept = append(kept, r)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return commands
}

func (p *idealScheduler) sort() {
	if !p.unsorted {
		return
	}
	p.unsorted = false
	slices.SortStableFunc(p.queue, func(a, b pool.Request) int {
		if c := cmp.Or(cmp.Compare(b.Priority, a.Priority), compareFinish(a.FinishBy, b.FinishBy)); c != 0 || a.FinishBy.IsZero() {
			return c
		}
		return cmp.Compare(p.output[b.ID], p.output[a.ID])
	})
}

func compareFinish(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return -1
		}
		return 1
	}
	return a.Compare(b)
}

func (p *idealScheduler) slots(m *member) bool {
	if p.cold[m.name] {
		return m.running < p.engines[m.name].ColdRequests
	}
	e := p.engines[m.name]
	return m.running < e.MaxBatch && p.step(e, m.running+1, 0) <= m.limits.TargetStep
}

func (p *idealScheduler) step(e trace.Engine, batch, memory int) time.Duration {
	us := e.BaseUS + e.PerRequestUS*float64(batch) + e.PerThousandUS*float64(memory)/1000 +
		e.PrefillPerTokenUS*float64(e.PrefillChunk)
	return time.Duration(us * (1 + noiseMargin*e.Noise) * float64(time.Microsecond))
}

// fits reports whether the upstream can run the request beside the others without
// a preemption and within the target time between tokens.
func (p *idealScheduler) fits(m *member, r pool.Request) bool {
	if !p.slots(m) {
		return false
	}
	e := p.engines[m.name]
	type use struct{ held, left int }
	uses := []use{{r.PromptTokens, p.output[r.ID]}}
	for _, g := range m.grants {
		uses = append(uses, use{g.request.PromptTokens + g.tokens, p.output[g.request.ID] - g.tokens})
	}
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(b.left, a.left) })
	// Memory peaks when a request completes: then the i requests with more left
	// have each grown by the tokens that it had left.
	held, peak := 0, 0
	for i, u := range uses {
		held += u.held
		peak = max(peak, held+(i+1)*u.left)
	}
	return float64(peak) <= memoryMargin*float64(e.MemoryTokens) && p.step(e, len(uses), peak) <= m.limits.TargetStep
}
