// Package quarantine tracks which requests are suspected of crashing upstreams. A
// fingerprint that ran on a lost upstream is suspected and must then run alone. After a
// second loss while it runs alone it is refused for RefusalDuration; one success clears
// it. A Table has no locks: its caller serialises access.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RefusalDuration is how long a fingerprint is refused after its second loss.
	RefusalDuration = 10 * time.Minute
	// suspicionDuration is how long a suspicion lasts after the last loss.
	suspicionDuration = 10 * time.Minute
	// coincidenceWindow is the interval within which losses of several upstreams count
	// as one event, such as the failure of a rack.
	coincidenceWindow = 2 * time.Second
	// massLossThreshold is the number of upstreams lost together from which on only
	// fingerprints that ran on several of them are suspected.
	massLossThreshold = 3
	maxEntries        = 4096
)

// Notice is a change of a fingerprint's suspicion, sent to the other daemons.
type Notice struct {
	Fingerprint uint64 `json:"fingerprint"`
	Losses      int    `json:"losses"`
	// Upstream is the upstream with which the latest run was lost; empty in notices of older
	// daemons and of mass losses.
	Upstream string `json:"upstream,omitempty"`
	// Refused is set once the fingerprint must not run at all.
	Refused bool `json:"refused,omitempty"`
	// Cleared is set when the suspicion has proved unfounded.
	Cleared bool `json:"cleared,omitempty"`
	// Broken is set when a run broke and it is not known yet whether its upstream was
	// lost. Such a notice does not revoke a refusal.
	Broken bool `json:"broken,omitempty"`
}

type entry struct {
	losses       int
	lastLossAt   time.Time
	suspectUntil time.Time
	refusedUntil time.Time
}

type activeRun struct {
	fingerprint uint64
	alone       bool
}

type loss struct {
	lostAt   time.Time
	upstream string
	runs     []activeRun
	// fromNotice is set while only another daemon's notice told of the loss.
	fromNotice bool
}

func (l *loss) includes(fingerprint uint64) bool {
	return slices.ContainsFunc(l.runs, func(r activeRun) bool { return r.fingerprint == fingerprint })
}

// Table holds the running fingerprints of each upstream, the suspects and the
// refused fingerprints.
type Table struct {
	runsByUpstream map[string][]activeRun
	entries        map[uint64]*entry
	recentLosses   []loss
}

// New returns an empty table.
func New() *Table {
	return &Table{runsByUpstream: map[string][]activeRun{}, entries: map[uint64]*entry{}}
}

// RecordDispatch records that a fingerprint starts on an upstream. alone is set when
// nothing else runs there and nothing else will until it ends.
func (t *Table) RecordDispatch(fingerprint uint64, upstream string, alone bool) {
	t.runsByUpstream[upstream] = append(t.runsByUpstream[upstream], activeRun{fingerprint, alone})
}

// RecordEnd records that a run ended without showing whether the request is harmful.
func (t *Table) RecordEnd(fingerprint uint64, upstream string) {
	set := t.runsByUpstream[upstream]
	i := slices.IndexFunc(set, func(r activeRun) bool { return r.fingerprint == fingerprint })
	if i < 0 {
		return
	}
	if set = slices.Delete(set, i, i+1); len(set) == 0 {
		delete(t.runsByUpstream, upstream)
		return
	}
	t.runsByUpstream[upstream] = set
}

// SuspectBrokenRun makes a fingerprint run alone until it is known whether its upstream
// was lost. It returns the notice for the other daemons.
func (t *Table) SuspectBrokenRun(now time.Time, fingerprint uint64) Notice {
	e := t.entryFor(now, fingerprint)
	e.suspectUntil = later(e.suspectUntil, now.Add(suspicionDuration))
	return Notice{Fingerprint: fingerprint, Losses: e.losses, Broken: true}
}

// WithdrawSuspicion records that the upstream of a suspected fingerprint was not lost.
// It reports whether the fingerprint is cleared, which it is not after an earlier loss.
func (t *Table) WithdrawSuspicion(fingerprint uint64) bool {
	e := t.entries[fingerprint]
	if e == nil || e.losses > 0 {
		return false
	}
	delete(t.entries, fingerprint)
	return true
}

// RecordSuccess records that a run completed. It reports whether that cleared a suspicion.
func (t *Table) RecordSuccess(fingerprint uint64, upstream string) bool {
	t.RecordEnd(fingerprint, upstream)
	_, known := t.entries[fingerprint]
	delete(t.entries, fingerprint)
	return known
}

// RecordLoss records the loss of an upstream with everything that ran on it. It returns
// the notices for the other daemons, sorted by fingerprint. An expected loss, such as a
// planned stop, raises no suspicion.
func (t *Table) RecordLoss(now time.Time, upstream string, expected bool) []Notice {
	lostRuns := t.runsByUpstream[upstream]
	delete(t.runsByUpstream, upstream)
	if expected {
		return nil
	}
	t.removeExpired(now)
	t.addRecentLoss(now, upstream, lostRuns)
	notices := t.revokeUnrelatedRefusals(now)
	if t.countRecentlyLost() >= massLossThreshold {
		notices = append(notices, t.handleMassLoss(now)...)
	} else {
		seen := map[uint64]bool{}
		for _, r := range lostRuns {
			if !seen[r.fingerprint] {
				seen[r.fingerprint] = true
				notices = append(notices, t.addLoss(now, upstream, r, len(lostRuns) == 1))
			}
		}
	}
	return sortNotices(notices)
}

func sortNotices(notices []Notice) []Notice {
	slices.SortStableFunc(notices, func(a, b Notice) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return notices
}

// RecordLateLoss adds a run to the loss of an upstream, of which the caller learned before
// it knew that the run had been lost with it.
func (t *Table) RecordLateLoss(now time.Time, fingerprint uint64, upstream string, alone bool) []Notice {
	t.removeExpired(now)
	l := t.latestLoss(upstream)
	if l == nil {
		t.recentLosses = append(t.recentLosses, loss{lostAt: now, upstream: upstream})
		l = &t.recentLosses[len(t.recentLosses)-1]
	}
	if l.includes(fingerprint) {
		return nil
	}
	run := activeRun{fingerprint, alone}
	l.runs = append(l.runs, run)
	if t.countRecentlyLost() >= massLossThreshold {
		return sortNotices(t.handleMassLoss(now))
	}
	return []Notice{t.addLoss(now, upstream, run, len(l.runs) == 1)}
}

// addRecentLoss records a loss, together with what other daemons have reported about it.
func (t *Table) addRecentLoss(now time.Time, upstream string, runs []activeRun) {
	added := loss{lostAt: now, upstream: upstream, runs: runs}
	i := slices.IndexFunc(t.recentLosses, func(l loss) bool { return l.upstream == upstream && l.fromNotice })
	if i >= 0 {
		added.runs = append(slices.Clone(runs), t.recentLosses[i].runs...)
		t.recentLosses = slices.Delete(t.recentLosses, i, i+1)
	}
	t.recentLosses = append(t.recentLosses, added)
}

// relateToLoss records that a run which another daemon had granted was lost with an upstream.
// Without it the loss would count as unrelated to the run's fingerprint.
func (t *Table) relateToLoss(now time.Time, fingerprint uint64, upstream string) {
	t.removeExpired(now)
	run := activeRun{fingerprint: fingerprint}
	switch l := t.latestLoss(upstream); {
	case l == nil:
		t.recentLosses = append(t.recentLosses, loss{lostAt: now, upstream: upstream, runs: []activeRun{run}, fromNotice: true})
	case !l.includes(fingerprint):
		l.runs = append(l.runs, run)
	}
}

// latestLoss returns the latest recent loss of an upstream, or nil.
func (t *Table) latestLoss(upstream string) *loss {
	for i := len(t.recentLosses) - 1; i >= 0; i-- {
		if t.recentLosses[i].upstream == upstream {
			return &t.recentLosses[i]
		}
	}
	return nil
}

func (t *Table) addLoss(now time.Time, upstream string, r activeRun, onlyRun bool) Notice {
	e := t.entryFor(now, r.fingerprint)
	e.losses++
	e.lastLossAt = now
	e.suspectUntil = now.Add(suspicionDuration)
	if e.losses >= 2 && r.alone && onlyRun && !t.hasUnrelatedLoss(r.fingerprint) {
		e.refuse(now)
	}
	return Notice{Fingerprint: r.fingerprint, Losses: e.losses, Upstream: upstream, Refused: now.Before(e.refusedUntil)}
}

func (e *entry) refuse(now time.Time) {
	e.refusedUntil = now.Add(RefusalDuration)
	// The suspicion outlasts the refusal, so that the next run is alone again.
	e.suspectUntil = e.refusedUntil.Add(suspicionDuration)
}

// hasUnrelatedLoss reports whether an upstream on which the fingerprint did not run was
// lost within the coincidence window.
func (t *Table) hasUnrelatedLoss(fingerprint uint64) bool {
	return slices.ContainsFunc(t.recentLosses, func(l loss) bool { return !l.includes(fingerprint) })
}

// revokeUnrelatedRefusals revokes refusals whose loss now turns out to coincide with
// the loss of an unrelated upstream.
func (t *Table) revokeUnrelatedRefusals(now time.Time) []Notice {
	var out []Notice
	latest := &t.recentLosses[len(t.recentLosses)-1]
	for i := range t.recentLosses[:len(t.recentLosses)-1] {
		for _, r := range t.recentLosses[i].runs {
			e := t.entries[r.fingerprint]
			if e == nil || !r.alone || !now.Before(e.refusedUntil) || latest.includes(r.fingerprint) {
				continue
			}
			e.refusedUntil = time.Time{}
			e.suspectUntil = now.Add(suspicionDuration)
			out = append(out, Notice{Fingerprint: r.fingerprint, Losses: e.losses})
		}
	}
	return out
}

func (t *Table) countRecentlyLost() int {
	names := map[string]bool{}
	for _, l := range t.recentLosses {
		names[l.upstream] = true
	}
	return len(names)
}

// handleMassLoss suspects only fingerprints that ran on several of the upstreams lost
// together. It clears those that the first of these losses made suspects, but not those
// that an earlier loss did.
func (t *Table) handleMassLoss(now time.Time) []Notice {
	counts := map[uint64]int{}
	for _, l := range t.recentLosses {
		for _, r := range l.runs {
			counts[r.fingerprint]++
		}
	}
	var out []Notice
	for fingerprint, n := range counts {
		e := t.entries[fingerprint]
		switch {
		case n > 1:
			e = t.entryFor(now, fingerprint)
			e.losses, e.lastLossAt = max(e.losses, 1), now
			e.suspectUntil = now.Add(suspicionDuration)
			out = append(out, Notice{Fingerprint: fingerprint, Losses: e.losses, Refused: now.Before(e.refusedUntil)})
		case e != nil && e.losses <= 1 && now.Sub(e.lastLossAt) <= coincidenceWindow:
			delete(t.entries, fingerprint)
			out = append(out, Notice{Fingerprint: fingerprint, Cleared: true})
		}
	}
	return out
}

// ApplyNotice applies a notice of another daemon.
func (t *Table) ApplyNotice(now time.Time, n Notice) {
	if n.Cleared {
		delete(t.entries, n.Fingerprint)
		return
	}
	e := t.entryFor(now, n.Fingerprint)
	if n.Losses > e.losses {
		e.losses, e.lastLossAt = n.Losses, now
	}
	e.suspectUntil = later(e.suspectUntil, now.Add(suspicionDuration))
	if n.Losses > 0 && n.Upstream != "" {
		t.relateToLoss(now, n.Fingerprint, n.Upstream)
	}
	if n.Broken {
		return
	}
	e.refusedUntil = time.Time{}
	if n.Refused {
		e.refuse(now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ShouldIsolate reports whether a fingerprint must run alone.
func (t *Table) ShouldIsolate(now time.Time, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	return e != nil && now.Before(e.suspectUntil)
}

// Refused reports whether a fingerprint must not run, and for how long.
func (t *Table) Refused(now time.Time, fingerprint uint64) (time.Duration, bool) {
	e := t.entries[fingerprint]
	if e == nil || !now.Before(e.refusedUntil) {
		return 0, false
	}
	return e.refusedUntil.Sub(now), true
}

// Len returns the number of fingerprints that are suspected or refused.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) entryFor(now time.Time, fingerprint uint64) *entry {
	e := t.entries[fingerprint]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.evict()
		}
		e = &entry{}
		t.entries[fingerprint] = e
	} else if !now.Before(e.suspectUntil) {
		*e = entry{}
	}
	return e
}

// evict removes the eighth of the entries that expires first.
func (t *Table) evict() {
	fingerprints := slices.Collect(maps.Keys(t.entries))
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(t.entries[a].suspectUntil.Compare(t.entries[b].suspectUntil), cmp.Compare(a, b))
	})
	for _, f := range fingerprints[:len(fingerprints)/8+1] {
		delete(t.entries, f)
	}
}

func (t *Table) removeExpired(now time.Time) {
	t.recentLosses = slices.DeleteFunc(t.recentLosses, func(l loss) bool { return now.Sub(l.lostAt) > coincidenceWindow })
	for f, e := range t.entries {
		if !now.Before(e.suspectUntil) {
			delete(t.entries, f)
		}
	}
}
