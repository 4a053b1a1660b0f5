package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time on the clock that counts the time in which the machine is suspended.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Systems without that clock do not resume processes after a suspension.
		return Instant(time.Since(processStart))
	}
	return Instant(t.Nano())
}
