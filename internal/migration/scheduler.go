package migration

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// leaseDuration ends the turn of a host that does not give it back; the largest copy
	// takes a third of a second.
	leaseDuration = 900 * time.Millisecond
	// reservationDuration is how long tokens promised to a destination are counted here;
	// after that the reports of loads contain them.
	reservationDuration = 500 * time.Millisecond
)

// Destination is an engine that may take a run.
type Destination struct {
	Engine string `json:"e"`
	// FreeTokens is the memory that is free there, as the asking host sees it.
	FreeTokens int `json:"t"`
}

// CopyRequest asks to copy one run.
type CopyRequest struct {
	// ID names the request and its turn; the asking host draws it at random.
	ID     uint64 `json:"id"`
	Run    string `json:"run"`
	Source string `json:"source"`
	// Tokens is the memory that the run needs at its end.
	Tokens int `json:"tokens"`
	// Value ranks the requests that wait; higher goes first.
	Value float64 `json:"worth"`
	// Destinations lists destinations, the preferred one first.
	Destinations []Destination `json:"rooms"`
}

// CopyGrant is the permission to copy a run to a destination.
type CopyGrant struct {
	// ID is that of the request.
	ID          uint64 `json:"id"`
	Destination string `json:"destination"`
}

type linkLease struct {
	source, destination string
	expiresAt           time.Time
}

type reservation struct {
	engine    string
	tokens    int
	expiresAt time.Time
}

type waiter struct {
	request CopyRequest
	granted chan CopyGrant
}

// CopyScheduler gives each link between engines to one copy at a time, so that the last
// part of a run does not wait behind the first copies of others. It answers the
// load of several hosts that move streams off the same engine at the same moment.
// It is safe for concurrent use.
type CopyScheduler struct {
	mu           sync.Mutex
	leases       map[uint64]linkLease
	reservations []reservation
	waiters      []*waiter
}

// NewCopyScheduler returns turns of which none is held.
func NewCopyScheduler() *CopyScheduler { return &CopyScheduler{leases: make(map[uint64]linkLease)} }

// Acquire waits for a turn; it returns false when ctx ends or the request is released first.
func (t *CopyScheduler) Acquire(ctx context.Context, r CopyRequest) (CopyGrant, bool) {
	w := &waiter{request: r, granted: make(chan CopyGrant, 1)}
	t.mu.Lock()
	t.waiters = append(t.waiters, w)
	slices.SortStableFunc(t.waiters, func(a, b *waiter) int {
		switch {
		case a.request.Value > b.request.Value:
			return -1
		case a.request.Value < b.request.Value:
			return 1
		}
		return 0
	})
	t.grantWaiting(time.Now())
	t.mu.Unlock()
	// Turns that lapse free their links without a call to Release.
	ticker := time.NewTicker(leaseDuration / 4)
	defer ticker.Stop()
	for {
		select {
		case grant, ok := <-w.granted:
			return grant, ok
		case now := <-ticker.C:
			t.mu.Lock()
			t.grantWaiting(now)
			t.mu.Unlock()
		case <-ctx.Done():
			return t.cancelWait(w)
		}
	}
}

func (t *CopyScheduler) cancelWait(w *waiter) (CopyGrant, bool) {
	t.Release(w.request.ID) // it may have been granted at the last moment
	return CopyGrant{}, false
}

// Release gives the turn of a request back, or ends its wait. A host that stops waiting
// calls it as well: the turn may be granted while its call times out.
func (t *CopyScheduler) Release(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		if w.request.ID != id {
			return false
		}
		close(w.granted)
		return true
	})
	delete(t.leases, id)
	t.grantWaiting(time.Now())
}

// grantWaiting gives turns to waiting requests whose links are free, in order of worth.
func (t *CopyScheduler) grantWaiting(now time.Time) {
	for id, h := range t.leases {
		if now.After(h.expiresAt) {
			delete(t.leases, id)
		}
	}
	t.reservations = slices.DeleteFunc(t.reservations, func(p reservation) bool { return now.After(p.expiresAt) })
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		destination := t.chooseDestination(w.request)
		if destination == "" {
			return false
		}
		t.leases[w.request.ID] = linkLease{w.request.Source, destination, now.Add(leaseDuration)}
		t.reservations = append(t.reservations, reservation{destination, w.request.Tokens, now.Add(reservationDuration)})
		w.granted <- CopyGrant{ID: w.request.ID, Destination: destination}
		return true
	})
}

// chooseDestination returns the first chooseDestination with room whose link is free, as is that of the source.
func (t *CopyScheduler) chooseDestination(r CopyRequest) string {
	busyEngines := make(map[string]bool, 2*len(t.leases))
	for _, h := range t.leases {
		busyEngines[h.source], busyEngines[h.destination] = true, true
	}
	if busyEngines[r.Source] {
		return ""
	}
	for _, candidate := range r.Destinations {
		if !busyEngines[candidate.Engine] && candidate.FreeTokens-t.reservedTokens(candidate.Engine) >= r.Tokens {
			return candidate.Engine
		}
	}
	return ""
}

func (t *CopyScheduler) reservedTokens(engine string) (tokens int) {
	for _, p := range t.reservations {
		if p.engine == engine {
			tokens += p.tokens
		}
	}
	return tokens
}
