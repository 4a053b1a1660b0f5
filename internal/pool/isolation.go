package pool

import (
	"slices"
	"time"
)

const (
	// maxSuspects bounds the suspected requests that wait to run alone.
	maxSuspects = 1024
	// isolationInterval is how long a pool with a single upstream serves other requests
	// between two suspected ones.
	isolationInterval = 5 * time.Second
)

// isolation reserves one upstream of the pool for suspected requests, which run
// there alone and one at a time.
type isolation struct {
	upstream     *upstream
	runningAlone *permit
	// intervalEndsAt is the end of the isolation interval after the latest suspected request.
	intervalEndsAt time.Time
}

func (s *State) queueSuspect(r Request) {
	waiting := 0
	for i := range s.suspects {
		if s.suspects[i].Account == r.Account {
			waiting++
		}
	}
	if len(s.suspects) >= maxSuspects || r.MaxQueued > 0 && waiting >= r.MaxQueued {
		s.refuse(r.ID, ReasonQueueFull, 0)
		return
	}
	s.suspects = append(s.suspects, r)
}

// permitGranted records a permit that runs alone, granted here or adopted.
func (i *isolation) permitGranted(p *permit) {
	if i.runningAlone == nil {
		i.runningAlone, i.upstream = p, p.upstream
	}
}

// permitEnded records the end of a permit and starts the isolation interval when it ran
// alone.
func (i *isolation) permitEnded(now time.Time, s *State, p *permit) {
	if i.runningAlone == p {
		i.runningAlone = nil
		i.intervalEndsAt = now.Add(isolationInterval)
		i.releaseIfUnneeded(s)
	}
}

// releaseIfUnneeded releases the reserved upstream when no suspected request needs it
// any more.
func (i *isolation) releaseIfUnneeded(s *State) {
	if i.upstream == nil || i.runningAlone != nil {
		return
	}
	if len(s.suspects) == 0 || i.upstream.removed || i.upstream.leaving {
		i.upstream = nil
	}
}

// expireSuspects refuses suspected requests that waited too long, were quarantined
// meanwhile or have no upstream left.
func (s *State) expireSuspects(now time.Time) {
	s.suspects = slices.DeleteFunc(s.suspects, func(r Request) bool {
		if refusedFor, refused := s.quarantine.Refused(now, r.Fingerprint); refused {
			s.refuse(r.ID, ReasonQuarantined, refusedFor)
			return true
		}
		if !s.servable(&r) {
			s.refuse(r.ID, ReasonNoUpstream, 0)
			return true
		}
		if !r.Deadline.IsZero() && now.After(r.Deadline) {
			s.refuse(r.ID, ReasonDeadline, 0)
			return true
		}
		return false
	})
	s.isolation.releaseIfUnneeded(s)
}

// grantIsolated grants the first suspected request once its upstream is empty. The
// deputy cannot know whether an upstream is empty, so it refuses suspected requests.
func (s *State) grantIsolated(now time.Time) {
	if s.cfg.Deputy {
		for _, r := range s.suspects {
			s.refuse(r.ID, ReasonNotOwner, 0)
		}
		s.suspects = nil
		return
	}
	i := &s.isolation
	if len(s.suspects) == 0 || i.runningAlone != nil {
		return
	}
	r := s.suspects[0]
	if s.hasBrokenRun(now, r.Fingerprint) {
		return // the next load report shows whether its upstream was lost
	}
	if i.upstream == nil || !s.mayServe(i.upstream, &r) || s.isDown(now, i.upstream) {
		i.upstream = s.selectForIsolation(now, &r)
	}
	u := i.upstream
	if u == nil || u.running() > 0 || s.headroom(now, u) <= 0 {
		return
	}
	s.suspects = s.suspects[1:]
	s.grant(now, u, &r, true)
}

// selectForIsolation returns the usable upstream with the fewest running requests. It
// returns nil when there is none, and during the isolation interval when there is only
// one.
func (s *State) selectForIsolation(now time.Time, r *Request) *upstream {
	var best *upstream
	usable := 0
	for _, u := range s.upstreams {
		if u.leaving || u.removed || u.report.Leaving || slices.Contains(r.Exclude, u.name) || !u.hasModel(r.Model) || s.isDown(now, u) {
			continue
		}
		usable++
		if best == nil || u.running() < best.running() {
			best = u
		}
	}
	if usable == 1 && now.Before(s.isolation.intervalEndsAt) {
		return nil
	}
	return best
}
