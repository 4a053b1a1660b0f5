// Package upstreamlimit divides among the hosts the requests per second that upstreams in need
// take from all hosts together. It answers upstreams that would be overrun while each host by
// itself sends little: no host owns a limit, so hosts may start, stop or be cut off at any time.
//
// Each host has its share of the rate. If that is below one request per second, time is divided
// into slots of one request each, and the host with the highest hash for a slot may use it: no
// message is needed for a send, and a host that starts or stops changes the owner of few slots.
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
	// usedFraction is the part of the rate that the hosts use. The rest is a margin for hosts
	// whose views of the site or whose clocks differ.
	usedFraction = 0.95
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
	// burstTime is the time whose requests may come at once after a pause. Where the hosts use
	// slots, all together may send extraBurst requests more.
	burstTime  = time.Second
	extraBurst = 2.0
	// rateStep is the ratio of the rates that hosts use. An upstream may state another limit in each
	// answer; the rate is kept while the limit is within rateBand of it.
	rateStep    = 1.1
	minRateBand = 0.95
	maxRateBand = 1.2
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

// Sharers are the hosts that share the limits. It is immutable.
type Sharers struct {
	own    uint64
	others []uint64
}

// NewSharers returns the hosts with the given names.
func NewSharers(own string, others []string) *Sharers {
	s := &Sharers{own: hash(own), others: make([]uint64, len(others))}
	for i, name := range others {
		s.others[i] = hash(name)
	}
	return s
}

func (s *Sharers) count() int { return len(s.others) + 1 }

// ownsSlot reports whether this host has the highest hash for a slot.
func (s *Sharers) ownsSlot(slotHash uint64) bool {
	own := mix(s.own ^ slotHash)
	for _, other := range s.others {
		if mix(other^slotHash) > own {
			return false
		}
	}
	return true
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// mix distributes the bits of a number evenly (the finalizer of splitmix64).
func mix(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

type entry struct {
	// perSecond is the stated limit, and rate the one from which the shares are computed, which
	// is mostly the same at all hosts.
	perSecond, rate float64
	// statedAt is the time of the latest known statement, ownStatedAt of the latest to this host.
	statedAt, ownStatedAt time.Time
	// tokens is the content of the bucket of a share of one request per second or more.
	tokens     float64
	refilledAt time.Time
	// checkedSlot is the last slot whose owner was computed, and ownSlots are the slots of this
	// host that it has not used.
	checkedSlot int64
	ownSlots    []int64
}

func (e *entry) limits(now time.Time) bool {
	return e != nil && e.perSecond >= 0 && now.Sub(e.statedAt) < retention
}

// Table holds the limits that upstreams have stated. It is safe for concurrent use.
type Table struct {
	// epoch is the time of the start. Later times are measured from it by the monotonic clock,
	// so that steps of the time of day do not change the slots.
	epoch time.Time

	mu      sync.Mutex
	entries map[Upstream]*entry
	// count is len(entries), so that choices take no lock while there are none.
	count atomic.Int32
}

// NewTable returns a table without limits. now is the current time.
func NewTable(now time.Time) *Table { return &Table{epoch: now, entries: make(map[Upstream]*entry)} }

// Record records the limit that an upstream stated in an answer to this host, or that it stated
// none (perSecond is negative). sentAt is when the request was sent. It reports whether the
// limit is new, has changed much or was lifted.
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
	held := e.limits(now) && perSecond >= minRateBand*e.rate && perSecond <= maxRateBand*e.rate
	changed = !held && (e.limits(now) || perSecond >= 0)
	if changed { // slots of another length have other numbers
		e.checkedSlot, e.ownSlots = 0, nil
		e.rate = roundDown(perSecond)
	}
	e.perSecond, e.statedAt = perSecond, statedAt
	return changed
}

// roundDown returns the next lower power of rateStep.
func roundDown(perSecond float64) float64 {
	const tolerance = 1e-6 // of the logarithm
	return math.Pow(rateStep, math.Floor(math.Log(max(perSecond, minPerSecond))/math.Log(rateStep)+tolerance))
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
func (t *Table) Take(u Upstream, sharers func() *Sharers, now time.Time) bool {
	if t.count.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[u]
	if !e.limits(now) {
		return true
	}
	hosts, used := sharers(), usedFraction*e.rate
	if share := used / float64(hosts.count()); share >= 1 {
		return e.takeToken(share, now)
	}
	sinceUnixEpoch := float64(t.epoch.UnixNano())/float64(time.Second) + now.Sub(t.epoch).Seconds()
	return e.takeSlot(int64(used*sinceUnixEpoch), hash(u.ID), hosts)
}

func (e *entry) takeToken(share float64, now time.Time) bool {
	capacity := max(1, share*burstTime.Seconds())
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

// takeSlot uses one of this host's slots. A slot can be used for some slots after it, since a host
// rarely has a request to send just then.
func (e *entry) takeSlot(current int64, upstreamHash uint64, hosts *Sharers) bool {
	oldest := current - int64(extraBurst+e.rate*burstTime.Seconds()) + 1
	if e.checkedSlot == 0 || e.checkedSlot > current {
		e.checkedSlot = current - 1 // slots of the time before the limit are not saved up
	}
	for slot := max(e.checkedSlot+1, oldest); slot <= current; slot++ {
		if hosts.ownsSlot(mix(uint64(slot)) ^ upstreamHash) {
			e.ownSlots = append(e.ownSlots, slot)
		}
	}
	e.checkedSlot = current
	e.ownSlots = slices.DeleteFunc(e.ownSlots, func(slot int64) bool { return slot < oldest })
	if len(e.ownSlots) == 0 {
		return false
	}
	e.ownSlots = e.ownSlots[1:]
	return true
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
