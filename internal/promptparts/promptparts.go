// Package promptparts finds the part of a prompt that crashes every engine which begins to
// answer it. It answers requests of which no two are alike but that share such a part: equal
// requests need not come again, so a count by request never finds them. A crash takes all
// requests of an engine with it, so each loss accuses many parts, of which all but one are
// sound. Two things distinguish them: sound parts are answered elsewhere, and the part that
// crashes engines is accused in each crash in which a sound part beside it is.
//
// Table does no I/O and does not read the clock.
package promptparts

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Part identifies a part of a prompt. All hosts use the same value for the same part.
type Part uint64

// Engine identifies one incarnation of an engine.
type Engine uint64

const (
	// maxUnansweredCrashes is the number of engines that must have crashed on a part, with no
	// answer on it in between, before requests with the part are refused. One crash accuses
	// all requests that had not begun on that engine, and two crashes can coincide.
	maxUnansweredCrashes = 3
	// refusalPeriod is how long a part is refused after the last crash. Then requests with it
	// run again; a further crash refuses it at once.
	refusalPeriod = time.Minute
	// retention is how long a crash is remembered.
	retention = 5 * time.Minute
	// maxParts and maxCrashesPerPart bound the table; the oldest entries are dropped.
	maxParts          = 4096
	maxCrashesPerPart = 16
	// maxReported bounds the entries of a report.
	maxReported = 64
)

// Crash states that an engine was lost before a request with the part was answered.
type Crash struct {
	Part   Part
	Engine Engine
	// Age is the time in milliseconds since the loss.
	Age int64
}

// Answer states that an engine answered a request with the part.
type Answer struct {
	Part Part
	// Age is the time in milliseconds since the answer.
	Age int64
}

// Report holds what one host has seen itself. Reports may be lost, repeated or reordered.
type Report struct {
	Crashes []Crash
	Answers []Answer
}

type crash struct {
	at  time.Time
	own bool
}

type entry struct {
	crashes map[Engine]crash
	// answeredAt is the latest known answer; ownAnswerAt is the latest of this host.
	answeredAt, ownAnswerAt time.Time
}

// lastCrash returns the time of the latest crash since the last answer, zero if there is none.
func (e *entry) lastCrash() (at time.Time) {
	for _, c := range e.crashes {
		if c.at.After(at) {
			at = c.at
		}
	}
	return at
}

// lastChange is the time of the latest crash or answer.
func (e *entry) lastChange() time.Time {
	if last := e.lastCrash(); last.After(e.answeredAt) {
		return last
	}
	return e.answeredAt
}

// dropAnswered removes the crashes before the last answer.
func (e *entry) dropAnswered() {
	maps.DeleteFunc(e.crashes, func(_ Engine, c crash) bool { return !c.at.After(e.answeredAt) })
}

// Table holds the parts on which engines of any host have crashed. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	parts map[Part]*entry
}

func NewTable() *Table { return &Table{parts: make(map[Part]*entry)} }

// RecordCrash records that this host lost an engine before a request with the parts was
// answered. It reports whether any of the losses is new.
func (t *Table) RecordCrash(parts []Part, engine Engine, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		changed = t.addCrash(p, engine, crash{now, true}) || changed
	}
	return changed
}

// addCrash adds a crash unless the engine's is known or the part was answered since.
func (t *Table) addCrash(p Part, engine Engine, c crash) bool {
	e := t.parts[p]
	if e == nil {
		if len(t.parts) >= maxParts {
			t.dropOldest()
		}
		e = &entry{crashes: make(map[Engine]crash)}
		t.parts[p] = e
	}
	known, isKnown := e.crashes[engine]
	if isKnown || !c.at.After(e.answeredAt) {
		if isKnown && c.own && !known.own {
			known.own = true // this host reports it as well, in case the other one ends
			e.crashes[engine] = known
		}
		return false
	}
	if len(e.crashes) >= maxCrashesPerPart {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.crashes)), func(a, b Engine) int { return e.crashes[a].at.Compare(e.crashes[b].at) })
		delete(e.crashes, oldest)
	}
	e.crashes[engine] = c
	return true
}

func (t *Table) dropOldest() {
	var oldest Part
	var at time.Time
	for p, e := range t.parts {
		if last := e.lastChange(); at.IsZero() || last.Before(at) {
			oldest, at = p, last
		}
	}
	delete(t.parts, oldest)
}

// RecordAnswer records that an engine answered a request with the parts.
func (t *Table) RecordAnswer(parts []Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if e := t.parts[p]; e != nil { // answers matter only for parts with crashes
			e.ownAnswerAt, e.answeredAt = now, now
			e.dropAnswered()
		}
	}
}

// Refused returns a part on which engines crash, and whether there is one. A part does not
// count while another part explains its crashes that the request does not have: the answer
// to the request then shows which of the two is sound.
func (t *Table) Refused(parts []Part, now time.Time) (Part, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		e := t.parts[p]
		if e == nil || len(e.crashes) < maxUnansweredCrashes || now.Sub(e.lastCrash()) >= refusalPeriod {
			continue
		}
		if !t.explainedByOther(e, parts) {
			return p, true
		}
	}
	return 0, false
}

// explainedByOther reports whether a part outside the given ones is accused in all crashes
// in which the entry's part is.
func (t *Table) explainedByOther(e *entry, parts []Part) bool {
	for other, o := range t.parts {
		if len(o.crashes) >= len(e.crashes) && !slices.Contains(parts, other) && o.isAccusedInAll(e.crashes) {
			return true
		}
	}
	return false
}

func (e *entry) isAccusedInAll(crashes map[Engine]crash) bool {
	for engine := range crashes {
		if _, accused := e.crashes[engine]; !accused {
			return false
		}
	}
	return true
}

// OwnReport returns what this host has seen itself, for the other hosts.
func (t *Table) OwnReport(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Report
	for p, e := range t.parts {
		for engine, c := range e.crashes {
			if c.own && now.Sub(c.at) < refusalPeriod {
				r.Crashes = append(r.Crashes, Crash{p, engine, now.Sub(c.at).Milliseconds()})
			}
		}
		if !e.ownAnswerAt.IsZero() && now.Sub(e.ownAnswerAt) < refusalPeriod {
			r.Answers = append(r.Answers, Answer{p, now.Sub(e.ownAnswerAt).Milliseconds()})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	slices.SortFunc(r.Answers, func(a, b Answer) int { return cmp.Compare(a.Age, b.Age) })
	r.Crashes, r.Answers = r.Crashes[:min(len(r.Crashes), maxReported)], r.Answers[:min(len(r.Answers), maxReported)]
	return r
}

// Merge adds the report of another host. Entries above the number that a host reports are
// ignored: they come from no sound host, and requests wait for the table meanwhile.
func (t *Table) Merge(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range r.Crashes[:min(len(r.Crashes), maxReported)] {
		if age, valid := reportedAge(c.Age); valid {
			t.addCrash(c.Part, c.Engine, crash{at: now.Add(-age)})
		}
	}
	for _, a := range r.Answers[:min(len(r.Answers), maxReported)] {
		e := t.parts[a.Part]
		age, valid := reportedAge(a.Age)
		if at := now.Add(-age); e != nil && valid && at.After(e.answeredAt) {
			e.answeredAt = at
			e.dropAnswered()
		}
	}
}

func reportedAge(ms int64) (age time.Duration, valid bool) {
	return time.Duration(ms) * time.Millisecond, ms >= 0 && ms < retention.Milliseconds()
}

// Evict deletes what is too old to matter.
func (t *Table) Evict(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, e := range t.parts {
		maps.DeleteFunc(e.crashes, func(_ Engine, c crash) bool { return now.Sub(c.at) >= retention })
		if len(e.crashes) == 0 && now.Sub(e.answeredAt) >= refusalPeriod {
			delete(t.parts, p)
		}
	}
}
