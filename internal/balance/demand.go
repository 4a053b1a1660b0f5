package balance

import "time"

// GroupDemand is what a group of hosts, for example of one data centre, puts on upstreams.
type GroupDemand struct {
	// Load is the work of the callers of the group's hosts, wherever it runs.
	Load Load
	// ReportedAt is the time of the latest report of a host of the group.
	ReportedAt time.Time
}

// DemandByGroup returns the demand on the given upstreams by group of hosts. ownGroup is the group
// of this host, groupOf that of a peer; "" leaves a peer out.
func (t *Tracker) DemandByGroup(ownGroup string, groupOf func(peer string) string, isCounted func(upstream string) bool, now time.Time) map[string]GroupDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(now)
	own := GroupDemand{ReportedAt: now}
	for id, s := range t.upstreams {
		if isCounted(id) {
			own.Load = own.Load.plus(s.ownLoad)
		}
	}
	out := map[string]GroupDemand{ownGroup: own}
	for peer, report := range t.peerReports {
		group := groupOf(peer)
		if group == "" {
			continue
		}
		d := out[group]
		if report.receivedAt.After(d.ReportedAt) {
			d.ReportedAt = report.receivedAt
		}
		for id, l := range report.loads {
			if isCounted(id) {
				d.Load = d.Load.plus(l)
			}
		}
		out[group] = d
	}
	return out
}
