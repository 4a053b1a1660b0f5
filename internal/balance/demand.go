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

// freshViewAge is the mean age of the peers' reports up to which loads count as fresh. Peers report
// changes at once and otherwise every 0.2 s, or a little less often on sites of more than 64 hosts.
const freshViewAge = 300 * time.Millisecond

// ViewsAreFresh reports whether the loads that peers put on upstreams are known as of a moment ago.
func (t *Tracker) ViewsAreFresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(now)
	age := time.Duration(0)
	for _, r := range t.peerReports {
		age += now.Sub(r.receivedAt)
	}
	return age <= freshViewAge*time.Duration(len(t.peerReports))
}
