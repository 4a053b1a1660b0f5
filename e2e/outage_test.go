package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// Guards against a loss of service during an outage of the table service of 15 s, and
// against configuration changes that are accepted meanwhile (section 8).
func TestTableOutageUnderLoad(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	l := c.startLoad("restart", 6, 40, c.hosts...)
	c.eventually("the engines serve", func() bool { return l.completed() >= 10 })
	c.table.setFault(standin.Fault{Kind: standin.FaultDown})
	outageStart := time.Now()
	for time.Since(outageStart) < 15*time.Second {
		out, code := c.runCtl(c.hosts[0], "data-centre", "take-out", "praha-2")
		require.NotZero(t, code, out)
		completedBefore := l.completed()
		c.eventually("generations continue", func() bool { return l.completed() > completedBefore+3 })
		time.Sleep(time.Second)
	}
	c.table.setFault(standin.Fault{Kind: standin.FaultNone})
	c.eventually("changes are accepted again", func() bool {
		_, code := c.runCtl(c.hosts[0], "data-centre", "take-out", "praha-2")
		return code == 0
	})
	complete, refused := requireComplete(t, l.stopAndCollect(), failure.Isolated)
	t.Logf("complete=%d refused=%d", complete, refused)
	require.Zero(t, refused)
}

// Guards against an object store outage that affects more than large service texts.
func TestObjectStoreOutage(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	c.objectStore.setFault(standin.Fault{Kind: standin.FaultDown})
	client := c.newClient(c.hosts...)
	c.generate(client, "restart", 30)
	c.applyServiceText(c.serviceText(warmLimits) + "# small\n")
	large := filepath.Join(c.dir, "large.yaml")
	text := c.serviceText(warmLimits) + strings.Repeat("# "+strings.Repeat("x", 98)+"\n", 4000)
	require.NoError(t, os.WriteFile(large, []byte(text), 0o600))
	out, code := c.runCtl(c.hosts[0], "apply", large)
	require.NotZero(t, code, out)
	c.requireCtl(c.hosts[1], "data-centre", "take-out", "-wait", "praha-2")
	c.objectStore.setFault(standin.Fault{Kind: standin.FaultNone})
	c.eventually("accept the large text", func() bool {
		_, code := c.runCtl(c.hosts[0], "apply", "-wait", large)
		return code == 0
	})
	require.Equal(t, text, c.requireCtl(c.hosts[2], "text"))
	c.generate(client, "restart", 30)
}

// Guards against daemons that fail to find each other when the host list is empty or
// still contains hosts that were removed.
func TestHostListIsEmptyOrOutdated(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	c.listHosts()
	removedHost := c.hosts[1]
	removedHost.kill()
	c.addHost("h4", "praha-1").start()
	c.hosts = append(c.hosts[:1], c.hosts[2:]...)
	c.waitReady()
	c.listHosts(removedHost)
	c.hosts[1].kill()
	c.hosts[1].start()
	c.waitReady()
	for _, h := range c.hosts {
		r := c.sendGeneration(c.newClient(h), h, "restart", "tokens=30", 30)
		require.NoError(t, r.err)
	}
}

// Guards against watch commands on different hosts that print different histories
// (section 5.12).
func TestWatchesPrintTheSameEntries(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	var watches sync.WaitGroup
	outs := make([]string, 2)
	for i, h := range []*host{c.hosts[0], c.hosts[2]} {
		watches.Go(func() { outs[i], _ = c.runCtl(h, "watch", "-for", "12s", "-output", "json") })
	}
	c.requireCtl(c.hosts[1], "data-centre", "take-out", "-wait", "praha-2")
	c.requireCtl(c.hosts[2], "data-centre", "bring-back", "-wait", "praha-2")
	c.requireCtl(c.hosts[0], "host", "drain", "h2")
	c.requireCtl(c.hosts[0], "host", "return", "-wait", "h2")
	watches.Wait()
	require.Equal(t, outs[0], outs[1])
	require.GreaterOrEqual(t, strings.Count(outs[0], "\n"), 8)
}
