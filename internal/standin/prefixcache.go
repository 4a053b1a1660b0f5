package standin

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// maxCacheEvents bounds the retained cache events. Readers see discarded events as
// a gap in the sequence numbers.
const maxCacheEvents = 4096

type timedCacheEvent struct {
	event      upstream.CacheEvent
	recordedAt time.Time
}

// prefixCache is an engine's LRU cache of prompt prefixes, least recently used
// first. It is protected by the engine's mutex.
type prefixCache struct {
	maxPrefixes  int
	prefixes     []uint64
	lastSequence uint64
	events       []timedCacheEvent
}

// touch marks the prefix as the most recently used one, adds it if it is missing and
// reports whether it was cached.
func (c *prefixCache) touch(prefix uint64, now time.Time) bool {
	if c.maxPrefixes <= 0 {
		return false
	}
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	if len(c.prefixes) >= c.maxPrefixes {
		c.appendEvent(upstream.CacheEvent{Prefix: c.prefixes[0], Evicted: true}, now)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.appendEvent(upstream.CacheEvent{Prefix: prefix}, now)
	return false
}

func (c *prefixCache) appendEvent(event upstream.CacheEvent, now time.Time) {
	c.lastSequence++
	event.Sequence = c.lastSequence
	c.events = append(c.events, timedCacheEvent{event, now})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = slices.Delete(c.events, 0, excess)
	}
}

// clear empties the cache without recording events, as a crash does.
func (c *prefixCache) clear() { c.prefixes = nil }

// visibleEvents returns the events above the sequence number that are older than the
// lag, without every gap-th one.
func (c *prefixCache) visibleEvents(after, omitEvery uint64, recordedBy time.Time) []upstream.CacheEvent {
	out := []upstream.CacheEvent{}
	for _, e := range c.events {
		omitted := omitEvery > 0 && e.event.Sequence%omitEvery == 0
		if e.event.Sequence > after && !omitted && !e.recordedAt.After(recordedBy) {
			out = append(out, e.event)
		}
	}
	return out
}
