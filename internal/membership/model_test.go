package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model runs trackers through random interleavings of store reads, calls, pauses,
// cut links, view changes and commits in virtual time.
type model struct {
	now             time.Time
	view            View // the view row in the store
	head            uint64
	nodes           []*modelNode
	accepted        []acceptedChange
	cutLinks        map[[2]int]bool
	lastIncarnation uint64
}

type modelNode struct {
	index         int
	tracker       *Tracker
	stopped       bool // has left: neither answers nor grants
	paused        bool
	storeDown     bool
	pendingEvents []func()
	commits       map[uint64]map[string]bool // acknowledgements of the node's own commits
}

type acceptedChange struct {
	revision   uint64
	acceptedAt time.Time
}

var modelPools = []string{"p0", "p1", "p2", "p3"}

func (m *model) start(i int) {
	m.lastIncarnation++
	name := fmt.Sprintf("h%d", i)
	m.nodes[i] = &modelNode{
		index: i, tracker: NewTracker("cell", Identity{name, m.lastIncarnation}, m.now), commits: map[uint64]map[string]bool{},
	}
}

func (m *model) linkUp(from, to int) bool { return !m.cutLinks[[2]int{from, to}] }

// writeView commits a view change. It is atomic, so the floor equals the head.
func (m *model) writeView(n *modelNode, next View) {
	oldest := n.tracker.PrunableEpoch(m.now)
	if n.tracker.Snapshot().View.Epoch == m.view.Epoch {
		next = next.Prune(oldest)
	}
	next.Floor = m.head
	m.view = next
}

func (m *model) actions(t *rapid.T) map[string]func(*rapid.T) {
	anyNode := func(t *rapid.T) *modelNode { return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")] }
	runningNode := func(t *rapid.T) *modelNode {
		n := anyNode(t)
		if n.paused || n.stopped {
			t.Skip()
		}
		return n
	}
	sendHeartbeat := func(a, b *modelNode) {
		if !m.linkUp(a.index, b.index) || b.paused || b.stopped {
			return
		}
		sent, request := m.now, a.tracker.Heartbeat(m.now, NoView)
		serve := func() {
			b.tracker.ObserveRequest(m.now, request)
			answer := b.tracker.Heartbeat(m.now, request.Epoch)
			if m.linkUp(b.index, a.index) {
				a.pendingEvents = append(a.pendingEvents, func() { a.tracker.ObserveHeartbeat(m.now, sent, answer) })
			}
		}
		b.pendingEvents = append(b.pendingEvents, serve)
	}
	deliverPending := func(n *modelNode) {
		for len(n.pendingEvents) > 0 && !n.paused && !n.stopped {
			f := n.pendingEvents[0]
			n.pendingEvents = n.pendingEvents[1:]
			f()
		}
	}
	round := func() {
		for _, a := range m.nodes {
			for _, b := range m.nodes {
				if a != b && !a.paused && !a.stopped {
					sendHeartbeat(a, b)
				}
			}
		}
		for range 2 {
			for _, n := range m.nodes {
				deliverPending(n)
			}
		}
	}
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"read": func(t *rapid.T) {
			n := runningNode(t)
			if n.storeDown {
				return
			}
			started, view, head := m.now, m.view, m.head
			n.pendingEvents = append(n.pendingEvents, func() { n.tracker.ObserveStoreRead(m.now, started, view, head) })
		},
		"call": func(t *rapid.T) {
			a, b := runningNode(t), anyNode(t)
			if a != b {
				sendHeartbeat(a, b)
			}
		},
		"round": func(t *rapid.T) { round() },
		// Partitions the daemons: one part loses the store and the links to the others.
		"split": func(t *rapid.T) {
			for i, a := range m.nodes {
				a.paused, a.storeDown = false, rapid.Bool().Draw(t, "out")
				for j, b := range m.nodes[:i] {
					m.cutLinks[[2]int{i, j}] = a.storeDown != b.storeDown
					m.cutLinks[[2]int{j, i}] = a.storeDown != b.storeDown
				}
			}
		},
		// Runs regular store reads and heartbeats for a while under the present faults.
		"work": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "ticks") {
				m.now = m.now.Add(HeartbeatInterval)
				for _, n := range m.nodes {
					if !n.paused && !n.stopped && !n.storeDown {
						n.tracker.ObserveStoreRead(m.now, m.now, m.view, m.head)
					}
				}
				round()
				m.check(t)
			}
		},
		"deliver": func(t *rapid.T) {
			n := runningNode(t)
			if len(n.pendingEvents) > 0 {
				i := rapid.IntRange(0, len(n.pendingEvents)-1).Draw(t, "message")
				f := n.pendingEvents[i]
				n.pendingEvents = append(n.pendingEvents[:i:i], n.pendingEvents[i+1:]...)
				f()
			}
		},
		"pull": func(t *rapid.T) {
			n, from := runningNode(t), anyNode(t)
			switch {
			case !n.storeDown:
				n.tracker.SetAppliedRevision(m.now, m.head)
			case !from.paused && !from.stopped && m.linkUp(n.index, from.index) && m.linkUp(from.index, n.index):
				n.tracker.SetAppliedRevision(m.now, from.tracker.Snapshot().Revision)
			}
		},
		"pause": func(t *rapid.T) { n := anyNode(t); n.paused = !n.paused },
		"cut": func(t *rapid.T) {
			key := [2]int{anyNode(t).index, anyNode(t).index}
			m.cutLinks[key] = !m.cutLinks[key]
		},
		"store": func(t *rapid.T) { n := anyNode(t); n.storeDown = !n.storeDown },
		"storeAll": func(t *rapid.T) {
			out := rapid.Bool().Draw(t, "out")
			for _, n := range m.nodes {
				n.storeDown = out
			}
		},
		"join": func(t *rapid.T) {
			n := runningNode(t)
			self := n.tracker.Snapshot().Self
			if n.storeDown || m.view.Has(self) || len(m.view.Changes) > 24 {
				return
			}
			m.writeView(n, m.view.Join(Member{Identity: self}))
		},
		"remove": func(t *rapid.T) {
			n, target := runningNode(t), anyNode(t)
			victim, ok := m.view.Member(target.tracker.Snapshot().Self.Name)
			if !n.storeDown && ok && len(m.view.Members) > 1 && len(m.view.Changes) <= 24 {
				m.writeView(n, m.view.Remove(false, victim.Identity))
			}
		},
		"leave": func(t *rapid.T) {
			n := runningNode(t)
			self := n.tracker.Snapshot().Self
			if !n.storeDown && m.view.Has(self) && len(m.view.Changes) <= 24 {
				n.stopped, n.pendingEvents = true, nil
				n.tracker.Stop(m.now)
				to := runningNode(t)
				for _, pool := range modelPools {
					to.pendingEvents = append(to.pendingEvents, func() { to.tracker.ObservePoolHandover(m.now, pool, self, AllEpochs) })
				}
				m.writeView(n, m.view.Remove(true, self))
			}
		},
		"rejoin": func(t *rapid.T) {
			if n := runningNode(t); n.tracker.Snapshot().View.Epoch == m.view.Epoch && !m.view.Has(n.tracker.Snapshot().Self) {
				m.lastIncarnation++
				n.tracker.SetIncarnation(m.now, m.lastIncarnation)
			}
		},
		"restart": func(t *rapid.T) { m.start(anyNode(t).index) },
		"startInOutage": func(t *rapid.T) {
			runningNode(t).tracker.TryReadyByMajority(m.now)
		},
		"handover": func(t *rapid.T) {
			from, to := runningNode(t), runningNode(t)
			s := from.tracker.Snapshot()
			for _, pool := range modelPools {
				if owner, ok := s.Owner(pool); ok && owner.Name != s.Self.Name && m.linkUp(from.index, to.index) {
					to.pendingEvents = append(to.pendingEvents, func() { to.tracker.ObservePoolHandover(m.now, pool, s.Self, s.View.Epoch) })
				}
			}
		},
		"commit": func(t *rapid.T) {
			n := runningNode(t)
			s := n.tracker.Snapshot()
			// The transaction checks the version of the view row.
			if n.storeDown || s.MayCommit(m.now) != nil || s.View.Epoch != m.view.Epoch {
				return
			}
			m.head++
			revision := m.head
			n.tracker.SetAppliedRevision(m.now, revision)
			n.commits[revision] = map[string]bool{}
			for _, other := range m.nodes {
				if other != n && m.linkUp(n.index, other.index) && m.linkUp(other.index, n.index) {
					other.pendingEvents = append(other.pendingEvents, func() {
						other.tracker.SetAppliedRevision(m.now, revision)
						if acks := n.commits[revision]; acks != nil {
							acks[other.tracker.Snapshot().Self.Name] = true
						}
					})
				}
			}
		},
		"": m.check,
	}
}

func (m *model) check(t *rapid.T) {
	for _, n := range m.nodes {
		for revision, acks := range n.commits {
			if n.tracker.Snapshot().IsMajority(m.now, acks) {
				m.accepted = append(m.accepted, acceptedChange{revision, m.now})
				delete(n.commits, revision)
			}
		}
	}
	for _, pool := range modelPools {
		owners, deputies := 0, 0
		for _, n := range m.nodes {
			s := n.tracker.Snapshot()
			if !n.stopped && s.MayGrant(m.now, pool) == nil {
				owners++
			}
			if !n.stopped && s.MayGrantReserve(m.now, pool) == nil {
				deputies++
			}
		}
		if owners > 1 || deputies > 1 {
			t.Fatalf("pool %s: %d daemons grant as owner and %d as deputy", pool, owners, deputies)
		}
	}
	for _, n := range m.nodes {
		s := n.tracker.Snapshot()
		for _, a := range m.accepted {
			if !n.stopped && s.Revision < a.revision && m.now.Sub(a.acceptedAt) >= ConfirmationValidity && s.MaySend(m.now) == nil {
				t.Fatalf("%s sends under revision %d although %d was accepted %v ago", s.Self.Name, s.Revision, a.revision, m.now.Sub(a.acceptedAt))
			}
		}
	}
}

// Guards against two daemons that grant for one pool in the same role, and against
// new work under a revision that an accepted change has replaced, under any
// interleaving of faults.
func TestGrantsAreExclusiveAndAcceptedChangesAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		m := &model{now: time.Unix(1_700_000_000, 0), nodes: make([]*modelNode, n), cutLinks: map[[2]int]bool{}}
		for i := range n {
			m.start(i)
			m.view = m.view.Join(Member{Identity: m.nodes[i].tracker.Snapshot().Self})
		}
		for _, node := range m.nodes {
			node.tracker.ObserveStoreRead(m.now, m.now, m.view, m.head)
		}
		t.Repeat(m.actions(t))
	})
}
