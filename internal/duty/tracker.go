// Package duty decides which host carries out a task that only one host may carry out at a time.
// The ownership of a duty is a row in the platform's store, changed on condition. Each holder has
// a fencing token that is higher than those of all holders before it. Tracker decides and does no
// I/O; Runner executes its decisions.
package duty

import (
	"time"
)

const (
	// renewShare is the fraction of the term after which a holder confirms its claim again. Two
	// confirmations may fail before the claim ends.
	renewShare = 0.3
	// watchInterval is the interval at which the first two hosts in rank read the row. That of
	// rank r is r² times as long, so that any number of hosts makes less than three reads together
	// per watchInterval.
	watchInterval = time.Second
	// claimStagger is the additional delay per rank before a host claims an abandoned duty, up
	// to maxClaimDelay. The hosts of lower rank then see that the row has changed.
	claimStagger  = 200 * time.Millisecond
	maxClaimDelay = time.Second
	// minRetryPause is the pause after a failed call to the store. It doubles up to maxRetryPause.
	minRetryPause = 300 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// maxWait bounds how long a decision to wait holds, since ranks change.
	maxWait = time.Second
)

// Instant is a time on the local clock that also runs while the machine is suspended.
type Instant time.Duration

// Add returns the instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration since another instant.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Row is the content of a duty's row.
type Row struct {
	// Holder is the name of the host that holds the duty; empty if the last one released it.
	Holder string `json:"holder"`
	// Process identifies the holder's process. A restarted host claims the duty anew.
	Process string `json:"process"`
	Token   uint64 `json:"token"`
	// State is what the next holder must know, encoded by the duty's task.
	State []byte `json:"state,omitempty"`
}

// Observation is a row as read from the store.
type Observation struct {
	Row
	// Revision is the row's revision; 0 means that there is no row.
	Revision uint64
	// StoreRevision is the revision of the whole store at the read.
	StoreRevision uint64
}

// Action is what a host does next about a duty.
type Action int

const (
	// Wait does nothing until the returned time.
	Wait Action = iota
	// Read reads the row.
	Read
	// Claim writes the row with a new token.
	Claim
	// Confirm writes the row unchanged, which extends the term. If the token of the row was retired,
	// it raises the token.
	Confirm
	// Release writes the row without a holder.
	Release
)

// String returns the action's name in metrics and logs.
func (a Action) String() string {
	return [...]string{"wait", "read", "claim", "confirm", "release"}[a]
}

// WriteResult is the result of a conditional write.
type WriteResult int

const (
	// Written means that the row was written.
	Written WriteResult = iota
	// Conflict means that the row had another revision; nothing was written.
	Conflict
	// NotWritten means that the store refused the write without executing it.
	NotWritten
	// Unknown means that the write may have been executed, or may be executed later.
	Unknown
)

// Tracker tracks one duty at one host. It answers holders that are killed, pause or lose the
// store: a claim holds for a term from the start of the write that confirmed it, on the holder's
// own clock, and other hosts claim the duty only after they have seen the row unchanged for longer
// than a term. The clocks of two hosts are never compared. It is not safe for concurrent use.
type Tracker struct {
	host, process string
	term          time.Duration
	// margin is the time at the end of a term in which a holder does not act.
	margin time.Duration

	seen Observation
	// known is set once the row has been read; unchangedSince is when this host first saw the
	// current revision.
	known          bool
	unchangedSince Instant
	readAt         Instant
	nextCallAt     Instant
	retryPause     time.Duration
	startedAt      Instant
	// mustRead is set while the row may have another revision than the one seen.
	mustRead bool

	// token is the token of this process's claim, 0 if it has none; confirmedAt is the start of
	// the write that last confirmed it.
	token       uint64
	confirmedAt Instant
	// notBefore is the earliest time of the next claim. A host that has acted must not act under
	// a new token within a term if another host has acted in between.
	notBefore Instant
	// mayHaveActed is set from a written claim until its loss, also while its token is retired.
	mayHaveActed bool
	// retired is the highest token that this process must not use again.
	retired uint64
	// yieldedUntil is the end of the time in which this host leaves the duty to others.
	yieldedUntil Instant
}

// NewTracker returns a tracker of a duty that is started now at a host. process identifies the
// process among all that run on the host; term is the length of a claim. In the last part of the
// term, margin, the holder does not act: it is for pauses of the process that go unnoticed, and
// for clocks of different rates.
func NewTracker(host, process string, term, margin time.Duration, now Instant) *Tracker {
	// An earlier process of this host may have acted just before.
	return &Tracker{host: host, process: process, term: term, margin: margin, startedAt: now, notBefore: now.Add(term), nextCallAt: now.Add(term / 2)}
}

// Next returns what to do now. rank is this host's place among the live hosts, from 0; willing is
// false if the host must not hold the duty, because it is starting or stopping. An action other
// than Wait is due now, otherwise until is when to ask again at the latest.
func (t *Tracker) Next(now Instant, rank int, willing bool) (action Action, until Instant) {
	due, action := t.nextDue(now, rank, willing)
	due = max(due, t.nextCallAt)
	if action == Wait || now < due {
		return Wait, min(max(due, now), now.Add(maxWait))
	}
	if action == Release {
		t.lose(now)
	}
	return action, now
}

func (t *Tracker) nextDue(now Instant, rank int, willing bool) (Instant, Action) {
	willing = willing && now >= t.yieldedUntil
	switch {
	case !t.known:
		// By then the host knows its rank.
		return t.startedAt.Add(t.term/2 + watchDelay(rank) - watchInterval), Read
	case t.mustRead:
		return t.readAt, Read
	case t.ownsRow() && !willing:
		return now, Release
	case t.ownsRow():
		return t.confirmedAt.Add(time.Duration(renewShare * float64(t.term))), Confirm
	case !willing:
		return now.Add(maxWait), Wait
	}
	// A claim needs a recent read, or it would only meet a conflict.
	recent := t.readAt.Add(watchInterval)
	if claimAt := t.claimableAt(rank); claimAt < recent && now < recent {
		return claimAt, Claim
	}
	return t.readAt.Add(watchDelay(rank)), Read
}

// ownsRow reports whether the row names this process. If the answer to the claim was lost, the
// process has no token yet; confirming the row gives it one.
func (t *Tracker) ownsRow() bool {
	return t.known && t.seen.Holder == t.host && t.seen.Process == t.process
}

// claimableAt returns when this host may claim the duty unless the row changes.
func (t *Tracker) claimableAt(rank int) Instant {
	at := t.unchangedSince.Add(min(time.Duration(rank)*claimStagger, maxClaimDelay))
	if released := t.seen.Revision != 0 && t.seen.Holder == ""; !released {
		at = at.Add(t.term)
	}
	return max(at, t.notBefore)
}

func watchDelay(rank int) time.Duration {
	const maxRank = 1 << 10 // limits the delay, whatever the number of hosts
	r := time.Duration(max(min(rank, maxRank), 1))
	return r * r * watchInterval
}

// Observed records a read that started and ended at the given times.
func (t *Tracker) Observed(o Observation, startedAt, endedAt Instant) {
	t.readAt, t.retryPause = endedAt, 0
	if t.known && o.StoreRevision < t.seen.StoreRevision {
		return // older than what this host has written or read since
	}
	if !t.known || o.Revision != t.seen.Revision {
		t.unchangedSince = endedAt
	}
	t.seen, t.known, t.mustRead = o, true, false
	if t.mayHaveActed && (!t.ownsRow() || t.token != 0 && o.Token != t.token) {
		t.lose(endedAt)
	}
}

// ReadFailed records a failed read.
func (t *Tracker) ReadFailed(endedAt Instant) {
	t.readAt = endedAt
	t.pauseCalls(endedAt)
}

// pauseCalls delays the next call to the store after one that failed.
func (t *Tracker) pauseCalls(endedAt Instant) {
	t.retryPause = min(max(2*t.retryPause, minRetryPause), maxRetryPause)
	t.nextCallAt = endedAt.Add(t.retryPause)
}

// StorePaused reports whether the next call to the store is delayed.
func (t *Tracker) StorePaused(now Instant) bool { return now < t.nextCallAt }

// Proposal returns the row that an action writes, and the revision that the row must have.
func (t *Tracker) Proposal(a Action, state []byte) (row Row, expected uint64) {
	row = t.seen.Row
	if state != nil {
		row.State = state
	}
	switch {
	case a == Release:
		row.Holder, row.Process = "", ""
	case a == Claim || t.seen.Token <= t.retired:
		// The store's revision is higher than all tokens so far: each was at most one above the
		// revision at which its row was read, and its write has raised the revision. That holds
		// even if the row was deleted.
		row.Holder, row.Process, row.Token = t.host, t.process, t.seen.StoreRevision+1
	}
	return row, t.seen.Revision
}

// Wrote records the result of a write of a row that started and ended at the given times.
// revision is the row's new revision if it was written.
func (t *Tracker) Wrote(row Row, result WriteResult, revision uint64, startedAt, endedAt Instant) {
	if row.Holder == "" {
		// Another host may claim the duty from now on, whatever the outcome.
		t.lose(endedAt)
	}
	switch result {
	case Written:
		t.seen = Observation{Row: row, Revision: revision, StoreRevision: max(revision, t.seen.StoreRevision)}
		t.unchangedSince, t.retryPause = endedAt, 0
		if !t.ownsRow() {
			t.lose(endedAt)
			return
		}
		t.token, t.confirmedAt, t.mayHaveActed = row.Token, startedAt, true
	case Conflict:
		// The row may still name this process, if an earlier write was executed late.
		t.mustRead = true
	case Unknown:
		t.mustRead = true
		t.pauseCalls(endedAt)
	case NotWritten:
		t.pauseCalls(endedAt)
	}
}

// lose ends this process's claim.
func (t *Tracker) lose(now Instant) {
	if t.mayHaveActed {
		t.notBefore = max(t.notBefore, now.Add(t.term))
	}
	t.token, t.mayHaveActed = 0, false
}

// Retire ends the use of a token: the platform has rejected it, or a call that bore it may still
// be executed and must not undo a later one. If the row still names this process, the next
// confirmation raises the token.
func (t *Tracker) Retire(token uint64) {
	t.retired = max(t.retired, token)
	if t.token <= t.retired {
		t.token, t.confirmedAt = 0, 0
	}
}

// Yield makes this host leave the duty to others for a time, because it can not carry it out.
func (t *Tracker) Yield(until Instant) { t.yieldedUntil = until }

// Grant is a claim as the task of a duty uses it.
type Grant struct {
	Token uint64
	State []byte
	// Until is the end of the time in which the holder may act.
	Until Instant
}

// Grant returns the claim of this process; false if it has none that is good now.
func (t *Tracker) Grant(now Instant) (Grant, bool) {
	until := t.confirmedAt.Add(t.term - t.margin)
	if t.token == 0 || now >= until {
		return Grant{}, false
	}
	return Grant{Token: t.token, State: t.seen.State, Until: until}, true
}

// Holder returns the holder and the token as this host last saw them.
func (t *Tracker) Holder() (host string, token uint64) { return t.seen.Holder, t.seen.Token }

// String returns the result's name in metrics.
func (r WriteResult) String() string {
	return [...]string{"written", "conflict", "refused", "unknown"}[r]
}
