package migration

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against small or nearly finished runs that are copied before those with
// more at stake.
func TestNextTakesTheMostWorthForEachToken(t *testing.T) {
	ending := Run{PromptTokens: 3000, Produced: 900, Expected: 930}
	long := Run{PromptTokens: 3000, Produced: 100, Expected: 2000}
	short := Run{PromptTokens: 3000, Produced: 100, Expected: 400}
	require.Equal(t, 1, Next([]Run{ending, long, short}))
	require.Equal(t, 1, Next([]Run{ending, short}))
	require.Equal(t, -1, Next(nil))
}

var requests uint64

// withID names a request as hosts do.
func withID(r TurnRequest) TurnRequest {
	requests++
	r.ID = requests
	return r
}

func acquire(t *testing.T, turns *Turns, r TurnRequest) Turn {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	turn, ok := turns.Acquire(ctx, withID(r))
	require.True(t, ok)
	return turn
}

func tryAcquire(t *testing.T, turns *Turns, r TurnRequest) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, ok := turns.Acquire(ctx, withID(r))
	return ok
}

var rooms = []Room{{"b", 10_000}, {"c", 10_000}}

// Guards against two copies on one link, behind which the last part of a run waits.
func TestOneCopyOnALink(t *testing.T) {
	turns := NewTurns()
	first := acquire(t, turns, TurnRequest{Run: "1", Source: "a", Tokens: 4000, Rooms: rooms})
	require.Equal(t, "b", first.Destination)
	require.False(t, tryAcquire(t, turns, TurnRequest{Run: "2", Source: "a", Tokens: 4000, Rooms: rooms}), "the source is busy")
	second := acquire(t, turns, TurnRequest{Run: "3", Source: "d", Tokens: 4000, Rooms: rooms})
	require.Equal(t, "c", second.Destination, "the preferred destination is busy")
	turns.Release(first.ID)
	require.Equal(t, "b", acquire(t, turns, TurnRequest{Run: "2", Source: "a", Tokens: 4000, Rooms: rooms}).Destination)
}

// Guards against more runs at a destination than it has room for, before reports show them.
func TestPromisedRoomIsNotGivenTwice(t *testing.T) {
	turns := NewTurns()
	one := []Room{{"b", 6000}}
	first := acquire(t, turns, TurnRequest{Run: "1", Source: "a", Tokens: 4000, Rooms: one})
	turns.Release(first.ID)
	require.False(t, tryAcquire(t, turns, TurnRequest{Run: "2", Source: "a", Tokens: 4000, Rooms: one}))
}

// Guards against links that stay taken after their host has died.
func TestTurnLapses(t *testing.T) {
	turns := NewTurns()
	acquire(t, turns, TurnRequest{Run: "1", Source: "a", Tokens: 1, Rooms: rooms})
	acquire(t, turns, TurnRequest{Run: "2", Source: "a", Tokens: 1, Rooms: rooms}) // waits for the lease
}

// Guards against a turn that is held for a host that no longer waits.
func TestAbandonedWaiterHoldsNothing(t *testing.T) {
	turns := NewTurns()
	first := acquire(t, turns, TurnRequest{Run: "1", Source: "a", Tokens: 1, Rooms: rooms})
	require.False(t, tryAcquire(t, turns, TurnRequest{Run: "2", Source: "a", Tokens: 1, Rooms: rooms}))
	turns.Release(first.ID)
	require.Empty(t, turns.held)
	require.Empty(t, turns.waiting)
}

// Guards against a turn that is granted to a host whose call has timed out meanwhile.
func TestReleaseEndsAWait(t *testing.T) {
	turns := NewTurns()
	first := acquire(t, turns, TurnRequest{Run: "1", Source: "a", Tokens: 1, Rooms: rooms})
	waiting := withID(TurnRequest{Run: "2", Source: "a", Tokens: 1, Rooms: rooms})
	ended := make(chan bool)
	go func() {
		_, ok := turns.Acquire(t.Context(), waiting)
		ended <- ok
	}()
	require.Eventually(t, func() bool { turns.mu.Lock(); defer turns.mu.Unlock(); return len(turns.waiting) == 1 }, 10*time.Second, time.Millisecond)
	turns.Release(waiting.ID)
	require.False(t, <-ended)
	turns.Release(first.ID)
	require.Empty(t, turns.held)
}
