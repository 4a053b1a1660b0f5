// Package balance decides which upstream takes a request. Pick is pure; Tracker
// keeps what this host and its peers run on each upstream.
//
// It answers the load of many hosts that choose among the same upstreams with
// views that are some tens of milliseconds old.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failureAvoid is how long an upstream is avoided after a failed exchange;
	// it doubles with each further failure in a row.
	failureAvoid = 400 * time.Millisecond
	// maxAvoid bounds the avoidance, so that a recovered upstream is tried again.
	maxAvoid = 3200 * time.Millisecond
	// remoteValid is the age at which a peer's report no longer counts; peers
	// report several times a second.
	remoteValid = 3 * time.Second
	// coldShare is the part of a cold upstream's rate that hosts share out; the rest
	// absorbs that their slots are random.
	coldShare = 0.8
	// coldSlot is the time in each period in which a host with a part below one
	// request a second may use it.
	coldSlot = 250 * time.Millisecond
	// errorWeight is the weight of a new exchange in the moving average of failures.
	errorWeight = 0.2
)

// Load is work on an upstream.
type Load struct {
	Requests int
	// Tokens is the memory that the requests hold or are expected to hold.
	Tokens int
	// Unread is the prompt tokens of requests that have no event yet.
	Unread int
}

func (l Load) plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, Unread: l.Unread + o.Unread}
}

func (l Load) minus(o Load) Load {
	return Load{Requests: l.Requests - o.Requests, Tokens: l.Tokens - o.Tokens, Unread: l.Unread - o.Unread}
}

type upstreamState struct {
	own        Load
	failures   int
	avoidUntil time.Time
	// errorShare is a moving average of failed exchanges.
	errorShare float64
	coldTokens float64
	coldAt     time.Time
	// coldIndex is one more than the last period in which a slot was used.
	coldIndex int64
}

type remoteReport struct {
	at    time.Time
	loads map[string]Load
}

// Tracker keeps the state of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamState
	remote    map[string]remoteReport
	// total sums the reports in remote, of which none is older than earliest.
	total    map[string]Load
	earliest time.Time
	random   *rand.Rand

	// changed holds the engines whose own load has changed since Changes.
	changed map[string]bool
	signal  chan struct{}
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return newTracker(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) }

func newTracker(random *rand.Rand) *Tracker {
	return &Tracker{
		upstreams: make(map[string]*upstreamState), remote: make(map[string]remoteReport), total: make(map[string]Load), random: random,
		changed: make(map[string]bool), signal: make(chan struct{}, 1),
	}
}

func (t *Tracker) state(id string) *upstreamState {
	s := t.upstreams[id]
	if s == nil {
		s = &upstreamState{}
		t.upstreams[id] = s
	}
	return s
}

// Start counts work that is sent to the upstream.
func (t *Tracker) Start(id string, work Load) { t.add(id, work) }

// End takes work back.
func (t *Tracker) End(id string, work Load) { t.add(id, Load{}.minus(work)) }

func (t *Tracker) add(id string, work Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.own = s.own.plus(work)
	t.noteChange(id, work)
}

// noteChange marks an engine whose load other hosts should know at once. Plain
// requests are too short for that.
func (t *Tracker) noteChange(id string, work Load) {
	if work.Tokens == 0 && work.Unread == 0 {
		return
	}
	t.changed[id] = true
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// Changed is signalled when Changes has something to return.
func (t *Tracker) Changed() <-chan struct{} { return t.signal }

// Changes returns the loads that this host causes on engines where they have changed
// since the last call.
func (t *Tracker) Changes() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.changed))
	for id := range t.changed {
		out[id] = t.state(id).own
	}
	clear(t.changed)
	return out
}

// Succeeded records an answer of the upstream.
func (t *Tracker) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.failures, s.avoidUntil = 0, time.Time{}
	s.errorShare *= 1 - errorWeight
}

// Failed records an exchange that the upstream failed or refused.
func (t *Tracker) Failed(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.errorShare += (1 - s.errorShare) * errorWeight
	s.avoidUntil = now.Add(min(failureAvoid<<min(s.failures, 8), maxAvoid))
	s.failures++
}

// Report returns the loads that this host causes, for its peers.
func (t *Tracker) Report() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.upstreams))
	for id, s := range t.upstreams {
		if s.own.Requests > 0 {
			out[id] = s.own
		}
	}
	return out
}

// Merge replaces the report of a peer.
func (t *Tracker) Merge(peer string, loads map[string]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(peer)
	if loads == nil {
		loads = map[string]Load{}
	}
	t.remote[peer] = remoteReport{at: now, loads: loads}
	for id, l := range loads {
		t.total[id] = t.total[id].plus(l)
	}
	if t.earliest.IsZero() || now.Before(t.earliest) {
		t.earliest = now
	}
}

// MergeChanges replaces some loads in the report of a peer and keeps the rest. It has
// no effect before a whole report.
func (t *Tracker) MergeChanges(peer string, loads map[string]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.remote[peer]
	if !known {
		return
	}
	for id, l := range loads {
		t.total[id] = t.total[id].minus(r.loads[id]).plus(l)
		r.loads[id] = l
	}
	r.at = now
	t.remote[peer] = r
}

// drop takes the report of a peer out of the total.
func (t *Tracker) drop(peer string) {
	for id, l := range t.remote[peer].loads {
		if rest := t.total[id].minus(l); rest != (Load{}) {
			t.total[id] = rest
		} else {
			delete(t.total, id)
		}
	}
	delete(t.remote, peer)
}

// expire drops reports that no longer count.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.earliest) <= remoteValid {
		return
	}
	t.earliest = time.Time{}
	for peer, r := range t.remote {
		if now.Sub(r.at) > remoteValid {
			t.drop(peer)
		} else if t.earliest.IsZero() || r.at.Before(t.earliest) {
			t.earliest = r.at
		}
	}
}

// Forget drops upstreams that are gone and carry nothing, and old reports.
func (t *Tracker) Forget(known func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.upstreams {
		if s.own.Requests == 0 && !known(id) {
			delete(t.upstreams, id)
		}
	}
	t.expire(now)
}

// View returns the state of the upstreams with the given identifiers. share is
// this host's part of a limit that all hosts keep together.
func (t *Tracker) View(ids []string, now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]View, len(ids))
	var none upstreamState
	for i, id := range ids {
		s := t.upstreams[id]
		if s == nil {
			s = &none
		}
		out[i] = View{Load: s.own.plus(t.total[id]), Own: s.own.Requests, Avoid: now.Before(s.avoidUntil), ErrorShare: s.errorShare}
	}
	return out
}

// Avoids reports whether an exchange with the upstream failed just now.
func (t *Tracker) Avoids(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	return s != nil && now.Before(s.avoidUntil)
}

// AllowCold takes one request from this host's part of a cold upstream's rate.
func (t *Tracker) AllowCold(id string, rate float64, hosts int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	part := coldShare * rate / float64(max(hosts, 1))
	if part < 1 {
		return s.takeColdSlot(time.Duration(float64(time.Second)/part), now, t.random)
	}
	if s.coldAt.IsZero() {
		s.coldTokens = part / 2
	}
	s.coldTokens = min(part/2+1, s.coldTokens+now.Sub(s.coldAt).Seconds()*part)
	s.coldAt = now
	if s.coldTokens < 1 {
		return false
	}
	s.coldTokens--
	return true
}

// takeColdSlot allows one request in a short slot of each period. Hosts have random
// slots. Unused parts are not saved up: the parts of many hosts would be spent in
// the same second.
func (s *upstreamState) takeColdSlot(period time.Duration, now time.Time, random *rand.Rand) bool {
	if s.coldAt.IsZero() {
		s.coldAt = now.Add(-time.Duration(random.Int64N(int64(period))))
	}
	since := now.Sub(s.coldAt)
	index := int64(since / period)
	if since%period >= coldSlot || index == s.coldIndex-1 {
		return false
	}
	s.coldIndex = index + 1
	return true
}
