package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/guard"
)

const (
	// tableMaxAge is the age of the table of upstreams from which on engines are asked
	// directly whether they are leaving. The table is normally confirmed about once a
	// second.
	tableMaxAge = 1500 * time.Millisecond
	// leaveQueryInterval is the time between two queries to one engine; engines leave
	// about two seconds after their notice.
	leaveQueryInterval = 300 * time.Millisecond
	leaveQueryTimeout  = 250 * time.Millisecond
	// anonymousNoticeTTL is how long a notice is valid whose incarnation is not known, or not
	// known for certain. An engine that starts again under the same identifier is up some
	// seconds after its end.
	anonymousNoticeTTL = 15 * time.Second
	// removedNoticeTTL is how long a notice is kept while its engine has no entry.
	removedNoticeTTL = time.Minute
)

// notices holds the leave notices that hosts received from engines directly: in responses, or
// on a question while the store could not be reached.
type notices struct {
	mu       sync.Mutex
	received map[catalog.LeaveNotice]receivedNotice
}

type receivedNotice struct {
	// fromEngine is set if the engine gave the notice to this host, not to another one.
	fromEngine bool
	receivedAt time.Time
}

// isFor reports whether a notice was given by the current incarnation of its engine. An engine that
// started again may give notice before the host learns of the start.
func (r receivedNotice) isFor(u *catalog.Upstream, notice catalog.LeaveNotice, now time.Time) bool {
	recent := now.Sub(r.receivedAt) <= anonymousNoticeTTL
	if u.Incarnation == notice.Incarnation {
		return notice.Incarnation != 0 || recent
	}
	return recent && r.fromEngine && u.Incarnation > notice.Incarnation && r.receivedAt.UnixMilli() >= u.Incarnation
}

// add records a notice; it returns false if the notice is known already.
func (n *notices) add(notice catalog.LeaveNotice, fromEngine bool, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	record, known := n.received[notice]
	if !known || fromEngine {
		record.receivedAt = now
	}
	record.fromEngine = record.fromEngine || fromEngine
	n.received[notice] = record
	return !known
}

// fromEngines returns the notices that engines gave to this host.
func (n *notices) fromEngines() []catalog.LeaveNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []catalog.LeaveNotice
	for notice, record := range n.received {
		if record.fromEngine {
			out = append(out, notice)
		}
	}
	return out
}

// applyTo returns the catalog with the engines that gave notice marked as draining.
// Notices of earlier incarnations are deleted.
func (n *notices) applyTo(c *catalog.Catalog, now time.Time) *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := c
	for notice, record := range n.received {
		u := c.Upstreams[notice.Upstream]
		switch {
		case u == nil:
			// The entry may come back: the store removes entries of engines that still run.
			if now.Sub(record.receivedAt) > removedNoticeTTL {
				delete(n.received, notice)
			}
		case !record.isFor(u, notice, now):
			delete(n.received, notice)
		case !u.Draining:
			if out == c {
				out = c.WithUpstreams(maps.Clone(c.Upstreams))
			}
			draining := *u
			draining.Draining = true
			out.Upstreams[u.ID] = &draining
		}
	}
	return out
}

// Notices returns the notices that engines gave to this host, for the other hosts.
func (g *Gateway) Notices() []catalog.LeaveNotice { return g.notices.fromEngines() }

// MergeNotices adds notices that engines gave to another host. A host queries only the
// engines that run its streams, but it chooses among all of them.
func (g *Gateway) MergeNotices(reported []catalog.LeaveNotice) {
	changed := false
	for _, notice := range reported {
		u := g.publishedCatalog.Load().Upstreams[notice.Upstream]
		if u == nil || u.Incarnation != notice.Incarnation || !g.notices.add(notice, false, time.Now()) {
			continue
		}
		changed = true
		g.Log.Info("another host reported that an engine is leaving", "upstream", u.ID)
	}
	if changed {
		g.activate()
	}
}

// WatchLeavingEngines queries the engines that run this host's streams whether they are
// leaving, while the table of upstreams is outdated. It returns when ctx ends. If the
// store is down, notices in the table would arrive too late to migrate streams.
func (g *Gateway) WatchLeavingEngines(ctx context.Context, tableAge func(now time.Time) time.Duration) {
	ticker := time.NewTicker(leaveQueryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if tableAge(now) < tableMaxAge {
				continue
			}
			for _, u := range g.streams.enginesInUse() {
				go guard.Run(g.Log, "question whether an engine is leaving", func() { g.queryLeaving(ctx, u) })
			}
		}
	}
}

// queryLeaving asks one engine whether it is leaving and records its notice.
func (g *Gateway) queryLeaving(ctx context.Context, u *catalog.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, leaveQueryTimeout)
	defer cancel()
	leaving, err := g.Engines.Leaving(ctx, u.Address)
	if err != nil {
		g.Log.V(1).Info("engine did not answer whether it is leaving", "upstream", u.ID, "error", err.Error())
		return
	}
	if leaving {
		g.recordLeaveNotice(u, "question")
	}
}

// recordLeaveNotice records that an engine told this host that it is leaving.
func (g *Gateway) recordLeaveNotice(u *catalog.Upstream, source string) {
	if !g.notices.add(catalog.LeaveNotice{Upstream: u.ID, Incarnation: u.Incarnation}, true, time.Now()) {
		return
	}
	g.Log.Info("engine reported that it is leaving", "upstream", u.ID, "source", source)
	g.Metrics.RecordStatement("leaving, " + source)
	g.AnnounceNotices()
	g.activate()
}
