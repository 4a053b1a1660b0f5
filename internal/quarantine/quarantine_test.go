package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const bad, good = 13, 7

func refused(t *Table, now time.Time, fingerprint uint64) bool {
	_, yes := t.Refused(now, fingerprint)
	return yes
}

// A request that crashes each upstream must be refused after the second loss,
// and run again alone once the refusal has ended.
func TestCrashingRequestIsRefused(t *testing.T) {
	q := New()
	q.Dispatched(bad, "e1", false)
	q.Dispatched(good, "e1", false)
	require.Equal(t, []Notice{{Fingerprint: good, Losses: 1}, {Fingerprint: bad, Losses: 1}}, q.Lost(t0, "e1", false))
	require.True(t, q.ShouldIsolate(t0, bad))
	require.False(t, refused(q, t0, bad))
	q.Dispatched(good, "e2", true)
	require.True(t, q.Succeeded(good, "e2"))
	require.False(t, q.ShouldIsolate(t0, good))
	now := t0.Add(time.Minute)
	q.Dispatched(bad, "e2", true)
	require.Equal(t, []Notice{{Fingerprint: bad, Losses: 2, Refused: true}}, q.Lost(now, "e2", false))
	left, yes := q.Refused(now, bad)
	require.True(t, yes)
	require.Equal(t, RefusalTime, left)
	now = now.Add(RefusalTime)
	require.False(t, refused(q, now, bad))
	require.True(t, q.ShouldIsolate(now, bad))
	require.False(t, q.ShouldIsolate(now.Add(time.Hour), bad))
}

// Two losses that the request shared with others must not condemn it.
func TestSharedLossesDoNotCondemn(t *testing.T) {
	q := New()
	for i, upstream := range []string{"e1", "e2"} {
		q.Dispatched(good, upstream, false)
		q.Dispatched(uint64(100+i), upstream, false)
		q.Lost(t0.Add(time.Duration(i)*time.Minute), upstream, false)
	}
	require.True(t, q.ShouldIsolate(t0.Add(time.Minute), good))
	require.False(t, refused(q, t0.Add(time.Minute), good))
}

// A loss that coincides with that of an unrelated upstream, before or after it,
// must not condemn a request that ran alone.
func TestUnrelatedLossDoesNotCondemn(t *testing.T) {
	for _, after := range []bool{false, true} {
		q := New()
		q.Dispatched(good, "e1", false)
		q.Lost(t0, "e1", false)
		q.Dispatched(good, "e2", true)
		q.Dispatched(99, "e3", false)
		now := t0.Add(time.Minute)
		order := []string{"e3", "e2"}
		if after {
			order = []string{"e2", "e3"}
		}
		q.Lost(now, order[0], false)
		q.Lost(now.Add(time.Second), order[1], false)
		require.False(t, refused(q, now.Add(time.Second), good), "after=%v", after)
		require.True(t, q.ShouldIsolate(now.Add(time.Second), good))
	}
}

// The failure of a rack must not make suspects of everything that ran there, but
// of a request that ran on several of the lost upstreams.
func TestMassLossSuspectsOnlyCommonRequests(t *testing.T) {
	q := New()
	for i, upstream := range []string{"e1", "e2", "e3", "e4"} {
		q.Dispatched(uint64(100+i), upstream, false)
		if i > 1 {
			q.Dispatched(bad, upstream, false)
		}
	}
	for i, upstream := range []string{"e1", "e2", "e3", "e4"} {
		q.Lost(t0.Add(time.Duration(i)*100*time.Millisecond), upstream, false)
	}
	require.Equal(t, 1, q.Len())
	require.True(t, q.ShouldIsolate(t0, bad))
}

// A planned stop is no evidence, and ended runs are not blamed.
func TestExpectedLossAndEndedRuns(t *testing.T) {
	q := New()
	q.Dispatched(good, "e1", false)
	require.Empty(t, q.Lost(t0, "e1", true))
	q.Dispatched(good, "e2", false)
	q.Ended(good, "e2")
	q.Ended(good, "e2")
	require.Empty(t, q.Lost(t0.Add(time.Minute), "e2", false))
	require.Zero(t, q.Len())
}

// Notices must bring another daemon's table to the same answer.
func TestNotify(t *testing.T) {
	q := New()
	q.Notify(t0, Notice{Fingerprint: bad, Losses: 1})
	require.True(t, q.ShouldIsolate(t0, bad))
	q.Notify(t0, Notice{Fingerprint: bad, Losses: 2, Refused: true})
	require.True(t, refused(q, t0, bad))
	q.Notify(t0, Notice{Fingerprint: bad, Cleared: true})
	require.Zero(t, q.Len())
}

// The table must stay bounded, and dropping entries must be deterministic.
func TestTableIsBounded(t *testing.T) {
	a, b := New(), New()
	for i := range uint64(2 * maxEntries) {
		a.Notify(t0, Notice{Fingerprint: i, Losses: 1})
		b.Notify(t0, Notice{Fingerprint: i, Losses: 1})
	}
	require.LessOrEqual(t, a.Len(), maxEntries)
	require.True(t, a.ShouldIsolate(t0, 2*maxEntries-1))
	require.Equal(t, a.entries, b.entries)
}
