// Package gossip exchanges state between hosts: which hosts are live, which revisions
// of the mirrored tables they hold and which load they put on upstreams. Each host sends a
// datagram to some others several times a second; a datagram carries the sender's
// own state and some members that it knows. Table does no I/O and does not read the clock.
package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanscale/rattanscale/internal/balance"
	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/promptparts"
	"github.com/rattanscale/rattanscale/internal/retry"
	"github.com/rattanscale/rattanscale/internal/upstreamlimit"
)

// State is the state that a host reports of itself.
type State string

// The states of a host.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "leaving"
)

// Member is one host.
type Member struct {
	Name string
	// Incarnation is the start of the process in Unix milliseconds. Heartbeat grows with
	// each message and each change of State. A higher pair is newer.
	Incarnation int64
	Heartbeat   uint64 `msgpack:"Beat"`
	State       State
	// DataCentre and the addresses do not change during an incarnation, so most datagrams
	// omit them.
	DataCentre string
	// CallerAddress is the address for callers, PeerAddress the one for other hosts.
	CallerAddress string
	PeerAddress   string
	// Age is the time in milliseconds since the host was last seen, as known to the sender;
	// 0 for the sender itself.
	Age int64 `msgpack:"-"`
}

// withoutStaticFields returns the member without the fields that do not change during an
// incarnation.
func (m Member) withoutStaticFields() Member {
	m.DataCentre, m.CallerAddress, m.PeerAddress = "", "", ""
	return m
}

func (m Member) newerThan(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Heartbeat > other.Heartbeat
}

// TableState is the state of a host's copy of a mirrored table.
type TableState struct {
	// Revision is the revision of the last change of a row.
	Revision uint64
	// Age is the time in milliseconds since the store confirmed the revision; -1 if it never did.
	Age int64
}

// Message is one datagram. Fields that the first version of the format does not have are
// encoded in the extension.
type Message struct {
	Self   Member
	Others []Member
	Tables map[string]TableState
	Loads  map[string]balance.Load
	// Losses counts, by request fingerprint, the runs that failed at the sender.
	Losses map[uint64]int
	// Evidence is the sender's evidence on rollouts by service; only set in full messages.
	Evidence map[string][]byte
	// Reply is set in replies, which are not replied to again.
	Reply bool
	// Content states what Loads holds and whether Tables is set.
	Content Content
	// Notices names the engines that have notified the sender that they leave.
	Notices []catalog.LeaveNotice `msgpack:"-"`
	// PromptParts is what the sender has seen of prompt parts that crash engines.
	PromptParts promptparts.Report `msgpack:"-"`
	// Limits is what upstreams said to the sender about the requests per second they take.
	Limits []upstreamlimit.Statement `msgpack:"-"`
	// WantsAddresses asks the receiver for the members of its cell with their addresses.
	WantsAddresses bool `msgpack:"-"`
	// Sections holds further content.
	Sections []Section `msgpack:"-"`
	// Split is set if the datagram holds only a part of a message.
	Split *Split `msgpack:"-"`
}

// Content states which parts of a message are set.
type Content int

const (
	// AllLoads is a message with the tables and all loads of the sender.
	AllLoads Content = iota
	// ChangedLoads is a message with only the loads that have just changed.
	ChangedLoads
	// NoLoads is a message with the tables only; the loads are unchanged.
	NoLoads
)

const (
	// FailureTimeout is the time since it was last seen after which a host counts as failed.
	// Hosts send several times a second, so only the loss of many datagrams reaches it.
	FailureTimeout = 2500 * time.Millisecond
	// recentlySeen is the time since it was last seen after which no host waits for another
	// one to act first. It is several rounds, also those within a cell of a divided site.
	recentlySeen = time.Second
	// removalTimeout is the time since it was last seen after which a host is removed.
	removalTimeout = time.Minute
	// fullLoadsInterval is the interval at which all loads are sent to a host again, in case a
	// datagram with a change was lost. Reports expire after three times this interval.
	fullLoadsInterval = time.Second
	// maxMembersPerMessage bounds the members in a datagram to a host of the own cell, and
	// maxMembersForStartingHost those in the reply to a starting host.
	maxMembersPerMessage      = 3
	maxMembersForStartingHost = 24
	// unknownSiteHosts is the number of hosts that a host assumes while it knows no other and has
	// not read how many there are.
	unknownSiteHosts = 64
	// storedHostsNewsPeriod is how long a changed number of hosts in the store is sent to others,
	// who may miss some datagrams. Starting hosts learn it with the reply to their first message.
	storedHostsNewsPeriod = 10 * time.Second
)

type entry struct {
	member   Member
	lastSeen time.Time
	// receivedIncarnation and receivedHeartbeat are those of the newest datagram received
	// from the host itself.
	receivedIncarnation int64
	receivedHeartbeat   uint64
	// loadsSentAt is when all loads were last sent to the host.
	loadsSentAt         time.Time
	incarnationLearntAt time.Time
	inOtherCell         bool
	// inDigestAt is when the host was last named by a digest.
	inDigestAt time.Time
}

func (e *entry) live(now time.Time) bool {
	// While a site grows or shrinks, hosts disagree for some seconds on whether it is divided.
	// A host that is named by digests is heard of once a second, whatever this host believes.
	if e.inOtherCell || now.Sub(e.inDigestAt) <= remoteFailureTimeout {
		return now.Sub(e.lastSeen) <= remoteFailureTimeout
	}
	return now.Sub(e.lastSeen) <= FailureTimeout
}

// isDigest reports whether the message is the digest of the sender's cell. Other messages without
// loads introduce fewer members.
func (m *Message) isDigest() bool {
	continues := m.Split != nil && m.Split.Continuation
	return (m.Content == NoLoads || continues) && len(m.Others) > maxMembersPerMessage
}

// Table is the membership table of a host. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	self     Member
	others   map[string]*entry
	random   *rand.Rand
	rotation int
	// addressesWanted is set while reports were ignored because they lacked addresses.
	addressesWanted bool
	// storedChangedAt is when the number of stored has changed.
	storedChangedAt time.Time

	cells        atomic.Pointer[Cells]
	limitSharers atomic.Pointer[upstreamlimit.Sharers]
	stored       atomic.Pointer[StoredHosts]
}

// StoredHosts is what is known of the table of hosts in the store.
type StoredHosts struct {
	// Count is the number of hosts in the table as of the store's revision. If Revision is 0,
	// there may be more.
	Count    int
	Revision uint64
}

// NewTable returns a table that knows only its own host.
func NewTable(self Member) *Table {
	t := &Table{self: self, others: make(map[string]*entry), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), rotation: rand.IntN(1 << 16)}
	t.cells.Store(&Cells{})
	t.limitSharers.Store(upstreamlimit.NewSharers(self.Name, nil))
	return t
}

// Cells returns the cells of the site as of the last Refresh.
func (t *Table) Cells() *Cells { return t.cells.Load() }

// SetState changes the state that this host reports of itself.
func (t *Table) SetState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = s
	t.self.Heartbeat++
}

func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// NextHeartbeat increments the heartbeat and returns this host for the next message. Without
// full, the fields that do not change during an incarnation are left out.
func (t *Table) NextHeartbeat(full bool) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Heartbeat++
	if !full {
		return t.self.withoutStaticFields()
	}
	return t.self
}

// MembersToIntroduce returns up to limit random hosts to include in a message to another host.
// On a divided site they are hosts of that host's cell.
func (t *Table) MembersToIntroduce(to Member, now time.Time, limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	cells, candidates := t.Cells(), t.liveLocked(now)
	if cells.Divided() {
		candidates = slices.Clone(cells.HostsInCellOf(to.DataCentre, to.Name))
	}
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return t.describeLocked(candidates[:min(len(candidates), limit)], now)
}

// describeLocked returns the known state of hosts, with their ages.
func (t *Table) describeLocked(hosts []Member, now time.Time) []Member {
	out := make([]Member, 0, len(hosts))
	for _, m := range hosts {
		if e := t.others[m.Name]; e != nil {
			m = e.member
			m.Age = now.Sub(e.lastSeen).Milliseconds()
			out = append(out, m)
		}
	}
	return out
}

// Digest returns the other hosts of this host's cell in the form that is sent to other cells.
// New hosts include their addresses; with introduce, all hosts do.
func (t *Table) Digest(now time.Time, introduce bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.describeLocked(t.Cells().OwnCellHosts(), now)
	for i, m := range out {
		if !introduce && now.Sub(t.others[m.Name].incarnationLearntAt) >= introductionPeriod {
			out[i] = m.withoutStaticFields()
		}
	}
	return out
}

// Merge applies a message. It reports whether the sender is new or has changed its state.
func (t *Table) Merge(m Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.mergeLocked(m.Self, now, true)
	for _, o := range m.Others {
		t.mergeLocked(o, now, false)
	}
	if m.isDigest() {
		for _, o := range append([]Member{m.Self}, m.Others...) {
			if e := t.others[o.Name]; e != nil {
				e.inDigestAt = now
			}
		}
	}
	return changed
}

// TakeAddressesWanted reports whether reports on restarted or unknown hosts were ignored since
// the last call because they lacked addresses.
func (t *Table) TakeAddressesWanted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := t.addressesWanted
	t.addressesWanted = false
	return wanted
}

// AcceptInOrder reports whether a datagram sent by the member itself is newer than all accepted
// before, and records it as accepted if so. Datagrams may arrive out of order.
func (t *Table) AcceptInOrder(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[m.Name]
	if e == nil || m.Incarnation != e.member.Incarnation {
		return false
	}
	if m.Incarnation == e.receivedIncarnation && m.Heartbeat <= e.receivedHeartbeat {
		return false
	}
	e.receivedIncarnation, e.receivedHeartbeat = m.Incarnation, m.Heartbeat
	return true
}

// MarkFullLoadsIfDue reports whether all loads must be sent to the host now, and records them as
// sent if so.
func (t *Table) MarkFullLoadsIfDue(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	if e == nil || now.Sub(e.loadsSentAt) >= fullLoadsInterval {
		if e != nil {
			e.loadsSentAt = now
		}
		return true
	}
	return false
}

// mergeLocked merges the state of one host; direct is set if the host itself sent it. It reports
// whether the host is new or has changed its state.
func (t *Table) mergeLocked(m Member, now time.Time, direct bool) bool {
	if m.Name == t.self.Name || m.Name == "" {
		return false
	}
	// A negative age would keep a failed host live.
	e, lastSeen := t.others[m.Name], now.Add(-time.Duration(max(m.Age, 0))*time.Millisecond)
	if m.PeerAddress == "" {
		if e == nil || e.member.Incarnation != m.Incarnation {
			// The next full datagram includes the addresses.
			t.addressesWanted = t.addressesWanted || e == nil || lastSeen.Sub(e.lastSeen) > FailureTimeout
			return false
		}
		m.DataCentre, m.CallerAddress, m.PeerAddress = e.member.DataCentre, e.member.CallerAddress, e.member.PeerAddress
	}
	if e == nil {
		inOtherCell := !t.Cells().InOwnCell(m.DataCentre, m.Name)
		t.others[m.Name] = &entry{member: m, lastSeen: lastSeen, incarnationLearntAt: now, inOtherCell: inOtherCell}
		return true
	}
	// The clock may go back before a restart. A failed host that was seen since then under
	// another incarnation has therefore restarted, even if that incarnation is lower. Reports
	// of other hosts count only with an age; hosts of the first version send none.
	ageKnown := direct || m.Age > 0
	restarted := ageKnown && m.Incarnation != e.member.Incarnation && lastSeen.Sub(e.lastSeen) > FailureTimeout
	if !restarted && !m.newerThan(e.member) {
		return false
	}
	changed := e.member.State != m.State || e.member.Incarnation != m.Incarnation
	if e.member.Incarnation != m.Incarnation {
		e.incarnationLearntAt = now
	}
	e.member = m
	if lastSeen.After(e.lastSeen) {
		e.lastSeen = lastSeen
	}
	return changed
}

// Refresh removes hosts that failed long ago and recomputes the cells. It reports whether
// the number of cells of this host's data centre has changed.
func (t *Table) Refresh(now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.others {
		if now.Sub(e.lastSeen) > removalTimeout {
			delete(t.others, name)
		}
	}
	live := t.liveLocked(now)
	t.limitSharers.Store(upstreamlimit.NewSharers(t.self.Name, t.limitSharersLocked(len(live)+1)))
	cells := divideIntoCells(t.self, live)
	for name, e := range t.others {
		e.inOtherCell = !cells.InOwnCell(e.member.DataCentre, name)
	}
	return t.cells.Swap(cells).CellCount() != cells.CellCount()
}

// Live returns the other live hosts, sorted by name.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveLocked(now)
}

// CountLive returns the number of other live hosts.
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

// Targets returns up to limit live hosts to send to, and one failed host if there is any.
// Failed hosts are probed because after a network partition both sides count the other as failed.
func (t *Table) Targets(now time.Time, limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(t.nextInRotation(t.liveLocked(now), limit), t.failedHostToProbeLocked(now)...)
}

// FailedHostToProbe returns one arbitrary failed host, or none.
func (t *Table) FailedHostToProbe(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failedHostToProbeLocked(now)
}

func (t *Table) failedHostToProbeLocked(now time.Time) []Member {
	for _, e := range t.others {
		if !e.live(now) {
			return []Member{e.member}
		}
	}
	return nil
}

// nextInRotation returns the next members in round-robin order, so that each is reached after
// the same number of rounds; a random choice would skip some for too long.
func (t *Table) nextInRotation(live []Member, limit int) []Member {
	if len(live) <= limit {
		return live
	}
	out := make([]Member, 0, limit)
	for range limit {
		t.rotation++
		out = append(out, live[t.rotation%len(live)])
	}
	return out
}

// InOwnCell reports whether a host is known and belongs to this host's cell.
func (t *Table) InOwnCell(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	return e != nil && !e.inOtherCell
}

// SilentCellHosts returns a live host of each other cell whose digest is overdue.
func (t *Table) SilentCellHosts(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	cells := t.Cells()
	var out []Member
	for c, hosts := range cells.hostsByCell {
		if c == cells.ownCell {
			continue
		}
		var live []Member
		overdue := true
		for _, m := range hosts {
			e := t.others[m.Name]
			if e == nil {
				continue
			}
			overdue = overdue && now.Sub(e.inDigestAt) > digestOverdueTime
			if e.live(now) {
				live = append(live, e.member)
			}
		}
		if overdue && len(live) > 0 {
			out = append(out, live[t.random.IntN(len(live))])
		}
	}
	return out
}

// isLive reports whether another host is known and live.
func (t *Table) isLive(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	return e != nil && e.live(now)
}

// PeerAddress returns the address of a host for calls by other hosts, and whether the host is known.
func (t *Table) PeerAddress(name string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	if e == nil {
		return "", false
	}
	return e.member.PeerAddress, true
}

// limitSharersLocked returns the names of the other hosts that share the limits of upstreams.
func (t *Table) limitSharersLocked(live int) []string {
	names := slices.Collect(maps.Keys(t.others))
	// Hosts that are not known by name count with a name that only holds their places.
	for i := len(names) + 1; i < t.sharingHostsLocked(live); i++ {
		names = append(names, "unknown host "+strconv.Itoa(i))
	}
	return names
}

// SharingHosts returns the number of hosts, including this one, that share the limits of the site:
// cold rates, retry budgets, exposure to new versions. It is the number of live hosts, unless this
// host knows that others may run from which it is cut off: while it sees no more than half of the
// hosts that were last known, all of these count.
func (t *Table) SharingHosts(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := 1
	for _, e := range t.others {
		if e.live(now) {
			live++
		}
	}
	return t.sharingHostsLocked(live)
}

func (t *Table) sharingHostsLocked(live int) int {
	lastKnown := len(t.others) + 1
	if stored := t.stored.Load(); stored != nil {
		lastKnown = max(lastKnown, stored.Count)
	} else if lastKnown == 1 {
		lastKnown = unknownSiteHosts
	}
	if 2*live > lastKnown {
		return live
	}
	return lastKnown
}

// MergeStoredHosts takes over a newer state of the table of hosts.
func (t *Table) MergeStoredHosts(s StoredHosts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.stored.Load()
	if held == nil || s.Revision > held.Revision || s.Revision == held.Revision && s.Count > held.Count {
		if held == nil || held.Count != s.Count {
			t.storedChangedAt = now
		}
		t.stored.Store(&s)
	}
}

// StoredHostsChanged reports whether the known number of hosts in the table has changed so recently
// that other hosts may not have heard of it.
func (t *Table) StoredHostsChanged(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.storedChangedAt) <= storedHostsNewsPeriod
}

// StoredHosts returns the newest known state of the table of hosts, and whether there is one.
func (t *Table) StoredHosts() (StoredHosts, bool) {
	if s := t.stored.Load(); s != nil {
		return *s, true
	}
	return StoredHosts{}, false
}

// LimitSharers returns the hosts that share the limits of upstreams, as of the last Refresh. Hosts
// that were seen in the last minute count, also failed ones: they may be cut off from this host
// only, and use their share.
func (t *Table) LimitSharers() *upstreamlimit.Sharers { return t.limitSharers.Load() }

// Rank returns this host's rank by name, from 0, among the live hosts that are not draining.
func (t *Table) Rank(now time.Time) int { return t.rank(t.Live(now)) }

// RankByHash returns this host's rank by a hash of the name, from 0, among the live hosts of the
// site that are not draining, and the number of other live hosts.
func (t *Table) RankByHash(now time.Time) (rank, liveCount int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := retry.Hash(t.self.Name)
	for name, e := range t.others {
		if !e.live(now) {
			continue
		}
		liveCount++
		if e.member.State != Draining && retry.Hash(name) < own {
			rank++
		}
	}
	return rank, liveCount
}

// CellRanks returns this host's ranks, from 0, among the live hosts of its cell that are not
// draining: by name, and by a hash of the name, which mixes the hosts of the data centres. The
// second counts only hosts that were seen recently: a host that is cut off from the others must
// not wait for them.
func (t *Table) CellRanks(now time.Time) (byName, byHash int) {
	cells := t.Cells()
	live := slices.DeleteFunc(t.Live(now), func(m Member) bool { return !cells.InOwnCell(m.DataCentre, m.Name) })
	own := retry.Hash(t.Self().Name)
	for _, m := range live {
		if m.State != Draining && retry.Hash(m.Name) < own && t.seenWithin(m.Name, recentlySeen, now) {
			byHash++
		}
	}
	return t.rank(live), byHash
}

func (t *Table) seenWithin(name string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.others[name]
	return e != nil && now.Sub(e.lastSeen) <= d
}

func (t *Table) rank(live []Member) int {
	self, rank := t.Self().Name, 0
	for _, m := range live {
		if m.State != Draining && m.Name < self {
			rank++
		}
	}
	return rank
}
