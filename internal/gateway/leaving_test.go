package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/spill"
)

// countChoices returns the share of choices that fall on each data centre.
func countChoices(g *Gateway, service *catalog.Service, demand balance.Demand) map[string]float64 {
	const choices = 2000
	out := make(map[string]float64)
	for i := range choices {
		out[g.chooseUpstream(g.Catalog(), service, "", fmt.Sprint(i), demand, nil, time.Now()).DataCentre] += 1.0 / choices
	}
	return out
}

// Guards against a plan that is not followed, and one that holds requests where no engine has room
// or sends them to a data centre that has none.
func TestRequestsLeaveByThePlan(t *testing.T) {
	g, service := newManyEngineGateway(60, func(i int, u *catalog.Upstream) { u.DataCentre = fmt.Sprintf("dc-%d", i%3) })
	service.ColdRate = 0
	demand := balance.Demand{MemoryTokens: 1000}
	g.SetLeavePlans(map[string]spill.Plan{"s": {Shares: []spill.Share{{DataCentre: "dc-1", Part: 0.2}, {DataCentre: "dc-2", Part: 0.1}}}})
	chosen := countChoices(g, service, demand)
	require.InDelta(t, 0.2, chosen["dc-1"], 0.05)
	require.InDelta(t, 0.1, chosen["dc-2"], 0.05)
	for i := range 60 {
		if i%3 != 2 {
			g.LoadTracker.AddLoad(fmt.Sprintf("engine-%04d", i), balance.Load{Requests: 1, Tokens: 33_500})
		}
	}
	require.InDelta(t, 1, countChoices(g, service, demand)["dc-2"], 0.01, "the other two are full")
	g.SetLeavePlans(nil)
	require.InDelta(t, 1, countChoices(g, service, demand)["dc-2"], 0.01)
}

// Guards against a slow caller, or a busy host, that makes an engine look slow.
func TestGapsOfSlowCallersAreNotMeasured(t *testing.T) {
	g, service := newManyEngineGateway(3, func(int, *catalog.Upstream) {})
	g.Speeds = enginespeed.NewTable()
	c := &call{g: g, service: service, route: &catalog.Route{Kind: catalog.Stream}, info: RequestInfo{PromptTokens: 5000}}
	c.startRun(g.Catalog().Upstreams["engine-0000"], Dispatch{})
	c.run.upstream.Service = "s"
	c.run.pendingPromptTokens = 5000
	now := time.Now().Add(time.Second)
	c.run.measureFirstEvent(now)
	measured := func() float64 {
		g.Speeds.Refresh(now)
		return g.Speeds.Estimates().Of("s", "engine-0000").MeasuredTokens
	}
	for i := range 300 {
		previous := now.Add(time.Duration(i) * time.Second)
		c.run.waitingSince = previous.Add(900 * time.Millisecond)
		c.run.measureEventGap(previous, previous.Add(time.Second))
	}
	require.Zero(t, measured())
	for range 300 {
		c.run.waitingSince = now
		c.run.measureEventGap(now, now.Add(40*time.Millisecond))
	}
	require.Positive(t, measured())
}
