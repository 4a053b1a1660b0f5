package frontend

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/spill"
)

const (
	// heardWithin is the age of the last report from a data centre up to which it counts as
	// heard. Each host sends several times a second.
	heardWithin = time.Second
	// typicalPromptToken is the time in seconds for a prompt token on an engine of unknown speed.
	typicalPromptToken = 1.0 / 7000
	// toleratedShare is the share of a route's latency target that waits may take up.
	toleratedShare = 0.5
	// loggedChange is the change of the leaving share that is logged.
	loggedChange = 0.1
)

// leaving decides which requests leave this host's data centre. It is used by the goroutine of the
// housekeeping.
type leaving struct {
	controllers map[string]*spill.Controller
	// loggedShares are the leaving shares that were logged last, by service.
	loggedShares map[string]float64
}

func newLeaving() *leaving {
	return &leaving{controllers: make(map[string]*spill.Controller), loggedShares: make(map[string]float64)}
}

// updateLeaving computes the plan of each service of model engines. There is none on a small site,
// whose hosts weigh all engines for each request with views that are some milliseconds old, and none
// on a divided one, where this host does not know the demand of the other data centres.
func (f *FrontEnd) updateLeaving(now time.Time) {
	cat := f.gateway.Catalog()
	if !f.settings.Placement.DataCentrePlan || cat.Configuration == nil || !balance.Samples(f.sharingHostCount()) || f.members.Cells().Divided() {
		f.gateway.SetLeavePlans(nil)
		return
	}
	plans := make(map[string]spill.Plan)
	for i := range cat.Configuration.Services {
		service := &cat.Configuration.Services[i]
		if service.Engine == nil {
			continue
		}
		tolerable := toleratedWait(cat.Configuration, service.Name)
		dataCentres := f.demandByDataCentre(cat, service, tolerable, now)
		if len(dataCentres) < 2 {
			continue
		}
		controller := f.leaving.controllers[service.Name]
		if controller == nil {
			controller = &spill.Controller{}
			f.leaving.controllers[service.Name] = controller
		}
		plan := controller.Update(f.settings.Host.DataCentre, dataCentres, tolerable, now)
		plans[service.Name] = plan
		f.reportPlan(service.Name, plan)
	}
	maps.DeleteFunc(f.leaving.controllers, func(service string, _ *spill.Controller) bool { return !lo.HasKey(plans, service) })
	f.gateway.SetLeavePlans(plans)
}

// toleratedWait is the wait for the first event that the callers of a service tolerate.
func toleratedWait(c *catalog.Configuration, service string) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.LatencyTarget > 0 && lo.ContainsBy(r.Split, func(s catalog.ServiceShare) bool { return s.Service == service }) {
			shortest = min(shortest, r.LatencyTarget)
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return time.Duration(toleratedShare * float64(shortest))
}

// demandByDataCentre returns the usable engines of a service and the demand of the callers by data
// centre, in the order of the names.
func (f *FrontEnd) demandByDataCentre(cat *catalog.Catalog, service *catalog.Service, tolerable time.Duration, now time.Time) []spill.DataCentre {
	engines, ids := make(map[string]int), make(map[string]bool)
	for _, u := range cat.UpstreamsOfService(service.Name) {
		ids[u.ID] = true
		if _, listed := engines[u.DataCentre]; !listed {
			engines[u.DataCentre] = 0
		}
		if !u.Expired && cat.Usable(u) && !now.Before(u.ColdUntil) && !f.loadTracker.IsAvoided(u.ID, now) {
			engines[u.DataCentre]++
		}
	}
	own, dataCentreOfHost := f.settings.Host.DataCentre, make(map[string]string)
	for _, m := range f.members.Live(now) {
		dataCentreOfHost[m.Name] = m.DataCentre
	}
	demands := f.loadTracker.DemandByGroup(own, func(host string) string { return dataCentreOfHost[host] }, func(id string) bool { return ids[id] }, now)
	promptToken := typicalPromptToken
	if f.speeds != nil {
		if typical := f.speeds.Estimates().Of(service.Name, ""); typical.Known() {
			promptToken = typical.PromptToken
		}
	}
	names := lo.Uniq(append(slices.Collect(maps.Keys(engines)), own))
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) spill.DataCentre {
		l := demands[name].Load
		demand := max(share(float64(l.Requests), float64(service.Engine.Slots)), share(float64(l.Tokens), float64(service.Engine.MemoryTokens)),
			share(float64(l.PendingPromptTokens)*promptToken, tolerable.Seconds()))
		return spill.DataCentre{Name: name, Engines: engines[name], Demand: demand, Heard: now.Sub(demands[name].ReportedAt) <= heardWithin, RoundTrip: f.settings.Placement.DataCentreRoundTrip}
	})
}

// share returns used/capacity, 0 if the capacity is not known.
func share(used, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return used / capacity
}

// reportPlan publishes the leaving share of a plan, and logs it if it has changed noticeably.
func (f *FrontEnd) reportPlan(service string, plan spill.Plan) {
	leaving, logged := plan.Leaving(), f.leaving.loggedShares[service]
	f.metrics.SetLeavingShare(service, leaving)
	if math.Abs(leaving-logged) < loggedChange && (leaving > 0) == (logged > 0) {
		return
	}
	f.leaving.loggedShares[service] = leaving
	to := lo.Map(plan.Shares, func(s spill.Share, _ int) string { return s.DataCentre })
	f.log.Info("share of requests that leave the data centre", "service", service, "share", leaving, "pressure", plan.Pressure, "to", to)
}
