package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanscale/rattanscale/internal/trace"
)

const (
	// An answer is good when its first token arrives within firstTokenLimit and at
	// least goodGapShare of its gaps between tokens are within the target.
	firstTokenLimit = time.Second
	goodGapShare    = 0.95
	// maxRecordedUS and significantFigures are the range, in microseconds, and the
	// precision of the histograms.
	maxRecordedUS      = int64(time.Hour / time.Microsecond)
	significantFigures = 3
)

// recorder collects the metrics of a run. It excludes requests that arrive during the
// warm-up.
type recorder struct {
	countedSpan               time.Duration
	gaps, firstTokens         *hdrhistogram.Histogram
	stall                     time.Duration
	preemptions               int
	preemptionStall           time.Duration
	duplicates                int
	lateDispatches            int
	cutOff                    int
	completed                 int
	failed                    int
	refused                   int
	abandoned                 int
	goodAnswers, goodAnyStart int
	goodTokens                int
	withFinishBy              int
	finishedInTime            int
	demand, received          []float64 // by account
}

func newRecorder(t *trace.Trace) *recorder {
	n := len(t.Header.Accounts)
	return &recorder{
		countedSpan: t.Header.Span() - t.Header.Warmup(),
		gaps:        hdrhistogram.New(1, maxRecordedUS, significantFigures),
		firstTokens: hdrhistogram.New(1, maxRecordedUS, significantFigures),
		demand:      make([]float64, n), received: make([]float64, n),
	}
}

// recordDuration adds d to the histogram. A value above the range counts as its maximum.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), 1), maxRecordedUS))
}

// recordToken records a token at the given time. The wait for the first token of a
// restarted generation counts as a gap, because the caller notices it.
func (m *recorder) recordToken(r *request, now time.Duration, inWindow bool, target time.Duration) {
	if inWindow {
		r.tokensBeforeLastArrival++
	}
	if r.firstTokenAt == 0 {
		r.firstTokenAt = now
	} else {
		m.recordGap(r, now-r.lastTokenAt, target)
	}
	r.lastTokenAt = now
	r.preempted = false
}

func (m *recorder) recordGap(r *request, gap, target time.Duration) {
	r.gapCount++
	excess := max(0, gap-target)
	if excess > 0 {
		r.slowGaps++
	}
	r.stall += excess
	if !r.counted {
		return
	}
	recordDuration(m.gaps, gap)
	m.stall += excess
	if r.preempted {
		m.preemptionStall += excess
	}
}

func (m *recorder) recordPreemption(r *request) {
	r.preempted = true
	if r.counted {
		m.preemptions++
	}
}

func (m *recorder) recordFinish(r *request) {
	if !r.counted {
		return
	}
	m.addAccountTokens(r)
	if r.finishBy > 0 {
		m.withFinishBy++
	}
	switch r.status {
	case statusCompleted:
		m.recordCompletion(r)
	case statusFailed:
		m.failed++
	case statusRefused:
		m.refused++
	case statusAbandoned:
		m.abandoned++
	}
}

func (m *recorder) addAccountTokens(r *request) {
	m.demand[r.accountIndex] += float64(r.arrival.OutputTokens)
	m.received[r.accountIndex] += float64(r.tokensBeforeLastArrival)
}

func (m *recorder) recordCompletion(r *request) {
	m.completed++
	recordDuration(m.firstTokens, r.firstTokenAt-r.arrivedAt)
	gapsWithinTarget := float64(r.slowGaps) <= (1-goodGapShare)*float64(r.gapCount)
	onTime := r.firstTokenAt-r.arrivedAt <= firstTokenLimit
	if r.finishBy > 0 {
		onTime = r.finishedAt <= r.finishBy
		if onTime {
			m.finishedInTime++
		}
	}
	if gapsWithinTarget && (onTime || r.finishBy == 0) {
		m.goodAnyStart++
	}
	if gapsWithinTarget && onTime {
		m.goodAnswers++
		m.goodTokens += r.arrival.OutputTokens
	}
}
