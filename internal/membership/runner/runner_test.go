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

// memoryTable is an in-memory table that can be unavailable to single hosts and can lose the
// answers of commits.
type memoryTable struct {
	mu            sync.Mutex
	items         map[storage.Key]storage.Item
	downForHost   map[string]bool
	answersToLose int
	readsByHost   map[string]int
	readDelay     time.Duration // of each read
}

// tableClient is one host's access to the table.
type tableClient struct {
	*memoryTable
	host string
}

// read runs f under the lock after readDelay, unless the table is down for the host.
func (s tableClient) read(f func()) error {
	s.mu.Lock()
	slow := s.readDelay
	s.mu.Unlock()
	time.Sleep(slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsByHost[s.host]++
	if s.downForHost[s.host] {
		return storage.ErrUnavailable
	}
	f()
	return nil
}

func (s tableClient) Get(_ context.Context, key storage.Key) (item storage.Item, err error) {
	ok := false
	if err = s.read(func() { item, ok = s.items[key] }); err == nil && !ok {
		err = storage.ErrNotFound
	}
	return item, err
}

func (s tableClient) Query(_ context.Context, partition, after string, limit int) (out []storage.Item, err error) {
	err = s.read(func() {
		for _, item := range slices.SortedFunc(maps.Values(s.items), func(a, b storage.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) }) {
			if item.Key.Partition == partition && item.Key.Sort > after && len(out) < limit {
				out = append(out, item)
			}
		}
	})
	return out, err
}

func (s tableClient) Commit(_ context.Context, writes ...storage.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.downForHost[s.host] {
		return storage.ErrUnavailable
	}
	for _, w := range writes {
		if s.items[w.Key].Version != w.ExpectedVersion {
			return storage.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Kind == storage.Put {
			s.items[w.Key] = storage.Item{Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value}
		}
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return storage.ErrOutcomeUnknown
	}
	return nil
}

// network connects runners in memory.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*testHost
	cutLinks map[[2]string]bool
}

func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[[2]string{from, to}]
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

type testHost struct {
	*Runner
	name     string
	network  *network
	handlers map[string]func(context.Context, json.RawMessage) (any, error)
	cancel   context.CancelFunc
	done     chan error
}

func (h *testHost) Handle(method string, handler func(context.Context, json.RawMessage) (any, error)) {
	h.handlers[method] = handler
}

func (h *testHost) Call(ctx context.Context, address, method string, params, result any) error {
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

type testCell struct {
	t       *testing.T
	store   *memoryTable
	network *network
}

func newCell(t *testing.T, hosts int) *testCell {
	c := &testCell{
		t: t, store: newMemoryTable(),
		network: &network{nodes: map[string]*testHost{}, cutLinks: map[[2]string]bool{}},
	}
	for i := range hosts {
		c.start(fmt.Sprint("h", i))
	}
	time.Sleep(6 * time.Second)
	return c
}

func parseText(text string) (*entity.ServiceText, error) {
	return &entity.ServiceText{DataCentres: strings.Split(text, ",")}, nil
}

func (c *testCell) start(name string) *testHost {
	h := &testHost{name: name, network: c.network, handlers: map[string]func(context.Context, json.RawMessage) (any, error){}, done: make(chan error, 1)}
	table := tableClient{c.store, name}
	h.Runner = New(Config{
		Cell: "cell", Self: membership.Member{Identity: membership.Identity{Name: name}, PeerAddress: name},
		Table: table, HostList: c.network, ChangeLog: changelog.NewLog(table, nil, changelog.NewFollower(parseText)), Peers: h,
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

// crashHost makes the host unreachable and cuts it off from the store, so that it cannot
// leave the view.
func (c *testCell) crashHost(name string) {
	c.setStoreDown(true, name)
	c.stopHost(name)
}

// stopHost stops the host, which leaves the view.
func (c *testCell) stopHost(name string) {
	c.network.mu.Lock()
	h := c.network.nodes[name]
	delete(c.network.nodes, name)
	c.network.mu.Unlock()
	h.cancel()
	require.NoError(c.t, <-h.done)
}

func (c *testCell) stopAll() {
	for _, h := range c.network.nodes {
		h.cancel()
		require.NoError(c.t, <-h.done)
	}
}

// isolate cuts the links between the host and all others in both directions.
func (c *testCell) isolate(name string, cut bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for other := range c.network.nodes {
		c.network.cutLinks[[2]string{name, other}], c.network.cutLinks[[2]string{other, name}] = cut, cut
	}
}

func (c *testCell) totalReads() (total int) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, n := range c.store.readsByHost {
		total += n
	}
	return total
}

func (c *testCell) setStoreDown(down bool, names ...string) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, name := range names {
		c.store.downForHost[name] = down
	}
}

func (c *testCell) host(name string) *testHost { return c.network.nodes[name] }

func (c *testCell) maySend(name string) error {
	return c.host(name).Tracker().Snapshot().MaySend(time.Now())
}

func (c *testCell) commit(name, id string, kind entity.ChangeKind, value string) (CommitResult, error) {
	change := entity.Change{ID: id, Kind: kind, Operator: "jana", Name: value}
	if kind == entity.ChangeApply {
		change.Name, change.Text = "", value
	}
	return c.host(name).Commit(context.Background(), 0, change)
}

// Guards against daemons that do not find each other, changes that are not in
// force on all members within seconds, and more store reads than the budget allows.
func TestMembersApplyChangesWithinTheReadBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 5)
		defer c.stopAll()
		total := -c.totalReads()
		time.Sleep(10 * time.Second)
		total += c.totalReads()
		assert.LessOrEqual(t, total, 8*10+4, "two pollers with two reads every 500 ms: %v", c.store.readsByHost)
		result, err := c.commit("h3", "c1", entity.ChangeApply, "praha-1,praha-2")
		require.NoError(t, err)
		assert.Equal(t, CommitResult{Revision: 1, Acknowledged: true}, result)
		time.Sleep(1100 * time.Millisecond)
		for name, h := range c.network.nodes {
			assert.GreaterOrEqual(t, h.follower.Revision(), uint64(1), name)
			assert.NoError(t, c.maySend(name))
			assert.Len(t, h.Tracker().Snapshot().Hosts(), 5)
		}
		time.Sleep(time.Second)
		assert.Equal(t, uint64(1), c.host("h0").follower.Configuration().InForceRevision)
		time.Sleep(10 * time.Second)
		assert.Equal(t, uint64(2), c.host("h0").follower.Revision(), "an in-force entry causes no further entry")
	})
}

// Guards against a failed member that keeps its pools, and against wrong membership
// after a member has left in order or was started again.
func TestCrashLeaveAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 4)
		defer c.stopAll()
		c.crashHost("h1")
		time.Sleep(6 * time.Second)
		_, member := c.host("h0").Tracker().Snapshot().View.Member("h1")
		assert.False(t, member, "a majority has not seen it")
		assert.NoError(t, c.maySend("h0"))

		c.stopHost("h2")
		time.Sleep(time.Second)
		assert.Len(t, c.host("h0").Tracker().Snapshot().Hosts(), 2)

		c.setStoreDown(false, "h1")
		c.store.mu.Lock()
		c.store.answersToLose = 1 // the answer to the join is lost
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

// Guards against a cell that cannot recover after a majority of its members has failed.
func TestEvictAfterLossOfTheMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stopAll()
		c.crashHost("h1")
		c.crashHost("h2")
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
		defer c.stopAll()
		order := c.host("h0").Tracker().Snapshot().RendezvousOrder()
		c.setStoreDown(true, order[0])
		_, err := c.commit(order[2], "c1", entity.ChangeApply, "praha-1")
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		assert.Equal(t, uint64(1), c.host(order[0]).follower.Configuration().InForceRevision)
	})
}

// Guards against a member that was cut off, was removed, and does not rejoin.
func TestRemovedMemberRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stopAll()
		before := c.host("h1").Tracker().Snapshot().Self
		c.isolate("h1", true)
		c.setStoreDown(true, "h1")
		time.Sleep(8 * time.Second)
		assert.True(t, failure.Is(c.maySend("h1"), failure.Isolated))
		assert.Len(t, c.host("h0").Tracker().Snapshot().Hosts(), 2)
		c.isolate("h1", false)
		c.setStoreDown(false, "h1")
		time.Sleep(6 * time.Second)
		assert.NoError(t, c.maySend("h1"))
		after := c.host("h1").Tracker().Snapshot()
		assert.Greater(t, after.Self.Incarnation, before.Incarnation)
		assert.True(t, after.View.Has(after.Self))
	})
}

// Guards against two processes with one host name that replace each other in the view
// again and again.
func TestNameTakenByAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stopAll()
		first := c.host("h1")
		c.start("h1")
		time.Sleep(2 * time.Second)
		assert.True(t, failure.Is(<-first.done, failure.Conflict))
	})
}

// Guards against members that stop sending, changes that are accepted, and daemons
// that cannot start during a store outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 5)
		defer c.stopAll()
		_, err := c.commit("h0", "c1", entity.ChangeApply, "praha-1,praha-2")
		require.NoError(t, err)
		c.setStoreDown(true, "h0", "h1", "h2", "h3", "h4")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for name := range c.network.nodes {
				require.NoError(t, c.maySend(name))
			}
		}
		_, err = c.commit("h0", "c2", entity.ChangeDataCentreTakeOut, "praha-1")
		assert.True(t, failure.Is(err, failure.StoreUnavailable))

		c.crashHost("h4")
		fresh := c.start("h4")
		time.Sleep(5 * time.Second)
		assert.NoError(t, c.maySend("h4"), "ready by the majority")
		assert.Equal(t, c.host("h0").follower.Configuration(), fresh.follower.Configuration())

		c.setStoreDown(false, "h0", "h1", "h2", "h3", "h4")
		time.Sleep(6 * time.Second)
		assert.True(t, fresh.Tracker().Snapshot().View.Has(fresh.Tracker().Snapshot().Self))
		result, err := c.commit("h1", "c3", entity.ChangeDataCentreTakeOut, "praha-1")
		require.NoError(t, err)
		assert.True(t, result.Acknowledged)
	})
}

// Guards against members that stop sending or are removed when every read of the
// store is slow and one link is cut in one direction.
func TestSlowStoreAndOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 4)
		defer c.stopAll()
		c.store.mu.Lock()
		c.store.readDelay = 900 * time.Millisecond // 1.8 s for the view and the head
		c.store.mu.Unlock()
		c.network.mu.Lock()
		c.network.cutLinks[[2]string{"h0", "h1"}] = true
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

// Guards against a daemon that is cut off from store and peers while a data centre is
// taken out and sends to it for longer than R3 allows, and against a commit by a
// minority.
func TestPartitionedDaemonDuringTakeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.stopAll()
		_, err := c.commit("h0", "c1", entity.ChangeApply, "praha-1,praha-2")
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		c.isolate("h2", true)
		c.setStoreDown(true, "h2")
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

		c.setStoreDown(false, "h2")
		time.Sleep(1500 * time.Millisecond)
		assert.NoError(t, c.maySend("h2"), "the store alone confirms the revision")
		_, err = c.commit("h2", "c3", entity.ChangeDataCentreTakeOut, "praha-2")
		assert.True(t, failure.Is(err, failure.Isolated), "%v", err)
	})
}
