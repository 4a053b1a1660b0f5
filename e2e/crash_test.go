package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// Guards against a request that crashes one engine after another because its caller
// keeps repeating it: it must be quarantined after at most two losses (section 5.7).
func TestRequestThatCrashesEngines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha-1", "praha-1", "praha-2")
	for _, name := range []string{"praha-1-e1", "praha-1-e2", "praha-2-e1"} {
		c.startEngine(name).setFault(standin.Fault{Kind: standin.FaultCrashOn, Marker: "poison"})
	}
	c.applyServiceText(c.serviceText(warmLimits))
	c.waitReady()
	l := c.startLoad("restart", 6, 40, c.hosts...)
	c.eventually("the engines serve", func() bool { return l.completed() >= 10 })
	requestCount := 0
	for refusals := 0; refusals < 6; requestCount++ { // twice at each host
		require.Less(t, requestCount, 30)
		r := c.sendGeneration(c.newClient(c.hosts...), c.hosts[requestCount%3], "restart", "poison tokens=50", 50)
		require.Error(t, r.err)
		if f := r.refusal(); f != nil && f.Kind == failure.Quarantined {
			require.True(t, f.NotRun)
			refusals++
		}
	}
	losses := 0
	for name, e := range c.engines {
		s := readStats[standin.EngineStats](e)
		t.Logf("%s: losses %d", name, s.Losses)
		losses += s.Losses
	}
	t.Logf("attempts=%d losses=%d, bound 2", requestCount, losses)
	if losses > 2 {
		out, _ := c.runCtl(c.hosts[0], "timeline")
		t.Log(out)
	}
	require.LessOrEqual(t, losses, 2)
	completedBefore := l.completed()
	c.eventually("other requests complete", func() bool { return l.completed() > completedBefore+10 })
	complete, refused := requireComplete(t, l.stopAndCollect())
	t.Logf("complete=%d refused=%d", complete, refused)
}
