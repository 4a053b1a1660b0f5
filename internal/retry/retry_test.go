package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Retries must stay within a tenth of the first attempts plus the minimum rate and the
// saved retries.
func TestRetriesAreBounded(t *testing.T) {
	var b Budget
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	allowed := 0
	for range 10000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordAttempt()
		if b.Allow(now) {
			allowed++
		}
	}
	require.LessOrEqual(t, allowed, 1000+20+10)
	require.GreaterOrEqual(t, allowed, 1000)
}

// The minimum rate must allow retries without traffic, and the saved retries must be
// limited.
func TestMinimumRateAndSavedRetries(t *testing.T) {
	var b Budget
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	drain := func() (n int) {
		for b.Allow(now) {
			n++
		}
		return n
	}
	require.Equal(t, 10, drain())
	now = now.Add(5 * time.Second)
	require.Equal(t, 1, drain())
	now = now.Add(time.Hour)
	require.Equal(t, 10, drain())
}
