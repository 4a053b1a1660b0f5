package replay

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// Names of the policies in commands, traces and results.
const (
	RoundRobin           = "round-robin"
	LeastOutstanding     = "least-outstanding"
	FixedConcurrency     = "fixed-concurrency"
	WorstCaseReservation = "worst-case-reservation"
	Ideal                = "ideal"
	Rattanscale          = "rattanscale"
)

// Baselines returns the policies with which rattanscale is compared, by name.
func Baselines() map[string]PolicyFactory {
	return map[string]PolicyFactory{
		RoundRobin: func(*trace.Trace, uint64) Policy {
			return &immediatePolicy{upstreamTracker: newUpstreamTracker(), rotate: true}
		},
		LeastOutstanding: func(*trace.Trace, uint64) Policy { return &immediatePolicy{upstreamTracker: newUpstreamTracker()} },
		FixedConcurrency: func(*trace.Trace, uint64) Policy { return &queuedPolicy{upstreamTracker: newUpstreamTracker()} },
		WorstCaseReservation: func(*trace.Trace, uint64) Policy {
			return &queuedPolicy{upstreamTracker: newUpstreamTracker(), reserveMemory: true}
		},
		Ideal: newIdealScheduler,
	}
}

// immediatePolicy sends each request at once, in rotation or to the upstream with the
// fewest outstanding requests. The engines queue what they cannot run.
type immediatePolicy struct {
	upstreamTracker
	rotate    bool
	nextIndex int
	pending   []pool.Request
}

// Acquire implements Decider.
func (p *immediatePolicy) Acquire(_ time.Time, r pool.Request) { p.pending = append(p.pending, r) }

// Decide implements Decider. Without a usable upstream requests wait until their deadline.
func (p *immediatePolicy) Decide(now time.Time) []pool.Command {
	var commands []pool.Command
	var kept []pool.Request
	for _, r := range p.pending {
		switch m := p.selectUpstream(); {
		case m != nil:
			commands = append(commands, p.grant(now, r, m, 0))
		case expired(r, now):
			commands = append(commands, pool.Refuse{RequestID: r.ID, Reason: pool.ReasonNoUpstream})
		default:
			kept = append(kept, r)
		}
	}
	p.pending = kept
	return commands
}

func (p *immediatePolicy) selectUpstream() *trackedUpstream {
	if !p.rotate {
		return p.leastLoaded(nil)
	}
	for range p.upstreams {
		tracked := p.upstreams[p.nextIndex%len(p.upstreams)]
		p.nextIndex++
		if tracked.usable() {
			return tracked
		}
	}
	return nil
}

func expired(r pool.Request, now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.Deadline)
}

// queuedPolicy keeps a first-in, first-out queue in front of the engines. Each upstream
// runs at most max-requests requests. With reserveMemory, it runs only requests that
// fit its memory even if each reaches its maximum length.
type queuedPolicy struct {
	upstreamTracker
	reserveMemory bool
	queue         []pool.Request
}

// Acquire implements Decider.
func (p *queuedPolicy) Acquire(_ time.Time, r pool.Request) { p.queue = append(p.queue, r) }

// Decide implements Decider.
func (p *queuedPolicy) Decide(now time.Time) []pool.Command {
	var commands []pool.Command
	kept := p.queue[:0]
	headBlocked := false
	for _, r := range p.queue {
		if expired(r, now) {
			commands = append(commands, pool.Refuse{RequestID: r.ID, Reason: pool.ReasonDeadline})
			continue
		}
		if !headBlocked {
			if m, reservation := p.findUpstream(r); m != nil {
				commands = append(commands, p.grant(now, r, m, reservation))
				continue
			}
			headBlocked = true
		}
		kept = append(kept, r)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return commands
}

// findUpstream returns an upstream that can run the request, or nil, and the memory to
// reserve in tokens.
func (p *queuedPolicy) findUpstream(r pool.Request) (*trackedUpstream, int) {
	reservation := 0
	if p.reserveMemory {
		reservation = r.PromptTokens + r.MaxTokens
	}
	return p.leastLoaded(func(m *trackedUpstream) bool {
		if m.runningRequests >= m.limits.MaxRequests {
			return false
		}
		// A request larger than the whole memory runs alone.
		return reservation == 0 || m.limits.MemoryTokens == 0 || m.runningRequests == 0 || m.reservedTokens+reservation <= m.limits.MemoryTokens
	}), reservation
}
