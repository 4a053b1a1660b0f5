// Package membership decides which daemons form the cell and what each of them
// may do: send new work, commit a change, grant permits for a pool.
//
// Tracker holds the rules. It does no I/O and reads no clock; package runner
// passes it the results of reads of the table service (the store) and of calls
// between daemons.
//
// All times are values of one process's monotonic clock and are never sent to
// another process. A confirmation is dated to the start of the read or call that
// returned it, so the confirmations of a paused process have expired when it resumes.
package membership

import "time"

const (
	// ConfirmationValidity is the time for which a confirmation of the configuration
	// revision or of the membership lease is valid. Requirement R3 depends on it: a
	// daemon that is cut off sends new work for at most ConfirmationValidity plus
	// DispatchTimeout after its last confirmation.
	ConfirmationValidity = 3 * time.Second
	// DispatchTimeout bounds the time between a successful MaySend and the dispatch.
	DispatchTimeout = 500 * time.Millisecond
	// HeartbeatInterval is the interval between heartbeat calls to each member.
	HeartbeatInterval = 500 * time.Millisecond
	// PollInterval is the interval at which pollers read the head revision and the view.
	PollInterval = 500 * time.Millisecond
	// StaleConfirmationAge is the age of the latest confirmation above which a
	// daemon that is not a poller reads the store itself.
	StaleConfirmationAge = time.Second

	// pauseThreshold is the gap between two inputs above which the tracker assumes
	// that the process was paused. It then cannot tell which members were silent.
	pauseThreshold = time.Second
	pollerCount    = 2
)
