// Package quarantine tells which requests are suspected of crashing upstreams.
// A fingerprint that ran on a lost upstream is suspected; it must then run
// alone. A second loss while it runs alone gets it refused for a while; one
// success clears it. A Table has no locks: its caller serialises access.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RefusalTime is how long a fingerprint is refused after its second loss.
	RefusalTime = 10 * time.Minute
	// suspicionTime is how long a suspicion lasts after the last loss.
	suspicionTime = 10 * time.Minute
	// coincidence is the interval within which losses of several upstreams count
	// as one event, such as the failure of a rack.
	coincidence = 2 * time.Second
	// massLosses is the number of upstreams lost together from which on only
	// fingerprints that ran on several of them are suspected.
	massLosses = 3
	maxEntries = 4096
)

// Notice tells other daemons about a fingerprint.
type Notice struct {
	Fingerprint uint64 `json:"fingerprint"`
	Losses      int    `json:"losses"`
	// Refused is set once the fingerprint must not run at all.
	Refused bool `json:"refused,omitempty"`
	// Cleared is set when the suspicion has proved wrong.
	Cleared bool `json:"cleared,omitempty"`
	// Broken is set when a run broke and it is not known yet whether its upstream
	// was lost. Such a notice takes no refusal back.
	Broken bool `json:"broken,omitempty"`
}

type entry struct {
	losses  int
	suspect time.Time // until
	refused time.Time // until
}

type running struct {
	fingerprint uint64
	alone       bool
}

type loss struct {
	at       time.Time
	upstream string
	ran      []running
}

func (l *loss) includes(fingerprint uint64) bool {
	return slices.ContainsFunc(l.ran, func(r running) bool { return r.fingerprint == fingerprint })
}

// Table holds the running fingerprints of each upstream, the suspects and the
// refused fingerprints.
type Table struct {
	running map[string][]running
	entries map[uint64]*entry
	recent  []loss
}

// New returns an empty table.
func New() *Table {
	return &Table{running: map[string][]running{}, entries: map[uint64]*entry{}}
}

// Dispatched records that a fingerprint starts on an upstream. alone is set when
// nothing else runs there and nothing else will until it ends.
func (t *Table) Dispatched(fingerprint uint64, upstream string, alone bool) {
	t.running[upstream] = append(t.running[upstream], running{fingerprint, alone})
}

// Ended records that a run ended without showing whether the request is harmful.
func (t *Table) Ended(fingerprint uint64, upstream string) {
	set := t.running[upstream]
	i := slices.IndexFunc(set, func(r running) bool { return r.fingerprint == fingerprint })
	if i < 0 {
		return
	}
	if set = slices.Delete(set, i, i+1); len(set) == 0 {
		delete(t.running, upstream)
		return
	}
	t.running[upstream] = set
}

// Suspect makes a fingerprint run alone until it is known whether its upstream
// was lost. It returns what other daemons must know.
func (t *Table) Suspect(now time.Time, fingerprint uint64) Notice {
	e := t.entry(now, fingerprint)
	e.suspect = laterOf(e.suspect, now.Add(suspicionTime))
	return Notice{Fingerprint: fingerprint, Losses: e.losses, Broken: true}
}

// Unfounded records that the upstream of a suspect was not lost. It reports
// whether the fingerprint is cleared, which it is not after an earlier loss.
func (t *Table) Unfounded(fingerprint uint64) bool {
	e := t.entries[fingerprint]
	if e == nil || e.losses > 0 {
		return false
	}
	delete(t.entries, fingerprint)
	return true
}

// Succeeded records that a run completed. It reports whether that cleared a suspicion.
func (t *Table) Succeeded(fingerprint uint64, upstream string) bool {
	t.Ended(fingerprint, upstream)
	_, known := t.entries[fingerprint]
	delete(t.entries, fingerprint)
	return known
}

// Lost records the loss of an upstream with everything that ran on it and
// returns what other daemons must know, in the order of the fingerprints. An
// expected loss, such as a planned stop, is no evidence against anybody.
func (t *Table) Lost(now time.Time, upstream string, expected bool) []Notice {
	ran := t.running[upstream]
	delete(t.running, upstream)
	if expected {
		return nil
	}
	t.expire(now)
	t.recent = append(t.recent, loss{at: now, upstream: upstream, ran: ran})
	notices := t.absolve(now)
	if t.lostTogether() >= massLosses {
		notices = append(notices, t.massLoss(now)...)
	} else {
		seen := map[uint64]bool{}
		for _, r := range ran {
			if !seen[r.fingerprint] {
				seen[r.fingerprint] = true
				notices = append(notices, t.suspect(now, r, len(ran) == 1))
			}
		}
	}
	slices.SortStableFunc(notices, func(a, b Notice) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return notices
}

func (t *Table) suspect(now time.Time, r running, single bool) Notice {
	e := t.entry(now, r.fingerprint)
	e.losses++
	e.suspect = now.Add(suspicionTime)
	if e.losses >= 2 && r.alone && single && !t.otherLoss(r.fingerprint) {
		e.refuse(now)
	}
	return Notice{Fingerprint: r.fingerprint, Losses: e.losses, Refused: now.Before(e.refused)}
}

func (e *entry) refuse(now time.Time) {
	e.refused = now.Add(RefusalTime)
	// The suspicion outlasts the refusal, so that the next run is alone again.
	e.suspect = e.refused.Add(suspicionTime)
}

// otherLoss reports whether an upstream on which the fingerprint did not run was lost together with its own.
func (t *Table) otherLoss(fingerprint uint64) bool {
	return slices.ContainsFunc(t.recent, func(l loss) bool { return !l.includes(fingerprint) })
}

// absolve takes back refusals whose loss now turns out to coincide with an unrelated one.
func (t *Table) absolve(now time.Time) []Notice {
	var out []Notice
	latest := &t.recent[len(t.recent)-1]
	for i := range t.recent[:len(t.recent)-1] {
		for _, r := range t.recent[i].ran {
			e := t.entries[r.fingerprint]
			if e == nil || !r.alone || !now.Before(e.refused) || latest.includes(r.fingerprint) {
				continue
			}
			e.refused = time.Time{}
			e.suspect = now.Add(suspicionTime)
			out = append(out, Notice{Fingerprint: r.fingerprint, Losses: e.losses})
		}
	}
	return out
}

func (t *Table) lostTogether() int {
	names := map[string]bool{}
	for _, l := range t.recent {
		names[l.upstream] = true
	}
	return len(names)
}

// massLoss suspects only fingerprints that ran on several of the upstreams lost
// together, and clears those that became suspects by the first of these losses.
func (t *Table) massLoss(now time.Time) []Notice {
	counts := map[uint64]int{}
	for _, l := range t.recent {
		for _, r := range l.ran {
			counts[r.fingerprint]++
		}
	}
	var out []Notice
	for fingerprint, n := range counts {
		e := t.entries[fingerprint]
		switch {
		case n > 1:
			e = t.entry(now, fingerprint)
			e.losses = max(e.losses, 1)
			e.suspect = now.Add(suspicionTime)
			out = append(out, Notice{Fingerprint: fingerprint, Losses: e.losses, Refused: now.Before(e.refused)})
		case e != nil && e.losses <= 1:
			delete(t.entries, fingerprint)
			out = append(out, Notice{Fingerprint: fingerprint, Cleared: true})
		}
	}
	return out
}

// Notify applies a notice of another daemon.
func (t *Table) Notify(now time.Time, n Notice) {
	if n.Cleared {
		delete(t.entries, n.Fingerprint)
		return
	}
	e := t.entry(now, n.Fingerprint)
	e.losses = max(e.losses, n.Losses)
	e.suspect = laterOf(e.suspect, now.Add(suspicionTime))
	if n.Broken {
		return
	}
	e.refused = time.Time{}
	if n.Refused {
		e.refuse(now)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ShouldIsolate reports whether a fingerprint must run alone.
func (t *Table) ShouldIsolate(now time.Time, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	return e != nil && now.Before(e.suspect)
}

// Refused reports whether a fingerprint must not run, and for how long.
func (t *Table) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	e := t.entries[fingerprint]
	if e == nil || !now.Before(e.refused) {
		return 0, false
	}
	return e.refused.Sub(now), true
}

// Len returns the number of fingerprints that are suspected or refused.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) entry(now time.Time, fingerprint uint64) *entry {
	e := t.entries[fingerprint]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.evict()
		}
		e = &entry{}
		t.entries[fingerprint] = e
	} else if !now.Before(e.suspect) {
		*e = entry{}
	}
	return e
}

// evict drops the eighth of the entries that expires first.
func (t *Table) evict() {
	fingerprints := slices.Collect(maps.Keys(t.entries))
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(t.entries[a].suspect.Compare(t.entries[b].suspect), cmp.Compare(a, b))
	})
	for _, f := range fingerprints[:len(fingerprints)/8+1] {
		delete(t.entries, f)
	}
}

func (t *Table) expire(now time.Time) {
	t.recent = slices.DeleteFunc(t.recent, func(l loss) bool { return now.Sub(l.at) > coincidence })
	for f, e := range t.entries {
		if !now.Before(e.suspect) {
			delete(t.entries, f)
		}
	}
}
