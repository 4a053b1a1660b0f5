package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/gateway"
	"github.com/rattanscale/rattanscale/internal/gossip"
)

// Guards against callers of a large site that all use the hosts first by name, and against
// answers that change for the same caller, which would make it drop its connections.
func TestCallersSpreadOverAllHosts(t *testing.T) {
	const hosts, limit = 90, 64
	f := &FrontEnd{settings: &Settings{}, members: gossip.NewTable(gossip.Member{Name: "h000", State: gossip.Starting})}
	other := &FrontEnd{settings: &Settings{}, members: gossip.NewTable(gossip.Member{Name: "h001", State: gossip.Starting})}
	for i := 2; i < hosts+2; i++ {
		name := fmt.Sprintf("h%03d", i)
		m := gossip.Member{Name: name, Incarnation: 1, State: gossip.Ready, CallerAddress: name, PeerAddress: name}
		f.members.Merge(gossip.Message{Self: m}, time.Now())
		other.members.Merge(gossip.Message{Self: m}, time.Now())
	}
	f.gateway, other.gateway = emptyGateway(), emptyGateway()
	callersByAddress := map[string]int{}
	for caller := range 200 {
		name := fmt.Sprint("10.9.0.", caller, " a")
		addresses, _ := f.callerAddresses(name, limit)
		require.Len(t, addresses, limit)
		for _, a := range addresses {
			callersByAddress[a]++
		}
		again, _ := other.callerAddresses(name, limit)
		require.Equal(t, addresses, again, "another host returns different addresses to the same caller")
	}
	require.Len(t, callersByAddress, hosts)
	for name, callers := range callersByAddress {
		require.InDelta(t, 200*limit/hosts, callers, 50, name)
	}
}

func emptyGateway() *gateway.Gateway { return gateway.New(gateway.Options{Log: logr.Discard()}) }
