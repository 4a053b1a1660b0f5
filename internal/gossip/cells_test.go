package gossip

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
)

// siteHosts is the size of the simulated site; docs/CAPACITY.md has the figures of larger ones.
var siteHosts = flag.Int("gossip.hosts", 120, "number of hosts of the simulated site")

// makeHosts returns the hosts of a site with the given number of data centres.
func makeHosts(n, dataCentres int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = member(fmt.Sprintf("h%04d", i), 1, 1, Ready)
		out[i].DataCentre = fmt.Sprintf("dc-%d", i%dataCentres)
	}
	return out
}

// cellsSeenBy returns the division that the host at index self computes.
func cellsSeenBy(hosts []Member, self int) *Cells {
	others := append([]Member{}, hosts[:self]...)
	return divideIntoCells(hosts[self], append(others, hosts[self+1:]...))
}

// Guards against a cost per change that grows with the site: a host sends changes at once to
// all hosts of its cell, so the size of a cell must be bounded.
func TestCellsAreBounded(t *testing.T) {
	for _, n := range []int{97, 300, 1000, 2600} {
		hosts := makeHosts(n, min(4, n/25))
		for i := range 5 {
			c := cellsSeenBy(hosts, i*n/5)
			require.True(t, c.Divided())
			require.LessOrEqual(t, len(c.OwnCellHosts())+1, 2*maxMeanCellHosts, n)
			for _, m := range c.OwnCellHosts() {
				require.Equal(t, hosts[i*n/5].DataCentre, m.DataCentre)
			}
		}
	}
	small := cellsSeenBy(makeHosts(maxUndividedHosts, 4), 0)
	require.False(t, small.Divided())
	require.True(t, small.InOwnCell("dc-3", "any upstream"))
}

// Guards against hosts that receive no digest of another cell in a round, or several.
func TestEachHostReceivesOneDigestPerCell(t *testing.T) {
	hosts := makeHosts(300, 4)
	type pair struct {
		from cell
		to   string
	}
	for round := range int64(3) {
		digestCounts, cells := map[pair]int{}, map[cell]bool{}
		for i, h := range hosts {
			c := cellsSeenBy(hosts, i)
			cells[c.ownCell] = true
			for _, m := range c.DigestTargets(h.Name, hosts, round) {
				digestCounts[pair{c.ownCell, m.Name}]++
			}
		}
		for i, h := range hosts {
			own := cellsSeenBy(hosts, i).ownCell
			for from := range cells {
				want := 1
				if from == own {
					want = 0
				}
				require.Equal(t, want, digestCounts[pair{from, h.Name}], "%s from %v", h.Name, from)
			}
		}
	}
}

// memoryNetwork carries datagrams in memory and loses one in a hundred.
type memoryNetwork struct {
	mu            sync.Mutex
	sockets       map[string]*memorySocket
	lossRandom    *rand.Rand
	sentBytes     int
	sentDatagrams int
	// dataCentres holds the data centre of each address; the one named cutOff exchanges no
	// datagrams with the others.
	dataCentres map[string]string
	cutOff      string
}

// cut partitions a data centre from the others; an empty name ends the partition.
func (w *memoryNetwork) cut(dataCentre string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = dataCentre
}

// reachable reports whether two data centres exchange datagrams.
func (w *memoryNetwork) reachable(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reachableLocked(a, b)
}

func (w *memoryNetwork) reachableLocked(a, b string) bool {
	return w.cutOff == "" || (a == w.cutOff) == (b == w.cutOff)
}

func (w *memoryNetwork) totals() (bytes, datagrams int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentBytes, w.sentDatagrams
}

type datagram struct {
	data []byte
	from *net.UDPAddr
}

type memorySocket struct {
	network   *memoryNetwork
	address   *net.UDPAddr
	inbox     chan datagram
	closed    chan struct{}
	closeOnce sync.Once
}

func (b *memorySocket) ReadFromUDP(data []byte) (int, *net.UDPAddr, error) {
	select {
	case p := <-b.inbox:
		return copy(data, p.data), p.from, nil
	case <-b.closed:
		return 0, nil, net.ErrClosed
	}
}

// maxUDPPayload is the largest payload of a UDP datagram over IPv4.
const maxUDPPayload = 65_507

func (b *memorySocket) WriteToUDP(data []byte, to *net.UDPAddr) (int, error) {
	if len(data) > maxUDPPayload {
		return 0, syscall.EMSGSIZE
	}
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.network.sentBytes += len(data)
	b.network.sentDatagrams++
	target := b.network.sockets[to.String()]
	if target != nil && !b.network.reachableLocked(b.network.dataCentres[b.address.String()], b.network.dataCentres[to.String()]) {
		target = nil
	}
	if target != nil && b.network.lossRandom.IntN(100) > 0 {
		select {
		case target.inbox <- datagram{append([]byte{}, data...), b.address}:
		default:
		}
	}
	return len(data), nil
}

func (b *memorySocket) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return nil
}

// simulatedHost is a running host of a simulated site.
type simulatedHost struct {
	table     *Table
	transport *Transport
	loads     *balance.Tracker
	cancel    context.CancelFunc
	// evidence is the content of full messages that may grow.
	evidence map[string][]byte
}

// startSite starts hosts with three seeds. Upstream "DC/x" is in the data centre DC.
func startSite(t *testing.T, w *memoryNetwork, hosts []Member) []*simulatedHost {
	var out []*simulatedHost
	w.dataCentres = make(map[string]string)
	for i := range hosts {
		hosts[i].PeerAddress = fmt.Sprintf("10.%d.%d.%d:7000", i/10000, i/100%100, i%100+1)
		hosts[i].CallerAddress = hosts[i].PeerAddress
		w.dataCentres[hosts[i].PeerAddress] = hosts[i].DataCentre
	}
	for _, h := range hosts {
		out = append(out, startHost(t, w, h, seedAddresses(hosts)))
	}
	return out
}

func seedAddresses(hosts []Member) []string {
	var seeds []string
	for _, h := range hosts[:3] {
		seeds = append(seeds, h.PeerAddress)
	}
	return seeds
}

// startHost starts a host with a new socket.
func startHost(t *testing.T, w *memoryNetwork, h Member, seeds []string) *simulatedHost {
	return startHostWithEvidence(t, w, h, seeds, nil)
}

func startHostWithEvidence(t *testing.T, w *memoryNetwork, h Member, seeds []string, evidence map[string][]byte) *simulatedHost {
	address, err := net.ResolveUDPAddr("udp", h.PeerAddress)
	require.NoError(t, err)
	socket := &memorySocket{network: w, address: address, inbox: make(chan datagram, 4096), closed: make(chan struct{})}
	w.mu.Lock()
	w.sockets[h.PeerAddress] = socket
	w.mu.Unlock()
	h.State = Starting
	p := &simulatedHost{table: NewTable(h), loads: balance.NewTracker(), evidence: evidence}
	transport := &Transport{
		Table: p.table, Conn: socket, Seeds: seeds, LoadsChanged: p.loads.Changed(), Log: logr.Discard(),
		LocateUpstream: func(upstream string) (string, bool) { return upstream[:4], true },
		Compose: func(m *Message, full bool) {
			if full {
				m.Evidence = p.evidence
			}
			switch m.Content {
			case AllLoads:
				m.Loads = p.loads.OwnLoads()
			case ChangedLoads:
				m.Loads = p.loads.TakeChanges()
			case NoLoads:
			}
		},
		OnReceived: func(m Message, now time.Time) {
			if m.Content == AllLoads {
				p.loads.SetPeerReport(m.Self.Name, m.Loads, now)
			} else {
				p.loads.UpdatePeerReport(m.Self.Name, m.Loads, now)
			}
		},
	}
	p.transport = transport
	ctx, cancel := context.WithCancel(t.Context())
	p.cancel = cancel
	go transport.Run(ctx)
	time.AfterFunc(500*time.Millisecond, func() { p.table.SetState(Ready) })
	return p
}

// Guards against faults of a site with several cells and lost datagrams: live hosts that
// count as failed, failed hosts that stay listed as live, loads that do not reach the hosts
// sharing an upstream, and traffic that grows with the site.
func TestDividedSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, killed := *siteHosts, 77
		w := &memoryNetwork{sockets: map[string]*memorySocket{}, lossRandom: rand.New(rand.NewPCG(1, 2))}
		hosts := startSite(t, w, makeHosts(n, 2*max(n/300, 1)))
		time.Sleep(4*digestsPerIntroduction*digestInterval + time.Second) // four introductions; one may be lost
		requireLiveCount := func(live int) {
			for i, p := range hosts {
				if i != killed {
					require.Equal(t, live-1, p.table.CountLive(time.Now()), "host %d", i)
				}
			}
		}
		requireLiveCount(n)
		bytes, datagrams := w.totals()
		for range 8 {
			time.Sleep(500 * time.Millisecond)
			requireLiveCount(n)
		}
		bytes2, datagrams2 := w.totals()
		t.Logf("%d hosts, idle: each sends %d bytes/s and %d datagrams/s", n, (bytes2-bytes)/4/n, (datagrams2-datagrams)/4/n)
		require.Less(t, (bytes2-bytes)/4/n, 24_000, "bytes per second and host; an undivided site of 300 hosts needs 64,000 without loads")
		require.Less(t, (datagrams2-datagrams)/4/n, 200, "datagrams per second and host")

		from := hosts[0]
		own, other := "", ""
		for i := 0; own == "" || other == ""; i++ {
			if id := fmt.Sprintf("dc-0/%d", i); from.table.Cells().InOwnCell("dc-0", id) {
				own = id
			} else {
				other = id
			}
		}
		load := balance.Load{Requests: 1, Tokens: 4000}
		from.loads.AddLoad(own, load)
		from.loads.AddLoad(other, load)
		requireLoad := func(want balance.Load) {
			for _, id := range []string{own, other} {
				for i, p := range hosts[1:] {
					if p.table.Cells().InOwnCell("dc-0", id) {
						require.Equal(t, want, p.loads.Views([]string{id}, time.Now())[0].Load, "host %d, upstream %s", i+1, id)
					}
				}
			}
		}
		time.Sleep(2500 * time.Millisecond) // two full reports; one may be lost
		requireLoad(load)
		from.loads.RemoveLoad(own, load)
		from.loads.RemoveLoad(other, load)
		time.Sleep(3500 * time.Millisecond)
		requireLoad(balance.Load{})

		hosts[killed].cancel()
		time.Sleep(6 * time.Second)
		requireLiveCount(n - 1)
		for _, p := range hosts {
			p.cancel()
		}
	})
}

// Guards against an urgent change that reaches some hosts of a large undivided site only with
// the next round, for example the notice of an engine that leaves within two seconds.
func TestSendNowReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 90
		w := &memoryNetwork{sockets: map[string]*memorySocket{}, lossRandom: rand.New(rand.NewPCG(1, 2))}
		hosts := startSite(t, w, makeHosts(n, 4))
		time.Sleep(10*time.Second + RoundInterval/4) // between two rounds
		_, before := w.totals()
		hosts[7].transport.SendNow()
		_, after := w.totals()
		require.Equal(t, n-1, after-before)
		for _, p := range hosts {
			p.cancel()
		}
	})
}

// Guards against hosts that stay apart because each full message, which alone has the addresses,
// holds content above the size of a datagram: the evidence on a rollout over 350 routes.
func TestMembershipDoesNotDependOnTheSizeOfTheContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &memoryNetwork{sockets: map[string]*memorySocket{}, lossRandom: rand.New(rand.NewPCG(1, 2)), dataCentres: map[string]string{}}
		members := makeHosts(7, 2)
		for i := range members {
			members[i].PeerAddress = fmt.Sprintf("10.0.0.%d:7000", i+1)
		}
		var hosts []*simulatedHost
		for _, m := range members {
			hosts = append(hosts, startHostWithEvidence(t, w, m, seedAddresses(members), map[string][]byte{"orders": make([]byte, 73_000)}))
		}
		time.Sleep(3 * time.Second)
		for i, h := range hosts {
			require.Equal(t, len(hosts)-1, h.table.CountLive(time.Now()), "host %d", i)
			h.cancel()
		}
	})
}
