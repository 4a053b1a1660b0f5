package gateway

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/retry"
)

// chooseUpstream selects an upstream for a request, or returns nil. A request of a version on
// trial runs on another version if no upstream of its own has capacity.
func (g *Gateway) chooseUpstream(cat *catalog.Catalog, service *catalog.Service, route, request string, demand balance.Demand, triedUpstreams []string, now time.Time) *catalog.Upstream {
	return g.chooseAdmitted(g.admit, cat, service, route, request, demand, triedUpstreams, now)
}

// admission reports whether this host may send a request to an upstream, and whether the upstream
// limits its requests.
type admission func(u *catalog.Upstream, service *catalog.Service, hosts int, now time.Time) (admitted, limited bool)

// admit takes a request from this host's share of an upstream's rate, if it is cold or limits its
// requests.
func (g *Gateway) admit(u *catalog.Upstream, service *catalog.Service, hosts int, now time.Time) (admitted, limited bool) {
	if service.ColdRate > 0 && now.Before(u.ColdUntil) && !g.LoadTracker.AllowCold(u.ID, service.ColdRate, hosts, now) {
		return false, false
	}
	taken := g.takeFromLimit(u, now)
	return taken, !taken
}

// chooseAdmitted is chooseUpstream with the given admission.
func (g *Gateway) chooseAdmitted(admit admission, cat *catalog.Catalog, service *catalog.Service, route, request string, demand balance.Demand, triedUpstreams []string, now time.Time) *catalog.Upstream {
	versionAllowed, onTrial := g.allowedVersions(service.Name, route, request)
	u := g.chooseOfVersion(admit, cat, service, versionAllowed, demand, triedUpstreams, now)
	if onTrial && (u == nil || !g.hasRoom(u, service, demand.MemoryTokens, now)) {
		otherVersion := func(version string) bool { return !versionAllowed(version) }
		if other := g.chooseOfVersion(admit, cat, service, otherVersion, demand, triedUpstreams, now); other != nil {
			return other
		}
	}
	return u
}

// chooseOfVersion selects an upstream of the allowed versions. It considers, in this order: engines
// of the data centre to which the plan sends the request; healthy engines of this host's cell, if the
// site is divided into cells; a random part of the healthy upstreams, if there are many hosts; all
// upstreams. The plain policy always considers all.
func (g *Gateway) chooseOfVersion(admit admission, cat *catalog.Catalog, service *catalog.Service, versionAllowed func(string) bool, demand balance.Demand, triedUpstreams []string, now time.Time) *catalog.Upstream {
	mayReceive := cat.Usable
	if g.backOffs.count.Load() > 0 {
		mayReceive = func(u *catalog.Upstream) bool { return g.mayReceive(cat, u, now) }
	}
	isUsable := func(u *catalog.Upstream) bool {
		return mayReceive(u) && versionAllowed(u.Version) && !slices.Contains(triedUpstreams, u.ID)
	}
	hosts, upstreams := g.HostCount(), cat.UpstreamsOfService(service.Name)
	isHealthy := func(u *catalog.Upstream) bool {
		return !u.Expired && isUsable(u) && !g.LoadTracker.IsAvoided(u.ID, now)
	}
	if dataCentre, samplePart, planned := g.drawDataCentre(service); planned {
		there := g.preselect(upstreams, balance.PreselectionSize(hosts), func(u *catalog.Upstream) bool { return u.DataCentre == dataCentre && isHealthy(u) })
		inTime := g.fitting(there, service, now, func(c balance.Candidate) bool { return balance.ServesInTime(c, demand) })
		if u := g.chooseAmongPart(admit, inTime, samplePart, service, demand, hosts, now); u != nil {
			return u
		}
	}
	// Plain upstreams are few and their requests are short, so all hosts share them.
	if inOwnCell, divided := g.Cell(); divided && service.Engine != nil && !g.PlainPolicy {
		cellUpstreams := g.preselect(upstreams, balance.PreselectionSize(hosts), func(u *catalog.Upstream) bool { return inOwnCell(u.DataCentre, u.ID) && isHealthy(u) })
		withRoom := g.fitting(cellUpstreams, service, now, func(c balance.Candidate) bool {
			return !balance.AllFull([]balance.Candidate{c}, demand.MemoryTokens)
		})
		if u := g.chooseAmong(admit, withRoom, service, demand, hosts, now); u != nil {
			return u
		}
	}
	if limit := balance.PreselectionSize(hosts); len(upstreams) > limit && !g.PlainPolicy {
		if preselected := g.preselect(upstreams, limit, isHealthy); len(preselected) == limit {
			if u := g.chooseAmong(admit, preselected, service, demand, hosts, now); u != nil {
				return u
			}
		}
	}
	return g.chooseAmong(admit, lo.Filter(upstreams, func(u *catalog.Upstream, _ int) bool { return isUsable(u) }), service, demand, hosts, now)
}

// hasRoom reports whether the upstream has capacity for the request.
func (g *Gateway) hasRoom(u *catalog.Upstream, service *catalog.Service, tokens int, now time.Time) bool {
	c := g.newCandidate(u, service, g.LoadTracker.Views([]string{u.ID}, now)[0])
	return !balance.AllFull([]balance.Candidate{c}, tokens)
}

// fitting returns the upstreams that fit as candidates. It is asked before an upstream is admitted, so
// that nothing is taken from this host's share of one that the request isn't sent to.
func (g *Gateway) fitting(upstreams []*catalog.Upstream, service *catalog.Service, now time.Time, fits func(balance.Candidate) bool) []*catalog.Upstream {
	views := g.LoadTracker.Views(lo.Map(upstreams, func(u *catalog.Upstream, _ int) string { return u.ID }), now)
	return lo.Filter(upstreams, func(u *catalog.Upstream, i int) bool { return fits(g.newCandidate(u, service, views[i])) })
}

// preselect returns up to limit eligible upstreams, starting at a random position so
// that hosts select different ones.
func (g *Gateway) preselect(all []*catalog.Upstream, limit int, isEligible func(*catalog.Upstream) bool) []*catalog.Upstream {
	if len(all) == 0 {
		return nil
	}
	g.randomMu.Lock()
	first := g.random.IntN(len(all))
	g.randomMu.Unlock()
	var out []*catalog.Upstream
	for i := 0; i < len(all) && len(out) < limit; i++ {
		if u := all[(first+i)%len(all)]; isEligible(u) {
			out = append(out, u)
		}
	}
	return out
}

// maxShareBesideLimits is the share of an upstream's capacity up to which it takes requests in place
// of upstreams that limit theirs. It answers services of which most upstreams are limited: the
// requests beyond the limits would all queue at the others until their time is over.
const maxShareBesideLimits = 1.3

// chooseAmong picks the upstream with the lowest cost, skipping cold ones and ones that limit
// their requests if this host's share of the rate is used up. It modifies candidates.
func (g *Gateway) chooseAmong(admit admission, candidates []*catalog.Upstream, service *catalog.Service, demand balance.Demand, hosts int, now time.Time) *catalog.Upstream {
	return g.chooseAmongPart(admit, candidates, 1, service, demand, hosts, now)
}

// chooseAmongPart is chooseAmong with a part of the usual sample.
func (g *Gateway) chooseAmongPart(admit admission, candidates []*catalog.Upstream, samplePart float64, service *catalog.Service, demand balance.Demand, hosts int, now time.Time) *catalog.Upstream {
	views := g.LoadTracker.Views(lo.Map(candidates, func(u *catalog.Upstream, _ int) string { return u.ID }), now)
	balanceCandidates := lo.Map(candidates, func(u *catalog.Upstream, i int) balance.Candidate { return g.newCandidate(u, service, views[i]) })
	skippedLimited := false
	for len(candidates) > 0 {
		g.randomMu.Lock()
		best := balance.Pick(balanceCandidates, demand, hosts, samplePart, g.random)
		if g.PlainPolicy {
			best = balance.PickFewestRequests(views, g.random)
		}
		g.randomMu.Unlock()
		u := candidates[best]
		if skippedLimited && balance.Overloaded(balanceCandidates[best], demand.MemoryTokens, maxShareBesideLimits) {
			return nil
		}
		admitted, limited := admit(u, service, hosts, now)
		if admitted {
			return u
		}
		skippedLimited = skippedLimited || limited
		candidates, views = slices.Delete(candidates, best, best+1), slices.Delete(views, best, best+1)
		balanceCandidates = slices.Delete(balanceCandidates, best, best+1)
	}
	return nil
}

// shareResolution is the number of steps into which the share of a version is divided.
const shareResolution = 10_000

// allowedVersions returns a function that reports whether a version may serve the
// request, and whether the request is one of those on which a version is tried.
func (g *Gateway) allowedVersions(service, route, request string) (allowed func(version string) bool, onTrial bool) {
	rules := g.versionRules.Load()
	if rules == nil {
		return func(string) bool { return true }, false
	}
	rule, ok := (*rules)[service]
	if !ok {
		return func(string) bool { return true }, false
	}
	share, differs := rule.RouteShares[route]
	if !differs {
		share = rule.Share
	}
	onTrial = !rule.Exclusive && float64(retry.Hash(request+rule.Version)%shareResolution) < share*shareResolution
	return func(version string) bool { return (version == rule.Version) == (rule.Exclusive || onTrial) }, onTrial
}

func (g *Gateway) newCandidate(u *catalog.Upstream, service *catalog.Service, v balance.View) balance.Candidate {
	c := balance.Candidate{View: v, Local: u.DataCentre == g.DataCentre, Slots: u.Slots, LastResort: u.Expired}
	if service.Engine != nil {
		c.MemoryTokens = service.Engine.MemoryTokens
		if c.Slots == 0 {
			c.Slots = service.Engine.Slots
		}
		c.Speed = g.speedOf(u)
	}
	return c
}
