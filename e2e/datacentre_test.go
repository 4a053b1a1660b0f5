package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/operatorapi"
	"github.com/rattanscale/rattanscale/internal/standin"
)

const (
	// inForceBound is the time within which a change is in force on all hosts (design,
	// section 1, scale).
	inForceBound = 7 * time.Second
)

// lastStartTime returns the time at which an upstream of the data centre last started work.
func (c *cluster) lastStartTime(dataCentre string) time.Time {
	var last int64
	for name, e := range c.engines {
		if strings.HasPrefix(name, dataCentre) {
			last = max(last, readStats[standin.EngineStats](e).LastStartUnixMS)
		}
	}
	for name, p := range c.plains {
		if strings.HasPrefix(name, dataCentre) {
			last = max(last, readStats[standin.PlainStats](p).LastStartUnixMS)
		}
	}
	return time.UnixMilli(last)
}

// startLookups starts a caller of a plain service at each host. They run until the load is
// stopped.
func (c *cluster) startLookups(l *load) {
	for _, h := range c.hosts {
		client := c.newClient(h)
		l.callers.Go(func() {
			for l.ctx.Err() == nil {
				_, _ = client.Call(l.ctx, h.callerAddress, "lookup", "", []byte(`{}`))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// startMixedLoad starts generations and plain calls at all hosts and waits until both data
// centres serve.
func (c *cluster) startMixedLoad() *load {
	l := c.startLoad("restart", 9, 40, c.hosts...)
	c.startLookups(l)
	loadStart := time.Now()
	c.eventually("both data centres serve", func() bool {
		return c.lastStartTime("praha-1").After(loadStart) && c.lastStartTime("praha-2").After(loadStart)
	})
	return l
}

// requireNoNewWork waits for longer than the bound and requires that the last start of
// work in the data centre was within the bound after the command.
func (c *cluster) requireNoNewWork(dataCentre string, commandTime time.Time, bound time.Duration) {
	c.t.Helper()
	time.Sleep(time.Until(commandTime.Add(bound + 2*time.Second)))
	delay := max(0, c.lastStartTime(dataCentre).Sub(commandTime))
	c.t.Logf("last new work %v after the command, bound %v", delay, bound)
	require.LessOrEqual(c.t, delay, bound)
}

// Guards against new work in a data centre that was taken out, against answers that are
// cut off by the take-out, and against a data centre that gets no work after it was
// brought back (R3, R10).
func TestDataCentreTakenOutUnderLoadAndBroughtBack(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	l := c.startMixedLoad()
	commandTime := time.Now()
	c.requireCtl(c.hosts[0], "data-centre", "take-out", "praha-2")
	c.requireNoNewWork("praha-2", commandTime, inForceBound)
	before := l.completed()
	c.eventually("the other data centre serves", func() bool { return l.completed() > before+10 })

	bringBackTime := time.Now()
	c.requireCtl(c.hosts[1], "data-centre", "bring-back", "-wait", "praha-2")
	inForceDelay := time.Since(bringBackTime)
	t.Logf("in force everywhere %v after the command, bound %v", inForceDelay, inForceBound)
	require.LessOrEqual(t, inForceDelay, inForceBound)
	c.eventually("service returns", func() bool { return c.lastStartTime("praha-2").After(bringBackTime) })
	complete, refused := requireComplete(t, l.stopAndCollect())
	t.Logf("complete=%d refused=%d", complete, refused)
}

// Guards against a daemon that is paused during a take-out and starts work in that data
// centre when it continues (R3).
func TestDaemonPausedDuringTakeOut(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	l := c.startMixedLoad()
	resume := c.hosts[2].pause()
	commandTime := time.Now()
	c.eventually("accept the take-out", func() bool {
		_, code := c.runCtl(c.hosts[0], "data-centre", "take-out", "praha-2")
		return code == 0
	})
	c.requireNoNewWork("praha-2", commandTime, inForceBound)
	resumeTime := time.Now()
	resume()
	time.Sleep(5 * time.Second)
	if last := c.lastStartTime("praha-2"); !last.Before(resumeTime) {
		out, _ := c.runCtl(c.hosts[0], "timeline", "-since", "12s")
		t.Logf("last start %v, %v after the daemon continued\n%s", last, last.Sub(resumeTime), out)
	}
	require.True(t, c.lastStartTime("praha-2").Before(resumeTime), "new work after the daemon continued")
	complete, refused := requireComplete(t, l.stopAndCollect(), failure.Isolated, failure.NotReady, failure.DeadlineExceeded)
	t.Logf("complete=%d refused=%d", complete, refused)
}

// Guards against a committed take-out that does not reach every daemon because the
// table service fails right after the commit (R3, R10).
func TestTableOutageAfterTakeOut(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	l := c.startMixedLoad()
	commandTime := time.Now()
	c.requireCtl(c.hosts[0], "data-centre", "take-out", "praha-2")
	c.table.setFault(standin.Fault{Kind: standin.FaultDown})
	c.requireNoNewWork("praha-2", commandTime, inForceBound)
	before := l.completed()
	c.eventually("generations continue during the outage", func() bool { return l.completed() > before+10 })
	c.table.setFault(standin.Fault{Kind: standin.FaultNone})
	c.eventually("changes are accepted again", func() bool {
		_, code := c.runCtl(c.hosts[1], "data-centre", "bring-back", "praha-2")
		return code == 0
	})
	bringBackTime := time.Now()
	c.eventually("service returns", func() bool { return c.lastStartTime("praha-2").After(bringBackTime) })
	complete, refused := requireComplete(t, l.stopAndCollect(), failure.Isolated)
	t.Logf("complete=%d refused=%d", complete, refused)
}

// waitForCommonRevision waits until all hosts show the same revision, with at most one
// change not yet in force, and returns it.
func (c *cluster) waitForCommonRevision() uint64 {
	c.t.Helper()
	var revision uint64
	c.eventually("one revision is in force on all hosts", func() bool {
		for i, h := range c.hosts {
			s, ok := c.status(h)
			if !ok || s.InForce+1 < s.Revision || i > 0 && s.Revision != revision {
				return false
			}
			revision = s.Revision
		}
		return true
	})
	return revision
}

// Guards against two concurrent changes with the same expected revision that are both
// accepted (R10).
func TestConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	c.requireCtl(c.hosts[0], "data-centre", "take-out", "-wait", "praha-2")
	for round := range 2 {
		expect := fmt.Sprint(c.waitForCommonRevision())
		changes := [][]string{{"bring-back", "praha-2"}, {"take-out", "praha-1"}}
		if round%2 == 1 {
			changes = [][]string{{"take-out", "praha-2"}, {"bring-back", "praha-1"}}
		}
		var requests sync.WaitGroup
		outs, codes := make([]string, 2), make([]int, 2)
		for i, change := range changes {
			requests.Go(func() {
				outs[i], codes[i] = c.runCtl(c.hosts[i], "data-centre", change[0], "-expect", expect, "-output", "json", change[1])
			})
		}
		requests.Wait()
		require.NotEqual(t, codes[0] == 0, codes[1] == 0, "%v", outs)
		winner, loser := 0, 1
		if codes[0] != 0 {
			winner, loser = 1, 0
		}
		var winningChange operatorapi.ChangeResult
		require.NoError(t, json.Unmarshal([]byte(outs[winner]), &winningChange))
		require.Contains(t, outs[loser], "conflict")
		require.Contains(t, outs[loser], winningChange.ID)
		require.Contains(t, outs[loser], "ops")
		c.waitForCommonRevision()
		for _, h := range c.hosts {
			s, ok := c.status(h)
			require.True(t, ok)
			require.GreaterOrEqual(t, s.Revision, winningChange.Revision)
		}
		// The next round needs one data centre taken out: praha-1.
		if round%2 == 0 && winner == 1 {
			c.requireCtl(c.hosts[0], "data-centre", "bring-back", "-wait", "praha-2")
		} else if round%2 == 0 {
			c.requireCtl(c.hosts[0], "data-centre", "take-out", "-wait", "praha-1")
		}
	}
}

// Guards against a daemon that starts while the table service is down and reports or
// uses an older revision (R10).
func TestRestartDuringOutageShowsNoOlderRevision(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	c.requireCtl(c.hosts[0], "data-centre", "take-out", "-wait", "praha-2")
	revision := c.waitForCommonRevision()
	c.table.setFault(standin.Fault{Kind: standin.FaultDown})
	h := c.hosts[1]
	h.kill()
	h.start()
	restartTime := time.Now()
	client := c.newClient(h)
	served := 0
	c.eventually("the restarted host serves", func() bool {
		if s, ok := c.status(h); ok && s.Revision != 0 {
			require.GreaterOrEqual(t, s.Revision, revision)
		}
		r := c.sendGeneration(client, h, "restart", "tokens=20", 20)
		if r.err == nil {
			served++
		}
		return served >= 5
	})
	s, ok := c.status(h)
	require.True(t, ok)
	require.GreaterOrEqual(t, s.Revision, revision)
	require.True(t, c.lastStartTime("praha-2").Before(restartTime))
}
