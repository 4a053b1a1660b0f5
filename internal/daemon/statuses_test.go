package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/permit"
)

// fakePoolOwners implements permit.Caller. It returns the pool statuses of the member at
// each address and records the calls.
type fakePoolOwners struct {
	mu              sync.Mutex
	calledAddresses []string
	pools           map[string][]permit.PoolStatus
}

func (p *fakePoolOwners) Call(_ context.Context, address, _ string, _, result any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calledAddresses = append(p.calledAddresses, address)
	result.(*permit.StatusResult).Pools = p.pools[address]
	return nil
}

// Guards against a pool whose status is not read from its owner, and against calls to the
// many members of a cell that own no pool.
func TestPoolStatusesAreReadOncePerOwner(t *testing.T) {
	now, view := time.Now(), membership.View{Epoch: 1}
	for i := range 16 {
		id := membership.Identity{Name: fmt.Sprintf("h%02d", i), Incarnation: 1}
		view.Members = append(view.Members, membership.Member{Identity: id, PeerAddress: "address of " + id.Name})
	}
	tracker := membership.NewTracker("cell", view.Members[0].Identity, now)
	tracker.ObserveStoreRead(now, now, view, 0)

	conf := &entity.Configuration{Text: &entity.ServiceText{}}
	peers := &fakePoolOwners{pools: map[string][]permit.PoolStatus{}}
	for i := range 4 {
		name := fmt.Sprint("pool-", i)
		owner, _ := tracker.Snapshot().Owner(name)
		conf.Text.Pools = append(conf.Text.Pools, entity.Pool{Name: name})
		peers.pools[owner.PeerAddress] = append(peers.pools[owner.PeerAddress], permit.PoolStatus{Pool: name})
	}
	s := newPoolStatuses(func() *entity.Configuration { return conf }, tracker, peers)
	s.readAll(t.Context())
	assert.Len(t, s.All(), 4, "every pool has a status")
	slices.Sort(peers.calledAddresses)
	assert.Len(t, peers.calledAddresses, len(slices.Compact(slices.Clone(peers.calledAddresses))), "no member is called twice")
	assert.Len(t, peers.calledAddresses, len(peers.pools), "only owners are called")
}
