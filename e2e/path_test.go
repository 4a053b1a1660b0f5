package e2e

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/standin"
)

// serviceText returns a service text for the cluster's engines and plain services. Their
// names must begin with the name of their data centre.
func (c *cluster) serviceText(limits string) string {
	var b strings.Builder
	b.WriteString("version: 1\ndata-centres: [praha-1, praha-2]\npools:\n")
	writePool := func(name, kind, dc, limits string, upstreams map[string]*process) {
		var rows []string
		for n, p := range upstreams {
			if strings.HasPrefix(n, dc) {
				rows = append(rows, "      - {name: "+n+", address: \""+p.address+"\"}\n")
			}
		}
		if len(rows) > 0 {
			b.WriteString("  - name: " + name + "\n    kind: " + kind + "\n    data-centre: " + dc + "\n    fencing: refuses-old\n    limits: " + limits + "\n    upstreams:\n" + strings.Join(rows, ""))
		}
	}
	for _, dc := range []string{"praha-1", "praha-2"} {
		writePool("model-"+dc, "engine", dc, limits, c.engines)
		writePool("plain-"+dc, "plain", dc, "{cold-requests: 4, max-requests: 32}", c.plains)
	}
	poolNames := func(prefix string) string {
		var names []string
		for _, dc := range []string{"praha-1", "praha-2"} {
			if strings.Contains(b.String(), "name: "+prefix+dc+"\n") {
				names = append(names, prefix+dc)
			}
		}
		return "[" + strings.Join(names, ", ") + "]"
	}
	modelPools, plainPools := poolNames("model-"), poolNames("plain-")
	b.WriteString("services:\n")
	for _, delivery := range []string{"restart", "whole", "error"} {
		b.WriteString("  - name: " + delivery + "\n    delivery: " + delivery + "\n    repeatable: true\n    deadline: 60s\n    versions:\n" +
			"      - {name: v1, model: m1, pools: " + modelPools + ", share: 100}\n      - {name: v2, model: m2, pools: " + modelPools + ", share: 0}\n" +
			"    rollout: {finish-within: 10m, max-error-increase: 0.05, max-slowdown: 2}\n")
	}
	if plainPools != "[]" {
		b.WriteString("  - name: booking\n    repeatable: false\n    deadline: 10s\n    versions:\n      - {name: v1, pools: " + plainPools + ", share: 100}\n" +
			"  - name: lookup\n    repeatable: true\n    deadline: 10s\n    versions:\n      - {name: v1, pools: " + plainPools + ", share: 100}\n")
	}
	b.WriteString("accounts:\n  - {name: guides, share: 1, max-queued: 100}\n")
	return b.String()
}

const warmLimits = "{cold-requests: 8, max-requests: 16, memory-tokens: 65536, target-step: 62ms}"

// newSmallCluster starts three daemons in two data centres, with one engine and one plain
// service in each data centre.
func newSmallCluster(t testing.TB, engineArgs ...string) *cluster {
	t.Helper()
	return newSmallClusterWith(t, engineArgs, nil)
}

func newSmallClusterWith(t testing.TB, engineArgs, plainArgs []string) *cluster {
	t.Helper()
	c := newCluster(t, "praha-1", "praha-1", "praha-2")
	for _, dc := range []string{"praha-1", "praha-2"} {
		c.startEngine(dc+"-e1", engineArgs...)
		c.startPlain(dc+"-p1", plainArgs...)
	}
	c.applyServiceText(c.serviceText(warmLimits))
	c.waitReady()
	return c
}

// Covers the whole path: a caller asks any host, streams from an engine and calls a plain
// service, a repeated call replays the first result, and the timeline shows the events of
// the request in order.
func TestPathFromCallerToUpstream(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	client := c.newClient(c.hosts[2])
	hosts, err := client.Hosts(t.Context())
	require.NoError(t, err)
	require.NotEmpty(t, hosts)

	answer := c.generate(client, "restart", 200)
	require.Zero(t, answer.Restarts)
	c.generate(client, "whole", 100)

	result, err := client.Call(t.Context(), c.hosts[0].callerAddress, "booking", "key-1", []byte(`{"book":1}`))
	require.NoError(t, err)
	require.Equal(t, 200, result.Status)
	again, err := client.Call(t.Context(), c.hosts[1].callerAddress, "booking", "key-1", []byte(`{"book":1}`))
	require.NoError(t, err)
	require.True(t, again.Replayed)
	require.Equal(t, result.Body, again.Body)

	out := c.requireCtl(c.hosts[1], "timeline", "-request", answer.RequestID)
	for _, kind := range []string{"request-accepted", "permit-granted", "request-sent", "token-first", "request-done"} {
		require.Contains(t, out, "kind="+kind)
	}
	require.Less(t, strings.Index(out, "request-accepted"), strings.Index(out, "permit-granted"))
	require.Less(t, strings.Index(out, "request-sent"), strings.Index(out, "request-done"))
}

// Guards against an answer that mixes generations when an engine loses its state during a
// stream.
func TestEngineLostDuringStream(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t, "-base-step", "5ms")
	faultTrigger := make(chan struct{})
	go func() {
		<-faultTrigger
		for _, e := range c.engines {
			if s := readStats[standin.EngineStats](e); s.Running > 0 {
				e.setFault(standin.Fault{Kind: standin.FaultColdRestart})
				// Only one engine gets the fault: the request may already run on the next
				// one, and a second loss would correctly end it.
				return
			}
		}
	}()
	client := c.newClient(c.hosts[0])
	seenTokens := 0
	answer, err := client.Generate(t.Context(), generateRequest("restart", 300, func(string) {
		if seenTokens++; seenTokens == 50 {
			close(faultTrigger)
		}
	}))
	require.NoError(t, err)
	require.Len(t, answer.Tokens, 300)
	require.Equal(t, 1, answer.Restarts)
	generation, _, _ := strings.Cut(answer.Tokens[0], "-")
	for _, token := range answer.Tokens {
		require.True(t, strings.HasPrefix(token, generation+"-"), token)
	}
}
