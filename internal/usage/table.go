// Package usage counts the requests that upstreams began to run, by client account and window of
// time, and reports them to the platform once for each window. Table and Reporter do no I/O of
// their own; Sender sends the counts of a host to the hosts that report.
package usage

import (
	"sync"
	"time"
)

// Key identifies the counts of one process in one window.
type Key struct {
	Host    string `json:"host"`
	Process string `json:"process"`
	Window  int64  `json:"window"`
}

// Counts are the requests of one process in one window, by client account. They only grow, so
// that counts that arrive again or late add nothing.
type Counts struct {
	Key
	Requests map[string]uint64 `json:"requests"`
}

type entry struct {
	requests map[string]uint64
	// version grows with each change.
	version uint64
}

// Table holds the counts of this process and those received from other hosts. It is safe for
// concurrent use.
type Table struct {
	host, process string

	mu      sync.Mutex
	entries map[Key]*entry
	changed chan struct{}
}

// NewTable returns an empty table of a process of a host.
func NewTable(host, process string) *Table {
	return &Table{host: host, process: process, entries: make(map[Key]*entry), changed: make(chan struct{}, 1)}
}

// Changed receives a value after counts have changed.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Add counts a request of an account that began to run in a window at this host.
func (t *Table) Add(window int64, account string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryLocked(Key{t.host, t.process, window})
	e.requests[account]++
	t.touchLocked(e)
}

func (t *Table) entryLocked(k Key) *entry {
	e := t.entries[k]
	if e == nil {
		e = &entry{requests: make(map[string]uint64)}
		t.entries[k] = e
	}
	return e
}

func (t *Table) touchLocked(e *entry) {
	e.version++
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Merge merges counts of other processes. Counts of windows before oldest are ignored.
func (t *Table) Merge(counts []Counts, oldest int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		if c.Window < oldest || c.Host == t.host && c.Process == t.process {
			continue
		}
		e, grew := t.entryLocked(c.Key), false
		for account, n := range c.Requests {
			if n > e.requests[account] {
				e.requests[account], grew = n, true
			}
		}
		if grew {
			t.touchLocked(e)
		}
	}
}

// Unacknowledged returns the counts that have changed since the versions in acknowledged, of the
// processes on hosts that include accepts, and their versions.
func (t *Table) Unacknowledged(acknowledged map[Key]uint64, include func(host string) bool) ([]Counts, map[Key]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Counts
	versions := make(map[Key]uint64)
	for k, e := range t.entries {
		if e.version == acknowledged[k] || !include(k.Host) {
			continue
		}
		requests := make(map[string]uint64, len(e.requests))
		for account, n := range e.requests {
			requests[account] = n
		}
		out = append(out, Counts{k, requests})
		versions[k] = e.version
	}
	return out, versions
}

// Sum returns the requests of all processes in a window, and the number of processes with any.
func (t *Table) Sum(window int64) (requests map[string]uint64, processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests = make(map[string]uint64)
	for k, e := range t.entries {
		if k.Window != window {
			continue
		}
		processes++
		for account, n := range e.requests {
			requests[account] += n
		}
	}
	return requests, processes
}

// Evict removes the counts of windows before oldest.
func (t *Table) Evict(oldest int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.entries {
		if k.Window < oldest {
			delete(t.entries, k)
		}
	}
}

// Windows numbers the windows of time of a width, from the Unix epoch on.
type Windows struct{ Width time.Duration }

// At returns the window that contains a time.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Width) }

// Start returns the start of a window.
func (w Windows) Start(window int64) time.Time { return time.Unix(0, window*int64(w.Width)) }

// End returns the end of a window, which is the start of the next.
func (w Windows) End(window int64) time.Time { return w.Start(window + 1) }
