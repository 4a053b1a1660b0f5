// Package retry bounds the retries of a daemon to a share of its first attempts,
// so that retries do not add an overload to a failure.
package retry

import "time"

const (
	// retriesPerAttempt is the number of retries that each first attempt earns.
	retriesPerAttempt = 0.1
	// minRetriesPerSecond is earned without any attempt, so that light traffic can retry.
	minRetriesPerSecond = 0.2
	// maxSavedRetries bounds the retries saved up.
	maxSavedRetries = 10.0
)

// Budget is a token bucket of retries. Its zero value is a full bucket. It is
// not safe for concurrent use and needs no closing.
type Budget struct {
	spentRetries float64 // missing from a full bucket
	lastRefill   time.Time
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt() { b.spentRetries = max(b.spentRetries-retriesPerAttempt, 0) }

// Allow reports whether a retry may be made now, and takes it from the budget.
func (b *Budget) Allow(now time.Time) bool {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.spentRetries = max(b.spentRetries-minRetriesPerSecond*now.Sub(b.lastRefill).Seconds(), 0)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
	if b.spentRetries+1 > maxSavedRetries {
		return false
	}
	b.spentRetries++
	return true
}
