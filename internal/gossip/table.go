// Package gossip tells hosts of each other: who lives, which revisions of the
// mirrored tables they hold and what they run on upstreams. Each host sends a
// datagram to some others several times a second; a datagram carries the sender's
// own state and some members that it knows. Table is pure.
package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
)

// State is what a host says of itself.
type State string

// The states of a host.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving"
)

// Member is one host.
type Member struct {
	Name string
	// Incarnation is the start of the process in Unix milliseconds; Beat grows
	// while it lives. A higher pair is newer.
	Incarnation int64
	Beat        uint64
	State       State
	// The rest is left out of most datagrams; it is the same for an incarnation.
	DataCentre string
	// CallerAddress is where callers connect, PeerAddress where other hosts do.
	CallerAddress string
	PeerAddress   string
}

// brief returns the member without what is the same for an incarnation.
func (m Member) brief() Member {
	m.DataCentre, m.CallerAddress, m.PeerAddress = "", "", ""
	return m
}

func (m Member) newer(than Member) bool {
	if m.Incarnation != than.Incarnation {
		return m.Incarnation > than.Incarnation
	}
	return m.Beat > than.Beat
}

// TableState is what a host holds of a mirrored table.
type TableState struct {
	// Revision is that of the last change of a row.
	Revision uint64
	// Age is the time since the store confirmed the revision, in milliseconds; -1 is never.
	Age int64
}

// Message is one datagram.
type Message struct {
	Self   Member
	Others []Member
	Tables map[string]TableState
	Loads  map[string]balance.Load
	// Losses counts the broken runs of suspected requests at the sender.
	Losses map[uint64]int
	// Notices names the engines that told the sender that they leave.
	Notices []catalog.Notice
	// Evidence is the sender's evidence on rollouts by service, in full rounds.
	Evidence map[string][]byte
	// Reply is set in answers, which are not answered again.
	Reply bool
	// Content tells what Loads holds and whether the tables are stated.
	Content Content
}

// Content is how much a datagram says.
type Content int

const (
	// AllLoads states the tables and all loads of the sender.
	AllLoads Content = iota
	// ChangedLoads states only the loads that have changed just now.
	ChangedLoads
	// NoLoads states the tables only; the loads are as they were.
	NoLoads
)

const (
	// Silence is the time without news after which a host counts as gone. Hosts
	// send several times a second, so it stands for many lost datagrams.
	Silence = 2500 * time.Millisecond
	// forgetAfter drops hosts that have long been gone.
	forgetAfter = time.Minute
	// loadsInterval is the time after which a host is sent all loads again, in case a
	// datagram with a change was lost. Reports count for three times as long.
	loadsInterval = time.Second
	// nearAll is the number of hosts that one host tells of a change at once; the
	// largest site measured has 90.
	nearAll = 96
	// othersPerMessage bounds the members in a datagram.
	othersPerMessage = 3
)

type entry struct {
	member Member
	seen   time.Time
	// heard is the latest datagram of the host itself.
	heardIncarnation int64
	heardBeat        uint64
	// told is when the host was last sent all loads.
	told time.Time
}

// Table holds the hosts that this host knows. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	self   Member
	others map[string]*entry
	random *rand.Rand
	turn   int
}

// NewTable returns a table that knows only its own host.
func NewTable(self Member) *Table {
	return &Table{self: self, others: make(map[string]*entry), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), turn: rand.IntN(1 << 16)}
}

// SetState changes what this host says of itself.
func (t *Table) SetState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = s
	t.self.Beat++
}

// Self returns this host.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Beat counts one round and returns what is said of this host and, in a full round,
// of some others.
func (t *Table) Beat(now time.Time, full bool) (Member, []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	if !full {
		return t.self.brief(), nil
	}
	live := t.liveLocked(now)
	t.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return t.self, live[:min(len(live), othersPerMessage)]
}

// Learn merges a message. It reports whether the sender is new or has changed its state.
func (t *Table) Learn(m Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.learnLocked(m.Self, now, true)
	for _, o := range m.Others {
		t.learnLocked(o, now, false)
	}
	return changed
}

// InOrder reports whether a datagram of the member itself is newer than those before.
// Datagrams may overtake each other.
func (t *Table) InOrder(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[m.Name]
	if e == nil || m.Incarnation != e.member.Incarnation {
		return false
	}
	if m.Incarnation == e.heardIncarnation && m.Beat <= e.heardBeat {
		return false
	}
	e.heardIncarnation, e.heardBeat = m.Incarnation, m.Beat
	return true
}

// TellAll reports whether the host is due to be sent all loads, and notes that it is.
func (t *Table) TellAll(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	if e == nil || now.Sub(e.told) >= loadsInterval {
		if e != nil {
			e.told = now
		}
		return true
	}
	return false
}

// Near returns the live hosts that are told of changed loads at once: all of them,
// or from a certain number on those of the host's own data centre.
func (t *Table) Near(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.liveLocked(now)
	if len(live) <= nearAll {
		return live
	}
	var out []Member
	for _, m := range live {
		if m.DataCentre == t.self.DataCentre && len(out) < nearAll {
			out = append(out, m)
		}
	}
	return out
}

// learnLocked takes news of a host; direct is set if the host sent it itself.
func (t *Table) learnLocked(m Member, now time.Time, direct bool) bool {
	if m.Name == t.self.Name || m.Name == "" {
		return false
	}
	e := t.others[m.Name]
	if m.PeerAddress == "" {
		if e == nil || e.member.Incarnation != m.Incarnation {
			return false // the next full datagram introduces the host
		}
		m.DataCentre, m.CallerAddress, m.PeerAddress = e.member.DataCentre, e.member.CallerAddress, e.member.PeerAddress
	}
	if e == nil {
		t.others[m.Name] = &entry{member: m, seen: now}
		return true
	}
	// The time of day may go back before a restart; a host that was silent and now
	// speaks for itself under another incarnation has restarted.
	restarted := direct && m.Incarnation != e.member.Incarnation && now.Sub(e.seen) > Silence
	if !restarted && !m.newer(e.member) {
		return false
	}
	changed := e.member.State != m.State || e.member.Incarnation != m.Incarnation
	e.member, e.seen = m, now
	return changed
}

// Tick drops hosts that have long been gone.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.others {
		if now.Sub(e.seen) > forgetAfter {
			delete(t.others, name)
		}
	}
}

// Live returns the other hosts that were heard of lately, by name.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked(now)
}

// CountLive returns the number of other hosts that were heard of lately.
func (t *Table) CountLive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.others {
		if now.Sub(e.seen) <= Silence {
			n++
		}
	}
	return n
}

func (t *Table) liveLocked(now time.Time) []Member {
	var out []Member
	for _, e := range t.others {
		if now.Sub(e.seen) <= Silence {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Targets returns up to limit hosts that are sent to; hosts that were silent for a
// while are tried now and then, since both ends of a healed cut wait for the other.
func (t *Table) Targets(now time.Time, limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.rotate(t.liveLocked(now), limit)
	for _, e := range t.others {
		if now.Sub(e.seen) > Silence {
			return append(out, e.member)
		}
	}
	return out
}

// rotate returns the next members in turn, so that each is reached after the same
// number of rounds; a random choice would leave some out for too long.
func (t *Table) rotate(live []Member, limit int) []Member {
	if len(live) <= limit {
		return live
	}
	out := make([]Member, 0, limit)
	for range limit {
		t.turn++
		out = append(out, live[t.turn%len(live)])
	}
	return out
}

// PeerAddress returns where a host takes calls of other hosts.
func (t *Table) PeerAddress(name string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	if e == nil {
		return "", false
	}
	return e.member.PeerAddress, true
}

// Rank returns this host's place, from 0, among the hosts that are not leaving.
func (t *Table) Rank(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for _, m := range t.liveLocked(now) {
		if m.State != Leaving && m.Name < t.self.Name {
			rank++
		}
	}
	return rank
}
