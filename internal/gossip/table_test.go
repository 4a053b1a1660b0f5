package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func member(name string, incarnation int64, beat uint64, s State) Member {
	return Member{Name: name, Incarnation: incarnation, Heartbeat: beat, State: s, PeerAddress: name + ":1", CallerAddress: name + ":2"}
}

func names(members []Member) []string {
	out := []string{}
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// Guards against failed hosts that stay listed as live, also when other hosts repeat an
// old state of them.
func TestFailedHostsAreNotLive(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	table.Merge(Message{Self: member("b", 1, 5, Ready), Others: []Member{member("c", 1, 5, Ready)}}, now)
	require.Equal(t, []string{"b", "c"}, names(table.Live(now)))
	later := now.Add(2 * time.Second)
	table.Merge(Message{Self: member("b", 1, 9, Ready), Others: []Member{member("c", 1, 5, Ready)}}, later)
	require.Equal(t, []string{"b"}, names(table.Live(now.Add(FailureTimeout+time.Millisecond))))
}

// Guards against a delayed datagram of the previous process that overrides the restarted one.
func TestNewerIncarnationWins(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	table.Merge(Message{Self: member("b", 2, 1, Ready)}, now)
	table.Merge(Message{Self: member("b", 1, 900, Draining)}, now)
	require.Equal(t, Ready, table.Live(now)[0].State)
}

// Guards against a restarted host that is ignored for a minute because its clock went back
// before the restart and its incarnation is therefore lower.
func TestRestartWithAnEarlierTimeOfDay(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	table.Merge(Message{Self: member("b", 9000, 50, Ready)}, now)
	later := now.Add(FailureTimeout + time.Second)
	table.Merge(Message{Self: member("c", 1, 1, Ready), Others: []Member{member("b", 8000, 1, Ready)}}, later)
	require.Equal(t, []string{"c"}, names(table.Live(later)), "an old state that others repeat")
	table.Merge(Message{Self: member("b", 7000, 1, Ready)}, later)
	require.Equal(t, []string{"b", "c"}, names(table.Live(later)))
}

// Guards against a draining host that counts as a reader of the store.
func TestRankLeavesOutDrainingHosts(t *testing.T) {
	table, now := NewTable(member("c", 1, 0, Ready)), time.Unix(1000, 0)
	table.Merge(Message{Self: member("a", 1, 1, Ready)}, now)
	table.Merge(Message{Self: member("b", 1, 1, Ready)}, now)
	require.Equal(t, 2, table.Rank(now))
	table.Merge(Message{Self: member("a", 1, 2, Draining)}, now)
	require.Equal(t, 1, table.Rank(now))
	require.Equal(t, 0, table.Rank(now.Add(FailureTimeout+time.Millisecond)))
}

// Guards against hosts of a large site that are not sent to for so long that they count this
// host as failed: 300 hosts, 64 per round.
func TestTargetsRotateOverAllHosts(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	for i := range 300 {
		table.Merge(Message{Self: member(fmt.Sprintf("h%03d", i), 1, 1, Ready)}, now)
	}
	reached := map[string]bool{}
	for range 5 {
		for _, m := range table.Targets(now, 64) {
			reached[m.Name] = true
		}
	}
	require.Len(t, reached, 300)
}

// Guards against two halves of a site that stay separate after a long network partition.
func TestFailedHostsAreProbed(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	table.Merge(Message{Self: member("b", 1, 1, Ready)}, now)
	later := now.Add(20 * time.Second)
	table.Refresh(later)
	require.Equal(t, []string{"b"}, names(table.Targets(later, 5)))
	table.Refresh(now.Add(2 * removalTimeout))
	require.Empty(t, table.Targets(now.Add(2*removalTimeout), 5))
}

// Guards against a datagram that arrives out of order and replaces newer loads.
func TestReorderedDatagramsAreRejected(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	receive := func(m Member) bool {
		table.Merge(Message{Self: m}, now)
		return table.AcceptInOrder(m)
	}
	require.False(t, table.AcceptInOrder(member("b", 5, 3, Ready)), "addresses not known yet")
	require.True(t, receive(member("b", 5, 3, Ready)))
	require.False(t, receive(member("b", 5, 3, Ready)), "twice")
	require.True(t, receive(member("b", 5, 7, Ready)))
	require.False(t, receive(member("b", 5, 6, Ready)), "overtaken")
	table.Merge(Message{Self: member("c", 1, 1, Ready), Others: []Member{member("b", 5, 9, Ready)}}, now)
	require.True(t, receive(member("b", 5, 8, Ready)), "after a newer state relayed by another host")
	require.True(t, receive(member("b", 6, 1, Ready)), "after a restart")
	require.False(t, receive(member("b", 5, 20, Ready)), "of the previous process")
}

// Guards against hosts that keep outdated loads after a datagram with a change was lost.
func TestFullLoadsAreSentPeriodically(t *testing.T) {
	table, now := NewTable(member("h000", 1, 0, Ready)), time.Unix(1000, 0)
	table.Merge(Message{Self: member("h001", 1, 1, Ready)}, now)
	require.True(t, table.MarkFullLoadsIfDue("h001", now))
	require.False(t, table.MarkFullLoadsIfDue("h001", now.Add(fullLoadsInterval-time.Millisecond)))
	require.True(t, table.MarkFullLoadsIfDue("h001", now.Add(fullLoadsInterval)))
	require.True(t, table.MarkFullLoadsIfDue("unknown", now))
}

// Guards against a live host that counts as failed because another host relays an older
// last-seen time, and against a failed host that stays live because others relay its state.
func TestRelayedStateCountsFromLastSeen(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	relay := func(beat uint64, age time.Duration, at time.Time) {
		m := member("b", 1, beat, Ready)
		m.Age = age.Milliseconds()
		table.Merge(Message{Self: member("c", 1, beat, Ready), Others: []Member{m}}, at)
	}
	table.Merge(Message{Self: member("b", 1, 5, Ready)}, now)
	relay(6, FailureTimeout, now.Add(time.Second))
	require.Contains(t, names(table.Live(now.Add(2*time.Second))), "b")
	relay(7, FailureTimeout/2, now.Add(FailureTimeout))
	require.Contains(t, names(table.Live(now.Add(FailureTimeout+FailureTimeout/2))), "b")
	require.NotContains(t, names(table.Live(now.Add(2*FailureTimeout))), "b")
}

// Guards against live hosts that count as failed while a site grows or shrinks: this host does
// not divide it and expects datagrams of all, others divide it and send digests only.
func TestDigestsKeepHostsLiveOnAnUndividedSite(t *testing.T) {
	table, now := NewTable(member("a", 1, 0, Ready)), time.Unix(1000, 0)
	digest := func(beat uint64, at time.Time) {
		m := Message{Self: member("h00", 1, beat, Ready), Content: NoLoads}
		for i := 1; i < 30; i++ {
			o := member(fmt.Sprintf("h%02d", i), 1, beat, Ready)
			o.Age = 400
			m.Others = append(m.Others, o)
		}
		table.Merge(m, at)
	}
	digest(5, now)
	table.Refresh(now)
	require.False(t, table.Cells().Divided())
	// The next digest is lost; the one after it comes from a host that sends later in the second.
	at := now.Add(2*digestInterval + 900*time.Millisecond)
	require.Equal(t, 30, table.CountLive(at))
	digest(9, at)
	require.Equal(t, 30, table.CountLive(at))
	// Without further digests, and with datagrams of its own, a host counts as one of the cell.
	at = at.Add(remoteFailureTimeout + time.Millisecond)
	table.Merge(Message{Self: member("h07", 1, 20, Ready)}, at)
	require.Equal(t, []string{"h07"}, names(table.Live(at)))
	require.Zero(t, table.CountLive(at.Add(FailureTimeout+time.Millisecond)))
}

// Guards against hosts of another cell that are taken off the list because some of its digests
// in a row were lost: the cell is asked for one in time, and again until it answers.
func TestSilentCellsAreAsked(t *testing.T) {
	hosts, now := makeHosts(200, 2), time.Unix(1000, 0)
	table := NewTable(hosts[0])
	receiveDigest := func(of cell, at time.Time) {
		m := Message{Content: NoLoads}
		for _, h := range hosts[1:] {
			if cellsSeenBy(hosts, 0).cellOf(h.DataCentre, h.Name) == of {
				h.Heartbeat = uint64(at.UnixMilli())
				m.Others = append(m.Others, h)
			}
		}
		m.Self, m.Others = m.Others[0], m.Others[1:]
		table.Merge(m, at)
	}
	all := cellsSeenBy(hosts, 0).hostsByCell
	for c := range all {
		receiveDigest(c, now)
	}
	table.Refresh(now)
	require.Empty(t, table.SilentCellHosts(now.Add(2*digestInterval)), "of different senders")
	silent := cell{hosts[1].DataCentre, 1}
	for c := range all {
		if c != silent {
			receiveDigest(c, now.Add(digestInterval))
		}
	}
	for asked := digestOverdueTime + time.Millisecond; asked < remoteFailureTimeout-digestInterval; asked += roundsPerCellSend * RoundInterval {
		ask := table.SilentCellHosts(now.Add(asked))
		require.Len(t, ask, 1)
		require.Equal(t, silent, table.Cells().cellOf(ask[0].DataCentre, ask[0].Name))
	}
	require.Empty(t, table.SilentCellHosts(now.Add(time.Minute)), "all have failed")
}
