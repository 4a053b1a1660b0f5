package frontend

import (
	"bytes"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanscale/rattanscale/internal/enginespeed"
	"github.com/rattanscale/rattanscale/internal/gossip"
)

// speedReportInterval is the period over which this host's measurements of engines are collected
// for the other hosts. It is as long as the interval at which each receives all loads.
const speedReportInterval = time.Second

// sectionSpeeds is the section of gossip messages with a host's measurements of engines.
const sectionSpeeds = "engine-speeds"

// speedsSection returns the section with this host's measurements of the speed of engines.
func (f *FrontEnd) speedsSection(now time.Time) []gossip.Section {
	if f.speeds == nil {
		return nil
	}
	report := f.speeds.OwnReport(speedReportInterval, now)
	if len(report.Engines) == 0 {
		return nil
	}
	data, err := encodeSpeeds(report)
	if err != nil {
		f.log.Error(err, "engine speeds could not be encoded")
		return nil
	}
	return []gossip.Section{{Name: sectionSpeeds, Data: data}}
}

// encodeSpeeds leaves out the names of fields, which would take up most of the section.
func encodeSpeeds(r enginespeed.Report) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	err := encoder.Encode(&r)
	return data.Bytes(), err
}

// mergeSpeeds adds the measurements of another host. Those of engines that this host does not
// know are ignored.
func (f *FrontEnd) mergeSpeeds(m gossip.Message, now time.Time) {
	section, found := lo.Find(m.Sections, func(s gossip.Section) bool { return s.Name == sectionSpeeds })
	if f.speeds == nil || !found {
		return
	}
	var report enginespeed.Report
	if err := msgpack.Unmarshal(section.Data, &report); err != nil {
		f.log.Error(err, "engine speeds could not be read", "peer", m.Self.Name)
		return
	}
	upstreams := f.gateway.Catalog().Upstreams
	f.speeds.Merge(m.Self.Name, report, func(engine string) string {
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
