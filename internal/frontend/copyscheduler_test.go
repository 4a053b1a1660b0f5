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

// startSchedulerHost starts the part of a front end that requests and issues copy grants.
func startSchedulerHost(t *testing.T, name string) *FrontEnd {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	f := &FrontEnd{log: logr.Discard(), members: gossip.NewTable(gossip.Member{
		Name: name, Incarnation: 1, State: gossip.Ready, PeerAddress: address, CallerAddress: address,
	})}
	f.copyScheduler = newCopyScheduler(f)
	f.peerServer, f.peerClient = peer.New(peer.Options{Address: address, Key: "a shared key of the tests", Logger: logr.Discard()})
	f.copyScheduler.register(f.peerServer)
	go func() { _ = f.peerServer.Serve(listener) }()
	t.Cleanup(func() { _ = f.peerClient.Close(); _ = f.peerServer.Close() })
	return f
}

// Guards against a link that stays reserved for a host that no longer waits: the owner granted
// the copy just after the host's call had timed out.
func TestAbandonedAcquireHoldsNoLink(t *testing.T) {
	requesting, owning := startSchedulerHost(t, "asking"), startSchedulerHost(t, "owning")
	requesting.members.Merge(gossip.Message{Self: owning.members.Self()}, time.Now())
	dataCentre := "a"
	for requesting.copyScheduler.owner(dataCentre) == "" {
		dataCentre += "a"
	}
	acquire := func(run string, wait time.Duration) (func(), bool) {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		_, release, ok := requesting.copyScheduler.Acquire(ctx, dataCentre, migration.CopyRequest{
			Run: run, Source: "a", Tokens: 1000, Destinations: []migration.Destination{{Engine: "b", FreeTokens: 9000}, {Engine: "c", FreeTokens: 9000}},
		})
		return release, ok
	}
	release, ok := acquire("first", 5*time.Second)
	require.True(t, ok)
	_, ok = acquire("gives up", 50*time.Millisecond)
	require.False(t, ok)
	release()
	_, ok = acquire("next", 500*time.Millisecond)
	require.True(t, ok, "the link is reserved for a host that no longer waits")
}
