package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanscale/rattanscale/internal/trace"
)

// Result holds the metrics of one run.
type Result struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`

	Requests   int `json:"requests"`
	Completed  int `json:"completed"`
	Failed     int `json:"failed"`
	Refused    int `json:"refused"`
	Abandoned  int `json:"abandoned"`
	Unfinished int `json:"unfinished"`

	// Goodput is the number of good answers per second; GoodputAnyStart leaves out
	// the condition on the first token.
	Goodput         float64 `json:"goodput"`
	GoodputAnyStart float64 `json:"goodput_any_start"`
	// GoodTokens is the number of output tokens per second in the answers that
	// Goodput counts; unlike Goodput it does not favour short answers.
	GoodTokens float64 `json:"good_tokens"`

	StallMS           float64 `json:"stall_ms"`
	StallPerRequestMS float64 `json:"stall_per_request_ms"`
	Preemptions       int     `json:"preemptions"`
	PreemptionStallMS float64 `json:"preemption_stall_ms"`

	GapP50MS   float64 `json:"gap_p50_ms"`
	GapP95MS   float64 `json:"gap_p95_ms"`
	GapP99MS   float64 `json:"gap_p99_ms"`
	FirstP50MS float64 `json:"first_token_p50_ms"`
	FirstP95MS float64 `json:"first_token_p95_ms"`
	FirstP99MS float64 `json:"first_token_p99_ms"`

	// Fairness is Jain's index over the accounts with demand.
	Fairness float64 `json:"fairness"`
	// FinishedInTime is the share of the requests with a finishing time that met it.
	FinishedInTime float64 `json:"finished_in_time"`
	WithFinishBy   int     `json:"with_finish_by"`

	ColdViolations int `json:"cold_violations"`
	MaxCold        int `json:"max_cold"`
	Duplicates     int `json:"duplicates"`
	// LateDispatches counts attempts sent to an upstream more than leavingGrace after
	// it began to leave or its data centre went out. CutOff counts attempts lost at an
	// upstream that was leaving or whose data centre was out.
	LateDispatches int `json:"late_dispatches"`
	CutOff         int `json:"cut_off"`
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return inMS(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func (s *simulation) result(policy string, seed uint64) Result {
	m := s.metrics
	r := Result{
		Trace: s.trace.Header.Name, Policy: policy, Seed: seed,
		Completed: m.completed, Failed: m.failed, Refused: m.refused, Abandoned: m.abandoned,
		Goodput: float64(m.goodAnswers) / m.countedSpan.Seconds(), GoodputAnyStart: float64(m.goodAnyStart) / m.countedSpan.Seconds(),
		GoodTokens: float64(m.goodTokens) / m.countedSpan.Seconds(),
		StallMS:    inMS(m.stall), Preemptions: m.preemptions, PreemptionStallMS: inMS(m.preemptionStall),
		GapP50MS: quantileMS(m.gaps, 50), GapP95MS: quantileMS(m.gaps, 95), GapP99MS: quantileMS(m.gaps, 99),
		FirstP50MS: quantileMS(m.firstTokens, 50), FirstP95MS: quantileMS(m.firstTokens, 95), FirstP99MS: quantileMS(m.firstTokens, 99),
		Duplicates: m.duplicates, LateDispatches: m.lateDispatches, CutOff: m.cutOff,
	}
	for _, event := range s.trace.Events {
		if event.Kind == trace.Arrive && event.At() >= s.trace.Header.Warmup() {
			s.countArrival(&r, s.requests[event.Arrival.ID])
		}
	}
	r.FinishedInTime = 1
	if r.WithFinishBy = m.withFinishBy; m.withFinishBy > 0 {
		r.FinishedInTime = float64(m.finishedInTime) / float64(m.withFinishBy)
	}
	if r.Completed > 0 {
		r.StallPerRequestMS = r.StallMS / float64(r.Completed)
	}
	for _, e := range s.engines {
		r.ColdViolations += e.coldViolations
		r.MaxCold = max(r.MaxCold, e.maxColdInFlight)
	}
	r.Fairness = fairness(s.trace.Header.Accounts, m.demand, m.received)
	return r
}

// countArrival adds a request to the totals; one that never ended is unfinished.
func (s *simulation) countArrival(r *Result, q *request) {
	r.Requests++
	if q.status.isFinal() {
		return
	}
	r.Unfinished++
	s.metrics.addAccountTokens(q)
	if q.finishBy > 0 {
		s.metrics.withFinishBy++
	}
}

// Value returns the value of the metric.
func (r Result) Value(m trace.Metric) float64 {
	switch m {
	case trace.MetricGoodput:
		return r.Goodput
	case trace.MetricGoodputAnyStart:
		return r.GoodputAnyStart
	case trace.MetricGoodTokens:
		return r.GoodTokens
	case trace.MetricStallMS:
		return r.StallMS
	case trace.MetricPreemptions:
		return float64(r.Preemptions)
	case trace.MetricGapP50:
		return r.GapP50MS
	case trace.MetricGapP95:
		return r.GapP95MS
	case trace.MetricGapP99:
		return r.GapP99MS
	case trace.MetricFirstP50:
		return r.FirstP50MS
	case trace.MetricFirstP95:
		return r.FirstP95MS
	case trace.MetricFirstP99:
		return r.FirstP99MS
	case trace.MetricFairness:
		return r.Fairness
	case trace.MetricInTime:
		return r.FinishedInTime
	}
	return r.count(m)
}

func (r Result) count(m trace.Metric) float64 {
	counts := map[trace.Metric]int{
		trace.MetricRefused: r.Refused, trace.MetricFailed: r.Failed, trace.MetricUnfinished: r.Unfinished,
		trace.MetricColdViolations: r.ColdViolations, trace.MetricDuplicates: r.Duplicates,
		trace.MetricLateDispatches: r.LateDispatches, trace.MetricCutOff: r.CutOff,
	}
	return float64(counts[m])
}
