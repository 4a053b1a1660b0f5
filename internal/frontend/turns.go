package frontend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/migration"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	methodTurn    = "move.turn"
	methodRelease = "move.release"
	// turnTimeout bounds the wait for a turn at the owner; the requesting host asks again until
	// its own deadline.
	turnTimeout = 700 * time.Millisecond
	// turnCallTimeout bounds the whole call, with time for the network, some milliseconds, and a
	// slow owner.
	turnCallTimeout = turnTimeout + 200*time.Millisecond
)

// turns grants migrations exclusive use of the links of a data centre's engines, one copy at a
// time. The host with the highest rendezvous score for a data centre owns its links. If two hosts
// disagree on the owner, copies that run at the same time slow each other down.
type turns struct {
	frontEnd *FrontEnd
	owned    *migration.CopyScheduler
}

func newTurns(f *FrontEnd) *turns { return &turns{frontEnd: f, owned: migration.NewCopyScheduler()} }

// register registers the calls by which other hosts acquire and release turns owned by this host.
func (t *turns) register(server *peer.Server) {
	peer.Register(server, methodTurn, t.serveTurn)
	peer.Register(server, methodRelease, t.serveRelease)
}

type turnResponse struct {
	Turn    migration.CopyGrant `json:"turn"`
	Granted bool                `json:"granted"`
}

type turnRelease struct {
	ID uint64 `json:"id"`
}

func (t *turns) serveTurn(ctx context.Context, r migration.CopyRequest) (turnResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	turn, ok := t.owned.Acquire(ctx, r)
	return turnResponse{turn, ok}, nil
}

func (t *turns) serveRelease(_ context.Context, r turnRelease) (struct{}, error) {
	t.owned.Release(r.ID)
	return struct{}{}, nil
}

// owner returns the peer address of the host that owns a data centre's turns, "" for this host.
func (t *turns) owner(dataCentre string) string {
	self := t.frontEnd.members.Self()
	key := routing.RendezvousScore(dataCentre, 0)
	best, address := routing.RendezvousScore(self.Name, key), ""
	for _, m := range t.frontEnd.members.Live(time.Now()) {
		if score := routing.RendezvousScore(m.Name, key); m.State == gossip.Ready && score > best {
			best, address = score, m.PeerAddress
		}
	}
	return address
}

// Acquire asks the owner for a turn. If the owner can not be reached, it returns a turn to the
// preferred destination, so that the copy proceeds without coordination.
func (t *turns) Acquire(ctx context.Context, dataCentre string, r migration.CopyRequest) (migration.CopyGrant, func(), bool) {
	r.ID = rand.Uint64()
	owner := t.owner(dataCentre)
	if owner == "" {
		response, err := t.serveTurn(ctx, r)
		return response.Turn, func() { t.owned.Release(r.ID) }, err == nil && response.Granted
	}
	ctx, cancel := context.WithTimeout(ctx, turnCallTimeout)
	defer cancel()
	var response turnResponse
	err := t.frontEnd.peerClient.Call(ctx, owner, methodTurn, r, &response)
	switch {
	case err == nil:
		return response.Turn, func() { t.release(owner, r.ID) }, response.Granted
	case ctx.Err() != nil || len(r.Destinations) == 0:
		go t.release(owner, r.ID) // the owner may have granted the turn already
		return migration.CopyGrant{}, nil, false
	default:
		t.frontEnd.log.Info("owner of migration turns not reached; copying without a turn", "owner", owner, "request", r.Run, "error", err.Error())
		return migration.CopyGrant{Destination: r.Destinations[0].Engine}, func() {}, true
	}
}

// release notifies the owner that this host no longer uses or waits for a turn. If the
// notification is lost, the turn ends with its lease.
func (t *turns) release(owner string, id uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), turnTimeout)
	defer cancel()
	if err := t.frontEnd.peerClient.Notify(ctx, owner, methodRelease, turnRelease{id}); err != nil {
		t.frontEnd.log.Info("migration turn could not be released; it ends with its lease", "owner", owner, "error", err.Error())
	}
}
