package pool

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// StartEpoch starts a new epoch for this owner or deputy: nothing is granted before
// until. The reconciliation that follows lasts until FinishReconciliation is called or
// the permit term has passed. During it, the running counts follow the upstreams' own
// reports where those are higher, and limits are at most the cold limit.
func (s *State) StartEpoch(now, until time.Time) {
	s.epochStart, s.holdUntil = now, until
	s.reconcileUntil = now.Add(s.cfg.PermitTerm)
	if s.reconcileUntil.Before(until) {
		s.reconcileUntil = until
	}
	s.reconciling = true
	for _, u := range s.upstreams {
		u.reserveFree = false
		u.assumedUntil = until.Add(dispatchTimeout)
		u.markUnverified()
	}
}

// RecordDeputyChange records a change of the deputy; the previous one may grant until the
// given time. That deputy's reserve counts as used until a report taken after that time shows
// the actual load.
func (s *State) RecordDeputyChange(_, until time.Time) {
	for _, u := range s.upstreams {
		u.assumedUnknown = DeputyReserve(s.pool.Limits)
		u.assumedUntil = until.Add(dispatchTimeout)
		u.markUnverified()
	}
}

// FinishReconciliation ends the reconciliation of a new epoch: every member of the
// previous view has registered its permits, or the previous owner handed over its
// running set. An upstream that sends load reports still receives nothing before a
// report taken after the hold, because requests whose holder failed are known only to the
// upstream.
func (s *State) FinishReconciliation(_ time.Time) {
	s.reconciling = false
}

// Adopt registers running permits that a previous owner issued. Registering a permit
// again updates it. A permit of an upstream that is not in the pool is ignored.
func (s *State) Adopt(now time.Time, permits []AdoptedPermit) {
	for _, a := range permits {
		u := s.upstream(a.Permit.Upstream)
		if u == nil {
			continue
		}
		if p := s.permits[a.Permit.ID]; p != nil {
			p.tokens = max(p.tokens, a.Tokens)
			u.profileStale = true
			continue
		}
		p := &permit{Permit: a.Permit, request: a.Request, grantedAt: now, tokens: a.Tokens}
		p.Expires = now.Add(s.cfg.PermitTerm)
		p.expectedCost = s.expectedCost(&p.request)
		if p.tokens > 0 {
			p.startedAt = now
		}
		s.addPermit(u, p)
		u.profileStale = true
	}
}

// releaseFormerDeputyReserve frees the reserve of a former deputy of a pool without
// load reports once the permits that it may have granted have expired.
func (s *State) releaseFormerDeputyReserve(now time.Time) {
	if s.sendsReports() {
		return
	}
	for _, u := range s.upstreams {
		if u.assumedUnknown > 0 && !now.Before(u.assumedUntil.Add(s.cfg.PermitTerm)) {
			u.assumedUnknown = 0
		}
	}
}

// updateReconciliation ends the reconciliation when its time has passed and reports
// whether it is over.
func (s *State) updateReconciliation(now time.Time) bool {
	if s.reconciling && !now.Before(s.reconcileUntil) {
		s.reconciling = false
	}
	return !s.reconciling
}

// headroom returns how many more requests an upstream may receive now.
func (s *State) headroom(now time.Time, u *upstream) int {
	if u.leaving || u.removed || u.report.Leaving || u.aloneCount > 0 || now.Before(u.pausedUntil) || s.isDown(now, u) {
		return 0
	}
	if s.cfg.Deputy {
		return s.deputyHeadroom(u, DeputyReserve(s.pool.Limits))
	}
	reserve := s.reservedForDeputy()
	limit, count := u.coldTracker.Limit(), u.running()
	if s.lacksEpochReport(u) {
		return 0
	}
	// The reconciliation ends early for an upstream whose reports showed only known
	// requests, so that a change of owner does not hold a warm engine at its cold
	// limit.
	if !s.updateReconciliation(now) && (u.unverified || !s.sendsReports()) {
		limit = min(limit, max(s.pool.Limits.ColdRequests, 1))
		if u.hasReport {
			count = max(count, u.report.Running+u.grantsSince(u.reportTakenAt))
		}
	}
	return min(limit-count, s.headroomUntilReport(u)) - reserve
}

// ReportsNeeded returns the upstreams that would receive a waiting request if a newer
// load report confirmed that they are still warm, and those with broken runs.
// Requesting their reports now avoids the wait for the next regular ones.
func (s *State) ReportsNeeded(now time.Time) []string {
	if s.cfg.Deputy {
		return nil
	}
	var out []string
	for _, u := range s.upstreams {
		if len(u.brokenRuns) > 0 {
			out = append(out, u.name)
			continue
		}
		if s.queue.Len() == 0 {
			continue
		}
		blocked := s.lacksEpochReport(u) || s.headroomUntilReport(u) <= s.reservedForDeputy()
		if blocked && !u.down && u.running()+s.reservedForDeputy() < u.coldTracker.Limit() && u.aloneCount == 0 && s.mayServe(u, &Request{}) {
			out = append(out, u.name)
		}
	}
	return out
}

// reservedForDeputy returns the number of permits of each upstream that this owner
// leaves to the deputy.
func (s *State) reservedForDeputy() int {
	if s.cfg.Deputy || !s.cfg.KeepDeputyReserve {
		return 0
	}
	return DeputyReserve(s.pool.Limits)
}

// headroomUntilReport returns how many more requests an upstream may receive before its
// next report. It may have turned cold right after the last one, so the live
// permits that arrived since then must stay within the cold limit.
func (s *State) headroomUntilReport(u *upstream) int {
	remaining := max(s.pool.Limits.ColdRequests, 1)
	if !s.sendsReports() || !u.hasReport {
		return u.coldTracker.Limit()
	}
	arriving := 0
	for i := len(u.permits) - 1; i >= 0; i-- {
		p := u.permits[i]
		if p.grantedAt.Add(dispatchTimeout).Before(u.reportTakenAt) {
			break // permits are in the order of their grants
		}
		switch {
		case !p.grantedAt.Before(u.reportTakenAt):
			remaining--
		case p.startedAt.IsZero() || !p.startedAt.Before(u.reportTakenAt):
			arriving++
		}
	}
	return remaining - min(arriving, u.inTransit)
}

// sendsReports reports whether the upstreams of the pool send load reports.
func (s *State) sendsReports() bool { return s.pool.Kind != entity.KindPlain }

// lacksEpochReport reports whether, in a new epoch, no report shows yet which requests
// of the previous owner run on the upstream. Reports taken before the previous owner's
// lease ended, or before its last grants arrived, do not count.
func (s *State) lacksEpochReport(u *upstream) bool {
	if s.epochStart.IsZero() || !s.sendsReports() {
		return false
	}
	return !u.hasReport || u.reportTakenAt.Before(s.holdUntil.Add(dispatchTimeout))
}

// deputyHeadroom returns how many more requests the deputy may send to an upstream
// within its reserve. A new deputy grants to a cold upstream only after a report has
// shown that requests of a previous deputy do not fill the reserve.
func (s *State) deputyHeadroom(u *upstream, reserve int) int {
	remaining := reserve - len(u.permits)
	if remaining <= 0 {
		return 0
	}
	if !u.hasReport {
		if u.reserveFree {
			return remaining
		}
		return 0
	}
	cold := u.report.Cold || u.coldTracker.AwaitingWarmReport()
	if !u.reserveFree && (cold || u.reportTakenAt.Before(s.holdUntil.Add(dispatchTimeout))) {
		return 0
	}
	limit := max(s.pool.Limits.ColdRequests, 1)
	if !cold {
		limit = max(s.pool.Limits.MaxRequests, limit)
	}
	return min(remaining, limit-u.report.Running-u.grantsSince(u.reportTakenAt))
}

// checkReserveFree sets reserveFree when a report shows that the requests of others
// leave the reserve free; the owner's part can no longer grow into it.
func (s *State) checkReserveFree(u *upstream) {
	if u.down || u.reportTakenAt.Before(s.holdUntil.Add(dispatchTimeout)) {
		return
	}
	others := u.report.Running - len(u.permits)
	if others <= max(s.pool.Limits.ColdRequests, 1)-DeputyReserve(s.pool.Limits) {
		u.reserveFree = true
	}
}

// freeEndedCancellations frees the slots of cancelled permits when a later report shows
// too few running requests to include any of them beside the live permits. A report
// that leaves room for some does not show which ones have ended.
func (s *State) freeEndedCancellations(now time.Time, u *upstream) {
	cutoff := u.reportTakenAt.Add(-dispatchTimeout)
	bound := u.report.Running
	var ended []*permit
	for _, p := range u.permits {
		switch {
		case p.cancelling && p.cancelStartedAt.Before(cutoff):
			ended = append(ended, p)
		case p.startedAt.IsZero() || !p.startedAt.Before(u.reportTakenAt):
			bound++
		}
	}
	if len(u.permits)-bound < len(ended) {
		return
	}
	for _, p := range ended {
		if !p.broken {
			s.quarantine.RecordEnd(p.request.Fingerprint, u.name)
		}
		s.removePermit(now, p)
	}
}

// isDown reports whether a lost upstream has not answered since its loss. Only a report
// shows that an engine answers again and what it runs; an upstream without reports is
// tried again after lostRetryDelay.
func (s *State) isDown(now time.Time, u *upstream) bool {
	if u.down && !s.sendsReports() && now.Sub(u.lostAt) >= lostRetryDelay {
		u.down = false
	}
	return u.down
}
