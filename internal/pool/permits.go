package pool

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/quarantine"
)

// cancelRepeatInterval is the interval at which an unconfirmed cancellation is repeated.
const cancelRepeatInterval = 2 * time.Second

// appendToExpiryList appends a permit to the list of live permits. All permits have the same
// term, so the list is in the order of expiry.
func (s *State) appendToExpiryList(p *permit) {
	p.prevToExpire, p.nextToExpire = s.lastToExpire, nil
	if s.lastToExpire != nil {
		s.lastToExpire.nextToExpire = p
	} else {
		s.firstToExpire = p
	}
	s.lastToExpire = p
}

func (s *State) removeFromExpiryList(p *permit) {
	if p.prevToExpire != nil {
		p.prevToExpire.nextToExpire = p.nextToExpire
	} else if s.firstToExpire == p {
		s.firstToExpire = p.nextToExpire
	}
	if p.nextToExpire != nil {
		p.nextToExpire.prevToExpire = p.prevToExpire
	} else if s.lastToExpire == p {
		s.lastToExpire = p.prevToExpire
	}
	p.prevToExpire, p.nextToExpire = nil, nil
}

func (s *State) addPermit(u *upstream, p *permit) {
	p.upstream = u
	s.permits[p.ID] = p
	s.permitsByRequest[p.RequestID] = p
	u.permits = append(u.permits, p)
	s.appendToExpiryList(p)
	if p.expectedCost-float64(p.request.PromptTokens) <= s.meanOutput {
		p.isShort = true
		u.shortCount++
	}
	if p.Alone {
		u.aloneCount++
		s.isolation.permitGranted(p)
	}
	s.quarantine.RecordDispatch(p.request.Fingerprint, u.name, p.Alone)
}

// removePermit frees the slot of a permit, whether live or being cancelled.
func (s *State) removePermit(now time.Time, p *permit) {
	if p.cancelling {
		s.cancelling = slices.DeleteFunc(s.cancelling, func(c *permit) bool { return c == p })
	} else {
		s.removeFromExpiryList(p)
	}
	delete(s.permits, p.ID)
	if s.permitsByRequest[p.RequestID] == p {
		delete(s.permitsByRequest, p.RequestID)
	}
	if p.Alone {
		p.upstream.aloneCount--
	}
	if p.isShort {
		p.upstream.shortCount--
	}
	p.upstream.removePermit(now, p)
	s.isolation.permitEnded(now, s, p)
}

// Progress renews permits and updates the speed models with the reported times.
// TakeUnknownPermits returns those that could not be renewed.
func (s *State) Progress(now time.Time, reports []Progress) {
	for _, r := range reports {
		p := s.permits[r.PermitID]
		if p == nil || p.cancelling {
			s.unknownPermits = append(s.unknownPermits, r.PermitID)
			continue
		}
		s.removeFromExpiryList(p)
		p.Expires = now.Add(s.cfg.PermitTerm)
		s.appendToExpiryList(p)
		s.applyProgress(now, p, r)
	}
}

// TakeUnknownPermits returns and clears the permits of past Progress calls that are
// unknown or no longer valid, so that their holders stop using them or register them.
func (s *State) TakeUnknownPermits() []uint64 {
	out := s.unknownPermits
	s.unknownPermits = nil
	return out
}

func (s *State) applyProgress(now time.Time, p *permit, r Progress) {
	u := p.upstream
	if r.Tokens > p.tokens {
		p.tokens, p.lastTokenAt = r.Tokens, now
		u.profileStale = true
		if u.unverified && u.hasReport {
			u.countUnknown()
		}
	}
	if p.startedAt.IsZero() && (r.Tokens > 0 || r.FirstToken > 0) {
		p.startedAt = now
		if r.FirstToken > 0 {
			u.coldTracker.ObserveFirstToken(now, normaliseFirstToken(r.FirstToken, p.request.PromptTokens))
		}
	}
	if r.StepTime <= 0 {
		return
	}
	p.meanStep = r.StepTime
	if step := u.observeStep(now, r.StepTime); step > 0 {
		batch, memory := u.batchSize()
		if !u.coldTracker.AwaitingWarmReport() {
			// Steps of a cold engine would distort the model of the warm one.
			u.stepModel.Observe(batch, memory, step)
		}
		u.coldTracker.ObserveStep(now, step)
	}
}

// firstTokenBaseTokens and firstTokenReferenceTokens scale the time to the first token
// to a common prompt length, so that long prompts do not look like a cold upstream.
const (
	firstTokenBaseTokens      = 1024
	firstTokenReferenceTokens = 2048
)

func normaliseFirstToken(d time.Duration, promptTokens int) time.Duration {
	return time.Duration(float64(d) * firstTokenReferenceTokens / float64(firstTokenBaseTokens+promptTokens))
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
	s.queue.CorrectCost(p.request.Account, p.request.Priority, actual-p.expectedCost)
	switch outcome {
	case Completed:
		p.completed = true
		s.lengths.Observe(lengthKey(&p.request), tokens)
		u.coldTracker.RecordCompletion(u.coldTracker.IsNormalStep(p.meanStep, s.pool.Limits.TargetStep))
		if s.quarantine.RecordSuccess(fingerprint, u.name) {
			s.notices = append(s.notices, quarantine.Notice{Fingerprint: fingerprint, Cleared: true})
		}
	case UpstreamLost:
		// The upstream may still run the request: its slot stays in use until Lose, the
		// confirmed cancellation or a newer report.
		u.coldTracker.MarkCold(now)
		if !p.broken {
			p.broken = true
			s.recordBrokenRun(now, p)
		}
		s.cancelPermit(now, p)
		return
	case Refused:
		u.pausedUntil = now.Add(refusalPauseDuration)
		s.quarantine.RecordEnd(fingerprint, u.name)
	default:
		s.quarantine.RecordEnd(fingerprint, u.name)
	}
	s.removePermit(now, p)
}

func (s *State) cancelPermit(now time.Time, p *permit) {
	if p.cancelling {
		return
	}
	p.cancelling, p.cancelStartedAt = true, now
	s.removeFromExpiryList(p)
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
		s.quarantine.RecordEnd(p.request.Fingerprint, p.upstream.name)
	}
	s.removePermit(now, p)
}

// expirePermits cancels permits whose holder stopped reporting and repeats unconfirmed cancellations.
func (s *State) expirePermits(now time.Time) {
	for s.firstToExpire != nil && !now.Before(s.firstToExpire.Expires) {
		s.cancelPermit(now, s.firstToExpire)
	}
	for _, p := range s.cancelling {
		if now.Sub(p.cancelSentAt) >= cancelRepeatInterval {
			s.sendCancel(now, p)
		}
	}
}

func (s *State) sendCancel(now time.Time, p *permit) {
	p.cancelSentAt = now
	s.commands = append(s.commands, CancelAtUpstream{PermitID: p.ID, RequestID: p.RequestID, Upstream: p.upstream.name})
}

// Report applies an upstream's load report.
func (s *State) Report(now time.Time, r Report) {
	u := s.upstream(r.Upstream)
	if u == nil {
		return
	}
	takenAt := now.Add(-r.Age)
	if u.hasReport && takenAt.Before(u.reportTakenAt) {
		return
	}
	if r.Incarnation != "" && u.incarnation != "" && r.Incarnation != u.incarnation {
		s.handleRestart(now, u)
	} else {
		s.clearBrokenRuns(u, takenAt)
	}
	u.applyReport(now, r, s.reservedForDeputy())
	s.freeEndedCancellations(now, u)
	s.checkReserveFree(u)
}

// handleRestart ends the permits that were running before the upstream's previous
// report. Later ones may already run on the new incarnation; their holders report on
// them.
func (s *State) handleRestart(now time.Time, u *upstream) {
	u.coldTracker.Reset(now)
	if u.prefixes != nil {
		u.prefixes.Clear()
	}
	if !u.down {
		s.endPermits(now, u, func(p *permit) bool { return !p.startedAt.IsZero() && p.startedAt.Before(u.reportTakenAt) })
	}
}

// Lose records that an upstream was lost with all requests that ran on it.
func (s *State) Lose(now time.Time, name string) { s.LoseIncarnation(now, name, "") }

// LoseIncarnation is like Lose, but has no effect when the upstream is known to run
// another incarnation already. Several daemons may report the same loss.
func (s *State) LoseIncarnation(now time.Time, name, incarnation string) {
	u := s.upstream(name)
	if u == nil || u.down || incarnation != "" && u.incarnation != "" && incarnation != u.incarnation {
		return
	}
	u.coldTracker.MarkCold(now)
	u.down, u.lostAt = true, now
	s.endPermits(now, u, func(*permit) bool { return true })
}

func (s *State) endPermits(now time.Time, u *upstream, ends func(*permit) bool) {
	s.countBrokenAsLost(u)
	kept := make([]*permit, 0, len(u.permits))
	for _, p := range append([]*permit(nil), u.permits...) {
		if ends(p) {
			s.removePermit(now, p)
		} else {
			kept = append(kept, p)
			if !p.broken {
				s.quarantine.RecordEnd(p.request.Fingerprint, u.name) // not lost, so not counted with the loss
			}
		}
	}
	u.lossExpected = u.leaving || u.report.Leaving
	s.notices = append(s.notices, s.quarantine.RecordLoss(now, u.name, u.lossExpected)...)
	for _, p := range kept {
		if p.broken {
			continue // already counted with the loss
		}
		s.quarantine.RecordDispatch(p.request.Fingerprint, u.name, p.Alone)
	}
	// The ended permits ran on the lost incarnation; reports of the next one do not
	// include them.
	u.endedPermits = u.endedPermits[:0]
	u.unknownRunning = 0
	u.reserveFree = !s.sendsReports()
	u.markUnverified()
}
