package pool

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/quarantine"
)

// cancelRepeat is the interval at which an unconfirmed cancellation is repeated.
const cancelRepeat = 2 * time.Second

// link appends a permit to the list of live permits. All permits have the same
// term, so the list is in the order of expiry.
func (s *State) link(p *permit) {
	p.older, p.newer = s.newest, nil
	if s.newest != nil {
		s.newest.newer = p
	} else {
		s.oldest = p
	}
	s.newest = p
}

func (s *State) unlink(p *permit) {
	if p.older != nil {
		p.older.newer = p.newer
	} else if s.oldest == p {
		s.oldest = p.newer
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else if s.newest == p {
		s.newest = p.older
	}
	p.older, p.newer = nil, nil
}

func (s *State) add(u *upstream, p *permit) {
	p.upstream = u
	s.permits[p.ID] = p
	s.requests[p.RequestID] = p
	u.permits = append(u.permits, p)
	s.link(p)
	if p.expected-float64(p.request.PromptTokens) <= s.meanOutput {
		p.short = true
		u.short++
	}
	if p.Alone {
		u.alone++
		s.isolation.begin(p)
	}
	s.quarantine.Dispatched(p.request.Fingerprint, u.name, p.Alone)
}

// drop removes a permit and frees its slot.
func (s *State) drop(now time.Time, p *permit) {
	if p.cancelling {
		s.cancelling = slices.DeleteFunc(s.cancelling, func(c *permit) bool { return c == p })
	} else {
		s.unlink(p)
	}
	delete(s.permits, p.ID)
	if s.requests[p.RequestID] == p {
		delete(s.requests, p.RequestID)
	}
	if p.Alone {
		p.upstream.alone--
	}
	if p.short {
		p.upstream.short--
	}
	p.upstream.remove(now, p)
	s.isolation.ended(now, s, p)
}

// Progress renews permits and learns from their speed. Unknown returns those
// that could not be renewed.
func (s *State) Progress(now time.Time, reports []Progress) {
	for _, r := range reports {
		p := s.permits[r.PermitID]
		if p == nil || p.cancelling {
			s.unknown = append(s.unknown, r.PermitID)
			continue
		}
		s.unlink(p)
		p.Expires = now.Add(s.cfg.PermitTerm)
		s.link(p)
		s.progress(now, p, r)
	}
}

// Unknown returns and forgets the permits of past Progress calls that are unknown
// or no longer valid, so that their holders stop using them or register them.
func (s *State) Unknown() []uint64 {
	out := s.unknown
	s.unknown = nil
	return out
}

func (s *State) progress(now time.Time, p *permit, r Progress) {
	u := p.upstream
	if r.Tokens > p.tokens {
		p.tokens, p.grew = r.Tokens, now
		u.stale = true
		if u.doubt && u.hasReport {
			u.countUnknown()
		}
	}
	if p.started.IsZero() && (r.Tokens > 0 || r.FirstToken > 0) {
		p.started = now
		if r.FirstToken > 0 {
			u.tracker.FirstToken(now, normalFirst(r.FirstToken, p.request.PromptTokens))
		}
	}
	if r.StepTime <= 0 {
		return
	}
	p.meanStep = r.StepTime
	if step := u.observe(now, r.StepTime); step > 0 {
		batch, memory := u.batch()
		if !u.tracker.Awaiting() {
			// A cold engine's steps would distort what is known of the warm one.
			u.model.Observe(batch, memory, step)
		}
		u.tracker.Step(now, step)
	}
}

// firstTokenBase and firstTokenPrompt relate the time to the first token to the
// length of the prompt, so that long prompts do not look like a cold upstream.
const (
	firstTokenBase   = 1024
	firstTokenPrompt = 2048
)

func normalFirst(d time.Duration, promptTokens int) time.Duration {
	return time.Duration(float64(d) * firstTokenPrompt / float64(firstTokenBase+promptTokens))
}

// Release ends a permit. tokens is the number of output tokens produced.
func (s *State) Release(now time.Time, permitID uint64, outcome Outcome, tokens int) {
	p := s.permits[permitID]
	if p == nil {
		return
	}
	u, fingerprint := p.upstream, p.request.Fingerprint
	actual := 0.0
	if outcome != Refused && outcome != NeverSent {
		actual = float64(p.request.PromptTokens + tokens)
	}
	s.queue.Correct(p.request.Account, p.request.Priority, actual-p.expected)
	switch outcome {
	case Completed:
		p.completed = true
		s.lengths.Observe(keyOf(&p.request), tokens)
		u.tracker.Completed(u.tracker.Normal(p.meanStep, s.pool.Limits.TargetStep))
		if s.quarantine.Succeeded(fingerprint, u.name) {
			s.notices = append(s.notices, quarantine.Notice{Fingerprint: fingerprint, Cleared: true})
		}
	case UpstreamLost:
		// The upstream may still run the request: the slot stays taken until Lose,
		// the confirmed cancellation or a newer report.
		u.tracker.Turn(now)
		if !p.broken {
			p.broken = true
			s.noteBroken(now, p)
		}
		s.cancel(now, p)
		return
	case Refused:
		u.pausedTil = now.Add(refusalPause)
		s.quarantine.Ended(fingerprint, u.name)
	default:
		s.quarantine.Ended(fingerprint, u.name)
	}
	s.drop(now, p)
}

func (s *State) cancel(now time.Time, p *permit) {
	if p.cancelling {
		return
	}
	p.cancelling, p.cancelSince = true, now
	s.unlink(p)
	s.cancelling = append(s.cancelling, p)
	s.sendCancel(now, p)
}

// ConfirmCancelled frees the slot of a permit that was cancelled at its upstream.
func (s *State) ConfirmCancelled(now time.Time, permitID uint64) {
	p := s.permits[permitID]
	if p == nil || !p.cancelling {
		return
	}
	if !p.broken {
		s.quarantine.Ended(p.request.Fingerprint, p.upstream.name)
	}
	s.drop(now, p)
}

// expire cancels permits whose holder stopped reporting and repeats unconfirmed cancellations.
func (s *State) expire(now time.Time) {
	for s.oldest != nil && !now.Before(s.oldest.Expires) {
		s.cancel(now, s.oldest)
	}
	for _, p := range s.cancelling {
		if now.Sub(p.cancelSent) >= cancelRepeat {
			s.sendCancel(now, p)
		}
	}
}

func (s *State) sendCancel(now time.Time, p *permit) {
	p.cancelSent = now
	s.pending = append(s.pending, CancelAtUpstream{PermitID: p.ID, RequestID: p.RequestID, Upstream: p.upstream.name})
}

// Report applies an upstream's load report.
func (s *State) Report(now time.Time, r Report) {
	u := s.upstream(r.Upstream)
	if u == nil {
		return
	}
	taken := now.Add(-r.Age)
	if u.hasReport && taken.Before(u.reportTaken) {
		return
	}
	if r.Incarnation != "" && u.incarnation != "" && r.Incarnation != u.incarnation {
		s.restarted(now, u)
	} else {
		s.clearBroken(u, taken)
	}
	u.applyReport(now, r, s.reserve())
	s.proveEnded(now, u)
	s.proveReserve(u)
}

// restarted ends the permits that ran before the upstream's previous report.
// Later ones may run on the new incarnation already; their holders report on them.
func (s *State) restarted(now time.Time, u *upstream) {
	u.tracker.Forget(now)
	if u.prefixes != nil {
		u.prefixes.Clear()
	}
	if !u.down {
		s.endAll(now, u, func(p *permit) bool { return !p.started.IsZero() && p.started.Before(u.reportTaken) })
	}
}

// Lose records that an upstream was lost with everything that ran on it.
func (s *State) Lose(now time.Time, name string) { s.LoseIncarnation(now, name, "") }

// LoseIncarnation is like Lose, but has no effect when the upstream is known to
// run another incarnation already. Several daemons may report the same loss.
func (s *State) LoseIncarnation(now time.Time, name, incarnation string) {
	u := s.upstream(name)
	if u == nil || u.down || incarnation != "" && u.incarnation != "" && incarnation != u.incarnation {
		return
	}
	u.tracker.Turn(now)
	u.down, u.lostAt = true, now
	s.endAll(now, u, func(*permit) bool { return true })
}

func (s *State) endAll(now time.Time, u *upstream, ends func(*permit) bool) {
	s.countBroken(u)
	kept := make([]*permit, 0, len(u.permits))
	for _, p := range append([]*permit(nil), u.permits...) {
		if ends(p) {
			s.drop(now, p)
		} else {
			kept = append(kept, p)
			if !p.broken {
				s.quarantine.Ended(p.request.Fingerprint, u.name) // not part of what was lost
			}
		}
	}
	s.notices = append(s.notices, s.quarantine.Lost(now, u.name, u.leaving || u.report.Leaving)...)
	for _, p := range kept {
		if p.broken {
			continue // counted with the loss
		}
		s.quarantine.Dispatched(p.request.Fingerprint, u.name, p.Alone)
	}
	// The ended permits ran on what was lost; a report of what runs now does not include them.
	u.ended = u.ended[:0]
	u.unknown = 0
	u.proven = !s.needsReports()
	u.distrust()
}
