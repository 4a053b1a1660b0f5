package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// coldLimits match the cold capacity of the engines in these tests, 4 requests.
const coldLimits = "{cold-requests: 4, max-requests: 16, memory-tokens: 65536, target-step: 62ms}"

// newColdCluster starts three daemons and two engines that stay cold until they have
// completed warmAfter requests, with callers at all hosts that send more requests than
// the cold engines can hold.
func newColdCluster(t *testing.T, warmAfter string) (*cluster, *load) {
	t.Helper()
	c := newCluster(t, "praha-1", "praha-1", "praha-2")
	for _, dc := range []string{"praha-1", "praha-2"} {
		c.startEngine(dc+"-e1", "-cold-requests", "4", "-warm-after", warmAfter, "-base-step", "5ms")
	}
	c.applyServiceText(c.serviceText(coldLimits))
	c.waitReady()
	l := c.startLoad("restart", 18, 40, c.hosts...)
	c.eventually("the engines serve", func() bool { return l.completed() >= 10 })
	return c, l
}

// poolOwner returns the host that owns the pool.
func (c *cluster) poolOwner(pool string) *host {
	c.t.Helper()
	s, ok := c.status(c.hosts[0])
	require.True(c.t, ok)
	for _, p := range s.Observed.Pools {
		for _, h := range c.hosts {
			if p.Pool == pool && p.Owner == h.name {
				return h
			}
		}
	}
	c.t.Fatalf("pool %s has no owner", pool)
	return nil
}

// requireNoColdViolation requires that no engine held more requests than its cold capacity.
func (c *cluster) requireNoColdViolation() {
	c.t.Helper()
	for name, e := range c.engines {
		s := readStats[standin.EngineStats](e)
		c.t.Logf("%s: cold maximum %d of 4, violations %d, started %d, completed %d", name, s.MaxCold, s.ColdViolations, s.Started, s.Completed)
		if s.ColdViolations > 0 {
			out, _ := c.runCtl(c.hosts[0], "timeline")
			c.t.Logf("%s held %v\n%s", name, s.ViolatedBy, out)
		}
		require.Positive(c.t, s.MaxCold, name)
		require.Zero(c.t, s.ColdViolations, name)
	}
}

// Guards against a new pool owner that grants slots of a cold engine whose permits from
// the killed owner are still valid (R2).
func TestColdEngineWhenItsOwnerIsKilled(t *testing.T) {
	t.Parallel()
	c, l := newColdCluster(t, "100000")
	c.poolOwner("model-praha-1").kill()
	time.Sleep(16 * time.Second) // longer than removal from the view, view validity and permit term
	before := l.completed()
	c.eventually("service goes on", func() bool { return l.completed() > before+10 })
	c.requireNoColdViolation()
	complete, refused := requireComplete(t, l.stopAndCollect(), failure.Isolated, failure.NotReady, failure.DeadlineExceeded, failure.NoUpstream)
	t.Logf("complete=%d refused=%d", complete, refused)
}

// Guards against a pool owner that is paused past its lease and, when it continues,
// grants slots that its successor has already granted (R2).
func TestColdEngineWhenItsOwnerIsPausedPastItsLease(t *testing.T) {
	t.Parallel()
	c, l := newColdCluster(t, "100000")
	for range 2 {
		resume := c.poolOwner("model-praha-1").pause()
		time.Sleep(9 * time.Second) // longer than removal from the view and view validity
		resume()
		time.Sleep(3 * time.Second)
	}
	before := l.completed()
	c.eventually("service goes on", func() bool { return l.completed() > before+10 })
	c.requireNoColdViolation()
	complete, refused := requireComplete(t, l.stopAndCollect(), failure.Isolated, failure.NotReady, failure.DeadlineExceeded, failure.NoUpstream)
	t.Logf("complete=%d refused=%d", complete, refused)
}

// Guards against full load on an engine that has just restarted and is cold (R2).
func TestEngineTurnsColdWithoutWarning(t *testing.T) {
	t.Parallel()
	c, l := newColdCluster(t, "12")
	e := c.engines["praha-1-e1"]
	for range 6 {
		c.eventually("the engine is warm and in use", func() bool {
			s := readStats[standin.EngineStats](e)
			return !s.Cold && s.Running > 0
		})
		e.setFault(standin.Fault{Kind: standin.FaultColdRestart})
		c.eventually("the engine serves again", func() bool { return readStats[standin.EngineStats](e).Running > 0 })
	}
	c.requireNoColdViolation()
	for _, r := range l.stopAndCollect() {
		if r.err == nil {
			requireCompleteAnswer(t, r.answer, r.tokens)
			continue
		}
		require.NotNil(t, r.refusal(), "%v", r.err)
		require.True(t, r.refusal().NotRun || strings.Contains(r.err.Error(), "lost"), "%v", r.err)
	}
}
