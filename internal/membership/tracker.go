package membership

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Local is what the daemon itself reports to the others.
type Local struct {
	Draining bool
	Streams  int
}

// peerState is what the tracker knows of another daemon.
type peerState struct {
	// heardAt is the receipt of the latest message, asked or not.
	heardAt time.Time
	// sentAt is the start of the latest answered call; only this counts as contact.
	sentAt time.Time
	last   Heartbeat
	// epoch is the highest epoch that any run of the daemon has reported.
	epoch uint64
}

// storeAt is a lower bound of the time of the peer's direct contact with the store.
func (p *peerState) storeAt() (time.Time, bool) {
	if p.last.StoreAge == 0 {
		return time.Time{}, false
	}
	return p.sentAt.Add(-p.last.storeAge()), true
}

// majorityMark records when a strict majority was first seen at a revision.
type majorityMark struct {
	revision uint64
	at       time.Time
}

type handoverKey struct {
	pool string
	from Identity
}

// Tracker holds a daemon's knowledge of its cell and derives from it what the
// daemon may do. Methods take now from the caller's monotonic clock. A Tracker
// is safe for concurrent use; the rules of the request path are methods of the
// immutable Snapshot and take no lock.
type Tracker struct {
	cell string

	mu       sync.Mutex
	self     Identity
	local    Local
	ranking  ranking
	pollers  []string
	revision uint64 // highest revision that the daemon has applied
	ready    bool
	stopped  bool
	view     View
	peers    map[string]*peerState
	// joinedAt holds when each member was first seen in the view.
	joinedAt map[Identity]time.Time
	past     []pastView // views that another daemon may still use
	// storeAt is the start of the latest successful read of the store.
	storeAt   time.Time
	storeHead uint64
	// freshAt and leaseAt are instants at which nothing newer than what the
	// daemon now holds was committed; they only grow.
	freshAt, leaseAt time.Time
	handovers        map[handoverKey]uint64
	marks            []majorityMark
	lastInput        time.Time
	runningSince     time.Time
	snapshot         atomic.Pointer[Snapshot]
}

// NewTracker returns a tracker for one run of a daemon that holds no view yet.
func NewTracker(cell string, self Identity, now time.Time) *Tracker {
	t := &Tracker{
		cell: cell, self: self, peers: map[string]*peerState{}, joinedAt: map[Identity]time.Time{},
		handovers: map[handoverKey]uint64{}, lastInput: now, runningSince: now,
	}
	t.publish()
	return t
}

// Snapshot returns the current immutable state for the request path.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }

// update runs f under the lock and publishes the result.
func (t *Tracker) update(now time.Time, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running(now)
	f()
	t.confirm()
	t.settle(now)
	t.markMajority(now)
	t.publish()
}

// running notes that the process runs now, and whether it was paused before.
func (t *Tracker) running(now time.Time) {
	if now.Sub(t.lastInput) > pauseGap {
		t.runningSince = now
	}
	if now.After(t.lastInput) {
		t.lastInput = now
	}
}

// Tick tells the tracker that the process is running. It must be called more
// often than once a second, or silence of other members is not counted.
func (t *Tracker) Tick(now time.Time) { t.update(now, func() {}) }

// SetLocal sets what the daemon reports of itself.
func (t *Tracker) SetLocal(now time.Time, local Local) { t.update(now, func() { t.local = local }) }

// SetIncarnation starts a new run after the daemon was removed from the view. The
// knowledge of the cell remains; handovers received by the old run do not count.
func (t *Tracker) SetIncarnation(now time.Time, incarnation uint64) {
	t.update(now, func() {
		t.self.Incarnation = incarnation
		clear(t.handovers)
	})
}

// Stop ends the daemon's right to send and to grant for good. It must be called
// before the daemon leaves the view by itself.
func (t *Tracker) Stop(now time.Time) { t.update(now, func() { t.stopped = true }) }

// SetApplied tells that the daemon has applied all revisions up to the given one.
func (t *Tracker) SetApplied(now time.Time, revision uint64) {
	t.update(now, func() { t.revision = max(t.revision, revision) })
}

// ObserveStoreRead records a successful read of the head and the view that began at startedAt.
func (t *Tracker) ObserveStoreRead(now, startedAt time.Time, view View, head uint64) {
	t.update(now, func() {
		if startedAt.After(t.storeAt) {
			t.storeAt, t.storeHead = startedAt, head
		}
		t.adopt(now, view)
	})
}

// ObserveHeartbeat records the answer to a call that was sent at sentAt.
func (t *Tracker) ObserveHeartbeat(now, sentAt time.Time, answer Heartbeat) {
	t.update(now, func() {
		p := t.hear(now, answer)
		if !sentAt.After(p.sentAt) {
			return
		}
		p.sentAt, p.last = sentAt, answer
		p.last.View = nil
		if answer.View != nil {
			t.adopt(now, *answer.View)
		}
	})
}

// ObserveRequest records a request that another daemon sent. A request may have
// waited in a buffer, so it proves that the sender lived but confirms nothing.
func (t *Tracker) ObserveRequest(now time.Time, request Heartbeat) {
	t.mu.Lock()
	if p := t.peers[request.Name]; p != nil && p.epoch >= request.Epoch {
		// Nothing that the snapshot shows has changed.
		t.running(now)
		t.hear(now, request)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.update(now, func() { t.hear(now, request) })
}

func (t *Tracker) hear(now time.Time, h Heartbeat) *peerState {
	p := t.peers[h.Name]
	if p == nil {
		p = &peerState{}
		t.peers[h.Name] = p
	}
	if now.After(p.heardAt) {
		p.heardAt = now
	}
	p.epoch = max(p.epoch, h.Epoch)
	return p
}

// ForGood is the epoch to pass to ObserveHandover for a daemon that is stopping.
const ForGood = ^uint64(0)

// ObserveHandover records that the run of the previous owner has handed the pool
// over to this daemon and grants no permits for it by any view below the epoch.
// A previous owner that holds a view in which it no longer owns the pool states
// the epoch of that view; one that has stopped granting for good states ForGood.
func (t *Tracker) ObserveHandover(now time.Time, pool string, from Identity, epoch uint64) {
	t.update(now, func() {
		key := handoverKey{pool, from}
		t.handovers[key] = max(t.handovers[key], epoch)
	})
}

// ReadyByMajority makes a starting daemon ready during a store outage, once a
// strict majority of the view has answered and every revision and view that they
// hold has been applied. The daemon's own name does not count, because this run
// has lost what an earlier run knew. It reports whether the daemon is ready.
func (t *Tracker) ReadyByMajority(now time.Time) bool {
	t.update(now, func() {
		if t.ready || len(t.view.Members) == 0 {
			return
		}
		answered := 0
		for _, m := range t.view.Members {
			p := t.peers[m.Name]
			if m.Name == t.self.Name || p == nil || now.Sub(p.sentAt) >= Validity || !p.last.Ready {
				continue
			}
			if p.last.Revision > t.revision || p.last.Epoch > t.view.Epoch {
				return
			}
			answered++
		}
		t.ready = answered > len(t.view.Members)/2
	})
	return t.Snapshot().Ready
}

// adopt takes over a view of a higher epoch; of an equal epoch it takes over the
// shortened list of changes.
func (t *Tracker) adopt(now time.Time, view View) {
	if view.Epoch < t.view.Epoch || view.Epoch == 0 {
		return
	}
	if view.Epoch == t.view.Epoch && len(view.Changes) >= len(t.view.Changes) {
		return
	}
	known := make(map[uint64]pastView, len(t.past))
	for _, p := range t.past {
		known[p.epoch] = p
	}
	t.past = view.previous()
	for i, p := range t.past {
		if k, ok := known[p.epoch]; ok {
			t.past[i] = k
		}
	}
	t.view = view
	t.ranking = newRanking(view.identities())
	order := t.ranking.order(t.cell)
	t.pollers = order[:min(pollers, len(order))]
	t.dropHandovers()
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
		return !member && now.Sub(p.heardAt) > Validity
	})
}

// dropHandovers forgets the handovers of runs that are in no view that may be in use.
func (t *Tracker) dropHandovers() {
	maps.DeleteFunc(t.handovers, func(key handoverKey, _ uint64) bool {
		known := func(p pastView) bool { return slices.Contains(p.ranking.ids, key.from) }
		return !t.view.Has(key.from) && !slices.ContainsFunc(t.past, known)
	})
}

// confirm raises freshAt and leaseAt. A contact with the store at some instant
// that showed nothing newer than what the daemon holds now confirms that instant.
func (t *Tracker) confirm() {
	raise := func(at *time.Time, to time.Time) {
		if to.After(*at) {
			*at = to
		}
	}
	if !t.storeAt.IsZero() {
		raise(&t.leaseAt, t.storeAt) // the view that the read returned was adopted
		if t.revision >= t.storeHead {
			t.ready = true
			raise(&t.freshAt, t.storeAt)
		}
	}
	for _, p := range t.peers {
		at, ok := p.storeAt()
		if !ok {
			continue
		}
		if t.revision >= p.last.Head {
			raise(&t.freshAt, at)
		}
		if t.view.Epoch >= p.last.Epoch {
			raise(&t.leaseAt, at)
		}
	}
}

// settle finds the past views that no daemon can use any more: a strict majority
// of their members hold a later epoch or have left. A daemon in outage mode needs
// contact with a strict majority at its own epoch, so it stops within Validity.
func (t *Tracker) settle(now time.Time) {
	left := t.view.left()
	for i := range t.past {
		p := &t.past[i]
		if !p.settledAt.IsZero() {
			continue
		}
		moved := 0
		for _, id := range p.ranking.ids {
			peer := t.peers[id.Name]
			if left[id] || id.Name == t.self.Name || peer != nil && peer.epoch > p.epoch {
				moved++
			}
		}
		if moved > len(p.ranking.ids)/2 || len(p.ranking.ids) == 0 {
			p.settledAt = now
		}
	}
}

// revisionOf returns the revision that the member has confirmed in its present run.
func (t *Tracker) revisionOf(id Identity) uint64 {
	if id == t.self {
		return t.revision
	}
	if p := t.peers[id.Name]; p != nil && p.last.Identity == id {
		return p.last.Revision
	}
	return 0
}

// markMajority notes when a strict majority of every view that may be in use was
// first seen at a revision.
func (t *Tracker) markMajority(now time.Time) {
	revision := t.majorityRevision(t.ranking.ids)
	for _, p := range t.past {
		if p.usable(now) && len(p.ranking.ids) > 0 {
			revision = min(revision, t.majorityRevision(p.ranking.ids))
		}
	}
	if n := len(t.marks); revision == 0 || n > 0 && t.marks[n-1].revision >= revision {
		return
	}
	t.marks = append(t.marks, majorityMark{revision, now})
	// Keeps one mark that is old enough for InForce and all later ones.
	for len(t.marks) > 1 && now.Sub(t.marks[1].at) >= Validity+DispatchTimeout {
		t.marks = t.marks[1:]
	}
}

// majorityRevision returns the highest revision that a strict majority of the members hold.
func (t *Tracker) majorityRevision(ids []Identity) uint64 {
	if len(ids) == 0 {
		return 0
	}
	revisions := make([]uint64, len(ids))
	for i, id := range ids {
		if id.Name == t.self.Name {
			revisions[i] = t.revision
		} else if p := t.peers[id.Name]; p != nil {
			revisions[i] = p.last.Revision
		}
	}
	slices.Sort(revisions)
	return revisions[(len(ids)-1)/2]
}

// InForce returns the highest revision that is in force: every member has
// confirmed it, or a strict majority did so long ago that a member which has not
// confirmed it can send nothing new by an older revision.
func (t *Tracker) InForce(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.view.Members) == 0 {
		return 0
	}
	all := t.revision
	for _, m := range t.view.Members {
		all = min(all, t.revisionOf(m.Identity))
	}
	for _, mark := range t.marks {
		if now.Sub(mark.at) >= Validity+DispatchTimeout {
			all = max(all, mark.revision)
		}
	}
	return all
}

// heard reports whether the member counts as heard. A member that has just
// joined and all members after a pause of this process get Validity to be heard.
func (t *Tracker) heard(now time.Time, id Identity) bool {
	if id == t.self || now.Sub(t.runningSince) < Validity || now.Sub(t.joinedAt[id]) < Validity {
		return true
	}
	p := t.peers[id.Name]
	return p != nil && now.Sub(p.heardAt) < Validity
}

// ToRemove returns the members that a strict majority of the view has not heard
// for Validity. One direction of a cut link removes nobody.
func (t *Tracker) ToRemove(now time.Time) []Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.view.Members)
	silent := make([]int, n)
	for _, reporter := range t.view.Members {
		if reporter.Identity == t.self {
			for i, m := range t.view.Members {
				if !t.heard(now, m.Identity) {
					silent[i]++
				}
			}
			continue
		}
		p := t.peers[reporter.Name]
		if p == nil || p.last.Identity != reporter.Identity || p.last.Epoch != t.view.Epoch || now.Sub(p.sentAt) >= Validity {
			continue
		}
		if heard, ok := decodeHeard(p.last.Heard, n); ok {
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

// Heartbeat returns what the daemon tells another one now. The view is included
// when the other daemon's epoch is lower.
func (t *Tracker) Heartbeat(now time.Time, otherEpoch uint64) Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := Heartbeat{
		Identity: t.self, Revision: t.revision, Epoch: t.view.Epoch,
		Draining: t.local.Draining, Ready: t.ready, Streams: t.local.Streams,
		Heard: encodeHeard(len(t.view.Members), func(i int) bool { return t.heard(now, t.view.Members[i].Identity) }),
	}
	if age := now.Sub(t.storeAt); !t.storeAt.IsZero() && age < Validity {
		h.StoreAge, h.Head = ageMillis(age), t.storeHead
	}
	if otherEpoch < t.view.Epoch {
		view := t.view
		h.View = &view
	}
	return h
}

// Prunable returns the highest epoch of an earlier view that is known to be
// unusable together with all views before it; a writer of the view row may drop
// the changes up to it.
func (t *Tracker) Prunable(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest uint64
	for _, p := range slices.Backward(t.past) { // ascending order of epoch
		if p.usable(now) {
			break
		}
		oldest = p.epoch
	}
	return oldest
}
