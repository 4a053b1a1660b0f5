package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

func newEngine(id string, incarnation int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "narration", Incarnation: incarnation}
}

func newCatalog(engines ...*catalog.Upstream) *catalog.Catalog {
	c := &catalog.Catalog{Upstreams: map[string]*catalog.Upstream{}, UpstreamsKnown: true}
	for _, u := range engines {
		c.Upstreams[u.ID] = u
	}
	return c
}

// Guards against sending requests or migrating streams to an engine that is leaving,
// while the store is down and only another host received the engine's notice.
func TestNoticesReachOtherHosts(t *testing.T) {
	notified, other := New(Options{Log: logr.Discard()}), New(Options{Log: logr.Discard()})
	for _, g := range []*Gateway{notified, other} {
		g.Publish(newCatalog(newEngine("a", 1), newEngine("b", 1)))
	}
	require.True(t, notified.notices.add(catalog.LeaveNotice{Upstream: "a", Incarnation: 1}, true, time.Now()))
	other.MergeNotices(notified.Notices())
	require.True(t, other.Catalog().Upstreams["a"].Draining)
	require.False(t, other.Catalog().Upstreams["b"].Draining)
	require.Empty(t, other.Notices(), "only the host that received a notice from the engine passes it on")
	other.Publish(newCatalog(newEngine("a", 1), newEngine("b", 1)))
	require.True(t, other.Catalog().Upstreams["a"].Draining, "a notice must stay in force in a new catalog")
}

// Guards against an engine that receives no work after a restart, because its previous
// incarnation gave notice.
func TestNoticesEndWithIncarnation(t *testing.T) {
	g := New(Options{Log: logr.Discard()})
	g.Publish(newCatalog(newEngine("a", 1)))
	g.MergeNotices([]catalog.LeaveNotice{{Upstream: "a", Incarnation: 1}, {Upstream: "unknown", Incarnation: 1}})
	g.Publish(newCatalog(newEngine("a", 2)))
	require.False(t, g.Catalog().Upstreams["a"].Draining)
	g.MergeNotices([]catalog.LeaveNotice{{Upstream: "a", Incarnation: 1}})
	require.False(t, g.Catalog().Upstreams["a"].Draining, "a late datagram about the previous incarnation must be ignored")
	require.Empty(t, g.notices.received)
}

// Guards against an engine that never receives work again: entries without an
// incarnation do not show that the engine has restarted.
func TestNoticesOfUnknownIncarnationsExpire(t *testing.T) {
	g, now := New(Options{Log: logr.Discard()}), time.Now()
	c := newCatalog(newEngine("a", 0))
	g.Publish(c)
	require.True(t, g.notices.add(catalog.LeaveNotice{Upstream: "a"}, true, now))
	require.True(t, g.notices.applyTo(c, now.Add(anonymousNoticeTTL)).Upstreams["a"].Draining)
	require.False(t, g.notices.applyTo(c, now.Add(anonymousNoticeTTL+time.Second)).Upstreams["a"].Draining)
	require.Empty(t, g.Notices())
}
