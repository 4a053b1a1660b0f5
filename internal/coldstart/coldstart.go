// Package coldstart decides how many concurrent requests an upstream may bear
// while it is cold and while it ramps up. A Tracker is a plain value; it is not
// safe for concurrent use and needs no closing.
package coldstart

import (
	"slices"
	"time"
)

const (
	// completionsPerStep is the number of requests at normal speed for which the limit grows by one.
	completionsPerStep = 2
	// abnormalFactor and abnormalRun define evidence of a cold upstream: that many
	// consecutive observations above that multiple of the median.
	abnormalFactor = 3
	abnormalRun    = 2
	// relearnRun is the number of consecutive abnormal observations after which
	// they become the norm, so that a lasting slowdown does not keep the upstream cold.
	relearnRun = 64
	window     = 16
	minSamples = 5
)

// Limits bounds the concurrent requests of one upstream.
type Limits struct {
	Cold int
	Max  int
}

func (l Limits) normal() Limits {
	cold := max(l.Cold, 1)
	return Limits{Cold: cold, Max: max(l.Max, cold)}
}

// Tracker follows one upstream. Its zero value is not usable; call New.
type Tracker struct {
	limits Limits
	limit  int
	// awaiting is set while the upstream's own report must still confirm that it is warm.
	awaiting    bool
	needsReport bool
	turnedAt    time.Time
	completed   int
	// turned is set once the upstream was seen to be cold; before, its first
	// report decides.
	turned bool
	step   series
	first  series
}

// New returns the tracker of an upstream that is cold. With needsReport, the
// limit does not grow before a report that was taken after the upstream turned
// cold says that it is warm.
func New(now time.Time, limits Limits, needsReport bool) Tracker {
	l := limits.normal()
	return Tracker{limits: l, limit: l.Cold, awaiting: needsReport, needsReport: needsReport, turnedAt: now}
}

// Limit returns the number of concurrent requests that the upstream may have now.
func (t *Tracker) Limit() int { return t.limit }

// Cold reports whether the upstream is at its cold limit or still ramping up.
func (t *Tracker) Cold() bool { return t.limit < t.limits.Max || t.awaiting }

// Awaiting reports whether the upstream has not yet confirmed that it is warm.
func (t *Tracker) Awaiting() bool { return t.awaiting }

// SetLimits changes the bounds. The progress of the ramp is kept within them.
func (t *Tracker) SetLimits(limits Limits) {
	l := limits.normal()
	warm := !t.Cold()
	switch {
	case t.limit <= t.limits.Cold || t.limit <= l.Cold:
		t.limit = l.Cold
	case warm:
		t.limit = l.Max
	}
	t.limits = l
	t.limit = min(t.limit, l.Max)
}

// Turn makes the upstream cold: a new incarnation, a loss, or evidence.
func (t *Tracker) Turn(now time.Time) {
	t.turned = true
	t.limit = t.limits.Cold
	t.completed = 0
	t.awaiting = t.needsReport
	t.turnedAt = now
}

// Forget drops the learned speed as well: the upstream is another one now.
func (t *Tracker) Forget(now time.Time) {
	t.Turn(now)
	t.step, t.first = series{}, series{}
}

// Report applies the upstream's own statement about itself, taken at the given time.
func (t *Tracker) Report(now, taken time.Time, cold bool) {
	if cold {
		if !t.turned || !t.awaiting || t.limit != t.limits.Cold {
			t.Turn(now)
		}
		t.awaiting = true
		return
	}
	if !taken.After(t.turnedAt) {
		return
	}
	t.awaiting = false
	if !t.turned {
		// The upstream was warm before this tracker began, for example under another owner.
		t.turned, t.limit = true, t.limits.Max
	}
}

// Completed records a request that ran to its end. Only work at normal speed counts.
func (t *Tracker) Completed(normal bool) {
	if !normal || t.awaiting || t.limit >= t.limits.Max {
		return
	}
	t.completed++
	if t.completed >= completionsPerStep {
		t.completed = 0
		t.limit++
	}
}

// Step records one observed step time of the whole upstream. It reports whether
// the observation turned the upstream cold.
func (t *Tracker) Step(now time.Time, d time.Duration) bool {
	return t.observe(now, &t.step, d)
}

// FirstToken records one observed time to the first token, in the same way.
func (t *Tracker) FirstToken(now time.Time, d time.Duration) bool {
	return t.observe(now, &t.first, d)
}

func (t *Tracker) observe(now time.Time, s *series, d time.Duration) bool {
	// The speed of an upstream that is known to be cold is no norm and no news.
	if d <= 0 || t.awaiting || !s.add(d) {
		return false
	}
	turned := t.limit > t.limits.Cold
	t.Turn(now)
	return turned
}

// Normal reports whether a step time is within the learned range. Without a
// learned range the given bound decides.
func (t *Tracker) Normal(step, bound time.Duration) bool {
	if step <= 0 {
		return true
	}
	if m, ok := t.step.median(); ok {
		return step <= abnormalFactor*m
	}
	return bound <= 0 || step <= abnormalFactor*bound
}

// series keeps recent normal observations. Abnormal ones do not enter it, so a
// cold upstream does not become the norm.
type series struct {
	values [window]time.Duration
	count  int
	run    int
}

// add records a value and reports whether it completes a run of abnormal ones.
func (s *series) add(d time.Duration) bool {
	if m, ok := s.median(); ok && d > abnormalFactor*m {
		s.run++
		if s.run >= relearnRun {
			*s = series{}
		}
		return s.run > 0 && s.run%abnormalRun == 0
	}
	s.run = 0
	s.values[s.count%window] = d
	s.count++
	return false
}

func (s *series) median() (time.Duration, bool) {
	n := min(s.count, window)
	if n < minSamples {
		return 0, false
	}
	sorted := s.values
	slices.Sort(sorted[:n])
	return sorted[n/2], true
}
