package gossip

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxDetectionTime is how long the directory may name a failed host: the shortest contact
	// time of the platform's sites, 3 s, and 3 s more.
	maxDetectionTime = 6 * time.Second
	// maxReturnTime is how long a host that is back, or reachable again, may stay unlisted:
	// the time that the platform's large sites have to recover.
	maxReturnTime = 15 * time.Second
)

// siteUnderTest is a simulated site whose hosts can be killed, restarted and partitioned.
type siteUnderTest struct {
	t       *testing.T
	network *memoryNetwork
	hosts   []*simulatedHost
	members []Member
	running []bool
}

func newSiteUnderTest(t *testing.T, n, dataCentres int, seed uint64) *siteUnderTest {
	s := &siteUnderTest{t: t, members: makeHosts(n, dataCentres), running: make([]bool, n)}
	s.network = &memoryNetwork{sockets: map[string]*memorySocket{}, lossRandom: rand.New(rand.NewPCG(seed, 2))}
	s.hosts = startSite(t, s.network, s.members)
	for i := range s.running {
		s.running[i] = true
	}
	return s
}

func (s *siteUnderTest) close() {
	for _, h := range s.hosts {
		h.cancel()
	}
}

// kill ends the processes of the selected hosts at the same moment.
func (s *siteUnderTest) kill(selected func(i int) bool) {
	for i, h := range s.hosts {
		if selected(i) && s.running[i] {
			h.cancel()
			s.running[i] = false
		}
	}
}

// restart starts the killed hosts again at the same moment. The incarnation of some is
// lower than before, as after a clock that was set back.
func (s *siteUnderTest) restart(incarnation func(i int) int64) {
	for i := range s.hosts {
		if s.running[i] {
			continue
		}
		m := s.members[i]
		m.Incarnation = incarnation(i)
		s.hosts[i] = startHost(s.t, s.network, m, seedAddresses(s.members))
		s.running[i] = true
	}
}

// wrongViews returns how many pairs of hosts have a wrong view: a running host does not list
// another running one that it can reach, or lists one that is not running or not reachable.
func (s *siteUnderTest) wrongViews() (unlisted, listed int) {
	now := time.Now()
	for i, h := range s.hosts {
		if !s.running[i] {
			continue
		}
		h.table.mu.Lock()
		for j := range s.hosts {
			if i == j {
				continue
			}
			e := h.table.others[s.members[j].Name]
			live := e != nil && e.live(now)
			present := s.running[j] && s.network.reachable(s.members[i].DataCentre, s.members[j].DataCentre)
			switch {
			case present && !live:
				unlisted++
			case !present && live:
				listed++
			}
		}
		h.table.mu.Unlock()
	}
	return unlisted, listed
}

// requireConverged requires that all views are right within the given time and stay so.
func (s *siteUnderTest) requireConverged(what string, within time.Duration) {
	s.t.Helper()
	started := time.Now()
	const step = 250 * time.Millisecond
	for {
		unlisted, listed := s.wrongViews()
		if unlisted+listed == 0 {
			break
		}
		require.Less(s.t, time.Since(started), within, "%s: %d pairs unlisted, %d wrongly listed", what, unlisted, listed)
		time.Sleep(step)
	}
	s.t.Logf("%s: all views right after %v", what, time.Since(started))
	for range 4 {
		time.Sleep(step)
		unlisted, listed := s.wrongViews()
		require.Zero(s.t, unlisted+listed, "%s: a right view became wrong", what)
	}
}

// Guards against hosts that count as failed though they run, or as live though they do not,
// after a data centre is lost, partitioned or restarted as a whole, on sites of one cell and of
// several. One datagram in a hundred is lost.
func TestViewsConvergeAfterFaults(t *testing.T) {
	for _, site := range []struct{ hosts, dataCentres int }{{30, 3}, {*siteHosts, 2 * max(*siteHosts/300, 1)}} {
		t.Run(fmt.Sprint(site.hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSiteUnderTest(t, site.hosts, site.dataCentres, 7)
				defer s.close()
				time.Sleep(4*digestsPerIntroduction*digestInterval + time.Second)
				s.requireConverged("start of all", time.Second)
				inFirst := func(i int) bool { return s.members[i].DataCentre == "dc-0" }

				s.kill(inFirst)
				s.requireConverged("loss of a data centre", maxDetectionTime)
				s.restart(func(i int) int64 { return int64(3 * (i % 2)) }) // before: 1
				s.requireConverged("its return", maxReturnTime)

				s.network.cut("dc-0")
				s.requireConverged("partition", maxDetectionTime)
				s.network.cut("")
				s.requireConverged("end of the partition", maxReturnTime)

				random := rand.New(rand.NewPCG(7, 9))
				s.kill(func(i int) bool { return i > 2 && random.IntN(2) == 0 })
				s.requireConverged("loss of half of the hosts", maxDetectionTime)
			})
		})
	}
}

// Guards against a member that another host reports with an age below zero, and would stay
// live for that time.
func TestNegativeAgeIsIgnored(t *testing.T) {
	now := time.Now()
	table := NewTable(member("h1", 1, 1, Ready))
	failed := member("h2", 1, 1, Ready)
	failed.Age = math.MinInt32
	table.Merge(Message{Self: member("h3", 1, 1, Ready), Others: []Member{failed}}, now)
	require.Equal(t, 2, table.CountLive(now))
	require.Zero(t, table.CountLive(now.Add(FailureTimeout+time.Second)))
}

// Guards against a restarted host of another cell that stays unlisted because its clock went
// back and only hosts of its own cell receive its datagrams.
func TestReportedRestartWithAnEarlierTimeOfDay(t *testing.T) {
	now := time.Now()
	table := NewTable(member("a", 1, 0, Ready))
	table.Merge(Message{Self: member("b", 9000, 50, Ready)}, now)
	later := now.Add(FailureTimeout + time.Second)
	report := func(incarnation, age int64) {
		m := member("b", incarnation, 1, Ready)
		m.Age = age
		table.Merge(Message{Self: member("c", 1, 1, Ready), Others: []Member{m}}, later)
	}
	report(8000, 3*time.Second.Milliseconds())
	require.Equal(t, 1, table.CountLive(later), "last seen before the host failed")
	report(7000, 200)
	require.Equal(t, 2, table.CountLive(later))
}

// Guards against a datagram that ends the process, or that is read without a bound.
func FuzzDatagram(f *testing.F) {
	m := Message{Self: member("h2", 1, 1, Ready), Others: []Member{member("h3", 1, 1, Draining)}, Tables: map[string]TableState{"t": {Revision: 1}}}
	data, err := m.encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	var huge bytes.Buffer
	_ = msgpack.NewEncoder(&huge).EncodeArrayLen(math.MaxInt32)
	f.Add(huge.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxDatagramBytes {
			return
		}
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		now := time.Now()
		table := NewTable(member("h1", 1, 1, Ready))
		table.Merge(m, now)
		table.AcceptInOrder(m.Self)
		table.Refresh(now)
		_ = table.Live(now)
		if _, err := m.encode(); err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
	})
}
