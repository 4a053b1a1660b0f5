package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// noiseMarginDeviations is the margin that the ideal scheduler keeps below the target
// step time, in standard deviations of the step time.
const noiseMarginDeviations = 2

// plannedMemoryShare is the share of the memory that the ideal scheduler fills. The rest
// covers prompts whose processing is delayed, which shifts the peak.
const plannedMemoryShare = 0.97

// idealScheduler knows the true output lengths, the parameters of the engines and
// when they turn cold. It shows what is feasible on a trace.
type idealScheduler struct {
	upstreamTracker
	outputTokens     map[string]int
	engineByUpstream map[string]trace.Engine
	coldEvents       []trace.Event // sorted by time
	coldByUpstream   map[string]bool
	// turnedColdAt is the time at which the upstream last turned cold; earlier reports are ignored.
	turnedColdAt map[string]time.Time
	queue        []pool.Request
	// decisionDue is set when a decision may differ from the last one, unsorted when
	// requests were added to the queue since it was sorted.
	decisionDue, unsorted bool
	// nextDeadline is the earliest deadline in the queue at the last decision.
	nextDeadline time.Time
}

// maxFailedPlacements bounds the requests in one decision that find no upstream; the
// rest of the queue is not tried.
const maxFailedPlacements = 8

func newIdealScheduler(t *trace.Trace, _ uint64) Policy {
	p := &idealScheduler{
		upstreamTracker: newUpstreamTracker(), outputTokens: map[string]int{}, engineByUpstream: map[string]trace.Engine{},
		coldByUpstream: map[string]bool{}, turnedColdAt: map[string]time.Time{},
	}
	for _, tp := range t.Header.Pools {
		for _, u := range tp.Upstreams {
			p.engineByUpstream[u.Name], p.coldByUpstream[u.Name] = u.Engine, u.Engine.StartsCold
		}
	}
	for _, e := range t.Events {
		switch e.Kind {
		case trace.Arrive:
			p.outputTokens[e.Arrival.ID] = e.Arrival.OutputTokens
		case trace.UpstreamCold, trace.UpstreamBack:
			p.coldEvents = append(p.coldEvents, e)
		}
	}
	return p
}

// Acquire implements Decider.
func (p *idealScheduler) Acquire(_ time.Time, r pool.Request) {
	p.queue, p.decisionDue, p.unsorted = append(p.queue, r), true, true
}

// Release implements Decider.
func (p *idealScheduler) Release(now time.Time, permitID uint64, o pool.Outcome, tokens int) {
	p.upstreamTracker.Release(now, permitID, o, tokens)
	p.decisionDue = true
}

// Progress implements Decider.
func (p *idealScheduler) Progress(now time.Time, progress []pool.Progress) {
	p.upstreamTracker.Progress(now, progress)
	p.decisionDue = true
}

// Report implements Decider.
func (p *idealScheduler) Report(now time.Time, r pool.Report) {
	p.upstreamTracker.Report(now, r)
	p.applyColdEvents(now)
	p.decisionDue = true
	if !now.Add(-r.Age).Before(p.turnedColdAt[r.Upstream]) {
		p.coldByUpstream[r.Upstream] = r.Cold
	}
}

// applyColdEvents applies the cold events up to now.
func (p *idealScheduler) applyColdEvents(now time.Time) {
	for len(p.coldEvents) > 0 && !virtualEpoch.Add(p.coldEvents[0].At()).After(now) {
		p.coldByUpstream[p.coldEvents[0].Upstream] = true
		p.turnedColdAt[p.coldEvents[0].Upstream] = virtualEpoch.Add(p.coldEvents[0].At())
		p.coldEvents = p.coldEvents[1:]
	}
}

// Decide implements Decider. Requests are granted by priority, then by finishing time.
// Among those with the same finishing time the longest comes first, which shortens the
// time until all are finished.
func (p *idealScheduler) Decide(now time.Time) []pool.Command {
	p.applyColdEvents(now)
	if !p.decisionDue && (p.nextDeadline.IsZero() || !now.After(p.nextDeadline)) {
		return nil
	}
	p.sortQueue()
	var commands []pool.Command
	kept := p.queue[:0]
	failedPlacements := 0
	if !p.decisionDue {
		failedPlacements = maxFailedPlacements
	}
	p.decisionDue, p.nextDeadline = false, time.Time{}
	for _, r := range p.queue {
		if expired(r, now) {
			commands = append(commands, pool.Refuse{RequestID: r.ID, Reason: pool.ReasonDeadline})
			continue
		}
		if failedPlacements < maxFailedPlacements {
			if m := p.leastLoaded(func(m *trackedUpstream) bool { return p.fits(m, r) }); m != nil {
				commands = append(commands, p.grant(now, r, m, 0))
				continue
			}
			failedPlacements++
		}
		if !r.Deadline.IsZero() && (p.nextDeadline.IsZero() || r.Deadline.Before(p.nextDeadline)) {
			p.nextDeadline = r.Deadline
		}
		kept = append(kept, r)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return commands
}

func (p *idealScheduler) sortQueue() {
	if !p.unsorted {
		return
	}
	p.unsorted = false
	slices.SortStableFunc(p.queue, func(a, b pool.Request) int {
		if c := cmp.Or(cmp.Compare(b.Priority, a.Priority), compareFinishBy(a.FinishBy, b.FinishBy)); c != 0 || a.FinishBy.IsZero() {
			return c
		}
		return cmp.Compare(p.outputTokens[b.ID], p.outputTokens[a.ID])
	})
}

func compareFinishBy(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return -1
		}
		return 1
	}
	return a.Compare(b)
}

func (p *idealScheduler) hasSlot(tracked *trackedUpstream) bool {
	if p.coldByUpstream[tracked.name] {
		return tracked.runningRequests < p.engineByUpstream[tracked.name].ColdRequests
	}
	e := p.engineByUpstream[tracked.name]
	return tracked.runningRequests < e.MaxBatch && p.stepTime(e, tracked.runningRequests+1, 0) <= tracked.limits.TargetStep
}

func (p *idealScheduler) stepTime(e trace.Engine, batch, memory int) time.Duration {
	us := e.BaseUS + e.PerRequestUS*float64(batch) + e.PerThousandTokensUS*float64(memory)/1000 +
		e.PrefillPerTokenUS*float64(e.PrefillChunk)
	return time.Duration(us * (1 + noiseMarginDeviations*e.Noise) * float64(time.Microsecond))
}

// fits reports whether the upstream can run the request in addition to the running
// ones without a preemption and within the target time between tokens.
func (p *idealScheduler) fits(tracked *trackedUpstream, r pool.Request) bool {
	if !p.hasSlot(tracked) {
		return false
	}
	e := p.engineByUpstream[tracked.name]
	type memoryUse struct{ heldTokens, remainingTokens int }
	uses := []memoryUse{{r.PromptTokens, p.outputTokens[r.ID]}}
	for _, g := range tracked.permits {
		uses = append(uses, memoryUse{g.request.PromptTokens + g.producedTokens, p.outputTokens[g.request.ID] - g.producedTokens})
	}
	slices.SortFunc(uses, func(a, b memoryUse) int { return cmp.Compare(b.remainingTokens, a.remainingTokens) })
	// Memory peaks when a request completes. By then it and the i requests with more
	// remaining tokens have each grown by the tokens that it had remaining.
	held, peak := 0, 0
	for i, u := range uses {
		held += u.heldTokens
		peak = max(peak, held+(i+1)*u.remainingTokens)
	}
	return float64(peak) <= plannedMemoryShare*float64(e.MemoryTokens) && p.stepTime(e, len(uses), peak) <= tracked.limits.TargetStep
}
