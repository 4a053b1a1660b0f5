package membership

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// pastView is a replaced view that another daemon may still use.
type pastView struct {
	epoch   uint64
	ranking ranking
	// supersededAt is when a strict majority of its members was first known to
	// hold a later view or to have left; zero until then.
	supersededAt time.Time
}

func newPastView(epoch uint64, ids []Identity) pastView {
	return pastView{epoch: epoch, ranking: newRanking(ids)}
}

// mayBeInUse reports whether a member may still grant permits under the view. A
// lease confirmed by the store ends within ConfirmationValidity of the write of the
// next epoch, which precedes supersededAt; a lease confirmed by a majority ends
// within ConfirmationValidity of supersededAt.
func (p pastView) mayBeInUse(now time.Time) bool {
	return p.supersededAt.IsZero() || now.Sub(p.supersededAt) < ConfirmationValidity
}

// window is a time interval; from is inclusive, until exclusive.
type window struct{ from, until time.Time }

func (w window) contains(now time.Time) bool { return !now.Before(w.from) && now.Before(w.until) }

// Host is one member and its latest known state, as shown to callers and operators.
type Host struct {
	Member
	Ready    bool
	Draining bool
	Streams  int
	Revision uint64
	// ContactAt is the start of the latest answered heartbeat call; zero for the daemon itself.
	ContactAt time.Time
}

// Snapshot is the state of the cell as one daemon knows it at one instant. It is
// immutable and safe for concurrent use. Its methods take the current time, so the
// rights that it grants expire when no newer snapshot replaces it, as in a paused process.
type Snapshot struct {
	Self Identity
	View View
	// Revision is the highest configuration revision that the daemon has applied.
	Revision uint64
	// Ready reports that the daemon has loaded the configuration since it started.
	Ready bool
	// KnownHead is the highest revision that the store or another daemon has reported.
	KnownHead uint64
	// KnownEpoch is the highest epoch that the daemon holds or another one has reported.
	KnownEpoch uint64

	cell          string
	hosts         []Host
	ranking       ranking
	pollers       []string
	pastViews     []pastView
	poolHandovers map[poolHandoverKey]uint64
	storeReadAt   time.Time
	// contactTimes holds, by member name, the start of the latest answered call
	// that counts towards a majority.
	contactTimes map[string]time.Time
	// The revision is confirmed within either of the fresh windows, and the
	// membership lease is valid within either of the lease windows.
	freshByStore, freshByMajority, leaseByStore, leaseByMajority window
}

// publish replaces the snapshot. The caller holds the lock.
func (t *Tracker) publish() {
	s := &Snapshot{
		cell: t.cell,
		Self: t.self, View: t.view, Revision: t.appliedRevision, Ready: t.ready,
		KnownHead: max(t.appliedRevision, t.storeHead), KnownEpoch: t.view.Epoch, pastViews: slices.Clone(t.pastViews), storeReadAt: t.storeReadAt,
		ranking: t.ranking, pollers: t.pollers, contactTimes: make(map[string]time.Time, len(t.peers)),
		poolHandovers: make(map[poolHandoverKey]uint64, len(t.poolHandovers)),
	}
	for k, epoch := range t.poolHandovers {
		s.poolHandovers[k] = epoch
	}
	for name, p := range t.peers {
		s.KnownHead = max(s.KnownHead, p.lastAnswer.Revision, p.lastAnswer.StoreHead)
		s.KnownEpoch = max(s.KnownEpoch, p.highestEpoch)
		m, member := t.view.Member(name)
		// A restarted daemon, whose incarnation is not in the view, has lost the state of
		// the incarnation that is in the view. It counts only once it is ready.
		if member && (m.Identity == p.lastAnswer.Identity || p.lastAnswer.Ready) && !p.contactAt.IsZero() {
			s.contactTimes[name] = p.contactAt
		}
	}
	s.hosts = t.hostStates()
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

// majorityWindows returns the windows in which contact with a strict majority,
// instead of the store, confirms the revision and the lease. A window begins when
// the latest known read of the store, by this daemon or a peer, and the latest
// contact with a daemon that holds something newer are older than ConfirmationValidity.
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

// majorityContactUntil returns the end of the daemon's contact with a strict
// majority of the given members, itself included.
func (s *Snapshot) majorityContactUntil(ids []Identity) (time.Time, bool) {
	times := make([]time.Time, 0, len(ids))
	missing := len(ids)/2 + 1
	for _, id := range ids {
		if id.Name == s.Self.Name {
			missing--
		} else if at, ok := s.contactTimes[id.Name]; ok {
			times = append(times, at)
		}
	}
	if len(ids) == 0 || len(times) < missing {
		return time.Time{}, false
	}
	if missing == 0 { // the only member needs no other one
		return farFuture, true
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[missing-1].Add(ConfirmationValidity), true
}

var farFuture = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

func (t *Tracker) hostStates() []Host {
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

// MaySend returns an error when the daemon must not send new work now. It must be
// called right before the work is sent.
func (s *Snapshot) MaySend(now time.Time) error {
	if !s.Ready {
		return failure.NotRun(failure.NotReady, "host %s has not loaded the configuration yet", s.Self.Name)
	}
	if !s.freshByStore.contains(now) && !s.freshByMajority.contains(now) {
		return failure.NotRun(failure.Isolated,
			"host %s: revision %d was not confirmed by the table service or a strict majority within %v", s.Self.Name, s.Revision, ConfirmationValidity)
	}
	return nil
}

// MayCommit returns an error unless the daemon may accept an operator's change: it
// must reach the table service itself and a strict majority of every view that may
// be in use.
func (s *Snapshot) MayCommit(now time.Time) error {
	if s.storeReadAt.IsZero() || now.Sub(s.storeReadAt) >= ConfirmationValidity {
		return failure.NotRun(failure.StoreUnavailable, "host %s has not reached the table service within %v", s.Self.Name, ConfirmationValidity)
	}
	if !s.View.Has(s.Self) {
		return failure.NotRun(failure.NotReady, "host %s is not a member of the view of epoch %d", s.Self.Name, s.View.Epoch)
	}
	for _, ids := range s.viewsInUse(now) {
		if until, ok := s.majorityContactUntil(ids); !ok || !now.Before(until) {
			return failure.NotRun(failure.Isolated, "host %s is not in contact with a strict majority of %d members", s.Self.Name, len(ids))
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
// are a strict majority of every view that may be in use.
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

// MayGrant returns an error unless the daemon, as owner of the pool, may grant
// permits now. It must be called right before each grant.
func (s *Snapshot) MayGrant(now time.Time, pool string) error { return s.mayGrant(now, pool, 0) }

// MayGrantReserve is MayGrant for the deputy, which grants from the pool's reserve.
func (s *Snapshot) MayGrantReserve(now time.Time, pool string) error { return s.mayGrant(now, pool, 1) }

// mayGrant checks the lease and the role: rank 0 is the owner, rank 1 the deputy.
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
		if rank == 0 && s.poolHandovers[poolHandoverKey{pool, previous}] > p.epoch {
			continue
		}
		return failure.NotRun(failure.NotReady, "pool %s: the lease of host %s for epoch %d may still be valid", pool, previous.Name, p.epoch)
	}
	return nil
}

// HasLease reports whether the daemon's membership lease is valid now.
func (s *Snapshot) HasLease(now time.Time) bool { return s.HasLeaseFor(now, 0) }

// HasLeaseFor reports whether the lease is valid now and still will be after d.
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

// IsFresh reports whether the confirmation of the revision is valid now.
func (s *Snapshot) IsFresh(now time.Time) bool {
	return s.freshByStore.contains(now) || s.freshByMajority.contains(now)
}

// ConfirmedAt returns the latest instant at which the store confirmed both the
// revision and the view, directly or through a peer; zero when either was never confirmed.
func (s *Snapshot) ConfirmedAt() time.Time {
	if s.leaseByStore.from.Before(s.freshByStore.from) {
		return s.leaseByStore.from
	}
	return s.freshByStore.from
}

// Owner returns the member that grants the permits of the pool.
func (s *Snapshot) Owner(pool string) (Member, bool) { return s.memberAtRank(pool, 0) }

// Deputy returns the member that grants from the reserve of the pool.
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

// RendezvousOrder returns the names of all members in the rendezvous order of the
// cell. The first ones are the Pollers.
func (s *Snapshot) RendezvousOrder() []string { return s.ranking.namesInOrder(s.cell) }

// Hosts returns all members, sorted by name. The slice must not be changed.
func (s *Snapshot) Hosts() []Host { return s.hosts }
