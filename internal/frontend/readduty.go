package frontend

import (
	"time"
)

const (
	// standbyReadAge is the age of the last confirmation by any reader after which other hosts
	// start to read the store, one more per standbyReadStagger. It is above the age that one
	// regular reader leaves: the store holds a read for 0.9 s, the next follows after 0.15 s,
	// and the hosts of a cell hear of it within 0.4 s. The stagger limits the calls, which cost
	// money and would all fail in an outage.
	standbyReadAge     = 1500 * time.Millisecond
	standbyReadStagger = 100 * time.Millisecond
	// readTerm is how long a host that has stepped in goes on reading. Then it pauses for
	// standbyReadAge, so that it stops if the regular readers are back, or if several hosts
	// have stepped in at once.
	readTerm = 4 * time.Second
	// catchUpAge is how long a host waits for rows that another host has announced before it
	// reads the store itself. Fetches over silent connections take less.
	catchUpAge = 700 * time.Millisecond
	// startReadDelay is how long a starting host waits for its peers' tables before it reads
	// whole tables from the store. startReadStagger is added per host of lower rank.
	startReadDelay   = 250 * time.Millisecond
	startReadStagger = 20 * time.Millisecond
)

// readSituation is what a host knows when it decides whether to read a table.
type readSituation struct {
	now, startedAt time.Time
	// rank is the host's place among the regular readers, and standbyRank its place among the
	// hosts that step in. They differ, so that the hosts of a data centre that is cut from the
	// store do not all come first.
	rank, standbyRank, readers int
	isSeed                     bool
	// confirmedAt is when the store last confirmed the table to any host; known is false while
	// the table is not loaded.
	confirmedAt time.Time
	known       bool
	// behindSince is since when another host has newer rows than this one; zero if none has.
	behindSince time.Time
}

// readDuty decides whether a host reads a table from the store. A few hosts read for all;
// others step in, one after another, while no reader reaches the store. It answers hosts that
// live and talk to each other, but are cut from the store: a host that steps in must go on
// reading, or each change would wait until the table is old again. It also answers a host that
// hears of newer rows but can not fetch them: it reads once, whatever its rank, since the others
// confirm that the store is read. It is used by one goroutine.
type readDuty struct {
	// termEnd is the end of the term of a host that has stepped in; zero if it has none.
	termEnd time.Time
	// firstRead is set until the first read of the term has ended, and catchingUp until the
	// read of a host that is behind has ended.
	firstRead, catchingUp bool
}

// mayWait reports whether the store may hold the next read open while there are no changes.
// The first read of a term must confirm the table at once, or further hosts step in.
func (d *readDuty) mayWait() bool { return !d.firstRead && !d.catchingUp }

// recordRead records the end of a read. It ends the term of a host whose read failed, since
// others may reach the store, and reports whether the other hosts should hear of it at once.
func (d *readDuty) recordRead(err error) (announce bool) {
	announce = d.firstRead && err == nil
	d.firstRead, d.catchingUp = false, false
	if err != nil {
		d.termEnd = time.Time{}
	}
	return announce
}

// shouldRead reports whether the host reads the table now.
func (d *readDuty) shouldRead(s readSituation) bool {
	sinceStart := s.now.Sub(s.startedAt)
	switch {
	case s.rank < s.readers && (s.isSeed || sinceStart > startReadDelay):
		return true
	case !s.known:
		return sinceStart > startReadDelay+time.Duration(s.rank)*startReadStagger
	case s.now.Before(d.termEnd):
		return true
	case !s.behindSince.IsZero() && s.now.Sub(s.behindSince) > catchUpAge:
		d.catchingUp = true
		return true
	}
	wait := standbyReadAge
	if justRead := s.now.Sub(d.termEnd) < readTerm; !justRead {
		wait += time.Duration(s.standbyRank) * standbyReadStagger
	}
	if s.now.Sub(s.confirmedAt) <= wait {
		return false
	}
	d.termEnd, d.firstRead = s.now.Add(readTerm), true
	return true
}
