package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/discovery"
)

// passTimeAfterOutage is how long a host may stay alone after the store is back: the longest time
// between its passes, and the time that a contacted host takes to answer.
const passTimeAfterOutage = 25 * time.Second

var errTableConflict = errors.New("a row has another revision")

// hostTable is the table of hosts in memory. It counts calls and refuses them while it is down.
type hostTable struct {
	mu       sync.Mutex
	rows     map[string]discovery.Row
	revision uint64
	down     bool
	reads    int
	writes   int
}

// size returns the number of rows and of calls.
func (h *hostTable) size() (rows, reads, writes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.rows), h.reads, h.writes
}

func (h *hostTable) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

func (h *hostTable) ReadHosts(_ context.Context, from string) (discovery.Page, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	if h.down {
		return discovery.Page{}, errors.New("down")
	}
	const pageSize = 500
	page := discovery.Page{Revision: h.revision}
	for _, row := range h.rows {
		if row.Name >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b discovery.Row) int { return strings.Compare(a.Name, b.Name) })
	if len(page.Rows) > pageSize {
		page.Rows, page.Next = page.Rows[:pageSize], page.Rows[pageSize].Name
	}
	return page, nil
}

func (h *hostTable) WriteHosts(_ context.Context, put, removed []discovery.Row) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes++
	if h.down {
		return errors.New("down")
	}
	for _, row := range append(slices.Clone(put), removed...) {
		if h.rows[row.Name].Revision != row.Revision {
			return errTableConflict
		}
	}
	h.revision++
	for _, row := range put {
		h.rows[row.Name] = discovery.Row{Host: row.Host, Revision: h.revision}
	}
	for _, row := range removed {
		delete(h.rows, row.Name)
	}
	return nil
}

// discover runs the discovery of a simulated host as the front end does.
func (s *siteUnderTest) discover(ctx context.Context, h *simulatedHost, table *hostTable) {
	toHost := func(m Member, _ int) discovery.Host {
		return discovery.Host{Name: m.Name, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress}
	}
	service := &discovery.Service{
		Store: table, Schedule: discovery.NewSchedule(h.table.Self().Name, true, time.Now()), Log: logr.Discard(),
		Standing: func(now time.Time) discovery.Standing {
			rank, live := h.table.RankByHash(now)
			return discovery.Standing{LiveCount: live, Rank: rank}
		},
		View: func(now time.Time) discovery.View {
			return discovery.View{Self: toHost(h.table.Self(), 0), Live: lo.Map(h.table.Live(now), toHost)}
		},
		Contact: func(hosts []discovery.Host) {
			h.transport.Contact(lo.Map(hosts, func(d discovery.Host, _ int) Member { return Member{Name: d.Name, PeerAddress: d.PeerAddress} }))
		},
		OnRead: func(hosts int, revision uint64) {
			h.table.MergeStoredHosts(StoredHosts{Count: hosts, Revision: revision}, time.Now())
		},
	}
	go service.Run(ctx)
}

// Guards against hosts that start with seeds that are gone, know no one and stay alone for good,
// also where all hosts of a site start so, with an empty table or an old one, or while the store
// is out. One datagram in a hundred is lost.
func TestHostsWithLostSeedsFindEachOther(t *testing.T) {
	for _, n := range []int{7, *siteHosts} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &siteUnderTest{t: t, members: makeHosts(n, 2), running: make([]bool, n), hosts: make([]*simulatedHost, n)}
				s.network = &memoryNetwork{sockets: map[string]*memorySocket{}, lossRandom: rand.New(rand.NewPCG(11, 2)), dataCentres: map[string]string{}}
				table := &hostTable{rows: map[string]discovery.Row{}}
				lostSeeds := []string{"10.9.9.1:7000", "10.9.9.2:7000", "10.9.9.3:7000"}
				for i := range s.members {
					m := &s.members[i]
					m.PeerAddress = fmt.Sprintf("10.0.%d.%d:7000", i/100, i%100+1)
					m.CallerAddress = m.PeerAddress
					s.network.dataCentres[m.PeerAddress] = m.DataCentre
				}
				start := func(i int, seeds []string) {
					m := &s.members[i]
					m.Incarnation = time.Now().UnixMilli()
					s.hosts[i], s.running[i] = startHost(t, s.network, *m, seeds), true
					s.discover(t.Context(), s.hosts[i], table)
				}
				defer s.close()
				for i := range n {
					start(i, lostSeeds)
				}
				s.requireConverged("start of all with an empty table", maxReturnTime)
				_, reads, writes := table.size()
				t.Logf("%d reads and %d writes of the table", reads, writes)
				require.LessOrEqual(t, reads, 3*n)
				time.Sleep(20 * time.Second)
				rows, reads, writes := table.size()
				require.Equal(t, n, rows)
				if n < 10 {
					time.Sleep(5 * time.Minute)
					_, readsLater, writesLater := table.size()
					require.Equal(t, writes, writesLater, "nothing has changed")
					require.LessOrEqual(t, readsLater-reads, 45, "reads in 5 minutes")
				}

				s.kill(func(int) bool { return true })
				time.Sleep(time.Second)
				for i := range n {
					start(i, lostSeeds)
				}
				s.requireConverged("restart of all with the table of before", maxReturnTime)

				if n >= 10 {
					return
				}
				table.setDown(true)
				s.kill(func(i int) bool { return i < 3 })
				time.Sleep(removalTimeout + 5*time.Second)
				for i := range 3 {
					start(i, lostSeeds)
				}
				time.Sleep(10 * time.Second)
				require.Zero(t, s.hosts[0].table.CountLive(time.Now()))
				require.Greater(t, s.hosts[0].table.SharingHosts(time.Now()), n, "alone, and nothing is known of the site")
				table.setDown(false)
				s.requireConverged("three hosts started while the store was out", passTimeAfterOutage)
			})
		})
	}
}

// Guards against a host that takes the limits of the whole site because it does not see the others.
func TestCutOffHostSharesWithTheHostsLastKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(member("a", 1, 0, Ready))
	require.Equal(t, unknownSiteHosts, table.SharingHosts(now), "not known yet")
	table.MergeStoredHosts(StoredHosts{Count: 7, Revision: 40}, now)
	table.MergeStoredHosts(StoredHosts{Count: 3, Revision: 30}, now)
	require.Equal(t, 7, table.SharingHosts(now), "alone, seven in the table")
	for _, name := range []string{"b", "c", "d"} {
		table.Merge(Message{Self: member(name, 1, 1, Ready)}, now)
	}
	require.Equal(t, 4, table.SharingHosts(now), "more than half of the hosts")
	later := now.Add(FailureTimeout + time.Second)
	table.Merge(Message{Self: member("b", 1, 2, Ready)}, later)
	require.Equal(t, 7, table.SharingHosts(later))
	table.MergeStoredHosts(StoredHosts{Count: 2, Revision: 50}, now)
	require.Equal(t, 4, table.SharingHosts(later), "the hosts seen in the last minute count")
	only := NewTable(member("a", 1, 0, Ready))
	only.MergeStoredHosts(StoredHosts{Count: 1, Revision: 1}, now)
	require.Equal(t, 1, only.SharingHosts(now))
}

// Guards against seeds that are named in changed settings and never contacted, since the host
// already knows as many others as there are seeds.
func TestChangedSeedsAreContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteUnderTest(t, 12, 1, 5)
		defer s.close()
		s.kill(func(i int) bool { return i >= 6 })
		time.Sleep(2 * removalTimeout)
		for i := 6; i < 12; i++ {
			s.hosts[i], s.running[i] = startHost(t, s.network, s.members[i], []string{s.members[11].PeerAddress}), true
		}
		time.Sleep(5 * time.Second)
		unlisted, _ := s.wrongViews()
		require.Equal(t, 2*6*6, unlisted, "two groups")
		s.hosts[8].transport.SetSeeds(seedAddresses(s.members))
		s.requireConverged("changed seeds of one host", maxReturnTime)
	})
}
