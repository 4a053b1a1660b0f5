package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
)

const (
	// whereDraws is the number of choices made to find how often each upstream is chosen: hosts
	// choose among random samples.
	whereDraws = 400
	// maxWhereTime bounds the time for the draws of one service.
	maxWhereTime = 100 * time.Millisecond
	// maxWhereUpstreams bounds the upstreams in an answer.
	maxWhereUpstreams = 50
)

// WhereQuery describes a request that is not sent.
type WhereQuery struct {
	// HostName and Path select the route.
	HostName string
	Path     string
	// Account is the name of a client account; empty for a request without a key.
	Account string
	// PromptTokens and OutputTokens are the sizes of a generation.
	PromptTokens, OutputTokens int
	// Upstreams is the number of upstreams to list.
	Upstreams int
}

// Where tells where a request would go now and why.
type Where struct {
	Host       string `json:"host"`
	DataCentre string `json:"data-centre"`
	// Refusal is why the request would be refused or fail; empty if it would be sent.
	Refusal string `json:"refusal,omitempty"`
	Route   string `json:"route,omitempty"`
	// Services are the services of the route, one of which is drawn by the request's identifier.
	Services []WhereService `json:"services,omitempty"`
}

// WhereService is the choice of an upstream of one service.
type WhereService struct {
	Service string `json:"service"`
	// Part is the part of the route's requests that the service receives.
	Part     float64 `json:"part"`
	Priority string  `json:"priority"`
	// Leaving are the parts of this data centre's requests that the plan sends to other ones;
	// Planned is false if there is no plan.
	Planned bool               `json:"planned"`
	Leaving map[string]float64 `json:"leaving,omitempty"`
	// Refused is the part of the draws in which no upstream was found.
	Refused float64 `json:"refused"`
	// Usable is the number of upstreams that may be chosen, of all of the service.
	Usable    int             `json:"usable"`
	All       int             `json:"all"`
	Upstreams []WhereUpstream `json:"upstreams"`
}

// WhereUpstream is an upstream with the reasons for which it is chosen or not.
type WhereUpstream struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	Version    string `json:"version"`
	// Chosen is the part of the draws in which it was chosen.
	Chosen float64 `json:"chosen"`
	// Excluded is why it is not chosen; empty if it may be.
	Excluded string            `json:"excluded,omitempty"`
	Cost     float64           `json:"cost"`
	Parts    balance.CostParts `json:"parts"`
	Load     balance.Load      `json:"load"`
	// FirstEventSeconds and LongestGapSeconds are what is expected from the engine's speed; 0 if
	// it is not known. SpeedAgeSeconds is the age of the last measurement.
	FirstEventSeconds float64 `json:"first-event-seconds,omitempty"`
	LongestGapSeconds float64 `json:"longest-gap-seconds,omitempty"`
	SpeedAgeSeconds   float64 `json:"speed-age-seconds,omitempty"`
}

// Where returns where a request would go now. It takes the same decisions as for a request, and
// neither sends nor reserves anything.
func (g *Gateway) Where(q WhereQuery, now time.Time) Where {
	out := Where{Host: g.Host, DataCentre: g.DataCentre}
	cat := g.Catalog()
	configuration := cat.Configuration
	if configuration == nil || !cat.UpstreamsKnown {
		out.Refusal = "no configuration is known yet"
		return out
	}
	route := configuration.Route(q.HostName, q.Path)
	if route == nil {
		out.Refusal = "no route matches"
		return out
	}
	out.Route = route.Name
	account, known := lo.Find(configuration.Accounts, func(a catalog.Account) bool { return a.Name == q.Account })
	if !known && configuration.AuthRequired() && !route.Public {
		out.Refusal = "the account is unknown"
		return out
	}
	total := lo.SumBy(route.Split, func(s catalog.ServiceShare) int { return s.Weight })
	for _, share := range route.Split {
		service := configuration.Service(share.Service)
		if service == nil {
			continue
		}
		w := g.whereOfService(cat, service, route, q, now)
		w.Part = lo.Ternary(total > 0, float64(share.Weight)/float64(max(total, 1)), 1/float64(len(route.Split)))
		if service.Engine != nil && g.Priorities {
			w.Priority = configuration.PriorityOf(route, lo.Ternary(known, &account, nil), service.Name).String()
		} else {
			w.Priority = catalog.Priority{}.String()
		}
		out.Services = append(out.Services, w)
	}
	if len(out.Services) == 0 {
		out.Refusal = "the route has no service"
	}
	return out
}

func (g *Gateway) whereOfService(cat *catalog.Catalog, service *catalog.Service, route *catalog.Route, q WhereQuery, now time.Time) WhereService {
	demand := newDemand(route, service, q.PromptTokens, q.OutputTokens)
	chosen, refused, draws := make(map[string]int), 0, 0
	for i := 0; i < whereDraws && (i == 0 || time.Since(now) < maxWhereTime); i++ {
		draws++
		// Each request has an identifier of its own, which decides on versions on trial.
		if u := g.chooseAdmitted(g.wouldAdmit, cat, service, route.Name, "where-"+strconv.Itoa(i), demand, nil, now); u != nil {
			chosen[u.ID]++
		} else {
			refused++
		}
	}
	upstreams := cat.UpstreamsOfService(service.Name)
	views := g.LoadTracker.Views(lo.Map(upstreams, func(u *catalog.Upstream, _ int) string { return u.ID }), now)
	out := WhereService{Service: service.Name, Refused: float64(refused) / float64(draws), All: len(upstreams)}
	for i, u := range upstreams {
		c := g.newCandidate(u, service, views[i])
		w := WhereUpstream{
			ID: u.ID, DataCentre: u.DataCentre, Version: u.Version, Chosen: float64(chosen[u.ID]) / float64(draws), Parts: c.CostParts(demand),
			Excluded: g.whyExcluded(cat, u, service, now), Load: views[i].Load,
		}
		w.Cost = w.Parts.Total()
		if c.Speed.Known() {
			w.FirstEventSeconds, w.LongestGapSeconds = c.FirstEventTime(demand), c.LongestEventGap(demand)
			w.SpeedAgeSeconds = now.Sub(c.Speed.MeasuredAt).Seconds()
		}
		if w.Excluded == "" {
			out.Usable++
		}
		out.Upstreams = append(out.Upstreams, w)
	}
	slices.SortFunc(out.Upstreams, func(a, b WhereUpstream) int {
		return cmp.Or(cmp.Compare(b.Chosen, a.Chosen), cmp.Compare(len(a.Excluded), len(b.Excluded)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	out.Upstreams = out.Upstreams[:min(max(q.Upstreams, 1), maxWhereUpstreams, len(out.Upstreams))]
	if plans := g.leavePlans.Load(); plans != nil {
		if plan, planned := plans.byService[service.Name]; planned {
			out.Planned, out.Leaving = true, make(map[string]float64)
			for _, share := range plan.Shares {
				out.Leaving[share.DataCentre] = share.Part
			}
		}
	}
	return out
}

// wouldAdmit is an admission that takes nothing from this host's share of a rate. Cold upstreams
// and ones that limit their requests count as not admitted, since only some requests go there.
func (g *Gateway) wouldAdmit(u *catalog.Upstream, service *catalog.Service, _ int, now time.Time) (admitted, limited bool) {
	if service.ColdRate > 0 && now.Before(u.ColdUntil) {
		return false, false
	}
	_, limited = g.limits.Limit(limitedUpstream(u), now)
	return !limited, limited
}

// whyExcluded returns why an upstream is not chosen for a request, or "".
func (g *Gateway) whyExcluded(cat *catalog.Catalog, u *catalog.Upstream, service *catalog.Service, now time.Time) string {
	backOffUntil, backsOff := g.backOffs.activeUntil(u, now)
	perSecond, limited := g.limits.Limit(limitedUpstream(u), now)
	switch {
	case u.Draining:
		return "it leaves"
	case cat.DataCentresOut[u.DataCentre]:
		return "its data centre is taken out"
	case backsOff:
		return fmt.Sprintf("it wants no requests for %.1f s", backOffUntil.Sub(now).Seconds())
	case service.ColdRate > 0 && now.Before(u.ColdUntil):
		return fmt.Sprintf("it is cold for %.1f s and takes %g requests a second from all hosts", u.ColdUntil.Sub(now).Seconds(), service.ColdRate)
	case limited:
		return fmt.Sprintf("it takes %g requests a second from all hosts", perSecond)
	}
	return ""
}
