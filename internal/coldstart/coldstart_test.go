package coldstart

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed gives the same result in every run; -rapid.seed explores others.
func init() { _ = flag.Set("rapid.seed", "20260102") }

var (
	t0         = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	testLimits = Limits{Cold: 2, Max: 6}
)

func warmTracker(t *testing.T) Tracker {
	t.Helper()
	tr := New(t0, testLimits, true)
	tr.Report(t0.Add(time.Second), t0.Add(time.Second), false)
	require.Equal(t, 6, tr.Limit())
	return tr
}

// The limit must rise with requests completed at normal speed, and only after a report
// that was taken after the upstream turned cold.
func TestRampByCompletedWork(t *testing.T) {
	tr := New(t0, testLimits, true)
	tr.Report(t0, t0, true)
	for range 10 {
		tr.RecordCompletion(true)
	}
	require.Equal(t, 2, tr.Limit(), "work before the warm report does not count")
	tr.Report(t0.Add(time.Second), t0.Add(-time.Second), false)
	require.True(t, tr.AwaitingWarmReport(), "an old report proves nothing")
	tr.Report(t0.Add(2*time.Second), t0.Add(time.Second), false)
	for range 3 {
		tr.RecordCompletion(true)
		tr.RecordCompletion(false)
	}
	require.Equal(t, 3, tr.Limit(), "slow work does not count")
	for range 20 {
		tr.RecordCompletion(true)
	}
	require.Equal(t, 6, tr.Limit())
	require.False(t, tr.Cold())
}

// Two consecutive slow observations must mark the upstream as cold; a single one must
// not.
func TestSlowObservationsMarkCold(t *testing.T) {
	tr := warmTracker(t)
	for range 10 {
		require.False(t, tr.ObserveStep(t0, 20*time.Millisecond))
	}
	require.False(t, tr.ObserveStep(t0, 100*time.Millisecond))
	require.False(t, tr.ObserveStep(t0, 20*time.Millisecond))
	require.False(t, tr.ObserveStep(t0, 100*time.Millisecond))
	require.True(t, tr.ObserveStep(t0, 100*time.Millisecond))
	require.Equal(t, 2, tr.Limit())
	require.False(t, tr.IsNormalStep(100*time.Millisecond, 0))
	require.True(t, tr.IsNormalStep(30*time.Millisecond, 0))
}

// A lasting slowdown must be learned as the normal speed; otherwise the upstream would
// stay cold forever.
func TestLastingSlowdownIsLearned(t *testing.T) {
	tr := warmTracker(t)
	for range 10 {
		tr.ObserveFirstToken(t0, time.Second)
	}
	turns := 0
	for range 200 {
		if tr.ObserveFirstToken(t0, 5*time.Second) {
			turns++
		}
		tr.Report(t0, t0.Add(time.Second), false)
	}
	require.Equal(t, 1, turns)
	m, ok := tr.firstTokenTimes.median()
	require.True(t, ok)
	require.Equal(t, 5*time.Second, m)
}

// A change of limits must keep a warm upstream warm and a cold one cold.
func TestSetLimits(t *testing.T) {
	tr := warmTracker(t)
	tr.SetLimits(Limits{Cold: 3, Max: 10})
	require.Equal(t, 10, tr.Limit())
	tr.MarkCold(t0)
	tr.SetLimits(Limits{Cold: 1, Max: 10})
	require.Equal(t, 1, tr.Limit())
}

// For any sequence of calls, the limit must be exactly the cold limit while the
// upstream is not known to be warm, and never above the maximum.
func TestLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Cold: rapid.IntRange(1, 5).Draw(t, "cold"), Max: rapid.IntRange(1, 9).Draw(t, "max")}
		tr := New(t0, l, true)
		now := t0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				tr.RecordCompletion(rapid.Bool().Draw(t, "normal"))
			case 1:
				tr.Report(now, now.Add(-time.Second), rapid.Bool().Draw(t, "cold"))
			case 2:
				tr.ObserveStep(now, time.Duration(rapid.IntRange(1, 200).Draw(t, "step"))*time.Millisecond)
			case 3:
				tr.MarkCold(now)
			case 4:
				tr.Reset(now)
			}
			if tr.AwaitingWarmReport() && tr.Limit() != l.normalised().Cold {
				t.Fatalf("limit %d while cold", tr.Limit())
			}
			if tr.Limit() > l.normalised().Max {
				t.Fatalf("limit %d above the maximum", tr.Limit())
			}
		}
	})
}
