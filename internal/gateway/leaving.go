package gateway

import "github.com/rattanscale/rattanscale/internal/catalog"

// drawDataCentre returns the data centre to which the plan sends a request, and the part of the
// service's engines that is there. It returns false if there is no plan for the service.
func (g *Gateway) drawDataCentre(service *catalog.Service) (dataCentre string, part float64, planned bool) {
	plans := g.leavePlans.Load()
	if plans == nil || g.PlainPolicy {
		return "", 0, false
	}
	plan, planned := (*plans)[service.Name]
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
	return dataCentre, plan.EngineParts[dataCentre], true
}
