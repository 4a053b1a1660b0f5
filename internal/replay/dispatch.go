package replay

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// apply carries out one event of the trace.
func (s *simulation) apply(event trace.Event) {
	switch event.Kind {
	case trace.Arrive:
		s.arrive(*event.Arrival)
	case trace.UpstreamCold:
		s.byName[event.Upstream].turnCold()
	case trace.UpstreamReclaimed:
		e := s.byName[event.Upstream]
		e.leaving = true
		s.closedAt[e] = s.clock.now
		s.clock.after(event.Notice(), func() { s.lose(e) })
	case trace.UpstreamLost:
		s.lose(s.byName[event.Upstream])
	case trace.UpstreamBack:
		e := s.byName[event.Upstream]
		delete(s.closedAt, e)
		e.start()
	case trace.DataCentreOut, trace.DataCentreBack:
		s.moveDataCentre(event.DataCentre, event.Kind == trace.DataCentreOut)
	}
}

func (s *simulation) moveDataCentre(name string, out bool) {
	for i, p := range s.pools {
		if p.DataCentre != name {
			continue
		}
		s.out[i] = out
		for _, u := range p.Upstreams {
			if out {
				s.closedAt[s.byName[u.Name]] = s.clock.now
			} else {
				delete(s.closedAt, s.byName[u.Name])
			}
		}
		s.policy.SetPool(s.now, poolEntity(p), out)
		s.visible = true
	}
}

func (s *simulation) arrive(a trace.Arrival) {
	s.arrivals--
	h := s.trace.Header
	service := h.Services[slices.IndexFunc(h.Services, func(x trace.Service) bool { return x.Name == a.Service })]
	r := &request{
		arrival: a, service: service, priority: service.Priority, at: s.clock.now,
		account: slices.IndexFunc(h.Accounts, func(x trace.Account) bool { return x.Name == a.Account }),
		counted: s.clock.now >= h.Warmup(), finishBy: milliseconds(a.FinishByMS),
	}
	if a.Priority != nil {
		r.priority = *a.Priority
	}
	if ms := max(a.DeadlineMS, 0); ms > 0 {
		r.deadline = r.at + milliseconds(ms)
	} else if service.DeadlineMS > 0 {
		r.deadline = r.at + milliseconds(service.DeadlineMS)
	}
	s.requests[a.ID] = r
	s.open++
	if a.AbandonMS > 0 {
		s.clock.after(milliseconds(a.AbandonMS), func() { s.abandon(r) })
	}
	s.acquire(r)
}

func (s *simulation) acquire(r *request) {
	r.status = statusWaiting
	s.waiting++
	s.policy.Acquire(s.now, s.poolRequest(r))
	s.visible = true
}

// abandon ends a request whose caller has left. The policy learns of it by the
// release of the permit; a request that still waits is released when granted.
func (s *simulation) abandon(r *request) {
	if r.status.final() {
		return
	}
	r.abandoned = true
	switch r.status {
	case statusRunning:
		a := r.current
		a.engine.cancel(a.permit)
		s.release(a, pool.Cancelled)
		s.finish(r, statusAbandoned)
	case statusRetrying:
		s.finish(r, statusAbandoned)
	case statusWaiting:
		if p, ok := s.policy.(Abandoner); ok {
			p.Abandon(s.now, r.arrival.ID)
			s.visible = true
			s.waiting--
			s.finish(r, statusAbandoned)
		}
	}
}

func (s *simulation) finish(r *request, to status) {
	r.status, r.doneAt, r.current = to, s.clock.now, nil
	s.open--
	s.metrics.finish(r)
}

func (s *simulation) release(a *attempt, outcome pool.Outcome) {
	delete(s.permits, a.permit)
	s.policy.Release(s.now, a.permit, outcome, a.job.produced)
	s.visible = true
}

func (s *simulation) grant(p pool.Permit) {
	r, e := s.requests[p.RequestID], s.byName[p.Upstream]
	if r == nil || e == nil || r.status != statusWaiting {
		// A grant may cross the departure of the caller; any other one is a fault.
		if r == nil || !r.abandoned {
			s.metrics.duplicates++
		}
		s.policy.Release(s.now, p.ID, pool.NeverSent, 0)
		s.visible = true
		return
	}
	s.waiting--
	if r.abandoned {
		s.policy.Release(s.now, p.ID, pool.NeverSent, 0)
		s.visible = true
		s.finish(r, statusAbandoned)
		return
	}
	r.attempts++
	j := &job{
		permit: p.ID, prompt: r.arrival.PromptTokens, output: r.arrival.OutputTokens, priority: r.priority,
		prefixHash: r.arrival.PrefixHash, prefixTokens: r.arrival.PrefixTokens,
	}
	a := &attempt{request: r, permit: p.ID, engine: e, job: j, sentAt: s.clock.now, reportedAt: s.clock.now}
	s.dispatch(a)
}

func (s *simulation) dispatch(a *attempt) {
	r, e := a.request, a.engine
	if closed, ok := s.closedAt[e]; ok && s.clock.now > closed+settleTime {
		s.metrics.lateDispatches++
	}
	if !e.up {
		// The connection is refused, which proves that nothing was sent.
		s.release(a, pool.NeverSent)
		s.policy.Lose(s.now, e.name)
		s.retry(r)
		return
	}
	r.status, r.current = statusRunning, a
	s.permits[a.permit] = a
	if !e.submit(a.job) {
		s.release(a, pool.Refused)
		s.finish(r, statusFailed)
	}
}

// retry sends a request again after a lost attempt, if its attempts are not used up.
func (s *simulation) retry(r *request) {
	if r.attempts >= maxAttempts {
		s.finish(r, statusFailed)
		return
	}
	r.status, r.current = statusRetrying, nil
	s.clock.after(retryDelay, func() {
		if r.status == statusRetrying {
			s.acquire(r)
		}
	})
}

func (s *simulation) refuse(c pool.Refuse) {
	r := s.requests[c.RequestID]
	if r == nil || r.status != statusWaiting {
		if r == nil || !r.abandoned {
			s.metrics.duplicates++
		}
		return
	}
	s.waiting--
	if r.abandoned {
		s.finish(r, statusAbandoned)
		return
	}
	s.finish(r, statusRefused)
}

// cancel carries out a policy's cancellation; the request is sent again.
func (s *simulation) cancel(permit uint64) {
	if a := s.permits[permit]; a != nil {
		a.engine.cancel(permit)
		delete(s.permits, permit)
		s.retry(a.request)
	}
	s.clock.after(cancelLatency, func() {
		s.policy.ConfirmCancelled(s.now, permit)
		s.visible = true
	})
}

// lose ends an engine; its connections break at once.
func (s *simulation) lose(e *engine) {
	if e.up {
		s.lost(e, e.stop())
	}
}

// collapsed implements engineEvents.
func (s *simulation) collapsed(e *engine, lost []*job) { s.lost(e, lost) }

func (s *simulation) lost(e *engine, jobs []*job) {
	for _, j := range jobs {
		a := s.permits[j.permit]
		if a == nil {
			continue
		}
		s.release(a, pool.UpstreamLost)
		if s.out[s.poolOf[e]] || e.leaving {
			s.metrics.cutOff++
		}
		if j.produced > 0 && a.request.service.Delivery == trace.DeliverError {
			s.finish(a.request, statusFailed)
			continue
		}
		s.retry(a.request)
	}
	if len(jobs) > 0 {
		s.policy.Lose(s.now, e.name)
		s.visible = true
	}
}

// finished implements engineEvents.
func (s *simulation) finished(_ *engine, j *job, outcome pool.Outcome) {
	a := s.permits[j.permit]
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

// token implements engineEvents.
func (s *simulation) token(e *engine, j *job) {
	a := s.permits[j.permit]
	if a == nil {
		return
	}
	if a.first == 0 {
		a.first = s.clock.now - a.sentAt
	}
	a.last = s.clock.now
	s.metrics.token(a.request, s.clock.now, s.clock.now <= s.window, s.pools[s.poolOf[e]].Limits.TargetStep())
}

// preemption implements engineEvents.
func (s *simulation) preemption(_ *engine, j *job) {
	if a := s.permits[j.permit]; a != nil {
		s.metrics.preempted(a.request)
	}
}
