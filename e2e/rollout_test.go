package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/standin"
)

// twoVersionText returns a service text with one plain service in two versions, each with
// its own pool.
func (c *cluster) twoVersionText(finishWithin string) string {
	return fmt.Sprintf(`version: 1
data-centres: [praha-1]
pools:
  - {name: old, kind: plain, data-centre: praha-1, limits: {cold-requests: 16, max-requests: 64}, upstreams: [{name: o1, address: "%s"}]}
  - {name: new, kind: plain, data-centre: praha-1, limits: {cold-requests: 16, max-requests: 64}, upstreams: [{name: n1, address: "%s"}]}
services:
  - name: lookup
    repeatable: true
    deadline: 10s
    versions: [{name: v1, pools: [old], share: 100}, {name: v2, pools: [new], share: 0}]
    rollout: {finish-within: %s, max-error-increase: 0.05, max-slowdown: 3}
accounts:
  - {name: guides, share: 1, max-queued: 1000}
`, c.plains["old"].address, c.plains["new"].address, finishWithin)
}

// startVersionLookups sends calls from several callers. The returned function stops them
// and returns the number of calls.
func (c *cluster) startVersionLookups(callers int) (stop func() int64) {
	ctx, cancel := context.WithCancel(c.t.Context())
	var wg sync.WaitGroup
	var sentCalls atomic.Int64
	for i := range callers {
		wg.Go(func() {
			client := c.newClient(c.hosts...)
			for n := 0; ctx.Err() == nil; n++ {
				_, _ = client.Call(ctx, c.hosts[n%len(c.hosts)].callerAddress, "lookup", "", []byte(fmt.Sprintf(`{"caller":%d,"n":%d}`, i, n)))
				sentCalls.Add(1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() int64 { cancel(); wg.Wait(); return sentCalls.Load() }
}

// Guards against a failing version that receives more than a small share of the
// requests, or whose rollout is not undone automatically.
func TestRolloutOfFailingVersionIsUndone(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha-1", "praha-1", "praha-1")
	c.startPlain("old")
	failingVersion := c.startPlain("new")
	failingVersion.setFault(standin.Fault{Kind: standin.FaultRefuse})
	c.applyServiceText(c.twoVersionText("5m"))
	c.waitReady()
	stop := c.startVersionLookups(8)
	out, code := c.runCtl(c.hosts[0], "rollout", "start", "-wait", "-timeout", "50s", "lookup", "v2")
	require.Equal(t, 3, code, out)
	require.Contains(t, out, "outcome=undone")
	refused := readStats[standin.PlainStats](failingVersion).Refused
	require.Positive(t, refused)
	time.Sleep(2 * time.Second) // until the change has reached every host
	refusedAfterUndo := readStats[standin.PlainStats](failingVersion).Refused
	time.Sleep(2 * time.Second)
	require.Equal(t, refusedAfterUndo, readStats[standin.PlainStats](failingVersion).Refused, "an undone version still receives requests")
	sent := stop()
	t.Logf("the failing version received %d attempts of %d calls before it was undone", refused, sent)
	require.LessOrEqual(t, refused, int(sent/10), "the failing version received more than a tenth of the calls")
}

// Guards against a rollout of a working version that does not finish in time when the
// daemon that controls it is killed.
func TestRolloutFinishesWhenItsControllerIsKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha-1", "praha-1", "praha-1")
	c.startPlain("old")
	c.startPlain("new")
	c.applyServiceText(c.twoVersionText("1m"))
	c.waitReady()
	stop := c.startVersionLookups(8)
	startTime := time.Now()
	started := c.requireCtl(c.hosts[0], "rollout", "start", "lookup", "v2")
	c.eventually("the first step is taken", func() bool {
		s, ok := c.status(c.hosts[0])
		return ok && len(s.Configuration.Rollouts) == 1 && s.Configuration.Rollouts[0].Step > 1
	})
	controller := c.controllerOf("lookup")
	controller.kill()
	survivor := c.hosts[0]
	if survivor == controller {
		survivor = c.hosts[1]
	}
	c.eventually("the rollout ends", func() bool {
		s, ok := c.status(survivor)
		return ok && s.Configuration.Rollouts[0].State != "running"
	})
	s, _ := c.status(survivor)
	require.Equal(t, "finished", s.Configuration.Rollouts[0].State, "%s: %s", started, s.Configuration.Rollouts[0].Reason)
	t.Logf("finished after %v of 1 min, with one of three daemons killed", time.Since(startTime).Round(time.Second))
	stop()
}

// controllerOf returns the host that committed the last step of the rollout.
func (c *cluster) controllerOf(service string) *host {
	c.t.Helper()
	var found *host
	c.eventually("the controller shows in the timeline", func() bool {
		for _, h := range c.hosts {
			s, ok := c.status(h)
			if ok && len(s.Configuration.Rollouts) == 1 && s.Configuration.Rollouts[0].Service == service && c.committedStep(h) {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// committedStep reports whether the timeline has a rollout step that the host committed.
func (c *cluster) committedStep(h *host) bool {
	out, code := c.runCtl(c.hosts[0], "timeline", "-kind", "change-committed")
	if code != 0 {
		return false
	}
	for line := range strings.Lines(out) {
		if strings.Contains(line, " host="+h.name+" ") && strings.Contains(line, "rollout-step") {
			return true
		}
	}
	return false
}
