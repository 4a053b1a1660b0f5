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
	"sync/atomic"
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
	// DataCentre and the addresses are left out of most datagrams; they are the same for
	// an incarnation.
	DataCentre string
	// CallerAddress is where callers connect, PeerAddress where other hosts do.
	CallerAddress string
	PeerAddress   string
	// Age is the time since the host's last sign of life that the sender knows of, in
	// milliseconds; 0 for the sender itself.
	Age int64 `msgpack:"-"`
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

// Message is one datagram. What is not in its first form is in the extension.
type Message struct {
	Self   Member
	Others []Member
	Tables map[string]TableState
	Loads  map[string]balance.Load
	// Losses counts the broken runs of suspected requests at the sender.
	Losses map[uint64]int
	// Evidence is the sender's evidence on rollouts by service, in full rounds.
	Evidence map[string][]byte
	// Reply is set in answers, which are not answered again.
	Reply bool
	// Content tells what Loads holds and whether the tables are stated.
	Content Content
	// Notices names the engines that told the sender that they leave.
	Notices []catalog.LeaveNotice `msgpack:"-"`
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
	// othersPerMessage bounds the members in a datagram to a host of the own cell, and
	// othersForStarting those in an answer to a host that starts.
	othersPerMessage  = 3
	othersForStarting = 24
)

type entry struct {
	member Member
	seen   time.Time
	// heard is the latest datagram of the host itself.
	heardIncarnation int64
	heardBeat        uint64
	// told is when the host was last sent all loads.
	told time.Time
	// since is when this host learnt of the incarnation.
	since time.Time
	// far is set while the host is in another cell.
	far bool
}

func (e *entry) live(now time.Time) bool {
	if e.far {
		return now.Sub(e.seen) <= farSilence
	}
	return now.Sub(e.seen) <= Silence
}

// Table holds the hosts that this host knows. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	self   Member
	others map[string]*entry
	random *rand.Rand
	turn   int

	cells atomic.Pointer[Cells]
}

// NewTable returns a table that knows only its own host.
func NewTable(self Member) *Table {
	t := &Table{self: self, others: make(map[string]*entry), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), turn: rand.IntN(1 << 16)}
	t.cells.Store(&Cells{})
	return t
}

// Cells returns the cells of the site, as they were in the last round.
func (t *Table) Cells() *Cells { return t.cells.Load() }

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

// Beat counts one message and returns what it says of this host; full adds what is the
// same for an incarnation.
func (t *Table) Beat(full bool) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	if !full {
		return t.self.brief()
	}
	return t.self
}

// Introduced returns up to limit hosts, drawn at random, of whom another host is told:
// those of its cell on a divided site, and any others else.
func (t *Table) Introduced(to Member, now time.Time, limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	cells, candidates := t.Cells(), t.liveLocked(now)
	if cells.Divided() {
		candidates = slices.Clone(cells.Around(to.DataCentre, to.Name))
	}
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return t.told(candidates[:min(len(candidates), limit)], now)
}

// told returns what is told of hosts.
func (t *Table) told(hosts []Member, now time.Time) []Member {
	out := make([]Member, 0, len(hosts))
	for _, m := range hosts {
		if e := t.others[m.Name]; e != nil {
			m = e.member
			m.Age = now.Sub(e.seen).Milliseconds()
			out = append(out, m)
		}
	}
	return out
}

// Digest returns the other hosts of this host's cell, as they are told to other cells.
// Hosts are introduced with their addresses while they are new, or all of them.
func (t *Table) Digest(now time.Time, introduce bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.told(t.Cells().Near(), now)
	for i, m := range out {
		if !introduce && now.Sub(t.others[m.Name].since) >= introduceFor {
			out[i] = m.brief()
		}
	}
	return out
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

// learnLocked takes news of a host; direct is set if the host sent it itself.
func (t *Table) learnLocked(m Member, now time.Time, direct bool) bool {
	if m.Name == t.self.Name || m.Name == "" {
		return false
	}
	e, seen := t.others[m.Name], now.Add(-time.Duration(m.Age)*time.Millisecond)
	if m.PeerAddress == "" {
		if e == nil || e.member.Incarnation != m.Incarnation {
			return false // the next full datagram introduces the host
		}
		m.DataCentre, m.CallerAddress, m.PeerAddress = e.member.DataCentre, e.member.CallerAddress, e.member.PeerAddress
	}
	if e == nil {
		far := !t.Cells().Own(m.DataCentre, m.Name)
		t.others[m.Name] = &entry{member: m, seen: seen, since: now, far: far}
		return true
	}
	// The time of day may go back before a restart; a host that was silent and now
	// speaks for itself under another incarnation has restarted.
	restarted := direct && m.Incarnation != e.member.Incarnation && now.Sub(e.seen) > Silence
	if !restarted && !m.newer(e.member) {
		return false
	}
	changed := e.member.State != m.State || e.member.Incarnation != m.Incarnation
	if e.member.Incarnation != m.Incarnation {
		e.since = now
	}
	e.member = m
	if seen.After(e.seen) {
		e.seen = seen
	}
	return changed
}

// Tick drops hosts that have long been gone and divides the site anew. It reports
// whether this host's data centre is divided otherwise than before.
func (t *Table) Tick(now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.others {
		if now.Sub(e.seen) > forgetAfter {
			delete(t.others, name)
		}
	}
	cells := divide(t.self, t.liveLocked(now))
	for name, e := range t.others {
		e.far = !cells.Own(e.member.DataCentre, name)
	}
	return t.cells.Swap(cells).Parts() != cells.Parts()
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
		if e.live(now) {
			n++
		}
	}
	return n
}

func (t *Table) liveLocked(now time.Time) []Member {
	var out []Member
	for _, e := range t.others {
		if e.live(now) {
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
	return append(t.rotate(t.liveLocked(now), limit), t.silentLocked(now)...)
}

// Silent returns a host that was silent for a while, if there is one.
func (t *Table) Silent(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silentLocked(now)
}

func (t *Table) silentLocked(now time.Time) []Member {
	for _, e := range t.others {
		if !e.live(now) {
			return []Member{e.member}
		}
	}
	return nil
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

// Near reports whether a host is known and in this host's cell.
func (t *Table) Near(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	return e != nil && !e.far
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
func (t *Table) Rank(now time.Time) int { return t.rank(t.Live(now)) }

// CellRank returns this host's place, from 0, among those of its cell that are not leaving.
func (t *Table) CellRank(now time.Time) int {
	cells := t.Cells()
	return t.rank(slices.DeleteFunc(t.Live(now), func(m Member) bool { return !cells.Own(m.DataCentre, m.Name) }))
}

func (t *Table) rank(live []Member) int {
	self, rank := t.Self().Name, 0
	for _, m := range live {
		if m.State != Leaving && m.Name < self {
			rank++
		}
	}
	return rank
}
