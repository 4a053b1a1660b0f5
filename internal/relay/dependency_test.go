package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/permit"
)

// poolStatuses implements Pools with fixed statuses.
type poolStatuses map[string]permit.PoolStatus

func (p poolStatuses) Status(name string) (permit.PoolStatus, bool) {
	s, ok := p[name]
	return s, ok
}

// Guards against accepting requests for a service with an unavailable direct or indirect
// dependency, and against an error that does not name that dependency.
func TestUnavailableDependencyIsNamed(t *testing.T) {
	service := func(name, pool string, depends ...string) entity.Service {
		return entity.Service{Name: name, DependsOn: depends, Versions: []entity.Version{{Name: "v1", Pools: []string{pool}, Share: 100}}}
	}
	conf := &entity.Configuration{Text: &entity.ServiceText{
		Pools:    []entity.Pool{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Services: []entity.Service{service("narration", "a", "pickup"), service("pickup", "b", "map"), service("map", "c")},
	}}
	up := permit.PoolStatus{Upstreams: []permit.UpstreamStatus{{Name: "u", Reachable: true}}}
	down := permit.PoolStatus{Upstreams: []permit.UpstreamStatus{{Name: "u"}}}
	narration, _ := conf.Service("narration")

	r := &Relay{Pools: poolStatuses{"a": up, "b": up, "c": up}}
	require.NoError(t, r.checkDependencies(conf, narration))
	r.Pools = poolStatuses{"a": up, "b": up, "c": down}
	err := r.checkDependencies(conf, narration)
	require.True(t, failure.Is(err, failure.DependencyUnavailable), "%v", err)
	require.True(t, failure.From(err).NotRun())
	require.Contains(t, err.Error(), "map")
}
