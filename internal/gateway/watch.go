package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

const (
	// watchAge is the age of the upstreams' table from which on engines are asked
	// themselves whether they leave. Readers confirm the table about once a second.
	watchAge = 1500 * time.Millisecond
	// watchInterval is the time between two questions to one engine; engines leave
	// about two seconds after their notice.
	watchInterval = 300 * time.Millisecond
	// watchTimeout bounds a question.
	watchTimeout = 250 * time.Millisecond
	// noticeTime is how long a notice holds whose incarnation is not known. An engine that
	// starts again under its identifier is up some seconds after its end.
	noticeTime = 15 * time.Second
)

// notices holds what engines said themselves while the store was not heard of.
type notices struct {
	mu    sync.Mutex
	known map[catalog.LeaveNotice]heardNotice
}

type heardNotice struct {
	// own is set if the engine gave the notice to this host itself.
	own bool
	at  time.Time
}

// note records a notice; it returns false if it is known already.
func (n *notices) note(notice catalog.LeaveNotice, own bool, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	heard, known := n.known[notice]
	if !known {
		heard.at = now
	}
	heard.own = heard.own || own
	n.known[notice] = heard
	return !known
}

// own returns the notices that engines gave to this host itself.
func (n *notices) own() []catalog.LeaveNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []catalog.LeaveNotice
	for notice, heard := range n.known {
		if heard.own {
			out = append(out, notice)
		}
	}
	return out
}

// overlay returns the catalog with the engines that gave notice marked as draining.
// Notices of incarnations that the catalog no longer holds are dropped.
func (n *notices) overlay(c *catalog.Catalog, now time.Time) *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := c
	for notice, heard := range n.known {
		u := c.Upstreams[notice.Upstream]
		switch {
		case u == nil || u.Incarnation != notice.Incarnation, notice.Incarnation == 0 && now.Sub(heard.at) > noticeTime:
			delete(n.known, notice)
		case !u.Draining:
			if out == c {
				out = c.WithUpstreams(maps.Clone(c.Upstreams))
			}
			leaving := *u
			leaving.Draining = true
			out.Upstreams[u.ID] = &leaving
		}
	}
	return out
}

// Notices returns the notices that engines gave to this host, for the other hosts.
func (g *Gateway) Notices() []catalog.LeaveNotice { return g.notices.own() }

// MergeNotices takes notices that engines gave to another host. A host asks only the
// engines on which it has streams, but all of them choose engines and destinations.
func (g *Gateway) MergeNotices(told []catalog.LeaveNotice) {
	news := false
	for _, notice := range told {
		u := g.published.Load().Upstreams[notice.Upstream]
		if u == nil || u.Incarnation != notice.Incarnation || !g.notices.note(notice, false, time.Now()) {
			continue
		}
		news = true
		g.Log.Info("another host was told that an engine leaves", "upstream", u.ID)
	}
	if news {
		g.republish()
	}
}

// Watch asks the engines on which this host has streams whether they leave, while
// the upstreams' table is old. It ends with ctx. It answers engines that leave
// while the store is away: their notice would be known too late to move streams.
func (g *Gateway) Watch(ctx context.Context, tableAge func(now time.Time) time.Duration) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if tableAge(now) < watchAge {
				continue
			}
			for _, u := range g.streams.engines() {
				go g.ask(ctx, u)
			}
		}
	}
}

func (g *Gateway) ask(ctx context.Context, u *catalog.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	leaving, err := g.Engines.Leaving(ctx, u.Address)
	if err != nil {
		g.Log.V(1).Info("engine did not answer whether it leaves", "upstream", u.ID, "error", err.Error())
		return
	}
	if !leaving || !g.notices.note(catalog.LeaveNotice{Upstream: u.ID, Incarnation: u.Incarnation}, true, time.Now()) {
		return
	}
	g.Log.Info("engine says that it leaves", "upstream", u.ID)
	g.Announce()
	g.republish()
}
