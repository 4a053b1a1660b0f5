// Package timeline records the events of each process and merges the events of several
// processes into one list in causal order.
package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	counterBits = 16
	counterMask = 1<<counterBits - 1
	// maxClockAhead bounds how far a received timestamp may be ahead of the local wall
	// clock. Otherwise one host with a wrong clock would advance the clocks of all hosts.
	maxClockAhead = time.Minute

	timeLayout = "2006-01-02T15:04:05.000Z"
)

// Timestamp is a reading of a hybrid logical clock: 48 bits of milliseconds since the
// Unix epoch and a 16-bit counter. Timestamps are ordered as integers.
type Timestamp uint64

func fromTime(t time.Time) Timestamp {
	return Timestamp(max(t.UnixMilli(), 0)) << counterBits
}

// TimestampOf returns the first timestamp of the given wall-clock time.
func TimestampOf(t time.Time) Timestamp { return fromTime(t) }

// Time returns the wall-clock part of the timestamp in UTC.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)).UTC() }

// String returns a form such as 2026-12-04T06:00:00.000Z/00003, whose alphabetical order is
// the order of the timestamps.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s/%05d", t.Time().Format(timeLayout), uint64(t&counterMask))
}

// MarshalText returns the form of String.
func (t Timestamp) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText accepts the form of String and any RFC 3339 time.
func (t *Timestamp) UnmarshalText(text []byte) error {
	wall, counter, found := strings.Cut(string(text), "/")
	at, err := time.Parse(time.RFC3339Nano, wall)
	if err != nil {
		return fmt.Errorf("timestamp %q: use a time such as 2026-12-04T06:00:00Z", text)
	}
	*t = fromTime(at)
	if !found {
		return nil
	}
	n, err := strconv.ParseUint(counter, 10, counterBits)
	if err != nil {
		return fmt.Errorf("timestamp %q: the counter is not an unsigned %d-bit number", text, counterBits)
	}
	*t |= Timestamp(n)
	return nil
}

// Clock is a hybrid logical clock. Each reading is greater than all earlier readings and
// all timestamps that Observe accepted before it. It is safe for concurrent use.
type Clock struct {
	wallClock func() time.Time
	mu        sync.Mutex
	last      Timestamp
}

// NewClock returns a clock that is based on the given wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wallClock: wall} }

// Now returns the next reading, for an event or for a message to send.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, fromTime(c.wallClock()))
	return c.last
}

// Observe advances the clock to the timestamp of a received message. A timestamp that is
// more than maxClockAhead ahead of the wall clock is ignored.
func (c *Clock) Observe(remote Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote > c.last && remote <= fromTime(c.wallClock().Add(maxClockAhead)) {
		c.last = remote
	}
}
