package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

const (
	// maxBackOffs bounds the table; further back-offs are ignored.
	maxBackOffs = 4096
	// invalidLogInterval is the time between two log lines on invalid values of an upstream.
	invalidLogInterval = time.Minute
)

// incarnation identifies one incarnation of an upstream. An upstream that starts again is not
// bound by what its previous incarnation said.
type incarnation struct {
	upstream string
	start    int64
}

func incarnationOf(u *catalog.Upstream) incarnation { return incarnation{u.ID, u.Incarnation} }

// backOffs holds until when upstreams want no requests from this host. It is safe for
// concurrent use.
type backOffs struct {
	mu    sync.RWMutex
	until map[incarnation]time.Time
	// invalidLoggedAt is when an invalid value was last logged, by incarnation.
	invalidLoggedAt map[incarnation]time.Time
	// count is len(until), so that choices take no lock while there are none.
	count atomic.Int32
}

func newBackOffs() *backOffs {
	return &backOffs{until: make(map[incarnation]time.Time), invalidLoggedAt: make(map[incarnation]time.Time)}
}

// add records that an upstream wants no requests for a time. A shorter back-off does not end an
// earlier one. It reports whether the upstream had none before.
func (b *backOffs) add(u *catalog.Upstream, d time.Duration, now time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key, end := incarnationOf(u), now.Add(d)
	held, known := b.until[key]
	if !known && len(b.until) >= maxBackOffs {
		b.evictLocked(now, func(incarnation) bool { return true })
		if len(b.until) >= maxBackOffs {
			return false
		}
	}
	if end.After(held) {
		b.until[key] = end
	}
	b.count.Store(int32(len(b.until)))
	return !now.Before(held)
}

// shouldLogInvalid reports whether an invalid value of an upstream is to be logged, at most once
// in invalidLogInterval: it comes in each of its refusals.
func (b *backOffs) shouldLogInvalid(u *catalog.Upstream, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := incarnationOf(u)
	last, logged := b.invalidLoggedAt[key]
	if logged && now.Sub(last) < invalidLogInterval || !logged && len(b.invalidLoggedAt) >= maxBackOffs {
		return false
	}
	b.invalidLoggedAt[key] = now
	return true
}

// activeUntil returns until when an upstream wants no requests; false if it takes requests now.
func (b *backOffs) activeUntil(u *catalog.Upstream, now time.Time) (time.Time, bool) {
	if b.count.Load() == 0 {
		return time.Time{}, false
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	end, known := b.until[incarnationOf(u)]
	return end, known && now.Before(end)
}

// evict deletes the back-offs that are over, and those of which isCurrent reports that the upstream
// has started again.
func (b *backOffs) evict(now time.Time, isCurrent func(incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictLocked(now, isCurrent)
}

func (b *backOffs) evictLocked(now time.Time, isCurrent func(incarnation) bool) {
	for key, end := range b.until {
		if !now.Before(end) || !isCurrent(key) {
			delete(b.until, key)
		}
	}
	b.count.Store(int32(len(b.until)))
	for key, last := range b.invalidLoggedAt {
		if now.Sub(last) >= invalidLogInterval {
			delete(b.invalidLoggedAt, key)
		}
	}
}

// EvictBackOffs deletes the back-offs that are over and those of earlier incarnations. One whose
// upstream has no entry is kept: the entry may come back.
func (g *Gateway) EvictBackOffs(now time.Time) {
	upstreams := g.publishedCatalog.Load().Upstreams
	g.backOffs.evict(now, func(key incarnation) bool {
		u := upstreams[key.upstream]
		return u == nil || u.Incarnation == key.start
	})
}

// mayReceive reports whether an upstream may receive new work of this host.
func (g *Gateway) mayReceive(cat *catalog.Catalog, u *catalog.Upstream, now time.Time) bool {
	if !cat.Usable(u) {
		return false
	}
	_, backingOff := g.backOffs.activeUntil(u, now)
	return !backingOff
}

// recordStatements records what an upstream says of itself in a response: that it leaves, or
// that it wants no requests for a time, or how many requests per second it takes. sentAt is when
// the request was sent.
func (g *Gateway) recordStatements(u *catalog.Upstream, info ResponseInfo, sentAt time.Time) {
	now := time.Now()
	if info.InvalidBackOff != "" && g.backOffs.shouldLogInvalid(u, now) {
		g.Log.Info("back-off of an upstream ignored: the value is invalid", "upstream", u.ID, "value", info.InvalidBackOff)
	}
	if info.BackOff > 0 && g.backOffs.add(u, info.BackOff, now) {
		g.Log.Info("upstream wants no requests for a time", "upstream", u.ID, "for", info.BackOff)
		g.Metrics.RecordStatement("back-off")
	}
	g.recordLimit(u, info, sentAt, now)
	if info.Leaving {
		g.recordLeaveNotice(u, "response")
	}
}

// backOffEnd returns when the first upstream of the service that is in use wants requests
// again; false if one wants them now or none is in use.
func (g *Gateway) backOffEnd(cat *catalog.Catalog, service string, now time.Time) (end time.Time, waiting bool) {
	for _, u := range cat.UpstreamsOfService(service) {
		if !cat.Usable(u) {
			continue
		}
		until, backingOff := g.backOffs.activeUntil(u, now)
		if !backingOff {
			return time.Time{}, false
		}
		if !waiting || until.Before(end) {
			end, waiting = until, true
		}
	}
	return end, waiting
}
