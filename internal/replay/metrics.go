package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanscale/rattanscale/internal/trace"
)

const (
	// firstTokenLimit and goodGapShare define a good answer: the first token
	// within the limit and this share of the gaps within the target.
	firstTokenLimit = time.Second
	goodGapShare    = 0.95
	// maxRecorded and significantFigures size the histograms, in microseconds.
	maxRecorded        = int64(time.Hour / time.Microsecond)
	significantFigures = 3
)

// recorder collects the metrics of a run. Requests of the warm-up are left out.
type recorder struct {
	span             time.Duration
	gaps, first      *hdrhistogram.Histogram
	stall            time.Duration
	preemptions      int
	preemptionStall  time.Duration
	duplicates       int
	lateDispatches   int
	cutOff           int
	completed        int
	failed           int
	refused          int
	abandoned        int
	good, goodAny    int
	goodTokens       int
	withFinishBy     int
	inTime           int
	demand, received []float64 // by account
}

func newRecorder(t *trace.Trace) *recorder {
	n := len(t.Header.Accounts)
	return &recorder{
		span:   t.Header.Span() - t.Header.Warmup(),
		gaps:   hdrhistogram.New(1, maxRecorded, significantFigures),
		first:  hdrhistogram.New(1, maxRecorded, significantFigures),
		demand: make([]float64, n), received: make([]float64, n),
	}
}

// record adds d to the histogram; values above the range count as its maximum.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d/time.Microsecond), 1), maxRecorded))
}

// token records a token at the given time. The wait for the first token of a
// restarted generation is a gap like any other, because the listener hears it.
func (m *recorder) token(r *request, now time.Duration, inWindow bool, target time.Duration) {
	if inWindow {
		r.inWindow++
	}
	if r.firstToken == 0 {
		r.firstToken = now
	} else {
		m.gap(r, now-r.lastToken, target)
	}
	r.lastToken = now
	r.preempted = false
}

func (m *recorder) gap(r *request, gap, target time.Duration) {
	r.gaps++
	over := max(0, gap-target)
	if over > 0 {
		r.slow++
	}
	r.stall += over
	if !r.counted {
		return
	}
	record(m.gaps, gap)
	m.stall += over
	if r.preempted {
		m.preemptionStall += over
	}
}

func (m *recorder) preempted(r *request) {
	r.preempted = true
	if r.counted {
		m.preemptions++
	}
}

// finish records the end of a request.
func (m *recorder) finish(r *request) {
	if !r.counted {
		return
	}
	m.account(r)
	if r.finishBy > 0 {
		m.withFinishBy++
	}
	switch r.status {
	case statusCompleted:
		m.complete(r)
	case statusFailed:
		m.failed++
	case statusRefused:
		m.refused++
	case statusAbandoned:
		m.abandoned++
	}
}

func (m *recorder) account(r *request) {
	m.demand[r.account] += float64(r.arrival.OutputTokens)
	m.received[r.account] += float64(r.inWindow)
}

func (m *recorder) complete(r *request) {
	m.completed++
	record(m.first, r.firstToken-r.at)
	smooth := float64(r.slow) <= (1-goodGapShare)*float64(r.gaps)
	started := r.firstToken-r.at <= firstTokenLimit
	if r.finishBy > 0 {
		started = r.doneAt <= r.finishBy
		if started {
			m.inTime++
		}
	}
	if smooth && (started || r.finishBy == 0) {
		m.goodAny++
	}
	if smooth && started {
		m.good++
		m.goodTokens += r.arrival.OutputTokens
	}
}
