package membudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

// newEntry returns an admitted connection whose request has begun.
func newEntry(l *ledger, address string, now time.Time) *entry {
	e := &entry{address: address}
	l.admit(e, now)
	l.begin(e, now)
	return e
}

// hold lets a request arrive and hold n bytes, and requires that it may.
func hold(t *testing.T, l *ledger, e *entry, n int64, now time.Time) {
	t.Helper()
	granted, _ := l.reserve(e, n, now)
	require.True(t, granted)
	l.progress(e, n, now)
}

// Guards against limits that a caller within the pages' limits meets in calm: one body of 4 MiB
// or one head of 16 KiB of short lines, and 20 requests at a time with bodies of 17 kB, on the
// smallest machines.
func TestLimitsAdmitOrdinaryCallers(t *testing.T) {
	for _, memoryMB := range []int{80, 112, 120, 134} {
		limits := LimitsFor(memoryMB, 4100)
		l := newLedger(limits)
		large := newEntry(l, "a", start)
		for _, n := range []int64{firstChunkedBytes, 4 * firstChunkedBytes, 4<<20 + 1} {
			hold(t, l, large, n, start)
		}
		for range 20 {
			hold(t, l, newEntry(l, "b", start), 25<<10, start)
		}
		require.Greater(t, limits.Connections, 500, "%d MB", memoryMB)
		require.Less(t, limits.RequestBytes+int64(limits.Connections)*connectionBytes+ownBytes, limits.GoBytes, "%d MB", memoryMB)
	}
	require.Less(t, LimitsFor(112, 256).Connections, 256/4*3, "upstreams and the store need descriptors")
}

// Guards against large requests that take the room of small ones.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	l := newLedger(Limits{RequestBytes: 8 << 20, LargeBytes: 6 << 20, Connections: 100})
	hold(t, l, newEntry(l, "a", start), 3<<20, start)
	hold(t, l, newEntry(l, "a", start), 3<<20, start)
	granted, victims := l.reserve(newEntry(l, "a", start), 1<<20, start)
	require.False(t, granted)
	require.Empty(t, victims, "the others arrive faster")
	for range 30 {
		hold(t, l, newEntry(l, "a", start), 32<<10, start)
	}
}

// Guards against requests that stall or trickle and keep others out, and against the end of
// requests that have been passed on or make progress.
func TestStalledRequestsGiveWay(t *testing.T) {
	l := newLedger(Limits{RequestBytes: 8 << 20, LargeBytes: 6 << 20, Connections: 100})
	stalled, trickling, runs := newEntry(l, "a", start), newEntry(l, "a", start), newEntry(l, "a", start)
	hold(t, l, runs, 1<<20, start)
	runs.phase = running
	hold(t, l, stalled, 2<<20, start)
	hold(t, l, trickling, 2<<20, start)
	now := start
	for range 30 { // less than progressBytes a second
		now = now.Add(100 * time.Millisecond)
		l.progress(trickling, 100, now)
	}
	steady := newEntry(l, "a", now)
	hold(t, l, steady, 1<<20, now)
	granted, victims := l.reserve(newEntry(l, "a", now), 3<<20, now)
	require.False(t, granted)
	require.ElementsMatch(t, []*entry{stalled, trickling}, victims)
	for _, v := range victims {
		v.ended = true
	}
	granted, victims = l.reserve(newEntry(l, "a", now), 3<<20, now)
	require.False(t, granted)
	require.NotNil(t, victims, "the memory of ended requests is about to be free")
	require.Empty(t, victims)
	l.remove(stalled)
	l.remove(trickling)
	hold(t, l, newEntry(l, "a", now), 3<<20, now)
}

// Guards against one address that keeps others out.
func TestAddressesShareTheMemory(t *testing.T) {
	l := newLedger(Limits{RequestBytes: 8 << 20, LargeBytes: 8 << 20, Connections: 100})
	greedy := newEntry(l, "greedy", start)
	hold(t, l, greedy, 6<<20, start)
	other := newEntry(l, "other", start)
	hold(t, l, other, 1<<20, start)
	now := start.Add(stallTime / 2)
	granted, victims := l.reserve(other, 2<<20, now)
	require.False(t, granted)
	require.Equal(t, []*entry{greedy}, victims, "although it arrived faster")
}

// Guards against idle connections that keep new ones out, and against the end of connections
// with a request that makes progress.
func TestIdleConnectionsGiveWay(t *testing.T) {
	l := newLedger(Limits{RequestBytes: 8 << 20, LargeBytes: 6 << 20, Connections: 3})
	busy := newEntry(l, "a", start)
	busy.phase = running
	idleLong, idleShort := &entry{address: "a"}, &entry{address: "a"}
	require.Nil(t, l.admit(idleLong, start))
	require.Nil(t, l.admit(idleShort, start.Add(time.Second)))
	now := start.Add(2 * time.Second)
	added := &entry{address: "a"}
	require.Equal(t, idleLong, l.admit(added, now))
	l.begin(added, now)
	idleShort.phase = running
	refused := &entry{address: "a"}
	require.Equal(t, refused, l.admit(refused, now), "no other can end")
	for _, e := range []*entry{busy, idleLong, idleShort, added, refused} {
		l.remove(e)
		granted, _ := l.reserve(e, 1000, now) // its handler may still run
		require.True(t, granted)
	}
	require.Zero(t, l.requestBytes, "nobody frees it")
	require.Zero(t, l.units)
	require.Empty(t, l.addressConns)
}

// Guards against requests that lose their memory because they wait for more: nothing of them is read
// in that time.
func TestWaitingRequestsDoNotCountAsStalled(t *testing.T) {
	l := newLedger(Limits{RequestBytes: 8 << 20, LargeBytes: 6 << 20, Connections: 100})
	waiting, stalled := newEntry(l, "a", start), newEntry(l, "b", start)
	hold(t, l, waiting, 1<<20, start)
	hold(t, l, stalled, 1<<20, start)
	waiting.waiting = true
	later := start.Add(2 * stallTime)
	require.Greater(t, l.rank(waiting, later), l.rank(stalled, later))
}
