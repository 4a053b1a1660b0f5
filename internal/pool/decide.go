package pool

import (
	"math"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/admission"
	"github.com/rattanscale/rattanscale/internal/fairqueue"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	// scanDepth bounds the waiting requests considered past one that fits nowhere.
	scanDepth = 8
	// overtakeTime is the wait after which a request that fits nowhere may no longer be overtaken.
	overtakeTime = 2 * time.Second
	// easyShare and tightShare are the parts of the target step that the predicted
	// mean step may take. The rest covers the variation of single steps, most of
	// all those that also process a prompt, so that 95 in 100 stay below the
	// target. The tight share applies while requests wait most of the time, because
	// a larger batch then adds little throughput and only lengthens the steps. It
	// does not apply while a request may miss its finishing time.
	easyShare  = 0.88
	tightShare = 0.76
	// longQuantile is the share of outputs that are shorter than the one for which
	// the finishing time of a batch leaves room.
	longQuantile = 0.99
	// lateMemory is how long the bound stays loose after a late request was seen.
	lateMemory = time.Second
	// pressureTime is the time constant with which the share of time with waiting
	// requests is averaged, and fullPressure the share from which on it is lasting.
	pressureTime = 10 * time.Second
	fullPressure = 0.3
	// throughputWindow is the interval over which the rate of grants is measured.
	throughputWindow = time.Second
	throughputWeight = 0.2
	// runningInterval is the interval at which requests in progress are counted.
	runningInterval = time.Second
	// outputWeight averages the expected output over about 50 grants.
	outputWeight = 0.02
	// shortPenalty is the load that a long request sees in each short one that runs
	// on an upstream. Short answers have too few gaps to make up for a slow one, so
	// long requests leave the upstreams that run many of them a little less loaded.
	shortPenalty = 0.01
	// longOutput is the multiple of the mean expected output from which on a
	// request avoids cold upstreams while a warm one may serve it. Cold upstreams
	// become warm by completed requests, and every step on them is slow.
	longOutput = 1.5
)

// Decide returns what must be done now: grants, refusals and cancellations.
func (s *State) Decide(now time.Time) []Command {
	s.expire(now)
	for _, it := range s.queue.Expire(now) {
		s.refuse(it.ID, ReasonDeadline, 0)
	}
	s.expireSuspects(now)
	s.settled(now)
	s.forgetFormerDeputy(now)
	if s.out {
		s.refuseAll()
	} else if !now.Before(s.holdUntil) {
		s.isolate(now)
		s.grantWaiting(now)
	}
	out := s.pending
	s.pending = nil
	return out
}

func (s *State) refuseAll() {
	for _, it := range s.queue.Drain() {
		s.refuse(it.ID, ReasonNoUpstream, 0)
	}
}

// grantWaiting grants waiting requests in fair order while some upstream has room.
func (s *State) grantWaiting(now time.Time) {
	s.noteRunning(now)
	open := s.open(now)
	passed := 0
	s.queue.Scan(now, func(it *fairqueue.Item[*Request]) fairqueue.Verdict {
		r := it.Value
		if left, refused := s.quarantine.Refused(now, r.Fingerprint); refused {
			s.refuse(r.ID, ReasonQuarantined, left)
			return fairqueue.Drop
		}
		if s.quarantine.ShouldIsolate(now, r.Fingerprint) {
			s.queueSuspect(*r)
			return fairqueue.Drop
		}
		if !s.usable(r) {
			s.refuse(r.ID, ReasonNoUpstream, 0)
			return fairqueue.Drop
		}
		if len(open) == 0 {
			return fairqueue.Stop
		}
		u := s.pick(open, r, s.stepShare(now, it))
		if u == nil && !s.loaded(r.Model) {
			return fairqueue.Skip // a request that waits for its model holds nobody up
		}
		if u == nil {
			if passed++; passed >= scanDepth || now.Sub(it.Enqueued) >= overtakeTime {
				return fairqueue.Stop
			}
			return fairqueue.Skip
		}
		s.throughput.granted(now, it.Cost)
		s.grant(now, u, r, false)
		if s.headroom(now, u) <= 0 {
			open = slices.DeleteFunc(open, func(o *upstream) bool { return o == u })
		}
		return fairqueue.Take
	})
	s.throughput.tick(now, s.queue.Len() > 0)
	s.pressure.update(now, s.queue.Len() > 0)
}

// loaded reports whether some upstream has loaded the model.
func (s *State) loaded(model string) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.holds(model) })
}

// noteRunning lets the predicted lengths take account of the requests in progress.
func (s *State) noteRunning(now time.Time) {
	if now.Sub(s.runningNoted) < runningInterval {
		return
	}
	s.runningNoted = now
	s.lengths.ResetRunning()
	for _, u := range s.upstreams {
		for _, p := range u.permits {
			if p.tokens > 0 {
				s.lengths.Running(keyOf(&p.request), p.tokens)
			}
		}
		u.stale = true
	}
}

// open returns the upstreams that may receive a request, in the order of their names.
func (s *State) open(now time.Time) []*upstream {
	if s.queue.Len() == 0 {
		return nil
	}
	out := s.openBuffer[:0]
	for _, u := range s.upstreams {
		if u != s.isolation.upstream && s.headroom(now, u) > 0 {
			u.refresh(s.lengths)
			out = append(out, u)
		}
	}
	s.openBuffer = out
	return out
}

// load is a share of an upstream's memory and of its target step.
type load struct {
	memory, step float64
}

// footprint is the size of a request for admission.
type footprint struct {
	prompt int
	output float64
}

// covers reports whether a request of the other size needs at least as much.
func (f footprint) covers(o footprint) bool {
	return f.output > 0 && o.prompt >= f.prompt && o.output >= f.output
}

// pick returns the upstream for a request, or nil when it fits nowhere now.
func (s *State) pick(open []*upstream, r *Request, stepShare float64) *upstream {
	lengths := s.lengths.Lengths(keyOf(r))
	size := footprint{r.PromptTokens, lengths.Remaining(0, r.MaxTokens)}
	long := size.output > longOutput*s.meanOutput
	warm := long && slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return !u.tracker.Awaiting() && s.mayServe(u, r) && u.holds(r.Model) })
	var add admission.Profile
	add.Add(admission.Load{Held: r.PromptTokens, Limit: r.MaxTokens}, lengths)
	s.candidates, s.fitting = s.candidates[:0], s.fitting[:0]
	lowest := math.Inf(1)
	for _, u := range open {
		if !s.mayServe(u, r) || !u.holds(r.Model) || warm && u.tracker.Awaiting() || u.rejected.covers(size) {
			continue
		}
		share := float64(u.running()+1) / float64(max(u.tracker.Limit(), 1))
		if max(share, u.base.memory, u.base.step/stepShare) > lowest+routing.AffinityMargin {
			continue
		}
		l := s.predict(u, &add)
		share = max(share, l.memory, l.step/stepShare)
		if max(l.memory, l.step/stepShare) > 1 && u.running() > 0 {
			u.rejected = size
			continue
		}
		if size.output > s.meanOutput {
			share += shortPenalty * float64(u.short)
		}
		lowest = min(lowest, share)
		cached := u.prefixes != nil && u.prefixes.Holds(r.PrefixHash)
		s.candidates = append(s.candidates, routing.Candidate{Name: u.name, Load: share, PrefixCached: cached})
		s.fitting = append(s.fitting, u)
	}
	i := routing.Pick(s.candidates, s.routingKey(r))
	if i < 0 {
		return nil
	}
	return s.fitting[i]
}

// predict returns an upstream's load with one more request. An empty upstream
// takes any request, so the caller decides whether the request fits.
func (s *State) predict(u *upstream, add *admission.Profile) load {
	if u.base == (load{}) {
		u.base = s.share(u, &admission.Profile{})
	}
	return s.share(u, add)
}

func (s *State) share(u *upstream, add *admission.Profile) load {
	var l load
	if m := s.pool.Limits.MemoryTokens; m > 0 {
		l.memory = u.profile.PeakWith(add, s.sigmas) / float64(m)
	}
	if t := s.pool.Limits.TargetStep; t > 0 && s.needsReports() {
		l.step = float64(u.model.Worst(&u.profile, add)) / float64(t)
	}
	return l
}

// noteOutput keeps the mean expected output of the requests granted recently.
func (s *State) noteOutput(tokens float64) {
	if s.meanOutput == 0 {
		s.meanOutput = tokens
	}
	s.meanOutput += outputWeight * (tokens - s.meanOutput)
}

// grant gives a permit and charges the upstream with it.
func (s *State) grant(now time.Time, u *upstream, r *Request, alone bool) *permit {
	p := &permit{
		Permit: Permit{
			ID: s.nextID, RequestID: r.ID, Upstream: u.name, Incarnation: u.incarnation,
			Expires: now.Add(s.cfg.PermitTerm), Alone: alone,
		},
		request: *r, granted: now, expected: s.cost(r),
	}
	s.nextID++
	s.noteOutput(p.expected - float64(r.PromptTokens))
	s.add(u, p)
	u.notePrefix(r.PrefixHash)
	u.profile.Add(p.load(), s.lengths.Lengths(keyOf(r)))
	u.changed()
	s.pending = append(s.pending, Grant{Permit: p.Permit, At: p.granted})
	return p
}

// throughput estimates the work granted per second while requests wait.
type throughput struct {
	rate  float64
	cost  float64
	since time.Time
}

func (t *throughput) granted(now time.Time, cost float64) {
	if t.since.IsZero() {
		t.since = now
	}
	t.cost += cost
}

func (t *throughput) tick(now time.Time, waiting bool) {
	if t.since.IsZero() || now.Sub(t.since) < throughputWindow {
		return
	}
	rate := t.cost / now.Sub(t.since).Seconds()
	switch {
	case t.rate == 0:
		t.rate = rate
	case waiting || rate > t.rate:
		t.rate += throughputWeight * (rate - t.rate)
	}
	t.cost, t.since = 0, now
}

// wait returns the expected time until the given work has been granted.
func (t *throughput) wait(cost float64) time.Duration {
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(min(cost/t.rate, 3600) * float64(time.Second))
}

// pressure is the recent share of time during which requests waited.
type pressure struct {
	share   float64
	waiting bool
	at      time.Time
}

// update records whether requests wait from now on.
func (p *pressure) update(now time.Time, waiting bool) {
	if !p.at.IsZero() {
		target := 0.0
		if p.waiting {
			target = 1
		}
		p.share += (1 - math.Exp(-now.Sub(p.at).Seconds()/pressureTime.Seconds())) * (target - p.share)
	}
	p.at, p.waiting = now, waiting
}

// stepShare is the part of the target step that a waiting request may fill.
func (s *State) stepShare(now time.Time, it *fairqueue.Item[*Request]) float64 {
	if s.late(now, it) {
		s.lateUntil = now.Add(lateMemory)
	}
	if now.Before(s.lateUntil) {
		// The others get the same bound, or late requests would crowd them out.
		return easyShare
	}
	return easyShare - (easyShare-tightShare)*min(s.pressure.share/fullPressure, 1)
}

// late reports whether a request may miss its finishing time: the requests of its
// priority must be granted first, and the last of them may be a long one.
func (s *State) late(now time.Time, it *fairqueue.Item[*Request]) bool {
	if it.FinishBy.IsZero() {
		return false
	}
	tokens := s.lengths.Lengths(keyOf(it.Value)).Quantile(longQuantile)
	if m := it.Value.MaxTokens; m > 0 {
		tokens = min(tokens, float64(m))
	}
	run := time.Duration(tokens * float64(s.pool.Limits.TargetStep))
	return it.FinishBy.Sub(now) < s.throughput.wait(s.queue.LevelCost(it.Priority))+run
}
