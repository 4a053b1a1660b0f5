package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
)

// BenchmarkChoose measures the choice of one upstream among the engines of a site, with
// load reports from all other hosts.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ hosts, engines int }{{7, 18}, {90, 72}, {300, 1000}} {
		b.Run(fmt.Sprintf("hosts=%d/engines=%d", size.hosts, size.engines), func(b *testing.B) {
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
			b.ReportAllocs()
			for b.Loop() {
				if g.chooseUpstream(g.Catalog(), service, "", "r1", 1000, nil, now) == nil {
					b.Fatal("no upstream was chosen")
				}
			}
		})
	}
}
