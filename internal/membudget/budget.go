package membudget

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/samber/lo"
)

// ErrNoRoom reports that the process has no memory left for a request, or needed that of the
// request for others. Nothing of the request has been passed on.
var ErrNoRoom = errors.New("this host has no memory left for the request")

const (
	// roomTimeout bounds the wait for the memory of requests that have been ended.
	roomTimeout = 2 * time.Second
	// logInterval limits the log lines about refusals.
	logInterval = 10 * time.Second
)

// Budget gives out the memory of the process. It is safe for concurrent use.
type Budget struct {
	limits Limits
	log    logr.Logger

	refusedRequests, refusedHeads, endedRequests, endedConnections *metrics.Counter

	mu     sync.Mutex
	ledger *ledger
	// freed is closed and replaced when memory has been freed.
	freed    chan struct{}
	loggedAt time.Time
}

// New returns a budget. Its metrics are registered in the set, with the name of the interface.
func New(limits Limits, name string, set *metrics.Set, log logr.Logger) *Budget {
	b := &Budget{limits: limits, log: log, ledger: newLedger(limits), freed: make(chan struct{})}
	count := func(what string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf(`rattanscale_client_memory_refusals_total{interface=%q,what=%q}`, name, what))
	}
	b.refusedRequests, b.refusedHeads = count("request"), count("long head")
	b.endedRequests, b.endedConnections = count("ended request"), count("ended connection")
	set.NewGauge(fmt.Sprintf(`rattanscale_client_memory_bytes{interface=%q}`, name), func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.ledger.requestBytes)
	})
	set.NewGauge(fmt.Sprintf(`rattanscale_client_connections{interface=%q}`, name), func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(len(b.ledger.entries))
	})
	return b
}

// Descriptors returns the number of descriptors that the process may have open, 0 if unknown.
func Descriptors() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// admit counts a new connection and closes another one, or this one, if there are too many. It
// reports whether the new one stays.
func (b *Budget) admit(c *Conn) bool {
	b.mu.Lock()
	victim := b.ledger.admit(&c.entry, time.Now())
	if victim != nil {
		b.endedConnections.Inc()
		b.logRefusal("connection closed", victim)
	}
	b.mu.Unlock()
	if victim != nil {
		_ = victim.conn.Conn.Close() // its server ends it then, and it must not hold its descriptor until then
	}
	return victim != &c.entry
}

// reserve gives n bytes to the connection's request, if need be after less worthy requests have
// been ended. Its error is ErrNoRoom.
func (b *Budget) reserve(c *Conn, n int64) error {
	if n <= 0 {
		return nil
	}
	deadline := time.Now().Add(roomTimeout)
	for {
		b.mu.Lock()
		now := time.Now()
		if c.entry.waiting {
			c.entry.waiting, c.entry.progressAt = false, now
		}
		if c.entry.ended {
			b.mu.Unlock()
			return ErrNoRoom
		}
		granted, victims := b.ledger.reserve(&c.entry, n, now)
		if granted {
			b.mu.Unlock()
			return nil
		}
		if victims == nil || now.After(deadline) {
			b.refusedRequests.Inc()
			b.logRefusal("request refused", &c.entry)
			b.mu.Unlock()
			return ErrNoRoom
		}
		for _, v := range victims {
			v.ended = true
			b.endedRequests.Inc()
			b.logRefusal("request ended", v)
		}
		c.entry.waiting = true
		if len(victims) > 0 { // one of them may wait here itself
			b.wakeLocked()
		}
		freed := b.freed
		b.mu.Unlock()
		lo.ForEach(victims, func(v *entry, _ int) { v.conn.end() })
		select {
		case <-freed:
		case <-time.After(time.Until(deadline)):
		}
	}
}

// logRefusal logs at most one refusal in logInterval. b.mu must be held.
func (b *Budget) logRefusal(what string, e *entry) {
	if now := time.Now(); now.Sub(b.loggedAt) >= logInterval {
		b.loggedAt = now
		b.log.Info("client turned away for lack of memory or connections", "what", what, "address", e.address, "held-bytes", e.held, "arrived-bytes", e.arrived, "age-ms", now.Sub(e.since).Milliseconds(),
			"requests-bytes", b.ledger.requestBytes, "limit-bytes", b.limits.RequestBytes, "connections", len(b.ledger.entries))
	}
}

// update changes the entry of a connection and wakes up requests that wait for memory.
func (b *Budget) update(change func(l *ledger, now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.ledger.requestBytes
	change(b.ledger, time.Now())
	if b.ledger.requestBytes < before {
		b.wakeLocked()
	}
}

// wakeLocked wakes up all requests that wait for memory. b.mu must be held.
func (b *Budget) wakeLocked() {
	close(b.freed)
	b.freed = make(chan struct{})
}
