package migration

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// turnLease ends the turn of a host that does not give it back; the largest copy
	// takes a third of a second.
	turnLease = 900 * time.Millisecond
	// promiseTime is how long tokens promised to a destination are counted here;
	// after that the reports of loads contain them.
	promiseTime = 500 * time.Millisecond
)

// Room is an engine that may take a run.
type Room struct {
	Engine string `json:"e"`
	// Tokens is the memory that is free there, as the asking host sees it.
	Tokens int `json:"t"`
}

// TurnRequest asks to copy one run.
type TurnRequest struct {
	// ID names the request and its turn; the asking host draws it at random.
	ID     uint64 `json:"id"`
	Run    string `json:"run"`
	Source string `json:"source"`
	// Tokens is the memory that the run needs at its end.
	Tokens int `json:"tokens"`
	// Worth ranks the requests that wait; higher goes first.
	Worth float64 `json:"worth"`
	// Rooms lists destinations, the preferred one first.
	Rooms []Room `json:"rooms"`
}

// Turn is the permission to copy a run to a destination.
type Turn struct {
	// ID is that of the request.
	ID          uint64 `json:"id"`
	Destination string `json:"destination"`
}

type heldTurn struct {
	source, destination string
	until               time.Time
}

type promise struct {
	engine string
	tokens int
	until  time.Time
}

type waiter struct {
	request TurnRequest
	granted chan Turn
}

// Turns gives each link between engines to one copy at a time, so that the last
// part of a run does not wait behind the first copies of others. It answers the
// load of several hosts that move streams off the same engine at the same moment.
// It is safe for concurrent use.
type Turns struct {
	mu       sync.Mutex
	held     map[uint64]heldTurn
	promises []promise
	waiting  []*waiter
}

// NewTurns returns turns of which none is held.
func NewTurns() *Turns { return &Turns{held: make(map[uint64]heldTurn)} }

// Acquire waits for a turn; it returns false when ctx ends or the request is released first.
func (t *Turns) Acquire(ctx context.Context, r TurnRequest) (Turn, bool) {
	w := &waiter{request: r, granted: make(chan Turn, 1)}
	t.mu.Lock()
	t.waiting = append(t.waiting, w)
	slices.SortStableFunc(t.waiting, func(a, b *waiter) int {
		switch {
		case a.request.Worth > b.request.Worth:
			return -1
		case a.request.Worth < b.request.Worth:
			return 1
		}
		return 0
	})
	t.grant(time.Now())
	t.mu.Unlock()
	// Turns that lapse free their links without a call to Release.
	ticker := time.NewTicker(turnLease / 4)
	defer ticker.Stop()
	for {
		select {
		case turn, ok := <-w.granted:
			return turn, ok
		case now := <-ticker.C:
			t.mu.Lock()
			t.grant(now)
			t.mu.Unlock()
		case <-ctx.Done():
			return t.abandon(w)
		}
	}
}

func (t *Turns) abandon(w *waiter) (Turn, bool) {
	t.Release(w.request.ID) // it may have been granted at the last moment
	return Turn{}, false
}

// Release gives the turn of a request back, or ends its wait. A host that stops waiting
// calls it as well: the turn may be granted while its call times out.
func (t *Turns) Release(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiter) bool {
		if w.request.ID != id {
			return false
		}
		close(w.granted)
		return true
	})
	delete(t.held, id)
	t.grant(time.Now())
}

// grant gives turns to waiting requests whose links are free, in order of worth.
func (t *Turns) grant(now time.Time) {
	for id, h := range t.held {
		if now.After(h.until) {
			delete(t.held, id)
		}
	}
	t.promises = slices.DeleteFunc(t.promises, func(p promise) bool { return now.After(p.until) })
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiter) bool {
		destination := t.destination(w.request)
		if destination == "" {
			return false
		}
		t.held[w.request.ID] = heldTurn{w.request.Source, destination, now.Add(turnLease)}
		t.promises = append(t.promises, promise{destination, w.request.Tokens, now.Add(promiseTime)})
		w.granted <- Turn{ID: w.request.ID, Destination: destination}
		return true
	})
}

// destination returns the first destination with room whose link is free, as is that of the source.
func (t *Turns) destination(r TurnRequest) string {
	busy := make(map[string]bool, 2*len(t.held))
	for _, h := range t.held {
		busy[h.source], busy[h.destination] = true, true
	}
	if busy[r.Source] {
		return ""
	}
	for _, room := range r.Rooms {
		if !busy[room.Engine] && room.Tokens-t.promised(room.Engine) >= r.Tokens {
			return room.Engine
		}
	}
	return ""
}

func (t *Turns) promised(engine string) (tokens int) {
	for _, p := range t.promises {
		if p.engine == engine {
			tokens += p.tokens
		}
	}
	return tokens
}
