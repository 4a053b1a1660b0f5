// Package upstreamlimit divides among the hosts the requests per second that upstreams in need
// take from all hosts together. It answers upstreams that would be overrun while each host by
// itself sends little: no host owns a limit, so hosts may start, stop or be cut off at any time.
//
// Each host has its share of the rate. If that is below one request per second, it has one slot
// in each period instead: the hosts' slots follow each other in the order of their names, by the
// time of day, so that no two hosts send at the same time. Unused slots are not saved up.
//
// Table does no I/O and does not read the clock.
package upstreamlimit

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usedFraction is the part of a limit that the hosts use. The rest is a margin for hosts
	// whose views of the site or whose clocks differ.
	usedFraction = 0.9
	// minPerSecond replaces lower limits: an upstream that gets no requests can not lift its
	// limit.
	minPerSecond = 0.1
	// liftMargin is the time after the last statement of a limit within which a request must
	// not have been sent if its answer is to lift the limit. The answer may else be older.
	liftMargin = 500 * time.Millisecond
	// retention bounds how long a limit holds without being stated again.
	retention = time.Minute
	// liftRetention is how long a lifted limit is reported. It spans many messages.
	liftRetention = 10 * time.Second
	// burstTime is the time whose requests a host may send at once if its share is one request
	// per second or more.
	burstTime = 500 * time.Millisecond
	// minSlot is the shortest slot, in which a busy host has a request to send.
	minSlot = 250 * time.Millisecond
	// maxEntries bounds the table, and maxReported a report; further limits are ignored.
	maxEntries  = 4096
	maxReported = 256
)

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	ID          string
	Incarnation int64
}

// Statement is what an upstream said in an answer to one host. Its fields are encoded in their
// order.
type Statement struct {
	Upstream    string
	Incarnation int64
	// PerSecond is the limit in requests per second; negative if the upstream stated none.
	PerSecond float64
	// Age is the time in milliseconds since the answer.
	Age int64
}

// lifted is the value of PerSecond if the upstream states no limit.
const lifted = -1

// Position is the place of a host among the hosts that share the limits.
type Position struct{ Rank, Hosts int }

type entry struct {
	perSecond float64
	// statedAt is the time of the latest known statement, ownStatedAt of the latest to this host.
	statedAt, ownStatedAt time.Time
	// tokens is the content of the bucket of a share of one request per second or more.
	tokens     float64
	refilledAt time.Time
	// lastSentAt and lastPeriod are the time and the period of the last request in a slot.
	lastSentAt time.Time
	lastPeriod int64
}

func (e *entry) limits(now time.Time) bool {
	return e != nil && e.perSecond >= 0 && now.Sub(e.statedAt) < retention
}

// Table holds the limits that upstreams have stated. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Upstream]*entry
	// count is len(entries), so that choices take no lock while there are none.
	count atomic.Int32
}

func NewTable() *Table { return &Table{entries: make(map[Upstream]*entry)} }

// Record records the limit that an upstream stated in an answer to this host, or that it stated
// none (perSecond is negative). sentAt is when the request was sent. It reports whether the
// limit is new, has changed or was lifted.
func (t *Table) Record(u Upstream, perSecond float64, sentAt, now time.Time) (changed bool) {
	if perSecond < 0 && t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[u]
	if perSecond < 0 && (!e.limits(now) || sentAt.Before(e.statedAt.Add(liftMargin))) {
		return false
	}
	return t.setLocked(u, perSecond, now, true, now)
}

// Merge adds what upstreams said to another host. Reports may be lost, repeated or reordered; the
// latest statement holds.
func (t *Table) Merge(statements []Statement, now time.Time) {
	if len(statements) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range statements {
		statedAt := now.Add(-time.Duration(min(max(s.Age, 0), retention.Milliseconds())) * time.Millisecond)
		if math.IsNaN(s.PerSecond) || math.IsInf(s.PerSecond, 0) {
			continue
		}
		t.setLocked(Upstream{s.Upstream, s.Incarnation}, s.PerSecond, statedAt, false, now)
	}
}

func (t *Table) setLocked(u Upstream, perSecond float64, statedAt time.Time, own bool, now time.Time) (changed bool) {
	e := t.entries[u]
	if e == nil {
		if perSecond < 0 || len(t.entries) >= maxEntries || now.Sub(statedAt) >= retention {
			return false
		}
		e = &entry{perSecond: lifted}
		t.entries[u] = e
		t.count.Store(int32(len(t.entries)))
	}
	if own {
		e.ownStatedAt = statedAt
	}
	if !statedAt.After(e.statedAt) {
		return false
	}
	if perSecond >= 0 {
		perSecond = max(perSecond, minPerSecond)
	} else {
		perSecond = lifted
	}
	changed = !e.limits(now) && perSecond >= 0 || e.perSecond != perSecond
	e.perSecond, e.statedAt = perSecond, statedAt
	return changed
}

// Limited reports whether a limit of the upstream is in force.
func (t *Table) Limited(u Upstream, now time.Time) bool {
	_, limited := t.Limit(u, now)
	return limited
}

// Limit returns the requests per second that the upstream takes; false if it states no limit.
func (t *Table) Limit(u Upstream, now time.Time) (perSecond float64, limited bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[u]
	if !e.limits(now) {
		return 0, false
	}
	return e.perSecond, true
}

// Take reports whether this host may send a request to the upstream now, and takes the request
// from the host's share of the limit if there is one.
func (t *Table) Take(u Upstream, position func() Position, now time.Time) bool {
	if t.count.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[u]
	if !e.limits(now) {
		return true
	}
	p := position()
	hosts := max(p.Hosts, 1)
	share := usedFraction * e.perSecond / float64(hosts)
	if share < 1 {
		return e.takeSlot(u, share, p.Rank, hosts, now)
	}
	return e.takeToken(share, now)
}

func (e *entry) takeToken(share float64, now time.Time) bool {
	capacity := 1 + share*burstTime.Seconds()
	if e.refilledAt.IsZero() {
		e.tokens = capacity / 2
	} else {
		e.tokens = min(capacity, e.tokens+max(now.Sub(e.refilledAt).Seconds(), 0)*share)
	}
	e.refilledAt = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// takeSlot allows one request in the host's slot of each period.
func (e *entry) takeSlot(u Upstream, share float64, rank, hosts int, now time.Time) bool {
	period := time.Duration(float64(time.Second) / share)
	slot := min(max(period/time.Duration(hosts), minSlot), period)
	// Different upstreams have their slots at different times.
	start := time.Duration((float64(rank)/float64(hosts) + offset(u.ID)) * float64(period))
	sinceStart := now.UnixNano() - int64(start)
	index := sinceStart / int64(period)
	if time.Duration(sinceStart%int64(period)) >= slot || index == e.lastPeriod {
		return false
	}
	// The time of day and the period may change, so that a slot comes again too early.
	if !e.lastSentAt.IsZero() && now.Sub(e.lastSentAt) < max(period-slot, period/2) {
		return false
	}
	e.lastSentAt, e.lastPeriod = now, index
	return true
}

// offset returns a fraction of 1 that depends on the identifier.
func offset(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum32()) / (1 << 32)
}

// Report returns what upstreams said to this host, the latest first.
func (t *Table) Report(now time.Time) []Statement {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Statement
	for u, e := range t.entries {
		if e.ownStatedAt.IsZero() || e.ownStatedAt.Before(e.statedAt) || now.Sub(e.statedAt) >= e.retention() {
			continue // another host reports a later statement
		}
		out = append(out, Statement{u.ID, u.Incarnation, e.perSecond, now.Sub(e.statedAt).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), maxReported)]
}

func (e *entry) retention() time.Duration {
	if e.perSecond < 0 {
		return liftRetention
	}
	return retention
}

// Evict removes the limits that are over.
func (t *Table) Evict(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u, e := range t.entries {
		if now.Sub(e.statedAt) >= e.retention() {
			delete(t.entries, u)
		}
	}
	t.count.Store(int32(len(t.entries)))
}
