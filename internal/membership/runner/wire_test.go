package runner

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func newMemoryTable() *memoryTable {
	return &memoryTable{items: map[storage.Key]storage.Item{}, downForHost: map[string]bool{}, readsByHost: map[string]int{}}
}

// newTCPRunner returns a runner, not yet started, that uses TCP connections.
func newTCPRunner(t testing.TB, s *memoryTable, self membership.Identity, bytes *atomic.Int64) *Runner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	server, client := peer.New(peer.Options{Address: address, Key: "a shared key of the tests"})
	table := tableClient{s, self.Name}
	r := New(Config{
		Cell: "cell", Self: membership.Member{Identity: self, PeerAddress: address},
		Table: table, ChangeLog: changelog.NewLog(table, nil, changelog.NewFollower(parseText)), Peers: client,
	})
	r.Register(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(countingListener{listener, bytes}) }()
	t.Cleanup(func() {
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
		require.NoError(t, <-done)
	})
	return r
}

// Guards against daemons that work only with the in-memory network of the other tests.
func TestCellOverTCP(t *testing.T) {
	s, bytes := newMemoryTable(), &atomic.Int64{}
	var runners []*Runner
	for i := range 3 {
		r := newTCPRunner(t, s, membership.Identity{Name: fmt.Sprint("h", i)}, bytes)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
		runners = append(runners, r)
	}
	change := entity.Change{ID: "c1", Kind: entity.ChangeApply, Operator: "jana", Text: "praha-1"}
	require.Eventually(t, func() bool {
		result, err := runners[0].Commit(context.Background(), 0, change)
		return err == nil && result.Acknowledged
	}, time.Minute, 50*time.Millisecond)
	for _, r := range runners {
		require.Eventually(t, func() bool { return r.follower.Configuration().InForceRevision >= 1 }, time.Minute, 50*time.Millisecond)
		assert.NoError(t, r.Tracker().Snapshot().MaySend(time.Now()))
	}
}

// Measures one heartbeat call over TCP: the time of both ends, and all bytes of the
// connection without TCP and IP headers.
func BenchmarkHeartbeatOverTCP(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var view membership.View
			for i := range n {
				view = view.Join(membership.Member{Identity: membership.Identity{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1764806400000}})
			}
			view.Changes, view.Epoch = nil, 1000
			bytes := &atomic.Int64{}
			var ends [2]*Runner
			for i := range ends {
				ends[i] = newTCPRunner(b, newMemoryTable(), view.Members[i].Identity, bytes)
				ends[i].tracker.SetIncarnation(time.Now(), 1764806400000)
				ends[i].tracker.SetAppliedRevision(time.Now(), 100_000)
				ends[i].tracker.ObserveStoreRead(time.Now(), time.Now().Add(-300*time.Millisecond), view, 100_000)
			}
			address := ends[1].config.Self.PeerAddress
			ends[0].heartbeat(context.Background(), address)
			before := bytes.Load()
			b.ReportAllocs()
			for b.Loop() {
				ends[0].heartbeat(context.Background(), address)
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "wire-bytes/op")
		})
	}
}
