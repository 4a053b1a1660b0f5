package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
)

func undividedSite() (func(dataCentre, upstream string) bool, bool) { return nil, false }

// newManyEngineGateway returns the gateway of one of 90 hosts in front of the given
// number of engines, each of which change may modify.
func newManyEngineGateway(engines int, change func(i int, u *catalog.Upstream)) (*Gateway, *catalog.Service) {
	g := New(Options{DataCentre: "dc-0", LoadTracker: balance.NewTracker(), HostCount: func() int { return 90 }, Cell: undividedSite, Log: logr.Discard()})
	c := &catalog.Catalog{Configuration: &catalog.Configuration{}, Upstreams: map[string]*catalog.Upstream{}, UpstreamsKnown: true}
	for i := range engines {
		u := &catalog.Upstream{ID: fmt.Sprintf("engine-%04d", i), Service: "s", DataCentre: "dc-0", Slots: 24}
		change(i, u)
		c.Upstreams[u.ID] = u
	}
	g.Publish(c)
	return g, &catalog.Service{Name: "s", ColdRate: 0.001, Engine: &catalog.Engine{Slots: 24, MemoryTokens: 34_000}}
}

// Guards against a choice that finds no engine because the only usable one is not among
// those preselected at random.
func TestOnlyUsableEngineIsFound(t *testing.T) {
	now := time.Now()
	const usableEngine = 113
	for name, makeUnusable := range map[string]func(u *catalog.Upstream){
		"others drain":      func(u *catalog.Upstream) { u.Draining = true },
		"others are cold":   func(u *catalog.Upstream) { u.ColdUntil = now.Add(time.Minute) },
		"others serve else": func(u *catalog.Upstream) { u.Service = "else" },
	} {
		t.Run(name, func(t *testing.T) {
			g, service := newManyEngineGateway(200, func(i int, u *catalog.Upstream) {
				if i != usableEngine {
					makeUnusable(u)
				}
			})
			for i := range 100 {
				// A cold engine may be chosen too, since its rate is low but not zero.
				u := g.chooseUpstream(g.Catalog(), service, "", fmt.Sprint(i), balance.Demand{MemoryTokens: 1000}, nil, now)
				require.NotNil(t, u)
				if name != "others are cold" {
					require.Equal(t, fmt.Sprintf("engine-%04d", usableEngine), u.ID)
				}
			}
		})
	}
	g, service := newManyEngineGateway(200, func(int, *catalog.Upstream) {})
	for i := range 200 {
		if i != usableEngine {
			g.LoadTracker.RecordFailure(fmt.Sprintf("engine-%04d", i), now)
		}
	}
	require.Equal(t, fmt.Sprintf("engine-%04d", usableEngine), g.chooseUpstream(g.Catalog(), service, "", "r", balance.Demand{MemoryTokens: 1000}, nil, now).ID, "others have failed")
}

// Guards against hosts that preselect the same engines and overload them: 90 hosts
// choose among 200 equal engines at once.
func TestHostsPreselectDifferentEngines(t *testing.T) {
	chosen := map[string]int{}
	for range 90 {
		g, service := newManyEngineGateway(200, func(int, *catalog.Upstream) {})
		chosen[g.chooseUpstream(g.Catalog(), service, "", "r", balance.Demand{MemoryTokens: 1000}, nil, time.Now()).ID]++
	}
	for id, n := range chosen {
		require.LessOrEqual(t, n, 9, id) // a tenth of the hosts
	}
}

// Guards against a version on trial that gets the share of its service on a route that has its own.
func TestRouteOfAVersionOnTrialHasItsOwnShare(t *testing.T) {
	g := New(Options{Log: logr.Discard()})
	g.SetVersionRules(map[string]catalog.VersionRule{"s": {Version: "v2", RouteShares: map[string]float64{"rare": 1}}})
	allowed, onTrial := g.allowedVersions("s", "rare", "r1")
	require.True(t, onTrial)
	require.True(t, allowed("v2"))
	_, onTrial = g.allowedVersions("s", "often", "r1")
	require.False(t, onTrial)
}
