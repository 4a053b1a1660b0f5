package gateway

import (
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/spill"
)

// leavePlans are the plans by which requests leave the data centre, by service.
type leavePlans struct {
	byService map[string]spill.Plan
	// freshViews is set if the loads on engines are known as of a moment ago.
	freshViews bool
}

// SetLeavePlans replaces the plans by which requests leave the data centre, by service. freshViews
// states whether the loads on engines are known as of a moment ago.
func (g *Gateway) SetLeavePlans(byService map[string]spill.Plan, freshViews bool) {
	g.leavePlans.Store(&leavePlans{byService, freshViews})
}

// drawDataCentre returns the data centre to which the plan sends a request, and the part of the usual
// sample of engines to choose among. It returns false if there is no plan for the service.
//
// While loads are known late, the sample shrinks with the part of the engines that is in the data
// centre: hosts would otherwise choose the same engines of the part.
func (g *Gateway) drawDataCentre(service *catalog.Service) (dataCentre string, samplePart float64, planned bool) {
	plans := g.leavePlans.Load()
	if plans == nil || g.PlainPolicy {
		return "", 0, false
	}
	plan, planned := plans.byService[service.Name]
	if !planned {
		return "", 0, false
	}
	dataCentre = g.DataCentre
	if len(plan.Shares) > 0 {
		g.randomMu.Lock()
		number := g.random.Float64()
		g.randomMu.Unlock()
		if to := plan.Draw(number); to != "" {
			dataCentre = to
		}
	}
	if plans.freshViews {
		return dataCentre, 1, true
	}
	return dataCentre, plan.EngineParts[dataCentre], true
}
