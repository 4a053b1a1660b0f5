package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rattanscale/rattanscale/internal/autoscale"
	"github.com/rattanscale/rattanscale/internal/catalog"
)

// Guards against engines counted as there that are leaving, and against giving up those of a data
// centre that is taken out or has lost all of them.
func TestObserveCountsUpstreamsByDataCentre(t *testing.T) {
	c := &catalog.Catalog{DataCentresOut: map[string]bool{"out": true}, Upstreams: map[string]*catalog.Upstream{
		"a1": {ID: "a1", Service: "s", DataCentre: "a"}, "a2": {ID: "a2", Service: "s", DataCentre: "a", Draining: true},
		"o1": {ID: "o1", Service: "s", DataCentre: "out"}, "x1": {ID: "x1", Service: "other", DataCentre: "a"},
	}}
	c.IndexUpstreams()
	demand := map[string]autoscale.Demand{"a": {Tokens: 5}, "lost": {Tokens: 7}}
	assert.ElementsMatch(t, []autoscale.Observation{
		{DataCentre: "a", Demand: autoscale.Demand{Tokens: 5}, Ready: 1, ViewAge: time.Second},
		{DataCentre: "out", Ready: 1, Unavailable: true, ViewAge: time.Second},
		{DataCentre: "lost", Demand: autoscale.Demand{Tokens: 7}, Unavailable: true, ViewAge: time.Second},
	}, observe(c, "s", demand, time.Second))
}

// Guards against demand of other cells that is lost, counted twice or taken for current.
func TestDemandOfCellsIsSummed(t *testing.T) {
	total := demandTable{"s": {"a": {Tokens: 1, Requests: 1}}}
	total.add(demandTable{"s": {"a": {Tokens: 2}, "b": {Tokens: 4}}, "other": {"a": {Tokens: 8}}})
	assert.Equal(t, demandTable{"s": {"a": {Tokens: 3, Requests: 1}, "b": {Tokens: 4}}, "other": {"a": {Tokens: 8}}}, total)
	assert.Equal(t, 1200*time.Millisecond, replyAge(demandReply{Age: 200}, time.Second))
	assert.Greater(t, replyAge(demandReply{Age: -1}, 0), autoscale.MaxViewAge)
}
