// Package discovery lets hosts find each other through a table that outlasts them all. The
// addresses in a host's settings may name hosts that are down or gone; hosts that start so would
// stay apart for good, and each group would use the limits of the whole site.
//
// A few hosts of each group of hosts that know each other read the table, register the members
// of the group that it lacks, and contact the hosts that the group does not know. A host that
// knows no other is a group of its own. The calls do not grow with the number of hosts.
//
// The decisions are pure: Schedule and makePlan do no I/O and do not read the clock.
package discovery

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	// settleTime is how long a starting host that knows others waits before its first pass, so
	// that the site has found together as far as seeds lead.
	settleTime = time.Second
	// aloneDelay is how long a host waits for an answer of its seeds before it reads the table,
	// and startSpread the time over which a hash of the name spreads the hosts that do so:
	// 2,600 hosts that start at once read 1,300 pages a second; the store allows 2,000.
	aloneDelay  = 300 * time.Millisecond
	startSpread = 2 * time.Second
	// passInterval is the time between two passes of a group, for each page of the table. The
	// hosts of the next ranks pass at twice and four times the interval, in case the first one
	// is cut from the store.
	passInterval   = 15 * time.Second
	lastActingRank = 2
	// registerInterval is the time after a pass in which new members of the group are collected
	// before they are registered.
	registerInterval = 3 * time.Second
	// aloneInterval is the time between the first passes of a host that stays alone, and
	// failureInterval the one after the first failed pass. Both double up to passInterval.
	aloneInterval   = time.Second
	failureInterval = 3 * time.Second
	// removalAge is how long the host of a row must have been unknown, and the row unchanged,
	// before the row is removed. A host that knows no other may itself be cut off, and waits
	// for aloneRemovalAge.
	removalAge      = 5 * time.Minute
	aloneRemovalAge = time.Hour
	// maxContactsWhenAlone bounds the hosts that a host contacts after a pass while it knows no
	// other: any answer leads it to all hosts.
	maxContactsWhenAlone = 32
)

// Host is what the table holds of a host.
type Host struct {
	Name          string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
}

// Row is a host as the table holds it.
type Row struct {
	Host
	// Revision is that of the row's last change; 0 if there is no row.
	Revision uint64
}

// View is what a host knows of the others.
type View struct {
	Self Host
	// Live are the other live hosts.
	Live []Host
}

func (v View) alone() bool { return len(v.Live) == 0 }

// Standing is the part of a View from which the schedule follows.
type Standing struct {
	// LiveCount is the number of other live hosts.
	LiveCount int
	// Rank is the host's place, by a hash of its name, among the live hosts that do not drain.
	Rank     int
	Draining bool
}

func (s Standing) alone() bool { return s.LiveCount == 0 }

// Schedule decides when a host makes a pass over the table. The zero value is not ready for use.
type Schedule struct {
	startedAt time.Time
	// spread is this host's delay among hosts that do the same at once, as a fraction.
	spread float64
	// hasSeeds is false for a host without seeds, whose start is not one of many.
	hasSeeds bool

	aloneSince  time.Time
	wasAlone    bool
	lastPassAt  time.Time
	failures    int
	passesAlone int
	// pages and rows are the size of the table after the last pass.
	pages, rows int
}

// NewSchedule returns the schedule of a host that starts now.
func NewSchedule(name string, hasSeeds bool, startedAt time.Time) *Schedule {
	const steps = 1 << 16
	return &Schedule{startedAt: startedAt, spread: float64(retry.Hash(name)%steps) / steps, hasSeeds: hasSeeds, pages: 1}
}

// Due reports whether a pass is due.
func (s *Schedule) Due(standing Standing, now time.Time) bool {
	alone := standing.alone()
	if alone != s.wasAlone {
		s.wasAlone, s.aloneSince, s.passesAlone = alone, now, 0
	}
	sinceLast := now.Sub(s.lastPassAt)
	switch {
	case standing.Draining || !alone && standing.Rank > lastActingRank:
		return false
	case s.failures > 0:
		return sinceLast >= s.backOff(failureInterval, s.failures)
	case alone && s.passesAlone > 0:
		return sinceLast >= s.backOff(aloneInterval, s.passesAlone)
	case alone && s.hasSeeds:
		return now.Sub(s.aloneSince) >= aloneDelay+time.Duration(s.spread*float64(startSpread))
	case alone:
		return true
	case standing.Rank == 0 && s.lastPassAt.IsZero():
		return now.Sub(s.startedAt) >= settleTime
	case standing.Rank == 0 && standing.LiveCount+1 > s.rows: // some have no row
		return sinceLast >= registerInterval
	}
	interval := passInterval << standing.Rank * time.Duration(s.pages)
	return sinceLast >= interval && now.Sub(s.startedAt) >= interval
}

// backOff returns the time after the given number of passes without success, spread over the hosts.
func (s *Schedule) backOff(first time.Duration, passes int) time.Duration {
	d := min(first<<min(passes-1, 8), passInterval)
	return time.Duration((0.5 + s.spread) * float64(d))
}

// passed records the end of a pass, after which the table has some pages and rows.
func (s *Schedule) passed(alone bool, err error, pages, rows int, now time.Time) {
	s.lastPassAt = now
	if err != nil {
		s.failures++
		return
	}
	s.failures, s.pages, s.rows = 0, max(pages, 1), rows
	if alone {
		s.passesAlone++
	}
}

// absence is since when the host of an unchanged row has been unknown.
type absence struct {
	revision uint64
	since    time.Time
}

// plan is what follows from a pass.
type plan struct {
	contact      []Host
	put, removed []Row
}

// makePlan compares the table with the live hosts. absent holds the absences that earlier passes
// have found, and is updated. firstAlone is set for the first pass of a host that is alone:
// it contacts the hosts of the table before it writes, since of many hosts that start at once
// most then need no row of their own.
func makePlan(v View, rows []Row, absent map[string]absence, firstAlone bool, now time.Time) plan {
	live := make(map[string]Host, len(v.Live)+1)
	for _, h := range v.Live {
		live[h.Name] = h
	}
	live[v.Self.Name] = v.Self
	var p plan
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		seen[row.Name] = true
		if h, isLive := live[row.Name]; isLive {
			delete(absent, row.Name)
			if h != row.Host {
				p.put = append(p.put, Row{h, row.Revision})
			}
			continue
		}
		a, known := absent[row.Name]
		if !known || a.revision != row.Revision {
			a = absence{row.Revision, now}
			absent[row.Name] = a
		}
		age := removalAge
		if v.alone() {
			age = aloneRemovalAge
		}
		if now.Sub(a.since) >= age {
			p.removed = append(p.removed, row)
			continue
		}
		if row.PeerAddress != "" { // empty if the row could not be read
			p.contact = append(p.contact, row.Host)
		}
	}
	for name := range absent {
		if !seen[name] {
			delete(absent, name)
		}
	}
	for name, h := range live {
		if !seen[name] {
			p.put = append(p.put, Row{Host: h})
		}
	}
	if firstAlone && len(p.contact) > 0 {
		p.put, p.removed = nil, nil
	}
	slices.SortFunc(p.put, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	if v.alone() && len(p.contact) > maxContactsWhenAlone {
		own := retry.Hash(v.Self.Name)
		slices.SortFunc(p.contact, func(a, b Host) int { return cmp.Compare(retry.Hash(a.Name)^own, retry.Hash(b.Name)^own) })
		p.contact = p.contact[:maxContactsWhenAlone]
	}
	return p
}
