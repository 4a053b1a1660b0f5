// Package coldstart decides how many concurrent requests an upstream may receive while
// it is cold and while it ramps up. A Tracker is a plain value; it is not safe for
// concurrent use and needs no closing.
package coldstart

import (
	"slices"
	"time"
)

const (
	// completionsPerSlot is the number of requests completed at normal speed that raise
	// the limit by one.
	completionsPerSlot = 2
	// An upstream counts as cold after abnormalRunLength consecutive observations above
	// abnormalFactor times the median.
	abnormalFactor    = 3
	abnormalRunLength = 2
	// relearnRunLength is the number of consecutive abnormal observations after which
	// the learned speed is dropped, so that a lasting slowdown does not keep the
	// upstream cold.
	relearnRunLength = 64
	sampleWindow     = 16
	minSamples       = 5
)

// Limits bounds the concurrent requests of one upstream.
type Limits struct {
	Cold int
	Max  int
}

func (l Limits) normalised() Limits {
	cold := max(l.Cold, 1)
	return Limits{Cold: cold, Max: max(l.Max, cold)}
}

// Tracker tracks the concurrency limit of one upstream. Its zero value is not usable;
// call New.
type Tracker struct {
	limits Limits
	limit  int
	// awaitingWarmReport is set until the upstream's own report confirms that it is
	// warm.
	awaitingWarmReport  bool
	needsReport         bool
	coldSince           time.Time
	completedSinceRaise int
	// stateKnown is set once it is known whether the upstream is cold or warm. Until
	// then its first report decides.
	stateKnown      bool
	stepTimes       series
	firstTokenTimes series
}

// New returns the tracker of an upstream that is cold. With needsReport, the limit does
// not grow until a report that was taken after the upstream turned cold states that it is
// warm.
func New(now time.Time, limits Limits, needsReport bool) Tracker {
	l := limits.normalised()
	return Tracker{limits: l, limit: l.Cold, awaitingWarmReport: needsReport, needsReport: needsReport, coldSince: now}
}

// Limit returns the number of concurrent requests that the upstream may have now.
func (t *Tracker) Limit() int { return t.limit }

// Cold reports whether the upstream is at its cold limit or still ramping up.
func (t *Tracker) Cold() bool { return t.limit < t.limits.Max || t.awaitingWarmReport }

// AwaitingWarmReport reports whether the upstream has not yet confirmed that it is warm.
func (t *Tracker) AwaitingWarmReport() bool { return t.awaitingWarmReport }

// SetLimits changes the bounds. The progress of the ramp-up is kept within them.
func (t *Tracker) SetLimits(limits Limits) {
	l := limits.normalised()
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

// MarkCold returns the upstream to its cold limit after a new incarnation, a loss or
// slow observations.
func (t *Tracker) MarkCold(now time.Time) {
	t.stateKnown = true
	t.limit = t.limits.Cold
	t.completedSinceRaise = 0
	t.awaitingWarmReport = t.needsReport
	t.coldSince = now
}

// Reset marks the upstream cold and drops the learned speed, because another
// incarnation runs now.
func (t *Tracker) Reset(now time.Time) {
	t.MarkCold(now)
	t.stepTimes, t.firstTokenTimes = series{}, series{}
}

// Report applies the upstream's own report of whether it is cold, taken at the given
// time.
func (t *Tracker) Report(now, taken time.Time, cold bool) {
	if cold {
		if !t.stateKnown || !t.awaitingWarmReport || t.limit != t.limits.Cold {
			t.MarkCold(now)
		}
		t.awaitingWarmReport = true
		return
	}
	if !taken.After(t.coldSince) {
		return
	}
	t.awaitingWarmReport = false
	if !t.stateKnown {
		// The upstream was warm before this tracker was created, for example under
		// another owner.
		t.stateKnown, t.limit = true, t.limits.Max
	}
}

// RecordCompletion records a request that ran to its end. Only requests at normal speed
// raise the limit.
func (t *Tracker) RecordCompletion(normal bool) {
	if !normal || t.awaitingWarmReport || t.limit >= t.limits.Max {
		return
	}
	t.completedSinceRaise++
	if t.completedSinceRaise >= completionsPerSlot {
		t.completedSinceRaise = 0
		t.limit++
	}
}

// ObserveStep records one observed step time of the whole upstream. It reports whether
// the observation marked a warm or ramping upstream as cold.
func (t *Tracker) ObserveStep(now time.Time, d time.Duration) bool {
	return t.observe(now, &t.stepTimes, d)
}

// ObserveFirstToken records one observed time to the first token and reports the same
// as ObserveStep.
func (t *Tracker) ObserveFirstToken(now time.Time, d time.Duration) bool {
	return t.observe(now, &t.firstTokenTimes, d)
}

func (t *Tracker) observe(now time.Time, s *series, d time.Duration) bool {
	// While the upstream is known to be cold, its speed shows nothing about the warm
	// one.
	if d <= 0 || t.awaitingWarmReport || !s.add(d) {
		return false
	}
	becameCold := t.limit > t.limits.Cold
	t.MarkCold(now)
	return becameCold
}

// IsNormalStep reports whether a step time is within the learned range. Before a range
// is learned, bound is used in place of the median; 0 means no bound.
func (t *Tracker) IsNormalStep(step, bound time.Duration) bool {
	if step <= 0 {
		return true
	}
	if m, ok := t.stepTimes.median(); ok {
		return step <= abnormalFactor*m
	}
	return bound <= 0 || step <= abnormalFactor*bound
}

// series keeps recent normal observations. Abnormal ones are left out, so that the
// speed of a cold upstream does not become the norm.
type series struct {
	durations     [sampleWindow]time.Duration
	count         int
	abnormalCount int
}

// add records a value and reports whether it completes a run of abnormal ones.
func (s *series) add(d time.Duration) bool {
	if m, ok := s.median(); ok && d > abnormalFactor*m {
		s.abnormalCount++
		if s.abnormalCount >= relearnRunLength {
			*s = series{}
		}
		return s.abnormalCount > 0 && s.abnormalCount%abnormalRunLength == 0
	}
	s.abnormalCount = 0
	s.durations[s.count%sampleWindow] = d
	s.count++
	return false
}

func (s *series) median() (time.Duration, bool) {
	n := min(s.count, sampleWindow)
	if n < minSamples {
		return 0, false
	}
	sorted := s.durations
	slices.Sort(sorted[:n])
	return sorted[n/2], true
}
