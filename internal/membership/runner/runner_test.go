package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/changelog"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// store is a table in memory that can be down for single hosts and lose answers.
type store struct {
	mu    sync.Mutex
	items map[storage.Key]storage.Item
	down  map[string]bool
	lose  int
	reads map[string]int
	slow  time.Duration // of each read
}

// storeClient is one host's access to the store.
type storeClient struct {
	*store
	host string
}

// read runs f under the lock, after the delay and unless the store is down.
func (s storeClient) read(f func()) error {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[s.host]++
	if s.down[s.host] {
		return storage.ErrUnavailable
	}
	f()
	return nil
}

func (s storeClient) Get(_ context.Context, key storage.Key) (item storage.Item, err error) {
	ok := false
	if err = s.read(func() { item, ok = s.items[key] }); err == nil && !ok {
		err = storage.ErrNotFound
	}
	return item, err
}

func (s storeClient) Query(_ context.Context, partition, after string, limit int) (out []storage.Item, err error) {
	err = s.read(func() {
		for _, item := range slices.SortedFunc(maps.Values(s.items), func(a, b storage.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) }) {
			if item.Key.Partition == partition && item.Key.Sort > after && len(out) < limit {
				out = append(out, item)
			}
		}
	})
	return out, err
}

func (s storeClient) Commit(_ context.Context, writes ...storage.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[s.host] {
		return storage.ErrUnavailable
	}
	for _, w := range writes {
		if s.items[w.Key].Version != w.Expect {
			return storage.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Kind == storage.Put {
			s.items[w.Key] = storage.Item{Key: w.Key, Version: w.Expect + 1, Value: w.Value}
		}
	}
	if s.lose > 0 {
		s.lose--
		return storage.ErrOutcomeUnknown
	}
	return nil
}

// network connects runners without sockets.
type network struct {
	mu    sync.Mutex
	nodes map[string]*host
	cut   map[[2]string]bool
}

func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

func (n *network) Hosts(context.Context) ([]storage.ListedHost, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []storage.ListedHost
	for _, name := range slices.Sorted(maps.Keys(n.nodes)) {
		out = append(out, storage.ListedHost{Name: name, Address: name})
	}
	return append(out, storage.ListedHost{Name: "gone", Address: "gone"}), nil
}

type host struct {
	*Runner
	name     string
	network  *network
	handlers map[string]func(context.Context, json.RawMessage) (any, error)
	cancel   context.CancelFunc
	done     chan error
}

func (h *host) Handle(method string, handler func(context.Context, json.RawMessage) (any, error)) {
	h.handlers[method] = handler
}

func (h *host) Call(ctx context.Context, address, method string, params, result any) error {
	h.network.mu.Lock()
	to := h.network.nodes[address]
	h.network.mu.Unlock()
	if to == nil {
		return errors.New("unreachable")
	}
	raw, _ := json.Marshal(params)
	if h.network.blocked(h.name, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	value, err := to.handlers[method](ctx, raw)
	if h.network.blocked(address, h.name) {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	raw, _ = json.Marshal(value)
	return json.Unmarshal(raw, result)
}

type cell struct {
	t       *testing.T
	store   *store
	network *network
}

func newCell(t *testing.T, hosts int) *cell {
	c := &cell{
		t: t, store: newStore(),
		network: &network{nodes: map[string]*host{}, cut: map[[2]string]bool{}},
	}
	for i := range hosts {
		c.start(fmt.Sprint("h", i))
	}
	time.Sleep(6 * time.Second)
	return c
}

func parse(text string) (*entity.ServiceText, error) {
	return &entity.ServiceText{DataCentres: strings.Split(text, ",")}, nil
}

func (c *cell) start(name string) *host {
	h := &host{name: name, network: c.network, handlers: map[string]func(context.Context, json.RawMessage) (any, error){}, done: make(chan error, 1)}
	table := storeClient{c.store, name}
	h.Runner = New(Config{
		Cell: "cell", Self: membership.Member{Identity: membership.Identity{Name: name}, PeerAddress: name},
		Table: table, Hosts: c.network, Log: changelog.NewLog(table, nil, changelog.NewFollower(parse)), Peers: h,
	})
	h.Register(h)
	c.network.mu.Lock()
	c.network.nodes[name] = h
	c.network.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.done <- h.Run(ctx) }()
	return h
}

// crash makes the host unreachable and cuts it off from the store at once.
func (c *cell) crash(name string) {
	c.storeDown(true, name)
	c.remove(name)
}

// remove stops the host in order.
func (c *cell) remove(name string) {
	c.network.mu.Lock()
	h := c.network.nodes[name]
	delete(c.network.nodes, name)
	c.network.mu.Unlock()
	h.cancel()
	require.NoError(c.t, <-h.done)
}

func (c *cell) stop() {
	for _, h := range c.network.nodes {
		h.cancel()
		require.NoError(c.t, <-h.done)
	}
}

// isolate cuts the links between the host and all others in both directions.
func (c *cell) isolate(name string, cut bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for other := range c.network.nodes {
		c.network.cut[[2]string{name, other}], c.network.cut[[2]string{other, name}] = cut, cut
	}
}

func (c *cell) totalReads() (total int) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, n := range c.store.reads {
		total += n
	}
	return total
}

func (c *cell) storeDown(down bool, names ...string) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, name := range names {
		c.store.down[name] = down
	}
}

func (c *cell) host(name string) *host { return c.network.nodes[name] }

func (c *cell) maySend(name string) error {
	return c.host(name).Tracker().Snapshot().MaySend(time.Now())
}

func (c *cell) commit(name, id string, kind entity.ChangeKind, value string) (Result, error) {
	change := entity.Change{ID: id, Kind: kind, Operator: "jana", Name: value}
	if kind == entity.ChangeApply {
		change.Name, change.Text = "", value
	}
	return c.host(name).Commit(context.Background(), 0, change)
}

// Guards against daemons that do not find each other, changes that are not in force
// everywhere within seconds, and more store reads than the budget allows.
func TestCellWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 5)
		defer c.stop()
		total := -c.totalReads()
		time.Sleep(10 * time.Second)
		total += c.totalReads()
		assert.LessOrEqual(t, total, 8*10+4, "two pollers with two reads every 500 ms: %v", c.store.reads)
		result, err := c.commit("h3", "c1", entity.ChangeApply, "praha-1,praha-2")
		require.NoError(t, err)
		assert.Equal(t, Result{Revision: 1, Acknowledged: true}, result)
		time.Sleep(1100 * time.Millisecond)
		for name, h := range c.network.nodes {
			assert.GreaterOrEqual(t, h.follower.Revision(), uint64(1), name)
			assert.NoError(t, c.maySend(name))
			assert.Len(t, h.Tracker().Snapshot().Hosts(), 5)
		}
		time.Sleep(time.Second)
		assert.Equal(t, uint64(1), c.host("h0").follower.Configuration().InForceRevision)
		time.Sleep(10 * time.Second)
		assert.Equal(t, uint64(2), c.host("h0").follower.Revision(), "an in-force entry causes no other one")
	})
}

// Guards against a dead member that keeps its pools, and against loss of a member
// that leaves by itself or comes back.
func TestMembersComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 4)
		defer c.stop()
		c.crash("h1")
		time.Sleep(6 * time.Second)
		_, member := c.host("h0").Tracker().Snapshot().View.Member("h1")
		assert.False(t, member, "a majority has not heard it")
		assert.NoError(t, c.maySend("h0"))

		c.remove("h2")
		time.Sleep(time.Second)
		assert.Len(t, c.host("h0").Tracker().Snapshot().Hosts(), 2)

		c.storeDown(false, "h1")
		c.store.mu.Lock()
		c.store.lose = 1 // the answer to the join is lost
		c.store.mu.Unlock()
		c.start("h1")
		time.Sleep(5 * time.Second)
		assert.Len(t, c.host("h0").Tracker().Snapshot().Hosts(), 3)
		assert.NoError(t, c.maySend("h1"))

		s := c.host("h1").Tracker().Snapshot()
		for i := range 20 {
			owner, _ := s.Owner(fmt.Sprint("p", i))
			assert.Equal(t, owner.Name == "h1", s.MayGrant(time.Now(), fmt.Sprint("p", i)) == nil)
		}
	})
}

// Guards against a cell that never recovers after it has lost the majority of its members.
func TestEvictAfterLossOfTheMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stop()
		c.crash("h1")
		c.crash("h2")
		time.Sleep(10 * time.Second)
		h0 := c.host("h0")
		assert.Len(t, h0.Tracker().Snapshot().Hosts(), 3, "no majority removes anybody")
		_, err := c.commit("h0", "c1", entity.ChangeApply, "praha-1")
		assert.True(t, failure.Is(err, failure.Isolated), "%v", err)
		for _, name := range []string{"h1", "h2"} {
			require.NoError(t, h0.Evict(t.Context(), name, "jana"))
		}
		assert.True(t, failure.Is(h0.Evict(t.Context(), "h2", "jana"), failure.NotFound))
		time.Sleep(4 * time.Second)
		for i := range 20 {
			assert.NoError(t, h0.Tracker().Snapshot().MayGrant(time.Now(), fmt.Sprint("p", i)))
		}
		_, err = c.commit("h0", "c1", entity.ChangeApply, "praha-1")
		assert.NoError(t, err)
	})
}

// Guards against a change that is never marked as in force because the first
// member in rendezvous order has lost the store.
func TestInForceWithoutTheFirstMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stop()
		order := c.host("h0").Tracker().Snapshot().Order()
		c.storeDown(true, order[0])
		_, err := c.commit(order[2], "c1", entity.ChangeApply, "praha-1")
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		assert.Equal(t, uint64(1), c.host(order[0]).follower.Configuration().InForceRevision)
	})
}

// Guards against a member that was removed by mistake and stays out.
func TestRemovedMemberRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stop()
		before := c.host("h1").Tracker().Snapshot().Self
		c.isolate("h1", true)
		c.storeDown(true, "h1")
		time.Sleep(8 * time.Second)
		assert.True(t, failure.Is(c.maySend("h1"), failure.Isolated))
		assert.Len(t, c.host("h0").Tracker().Snapshot().Hosts(), 2)
		c.isolate("h1", false)
		c.storeDown(false, "h1")
		time.Sleep(6 * time.Second)
		assert.NoError(t, c.maySend("h1"))
		after := c.host("h1").Tracker().Snapshot()
		assert.Greater(t, after.Self.Incarnation, before.Incarnation)
		assert.True(t, after.View.Has(after.Self))
	})
}

// Guards against two processes under one name that replace each other for ever.
func TestNameTakenByAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stop()
		first := c.host("h1")
		c.start("h1")
		time.Sleep(2 * time.Second)
		assert.True(t, failure.Is(<-first.done, failure.Conflict))
	})
}

// Guards against a stop of service during a store outage, changes that are
// accepted in it, and a daemon that cannot start in it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 5)
		defer c.stop()
		_, err := c.commit("h0", "c1", entity.ChangeApply, "praha-1,praha-2")
		require.NoError(t, err)
		c.storeDown(true, "h0", "h1", "h2", "h3", "h4")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for name := range c.network.nodes {
				require.NoError(t, c.maySend(name))
			}
		}
		_, err = c.commit("h0", "c2", entity.ChangeDataCentreTakeOut, "praha-1")
		assert.True(t, failure.Is(err, failure.StoreUnavailable))

		c.crash("h4")
		fresh := c.start("h4")
		time.Sleep(5 * time.Second)
		assert.NoError(t, c.maySend("h4"), "ready by the majority")
		assert.Equal(t, c.host("h0").follower.Configuration(), fresh.follower.Configuration())

		c.storeDown(false, "h0", "h1", "h2", "h3", "h4")
		time.Sleep(6 * time.Second)
		assert.True(t, fresh.Tracker().Snapshot().View.Has(fresh.Tracker().Snapshot().Self))
		result, err := c.commit("h1", "c3", entity.ChangeDataCentreTakeOut, "praha-1")
		require.NoError(t, err)
		assert.True(t, result.Acknowledged)
	})
}

// Guards against a stop of service and removed members when every read of the
// store takes long or one link is cut in one direction.
func TestSlowStoreAndOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 4)
		defer c.stop()
		c.store.mu.Lock()
		c.store.slow = 900 * time.Millisecond // 1.8 s for the view and the head
		c.store.mu.Unlock()
		c.network.mu.Lock()
		c.network.cut[[2]string{"h0", "h1"}] = true
		c.network.mu.Unlock()
		epoch := c.host("h0").Tracker().Snapshot().View.Epoch
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			for name := range c.network.nodes {
				require.NoError(t, c.maySend(name))
			}
		}
		assert.Equal(t, epoch, c.host("h0").Tracker().Snapshot().View.Epoch)
		result, err := c.commit("h0", "c1", entity.ChangeApply, "praha-1")
		require.NoError(t, err)
		assert.True(t, result.Acknowledged)
	})
}

// Guards against R3 being broken by a daemon that is cut off from store and peers
// while a data centre is taken out, and against a commit by a minority.
func TestCutOffDaemonDuringTakeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stop()
		_, err := c.commit("h0", "c1", entity.ChangeApply, "praha-1,praha-2")
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		c.isolate("h2", true)
		c.storeDown(true, "h2")
		_, err = c.commit("h0", "c2", entity.ChangeDataCentreTakeOut, "praha-1")
		require.NoError(t, err)
		taken := time.Now()
		last := taken
		for time.Since(taken) < 10*time.Second {
			if c.maySend("h2") == nil {
				last = time.Now()
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.LessOrEqual(t, last.Add(membership.DispatchTimeout).Sub(taken), 3500*time.Millisecond)
		conf := c.host("h0").follower.Configuration()
		assert.True(t, conf.DataCentresOut["praha-1"])
		assert.Equal(t, conf.LastChangeRevision, conf.InForceRevision, "in force although one member never confirmed")

		c.storeDown(false, "h2")
		time.Sleep(1500 * time.Millisecond)
		assert.NoError(t, c.maySend("h2"), "the store alone confirms")
		_, err = c.commit("h2", "c3", entity.ChangeDataCentreTakeOut, "praha-2")
		assert.True(t, failure.Is(err, failure.Isolated), "%v", err)
	})
}
