package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// Guards against a loss of service, and against changes that are accepted without
// the table service, in an outage of 15 s (section 8).
func TestTableOutageUnderLoad(t *testing.T) {
	c := small(t)
	l := c.load("restart", 6, 40, c.hosts...)
	c.eventually("the engines serve", func() bool { return l.completed() >= 10 })
	c.table.fault(standin.Fault{Kind: standin.FaultDown})
	down := time.Now()
	for time.Since(down) < 15*time.Second {
		out, code := c.ctl(c.hosts[0], "data-centre", "take-out", "praha-2")
		require.NotZero(t, code, out)
		before := l.completed()
		c.eventually("generations go on", func() bool { return l.completed() > before+3 })
		time.Sleep(time.Second)
	}
	c.table.fault(standin.Fault{Kind: standin.FaultNone})
	c.eventually("changes work again", func() bool {
		_, code := c.ctl(c.hosts[0], "data-centre", "take-out", "praha-2")
		return code == 0
	})
	complete, refused := requireComplete(t, l.end(), failure.Isolated)
	t.Logf("complete=%d refused=%d", complete, refused)
	require.Zero(t, refused)
}
