package migration

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// leaseDuration is the time after which a grant that was not released expires; the
	// largest copy takes a third of a second.
	leaseDuration = 900 * time.Millisecond
	// reservationDuration is how long memory granted at a destination is counted here;
	// afterwards it is contained in the hosts' load reports.
	reservationDuration = 500 * time.Millisecond
)

// Destination is an engine that may receive a generation.
type Destination struct {
	Engine string `json:"e"`
	// FreeTokens is the free memory of the engine, in tokens, as the requesting host
	// sees it.
	FreeTokens int `json:"t"`
}

// CopyRequest asks for permission to copy one generation.
type CopyRequest struct {
	// ID identifies the request and its grant; the requesting host chooses it at random.
	ID     uint64 `json:"id"`
	Run    string `json:"run"`
	Source string `json:"source"`
	// Tokens is the memory that the generation is expected to hold at its end.
	Tokens int `json:"tokens"`
	// Value ranks the waiting requests; the highest is granted first.
	Value float64 `json:"worth"`
	// Destinations lists the possible destinations, the preferred one first.
	Destinations []Destination `json:"rooms"`
}

// CopyGrant is the permission to copy a generation to a destination.
type CopyGrant struct {
	// ID is the ID of the request.
	ID          uint64 `json:"id"`
	Destination string `json:"destination"`
}

// linkLease reserves the links of two engines for one copy.
type linkLease struct {
	source, destination string
	expiresAt           time.Time
}

// reservation is memory that was granted at an engine but is not yet contained in load
// reports.
type reservation struct {
	engine    string
	tokens    int
	expiresAt time.Time
}

type waiter struct {
	request CopyRequest
	granted chan CopyGrant
}

// CopyScheduler allows one copy at a time on each engine's link. If several hosts moved
// streams off the same engine at once, the final copy of a stream, during which it
// pauses, would wait behind the first copies of others. It is safe for concurrent use.
type CopyScheduler struct {
	mu           sync.Mutex
	leases       map[uint64]linkLease
	reservations []reservation
	waiters      []*waiter
}

func NewCopyScheduler() *CopyScheduler { return &CopyScheduler{leases: make(map[uint64]linkLease)} }

// Acquire waits for a grant. It returns false if ctx ends or the request is released
// first.
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
	// Leases that expire free their links without a call to Release.
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
	t.Release(w.request.ID) // the request may have been granted in the meantime
	return CopyGrant{}, false
}

// Release ends the grant of a request, or its wait. A host that stops waiting must call
// it as well, because the request may be granted while the host's call times out.
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

// grantWaiting grants waiting requests whose links are free, in the order of their
// value.
func (t *CopyScheduler) grantWaiting(now time.Time) {
	for id, lease := range t.leases {
		if now.After(lease.expiresAt) {
			delete(t.leases, id)
		}
	}
	t.reservations = slices.DeleteFunc(t.reservations, func(r reservation) bool { return now.After(r.expiresAt) })
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

// chooseDestination returns the first destination with a free link and enough memory, or
// "" if there is none or the link of the source is in use.
func (t *CopyScheduler) chooseDestination(r CopyRequest) string {
	busyEngines := make(map[string]bool, 2*len(t.leases))
	for _, lease := range t.leases {
		busyEngines[lease.source], busyEngines[lease.destination] = true, true
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

// reservedTokens is the memory reserved at an engine.
func (t *CopyScheduler) reservedTokens(engine string) (tokens int) {
	for _, r := range t.reservations {
		if r.engine == engine {
			tokens += r.tokens
		}
	}
	return tokens
}
