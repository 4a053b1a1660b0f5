package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// Guards against new work on an upstream whose host the platform lists as leaving.
func TestUpstreamOnALeavingHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	client := c.newClient(c.hosts[0])
	c.generate(client, "restart", 10)
	c.writeHostList([]map[string]any{{"name": "e", "address": c.engines["praha-1-e1"].address, "leaving": true}})
	c.eventually("the owner sees that the upstream is leaving", func() bool {
		s, ok := c.status(c.hosts[0])
		for _, p := range s.Observed.Pools {
			for _, u := range p.Upstreams {
				if ok && u.Name == "praha-1-e1" && u.Leaving {
					return true
				}
			}
		}
		return false
	})
	startsBefore := startedGenerations(c.engines["praha-1-e1"])
	for range 5 {
		c.generate(client, "restart", 10)
	}
	require.Equal(t, startsBefore, startedGenerations(c.engines["praha-1-e1"]))
}

func startedGenerations(engine *process) int {
	total := 0
	for _, n := range readStats[standin.EngineStats](engine).Starts {
		total += n
	}
	return total
}

// Guards against callers that keep using a drained host: it must disappear from the list
// of hosts, refuse new work as not run and name another host, and accept work again
// after its return.
func TestOperatorsDrainAHost(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	c.requireCtl(c.hosts[1], "host", "drain", "-wait", "h1")
	client := c.newClient(c.hosts[0])
	c.eventually("h1 is no longer listed", func() bool {
		hosts, err := client.Hosts(t.Context())
		if err != nil {
			return false
		}
		for _, h := range hosts {
			if h.Name == "h1" {
				return false
			}
		}
		return true
	})
	c.eventually("h1 refuses new work", func() bool {
		_, err := client.Call(t.Context(), c.hosts[0].callerAddress, "lookup", "", []byte("{}"))
		refusal := requestResult{err: err}.refusal()
		return refusal != nil && refusal.Kind == failure.Draining && refusal.NotRun && refusal.Host != ""
	})
	c.generate(client, "restart", 10) // through another host
	c.requireCtl(c.hosts[1], "host", "return", "-wait", "h1")
	c.eventually("h1 accepts new work again", func() bool {
		_, err := client.Call(t.Context(), c.hosts[0].callerAddress, "lookup", "", []byte("{}"))
		return err == nil
	})
}
