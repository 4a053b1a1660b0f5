package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/spill"
)

// BenchmarkChoose measures the choice of one upstream among the engines of a site, with
// load reports from all other hosts.
func BenchmarkChoose(b *testing.B) {
	for _, planned := range []bool{false, true} {
		benchmarkChoose(b, planned)
	}
}

// benchmarkChoose measures the choice, with known speeds and a plan of the data centres if planned.
func benchmarkChoose(b *testing.B, planned bool) {
	for _, size := range []struct{ hosts, engines int }{{9, 12}, {60, 68}, {90, 72}, {300, 1000}, {2600, 1000}} {
		b.Run(fmt.Sprintf("planned=%t/hosts=%d/engines=%d", planned, size.hosts, size.engines), func(b *testing.B) {
			now := time.Now()
			loads := balance.NewTracker()
			g := New(Options{DataCentre: "dc-0", LoadTracker: loads, HostCount: func() int { return size.hosts }, Cell: func() (func(string, string) bool, bool) { return nil, false }, Log: logr.Discard()})
			c := &catalog.Catalog{Configuration: &catalog.Configuration{}, Upstreams: map[string]*catalog.Upstream{}, UpstreamsKnown: true}
			service := &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 24, MemoryTokens: 34_000}}
			for i := range size.engines {
				id := fmt.Sprintf("engine-%04d", i)
				c.Upstreams[id] = &catalog.Upstream{ID: id, Service: "s", DataCentre: fmt.Sprintf("dc-%d", i%4), Slots: 24}
			}
			for h := range size.hosts - 1 {
				report := map[string]balance.Load{}
				for i := range 30 {
					report[fmt.Sprintf("engine-%04d", (h*7+i*13)%size.engines)] = balance.Load{Requests: 1, Tokens: 1000}
				}
				loads.SetPeerReport(fmt.Sprintf("host-%d", h), report, now)
			}
			g.Publish(c)
			if planned {
				g.Speeds = enginespeed.NewTable()
				for i := range size.engines {
					id, slow := fmt.Sprintf("engine-%04d", i), time.Duration(1+i%3)
					g.Speeds.RecordOutput("s", id, 0, enginespeed.Output{Tokens: 1000, Running: 3, Duration: slow * 8 * time.Second}, now)
					g.Speeds.RecordPrompt("s", id, 0, 9000, slow*time.Second, now)
				}
				g.Speeds.Refresh(now)
				g.SetLeavePlans(map[string]spill.Plan{"s": {Shares: []spill.Share{{DataCentre: "dc-1", Part: 0.3}}}})
			}
			b.ReportAllocs()
			for b.Loop() {
				if g.chooseUpstream(g.Catalog(), service, "", "r1", balance.Demand{MemoryTokens: 1000, PromptTokens: 800, Events: 50, TokensPerEvent: 4, FirstEventTarget: 1, MaxEventGap: 0.18}, nil, now) == nil {
					b.Fatal("no upstream was chosen")
				}
			}
		})
	}
}
