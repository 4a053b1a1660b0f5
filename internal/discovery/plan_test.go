package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func host(i int) Host {
	return Host{Name: fmt.Sprintf("edge-%d", i), DataCentre: "a", CallerAddress: fmt.Sprintf("10.0.0.%d:80", i), PeerAddress: fmt.Sprintf("10.0.0.%d:81", i)}
}

func hosts(from, to int) (out []Host) {
	for i := from; i <= to; i++ {
		out = append(out, host(i))
	}
	return out
}

func rows(from, to int) (out []Row) {
	for i, h := range hosts(from, to) {
		out = append(out, Row{h, uint64(100 + i)})
	}
	return out
}

// Guards against hosts that start with seeds that are gone and stay alone for good.
func TestAloneHostContactsTheHostsOfTheTable(t *testing.T) {
	now := time.Unix(1000, 0)
	p := makePlan(View{Self: host(8)}, rows(1, 7), map[string]absence{}, true, now)
	require.Equal(t, hosts(1, 7), p.contact)
	require.Empty(t, p.put, "most hosts that start at once need no row of their own")
	p = makePlan(View{Self: host(8)}, rows(1, 7), map[string]absence{}, false, now)
	require.Equal(t, []Row{{Host: host(8)}}, p.put, "no one answered: others have to find it")
	p = makePlan(View{Self: host(8)}, nil, map[string]absence{}, true, now)
	require.Equal(t, []Row{{Host: host(8)}}, p.put, "the first host of all")
	require.Len(t, makePlan(View{Self: host(2600)}, rows(1, 500), map[string]absence{}, true, now).contact, maxContactsWhenAlone)
}

// Guards against two groups of hosts that do not know each other and register only themselves.
func TestGroupRegistersItsHostsAndContactsTheOthers(t *testing.T) {
	moved := host(2)
	moved.PeerAddress = "10.0.9.9:81"
	v := View{Self: host(1), Live: []Host{moved, host(3)}}
	table := append(rows(1, 2), rows(5, 6)...)
	table = append(table, Row{Host{Name: "unreadable"}, 9})
	p := makePlan(v, table, map[string]absence{}, false, time.Unix(1000, 0))
	require.Equal(t, hosts(5, 6), p.contact)
	require.Equal(t, []Row{{moved, 101}, {Host: host(3)}}, p.put)
}

// Guards against rows of live hosts that are removed, and against rows that stay for good.
func TestRowsAreRemovedLongAfterTheirHosts(t *testing.T) {
	absent, start := map[string]absence{}, time.Unix(1000, 0)
	group, alone := View{Self: host(1), Live: hosts(2, 3)}, View{Self: host(1)}
	at := func(v View, d time.Duration, table []Row) []Row {
		return makePlan(v, table, absent, false, start.Add(d)).removed
	}
	require.Empty(t, at(group, 0, rows(1, 4)))
	require.Empty(t, at(group, removalAge-time.Second, rows(1, 4)))
	rewritten := rows(1, 4)
	rewritten[3].Revision = 999
	require.Empty(t, at(group, removalAge, rewritten), "another group has just registered it")
	require.Empty(t, at(alone, 2*removalAge, rewritten), "this host may itself be cut off")
	require.Equal(t, rewritten[3:], at(group, 2*removalAge, rewritten))
	require.Empty(t, at(View{Self: host(1), Live: hosts(2, 4)}, 2*removalAge, rewritten), "it is back")
	require.Empty(t, at(group, 3*removalAge-time.Second, rewritten), "and was away for less since")
}

// standingOf is the standing of a host that knows others.
func standingOf(rank, others int) Standing { return Standing{Rank: rank, LiveCount: others} }

// Guards against calls of the store that grow with the hosts, and against a group that stops
// looking for others because the host that does so is cut from the store.
func TestPassesDoNotGrowWithTheHosts(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, site := range []struct{ hosts, pages int }{{7, 1}, {90, 1}, {300, 1}, {2600, 6}} {
		schedules := make([]*Schedule, site.hosts)
		for i := range schedules {
			schedules[i] = NewSchedule(fmt.Sprintf("edge-%d", i), true, start)
		}
		calls, byRank := 0, map[int]int{}
		const played = 10 * time.Minute
		for d := time.Duration(0); d < played; d += time.Second {
			for rank, s := range schedules {
				if s.Due(standingOf(rank, site.hosts-1), start.Add(d)) {
					s.passed(false, nil, site.pages, site.hosts, start.Add(d))
					calls += site.pages
					byRank[rank]++
				}
			}
		}
		t.Logf("%d hosts: %.2f calls a second in steady state", site.hosts, float64(calls)/played.Seconds())
		require.LessOrEqual(t, float64(calls)/played.Seconds(), 0.15)
		require.Positive(t, byRank[lastActingRank], "others pass too")
		require.Len(t, byRank, lastActingRank+1)
	}
}

// Guards against a store that refuses calls because all hosts of a large site start at once with
// seeds that are gone: 2,000 reads a second are allowed.
func TestStartOfManyHostsIsSpread(t *testing.T) {
	start := time.Unix(1000, 0)
	perSecond := map[int]int{}
	for i := range 2600 {
		s := NewSchedule(fmt.Sprintf("edge-%d", i), true, start)
		for d := time.Duration(0); d < 30*time.Second; d += checkInterval {
			if s.Due(Standing{}, start.Add(d)) {
				perSecond[int(d/time.Second)]++
				s.passed(true, fmt.Errorf("refused"), 0, 0, start.Add(d))
			}
		}
	}
	for second, calls := range perSecond {
		require.Less(t, calls, 1700, "second %d", second)
	}
	for second := 20; second < 30; second++ {
		require.Less(t, perSecond[second], 600, "an outage goes on")
	}
}

// Guards against a host that does not look for others once it has lost them all, and one that
// takes on work while it drains.
func TestLoneHostLooksForOthers(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewSchedule("edge-1", true, start)
	require.False(t, s.Due(standingOf(5, 6), start.Add(time.Minute)))
	lost := start.Add(2 * time.Minute)
	require.False(t, s.Due(Standing{}, lost), "others may start as well")
	require.False(t, s.Due(Standing{Draining: true}, lost.Add(time.Minute)))
	require.True(t, s.Due(Standing{}, lost.Add(aloneDelay+startSpread)))
	require.True(t, NewSchedule("edge-1", false, start).Due(Standing{}, start), "no seeds")
	s = NewSchedule("edge-1", true, start)
	s.passed(false, nil, 1, 7, start.Add(settleTime))
	require.False(t, s.Due(standingOf(0, 6), start.Add(settleTime+registerInterval)))
	require.True(t, s.Due(standingOf(0, 7), start.Add(settleTime+registerInterval)), "a new host has no row yet")
}
