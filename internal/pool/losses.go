package pool

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/quarantine"
)

// brokenRun is a run whose holder lost contact with the upstream. The next load report
// shows whether the upstream itself was lost.
type brokenRun struct {
	fingerprint uint64
	alone       bool
	brokenAt    time.Time
}

// recordBrokenRun suspects a request from the moment its run breaks, so that it is not
// sent elsewhere before the loss of its upstream has been counted.
func (s *State) recordBrokenRun(now time.Time, p *permit) {
	fingerprint := p.request.Fingerprint
	s.quarantine.RecordEnd(fingerprint, p.upstream.name)
	if !s.sendsReports() {
		return // a plain service does not report its incarnation
	}
	if u := p.upstream; p.Incarnation != "" && u.incarnation != "" && p.Incarnation != u.incarnation {
		// The report of the next incarnation arrived first, and the run was not counted with
		// that loss because it could already have been on the next incarnation.
		if !u.lossExpected {
			s.notices = append(s.notices, s.quarantine.RecordLateLoss(now, fingerprint, u.name, p.Alone)...)
		}
		return
	}
	p.upstream.brokenRuns = append(p.upstream.brokenRuns, brokenRun{fingerprint, p.Alone, now})
	s.notices = append(s.notices, s.quarantine.SuspectBrokenRun(now, fingerprint))
}

// brokenHoldDuration is how long a request is held back after another daemon's notice
// that its run broke. Within that time a load report shows whether the upstream was
// lost.
const brokenHoldDuration = 2 * time.Second

// hasBrokenRun reports whether a run of the fingerprint broke, here or in another pool,
// and it is not known yet whether its upstream was lost.
func (s *State) hasBrokenRun(now time.Time, fingerprint uint64) bool {
	if until, held := s.heldBackUntil[fingerprint]; held {
		if now.Before(until) {
			return true
		}
		delete(s.heldBackUntil, fingerprint)
	}
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool {
		return slices.ContainsFunc(u.brokenRuns, func(b brokenRun) bool { return b.fingerprint == fingerprint })
	})
}

// countBrokenAsLost counts the broken runs among those that were running on a lost
// upstream.
func (s *State) countBrokenAsLost(u *upstream) {
	for _, b := range u.brokenRuns {
		s.quarantine.RecordDispatch(b.fingerprint, u.name, b.alone)
	}
	u.brokenRuns = nil
}

// clearBrokenRuns withdraws the suspicion against runs that broke before a report of
// the same incarnation was taken: the upstream is running, so the connection was at
// fault.
func (s *State) clearBrokenRuns(u *upstream, takenAt time.Time) {
	u.brokenRuns = slices.DeleteFunc(u.brokenRuns, func(b brokenRun) bool {
		if !takenAt.After(b.brokenAt) {
			return false
		}
		if s.quarantine.WithdrawSuspicion(b.fingerprint) {
			s.notices = append(s.notices, quarantine.Notice{Fingerprint: b.fingerprint, Cleared: true})
		}
		return true
	})
}
