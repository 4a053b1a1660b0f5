package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
)

// Guards against an answer that differs from what requests do, and against a question that takes a
// request from the share of a cold or limited upstream.
func TestWhereAgreesWithChoicesAndTakesNothing(t *testing.T) {
	now := time.Now()
	g, service := newManyEngineGateway(3, func(i int, u *catalog.Upstream) {
		u.Draining = i == 0
		if i == 1 {
			u.ColdUntil = now.Add(time.Minute)
		}
	})
	service.ColdRate = 10
	cat := *g.Catalog()
	configuration := &catalog.Configuration{
		Services: []catalog.Service{*service},
		Routes:   []catalog.Route{{Name: "r", HostName: "a", Prefix: "/p/", Kind: catalog.Stream, Split: []catalog.ServiceShare{{Service: service.Name, Weight: 1}}}},
	}
	configuration.BuildIndex()
	cat.Configuration, cat.UpstreamsKnown = configuration, true
	g.Publish(&cat)
	query := WhereQuery{HostName: "a", Path: "/p/x", PromptTokens: 1000, OutputTokens: 100, Upstreams: 3}
	for range 20 { // the cold upstream's share would be used up
		w := g.Where(query, now)
		require.Empty(t, w.Refusal)
		upstreams := w.Services[0].Upstreams
		require.Equal(t, "engine-0002", upstreams[0].ID)
		require.Equal(t, 1.0, upstreams[0].Chosen)
		require.Equal(t, 1, w.Services[0].Usable)
		require.InDelta(t, upstreams[0].Cost, upstreams[0].Parts.Total(), 1e-9)
	}
	demand := balance.Demand{MemoryTokens: 1100}
	require.Equal(t, "engine-0002", g.chooseUpstream(g.Catalog(), service, "r", "x", demand, nil, now).ID)
	require.True(t, g.LoadTracker.AllowCold("engine-0001", service.ColdRate, 1, now), "nothing was taken")

	require.Equal(t, "no route matches", g.Where(WhereQuery{HostName: "b", Path: "/p/x"}, now).Refusal)
}
