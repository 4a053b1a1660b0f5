package frontend

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/gossip"
)

// speedReportInterval is the period over which this host's measurements of engines are collected
// for the other hosts. It is as long as the interval at which each receives all loads.
const speedReportInterval = time.Second

// ownSpeeds returns this host's measurements of the speed of engines.
func (f *FrontEnd) ownSpeeds(now time.Time) enginespeed.Report {
	if f.speeds == nil {
		return enginespeed.Report{}
	}
	return f.speeds.OwnReport(speedReportInterval, now)
}

// mergeSpeeds adds the measurements of another host. Those of engines that this host does not
// know are ignored.
func (f *FrontEnd) mergeSpeeds(m gossip.Message, now time.Time) {
	if f.speeds == nil || len(m.Speeds.Engines) == 0 {
		return
	}
	upstreams := f.gateway.Catalog().Upstreams
	f.speeds.Merge(m.Self.Name, m.Speeds, func(engine string) string {
		if u := upstreams[engine]; u != nil {
			return u.Service
		}
		return ""
	}, now)
}

// refreshSpeeds updates the estimates of the engines' speeds.
func (f *FrontEnd) refreshSpeeds(now time.Time) {
	if f.speeds == nil {
		return
	}
	f.speeds.Evict(f.liveHosts(now), now)
	changed := f.speeds.Refresh(now)
	for service, c := range f.speeds.Estimates().Comparisons() {
		f.metrics.SetEngineTimes(service, c.Fast, c.Slow)
	}
	for _, service := range changed {
		c := f.speeds.Estimates().Compared(service)
		f.log.Info("engine speeds compared", "service", service, "differ", c.Differ, "fast-ms", 1000*c.Fast, "slow-ms", 1000*c.Slow)
	}
}
