package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testPool(kind entity.UpstreamKind, upstreams int, limits entity.Limits) entity.Pool {
	p := entity.Pool{Name: "p", Kind: kind, Limits: limits}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, entity.Upstream{Name: fmt.Sprintf("e%03d", i), Pool: "p"})
	}
	return p
}

var engineLimits = entity.Limits{ColdRequests: 2, MaxRequests: 8, MemoryTokens: 8192, TargetStep: 60 * time.Millisecond}

func request(i int) Request {
	id := fmt.Sprint("r", i)
	return Request{ID: id, Fingerprint: uint64(i + 1), Service: "s", Account: "a", Weight: 1, Priority: 5, PromptTokens: 50}
}

func grants(commands []Command) []Permit {
	var out []Permit
	for _, c := range commands {
		if g, ok := c.(Grant); ok {
			out = append(out, g.Permit)
		}
	}
	return out
}

func refusals(commands []Command) map[string]Reason {
	out := map[string]Reason{}
	for _, c := range commands {
		if r, ok := c.(Refuse); ok {
			out[r.RequestID] = r.Reason
		}
	}
	return out
}

// A late report that shows an idle engine must not admit more than the limit.
func TestGrantsSinceAReportCount(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	for i := range 5 {
		s.Acquire(t0, request(i))
	}
	require.Len(t, grants(s.Decide(t0)), 2)
	s.Report(t0.Add(time.Second), Report{Upstream: "e000", Cold: true, Age: 2 * time.Second})
	require.Empty(t, grants(s.Decide(t0.Add(time.Second))))
}

// The limit grows with completed requests and not with time.
func TestRampFollowsCompletedWork(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	s.Report(t0, Report{Upstream: "e000", Cold: true})
	now := t0.Add(time.Second)
	s.Report(now, Report{Upstream: "e000"})
	require.Equal(t, 2, s.Snapshot(now.Add(time.Hour)).Upstreams[0].Limit)
	for i := range 4 {
		s.Acquire(now, request(i))
		for _, p := range grants(s.Decide(now)) {
			s.Progress(now, []Progress{{PermitID: p.ID, Tokens: 10, StepTime: 20 * time.Millisecond}})
			s.Release(now, p.ID, Completed, 10)
		}
	}
	require.Equal(t, 4, s.Snapshot(now).Upstreams[0].Limit)
}

// Guards against a change of owner that holds a warm engine at its cold limit for the
// whole permit term, although its reports show only known requests.
func TestReportsEndReconciliationEarly(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	s.StartEpoch(t0, t0)
	for i := range 8 {
		s.Acquire(t0, request(i))
	}
	now := t0
	var running []Permit
	for tick := range 8 { // 2 s, much less than the permit term
		now = now.Add(250 * time.Millisecond)
		for _, p := range running {
			s.Progress(now, []Progress{{PermitID: p.ID, Tokens: 10 * tick, FirstToken: 10 * time.Millisecond, StepTime: 20 * time.Millisecond}})
		}
		s.Report(now, Report{Upstream: "e000", Incarnation: "i1", Running: len(running), Age: 10 * time.Millisecond})
		running = append(running, grants(s.Decide(now))...)
	}
	require.Greater(t, len(running), engineLimits.ColdRequests)
}
