// Package retry bounds the retries of a daemon to a share of its first attempts,
// so that retries do not add an overload to a failure.
package retry

import "time"

const (
	// share is the number of retries that each first attempt earns.
	share = 0.1
	// floorPerSecond is earned without any attempt, so that light traffic can retry.
	floorPerSecond = 0.2
	// burst bounds the retries saved up.
	burst = 10.0
)

// Budget is a token bucket of retries. Its zero value is a full bucket. It is
// not safe for concurrent use and needs no closing.
type Budget struct {
	spent float64 // missing from a full bucket
	last  time.Time
}

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.spent = max(b.spent-share, 0) }

// Allow reports whether a retry may be made now, and takes it from the budget.
func (b *Budget) Allow(now time.Time) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.spent = max(b.spent-floorPerSecond*now.Sub(b.last).Seconds(), 0)
	}
	if now.After(b.last) {
		b.last = now
	}
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
