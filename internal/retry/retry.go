// Package retry limits retries to a share of the first attempts, so that retries do not
// add load to an upstream that is already failing.
package retry

import "time"

const (
	// retriesPerAttempt is the number of retries that each first attempt earns.
	retriesPerAttempt = 0.1
	// minRetriesPerSecond is earned without any attempts, so that retries are possible
	// at low traffic.
	minRetriesPerSecond = 0.2
	// maxSavedRetries is the capacity of the bucket.
	maxSavedRetries = 10.0
)

// Budget is a token bucket of retries. Its zero value is a full bucket. It is not safe
// for concurrent use.
type Budget struct {
	spentRetries float64 // retries missing from a full bucket
	lastRefill   time.Time
}

// RecordAttempt adds the retries that one first attempt earns.
func (b *Budget) RecordAttempt() { b.spentRetries = max(b.spentRetries-retriesPerAttempt, 0) }

// Allow reports whether a retry may be made now, and takes it from the bucket.
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
