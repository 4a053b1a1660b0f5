package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// applyEvent applies one event of the trace.
func (s *simulation) applyEvent(event trace.Event) {
	switch event.Kind {
	case trace.Arrive:
		s.handleArrival(*event.Arrival)
	case trace.UpstreamCold:
		s.engineByName[event.Upstream].turnCold()
	case trace.UpstreamReclaimed:
		e := s.engineByName[event.Upstream]
		e.leaving = true
		s.outOfServiceSince[e] = s.clock.now
		s.clock.scheduleAfter(event.Notice(), func() { s.stopEngine(e) })
	case trace.UpstreamLost:
		s.stopEngine(s.engineByName[event.Upstream])
	case trace.UpstreamBack:
		e := s.engineByName[event.Upstream]
		delete(s.outOfServiceSince, e)
		e.start()
	case trace.DataCentreOut, trace.DataCentreBack:
		s.setDataCentreOut(event.DataCentre, event.Kind == trace.DataCentreOut)
	}
}

func (s *simulation) setDataCentreOut(name string, dataCentreOut bool) {
	for i, p := range s.pools {
		if p.DataCentre != name {
			continue
		}
		s.dataCentreOut[i] = dataCentreOut
		for _, u := range p.Upstreams {
			if dataCentreOut {
				s.outOfServiceSince[s.engineByName[u.Name]] = s.clock.now
			} else {
				delete(s.outOfServiceSince, s.engineByName[u.Name])
			}
		}
		s.policy.SetPool(s.now, poolEntity(p), dataCentreOut)
		s.decisionDue = true
	}
}

func (s *simulation) handleArrival(a trace.Arrival) {
	s.pendingArrivals--
	h := s.trace.Header
	service := h.Services[slices.IndexFunc(h.Services, func(x trace.Service) bool { return x.Name == a.Service })]
	r := &request{
		arrival: a, service: service, priority: service.Priority, arrivedAt: s.clock.now,
		accountIndex: slices.IndexFunc(h.Accounts, func(x trace.Account) bool { return x.Name == a.Account }),
		counted:      s.clock.now >= h.Warmup(), finishBy: milliseconds(a.FinishByMS),
	}
	if a.Priority != nil {
		r.priority = *a.Priority
	}
	if ms := max(a.DeadlineMS, 0); ms > 0 {
		r.deadline = r.arrivedAt + milliseconds(ms)
	} else if service.DeadlineMS > 0 {
		r.deadline = r.arrivedAt + milliseconds(service.DeadlineMS)
	}
	s.requests[a.ID] = r
	s.openRequests++
	if a.AbandonMS > 0 {
		s.clock.scheduleAfter(milliseconds(a.AbandonMS), func() { s.abandon(r) })
	}
	s.acquire(r)
}

func (s *simulation) acquire(r *request) {
	r.status = statusWaiting
	s.waitingRequests++
	s.policy.Acquire(s.now, s.poolRequest(r))
	s.decisionDue = true
}

// abandon ends a request whose caller has disconnected. The policy learns of it when
// the permit is released. A request that still waits is withdrawn if the policy is an
// Abandoner; otherwise its permit is released as soon as it is granted.
func (s *simulation) abandon(r *request) {
	if r.status.isFinal() {
		return
	}
	r.abandoned = true
	switch r.status {
	case statusRunning:
		a := r.currentAttempt
		a.engine.cancel(a.permitID)
		s.release(a, pool.Cancelled)
		s.finish(r, statusAbandoned)
	case statusRetrying:
		s.finish(r, statusAbandoned)
	case statusWaiting:
		if p, ok := s.policy.(Abandoner); ok {
			p.Abandon(s.now, r.arrival.ID)
			s.decisionDue = true
			s.waitingRequests--
			s.finish(r, statusAbandoned)
		}
	}
}

func (s *simulation) finish(r *request, final status) {
	r.status, r.finishedAt, r.currentAttempt = final, s.clock.now, nil
	s.openRequests--
	s.metrics.recordFinish(r)
}

func (s *simulation) release(a *attempt, outcome pool.Outcome) {
	delete(s.attemptByPermit, a.permitID)
	s.policy.Release(s.now, a.permitID, outcome, a.job.producedTokens)
	s.decisionDue = true
}

func (s *simulation) handleGrant(p pool.Permit) {
	r, e := s.requests[p.RequestID], s.engineByName[p.Upstream]
	if r == nil || e == nil || r.status != statusWaiting {
		// A grant for an abandoned request is allowed, because the policy may not know
		// yet. Any other grant without a waiting request is a fault of the policy.
		if r == nil || !r.abandoned {
			s.metrics.duplicates++
		}
		s.policy.Release(s.now, p.ID, pool.NeverSent, 0)
		s.decisionDue = true
		return
	}
	s.waitingRequests--
	if r.abandoned {
		s.policy.Release(s.now, p.ID, pool.NeverSent, 0)
		s.decisionDue = true
		s.finish(r, statusAbandoned)
		return
	}
	r.attempts++
	j := &job{
		permitID: p.ID, promptTokens: r.arrival.PromptTokens, outputTokens: r.arrival.OutputTokens, priority: r.priority,
		prefixHash: r.arrival.PrefixHash, prefixTokens: r.arrival.PrefixTokens,
	}
	a := &attempt{request: r, permitID: p.ID, engine: e, job: j, sentAt: s.clock.now, reportedAt: s.clock.now}
	s.dispatch(a)
}

func (s *simulation) dispatch(a *attempt) {
	r, e := a.request, a.engine
	if since, ok := s.outOfServiceSince[e]; ok && s.clock.now > since+leavingGrace {
		s.metrics.lateDispatches++
	}
	if !e.up {
		// The connection is refused, which proves that nothing was sent.
		s.release(a, pool.NeverSent)
		s.policy.Lose(s.now, e.name)
		s.retry(r)
		return
	}
	r.status, r.currentAttempt = statusRunning, a
	s.attemptByPermit[a.permitID] = a
	if !e.submit(a.job) {
		s.release(a, pool.Refused)
		s.finish(r, statusFailed)
	}
}

// retry schedules another attempt after a lost one, or fails the request when
// maxAttempts is reached.
func (s *simulation) retry(r *request) {
	if r.attempts >= maxAttempts {
		s.finish(r, statusFailed)
		return
	}
	r.status, r.currentAttempt = statusRetrying, nil
	s.clock.scheduleAfter(retryDelay, func() {
		if r.status == statusRetrying {
			s.acquire(r)
		}
	})
}

func (s *simulation) handleRefuse(c pool.Refuse) {
	r := s.requests[c.RequestID]
	if r == nil || r.status != statusWaiting {
		if r == nil || !r.abandoned {
			s.metrics.duplicates++
		}
		return
	}
	s.waitingRequests--
	if r.abandoned {
		s.finish(r, statusAbandoned)
		return
	}
	s.finish(r, statusRefused)
}

// handleCancel cancels an attempt at its engine, as the policy decided. The request is
// sent again.
func (s *simulation) handleCancel(permit uint64) {
	if a := s.attemptByPermit[permit]; a != nil {
		a.engine.cancel(permit)
		delete(s.attemptByPermit, permit)
		s.retry(a.request)
	}
	s.clock.scheduleAfter(cancelLatency, func() {
		s.policy.ConfirmCancelled(s.now, permit)
		s.decisionDue = true
	})
}

// stopEngine stops an engine, which breaks its connections at once.
func (s *simulation) stopEngine(e *engine) {
	if e.up {
		s.handleLostJobs(e, e.stop())
	}
}

// engineFailed implements engineEvents.
func (s *simulation) engineFailed(e *engine, lost []*job) { s.handleLostJobs(e, lost) }

// handleLostJobs releases the attempts of jobs that an engine lost and retries or fails
// their requests.
func (s *simulation) handleLostJobs(e *engine, jobs []*job) {
	for _, j := range jobs {
		a := s.attemptByPermit[j.permitID]
		if a == nil {
			continue
		}
		s.release(a, pool.UpstreamLost)
		if s.dataCentreOut[s.poolIndex[e]] || e.leaving {
			s.metrics.cutOff++
		}
		if j.producedTokens > 0 && a.request.service.Delivery == trace.DeliverError {
			s.finish(a.request, statusFailed)
			continue
		}
		s.retry(a.request)
	}
	if len(jobs) > 0 {
		s.policy.Lose(s.now, e.name)
		s.decisionDue = true
	}
}

// jobFinished implements engineEvents.
func (s *simulation) jobFinished(_ *engine, j *job, outcome pool.Outcome) {
	a := s.attemptByPermit[j.permitID]
	if a == nil {
		return
	}
	s.release(a, outcome)
	if outcome == pool.Completed {
		s.finish(a.request, statusCompleted)
	} else {
		s.finish(a.request, statusFailed)
	}
}

// tokenProduced implements engineEvents.
func (s *simulation) tokenProduced(e *engine, j *job) {
	a := s.attemptByPermit[j.permitID]
	if a == nil {
		return
	}
	if a.firstTokenWait == 0 {
		a.firstTokenWait = s.clock.now - a.sentAt
	}
	a.lastTokenAt = s.clock.now
	s.metrics.recordToken(a.request, s.clock.now, s.clock.now <= s.lastArrivalAt, s.pools[s.poolIndex[e]].Limits.TargetStep())
}

// jobPreempted implements engineEvents.
func (s *simulation) jobPreempted(_ *engine, j *job) {
	if a := s.attemptByPermit[j.permitID]; a != nil {
		s.metrics.recordPreemption(a.request)
	}
}
