package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/duty"
)

const (
	// maxSlew is the largest change of the time of day against the steady clock that counts as a
	// correction; a larger one is a step.
	maxSlew = 100 * time.Millisecond
	// stepHold is how long a step must last until the clock follows it without other hosts'
	// confirmation.
	stepHold = time.Minute
	// minComparedHosts is the number of other hosts whose clocks must be known before this one is
	// set by them.
	minComparedHosts = 2
)

// Clock is an estimate of true time. It ignores steps of this host's time of day and follows the
// median of the hosts that it talks to, so that a request counts in the same window everywhere. It
// is safe for concurrent use.
type Clock struct {
	wall   func() time.Time
	steady func() duty.Instant

	mu sync.Mutex
	// offset is the time of day, in Unix nanoseconds, at the steady clock's zero.
	offset       time.Duration
	steppedSince duty.Instant
	deviations   map[string]time.Duration
}

// NewClock returns a clock that starts with this host's time of day.
func NewClock(wall func() time.Time, steady func() duty.Instant) *Clock {
	c := &Clock{wall: wall, steady: steady, deviations: make(map[string]time.Duration)}
	c.offset = c.wallOffset(steady())
	return c
}

func (c *Clock) wallOffset(steady duty.Instant) time.Duration {
	return time.Duration(c.wall().UnixNano()) - time.Duration(steady)
}

// Now returns the estimated true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nowLocked()
}

func (c *Clock) nowLocked() time.Time {
	steady := c.steady()
	current := c.wallOffset(steady)
	switch {
	case (current - c.offset).Abs() <= maxSlew:
		// After a correction by other hosts, small differences between clocks remain.
		if len(c.deviations) < minComparedHosts {
			c.offset = current
		}
		c.steppedSince = 0
	case c.steppedSince == 0:
		c.steppedSince = steady
	case steady.Sub(c.steppedSince) > stepHold && len(c.deviations) < minComparedHosts:
		c.offset, c.steppedSince = current, 0
	}
	return time.Unix(0, int64(steady)+int64(c.offset))
}

// Compare takes the time of another host, received in an answer to a message that was sent and
// answered at the given times of this clock.
func (c *Clock) Compare(host string, theirs, sentAt, answeredAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	roundTrip := answeredAt.Sub(sentAt)
	if roundTrip > maxSlew {
		return // the answer may have waited on either way
	}
	c.deviations[host] = theirs.Sub(sentAt.Add(roundTrip / 2))
	if len(c.deviations) < minComparedHosts {
		return
	}
	all := append(slices.Collect(maps.Values(c.deviations)), 0)
	slices.Sort(all)
	if median := all[len(all)/2]; median.Abs() > maxSlew {
		c.offset += median
		clear(c.deviations)
	}
}
