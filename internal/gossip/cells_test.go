package gossip

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
)

// playedHosts is the size of the played site; docs/CAPACITY.md has the figures of larger ones.
var playedHosts = flag.Int("gossip.hosts", 120, "hosts of the played site")

// hostsOf returns the hosts of a site with the given number of data centres.
func hostsOf(n, dataCentres int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = member(fmt.Sprintf("h%04d", i), 1, 1, Ready)
		out[i].DataCentre = fmt.Sprintf("dc-%d", i%dataCentres)
	}
	return out
}

// cellsOf divides a site as one of its hosts does.
func cellsOf(hosts []Member, self int) *Cells {
	others := append([]Member{}, hosts[:self]...)
	return divide(hosts[self], append(others, hosts[self+1:]...))
}

// Guards against a cost of changes that grows with the site: what one host tells at
// once goes to the hosts of its cell.
func TestCellsAreBounded(t *testing.T) {
	for _, n := range []int{97, 300, 1000, 2600} {
		hosts := hostsOf(n, min(4, n/25))
		for i := range 5 {
			c := cellsOf(hosts, i*n/5)
			require.True(t, c.Divided())
			require.LessOrEqual(t, len(c.Near())+1, 2*cellHosts, n)
			for _, m := range c.Near() {
				require.Equal(t, hosts[i*n/5].DataCentre, m.DataCentre)
			}
		}
	}
	small := cellsOf(hostsOf(wholeSite, 4), 0)
	require.False(t, small.Divided())
	require.True(t, small.Own("dc-3", "any upstream"))
}

// Guards against hosts that are told by nobody in a round, or by many.
func TestEachHostIsToldOfEachOtherCellOnce(t *testing.T) {
	hosts := hostsOf(300, 4)
	type pair struct {
		from cell
		to   string
	}
	for round := range int64(3) {
		told, cells := map[pair]int{}, map[cell]bool{}
		for i, h := range hosts {
			c := cellsOf(hosts, i)
			cells[c.self] = true
			for _, m := range c.Far(h.Name, hosts, round) {
				told[pair{c.self, m.Name}]++
			}
		}
		for i, h := range hosts {
			own := cellsOf(hosts, i).self
			for from := range cells {
				want := 1
				if from == own {
					want = 0
				}
				require.Equal(t, want, told[pair{from, h.Name}], "%s from %v", h.Name, from)
			}
		}
	}
}

// wire is a network of datagrams in memory, which loses some of them.
type wire struct {
	mu     sync.Mutex
	boxes  map[string]*box
	random *rand.Rand
	bytes  int
	sent   int
}

func (w *wire) sum() (bytes, datagrams int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes, w.sent
}

type packet struct {
	data []byte
	from *net.UDPAddr
}

type box struct {
	wire    *wire
	address *net.UDPAddr
	inbox   chan packet
	closed  chan struct{}
	once    sync.Once
}

func (b *box) ReadFromUDP(data []byte) (int, *net.UDPAddr, error) {
	select {
	case p := <-b.inbox:
		return copy(data, p.data), p.from, nil
	case <-b.closed:
		return 0, nil, net.ErrClosed
	}
}

func (b *box) WriteToUDP(data []byte, to *net.UDPAddr) (int, error) {
	b.wire.mu.Lock()
	defer b.wire.mu.Unlock()
	b.wire.bytes += len(data)
	b.wire.sent++
	if target := b.wire.boxes[to.String()]; target != nil && b.wire.random.IntN(100) > 0 {
		select {
		case target.inbox <- packet{append([]byte{}, data...), b.address}:
		default:
		}
	}
	return len(data), nil
}

func (b *box) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// played is a running host of a played site.
type played struct {
	table  *Table
	gossip *Transport
	loads  *balance.Tracker
	cancel context.CancelFunc
}

// playSite starts hosts that know three seeds. Upstream "DC/x" is in the data centre DC.
func playSite(t *testing.T, w *wire, hosts []Member) []*played {
	var out []*played
	var seeds []string
	for i := range hosts {
		hosts[i].PeerAddress = fmt.Sprintf("10.%d.%d.%d:7000", i/10000, i/100%100, i%100+1)
		hosts[i].CallerAddress = hosts[i].PeerAddress
		if i < 3 {
			seeds = append(seeds, hosts[i].PeerAddress)
		}
	}
	for _, h := range hosts {
		address, err := net.ResolveUDPAddr("udp", h.PeerAddress)
		require.NoError(t, err)
		w.boxes[h.PeerAddress] = &box{wire: w, address: address, inbox: make(chan packet, 4096), closed: make(chan struct{})}
	}
	for _, h := range hosts {
		h.State = Starting
		p := &played{table: NewTable(h), loads: balance.NewTracker()}
		transport := &Transport{
			Table: p.table, Conn: w.boxes[h.PeerAddress], Seeds: seeds, Changed: p.loads.Changed(), Log: logr.Discard(),
			Locate: func(upstream string) (string, bool) { return upstream[:4], true },
			Compose: func(m *Message, _ bool) {
				switch m.Content {
				case AllLoads:
					m.Loads = p.loads.OwnLoads()
				case ChangedLoads:
					m.Loads = p.loads.TakeChanges()
				case NoLoads:
				}
			},
			Received: func(m Message, now time.Time) {
				if m.Content == AllLoads {
					p.loads.SetPeerReport(m.Self.Name, m.Loads, now)
				} else {
					p.loads.UpdatePeerReport(m.Self.Name, m.Loads, now)
				}
			},
		}
		p.gossip = transport
		ctx, cancel := context.WithCancel(t.Context())
		p.cancel = cancel
		go transport.Run(ctx)
		time.AfterFunc(500*time.Millisecond, func() { p.table.SetState(Ready) })
		out = append(out, p)
	}
	return out
}

// Guards, on a site of several cells where datagrams get lost, against live hosts that
// count as gone, dead ones that the directory still names, loads that the hosts which
// share an upstream do not hear of, and a cost that grows with the site.
func TestSiteOfSeveralCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, killed := *playedHosts, 77
		w := &wire{boxes: map[string]*box{}, random: rand.New(rand.NewPCG(1, 2))}
		hosts := playSite(t, w, hostsOf(n, 2*max(n/300, 1)))
		time.Sleep(4*introduceEvery*farInterval + time.Second) // four introductions; one may get lost
		counts := func(live int) {
			for i, p := range hosts {
				if i != killed {
					require.Equal(t, live-1, p.table.CountLive(time.Now()), "host %d", i)
				}
			}
		}
		counts(n)
		bytes, datagrams := w.sum()
		for range 8 {
			time.Sleep(500 * time.Millisecond)
			counts(n)
		}
		bytes2, datagrams2 := w.sum()
		t.Logf("%d hosts, idle: %d bytes and %d datagrams a second sent by each", n, (bytes2-bytes)/4/n, (datagrams2-datagrams)/4/n)
		require.Less(t, (bytes2-bytes)/4/n, 24_000, "bytes a second and host; 300 hosts told each other 64,000 without loads")
		require.Less(t, (datagrams2-datagrams)/4/n, 200, "datagrams a second and host")

		from := hosts[0]
		own, other := "", ""
		for i := 0; own == "" || other == ""; i++ {
			if id := fmt.Sprintf("dc-0/%d", i); from.table.Cells().Own("dc-0", id) {
				own = id
			} else {
				other = id
			}
		}
		work := balance.Load{Requests: 1, Tokens: 4000}
		from.loads.AddLoad(own, work)
		from.loads.AddLoad(other, work)
		told := func(want balance.Load) {
			for _, id := range []string{own, other} {
				for i, p := range hosts[1:] {
					if p.table.Cells().Own("dc-0", id) {
						require.Equal(t, want, p.loads.Views([]string{id}, time.Now())[0].Load, "host %d, upstream %s", i+1, id)
					}
				}
			}
		}
		time.Sleep(2500 * time.Millisecond) // two whole reports; one may get lost
		told(work)
		from.loads.RemoveLoad(own, work)
		from.loads.RemoveLoad(other, work)
		time.Sleep(3500 * time.Millisecond)
		told(balance.Load{})

		hosts[killed].cancel()
		time.Sleep(6 * time.Second)
		counts(n - 1)
		for _, p := range hosts {
			p.cancel()
		}
	})
}

// Guards against news, such as an engine that leaves within two seconds, that reach
// some hosts of a large undivided site only with the next round.
func TestNewsReachAllHostsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 90
		w := &wire{boxes: map[string]*box{}, random: rand.New(rand.NewPCG(1, 2))}
		hosts := playSite(t, w, hostsOf(n, 4))
		time.Sleep(10*time.Second + Interval/4) // between two rounds
		_, before := w.sum()
		hosts[7].gossip.Send()
		_, after := w.sum()
		require.Equal(t, n-1, after-before)
		for _, p := range hosts {
			p.cancel()
		}
	})
}
