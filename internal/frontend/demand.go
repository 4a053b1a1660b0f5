package frontend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/autoscale"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/duty"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/orders"
	"github.com/rattanscale/rattanscale/internal/peer"
)

const (
	methodDemand = "demand"
	// demandTimeout bounds the calls that collect the demand of other cells.
	demandTimeout = 500 * time.Millisecond
	// plannerExpiry is the time without a decision after which this host no longer knows how demand
	// has developed.
	plannerExpiry = 3 * scalingInterval
)

// demandTable is the demand of some hosts by service and data centre.
type demandTable map[string]map[string]autoscale.Demand

// demandReply is a cell's demand. Age is that of its oldest report in milliseconds, -1 if a host has
// not reported.
type demandReply struct {
	Demand demandTable `json:"demand"`
	Age    int64       `json:"age"`
}

type remoteDemand struct {
	reply demandReply
	at    time.Time
}

// scaling orders upstreams while this host holds the duty.
type scaling struct {
	frontEnd *FrontEnd
	planners map[string]*autoscale.Planner
	// remote holds the last demand of each other cell by its first host.
	remote map[string]remoteDemand
	lastAt time.Time
}

// run decides for all services whose upstreams are ordered and gives the orders.
func (s *scaling) run(ctx context.Context, now time.Time, sender *orders.Sender) {
	f := s.frontEnd
	c := f.gateway.Catalog()
	if c.Configuration == nil || !c.UpstreamsKnown || f.upstreamsAge(now) > autoscale.MaxViewAge {
		return
	}
	if now.Sub(s.lastAt) > plannerExpiry {
		clear(s.planners)
	}
	s.lastAt = now
	demand, viewAge := s.collect(ctx, now)
	for i := range c.Configuration.Services {
		if service := &c.Configuration.Services[i]; service.Scaling != nil && service.Engine != nil {
			s.order(ctx, now, c, service, demand[service.Name], viewAge, sender)
		}
	}
}

// order decides on the upstreams of one service and gives the orders.
func (s *scaling) order(ctx context.Context, now time.Time, c *catalog.Catalog, service *catalog.Service, demand map[string]autoscale.Demand, viewAge time.Duration, sender *orders.Sender) {
	f := s.frontEnd
	observations := observe(c, service.Name, demand, viewAge)
	planned := autoscale.Service{
		Name:   service.Name,
		Engine: autoscale.Engine{Slots: service.Engine.Slots, MemoryTokens: service.Engine.MemoryTokens},
		Bounds: autoscale.Bounds{Min: service.Scaling.MinUpstreams, Max: service.Scaling.MaxUpstreams, Startup: service.Scaling.StartTime},
	}
	planner := s.planners[service.Name]
	if planner == nil {
		last, known := s.ordersInForce(ctx, service.Name, observations, sender)
		if !known {
			return // decided again in a second
		}
		planner = autoscale.NewPlanner(planned, last)
		s.planners[service.Name] = planner
	}
	planner.SetService(planned)
	decided := planner.Decide(now, observations)
	for _, order := range decided {
		if order.Reason == autoscale.Unseen {
			sender.RepeatNext(service.Name, order.DataCentre)
		}
		err := sender.OrderCount(ctx, service.Name, order.DataCentre, order.Count)
		f.metrics.RecordUpstreamOrder(string(order.Reason), err == nil)
		if err != nil {
			f.log.Info("upstreams not ordered, decided again in a second", "service", service.Name, "data-centre", order.DataCentre,
				"count", order.Count, "reason", order.Reason, "error", err.Error())
			continue
		}
		planner.Confirm(order, now)
	}
	// The sender repeats orders that may be undone by an earlier one that is executed late.
	for _, o := range observations {
		last, ordered := sender.Last(service.Name, o.DataCentre)
		if ordered && !lo.ContainsBy(decided, func(d autoscale.Order) bool { return d.DataCentre == o.DataCentre }) {
			s.repeat(ctx, service.Name, o.DataCentre, last.Count, sender)
		}
	}
}

// ordersInForce returns the last orders by data centre, which an earlier holder may have given. One that
// was stored, but that the platform may not have taken, is given first; if that fails it returns false.
func (s *scaling) ordersInForce(ctx context.Context, service string, observations []autoscale.Observation, sender *orders.Sender) (counts map[string]int, known bool) {
	counts = make(map[string]int)
	for _, o := range observations {
		last, ordered := sender.Last(service, o.DataCentre)
		if !ordered {
			continue
		}
		if !last.Accepted && !s.repeat(ctx, service, o.DataCentre, last.Count, sender) {
			return nil, false
		}
		counts[o.DataCentre] = last.Count
	}
	return counts, true
}

// repeat gives the last order again, if the sender finds that it is due, and reports whether it is in
// force.
func (s *scaling) repeat(ctx context.Context, service, dataCentre string, count int, sender *orders.Sender) bool {
	err := sender.OrderCount(ctx, service, dataCentre, count)
	if err != nil {
		s.frontEnd.log.Info("order of upstreams not repeated", "service", service, "data-centre", dataCentre, "count", count, "error", err.Error())
	}
	return err == nil
}

// observe returns the state of each data centre in which a service has upstreams or demand.
func observe(c *catalog.Catalog, service string, demand map[string]autoscale.Demand, viewAge time.Duration) []autoscale.Observation {
	ready := make(map[string]int)
	for name := range demand {
		ready[name] = 0
	}
	for _, u := range c.UpstreamsOfService(service) {
		ready[u.DataCentre] += lo.Ternary(u.Leaving(), 0, 1)
	}
	return lo.MapToSlice(ready, func(name string, n int) autoscale.Observation {
		return autoscale.Observation{
			DataCentre: name, Demand: demand[name], Ready: n, Unavailable: n == 0 || c.DataCentresOut[name], ViewAge: viewAge,
		}
	})
}

// ownDemand returns the demand of all hosts on the upstreams of this host's cell: hosts of other
// cells report their loads there too.
func (f *FrontEnd) ownDemand(now time.Time) demandReply {
	c := f.gateway.Catalog()
	cells := f.members.Cells()
	out := demandReply{Demand: make(demandTable), Age: -1}
	if c.Configuration == nil {
		return out
	}
	for i := range c.Configuration.Services {
		service := &c.Configuration.Services[i]
		if service.Scaling == nil {
			continue
		}
		upstreams := lo.Filter(c.UpstreamsOfService(service.Name), func(u *catalog.Upstream, _ int) bool { return cells.InOwnCell(u.DataCentre, u.ID) })
		views := f.loadTracker.Views(lo.Map(upstreams, func(u *catalog.Upstream, _ int) string { return u.ID }), now)
		byDataCentre := make(map[string]autoscale.Demand)
		for i, u := range upstreams {
			load := views[i].Load
			byDataCentre[u.DataCentre] = byDataCentre[u.DataCentre].Plus(autoscale.Demand{
				Requests: load.Requests, Tokens: load.Tokens, PendingPromptTokens: load.PendingPromptTokens,
			})
		}
		out.Demand[service.Name] = byDataCentre
	}
	peers := lo.FilterMap(f.members.Live(now), func(m gossip.Member, _ int) (string, bool) {
		return m.Name, cells.InOwnCell(m.DataCentre, m.Name)
	})
	if age, complete := f.loadTracker.OldestReport(peers, now); complete {
		out.Age = age.Milliseconds()
	}
	return out
}

// collect returns the demand of all cells and the age of its oldest part.
func (s *scaling) collect(ctx context.Context, now time.Time) (demandTable, time.Duration) {
	f := s.frontEnd
	own := f.ownDemand(now)
	total, age := own.Demand, replyAge(own, 0)
	others := f.members.Cells().OtherCells()
	if len(others) == 0 {
		return total, age
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	heads := make([]string, 0, len(others))
	for _, hosts := range others {
		first := duty.RankHosts(DutyAutoscale, toHosts(hosts))
		if len(first) == 0 {
			continue // the hosts of this cell are stopping; their loads go to others
		}
		head, _ := lo.Find(hosts, func(m gossip.Member) bool { return m.Name == first[0].Name })
		heads = append(heads, head.Name)
		group.Go(func() {
			var reply demandReply
			if err := f.peerClient.Call(ctx, head.PeerAddress, methodDemand, struct{}{}, &reply); err != nil {
				if !errors.Is(err, context.Canceled) {
					f.log.Info("demand of a cell not known", "peer", head.Name, "error", err.Error())
				}
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.remote[head.Name] = remoteDemand{reply, now}
		})
	}
	group.Wait()
	s.remote = lo.PickByKeys(s.remote, heads)
	for _, head := range heads {
		r, known := s.remote[head]
		if !known {
			age = 2 * autoscale.MaxViewAge
			continue
		}
		age = max(age, replyAge(r.reply, now.Sub(r.at)))
		total.add(r.reply.Demand)
	}
	return total, age
}

func replyAge(r demandReply, since time.Duration) time.Duration {
	if r.Age < 0 {
		return 2 * autoscale.MaxViewAge
	}
	return time.Duration(r.Age)*time.Millisecond + since
}

func (t demandTable) add(other demandTable) {
	for service, byDataCentre := range other {
		if t[service] == nil {
			t[service] = make(map[string]autoscale.Demand)
		}
		for name, d := range byDataCentre {
			t[service][name] = t[service][name].Plus(d)
		}
	}
}

// registerDemand serves the demand of this host's cell to the holder of the duty.
func (f *FrontEnd) registerDemand() {
	if f.duties != nil && f.duties.scaling != nil {
		peer.Register(f.peerServer, methodDemand, func(context.Context, struct{}) (demandReply, error) {
			return f.ownDemand(time.Now()), nil
		})
	}
}
