// Package membudget gives out the memory of a process to the connections for which it holds
// any: their buffers, the heads and the bodies of their requests and the responses to them.
// docs/design/memory-budget.md describes the rules.
package membudget

import (
	"slices"
	"time"
)

const (
	// goLimitShare is the fraction of the machine's memory that is the soft limit of the Go
	// runtime; the rest is for the program text, kernel buffers and what the collector needs
	// while it runs.
	goLimitShare = 0.6
	// ownBytes is what the process needs for itself: tables, pools, stacks, the runtime.
	ownBytes = 16 << 20
	// clientShare is the fraction of the memory below the soft limit, less ownBytes, that
	// clients may make the process hold. The rest is for garbage, so that the collector runs
	// rarely.
	clientShare = 0.6
	// responseShare is the fraction of what clients and the process leave that responses of upstreams
	// may hold.
	responseShare = 0.5
	// minClientBytes lets a small machine hold one body at the limit.
	minClientBytes = 12 << 20

	// connectionBytes is the memory of a connection without a request: its goroutine, the
	// buffers of the server and its bookkeeping. tlsBytes comes on top with TLS.
	connectionBytes = 16 << 10
	tlsBytes        = 32 << 10

	// auxiliaryBytes and auxiliaryConnections are for the interfaces beside that for clients.
	auxiliaryBytes, auxiliaryConnections = 2 << 20, 64

	// smallRequestBytes is the size up to which a request counts as small. Large ones leave
	// room for small ones.
	smallRequestBytes = 64 << 10

	// progressBytes must arrive within stallTime, or the request counts as stalled.
	progressBytes = 4 << 10
	stallTime     = time.Second
	// settlingTime is added to the age of a request, so that the rate of a new one is defined.
	settlingTime = 100 * time.Millisecond

	// spareDescriptorShare is the fraction of the descriptors that connections of clients leave
	// for upstreams, the store, other hosts and files.
	spareDescriptorShare = 0.4
)

// Limits divides the memory and the descriptors of a process.
type Limits struct {
	// GoBytes is the soft limit of the Go runtime.
	GoBytes int64
	// RequestBytes is the room for the heads and bodies of all requests. Large requests may use
	// LargeBytes of it.
	RequestBytes, LargeBytes int64
	// ResponseBytes is the room for responses of upstreams that are held whole.
	ResponseBytes int64
	// Connections is the number of connections.
	Connections int
}

// LimitsFor returns the limits of a process on a machine with the memory and descriptors.
func LimitsFor(memoryMB int, descriptors uint64) Limits {
	goBytes := int64(goLimitShare * float64(memoryMB) * (1 << 20))
	clients := max(int64(clientShare*float64(goBytes-ownBytes)), minClientBytes)
	requests := clients / 2
	connections := (clients - requests) / connectionBytes
	if descriptors > 0 {
		connections = min(connections, int64((1-spareDescriptorShare)*float64(descriptors)))
	}
	return Limits{
		GoBytes: goBytes, RequestBytes: requests, LargeBytes: requests / 4 * 3, Connections: int(connections),
		ResponseBytes: max(int64(responseShare*float64(goBytes-ownBytes-clients)), 0),
	}
}

// Auxiliary returns the limits of the interfaces beside that for clients, which come on top.
func (l Limits) Auxiliary() Limits {
	return Limits{GoBytes: l.GoBytes, RequestBytes: auxiliaryBytes, LargeBytes: auxiliaryBytes, Connections: auxiliaryConnections}
}

// phase says what the process is waiting for on a connection.
type phase int

const (
	// idle connections have no request.
	idle phase = iota
	// arriving requests are not complete, so nothing of them has been passed on.
	arriving
	// running requests are complete. They are never ended for others.
	running
)

// entry is the state of one connection in the ledger.
type entry struct {
	address string
	tls     bool
	phase   phase
	// since is the start of the request, or of the idle time.
	since time.Time
	// progressAt is when the latest progressBytes had arrived, and unreported what arrived after.
	progressAt time.Time
	unreported int64
	arrived    int64
	// held is the memory of the request.
	held int64
	// waiting is set while the request waits for memory, in which time nothing of it is read.
	waiting bool
	// ended is set once the connection has been chosen to give up its memory.
	ended bool
	// dropped is set once the connection no longer counts towards the limit of connections.
	dropped bool
	// removed is set once the connection has been closed.
	removed bool
	conn    *Conn
}

func (e *entry) large() bool { return e.held > smallRequestBytes }

// ledger decides who gets memory. It is pure: the time is an argument, and the entries to end
// are returned. It answers crowds of clients that hold memory for long, or much at once.
type ledger struct {
	limits  Limits
	entries map[*entry]struct{}
	// requestBytes and largeBytes are what all and the large requests hold, addressBytes what
	// the requests of each address hold.
	requestBytes, largeBytes int64
	addressBytes             map[string]int64
	addressConns             map[string]int
	// units counts connections, one with TLS as several.
	units int
}

func newLedger(limits Limits) *ledger {
	return &ledger{limits: limits, entries: map[*entry]struct{}{}, addressBytes: map[string]int64{}, addressConns: map[string]int{}}
}

func (e *entry) units() int {
	if e.tls {
		return 1 + tlsBytes/connectionBytes
	}
	return 1
}

// admit adds a connection. If there is no room, it returns the connection to close instead,
// which may be e itself and no longer counts.
func (l *ledger) admit(e *entry, now time.Time) (victim *entry) {
	l.entries[e] = struct{}{}
	l.units += e.units()
	l.addressConns[e.address]++
	e.phase, e.since, e.progressAt = idle, now, now
	if l.units <= l.limits.Connections {
		return nil
	}
	victim = e
	for other := range l.entries {
		if other == e || other.ended || l.rank(other, now) > 0 {
			continue
		}
		if victim == e || l.endsBefore(other, victim) {
			victim = other
		}
	}
	victim.ended = true
	l.dropUnits(victim)
	return victim
}

// endsBefore orders idle and stalled connections: those of the address with the most come first,
// then those without progress for longest.
func (l *ledger) endsBefore(a, b *entry) bool {
	if ca, cb := l.addressConns[a.address], l.addressConns[b.address]; ca != cb {
		return ca > cb
	}
	return a.progressAt.Before(b.progressAt)
}

// remove removes a connection that has been closed.
func (l *ledger) remove(e *entry) {
	if _, ok := l.entries[e]; !ok {
		return
	}
	l.release(e)
	e.removed = true
	delete(l.entries, e)
	if !e.dropped {
		l.dropUnits(e)
	}
}

func (l *ledger) dropUnits(e *entry) {
	e.dropped = true
	l.units -= e.units()
	if l.addressConns[e.address]--; l.addressConns[e.address] == 0 {
		delete(l.addressConns, e.address)
	}
}

// begin starts a request on the connection, which holds nothing yet.
func (l *ledger) begin(e *entry, now time.Time) {
	l.release(e)
	e.phase, e.since, e.progressAt, e.unreported, e.arrived = arriving, now, now, 0, 0
}

// rest marks the connection as idle and frees the memory of its request.
func (l *ledger) rest(e *entry, now time.Time) {
	l.begin(e, now)
	e.phase = idle
}

func (l *ledger) progress(e *entry, n int64, now time.Time) {
	e.arrived += n
	if e.unreported += n; e.unreported >= progressBytes {
		e.unreported, e.progressAt = 0, now
	}
}

func (l *ledger) release(e *entry) { l.add(e, -e.held) }

func (l *ledger) add(e *entry, n int64) {
	if e.removed { // its server is still ending the request, and frees nothing later
		return
	}
	if e.large() {
		l.largeBytes -= e.held
	}
	e.held += n
	l.requestBytes += n
	if e.large() {
		l.largeBytes += e.held
	}
	if l.addressBytes[e.address] += n; l.addressBytes[e.address] == 0 {
		delete(l.addressBytes, e.address)
	}
}

// reserve gives n bytes to a request that arrives. If there is no room, it returns the less
// worthy requests whose end would make some, and none if the request itself is the least
// worthy.
func (l *ledger) reserve(e *entry, n int64, now time.Time) (granted bool, victims []*entry) {
	needed := l.shortage(e, n)
	if needed <= 0 {
		l.add(e, n)
		return true, nil
	}
	var candidates []*entry
	for other := range l.entries {
		if other == e || other.held == 0 || other.phase != arriving {
			continue
		}
		if other.ended { // its memory is about to be free
			needed -= other.held
		} else if l.lessWorthy(other, e, now) {
			candidates = append(candidates, other)
		}
	}
	if needed <= 0 {
		return false, []*entry{}
	}
	slices.SortFunc(candidates, func(a, b *entry) int {
		switch {
		case l.lessWorthy(a, b, now):
			return -1
		case l.lessWorthy(b, a, now):
			return 1
		}
		return 0
	})
	for i, c := range candidates {
		if needed -= c.held; needed <= 0 {
			return false, candidates[:i+1]
		}
	}
	return false, nil
}

// shortage returns how many bytes are missing for e to hold n more.
func (l *ledger) shortage(e *entry, n int64) int64 {
	all := l.requestBytes + n - l.limits.RequestBytes
	if e.held+n <= smallRequestBytes {
		return all
	}
	others := l.largeBytes
	if e.large() {
		others -= e.held
	}
	if others == 0 {
		return min(all, 0) // a single large request is served whatever its size
	}
	return max(all, others+e.held+n-l.limits.LargeBytes)
}

// lessWorthy orders requests: stalled ones come first, then those of addresses that hold more
// than their share, then those that arrive slower.
func (l *ledger) lessWorthy(a, b *entry, now time.Time) bool {
	if ra, rb := l.rank(a, now), l.rank(b, now); ra != rb {
		return ra < rb
	}
	return rate(a, now) < rate(b, now)
}

func (l *ledger) rank(e *entry, now time.Time) int {
	switch {
	case e.phase == idle:
		return 0
	case e.phase == running:
		return 3
	case !e.waiting && now.Sub(e.progressAt) > stallTime:
		return 0
	case l.addressBytes[e.address]*int64(len(l.addressBytes)) > l.limits.RequestBytes:
		return 1
	default:
		return 2
	}
}

// rate is the bytes that arrived a second since the request began.
func rate(e *entry, now time.Time) float64 {
	return float64(e.arrived) / (now.Sub(e.since) + settlingTime).Seconds()
}
