package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

func engineOf(id string, born int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "narration", Incarnation: born}
}

func published(engines ...*catalog.Upstream) *catalog.Catalog {
	c := &catalog.Catalog{Upstreams: map[string]*catalog.Upstream{}, UpstreamsKnown: true}
	for _, u := range engines {
		c.Upstreams[u.ID] = u
	}
	return c
}

// Guards against work and runs that hosts send to an engine of which only another host
// knows, while the store is away, that it leaves or has left.
func TestNoticesReachOtherHosts(t *testing.T) {
	told, other := New(Options{Log: logr.Discard()}), New(Options{Log: logr.Discard()})
	for _, g := range []*Gateway{told, other} {
		g.Publish(published(engineOf("a", 1), engineOf("b", 1)))
	}
	require.True(t, told.notices.note(catalog.LeaveNotice{Upstream: "a", Incarnation: 1}, true, time.Now()))
	other.MergeNotices(told.Notices())
	require.True(t, other.Catalog().Upstreams["a"].Draining)
	require.False(t, other.Catalog().Upstreams["b"].Draining)
	require.Empty(t, other.Notices(), "only the host that was told repeats a notice")
	other.Publish(published(engineOf("a", 1), engineOf("b", 1)))
	require.True(t, other.Catalog().Upstreams["a"].Draining, "a notice outlasts a new catalog")
}

// Guards against an engine that gets no work after it has started again, since its
// former incarnation said that it leaves.
func TestNoticesEndWithTheIncarnation(t *testing.T) {
	g := New(Options{Log: logr.Discard()})
	g.Publish(published(engineOf("a", 1)))
	g.MergeNotices([]catalog.LeaveNotice{{Upstream: "a", Incarnation: 1}, {Upstream: "unknown", Incarnation: 1}})
	g.Publish(published(engineOf("a", 2)))
	require.False(t, g.Catalog().Upstreams["a"].Draining)
	g.MergeNotices([]catalog.LeaveNotice{{Upstream: "a", Incarnation: 1}})
	require.False(t, g.Catalog().Upstreams["a"].Draining, "a late datagram about the former incarnation")
	require.Empty(t, g.notices.known)
}

// Guards against an engine that gets no work ever again, since entries that state no
// incarnation do not tell that it has started anew.
func TestNoticesOfUnknownIncarnationsLapse(t *testing.T) {
	g, now := New(Options{Log: logr.Discard()}), time.Now()
	c := published(engineOf("a", 0))
	g.Publish(c)
	require.True(t, g.notices.note(catalog.LeaveNotice{Upstream: "a"}, true, now))
	require.True(t, g.notices.overlay(c, now.Add(noticeTime)).Upstreams["a"].Draining)
	require.False(t, g.notices.overlay(c, now.Add(noticeTime+time.Second)).Upstreams["a"].Draining)
	require.Empty(t, g.Notices())
}
