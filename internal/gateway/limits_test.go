package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/upstreamlimit"
)

// Guards against datagrams that fill the memory with limits of upstreams that do not exist, and keep
// those of real ones out of the table.
func TestLimitsOfUnknownUpstreamsAreDropped(t *testing.T) {
	g, now := New(Options{Log: logr.Discard()}), time.Now()
	g.Publish(newCatalog(newEngine("a", 1)))
	for i := range 5000 {
		g.MergeLimits([]upstreamlimit.Statement{{Upstream: fmt.Sprint(i, strings.Repeat("x", 100)), PerSecond: 1}, {Upstream: "a", Incarnation: 2, PerSecond: 1}}, now)
	}
	g.MergeLimits([]upstreamlimit.Statement{{Upstream: "a", Incarnation: 1, PerSecond: 1}}, now)
	require.True(t, g.Limits().Limited(limitedUpstream(newEngine("a", 1)), now))
	require.False(t, g.Limits().Limited(limitedUpstream(newEngine("a", 2)), now))
}
