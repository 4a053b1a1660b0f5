package gateway

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

// intervalSampleEvents is the number of event intervals after which the mean interval of a
// stream is reported. Long streams would otherwise count only at their end.
const intervalSampleEvents = 8

// runReport reports how one run of a request goes, for the comparison of versions in
// rollouts. Times are reported as soon as they are known: those of a slow version would
// otherwise come after the decision, or never if callers leave. It is used by the
// goroutine of the request.
type runReport struct {
	call     *call
	upstream *catalog.Upstream
	sentAt   time.Time
	// partial is set if the run continues another one, whose times it must not be compared
	// with.
	partial bool
	events  int
	// pendingPromptTokens are the prompt tokens that the engine has to process before the first
	// event.
	pendingPromptTokens int
	// waitingSince is when this host was ready for the next event.
	waitingSince     time.Time
	firstEventAt     time.Time
	lastEventAt      time.Time
	intervalReported bool
}

// startRun begins the report of a run.
func (c *call) startRun(u *catalog.Upstream, d Dispatch) {
	now := time.Now()
	c.run = &runReport{call: c, upstream: u, sentAt: now, partial: d.CopyName != "" || d.ResumeAfter != ""}
	if c.g.Speeds != nil && c.info.PromptTokens > 0 {
		c.run.pendingPromptTokens = c.g.LoadTracker.Views([]string{u.ID}, now)[0].Load.PendingPromptTokens
	}
}

// recordEvent records an event of a stream.
func (r *runReport) recordEvent(now time.Time) {
	r.events++
	if r.events > 1 {
		r.measureEventGap(r.lastEventAt, now)
	}
	r.lastEventAt = now
	switch r.events {
	case 1:
		r.firstEventAt = now
		r.call.reportBegun(now)
		r.measureFirstEvent(now)
		r.send(Outcome{Running: true, TimeToFirst: now.Sub(r.sentAt)})
	case beginningEvents + 1:
		r.call.recordAnswer(now)
	case intervalSampleEvents + 1:
		r.intervalReported = true
		r.send(Outcome{Running: true, MeanEventInterval: now.Sub(r.firstEventAt) / intervalSampleEvents})
	}
}

// recordEnd records that the upstream ended the run, with a failure or a complete response.
func (r *runReport) recordEnd(failed bool, now time.Time) {
	if !failed {
		r.call.recordAnswer(now)
	}
	if r.call.route.Kind != catalog.Stream {
		r.call.reportBegun(r.sentAt)
	}
	o := Outcome{Failed: failed}
	switch {
	case failed:
	case r.call.route.Kind != catalog.Stream:
		o.TimeToFirst = now.Sub(r.sentAt)
	case !r.intervalReported && r.events > 1:
		o.MeanEventInterval = r.lastEventAt.Sub(r.firstEventAt) / time.Duration(r.events-1)
	}
	r.send(o)
}

// recordAbandoned records a run whose caller left or whose time was over. The time that
// the caller has waited in vain is a lower bound of the missing time; below the target of
// the route it says nothing about the upstream.
func (r *runReport) recordAbandoned(now time.Time) {
	route := r.call.route
	switch {
	case r.events == 0:
		if waited := now.Sub(r.sentAt); route.LatencyTarget > 0 && waited >= route.LatencyTarget {
			r.send(Outcome{Running: true, TimeToFirst: waited})
		}
	case !r.intervalReported && route.MaxEventGap > 0 && now.Sub(r.lastEventAt) >= route.MaxEventGap:
		r.send(Outcome{Running: true, MeanEventInterval: now.Sub(r.firstEventAt) / time.Duration(r.events)})
	}
}

// send reports an outcome without the times that do not describe the version: those of
// partial runs and of upstreams that have just started.
func (r *runReport) send(o Outcome) {
	if r.partial || time.Now().Before(r.upstream.ColdUntil) {
		o.TimeToFirst, o.MeanEventInterval = 0, 0
	}
	if o.Running && o.TimeToFirst == 0 && o.MeanEventInterval == 0 {
		return
	}
	o.Service, o.Version, o.Route = r.call.service.Name, r.upstream.Version, r.call.route.Name
	r.call.g.OnOutcome(o)
}

// reportBegun reports once that an upstream began to run the request.
func (c *call) reportBegun(at time.Time) {
	if c.begunReported || c.g.OnRunBegan == nil {
		return
	}
	c.begunReported = true
	c.g.OnRunBegan(c.account, at)
}
