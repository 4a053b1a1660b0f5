package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

// Guards against a log line for each refusal of an engine that sends an invalid value.
func TestInvalidBackOffsAreLoggedOnceAMinute(t *testing.T) {
	b, u, now := newBackOffs(), &catalog.Upstream{ID: "i-1", Incarnation: 1}, time.Unix(1000, 0)
	require.True(t, b.shouldLogInvalid(u, now))
	require.False(t, b.shouldLogInvalid(u, now.Add(time.Second)))
	require.True(t, b.shouldLogInvalid(&catalog.Upstream{ID: "i-1", Incarnation: 2}, now.Add(time.Second)))
	b.evict(now.Add(2*invalidLogInterval), func(incarnation) bool { return true })
	require.Empty(t, b.invalidLoggedAt)
}

// Guards against a shorter back-off that ends a longer one, against a long one that is cut, and
// against one that outlives an upstream's new start.
func TestBackOffEnds(t *testing.T) {
	b, now := newBackOffs(), time.Unix(1000, 0)
	u, restarted := &catalog.Upstream{ID: "i-1", Incarnation: 1}, &catalog.Upstream{ID: "i-1", Incarnation: 2}
	b.add(u, 10*time.Second, now)
	b.add(u, time.Second, now)
	_, active := b.activeUntil(u, now.Add(9*time.Second))
	require.True(t, active)
	_, active = b.activeUntil(restarted, now)
	require.False(t, active)
	b.add(u, time.Hour, now)
	_, active = b.activeUntil(u, now.Add(time.Hour-time.Millisecond))
	require.True(t, active)
	_, active = b.activeUntil(u, now.Add(time.Hour))
	require.False(t, active)
	b.evict(now, func(key incarnation) bool { return key.start != 1 })
	require.Empty(t, b.until)
}
