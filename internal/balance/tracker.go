// Package balance chooses the upstream for a request. Pick has no state; Tracker records
// the load of this host and its peers on each upstream.
//
// It is designed for many hosts that choose among the same upstreams with views that are
// some tens of milliseconds old.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// baseAvoidDuration is how long an upstream is avoided after a failed exchange. It
	// doubles with each consecutive failure.
	baseAvoidDuration = 400 * time.Millisecond
	// maxAvoidDuration bounds the avoidance, so that a recovered upstream is tried
	// again.
	maxAvoidDuration = 3200 * time.Millisecond
	// peerReportTTL is the age at which a peer's report expires; peers report several
	// times a second.
	peerReportTTL = 3 * time.Second
	// coldRateFraction is the part of a cold upstream's rate that is divided among the
	// hosts. The rest is a margin because the hosts' slots are at random times and may
	// coincide.
	coldRateFraction = 0.8
	// coldSlotDuration is the time in each period during which a host may send a request
	// to a cold upstream, if its part of the rate is below one request a second.
	coldSlotDuration = 250 * time.Millisecond
	// errorAverageWeight is the weight of the latest exchange in the moving average of
	// failures.
	errorAverageWeight = 0.2
)

// Load is the work of one or more requests on an upstream.
type Load struct {
	Requests int
	// Tokens is the memory, in tokens, that the requests hold or are expected to hold.
	Tokens int
	// PendingPromptTokens is the number of prompt tokens of requests that have produced
	// no event yet.
	PendingPromptTokens int `msgpack:"Unread"`
}

func (l Load) plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens, PendingPromptTokens: l.PendingPromptTokens + o.PendingPromptTokens}
}

func (l Load) minus(o Load) Load {
	return Load{Requests: l.Requests - o.Requests, Tokens: l.Tokens - o.Tokens, PendingPromptTokens: l.PendingPromptTokens - o.PendingPromptTokens}
}

type upstreamState struct {
	ownLoad             Load
	consecutiveFailures int
	avoidUntil          time.Time
	// errorShare is the moving average of failed exchanges, from 0 to 1.
	errorShare float64
	// coldBucketTokens is the content of the token bucket that limits requests to a cold
	// upstream.
	coldBucketTokens float64
	// coldReferenceTime is the last refill of the bucket, or the start of the first
	// period of cold slots.
	coldReferenceTime time.Time
	// nextColdPeriod is the index after the last period whose slot was used.
	nextColdPeriod int64
}

type peerReport struct {
	receivedAt time.Time
	loads      map[string]Load
}

// Tracker records the load and the failures of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	upstreams   map[string]*upstreamState
	peerReports map[string]peerReport
	// peerTotals is the sum of peerReports; no report is older than earliestReport.
	peerTotals     map[string]Load
	earliestReport time.Time
	random         *rand.Rand

	// changedEngines holds the engines whose ownLoad has changed since the last
	// TakeChanges.
	changedEngines map[string]bool
	changeSignal   chan struct{}
}

func NewTracker() *Tracker { return newTracker(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) }

func newTracker(random *rand.Rand) *Tracker {
	return &Tracker{
		upstreams: make(map[string]*upstreamState), peerReports: make(map[string]peerReport), peerTotals: make(map[string]Load), random: random,
		changedEngines: make(map[string]bool), changeSignal: make(chan struct{}, 1),
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

// AddLoad records load that this host puts on the upstream.
func (t *Tracker) AddLoad(id string, load Load) { t.adjustLoad(id, load) }

// RemoveLoad subtracts load that was recorded by AddLoad.
func (t *Tracker) RemoveLoad(id string, load Load) { t.adjustLoad(id, Load{}.minus(load)) }

func (t *Tracker) adjustLoad(id string, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.ownLoad = s.ownLoad.plus(load)
	t.markChanged(id, load)
}

// markChanged marks an engine whose changed load is reported to other hosts at once.
// Plain requests are too short for that.
func (t *Tracker) markChanged(id string, load Load) {
	if load.Tokens == 0 && load.PendingPromptTokens == 0 {
		return
	}
	t.changedEngines[id] = true
	select {
	case t.changeSignal <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value when TakeChanges has loads to return.
func (t *Tracker) Changed() <-chan struct{} { return t.changeSignal }

// TakeChanges returns this host's load on the engines where it has changed since the
// last call.
func (t *Tracker) TakeChanges() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.changedEngines))
	for id := range t.changedEngines {
		out[id] = t.state(id).ownLoad
	}
	clear(t.changedEngines)
	return out
}

// RecordSuccess records a successful exchange and ends the avoidance of the upstream.
func (t *Tracker) RecordSuccess(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.consecutiveFailures, s.avoidUntil = 0, time.Time{}
	s.errorShare *= 1 - errorAverageWeight
}

// RecordFailure records an exchange that the upstream failed or refused.
func (t *Tracker) RecordFailure(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.errorShare += (1 - s.errorShare) * errorAverageWeight
	s.avoidUntil = now.Add(min(baseAvoidDuration<<min(s.consecutiveFailures, 8), maxAvoidDuration))
	s.consecutiveFailures++
}

// OwnLoads returns this host's load on all upstreams, for its peers.
func (t *Tracker) OwnLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load, len(t.upstreams))
	for id, s := range t.upstreams {
		if s.ownLoad.Requests > 0 {
			out[id] = s.ownLoad
		}
	}
	return out
}

// SetPeerReport replaces the report of a peer.
func (t *Tracker) SetPeerReport(peer string, loads map[string]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setPeerReportLocked(peer, loads, now)
}

func (t *Tracker) setPeerReportLocked(peer string, loads map[string]Load, now time.Time) {
	t.removePeerReport(peer)
	if loads == nil {
		loads = map[string]Load{}
	}
	t.peerReports[peer] = peerReport{receivedAt: now, loads: loads}
	for id, l := range loads {
		t.peerTotals[id] = t.peerTotals[id].plus(l)
	}
	if t.earliestReport.IsZero() || now.Before(t.earliestReport) {
		t.earliestReport = now
	}
}

// SetPeerReportWithin replaces the loads of a peer on the upstreams that covered selects.
func (t *Tracker) SetPeerReportWithin(peer string, loads map[string]Load, covered func(upstream string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged := make(map[string]Load, len(loads))
	for id, l := range t.peerReports[peer].loads {
		if !covered(id) {
			merged[id] = l
		}
	}
	maps.Copy(merged, loads)
	t.setPeerReportLocked(peer, merged, now)
}

// UpdatePeerReport replaces some loads in the report of a peer and keeps the rest. It
// has no effect before the first SetPeerReport.
func (t *Tracker) UpdatePeerReport(peer string, loads map[string]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.peerReports[peer]
	if !known {
		return
	}
	for id, l := range loads {
		t.peerTotals[id] = t.peerTotals[id].minus(r.loads[id]).plus(l)
		r.loads[id] = l
	}
	r.receivedAt = now
	t.peerReports[peer] = r
}

// removePeerReport deletes the report of a peer and subtracts it from peerTotals.
func (t *Tracker) removePeerReport(peer string) {
	for id, l := range t.peerReports[peer].loads {
		if remaining := t.peerTotals[id].minus(l); remaining != (Load{}) {
			t.peerTotals[id] = remaining
		} else {
			delete(t.peerTotals, id)
		}
	}
	delete(t.peerReports, peer)
}

// expireReports deletes reports older than peerReportTTL.
func (t *Tracker) expireReports(now time.Time) {
	if now.Sub(t.earliestReport) <= peerReportTTL {
		return
	}
	t.earliestReport = time.Time{}
	for peer, r := range t.peerReports {
		if now.Sub(r.receivedAt) > peerReportTTL {
			t.removePeerReport(peer)
		} else if t.earliestReport.IsZero() || r.receivedAt.Before(t.earliestReport) {
			t.earliestReport = r.receivedAt
		}
	}
}

// Evict deletes upstreams that are no longer known and carry no load, and expired
// reports.
func (t *Tracker) Evict(isKnown func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.upstreams {
		if s.ownLoad.Requests == 0 && !isKnown(id) {
			delete(t.upstreams, id)
		}
	}
	t.expireReports(now)
}

// Views returns the state of the upstreams with the given identifiers, in their order.
func (t *Tracker) Views(ids []string, now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireReports(now)
	out := make([]View, len(ids))
	var zeroState upstreamState
	for i, id := range ids {
		s := t.upstreams[id]
		if s == nil {
			s = &zeroState
		}
		out[i] = View{Load: s.ownLoad.plus(t.peerTotals[id]), OwnRequests: s.ownLoad.Requests, Avoid: now.Before(s.avoidUntil), ErrorShare: s.errorShare}
	}
	return out
}

// OldestReport returns the age of the oldest report of the given peers, and false if one of them
// has not reported.
func (t *Tracker) OldestReport(peers []string, now time.Time) (age time.Duration, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range peers {
		r, known := t.peerReports[peer]
		if !known {
			return 0, false
		}
		age = max(age, now.Sub(r.receivedAt))
	}
	return age, true
}

// IsAvoided reports whether the upstream is avoided because of a recent failure.
func (t *Tracker) IsAvoided(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[id]
	return s != nil && now.Before(s.avoidUntil)
}

// AllowCold reports whether this host may send a request to a cold upstream now, and
// takes the request from the host's part of the upstream's rate.
func (t *Tracker) AllowCold(id string, rate float64, hosts int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	hostRate := coldRateFraction * rate / float64(max(hosts, 1))
	if hostRate < 1 {
		return s.takeColdSlot(time.Duration(float64(time.Second)/hostRate), now, t.random)
	}
	if s.coldReferenceTime.IsZero() {
		s.coldBucketTokens = hostRate / 2
	}
	s.coldBucketTokens = min(hostRate/2+1, s.coldBucketTokens+now.Sub(s.coldReferenceTime).Seconds()*hostRate)
	s.coldReferenceTime = now
	if s.coldBucketTokens < 1 {
		return false
	}
	s.coldBucketTokens--
	return true
}

// takeColdSlot allows one request in a short slot of each period. Each host has its slot
// at a random time. Unused slots are not saved up: many hosts would spend them in the
// same second.
func (s *upstreamState) takeColdSlot(period time.Duration, now time.Time, random *rand.Rand) bool {
	if s.coldReferenceTime.IsZero() {
		s.coldReferenceTime = now.Add(-time.Duration(random.Int64N(int64(period))))
	}
	elapsed := now.Sub(s.coldReferenceTime)
	periodIndex := int64(elapsed / period)
	if elapsed%period >= coldSlotDuration || periodIndex == s.nextColdPeriod-1 {
		return false
	}
	s.nextColdPeriod = periodIndex + 1
	return true
}
