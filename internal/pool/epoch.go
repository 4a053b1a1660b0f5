package pool

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// HoldUntil starts a new epoch for this owner or deputy: nothing is granted
// before the given time. Until Settle, or until the permit term has passed, the
// counts follow the upstreams' own reports where those are higher, and limits
// are at most the cold limit.
func (s *State) HoldUntil(now, until time.Time) {
	s.epochStart, s.holdUntil = now, until
	s.settleAt = now.Add(s.cfg.PermitTerm)
	if s.settleAt.Before(until) {
		s.settleAt = until
	}
	s.unsettled = true
	for _, u := range s.upstreams {
		u.proven = false
		u.assumedTil = until.Add(dispatchTimeout)
		u.distrust()
	}
}

// DeputyChanged tells the owner that the previous deputy may grant until the
// given time. Its reserve counts as taken until a later report shows the truth.
func (s *State) DeputyChanged(_, until time.Time) {
	for _, u := range s.upstreams {
		u.assumed = Reserve(s.pool.Limits)
		u.assumedTil = until.Add(dispatchTimeout)
		u.distrust()
	}
}

// Settle ends the new epoch's caution: every member of the previous view has
// registered its permits, or the previous owner handed over its running set. An
// upstream that reports its load still receives nothing before a report taken
// after the hold, because requests of a holder that died are known only to it.
func (s *State) Settle(_ time.Time) {
	s.unsettled = false
}

// Adopt registers running permits of a previous owner. Registering a permit
// again updates it. A permit of an upstream that is not in the pool is ignored.
func (s *State) Adopt(now time.Time, permits []AdoptedPermit) {
	for _, a := range permits {
		u := s.upstream(a.Permit.Upstream)
		if u == nil {
			continue
		}
		if p := s.permits[a.Permit.ID]; p != nil {
			p.tokens = max(p.tokens, a.Tokens)
			u.stale = true
			continue
		}
		p := &permit{Permit: a.Permit, request: a.Request, granted: now, tokens: a.Tokens}
		p.Expires = now.Add(s.cfg.PermitTerm)
		p.expected = s.cost(&p.request)
		if p.tokens > 0 {
			p.started = now
		}
		s.add(u, p)
		u.stale = true
	}
}

// forgetFormerDeputy frees the reserve of a former deputy of a pool without load
// reports, once the permits that it may have granted have expired.
func (s *State) forgetFormerDeputy(now time.Time) {
	if s.needsReports() {
		return
	}
	for _, u := range s.upstreams {
		if u.assumed > 0 && !now.Before(u.assumedTil.Add(s.cfg.PermitTerm)) {
			u.assumed = 0
		}
	}
}

// settled ends the caution of a new epoch when its time has passed.
func (s *State) settled(now time.Time) bool {
	if s.unsettled && !now.Before(s.settleAt) {
		s.unsettled = false
	}
	return !s.unsettled
}

// headroom returns how many more requests an upstream may receive now.
func (s *State) headroom(now time.Time, u *upstream) int {
	if u.leaving || u.removed || u.report.Leaving || u.alone > 0 || now.Before(u.pausedTil) || s.isDown(now, u) {
		return 0
	}
	if s.cfg.Deputy {
		return s.deputyHeadroom(u, Reserve(s.pool.Limits))
	}
	reserve := s.reserve()
	limit, count := u.tracker.Limit(), u.running()
	if s.unproved(u) {
		return 0
	}
	// Reports that explain everything that runs end the caution for this upstream
	// early, so that a change of owner does not hold a warm engine at its cold limit.
	if !s.settled(now) && (u.doubt || !s.needsReports()) {
		limit = min(limit, max(s.pool.Limits.ColdRequests, 1))
		if u.hasReport {
			count = max(count, u.report.Running+u.grantsSince(u.reportTaken))
		}
	}
	return min(limit-count, s.unconfirmed(u)) - reserve
}

// ReportsWanted returns the upstreams that would receive a waiting request if a
// newer load report confirmed that they are still warm. Asking them at once
// shortens the wait for their next regular report.
func (s *State) ReportsWanted(now time.Time) []string {
	if s.cfg.Deputy {
		return nil
	}
	var out []string
	for _, u := range s.upstreams {
		if len(u.broken) > 0 {
			out = append(out, u.name)
			continue
		}
		if s.queue.Len() == 0 {
			continue
		}
		blocked := s.unproved(u) || s.unconfirmed(u) <= s.reserve()
		if blocked && !u.down && u.running()+s.reserve() < u.tracker.Limit() && u.alone == 0 && s.mayServe(u, &Request{}) {
			out = append(out, u.name)
		}
	}
	return out
}

// reserve returns the permits for each upstream that the deputy may grant beside this owner.
func (s *State) reserve() int {
	if s.cfg.Deputy || !s.cfg.Reserve {
		return 0
	}
	return Reserve(s.pool.Limits)
}

// unconfirmed returns how many more requests an upstream may receive before its
// next report. It may have turned cold right after the last one, so the live
// permits that arrived since then must stay within the cold limit.
func (s *State) unconfirmed(u *upstream) int {
	left := max(s.pool.Limits.ColdRequests, 1)
	if !s.needsReports() || !u.hasReport {
		return u.tracker.Limit()
	}
	arriving := 0
	for i := len(u.permits) - 1; i >= 0; i-- {
		p := u.permits[i]
		if p.granted.Add(dispatchTimeout).Before(u.reportTaken) {
			break // permits are in the order of their grants
		}
		switch {
		case !p.granted.Before(u.reportTaken):
			left--
		case p.started.IsZero() || !p.started.Before(u.reportTaken):
			arriving++
		}
	}
	return left - min(arriving, u.inTransit)
}

// needsReports tells whether the upstreams of the pool send load reports.
func (s *State) needsReports() bool { return s.pool.Kind != entity.KindPlain }

// unproved reports whether, in a new epoch, no report shows yet what requests of
// the previous owner run on the upstream. Reports from before the end of the
// previous owner's lease, or from before its last grants arrived, do not count.
func (s *State) unproved(u *upstream) bool {
	if s.epochStart.IsZero() || !s.needsReports() {
		return false
	}
	return !u.hasReport || u.reportTaken.Before(s.holdUntil.Add(dispatchTimeout))
}

// deputyHeadroom keeps the deputy within its reserve. A new deputy grants to a
// cold upstream only once a report has shown that requests of a previous deputy
// do not fill the reserve.
func (s *State) deputyHeadroom(u *upstream, reserve int) int {
	left := reserve - len(u.permits)
	if left <= 0 {
		return 0
	}
	if !u.hasReport {
		if u.proven {
			return left
		}
		return 0
	}
	cold := u.report.Cold || u.tracker.Awaiting()
	if !u.proven && (cold || u.reportTaken.Before(s.holdUntil.Add(dispatchTimeout))) {
		return 0
	}
	limit := max(s.pool.Limits.ColdRequests, 1)
	if !cold {
		limit = max(s.pool.Limits.MaxRequests, limit)
	}
	return min(left, limit-u.report.Running-u.grantsSince(u.reportTaken))
}

// proveReserve notes a report after which the owner's part can no longer grow into the reserve.
func (s *State) proveReserve(u *upstream) {
	if u.down || u.reportTaken.Before(s.holdUntil.Add(dispatchTimeout)) {
		return
	}
	others := u.report.Running - len(u.permits)
	if others <= max(s.pool.Limits.ColdRequests, 1)-Reserve(s.pool.Limits) {
		u.proven = true
	}
}

// proveEnded frees the slots of cancelled permits when a later report leaves no
// room for any of them beside the live permits. A report that leaves room for
// some does not tell which ones have ended.
func (s *State) proveEnded(now time.Time, u *upstream) {
	cutoff := u.reportTaken.Add(-dispatchTimeout)
	bound := u.report.Running
	var ended []*permit
	for _, p := range u.permits {
		switch {
		case p.cancelling && p.cancelSince.Before(cutoff):
			ended = append(ended, p)
		case p.started.IsZero() || !p.started.Before(u.reportTaken):
			bound++
		}
	}
	if len(u.permits)-bound < len(ended) {
		return
	}
	for _, p := range ended {
		if !p.broken {
			s.quarantine.Ended(p.request.Fingerprint, u.name)
		}
		s.drop(now, p)
	}
}

// isDown reports whether a lost upstream has not answered yet. Only a report
// shows that an engine answers again and what it runs; an upstream without
// reports is tried again after a while.
func (s *State) isDown(now time.Time, u *upstream) bool {
	if u.down && !s.needsReports() && now.Sub(u.lostAt) >= lostPause {
		u.down = false
	}
	return u.down
}
