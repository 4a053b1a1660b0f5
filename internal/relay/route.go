package relay

import (
	"slices"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/rollout"
)

// pickVersion maps the fingerprint of a request to a version: by the rollout of the
// service if there is one, else by the versions' shares in percent. step is the step
// of the rollout, or 0 outside a rollout.
func (r *Relay) pickVersion(conf *entity.Configuration, service entity.Service, fingerprint uint64) (version entity.Version, step int, err error) {
	if activeRollout, ok := conf.Rollouts[service.Name]; ok {
		assigned, ok := service.Version(rollout.Assign(activeRollout, service, fingerprint))
		// Requests stay on the old version until an engine has loaded the model of the
		// new one, so that they do not wait for the weight store.
		if ok && assigned.Name == activeRollout.To && !r.isModelLoaded(conf, assigned) {
			assigned, ok = service.Version(activeRollout.From)
		}
		if ok {
			return assigned, activeRollout.Step, nil
		}
	}
	sharePoint := int(fingerprint % 100)
	for _, v := range service.Versions {
		if sharePoint < v.Share {
			return v, 0, nil
		}
		sharePoint -= v.Share
	}
	return entity.Version{}, 0, failure.NotRun(failure.NoUpstream, "service %s has no version with a share above 0", service.Name)
}

// isModelLoaded reports whether a pool of the version is known to have its model loaded.
// Pools in data centres that are taken out do not count.
func (r *Relay) isModelLoaded(conf *entity.Configuration, version entity.Version) bool {
	for _, name := range version.Pools {
		p, ok := conf.Pool(name)
		if !ok || conf.DataCentresOut[p.DataCentre] {
			continue
		}
		if status, known := r.Pools.Status(name); known && status.HasModel(version.Model) {
			return true
		}
	}
	return false
}

// rankPools orders the pools of the version: pools of this data centre with free
// slots first, then by the number of free slots. It leaves out unavailable pools; a
// pool whose status is unknown counts as having one free slot.
func (r *Relay) rankPools(conf *entity.Configuration, version entity.Version) []entity.Pool {
	type ranked struct {
		pool      entity.Pool
		local     bool
		freeSlots int
	}
	var pools []ranked
	for _, name := range version.Pools {
		p, ok := conf.Pool(name)
		if !ok || conf.DataCentresOut[p.DataCentre] {
			continue
		}
		status, known := r.Pools.Status(name)
		if known && !status.Available() {
			continue
		}
		free := status.FreeSlots()
		if !known {
			free = 1
		}
		pools = append(pools, ranked{p, p.DataCentre == r.DataCentre && free > 0, free})
	}
	slices.SortStableFunc(pools, func(a, b ranked) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return b.freeSlots - a.freeSlots
	})
	sorted := make([]entity.Pool, len(pools))
	for i, p := range pools {
		sorted[i] = p.pool
	}
	return sorted
}
