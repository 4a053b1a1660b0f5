package migration

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against copying short or nearly finished generations before those with more
// work at stake.
func TestNextTakesTheHighestValuePerToken(t *testing.T) {
	nearlyDone := Generation{PromptTokens: 3000, ProducedTokens: 900, ExpectedTokens: 930}
	long := Generation{PromptTokens: 3000, ProducedTokens: 100, ExpectedTokens: 2000}
	short := Generation{PromptTokens: 3000, ProducedTokens: 100, ExpectedTokens: 400}
	require.Equal(t, 1, NextToMigrate([]Generation{nearlyDone, long, short}))
	require.Equal(t, 1, NextToMigrate([]Generation{nearlyDone, short}))
	require.Equal(t, -1, NextToMigrate(nil))
}

var lastRequestID uint64

// withID sets a unique ID, as hosts do.
func withID(r CopyRequest) CopyRequest {
	lastRequestID++
	r.ID = lastRequestID
	return r
}

func acquire(t *testing.T, scheduler *CopyScheduler, r CopyRequest) CopyGrant {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	grant, ok := scheduler.Acquire(ctx, withID(r))
	require.True(t, ok)
	return grant
}

func tryAcquire(t *testing.T, scheduler *CopyScheduler, r CopyRequest) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, ok := scheduler.Acquire(ctx, withID(r))
	return ok
}

var destinations = []Destination{{"b", 10_000}, {"c", 10_000}}

// Guards against two copies on one link, where the final copy of one stream would wait
// for the other.
func TestOneCopyPerLink(t *testing.T) {
	scheduler := NewCopyScheduler()
	first := acquire(t, scheduler, CopyRequest{Run: "1", Source: "a", Tokens: 4000, Destinations: destinations})
	require.Equal(t, "b", first.Destination)
	require.False(t, tryAcquire(t, scheduler, CopyRequest{Run: "2", Source: "a", Tokens: 4000, Destinations: destinations}), "the source is busy")
	second := acquire(t, scheduler, CopyRequest{Run: "3", Source: "d", Tokens: 4000, Destinations: destinations})
	require.Equal(t, "c", second.Destination, "the preferred destination is busy")
	scheduler.Release(first.ID)
	require.Equal(t, "b", acquire(t, scheduler, CopyRequest{Run: "2", Source: "a", Tokens: 4000, Destinations: destinations}).Destination)
}

// Guards against granting more generations than a destination has memory for, before
// load reports include them.
func TestReservedMemoryIsNotGrantedTwice(t *testing.T) {
	scheduler := NewCopyScheduler()
	onlyB := []Destination{{"b", 6000}}
	first := acquire(t, scheduler, CopyRequest{Run: "1", Source: "a", Tokens: 4000, Destinations: onlyB})
	scheduler.Release(first.ID)
	require.False(t, tryAcquire(t, scheduler, CopyRequest{Run: "2", Source: "a", Tokens: 4000, Destinations: onlyB}))
}

// Guards against links that stay reserved after their host has failed.
func TestLeaseExpires(t *testing.T) {
	scheduler := NewCopyScheduler()
	acquire(t, scheduler, CopyRequest{Run: "1", Source: "a", Tokens: 1, Destinations: destinations})
	acquire(t, scheduler, CopyRequest{Run: "2", Source: "a", Tokens: 1, Destinations: destinations}) // waits until the lease expires
}

// Guards against a link that is reserved for a host that no longer waits.
func TestCancelledWaitHoldsNoLink(t *testing.T) {
	scheduler := NewCopyScheduler()
	first := acquire(t, scheduler, CopyRequest{Run: "1", Source: "a", Tokens: 1, Destinations: destinations})
	require.False(t, tryAcquire(t, scheduler, CopyRequest{Run: "2", Source: "a", Tokens: 1, Destinations: destinations}))
	scheduler.Release(first.ID)
	require.Empty(t, scheduler.leases)
	require.Empty(t, scheduler.waiters)
}

// Guards against a grant to a host whose call has timed out in the meantime.
func TestReleaseEndsWait(t *testing.T) {
	scheduler := NewCopyScheduler()
	first := acquire(t, scheduler, CopyRequest{Run: "1", Source: "a", Tokens: 1, Destinations: destinations})
	waiting := withID(CopyRequest{Run: "2", Source: "a", Tokens: 1, Destinations: destinations})
	ended := make(chan bool)
	go func() {
		_, ok := scheduler.Acquire(t.Context(), waiting)
		ended <- ok
	}()
	require.Eventually(t, func() bool { scheduler.mu.Lock(); defer scheduler.mu.Unlock(); return len(scheduler.waiters) == 1 }, 10*time.Second, time.Millisecond)
	scheduler.Release(waiting.ID)
	require.False(t, <-ended)
	scheduler.Release(first.ID)
	require.Empty(t, scheduler.leases)
}
