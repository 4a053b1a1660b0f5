package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

// reportedTimes returns the outcomes that a run of a stream reports while drive acts on it.
func reportedTimes(u *catalog.Upstream, d Dispatch, drive func(r *runReport, start time.Time)) []Outcome {
	var out []Outcome
	g := New(Options{OnOutcome: func(o Outcome) { out = append(out, o) }})
	route := &catalog.Route{Name: "r", Kind: catalog.Stream, LatencyTarget: time.Second, MaxEventGap: 100 * time.Millisecond}
	c := &call{g: g, route: route, service: &catalog.Service{Name: "s"}}
	c.startRun(u, d)
	drive(c.run, c.run.sentAt)
	return out
}

// Guards against a slow version whose requests count only at their end, or not at all when callers leave.
func TestTimesAreReportedBeforeTheEnd(t *testing.T) {
	u := &catalog.Upstream{Version: "v2"}
	out := reportedTimes(u, Dispatch{}, func(r *runReport, start time.Time) {
		for i := range intervalSampleEvents + 1 {
			r.recordEvent(start.Add(time.Duration(i+1) * 50 * time.Millisecond))
		}
	})
	require.Len(t, out, 2)
	require.Equal(t, Outcome{Service: "s", Version: "v2", Route: "r", Running: true, TimeToFirst: 50 * time.Millisecond}, out[0])
	require.Equal(t, 50*time.Millisecond, out[1].MeanEventInterval)

	out = reportedTimes(u, Dispatch{}, func(r *runReport, start time.Time) { r.recordAbandoned(start.Add(3 * time.Second)) })
	require.Len(t, out, 1)
	require.Equal(t, 3*time.Second, out[0].TimeToFirst)

	out = reportedTimes(u, Dispatch{}, func(r *runReport, start time.Time) {
		r.recordEvent(start)
		r.recordAbandoned(start.Add(2 * time.Second))
	})
	require.Equal(t, 2*time.Second, out[len(out)-1].MeanEventInterval)
}

// Guards against times that do not describe the version: of callers that leave early, of
// continued runs and of upstreams that have just started.
func TestTimesOfPartialRunsAreNotReported(t *testing.T) {
	u := &catalog.Upstream{Version: "v2"}
	require.Empty(t, reportedTimes(u, Dispatch{}, func(r *runReport, start time.Time) { r.recordAbandoned(start.Add(100 * time.Millisecond)) }))
	require.Empty(t, reportedTimes(u, Dispatch{ResumeAfter: "4"}, func(r *runReport, start time.Time) { r.recordEvent(start) }))
	cold := &catalog.Upstream{Version: "v2", ColdUntil: time.Now().Add(time.Minute)}
	require.Empty(t, reportedTimes(cold, Dispatch{}, func(r *runReport, start time.Time) { r.recordEvent(start) }))
}
