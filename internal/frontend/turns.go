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
	// turnWait bounds the wait for a turn at its owner; the asking host asks again while
	// there is time.
	turnWait = 700 * time.Millisecond
	// turnCall bounds the call besides: hosts are some milliseconds apart, and the owner
	// may be slow.
	turnCall = turnWait + 200*time.Millisecond
)

// turns gives out the links of a data centre's engines to one copy at a time. The
// host with the highest rendezvous score owns those of a data centre. Two hosts
// that disagree on the owner only make copies wait for each other.
type turns struct {
	f     *FrontEnd
	local *migration.CopyScheduler
}

func newTurns(f *FrontEnd) *turns { return &turns{f: f, local: migration.NewCopyScheduler()} }

// register makes the turns of this host's data centres known to other hosts.
func (t *turns) register(server *peer.Server) {
	peer.Register(server, methodTurn, t.serveTurn)
	peer.Register(server, methodRelease, t.serveRelease)
}

type turnAnswer struct {
	Turn    migration.CopyGrant `json:"turn"`
	Granted bool                `json:"granted"`
}

type turnRelease struct {
	ID uint64 `json:"id"`
}

func (t *turns) serveTurn(ctx context.Context, r migration.CopyRequest) (turnAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, turnWait)
	defer cancel()
	turn, ok := t.local.Acquire(ctx, r)
	return turnAnswer{turn, ok}, nil
}

func (t *turns) serveRelease(_ context.Context, r turnRelease) (struct{}, error) {
	t.local.Release(r.ID)
	return struct{}{}, nil
}

// owner returns the peer address of a data centre's owner, "" for this host.
func (t *turns) owner(dataCentre string) string {
	self := t.f.members.Self()
	key := routing.RendezvousScore(dataCentre, 0)
	best, address := routing.RendezvousScore(self.Name, key), ""
	for _, m := range t.f.members.Live(time.Now()) {
		if score := routing.RendezvousScore(m.Name, key); m.State == gossip.Ready && score > best {
			best, address = score, m.PeerAddress
		}
	}
	return address
}

// Acquire asks the owner for a turn. A copy whose owner can not be reached goes
// ahead to the preferred destination.
func (t *turns) Acquire(ctx context.Context, dataCentre string, r migration.CopyRequest) (migration.CopyGrant, func(), bool) {
	r.ID = rand.Uint64()
	owner := t.owner(dataCentre)
	if owner == "" {
		a, err := t.serveTurn(ctx, r)
		return a.Turn, func() { t.local.Release(r.ID) }, err == nil && a.Granted
	}
	ctx, cancel := context.WithTimeout(ctx, turnCall)
	defer cancel()
	var a turnAnswer
	err := t.f.client.Call(ctx, owner, methodTurn, r, &a)
	switch {
	case err == nil:
		return a.Turn, func() { t.release(owner, r.ID) }, a.Granted
	case ctx.Err() != nil || len(r.Destinations) == 0:
		go t.release(owner, r.ID) // the answer may be on its way
		return migration.CopyGrant{}, nil, false
	default:
		t.f.log.Info("owner of moves not reached", "owner", owner, "request", r.Run, "error", err.Error())
		return migration.CopyGrant{Destination: r.Destinations[0].Engine}, func() {}, true
	}
}

// release tells the owner that this host has no use for a turn, or no longer waits for
// it. A release that is lost is replaced by the end of the turn's lease.
func (t *turns) release(owner string, id uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), turnWait)
	defer cancel()
	if err := t.f.client.Notify(ctx, owner, methodRelease, turnRelease{id}); err != nil {
		t.f.log.Info("turn could not be released", "owner", owner, "error", err.Error())
	}
}
