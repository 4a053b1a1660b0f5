package membership

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
)

const ms = time.Millisecond

// cluster is a set of trackers in virtual time that start with one common view.
type cluster struct {
	now      time.Time
	view     View
	head     uint64
	trackers []*Tracker
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1_700_000_000, 0)}
	for i := range n {
		id := Identity{fmt.Sprintf("h%02d", i), uint64(i + 1)}
		c.view = c.view.Join(Member{Identity: id, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 9000+i), DataCentre: "praha-1"})
		c.trackers = append(c.trackers, NewTracker("cell", id, c.now))
	}
	c.view.Changes = nil
	c.readStore(c.trackers...)
	return c
}

func (c *cluster) readStore(trackers ...*Tracker) {
	for _, t := range trackers {
		t.ObserveStoreRead(c.now, c.now, c.view, c.head)
	}
}

// sendHeartbeat sends a heartbeat from a to b; the answer is lost when answered is false.
func (c *cluster) sendHeartbeat(a, b *Tracker, answered bool) {
	request := a.Heartbeat(c.now, NoView)
	b.ObserveRequest(c.now, request)
	if answer := b.Heartbeat(c.now, request.Epoch); answered {
		a.ObserveHeartbeat(c.now, c.now, answer)
	}
}

func (c *cluster) heartbeatRound(trackers ...*Tracker) {
	for _, a := range trackers {
		for _, b := range trackers {
			if a != b {
				c.sendHeartbeat(a, b, true)
			}
		}
	}
}

// advance moves time by d in steps of 500 ms and calls f at each.
func (c *cluster) advance(d time.Duration, f func()) {
	for range d / (500 * ms) {
		c.now = c.now.Add(500 * ms)
		for _, t := range c.trackers {
			t.Tick(c.now)
		}
		f()
	}
}

// Guards against a daemon that is cut off from store and peers and continues to send
// to a data centre that operators have taken out.
func TestIsolatedDaemonStopsSendingWithinBound(t *testing.T) {
	c := newCluster(3)
	cutOff := c.trackers[0]
	require.NoError(t, cutOff.Snapshot().MaySend(c.now))
	start := c.now
	c.head = 1 // the take-out commits right after the last confirmation
	c.trackers[1].SetAppliedRevision(c.now, 1)
	last := start
	for c.now.Sub(start) < 5*time.Second {
		c.now = c.now.Add(50 * ms)
		c.readStore(c.trackers[1:]...)
		if cutOff.Snapshot().MaySend(c.now) == nil {
			last = c.now
		}
	}
	assert.LessOrEqual(t, last.Add(DispatchTimeout).Sub(start), 3500*ms)
	err := cutOff.Snapshot().MaySend(c.now)
	assert.True(t, failure.Is(err, failure.Isolated))
	assert.True(t, failure.From(err).NotRun())
}

// Guards against a resumed process that counts answers that were buffered during its
// pause as new confirmations.
func TestPausedDaemonFindsItsLeaseExpired(t *testing.T) {
	c := newCluster(3)
	paused, other := c.trackers[0], c.trackers[1]
	pool := ownedPool(t, paused)
	require.NoError(t, paused.Snapshot().MayGrant(c.now, pool))
	c.now = c.now.Add(ms)
	sent := c.now
	answer := other.Heartbeat(c.now, NoView)
	c.now = c.now.Add(4 * time.Second) // as between SIGSTOP and SIGCONT
	assert.Error(t, paused.Snapshot().MayGrant(c.now, pool))
	paused.ObserveHeartbeat(c.now, sent, answer)
	paused.ObserveStoreRead(c.now, sent, c.view, 0)
	paused.ObserveRequest(c.now, answer)
	assert.Error(t, paused.Snapshot().MayGrant(c.now, pool))
	assert.Error(t, paused.Snapshot().MaySend(c.now))
	c.readStore(paused)
	assert.NoError(t, paused.Snapshot().MayGrant(c.now, pool))
}

func ownedPool(t testing.TB, tracker *Tracker, prefix ...string) string {
	t.Helper()
	for i := range 1000 {
		pool := fmt.Sprint("pool", prefix, i)
		if owner, _ := tracker.Snapshot().Owner(pool); owner.Name == tracker.Snapshot().Self.Name {
			return pool
		}
	}
	t.Fatal("no pool hashes to the daemon")
	return ""
}

// Guards against a majority that stops serving during a store outage, and against a
// minority that serves.
func TestStoreOutage(t *testing.T) {
	c := newCluster(5)
	majority, minority := c.trackers[:3], c.trackers[3:]
	c.advance(4*time.Second, func() { c.heartbeatRound(majority...); c.heartbeatRound(minority...) })
	for _, tr := range majority {
		assert.NoError(t, tr.Snapshot().MaySend(c.now))
		assert.NoError(t, tr.Snapshot().MayGrant(c.now, ownedPool(t, tr)))
		assert.True(t, failure.Is(tr.Snapshot().MayCommit(c.now), failure.StoreUnavailable), "no change without the store")
	}
	for _, tr := range minority {
		assert.True(t, failure.Is(tr.Snapshot().MaySend(c.now), failure.Isolated))
		assert.Error(t, tr.Snapshot().MayGrant(c.now, ownedPool(t, tr)))
	}
}

// Guards against a gap between the expiry of the store's last confirmation and the
// first confirmation by the majority rule.
func TestNoGapAtTheStartOfAStoreOutage(t *testing.T) {
	c := newCluster(3)
	for range 100 {
		c.now = c.now.Add(50 * ms)
		c.heartbeatRound(c.trackers...)
		for _, tr := range c.trackers {
			require.NoError(t, tr.Snapshot().MaySend(c.now))
		}
	}
}

// Guards against sending under an old revision during a store outage when a member of
// the majority holds a newer one.
func TestOutageModeLearnsOfANewerRevision(t *testing.T) {
	c := newCluster(3)
	c.trackers[2].SetAppliedRevision(c.now, 7)
	c.advance(4*time.Second, func() { c.heartbeatRound(c.trackers...) })
	assert.Error(t, c.trackers[0].Snapshot().MaySend(c.now))
	assert.Equal(t, uint64(7), c.trackers[0].Snapshot().KnownHead)
	c.trackers[0].SetAppliedRevision(c.now, 7)
	assert.NoError(t, c.trackers[0].Snapshot().MaySend(c.now))
}

// Guards against an operator's change that is accepted by a minority that reaches the store.
func TestCommitNeedsStoreAndMajority(t *testing.T) {
	c := newCluster(3)
	c.heartbeatRound(c.trackers...)
	assert.NoError(t, c.trackers[0].Snapshot().MayCommit(c.now))
	c.advance(4*time.Second, func() { c.readStore(c.trackers[0]) })
	assert.True(t, failure.Is(c.trackers[0].Snapshot().MayCommit(c.now), failure.Isolated))
	c.sendHeartbeat(c.trackers[0], c.trackers[1], true)
	assert.NoError(t, c.trackers[0].Snapshot().MayCommit(c.now))
}

// Guards against the removal of a member because one link is cut in one direction.
func TestOneWayPartitionRemovesNoMember(t *testing.T) {
	c := newCluster(3)
	a, b, d := c.trackers[0], c.trackers[1], c.trackers[2]
	c.advance(10*time.Second, func() {
		c.sendHeartbeat(a, b, false) // the answers of b are lost
		c.sendHeartbeat(a, d, true)
		c.sendHeartbeat(d, a, true)
		c.sendHeartbeat(d, b, true)
		c.sendHeartbeat(b, d, true)
	})
	for _, tr := range c.trackers {
		assert.Empty(t, tr.MembersToRemove(c.now))
	}
}

// Guards against a failed member that stays in the view, and against the removal of
// members by a process that was itself paused.
func TestRemovalNeedsAMajority(t *testing.T) {
	c := newCluster(3)
	a, b, dead := c.trackers[0], c.trackers[1], c.trackers[2].Snapshot().Self
	c.advance(6500*ms, func() { c.heartbeatRound(a, b) })
	assert.Equal(t, []Identity{dead}, a.MembersToRemove(c.now))

	c = newCluster(3)
	c.advance(4*time.Second, func() { c.heartbeatRound(c.trackers...) })
	c.now = c.now.Add(time.Minute)
	c.trackers[0].Tick(c.now)
	c.heartbeatRound(c.trackers[0], c.trackers[1])
	assert.Empty(t, c.trackers[0].MembersToRemove(c.now), "all processes were paused")
}

// Guards against grants by a new owner while the previous owner's lease may be valid.
func TestNewOwnerWaitsForThePreviousLease(t *testing.T) {
	c := newCluster(2)
	joiner := NewTracker("cell", Identity{"h02", 9}, c.now)
	c.view = c.view.Join(Member{Identity: joiner.Snapshot().Self})
	c.trackers = append(c.trackers, joiner)
	c.readStore(joiner)
	pool := ownedPool(t, joiner)
	c.advance(4*time.Second, func() { c.readStore(joiner) })
	assert.Error(t, joiner.Snapshot().MayGrant(c.now, pool), "no majority of the earlier view has moved on")

	previous, _ := newRanking(c.view.identities()[:2]).memberAt(pool, 0)
	joiner.ObservePoolHandover(c.now, pool, previous, 2)
	assert.Error(t, joiner.Snapshot().MayGrant(c.now, pool), "under the view of epoch 2 the previous owner may still grant")
	joiner.ObservePoolHandover(c.now, pool, previous, 3)
	assert.NoError(t, joiner.Snapshot().MayGrant(c.now, pool), "the previous owner handed over")

	other := ownedPool(t, joiner, "other")
	lastRefusedAt := c.now
	c.advance(4*time.Second, func() {
		c.readStore(c.trackers...)
		c.heartbeatRound(c.trackers...)
		if joiner.Snapshot().MayGrant(c.now, other) != nil {
			lastRefusedAt = c.now
		}
	})
	assert.Equal(t, 3*time.Second, lastRefusedAt.Sub(c.now)+4*time.Second, "grants begin 3 s after the majority moved on")
}

// Guards against a revision that counts as in force while a member may still send
// under an older one.
func TestInForce(t *testing.T) {
	c := newCluster(3)
	c.head = 1
	c.trackers[0].SetAppliedRevision(c.now, 1)
	c.trackers[1].SetAppliedRevision(c.now, 1)
	c.heartbeatRound(c.trackers...)
	assert.Zero(t, c.trackers[0].InForce(c.now), "one member has not confirmed")
	c.trackers[2].SetAppliedRevision(c.now, 1)
	c.now = c.now.Add(ms)
	c.heartbeatRound(c.trackers...)
	assert.Equal(t, uint64(1), c.trackers[0].InForce(c.now))

	c = newCluster(3)
	c.trackers[0].SetAppliedRevision(c.now, 1)
	c.trackers[1].SetAppliedRevision(c.now, 1)
	c.heartbeatRound(c.trackers[0], c.trackers[1])
	c.advance(3*time.Second, func() { c.heartbeatRound(c.trackers[0], c.trackers[1]) })
	assert.Zero(t, c.trackers[0].InForce(c.now), "the third member's lease may be valid")
	c.advance(500*ms, func() { c.heartbeatRound(c.trackers[0], c.trackers[1]) })
	assert.Equal(t, uint64(1), c.trackers[0].InForce(c.now))
}

// join lets n daemons join at once, with the floor that the store would set.
func (c *cluster) join(n int) []*Tracker {
	var joiners []*Tracker
	for range n {
		id := Identity{fmt.Sprintf("h%02d", len(c.trackers)), 99}
		c.view = c.view.Join(Member{Identity: id})
		c.view.Floor = c.head
		joiners = append(joiners, NewTracker("cell", id, c.now))
		c.trackers = append(c.trackers, joiners[len(joiners)-1])
	}
	c.readStore(joiners...)
	return joiners
}

// Guards against a majority of daemons that joined after an accepted change, lost the
// store before they read it, and send under the older revision.
func TestOutageModeNeedsTheRevisionOfTheView(t *testing.T) {
	c := newCluster(3)
	c.head = 1 // accepted by the first two, which are no longer reachable
	group := append(c.join(3), c.trackers[2])
	c.advance(5*time.Second, func() { c.heartbeatRound(group...) })
	for _, tr := range group {
		assert.Equal(t, uint64(6), tr.Snapshot().View.Epoch)
		assert.Error(t, tr.Snapshot().MaySend(c.now))
		tr.SetAppliedRevision(c.now, 1)
	}
	c.advance(500*ms, func() { c.heartbeatRound(group...) })
	assert.NoError(t, c.trackers[2].Snapshot().MaySend(c.now))
}

// Guards against a change that is accepted only by daemons that have just joined,
// while a majority of the earlier view does not know the new one and may still send.
func TestCommitNeedsAMajorityOfEarlierViews(t *testing.T) {
	c := newCluster(3)
	group := append(c.join(3), c.trackers[0])
	c.advance(time.Second, func() { c.readStore(group...); c.heartbeatRound(group...) })
	assert.True(t, failure.Is(c.trackers[0].Snapshot().MayCommit(c.now), failure.Isolated))
	assert.False(t, c.trackers[0].Snapshot().IsMajority(c.now, map[string]bool{"h03": true, "h04": true, "h05": true}))
	c.sendHeartbeat(c.trackers[0], c.trackers[1], true)
	assert.NoError(t, c.trackers[0].Snapshot().MayCommit(c.now))
}

// Guards against a majority that counts a restarted daemon, which has lost the
// revisions that its incarnation in the view had acknowledged.
func TestRestartedDaemonOutsideTheViewIsNotCounted(t *testing.T) {
	c := newCluster(3)
	restarted := NewTracker("cell", Identity{"h01", 99}, c.now)
	c.advance(4*time.Second, func() { c.heartbeatRound(c.trackers[0], restarted) })
	assert.True(t, failure.Is(c.trackers[0].Snapshot().MaySend(c.now), failure.Isolated))
}

// Guards against a daemon that sends or grants after it has begun to leave.
func TestLeavingDaemonMayNotSendOrGrant(t *testing.T) {
	c := newCluster(1)
	only := c.trackers[0]
	require.NoError(t, only.Snapshot().MayGrant(c.now, "p"))
	only.Stop(c.now)
	c.readStore(only)
	assert.Error(t, only.Snapshot().MayGrant(c.now, "p"))
	assert.Error(t, only.Snapshot().MaySend(c.now))
}

// Guards against a daemon that becomes ready during a store outage with the answers
// of less than a majority.
func TestStartDuringStoreOutage(t *testing.T) {
	c := newCluster(5)
	for _, tr := range c.trackers {
		tr.SetAppliedRevision(c.now, 4)
	}
	c.now = c.now.Add(5 * time.Second)
	starting := NewTracker("cell", Identity{"h00", 99}, c.now)
	for _, tr := range c.trackers[1:3] {
		c.sendHeartbeat(starting, tr, true)
	}
	starting.SetAppliedRevision(c.now, 4)
	assert.False(t, starting.TryReadyByMajority(c.now), "two of five; the daemon's own name does not count")
	assert.True(t, failure.Is(starting.Snapshot().MaySend(c.now), failure.NotReady))
	c.sendHeartbeat(starting, c.trackers[3], true)
	assert.True(t, starting.TryReadyByMajority(c.now))
	assert.NoError(t, starting.Snapshot().MaySend(c.now))
	assert.Error(t, starting.Snapshot().MayGrant(c.now, ownedPool(t, starting)), "this incarnation is not in the view")
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := newCluster(n)
			c.heartbeatRound(c.trackers...)
			a, peer := c.trackers[0], c.trackers[1]
			request, _ := json.Marshal(a.Heartbeat(c.now, NoView))
			answer, _ := json.Marshal(peer.Heartbeat(c.now, NoView))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.now = c.now.Add(time.Duration(i%2) * time.Microsecond)
				c.sendHeartbeat(a, peer, true)
			}
			b.ReportMetric(float64(len(request)+len(answer)), "payload-bytes/op")
		})
	}
}

func BenchmarkMayGrant(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := newCluster(n)
			s, pool := c.trackers[0].Snapshot(), ownedPool(b, c.trackers[0])
			for b.Loop() {
				_ = s.MayGrant(c.now, pool)
			}
		})
	}
}

// Measures the memory that one daemon retains for its cell.
func BenchmarkTrackerMemory(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := newCluster(n)
			var trackers []*Tracker
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				t := NewTracker("cell", c.trackers[0].Snapshot().Self, c.now)
				t.ObserveStoreRead(c.now, c.now, c.view, 1)
				for _, other := range c.trackers[1:] {
					t.ObserveHeartbeat(c.now, c.now.Add(-ms), other.Heartbeat(c.now, NoView))
				}
				trackers = append(trackers, t)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(trackers)*n), "kept-bytes/member")
			runtime.KeepAlive(trackers)
		})
	}
}
