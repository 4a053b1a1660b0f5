package membership

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// pastView is an earlier view that another daemon may still use.
type pastView struct {
	epoch   uint64
	ranking ranking
	// supersededAt is when a strict majority of its members was known to have moved on.
	supersededAt time.Time
}

func newPastView(epoch uint64, ids []Identity) pastView {
	return pastView{epoch: epoch, ranking: newRanking(ids)}
}

// mayBeInUse reports whether a member of the view may still grant by it. A lease by
// the store ends within Validity of the next epoch, which precedes settledAt; a
// lease in outage mode ends within Validity of settledAt.
func (p pastView) mayBeInUse(now time.Time) bool {
	return p.supersededAt.IsZero() || now.Sub(p.supersededAt) < ConfirmationValidity
}

// window is the time from From (inclusive) to Until (exclusive).
type window struct{ from, until time.Time }

func (w window) contains(now time.Time) bool { return !now.Before(w.from) && now.Before(w.until) }

// Host is a row for callers and operators: one member and its latest state.
type Host struct {
	Member
	Ready    bool
	Draining bool
	Streams  int
	Revision uint64
	// ContactAt is the start of the latest answered call; zero for the daemon itself.
	ContactAt time.Time
}

// Snapshot is the state of the cell as one daemon knows it at one instant. It is
// immutable and safe for concurrent use. Its rules take the caller's now, so a
// snapshot that is not replaced, as in a paused process, expires by itself.
type Snapshot struct {
	Self     Identity
	View     View
	Revision uint64
	// Ready reports that the daemon has learned the configuration since it started.
	Ready bool
	// KnownHead is the highest revision that the store or another daemon has shown.
	KnownHead uint64
	// KnownEpoch is the highest epoch that another daemon has shown.
	KnownEpoch uint64

	cell        string
	hosts       []Host
	ranking     ranking
	pollers     []string
	pastViews   []pastView
	handovers   map[handoverKey]uint64
	storeReadAt time.Time
	// contactTimes are the starts of the latest calls that count towards a majority.
	contactTimes map[string]time.Time
	// The daemon has freshness or a lease within any of the two windows.
	freshByStore, freshByMajority, leaseByStore, leaseByMajority window
}

// publish builds the snapshot; the caller holds the lock.
func (t *Tracker) publish() {
	s := &Snapshot{
		cell: t.cell,
		Self: t.self, View: t.view, Revision: t.appliedRevision, Ready: t.ready,
		KnownHead: max(t.appliedRevision, t.storeHead), KnownEpoch: t.view.Epoch, pastViews: slices.Clone(t.pastViews), storeReadAt: t.storeReadAt,
		ranking: t.ranking, pollers: t.pollers, contactTimes: make(map[string]time.Time, len(t.peers)),
		handovers: make(map[handoverKey]uint64, len(t.handovers)),
	}
	for k, epoch := range t.handovers {
		s.handovers[k] = epoch
	}
	for name, p := range t.peers {
		s.KnownHead = max(s.KnownHead, p.lastAnswer.Revision, p.lastAnswer.StoreHead)
		s.KnownEpoch = max(s.KnownEpoch, p.highestEpoch)
		m, member := t.view.Member(name)
		// A run that is not in the view has forgotten what the run in the view
		// knew, until it is ready.
		if member && (m.Identity == p.lastAnswer.Identity || p.lastAnswer.Ready) && !p.contactAt.IsZero() {
			s.contactTimes[name] = p.contactAt
		}
	}
	s.hosts = t.hostRows()
	s.freshByStore, s.leaseByStore = validityWindow(t.revisionConfirmedAt), validityWindow(t.viewConfirmedAt)
	s.freshByMajority, s.leaseByMajority = t.majorityWindows(s)
	if t.stopped {
		s.freshByStore, s.leaseByStore, s.freshByMajority, s.leaseByMajority = window{}, window{}, window{}, window{}
	}
	t.snapshot.Store(s)
}

func validityWindow(at time.Time) window {
	if at.IsZero() {
		return window{}
	}
	return window{from: at, until: at.Add(ConfirmationValidity)}
}

// majorityWindows returns the windows in which the majority rule gives freshness and the
// lease. A window begins when no known contact with the store and no contact with
// a daemon that holds something newer is left within Validity.
func (t *Tracker) majorityWindows(s *Snapshot) (fresh, lease window) {
	until, ok := s.majorityContactUntil(s.ranking.ids)
	if !ok || !t.ready {
		return window{}, window{}
	}
	var from time.Time
	later := func(a, b time.Time) time.Time {
		if b.After(a) {
			return b
		}
		return a
	}
	if !t.storeReadAt.IsZero() {
		from = t.storeReadAt.Add(ConfirmationValidity)
	}
	for _, p := range t.peers {
		if at, ok := p.storeContactAt(); ok {
			from = later(from, at.Add(ConfirmationValidity))
		}
	}
	fresh, lease = window{from, until}, window{from, until}
	if t.appliedRevision < t.view.Floor {
		fresh = window{}
	}
	for _, p := range t.peers {
		expires := p.contactAt.Add(ConfirmationValidity)
		if max(p.lastAnswer.Revision, p.lastAnswer.StoreHead) > t.appliedRevision {
			fresh.from = later(fresh.from, expires)
		}
		if p.lastAnswer.Epoch > t.view.Epoch {
			lease.from = later(lease.from, expires)
		}
	}
	return fresh, lease
}

// majorityContactUntil returns until when the daemon is in contact with a strict
// majority of the given members, itself included.
func (s *Snapshot) majorityContactUntil(ids []Identity) (time.Time, bool) {
	times := make([]time.Time, 0, len(ids))
	need := len(ids)/2 + 1
	for _, id := range ids {
		if id.Name == s.Self.Name {
			need--
		} else if at, ok := s.contactTimes[id.Name]; ok {
			times = append(times, at)
		}
	}
	if len(ids) == 0 || len(times) < need {
		return time.Time{}, false
	}
	if need == 0 { // the only member is always in contact with itself
		return farFuture, true
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1].Add(ConfirmationValidity), true
}

var farFuture = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

func (t *Tracker) hostRows() []Host {
	hosts := make([]Host, len(t.view.Members))
	for i, m := range t.view.Members {
		hosts[i] = Host{Member: m}
		if m.Name == t.self.Name {
			hosts[i].Ready, hosts[i].Draining, hosts[i].Streams = t.ready, t.localState.Draining, t.localState.Streams
			hosts[i].Revision = t.appliedRevision
		} else if p := t.peers[m.Name]; p != nil {
			hosts[i].Ready, hosts[i].Draining, hosts[i].Streams = p.lastAnswer.Ready, p.lastAnswer.Draining, p.lastAnswer.Streams
			hosts[i].Revision, hosts[i].ContactAt = p.lastAnswer.Revision, p.contactAt
		}
	}
	return hosts
}

// MaySend reports whether the daemon may send new work now. It must be called
// right before the work is sent.
func (s *Snapshot) MaySend(now time.Time) error {
	if !s.Ready {
		return failure.NotRun(failure.NotReady, "host %s has not learned the configuration yet", s.Self.Name)
	}
	if !s.freshByStore.contains(now) && !s.freshByMajority.contains(now) {
		return failure.NotRun(failure.Isolated,
			"host %s: revision %d was not confirmed by the table service or a strict majority within %v", s.Self.Name, s.Revision, ConfirmationValidity)
	}
	return nil
}

// MayCommit reports whether the daemon may accept an operator's change: it reaches
// the table service itself and a strict majority of every view still in use.
func (s *Snapshot) MayCommit(now time.Time) error {
	if s.storeReadAt.IsZero() || now.Sub(s.storeReadAt) >= ConfirmationValidity {
		return failure.NotRun(failure.StoreUnavailable, "host %s has not reached the table service within %v", s.Self.Name, ConfirmationValidity)
	}
	if !s.View.Has(s.Self) {
		return failure.NotRun(failure.NotReady, "host %s is not a member of the view of epoch %d", s.Self.Name, s.View.Epoch)
	}
	for _, ids := range s.viewsInUse(now) {
		if until, ok := s.majorityContactUntil(ids); !ok || !now.Before(until) {
			return failure.NotRun(failure.Isolated, "host %s does not reach a strict majority of %d members", s.Self.Name, len(ids))
		}
	}
	return nil
}

func (s *Snapshot) viewsInUse(now time.Time) [][]Identity {
	views := [][]Identity{s.ranking.ids}
	for _, p := range s.pastViews {
		if p.mayBeInUse(now) && len(p.ranking.ids) > 0 {
			views = append(views, p.ranking.ids)
		}
	}
	return views
}

// IsMajority reports whether the named members, together with the daemon itself,
// are a strict majority of every view still in use.
func (s *Snapshot) IsMajority(now time.Time, names map[string]bool) bool {
	for _, ids := range s.viewsInUse(now) {
		count := 0
		for _, id := range ids {
			if id.Name == s.Self.Name || names[id.Name] {
				count++
			}
		}
		if count <= len(ids)/2 {
			return false
		}
	}
	return true
}

// MayGrant reports whether the daemon may grant permits of the owner's part of
// the pool now. It must be called right before each grant.
func (s *Snapshot) MayGrant(now time.Time, pool string) error { return s.mayGrant(now, pool, 0) }

// MayGrantReserve is MayGrant for the deputy's reserve.
func (s *Snapshot) MayGrantReserve(now time.Time, pool string) error { return s.mayGrant(now, pool, 1) }

func (s *Snapshot) mayGrant(now time.Time, pool string, rank int) error {
	if !s.HasLease(now) {
		return failure.NotRun(failure.Isolated, "host %s: epoch %d was not confirmed within %v", s.Self.Name, s.View.Epoch, ConfirmationValidity)
	}
	if granter, ok := s.ranking.memberAt(pool, rank); !ok || granter != s.Self {
		return failure.NotRun(failure.NotReady, "pool %s is not served by host %s in epoch %d", pool, s.Self.Name, s.View.Epoch)
	}
	for _, p := range s.pastViews {
		if !p.mayBeInUse(now) {
			continue
		}
		previous, ok := p.ranking.memberAt(pool, rank)
		if !ok || previous == s.Self {
			continue
		}
		if rank == 0 && s.handovers[handoverKey{pool, previous}] > p.epoch {
			continue
		}
		return failure.NotRun(failure.NotReady, "pool %s: the lease of host %s for epoch %d may not have ended", pool, previous.Name, p.epoch)
	}
	return nil
}

// HasLease reports whether the daemon's membership lease is valid now.
func (s *Snapshot) HasLease(now time.Time) bool { return s.HasLeaseFor(now, 0) }

// HasLeaseFor reports whether the lease is valid now and for the given time on.
func (s *Snapshot) HasLeaseFor(now time.Time, d time.Duration) bool {
	if !s.View.Has(s.Self) {
		return false
	}
	for _, w := range []window{s.leaseByStore, s.leaseByMajority} {
		if w.contains(now) && w.contains(now.Add(d)) {
			return true
		}
	}
	return false
}

// IsFresh reports whether the revision is confirmed now.
func (s *Snapshot) IsFresh(now time.Time) bool {
	return s.freshByStore.contains(now) || s.freshByMajority.contains(now)
}

// ConfirmedAt returns the latest instant at which the store confirmed the revision
// and the view, directly or by a peer; zero when one of them never was.
func (s *Snapshot) ConfirmedAt() time.Time {
	if s.leaseByStore.from.Before(s.freshByStore.from) {
		return s.leaseByStore.from
	}
	return s.freshByStore.from
}

// Owner returns the member that grants permits of the pool.
func (s *Snapshot) Owner(pool string) (Member, bool) { return s.memberAtRank(pool, 0) }

// Deputy returns the member that holds the reserve of the pool.
func (s *Snapshot) Deputy(pool string) (Member, bool) { return s.memberAtRank(pool, 1) }

// Controller returns the member that decides on the named rollout.
func (s *Snapshot) Controller(name string) (Member, bool) { return s.memberAtRank("rollout/"+name, 0) }

func (s *Snapshot) memberAtRank(key string, rank int) (Member, bool) {
	id, ok := s.ranking.memberAt(key, rank)
	if !ok {
		return Member{}, false
	}
	return s.View.Member(id.Name)
}

// Pollers returns the names of the members that poll the store, in rendezvous
// order. The slice must not be changed.
func (s *Snapshot) Pollers() []string { return s.pollers }

// RendezvousOrder returns the names of all members in the rendezvous order of the cell, of
// which Pollers are the first.
func (s *Snapshot) RendezvousOrder() []string { return s.ranking.namesInOrder(s.cell) }

// Hosts returns one row for each member, sorted by name. The slice must not be changed.
func (s *Snapshot) Hosts() []Host { return s.hosts }
