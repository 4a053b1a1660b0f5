package relay

import (
	"slices"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
)

// pickVersion maps the fingerprint of a request to a version by the versions' shares.
func pickVersion(conf *entity.Configuration, service entity.Service, fingerprint uint64) (entity.Version, error) {
	point := int(fingerprint % 100)
	for _, v := range service.Versions {
		if point < v.Share {
			return v, nil
		}
		point -= v.Share
	}
	return entity.Version{}, failure.NotRun(failure.NoUpstream, "service %s has no version with a share", service.Name)
}

// rankPools orders the pools of the version: pools of this data centre with free
// capacity first, then pools by free capacity.
func (r *Relay) rankPools(conf *entity.Configuration, version entity.Version) []entity.Pool {
	type ranked struct {
		pool entity.Pool
		near bool
		free int
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
		free := status.Free()
		if !known {
			free = 1
		}
		pools = append(pools, ranked{p, p.DataCentre == r.DataCentre && free > 0, free})
	}
	slices.SortStableFunc(pools, func(a, b ranked) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return b.free - a.free
	})
	out := make([]entity.Pool, len(pools))
	for i, p := range pools {
		out[i] = p.pool
	}
	return out
}
