package membership

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// LocalState is the part of the daemon's heartbeat that the caller of the tracker supplies.
type LocalState struct {
	Draining bool
	Streams  int
}

// peerState is what the tracker knows about another daemon.
type peerState struct {
	// lastSeenAt is the time of receipt of the latest request or answer.
	lastSeenAt time.Time
	// contactAt is the start of the latest answered call. Received requests do not
	// count as contact, because they may have waited in a buffer.
	contactAt  time.Time
	lastAnswer Heartbeat
	// highestEpoch is the highest epoch that any incarnation of the daemon has reported.
	highestEpoch uint64
}

// storeContactAt returns a lower bound of the time of the peer's latest direct
// read of the store.
func (p *peerState) storeContactAt() (time.Time, bool) {
	if p.lastAnswer.StoreAgeMillis == 0 {
		return time.Time{}, false
	}
	return p.contactAt.Add(-p.lastAnswer.storeAge()), true
}

// majorityMark records when a strict majority was first known to hold a revision.
type majorityMark struct {
	revision  uint64
	reachedAt time.Time
}

type poolHandoverKey struct {
	pool          string
	previousOwner Identity
}

// Tracker holds what a daemon knows about its cell and derives from it what the
// daemon may do. now is the time of the caller's monotonic clock. A Tracker is safe
// for concurrent use. The checks in the request path are methods of the immutable
// Snapshot and take no lock.
type Tracker struct {
	cell string

	mu              sync.Mutex
	self            Identity
	localState      LocalState
	ranking         ranking
	pollers         []string
	appliedRevision uint64 // highest configuration revision that the daemon has applied
	ready           bool
	stopped         bool
	view            View
	peers           map[string]*peerState
	// joinedAt is when each member was first seen in the view.
	joinedAt  map[Identity]time.Time
	pastViews []pastView // earlier views that another daemon may still use, newest first
	// storeReadAt is the start of the latest successful read of the store.
	storeReadAt time.Time
	storeHead   uint64
	// revisionConfirmedAt and viewConfirmedAt are the latest instants at which the
	// store held no later revision or view than the daemon holds; they never decrease.
	revisionConfirmedAt, viewConfirmedAt time.Time
	poolHandovers                        map[poolHandoverKey]uint64
	majorityMarks                        []majorityMark
	lastInputAt                          time.Time
	runningSince                         time.Time
	snapshot                             atomic.Pointer[Snapshot]
}

// NewTracker returns a tracker without a view for one incarnation of a daemon.
func NewTracker(cell string, self Identity, now time.Time) *Tracker {
	t := &Tracker{
		cell: cell, self: self, peers: map[string]*peerState{}, joinedAt: map[Identity]time.Time{},
		poolHandovers: map[poolHandoverKey]uint64{}, lastInputAt: now, runningSince: now,
	}
	t.publish()
	return t
}

// Snapshot returns the current state. It takes no lock.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }

// update runs f under the lock, derives the dependent state and publishes it.
func (t *Tracker) update(now time.Time, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectPause(now)
	f()
	t.updateConfirmations()
	t.markSupersededViews(now)
	t.recordMajority(now)
	t.publish()
}

// detectPause sets runningSince to now when the gap since the previous input shows that
// the process was paused.
func (t *Tracker) detectPause(now time.Time) {
	if now.Sub(t.lastInputAt) > pauseThreshold {
		t.runningSince = now
	}
	if now.After(t.lastInputAt) {
		t.lastInputAt = now
	}
}

// Tick records that the process is running. It must be called more often than once
// a second: after a longer gap every member counts as seen for ConfirmationValidity.
func (t *Tracker) Tick(now time.Time) { t.update(now, func() {}) }

// SetLocalState sets the state that the daemon reports about itself.
func (t *Tracker) SetLocalState(now time.Time, local LocalState) {
	t.update(now, func() { t.localState = local })
}

// SetIncarnation starts a new incarnation after the daemon was removed from the view.
// What is known about the cell remains, but the pool handovers to the old incarnation
// are dropped.
func (t *Tracker) SetIncarnation(now time.Time, incarnation uint64) {
	t.update(now, func() {
		t.self.Incarnation = incarnation
		clear(t.poolHandovers)
	})
}

// Stop permanently ends the daemon's right to send and to grant. It must be called
// before the daemon removes itself from the view.
func (t *Tracker) Stop(now time.Time) { t.update(now, func() { t.stopped = true }) }

// SetAppliedRevision records that the daemon has applied all revisions up to the given one.
func (t *Tracker) SetAppliedRevision(now time.Time, revision uint64) {
	t.update(now, func() { t.appliedRevision = max(t.appliedRevision, revision) })
}

// ObserveStoreRead records a successful read of the head revision and the view that
// began at startedAt.
func (t *Tracker) ObserveStoreRead(now, startedAt time.Time, view View, head uint64) {
	t.update(now, func() {
		if startedAt.After(t.storeReadAt) {
			t.storeReadAt, t.storeHead = startedAt, head
		}
		t.adoptView(now, view)
	})
}

// ObserveHeartbeat records the answer to a heartbeat that was sent at sentAt.
func (t *Tracker) ObserveHeartbeat(now, sentAt time.Time, answer Heartbeat) {
	t.update(now, func() {
		p := t.recordMessage(now, answer)
		if !sentAt.After(p.contactAt) {
			return
		}
		p.contactAt, p.lastAnswer = sentAt, answer
		p.lastAnswer.View = nil
		if answer.View != nil {
			t.adoptView(now, *answer.View)
		}
	})
}

// ObserveRequest records another daemon's heartbeat request. It may have waited in
// a buffer, so it updates when the sender was last seen but confirms nothing.
func (t *Tracker) ObserveRequest(now time.Time, request Heartbeat) {
	t.mu.Lock()
	if p := t.peers[request.Name]; p != nil && p.highestEpoch >= request.Epoch {
		// Nothing in the snapshot depends on this request; no new one is needed.
		t.detectPause(now)
		t.recordMessage(now, request)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.update(now, func() { t.recordMessage(now, request) })
}

func (t *Tracker) recordMessage(now time.Time, h Heartbeat) *peerState {
	p := t.peers[h.Name]
	if p == nil {
		p = &peerState{}
		t.peers[h.Name] = p
	}
	if now.After(p.lastSeenAt) {
		p.lastSeenAt = now
	}
	p.highestEpoch = max(p.highestEpoch, h.Epoch)
	return p
}

// AllEpochs is passed as epoch to ObservePoolHandover for a daemon that grants no more
// permits under any view.
const AllEpochs = ^uint64(0)

// ObservePoolHandover records that an incarnation of the pool's previous owner has
// transferred the pool to this daemon and grants no permits for it under any view before
// epoch. A previous owner that holds a view in which it no longer owns the pool reports
// the epoch of that view; one that has stopped granting altogether reports AllEpochs.
func (t *Tracker) ObservePoolHandover(now time.Time, pool string, from Identity, epoch uint64) {
	t.update(now, func() {
		key := poolHandoverKey{pool, from}
		t.poolHandovers[key] = max(t.poolHandovers[key], epoch)
	})
}

// TryReadyByMajority makes a starting daemon ready during a store outage, once a
// strict majority of the view has answered and the daemon holds their highest
// revision and view. The daemon itself does not count towards the majority, because
// this incarnation has lost the state of an earlier one. It reports whether the daemon
// is ready.
func (t *Tracker) TryReadyByMajority(now time.Time) bool {
	t.update(now, func() {
		if t.ready || len(t.view.Members) == 0 {
			return
		}
		answered := 0
		for _, m := range t.view.Members {
			p := t.peers[m.Name]
			if m.Name == t.self.Name || p == nil || now.Sub(p.contactAt) >= ConfirmationValidity || !p.lastAnswer.Ready {
				continue
			}
			if p.lastAnswer.Revision > t.appliedRevision || p.lastAnswer.Epoch > t.view.Epoch {
				return
			}
			answered++
		}
		t.ready = answered > len(t.view.Members)/2
	})
	return t.Snapshot().Ready
}

// adoptView replaces the view by one of a higher epoch, or by one of the same epoch
// with a shorter list of changes.
func (t *Tracker) adoptView(now time.Time, view View) {
	if view.Epoch < t.view.Epoch || view.Epoch == 0 {
		return
	}
	if view.Epoch == t.view.Epoch && len(view.Changes) >= len(t.view.Changes) {
		return
	}
	known := make(map[uint64]pastView, len(t.pastViews))
	for _, p := range t.pastViews {
		known[p.epoch] = p
	}
	t.pastViews = view.earlierViews()
	for i, p := range t.pastViews {
		if k, ok := known[p.epoch]; ok {
			t.pastViews[i] = k
		}
	}
	t.view = view
	t.ranking = newRanking(view.identities())
	order := t.ranking.namesInOrder(t.cell)
	t.pollers = order[:min(pollerCount, len(order))]
	t.dropStalePoolHandovers()
	joined := make(map[Identity]time.Time, len(view.Members))
	for _, id := range view.identities() {
		joined[id] = now
		if at, ok := t.joinedAt[id]; ok {
			joined[id] = at
		}
	}
	t.joinedAt = joined
	maps.DeleteFunc(t.peers, func(name string, p *peerState) bool {
		_, member := view.Member(name)
		return !member && now.Sub(p.lastSeenAt) > ConfirmationValidity
	})
}

// dropStalePoolHandovers drops the handovers of previous owners that are in no view that
// may be in use.
func (t *Tracker) dropStalePoolHandovers() {
	maps.DeleteFunc(t.poolHandovers, func(key poolHandoverKey, _ uint64) bool {
		known := func(p pastView) bool { return slices.Contains(p.ranking.ids, key.previousOwner) }
		return !t.view.Has(key.previousOwner) && !slices.ContainsFunc(t.pastViews, known)
	})
}

// updateConfirmations raises revisionConfirmedAt and viewConfirmedAt to the latest
// read of the store, by this daemon or a peer, that returned nothing newer than what
// the daemon holds now.
func (t *Tracker) updateConfirmations() {
	raise := func(at *time.Time, to time.Time) {
		if to.After(*at) {
			*at = to
		}
	}
	if !t.storeReadAt.IsZero() {
		raise(&t.viewConfirmedAt, t.storeReadAt) // the view returned by that read has been adopted
		if t.appliedRevision >= t.storeHead {
			t.ready = true
			raise(&t.revisionConfirmedAt, t.storeReadAt)
		}
	}
	for _, p := range t.peers {
		at, ok := p.storeContactAt()
		if !ok {
			continue
		}
		if t.appliedRevision >= p.lastAnswer.StoreHead {
			raise(&t.revisionConfirmedAt, at)
		}
		if t.view.Epoch >= p.lastAnswer.Epoch {
			raise(&t.viewConfirmedAt, at)
		}
	}
}

// markSupersededViews marks the past views of which a strict majority of members
// holds a later epoch or has left. During a store outage a daemon needs contact with
// a strict majority at its own epoch, so the lease of one that still holds such a
// view ends within ConfirmationValidity.
func (t *Tracker) markSupersededViews(now time.Time) {
	leftMembers := t.view.leftMembers()
	for i := range t.pastViews {
		p := &t.pastViews[i]
		if !p.supersededAt.IsZero() {
			continue
		}
		movedOn := 0
		for _, id := range p.ranking.ids {
			peer := t.peers[id.Name]
			if leftMembers[id] || id.Name == t.self.Name || peer != nil && peer.highestEpoch > p.epoch {
				movedOn++
			}
		}
		if movedOn > len(p.ranking.ids)/2 || len(p.ranking.ids) == 0 {
			p.supersededAt = now
		}
	}
}

// revisionOf returns the revision that this incarnation of the member has confirmed; 0 if
// none.
func (t *Tracker) revisionOf(id Identity) uint64 {
	if id == t.self {
		return t.appliedRevision
	}
	if p := t.peers[id.Name]; p != nil && p.lastAnswer.Identity == id {
		return p.lastAnswer.Revision
	}
	return 0
}

// recordMajority records when a strict majority of every view that may be in use was
// first known to hold a revision.
func (t *Tracker) recordMajority(now time.Time) {
	revision := t.majorityRevision(t.ranking.ids)
	for _, p := range t.pastViews {
		if p.mayBeInUse(now) && len(p.ranking.ids) > 0 {
			revision = min(revision, t.majorityRevision(p.ranking.ids))
		}
	}
	if n := len(t.majorityMarks); revision == 0 || n > 0 && t.majorityMarks[n-1].revision >= revision {
		return
	}
	t.majorityMarks = append(t.majorityMarks, majorityMark{revision, now})
	// Keeps the latest mark that is old enough for InForce, and all later ones.
	for len(t.majorityMarks) > 1 && now.Sub(t.majorityMarks[1].reachedAt) >= ConfirmationValidity+DispatchTimeout {
		t.majorityMarks = t.majorityMarks[1:]
	}
}

// majorityRevision returns the highest revision that a strict majority of the members holds.
func (t *Tracker) majorityRevision(ids []Identity) uint64 {
	if len(ids) == 0 {
		return 0
	}
	revisions := make([]uint64, len(ids))
	for i, id := range ids {
		if id.Name == t.self.Name {
			revisions[i] = t.appliedRevision
		} else if p := t.peers[id.Name]; p != nil {
			revisions[i] = p.lastAnswer.Revision
		}
	}
	slices.Sort(revisions)
	return revisions[(len(ids)-1)/2]
}

// InForce returns the highest revision that is in force: every member has confirmed
// it, or a strict majority has held it for ConfirmationValidity plus DispatchTimeout,
// after which no member sends new work under an older revision.
func (t *Tracker) InForce(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.view.Members) == 0 {
		return 0
	}
	inForce := t.appliedRevision
	for _, m := range t.view.Members {
		inForce = min(inForce, t.revisionOf(m.Identity))
	}
	for _, mark := range t.majorityMarks {
		if now.Sub(mark.reachedAt) >= ConfirmationValidity+DispatchTimeout {
			inForce = max(inForce, mark.revision)
		}
	}
	return inForce
}

// recentlySeen reports whether the member was seen within ConfirmationValidity. A
// member that has just joined, and every member after a pause of this process, counts
// as seen for that time.
func (t *Tracker) recentlySeen(now time.Time, id Identity) bool {
	if id == t.self || now.Sub(t.runningSince) < ConfirmationValidity || now.Sub(t.joinedAt[id]) < ConfirmationValidity {
		return true
	}
	p := t.peers[id.Name]
	return p != nil && now.Sub(p.lastSeenAt) < ConfirmationValidity
}

// MembersToRemove returns the members from which a strict majority of the view has received
// nothing for ConfirmationValidity. A link that is cut in one direction removes nobody.
func (t *Tracker) MembersToRemove(now time.Time) []Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.view.Members)
	silent := make([]int, n)
	for _, reporter := range t.view.Members {
		if reporter.Identity == t.self {
			for i, m := range t.view.Members {
				if !t.recentlySeen(now, m.Identity) {
					silent[i]++
				}
			}
			continue
		}
		p := t.peers[reporter.Name]
		if p == nil || p.lastAnswer.Identity != reporter.Identity || p.lastAnswer.Epoch != t.view.Epoch || now.Sub(p.contactAt) >= ConfirmationValidity {
			continue
		}
		if heard, ok := decodeSeen(p.lastAnswer.SeenMembers, n); ok {
			for i := range silent {
				if !heard(i) {
					silent[i]++
				}
			}
		}
	}
	var out []Identity
	for i, m := range t.view.Members {
		if silent[i] > n/2 {
			out = append(out, m.Identity)
		}
	}
	return out
}

// Heartbeat returns the daemon's state for a request or an answer to another daemon.
// It includes the view when otherEpoch is lower than the daemon's own epoch.
func (t *Tracker) Heartbeat(now time.Time, otherEpoch uint64) Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := Heartbeat{
		Identity: t.self, Revision: t.appliedRevision, Epoch: t.view.Epoch,
		Draining: t.localState.Draining, Ready: t.ready, Streams: t.localState.Streams,
		SeenMembers: encodeSeen(len(t.view.Members), func(i int) bool { return t.recentlySeen(now, t.view.Members[i].Identity) }),
	}
	if age := now.Sub(t.storeReadAt); !t.storeReadAt.IsZero() && age < ConfirmationValidity {
		h.StoreAgeMillis, h.StoreHead = ageMillis(age), t.storeHead
	}
	if otherEpoch < t.view.Epoch {
		view := t.view
		h.View = &view
	}
	return h
}

// PrunableEpoch returns the highest epoch up to which no earlier view can be in use;
// 0 if there is none. A writer of the view row may drop the changes up to it.
func (t *Tracker) PrunableEpoch(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var epoch uint64
	for _, p := range slices.Backward(t.pastViews) { // ascending order of epoch
		if p.mayBeInUse(now) {
			break
		}
		epoch = p.epoch
	}
	return epoch
}
