package frontend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/migration"
	"github.com/rattanscale/rattanscale/internal/peer"
)

// startTurnHost starts the part of a front end that owns and asks for turns.
func startTurnHost(t *testing.T, name string) *FrontEnd {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	f := &FrontEnd{log: logr.Discard(), members: gossip.NewTable(gossip.Member{
		Name: name, Incarnation: 1, State: gossip.Ready, PeerAddress: address, CallerAddress: address,
	})}
	f.turns = newTurns(f)
	f.server, f.client = peer.New(peer.Options{Address: address, Key: "a shared key of the tests", Logger: logr.Discard()})
	f.turns.register(f.server)
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() { _ = f.client.Close(); _ = f.server.Close() })
	return f
}

// Guards against a link that stays taken for a host which no longer waits for its turn:
// the owner granted it while the host's call had just timed out.
func TestAbandonedCallForATurnHoldsNoLink(t *testing.T) {
	asking, owning := startTurnHost(t, "asking"), startTurnHost(t, "owning")
	asking.members.Learn(gossip.Message{Self: owning.members.Self()}, time.Now())
	dataCentre := "a"
	for asking.turns.owner(dataCentre) == "" {
		dataCentre += "a"
	}
	ask := func(run string, wait time.Duration) (func(), bool) {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		_, release, ok := asking.turns.Acquire(ctx, dataCentre, migration.CopyRequest{
			Run: run, Source: "a", Tokens: 1000, Destinations: []migration.Destination{{Engine: "b", FreeTokens: 9000}, {Engine: "c", FreeTokens: 9000}},
		})
		return release, ok
	}
	release, ok := ask("first", 5*time.Second)
	require.True(t, ok)
	_, ok = ask("gives up", 50*time.Millisecond)
	require.False(t, ok)
	release()
	_, ok = ask("next", 500*time.Millisecond)
	require.True(t, ok, "the link was given to a host that had stopped waiting")
}
