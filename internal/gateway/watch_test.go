package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

func newEngine(id string, born int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "narration", Incarnation: born}
}

func newCatalog(engines ...*catalog.Upstream) *catalog.Catalog {
	c := &catalog.Catalog{Upstreams: map[string]*catalog.Upstream{}, UpstreamsKnown: true}
	for _, u := range engines {
		c.Upstreams[u.ID] = u
	}
	return c
}

// Guards against work and runs that hosts send to an engine of which only another host
// knows, while the store is away, that it leaves or has left.
func TestNoticesReachOtherHosts(t *testing.T) {
	notified, other := New(Options{Log: logr.Discard()}), New(Options{Log: logr.Discard()})
	for _, g := range []*Gateway{notified, other} {
		g.Publish(newCatalog(newEngine("a", 1), newEngine("b", 1)))
	}
	require.True(t, notified.notices.add(catalog.LeaveNotice{Upstream: "a", Incarnation: 1}, true, time.Now()))
	other.MergeNotices(notified.Notices())
	require.True(t, other.Catalog().Upstreams["a"].Draining)
	require.False(t, other.Catalog().Upstreams["b"].Draining)
	require.Empty(t, other.Notices(), "only the host that was told repeats a notice")
	other.Publish(newCatalog(newEngine("a", 1), newEngine("b", 1)))
	require.True(t, other.Catalog().Upstreams["a"].Draining, "a notice outlasts a new catalog")
}

// Guards against an engine that gets no work after it has started again, since its
// former incarnation said that it leaves.
func TestNoticesEndWithIncarnation(t *testing.T) {
	g := New(Options{Log: logr.Discard()})
	g.Publish(newCatalog(newEngine("a", 1)))
	g.MergeNotices([]catalog.LeaveNotice{{Upstream: "a", Incarnation: 1}, {Upstream: "unknown", Incarnation: 1}})
	g.Publish(newCatalog(newEngine("a", 2)))
	require.False(t, g.Catalog().Upstreams["a"].Draining)
	g.MergeNotices([]catalog.LeaveNotice{{Upstream: "a", Incarnation: 1}})
	require.False(t, g.Catalog().Upstreams["a"].Draining, "a late datagram about the former incarnation")
	require.Empty(t, g.notices.received)
}

// Guards against an engine that gets no work ever again, since entries that state no
// incarnation do not tell that it has started anew.
func TestNoticesOfUnknownIncarnationsExpire(t *testing.T) {
	g, now := New(Options{Log: logr.Discard()}), time.Now()
	c := newCatalog(newEngine("a", 0))
	g.Publish(c)
	require.True(t, g.notices.add(catalog.LeaveNotice{Upstream: "a"}, true, now))
	require.True(t, g.notices.applyTo(c, now.Add(anonymousNoticeTTL)).Upstreams["a"].Draining)
	require.False(t, g.notices.applyTo(c, now.Add(anonymousNoticeTTL+time.Second)).Upstreams["a"].Draining)
	require.Empty(t, g.Notices())
}
