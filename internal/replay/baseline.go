package replay

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// The names of the policies.
const (
	RoundRobin       = "round-robin"
	LeastOutstanding = "least-outstanding"
	FixedConcurrency = "fixed-concurrency"
	WorstCase        = "worst-case-reservation"
	Ideal            = "ideal"
	Rattanscale      = "rattanscale"
)

// Baselines returns the baselines by name.
func Baselines() map[string]Factory {
	return map[string]Factory{
		RoundRobin:       func(*trace.Trace, uint64) Policy { return &immediate{fleet: newFleet(), rotate: true} },
		LeastOutstanding: func(*trace.Trace, uint64) Policy { return &immediate{fleet: newFleet()} },
		FixedConcurrency: func(*trace.Trace, uint64) Policy { return &queued{fleet: newFleet()} },
		WorstCase:        func(*trace.Trace, uint64) Policy { return &queued{fleet: newFleet(), reserve: true} },
		Ideal:            newIdeal,
	}
}

// immediate sends each request at once, in rotation or to the upstream with the
// fewest outstanding requests. The engines queue what they cannot run.
type immediate struct {
	fleet
	rotate  bool
	next    int
	pending []pool.Request
}

// Acquire implements Decider.
func (p *immediate) Acquire(_ time.Time, r pool.Request) { p.pending = append(p.pending, r) }

// Decide implements Decider. Without a usable upstream requests wait until their deadline.
func (p *immediate) Decide(now time.Time) []pool.Command {
	var commands []pool.Command
	var kept []pool.Request
	for _, r := range p.pending {
		switch m := p.pick(); {
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

func (p *immediate) pick() *member {
	if !p.rotate {
		return p.least(nil)
	}
	for range p.members {
		m := p.members[p.next%len(p.members)]
		p.next++
		if m.usable() {
			return m
		}
	}
	return nil
}

func expired(r pool.Request, now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.Deadline)
}

// queued keeps a queue in order of arrival before the engines. Each upstream runs
// at most max-requests; with reserve also only what fits its memory if every
// request reaches its maximum length.
type queued struct {
	fleet
	reserve bool
	queue   []pool.Request
}

// Acquire implements Decider.
func (p *queued) Acquire(_ time.Time, r pool.Request) { p.queue = append(p.queue, r) }

// Decide implements Decider.
func (p *queued) Decide(now time.Time) []pool.Command {
	var commands []pool.Command
	kept := p.queue[:0]
	blocked := false
	for _, r := range p.queue {
		if expired(r, now) {
			commands = append(commands, pool.Refuse{RequestID: r.ID, Reason: pool.ReasonDeadline})
			continue
		}
		if !blocked {
			if m, need := p.room(r); m != nil {
				commands = append(commands, p.grant(now, r, m, need))
				continue
			}
			blocked = true
		}
		kept = append(kept, r)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return commands
}

func (p *queued) room(r pool.Request) (*member, int) {
	need := 0
	if p.reserve {
		need = r.PromptTokens + r.MaxTokens
	}
	return p.least(func(m *member) bool {
		if m.running >= m.limits.MaxRequests {
			return false
		}
		// A request larger than the whole memory runs alone.
		return need == 0 || m.limits.MemoryTokens == 0 || m.running == 0 || m.reserved+need <= m.limits.MemoryTokens
	}), need
}
