// Package membership decides which daemons form the cell and what each of them
// may do: send new work, commit a change, grant permits for a pool.
//
// Tracker is the pure core. It does no I/O and reads no clock. Runner feeds it
// with reads of the table service and with calls between daemons.
//
// All times are values of one process's monotonic clock and never cross the
// wire. A confirmation counts from the start of the read or call that brought
// it, so a process that was paused finds its confirmations expired on resume.
package membership

import "time"

const (
	// ConfirmationValidity is the freshness bound and the term of the membership lease. The
	// capacity of R3 depends on it: a daemon that is cut off sends for at most
	// ConfirmationValidity plus DispatchTimeout after its last confirmation.
	ConfirmationValidity = 3 * time.Second
	// DispatchTimeout bounds the time between the check of MaySend and the dispatch.
	DispatchTimeout = 500 * time.Millisecond
	// HeartbeatInterval is the interval between calls to each member.
	HeartbeatInterval = 500 * time.Millisecond
	// PollInterval is the interval at which pollers read the head and the view.
	PollInterval = 500 * time.Millisecond
	// StaleConfirmationAge is the age of a confirmation at which a daemon that is not a
	// poller reads the store itself.
	StaleConfirmationAge = time.Second

	// pauseThreshold is the gap between two inputs after which the process is taken to
	// have been paused. It cannot tell then which members were silent.
	pauseThreshold = time.Second
	pollerCount    = 2
)
