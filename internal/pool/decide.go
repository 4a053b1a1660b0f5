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
	// maxSkippedRequests bounds the waiting requests that a decision passes over
	// because they fit on no upstream.
	maxSkippedRequests = 8
	// maxOvertakenWait is the wait after which a request that fits on no upstream may
	// no longer be overtaken.
	maxOvertakenWait = 2 * time.Second
	// relaxedStepShare and congestedStepShare are the fractions of the target step that
	// the predicted mean step may take. The rest covers the variation of single steps,
	// in particular of those that also process a prompt, so that 95% of the steps stay
	// below the target. The congested share applies while requests wait most of the
	// time, because a larger batch then adds little throughput and only lengthens the
	// steps. It does not apply while a request may miss its FinishBy time.
	relaxedStepShare   = 0.88
	congestedStepShare = 0.76
	// finishTimeQuantile is the quantile of the output length that the check of a
	// request's FinishBy time assumes.
	finishTimeQuantile = 0.99
	// relaxedBoundDuration is how long relaxedStepShare applies after a request was
	// found that may miss its FinishBy time.
	relaxedBoundDuration = time.Second
	// pressureTimeConstant is the time constant of the moving average of the fraction
	// of time during which requests wait. From sustainedPressure on, congestedStepShare
	// applies in full.
	pressureTimeConstant = 10 * time.Second
	sustainedPressure    = 0.3
	// throughputWindow is the interval over which the rate of granted work is measured.
	throughputWindow        = time.Second
	throughputAverageWeight = 0.2
	// runningCountInterval is the interval at which the requests in progress are added
	// to the length statistics.
	runningCountInterval = time.Second
	// outputAverageWeight averages the expected output over about 50 grants.
	outputAverageWeight = 0.02
	// shortRequestLoad is the load that each short request on an upstream adds when a
	// long request is placed. A short answer has too few gaps between tokens to average
	// out a slow one, so long requests leave the upstreams that run many short ones
	// slightly less loaded.
	shortRequestLoad = 0.01
	// longOutputFactor is the multiple of the mean expected output above which a
	// request avoids cold upstreams while a warm one may serve it. Upstreams become
	// warm by completing requests, and every step on a cold one is slow.
	longOutputFactor = 1.5
)

// Decide returns the commands that are due: grants, refusals and cancellations.
func (s *State) Decide(now time.Time) []Command {
	s.expirePermits(now)
	for _, it := range s.queue.Expire(now) {
		s.refuse(it.ID, ReasonDeadline, 0)
	}
	s.expireSuspects(now)
	s.updateReconciliation(now)
	s.releaseFormerDeputyReserve(now)
	if s.dataCentreOut {
		s.refuseAll()
	} else if !now.Before(s.holdUntil) {
		s.grantIsolated(now)
		s.grantWaiting(now)
	}
	out := s.commands
	s.commands = nil
	return out
}

func (s *State) refuseAll() {
	for _, it := range s.queue.Drain() {
		s.refuse(it.ID, ReasonNoUpstream, 0)
	}
}

// grantWaiting grants waiting requests in fair-share order while some upstream has
// headroom.
func (s *State) grantWaiting(now time.Time) {
	s.recordRunning(now)
	available := s.availableUpstreams(now)
	passed := 0
	s.queue.Scan(now, func(it *fairqueue.Item[*Request]) fairqueue.Verdict {
		r := it.Value
		if refusedFor, refused := s.quarantine.Refused(now, r.Fingerprint); refused {
			s.refuse(r.ID, ReasonQuarantined, refusedFor)
			return fairqueue.Drop
		}
		if s.quarantine.ShouldIsolate(now, r.Fingerprint) {
			s.queueSuspect(*r)
			return fairqueue.Drop
		}
		if !s.servable(r) {
			s.refuse(r.ID, ReasonNoUpstream, 0)
			return fairqueue.Drop
		}
		if len(available) == 0 {
			return fairqueue.Stop
		}
		u := s.selectUpstream(available, r, s.stepShare(now, it))
		if u == nil && !s.modelLoaded(r.Model) {
			return fairqueue.Skip // no upstream has loaded the model; the request blocks no others
		}
		if u == nil {
			if passed++; passed >= maxSkippedRequests || now.Sub(it.Enqueued) >= maxOvertakenWait {
				return fairqueue.Stop
			}
			return fairqueue.Skip
		}
		s.throughput.recordGrant(now, it.Cost)
		s.grant(now, u, r, false)
		if s.headroom(now, u) <= 0 {
			available = slices.DeleteFunc(available, func(o *upstream) bool { return o == u })
		}
		return fairqueue.Take
	})
	s.throughput.update(now, s.queue.Len() > 0)
	s.pressure.update(now, s.queue.Len() > 0)
}

// modelLoaded reports whether some upstream has loaded the model.
func (s *State) modelLoaded(model string) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.hasModel(model) })
}

// recordRunning adds the requests in progress to the length statistics, at most once
// per runningCountInterval.
func (s *State) recordRunning(now time.Time) {
	if now.Sub(s.runningRecordedAt) < runningCountInterval {
		return
	}
	s.runningRecordedAt = now
	s.lengths.ResetRunning()
	for _, u := range s.upstreams {
		for _, p := range u.permits {
			if p.tokens > 0 {
				s.lengths.ObserveRunning(lengthKey(&p.request), p.tokens)
			}
		}
		u.profileStale = true
	}
}

// availableUpstreams returns the upstreams that may receive a request, in the order of their names.
func (s *State) availableUpstreams(now time.Time) []*upstream {
	if s.queue.Len() == 0 {
		return nil
	}
	out := s.availableBuffer[:0]
	for _, u := range s.upstreams {
		if u != s.isolation.upstream && s.headroom(now, u) > 0 {
			u.refreshProfile(s.lengths)
			out = append(out, u)
		}
	}
	s.availableBuffer = out
	return out
}

// load is the used fraction of an upstream's memory and of its target step.
type load struct {
	memory, step float64
}

// footprint is the size of a request as used for admission.
type footprint struct {
	prompt int
	output float64
}

// covers reports whether a request of size o needs at least as much.
func (f footprint) covers(o footprint) bool {
	return f.output > 0 && o.prompt >= f.prompt && o.output >= f.output
}

// selectUpstream returns the upstream for a request, or nil when it fits on none now.
func (s *State) selectUpstream(available []*upstream, r *Request, stepShare float64) *upstream {
	lengths := s.lengths.Lengths(lengthKey(r))
	size := footprint{r.PromptTokens, lengths.ExpectedRemaining(0, r.MaxTokens)}
	long := size.output > longOutputFactor*s.meanOutput
	warm := long && slices.ContainsFunc(s.upstreams, func(u *upstream) bool {
		return !u.coldTracker.AwaitingWarmReport() && s.mayServe(u, r) && u.hasModel(r.Model)
	})
	var add admission.Profile
	add.Add(admission.Load{HeldTokens: r.PromptTokens, MaxTokens: r.MaxTokens}, lengths)
	s.candidates, s.fittingUpstreams = s.candidates[:0], s.fittingUpstreams[:0]
	lowest := math.Inf(1)
	for _, u := range available {
		if !s.mayServe(u, r) || !u.hasModel(r.Model) || warm && u.coldTracker.AwaitingWarmReport() || u.rejected.covers(size) {
			continue
		}
		share := float64(u.running()+1) / float64(max(u.coldTracker.Limit(), 1))
		if max(share, u.currentLoad.memory, u.currentLoad.step/stepShare) > lowest+routing.AffinityMargin {
			continue
		}
		l := s.predictLoad(u, &add)
		share = max(share, l.memory, l.step/stepShare)
		if max(l.memory, l.step/stepShare) > 1 && u.running() > 0 {
			u.rejected = size
			continue
		}
		if size.output > s.meanOutput {
			share += shortRequestLoad * float64(u.shortCount)
		}
		lowest = min(lowest, share)
		cached := u.prefixes != nil && u.prefixes.Holds(r.PrefixHash)
		s.candidates = append(s.candidates, routing.Candidate{Name: u.name, Load: share, PrefixCached: cached})
		s.fittingUpstreams = append(s.fittingUpstreams, u)
	}
	i := routing.Pick(s.candidates, s.routingKey(r))
	if i < 0 {
		return nil
	}
	return s.fittingUpstreams[i]
}

// predictLoad returns an upstream's load with one more request. An empty upstream takes
// any request, so the caller decides whether the request fits.
func (s *State) predictLoad(u *upstream, add *admission.Profile) load {
	if u.currentLoad == (load{}) {
		u.currentLoad = s.computeLoad(u, &admission.Profile{})
	}
	return s.computeLoad(u, add)
}

func (s *State) computeLoad(u *upstream, add *admission.Profile) load {
	var l load
	if m := s.pool.Limits.MemoryTokens; m > 0 {
		l.memory = u.profile.PeakWith(add, s.peakSigmas) / float64(m)
	}
	if t := s.pool.Limits.TargetStep; t > 0 && s.sendsReports() {
		l.step = float64(u.stepModel.LongestStep(&u.profile, add)) / float64(t)
	}
	return l
}

// updateMeanOutput updates the moving average of the expected output of granted
// requests.
func (s *State) updateMeanOutput(tokens float64) {
	if s.meanOutput == 0 {
		s.meanOutput = tokens
	}
	s.meanOutput += outputAverageWeight * (tokens - s.meanOutput)
}

// grant issues a permit and adds the request to the predicted load of the upstream.
func (s *State) grant(now time.Time, u *upstream, r *Request, alone bool) *permit {
	p := &permit{
		Permit: Permit{
			ID: s.nextPermitID, RequestID: r.ID, Upstream: u.name, Incarnation: u.incarnation,
			Expires: now.Add(s.cfg.PermitTerm), Alone: alone,
		},
		request: *r, grantedAt: now, expectedCost: s.expectedCost(r),
	}
	s.nextPermitID++
	s.updateMeanOutput(p.expectedCost - float64(r.PromptTokens))
	s.addPermit(u, p)
	u.recordPrefix(r.PrefixHash)
	u.profile.Add(p.admissionLoad(), s.lengths.Lengths(lengthKey(r)))
	u.resetDerivedLoad()
	s.commands = append(s.commands, Grant{Permit: p.Permit, GrantedAt: p.grantedAt})
	return p
}

// throughput estimates the work granted per second while requests wait.
type throughput struct {
	rate        float64
	grantedCost float64
	windowStart time.Time
}

func (t *throughput) recordGrant(now time.Time, cost float64) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	t.grantedCost += cost
}

func (t *throughput) update(now time.Time, waiting bool) {
	if t.windowStart.IsZero() || now.Sub(t.windowStart) < throughputWindow {
		return
	}
	rate := t.grantedCost / now.Sub(t.windowStart).Seconds()
	switch {
	case t.rate == 0:
		t.rate = rate
	case waiting || rate > t.rate:
		t.rate += throughputAverageWeight * (rate - t.rate)
	}
	t.grantedCost, t.windowStart = 0, now
}

// expectedWait returns the expected time until the given work has been granted.
func (t *throughput) expectedWait(cost float64) time.Duration {
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(min(cost/t.rate, 3600) * float64(time.Second))
}

// queuePressure is a moving average of the fraction of time during which requests wait.
type queuePressure struct {
	waitingShare float64
	waiting      bool
	updatedAt    time.Time
}

// update adds the time since the last call to the average and records whether requests
// wait from now on.
func (p *queuePressure) update(now time.Time, waiting bool) {
	if !p.updatedAt.IsZero() {
		target := 0.0
		if p.waiting {
			target = 1
		}
		p.waitingShare += (1 - math.Exp(-now.Sub(p.updatedAt).Seconds()/pressureTimeConstant.Seconds())) * (target - p.waitingShare)
	}
	p.updatedAt, p.waiting = now, waiting
}

// stepShare returns the fraction of the target step that the predicted step may take
// when a waiting request is placed.
func (s *State) stepShare(now time.Time, it *fairqueue.Item[*Request]) float64 {
	if s.mayFinishLate(now, it) {
		s.relaxedUntil = now.Add(relaxedBoundDuration)
	}
	if now.Before(s.relaxedUntil) {
		// The bound applies to all requests; otherwise the late ones would displace the
		// others.
		return relaxedStepShare
	}
	return relaxedStepShare - (relaxedStepShare-congestedStepShare)*min(s.pressure.waitingShare/sustainedPressure, 1)
}

// mayFinishLate reports whether a request may miss its FinishBy time. The estimate
// assumes that all waiting work of its priority is granted first and that its own
// output is long.
func (s *State) mayFinishLate(now time.Time, it *fairqueue.Item[*Request]) bool {
	if it.FinishBy.IsZero() {
		return false
	}
	tokens := s.lengths.Lengths(lengthKey(it.Value)).Quantile(finishTimeQuantile)
	if m := it.Value.MaxTokens; m > 0 {
		tokens = min(tokens, float64(m))
	}
	run := time.Duration(tokens * float64(s.pool.Limits.TargetStep))
	return it.FinishBy.Sub(now) < s.throughput.expectedWait(s.queue.LevelCost(it.Priority))+run
}
