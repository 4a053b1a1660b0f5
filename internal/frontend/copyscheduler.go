package frontend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/migration"
	"github.com/rattanscale/rattanscale/internal/peer"
	"github.com/rattanscale/rattanscale/internal/routing"
)

const (
	methodAcquireCopy = "move.turn"
	methodReleaseCopy = "move.release"
	// acquireTimeout bounds the wait for a grant at the owner; the requesting host asks again until
	// its own deadline.
	acquireTimeout = 700 * time.Millisecond
	// acquireCallTimeout bounds the whole call, with time for the network, some milliseconds, and a
	// slow owner.
	acquireCallTimeout = acquireTimeout + 200*time.Millisecond
)

// copyScheduler acquires copy grants for migrations; a grant reserves the links of two engines. The
// host with the highest rendezvous score for a data centre owns the links of its engines and
// schedules their copies. If two hosts disagree on the owner, copies that run at the same time slow
// each other down.
type copyScheduler struct {
	frontEnd *FrontEnd
	local    *migration.CopyScheduler
}

func newCopyScheduler(f *FrontEnd) *copyScheduler {
	return &copyScheduler{frontEnd: f, local: migration.NewCopyScheduler()}
}

// register registers the peer calls that acquire and release grants of this host.
func (t *copyScheduler) register(server *peer.Server) {
	peer.Register(server, methodAcquireCopy, t.serveAcquire)
	peer.Register(server, methodReleaseCopy, t.serveRelease)
}

type acquireResponse struct {
	Grant   migration.CopyGrant `json:"turn"`
	Granted bool                `json:"granted"`
}

type releaseParams struct {
	ID uint64 `json:"id"`
}

func (t *copyScheduler) serveAcquire(ctx context.Context, r migration.CopyRequest) (acquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	grant, ok := t.local.Acquire(ctx, r)
	return acquireResponse{grant, ok}, nil
}

func (t *copyScheduler) serveRelease(_ context.Context, r releaseParams) (struct{}, error) {
	t.local.Release(r.ID)
	return struct{}{}, nil
}

// owner returns the peer address of the host that schedules a data centre's copies, "" for this host.
func (t *copyScheduler) owner(dataCentre string) string {
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

// Acquire asks the owner for a copy grant. If the owner cannot be reached, it returns a grant for the
// preferred destination, so that the copy proceeds without coordination.
func (t *copyScheduler) Acquire(ctx context.Context, dataCentre string, r migration.CopyRequest) (migration.CopyGrant, func(), bool) {
	r.ID = rand.Uint64()
	owner := t.owner(dataCentre)
	if owner == "" {
		response, err := t.serveAcquire(ctx, r)
		return response.Grant, func() { t.local.Release(r.ID) }, err == nil && response.Granted
	}
	ctx, cancel := context.WithTimeout(ctx, acquireCallTimeout)
	defer cancel()
	var response acquireResponse
	err := t.frontEnd.peerClient.Call(ctx, owner, methodAcquireCopy, r, &response)
	switch {
	case err == nil:
		return response.Grant, func() { t.release(owner, r.ID) }, response.Granted
	case ctx.Err() != nil || len(r.Destinations) == 0:
		go guard.Run(t.frontEnd.log, "release of a copy grant", func() { t.release(owner, r.ID) }) // the owner may have granted the request already
		return migration.CopyGrant{}, nil, false
	default:
		t.frontEnd.log.Info("copy scheduler of the data centre not reached; copying without a grant", "owner", owner, "request", r.Run, "error", err.Error())
		return migration.CopyGrant{Destination: r.Destinations[0].Engine}, func() {}, true
	}
}

// release notifies the owner that this host no longer uses or waits for a grant. If the
// notification is lost, the grant expires with its lease.
func (t *copyScheduler) release(owner string, id uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	if err := t.frontEnd.peerClient.Notify(ctx, owner, methodReleaseCopy, releaseParams{id}); err != nil {
		t.frontEnd.log.Info("copy grant could not be released; it expires with its lease", "owner", owner, "error", err.Error())
	}
}
