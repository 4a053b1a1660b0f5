package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const crashingFingerprint, harmlessFingerprint = 13, 7

func isRefused(t *Table, now time.Time, fingerprint uint64) bool {
	_, yes := t.Refused(now, fingerprint)
	return yes
}

// A request that crashes each upstream must be refused after the second loss,
// and run again alone once the refusal has ended.
func TestCrashingRequestIsRefused(t *testing.T) {
	q := New()
	q.RecordDispatch(crashingFingerprint, "e1", false)
	q.RecordDispatch(harmlessFingerprint, "e1", false)
	require.Equal(t, []Notice{{Fingerprint: harmlessFingerprint, Losses: 1, Upstream: "e1"}, {Fingerprint: crashingFingerprint, Losses: 1, Upstream: "e1"}}, q.RecordLoss(t0, "e1", false))
	require.True(t, q.ShouldIsolate(t0, crashingFingerprint))
	require.False(t, isRefused(q, t0, crashingFingerprint))
	q.RecordDispatch(harmlessFingerprint, "e2", true)
	require.True(t, q.RecordSuccess(harmlessFingerprint, "e2"))
	require.False(t, q.ShouldIsolate(t0, harmlessFingerprint))
	now := t0.Add(time.Minute)
	q.RecordDispatch(crashingFingerprint, "e2", true)
	require.Equal(t, []Notice{{Fingerprint: crashingFingerprint, Losses: 2, Upstream: "e2", Refused: true}}, q.RecordLoss(now, "e2", false))
	refusedFor, refused := q.Refused(now, crashingFingerprint)
	require.True(t, refused)
	require.Equal(t, RefusalDuration, refusedFor)
	now = now.Add(RefusalDuration)
	require.False(t, isRefused(q, now, crashingFingerprint))
	require.True(t, q.ShouldIsolate(now, crashingFingerprint))
	require.False(t, q.ShouldIsolate(now.Add(time.Hour), crashingFingerprint))
}

// Two losses of upstreams that also ran other requests must not cause a refusal.
func TestSharedLossesDoNotCauseRefusal(t *testing.T) {
	q := New()
	for i, upstream := range []string{"e1", "e2"} {
		q.RecordDispatch(harmlessFingerprint, upstream, false)
		q.RecordDispatch(uint64(100+i), upstream, false)
		q.RecordLoss(t0.Add(time.Duration(i)*time.Minute), upstream, false)
	}
	require.True(t, q.ShouldIsolate(t0.Add(time.Minute), harmlessFingerprint))
	require.False(t, isRefused(q, t0.Add(time.Minute), harmlessFingerprint))
}

// A loss that coincides with that of an unrelated upstream, before or after it, must
// not cause the refusal of a request that ran alone.
func TestUnrelatedLossDoesNotCauseRefusal(t *testing.T) {
	for _, after := range []bool{false, true} {
		q := New()
		q.RecordDispatch(harmlessFingerprint, "e1", false)
		q.RecordLoss(t0, "e1", false)
		q.RecordDispatch(harmlessFingerprint, "e2", true)
		q.RecordDispatch(99, "e3", false)
		now := t0.Add(time.Minute)
		order := []string{"e3", "e2"}
		if after {
			order = []string{"e2", "e3"}
		}
		q.RecordLoss(now, order[0], false)
		q.RecordLoss(now.Add(time.Second), order[1], false)
		require.False(t, isRefused(q, now.Add(time.Second), harmlessFingerprint), "after=%v", after)
		require.True(t, q.ShouldIsolate(now.Add(time.Second), harmlessFingerprint))
	}
}

// The failure of a rack must raise suspicion only against requests that ran on several
// of the lost upstreams, not against everything that ran there.
func TestMassLossSuspectsOnlyCommonRequests(t *testing.T) {
	q := New()
	for i, upstream := range []string{"e1", "e2", "e3", "e4"} {
		q.RecordDispatch(uint64(100+i), upstream, false)
		if i > 1 {
			q.RecordDispatch(crashingFingerprint, upstream, false)
		}
	}
	for i, upstream := range []string{"e1", "e2", "e3", "e4"} {
		q.RecordLoss(t0.Add(time.Duration(i)*100*time.Millisecond), upstream, false)
	}
	require.Equal(t, 1, q.Len())
	require.True(t, q.ShouldIsolate(t0, crashingFingerprint))
}

// Guards against a mass loss that clears a request which an earlier loss made suspect.
func TestMassLossKeepsEarlierSuspicion(t *testing.T) {
	q := New()
	q.RecordDispatch(crashingFingerprint, "e0", false)
	q.RecordLoss(t0, "e0", false)
	now := t0.Add(time.Minute)
	for i, upstream := range []string{"e1", "e2", "e3"} {
		q.RecordDispatch(uint64(100+i), upstream, false)
	}
	q.RecordDispatch(crashingFingerprint, "e3", true)
	for _, upstream := range []string{"e1", "e2", "e3"} {
		q.RecordLoss(now, upstream, false)
	}
	require.True(t, q.ShouldIsolate(now, crashingFingerprint))
	require.Equal(t, 1, q.Len())
}

// A run that is known to be lost only after its upstream's loss was recorded belongs to
// that loss: it counts once, and the loss is not unrelated to it.
func TestLateLossBelongsToTheRecordedLoss(t *testing.T) {
	q := New()
	require.Empty(t, q.RecordLoss(t0, "e1", false))
	now := t0.Add(500 * time.Millisecond)
	require.Equal(t, []Notice{{Fingerprint: crashingFingerprint, Losses: 1, Upstream: "e1"}}, q.RecordLateLoss(now, crashingFingerprint, "e1", false))
	require.Empty(t, q.RecordLateLoss(now, crashingFingerprint, "e1", false))
	q.RecordDispatch(crashingFingerprint, "e2", true)
	require.Equal(t, []Notice{{Fingerprint: crashingFingerprint, Losses: 2, Upstream: "e2", Refused: true}}, q.RecordLoss(now, "e2", false))
}

// Guards against a second loss of the same upstream, within the time in which losses
// coincide, that counts as the first one.
func TestLateLossOfTheNextIncarnationCounts(t *testing.T) {
	q := New()
	q.RecordDispatch(crashingFingerprint, "e1", false)
	q.RecordLoss(t0, "e1", false)
	now := t0.Add(time.Second)
	require.Empty(t, q.RecordLoss(now, "e1", false))
	require.Equal(t, []Notice{{Fingerprint: crashingFingerprint, Losses: 2, Upstream: "e1", Refused: true}}, q.RecordLateLoss(now, crashingFingerprint, "e1", true))
}

// Guards against a crashing request that is not refused after its second loss, because the
// owner of the pool saw the first one without it: the deputy had granted that run. The
// deputy's notice may come before or after the owner's own report.
func TestLossOfARunOfTheDeputyIsRelated(t *testing.T) {
	for _, noticeFirst := range []bool{false, true} {
		deputy, owner := New(), New()
		deputy.RecordDispatch(crashingFingerprint, "e2", false)
		deputy.RecordDispatch(harmlessFingerprint, "e2", false)
		notices := deputy.RecordLoss(t0, "e2", false)
		report := func() { require.Empty(t, owner.RecordLoss(t0, "e2", false)) }
		if !noticeFirst {
			report()
		}
		for _, n := range notices {
			owner.ApplyNotice(t0.Add(100*time.Millisecond), n)
		}
		if noticeFirst {
			report()
		}
		now := t0.Add(time.Second)
		require.True(t, owner.ShouldIsolate(now, crashingFingerprint))
		owner.RecordDispatch(crashingFingerprint, "e1", true)
		owner.RecordLoss(now, "e1", false)
		require.True(t, isRefused(owner, now, crashingFingerprint), "notice first: %t", noticeFirst)
		require.False(t, isRefused(owner, now, harmlessFingerprint))
	}
}

// Neither a planned stop nor runs that ended before a loss may raise suspicion.
func TestExpectedLossAndEndedRuns(t *testing.T) {
	q := New()
	q.RecordDispatch(harmlessFingerprint, "e1", false)
	require.Empty(t, q.RecordLoss(t0, "e1", true))
	q.RecordDispatch(harmlessFingerprint, "e2", false)
	q.RecordEnd(harmlessFingerprint, "e2")
	q.RecordEnd(harmlessFingerprint, "e2")
	require.Empty(t, q.RecordLoss(t0.Add(time.Minute), "e2", false))
	require.Zero(t, q.Len())
}

// Notices must bring another daemon's table to the same state.
func TestNotify(t *testing.T) {
	q := New()
	q.ApplyNotice(t0, Notice{Fingerprint: crashingFingerprint, Losses: 1})
	require.True(t, q.ShouldIsolate(t0, crashingFingerprint))
	q.ApplyNotice(t0, Notice{Fingerprint: crashingFingerprint, Losses: 2, Refused: true})
	require.True(t, isRefused(q, t0, crashingFingerprint))
	q.ApplyNotice(t0, Notice{Fingerprint: crashingFingerprint, Cleared: true})
	require.Zero(t, q.Len())
}

// The table must stay bounded, and eviction must be deterministic.
func TestTableIsBounded(t *testing.T) {
	a, b := New(), New()
	for i := range uint64(2 * maxEntries) {
		a.ApplyNotice(t0, Notice{Fingerprint: i, Losses: 1})
		b.ApplyNotice(t0, Notice{Fingerprint: i, Losses: 1})
	}
	require.LessOrEqual(t, a.Len(), maxEntries)
	require.True(t, a.ShouldIsolate(t0, 2*maxEntries-1))
	require.Equal(t, a.entries, b.entries)
}
