package frontend

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanscale/rattanscale/internal/discovery"
	"github.com/rattanscale/rattanscale/internal/gossip"
)

// sectionStoredHosts is the section of full messages that holds what the sender knows of the
// size of the table of hosts.
const sectionStoredHosts = "hosts"

// runDiscovery finds other hosts through the store until ctx ends.
func (f *FrontEnd) runDiscovery(ctx context.Context) {
	service := &discovery.Service{
		Store:    f.platform.Hosts(f.store),
		Schedule: discovery.NewSchedule(f.settings.Host.Name, len(f.otherSeeds(f.seeds())) > 0, f.startedAt),
		Standing: func(now time.Time) discovery.Standing {
			rank, live := f.members.RankByHash(now)
			return discovery.Standing{LiveCount: live, Rank: rank, Draining: f.members.Self().State == gossip.Draining}
		},
		View: func(now time.Time) discovery.View {
			return discovery.View{Self: toHost(f.members.Self(), 0), Live: lo.Map(f.members.Live(now), toHost)}
		},
		Contact: func(hosts []discovery.Host) {
			f.gossip.Contact(lo.Map(hosts, func(h discovery.Host, _ int) gossip.Member {
				return gossip.Member{Name: h.Name, PeerAddress: h.PeerAddress}
			}))
		},
		OnRead: func(hosts int, revision uint64) {
			f.members.MergeStoredHosts(gossip.StoredHosts{Count: hosts, Revision: revision}, time.Now())
		},
		Log: f.log,
	}
	service.Run(ctx)
}

// recordHostCounts tells operators how many hosts this one sees, and whether it acts as one of more.
func (f *FrontEnd) recordHostCounts(now time.Time) {
	live, sharing := f.members.CountLive(now)+1, f.members.SharingHosts(now)
	f.metrics.SetHostCounts(live, sharing)
	if beyond := sharing > live; beyond != f.sharesBeyondLive {
		f.sharesBeyondLive = beyond
		f.log.Info("hosts that share the limits changed", "live", live, "sharing", sharing)
	}
}

func toHost(m gossip.Member, _ int) discovery.Host {
	return discovery.Host{Name: m.Name, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress}
}

// storedHostsSection returns the section with the size of the table of hosts, if the receivers may
// not know it: they have just started and get a reply, or it has changed.
func (f *FrontEnd) storedHostsSection(reply bool, now time.Time) []gossip.Section {
	s, known := f.members.StoredHosts()
	if !known || !reply && !f.members.StoredHostsChanged(now) {
		return nil
	}
	data, err := msgpack.Marshal([]uint64{uint64(s.Count), s.Revision})
	if err != nil {
		f.log.Error(err, "size of the table of hosts could not be encoded")
		return nil
	}
	return []gossip.Section{{Name: sectionStoredHosts, Data: data}}
}

// mergeStoredHosts takes over what another host knows of the size of the table of hosts.
func (f *FrontEnd) mergeStoredHosts(sections []gossip.Section, now time.Time) {
	for _, section := range sections {
		if section.Name != sectionStoredHosts {
			continue
		}
		var values []uint64
		if err := msgpack.Unmarshal(section.Data, &values); err != nil || len(values) < 2 {
			f.log.Error(err, "size of the table of hosts could not be read")
			continue
		}
		f.members.MergeStoredHosts(gossip.StoredHosts{Count: int(values[0]), Revision: values[1]}, now)
	}
}

// seeds returns the peer addresses of the seed hosts, as of the last change of the settings.
func (f *FrontEnd) seeds() []string {
	if seeds := f.changedSeeds.Load(); seeds != nil {
		return *seeds
	}
	return f.settings.Peers.Seeds
}

// otherSeeds returns the seeds without this host.
func (f *FrontEnd) otherSeeds(seeds []string) []string {
	return lo.Without(seeds, f.settings.Listen.Peer)
}

// isSeed reports whether this host is a seed of the other hosts; without configured seeds every
// host is one.
func (f *FrontEnd) isSeed() bool {
	seeds := f.seeds()
	return len(seeds) == 0 || lo.Contains(seeds, f.settings.Listen.Peer)
}

// setSeeds replaces the seeds.
func (f *FrontEnd) setSeeds(seeds []string) {
	if slices.Equal(seeds, f.seeds()) {
		return
	}
	f.changedSeeds.Store(&seeds)
	f.log.Info("seeds changed", "seeds", seeds)
	if transport := f.startedGossip.Load(); transport != nil {
		transport.SetSeeds(f.otherSeeds(seeds))
	}
}
