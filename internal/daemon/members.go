package daemon

import (
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/callerapi"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/routing"
)

// maxHostsPerResponse is the maximum number of hosts in a host list for callers.
const maxHostsPerResponse = 3

// members implements permit.Members from the membership tracker's latest snapshot. It is
// safe for concurrent use.
type members struct{ tracker *membership.Tracker }

func (m members) MemberInRole(poolName string, role permit.Role) (name, address string, ok bool) {
	s := m.tracker.Snapshot()
	find := s.Owner
	if role == permit.RoleDeputy {
		find = s.Deputy
	}
	member, ok := find(poolName)
	return member.Name, member.PeerAddress, ok
}

func (m members) Self() string { return m.tracker.Snapshot().Self.Name }

func (m members) MaySend(now time.Time) error { return m.tracker.Snapshot().MaySend(now) }

func (m members) MayGrant(now time.Time, poolName string, role permit.Role) error {
	if role == permit.RoleDeputy {
		return m.tracker.Snapshot().MayGrantReserve(now, poolName)
	}
	return m.tracker.Snapshot().MayGrant(now, poolName)
}

// rankedHosts returns the hosts for a caller in the data centre, best first. It leaves out
// hosts that report themselves as draining and those in draining, which operators drain.
func (m members) rankedHosts(dataCentre string, draining map[string]bool, key uint64) []callerapi.Host {
	rows := lo.Map(m.tracker.Snapshot().Hosts(), func(h membership.Host, _ int) routing.Host {
		return routing.Host{
			Name: h.Name, Address: h.CallerAddress, DataCentre: h.DataCentre, Streams: h.Streams,
			Draining: h.Draining || draining[h.Name], Ready: h.Ready,
		}
	})
	return lo.Map(routing.RankHosts(rows, dataCentre, key, maxHostsPerResponse), func(h routing.Host, _ int) callerapi.Host {
		return callerapi.Host{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre}
	})
}
