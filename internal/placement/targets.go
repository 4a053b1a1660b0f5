package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/rollout"
)

// target is the number of copies that a model needs in one pool.
type target struct {
	model string
	// minCopies keeps the model served when one engine fails; copies also covers the demand.
	minCopies, copies int
	reason            string
}

// routedVersions returns the versions of a service that receive requests or may receive them
// in a running rollout.
func routedVersions(c *entity.Configuration, s entity.Service) []entity.Version {
	r, found := c.Rollouts[s.Name]
	return slices.DeleteFunc(slices.Clone(s.Versions), func(v entity.Version) bool {
		if !found || v.Name != r.From && v.Name != r.To {
			return v.Share == 0
		}
		switch r.State {
		case entity.RolloutFinished:
			return v.Name != r.To
		case entity.RolloutUndone:
			return v.Name != r.From
		}
		return false
	})
}

// targetsFor returns the number of copies that each model needs in the pool, sorted by model.
// usable is the number of usable upstreams.
func targetsFor(in *Input, p *entity.Pool, usable int, slack float64) []target {
	byModel := map[string]target{}
	for _, s := range in.Configuration.Text.Services {
		for _, v := range routedVersions(in.Configuration, s) {
			if v.Model == "" || !slices.Contains(v.Pools, p.Name) {
				continue
			}
			t := target{model: v.Model, minCopies: min(2, max(usable, 1)), reason: "version " + v.Name + " of service " + s.Name}
			t.copies = max(t.minCopies, copiesFor(demandOf(in, p, s, v), slack, p))
			t.copies = min(t.copies, max(usable, 1))
			if previous := byModel[v.Model]; previous.copies < t.copies {
				byModel[v.Model] = t
			}
		}
	}
	out := make([]target, 0, len(byModel))
	for _, t := range byModel {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b target) int { return cmp.Compare(a.model, b.model) })
	return out
}

// demandOf returns the tokens per second that a version must serve in a pool. The new
// version of a rollout counts with the share of its next step, so that its copies are
// loaded before that step begins.
func demandOf(in *Input, p *entity.Pool, s entity.Service, v entity.Version) float64 {
	demand := in.TokensPerSecond[Demand{p.Name, v.Model}]
	r, found := in.Configuration.Rollouts[s.Name]
	if !found || r.State != entity.RolloutRunning || v.Name != r.To {
		return demand
	}
	step, more := rollout.NextStep(r.Step)
	if !more {
		step = 100
	}
	return max(demand, demandAtShare(in, p, s, r, step))
}

// demandAtShare returns the demand of the new version if it receives share percent of the
// current demand of both versions.
func demandAtShare(in *Input, p *entity.Pool, s entity.Service, r entity.Rollout, share int) float64 {
	sum := 0.0
	var models []string
	for _, v := range s.Versions {
		if (v.Name == r.From || v.Name == r.To) && !slices.Contains(models, v.Model) {
			models = append(models, v.Model)
			sum += in.TokensPerSecond[Demand{p.Name, v.Model}]
		}
	}
	return sum * float64(share) / 100
}

// copiesFor returns the number of engines needed for the demand in tokens per second: one
// engine generates at most MaxRequests tokens per TargetStep.
func copiesFor(demand, slack float64, p *entity.Pool) int {
	step := p.Limits.TargetStep.Seconds()
	if demand <= 0 || step <= 0 || p.Limits.MaxRequests <= 0 {
		return 0
	}
	return int(math.Min(math.Ceil(demand*slack*step/float64(p.Limits.MaxRequests)), math.MaxInt32))
}

// HasCopiesForShare reports whether the version of a service is loaded on enough upstreams of
// each of its pools to receive the given percentage of the service's requests. Pools of
// data centres that are taken out and pools without a usable upstream receive no requests
// and are skipped; if all pools are skipped, the result is false. It is safe for
// concurrent use.
func HasCopiesForShare(in Input, slack float64, service, version string, share int) bool {
	s, found := in.Configuration.Service(service)
	i := slices.IndexFunc(s.Versions, func(v entity.Version) bool { return v.Name == version })
	if !found || i < 0 {
		return false
	}
	v, serving := s.Versions[i], false
	for _, name := range v.Pools {
		p, found := in.Configuration.Pool(name)
		if !found || in.Configuration.DataCentresOut[p.DataCentre] {
			continue
		}
		if v.Model == "" {
			serving = true // a plain service holds no models
			continue
		}
		usable, loaded := 0, 0
		for _, u := range p.Upstreams {
			if state := in.States[u.Name]; !state.Lost && !state.Leaving && !u.Leaving && !state.MeasuredAt.IsZero() {
				usable++
				if slices.Contains(state.Models, v.Model) {
					loaded++
				}
			}
		}
		needed := copiesFor(demandAtShare(&in, &p, s, in.Configuration.Rollouts[service], share), slack, &p)
		if loaded < min(max(needed, 2), usable) {
			return false
		}
		serving = serving || usable > 0
	}
	return serving
}
