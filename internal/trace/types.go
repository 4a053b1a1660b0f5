// Package trace defines the recorded form of a workload: a header that describes
// the engines, services, client accounts and the stated outcomes, and events
// sorted by time. docs/trace-format.md documents the file format.
package trace

import "time"

// FormatVersion is the version of the file format that this package reads and writes.
const FormatVersion = 1

// Order is the order of the events in a file.
type Order string

// Orders of events. A daemon records an arrival when its answer is complete, because
// only then the output length is known. Its files are in completion order, and Parse
// sorts them by time.
const (
	OrderTime       Order = "time"
	OrderCompletion Order = "completion"
)

// Header is the first line of a trace file.
type Header struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
	About   string `json:"about,omitempty"`
	Seed    uint64 `json:"seed"`
	// SpanMS is the time over which rates such as goodput are computed.
	SpanMS int64 `json:"span_ms"`
	// WarmupMS excludes earlier arrivals from the metrics.
	WarmupMS int64     `json:"warmup_ms,omitempty"`
	Order    Order     `json:"order"`
	Pools    []Pool    `json:"pools"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Span returns SpanMS as a duration.
func (h Header) Span() time.Duration { return milliseconds(h.SpanMS) }

// Warmup returns WarmupMS as a duration.
func (h Header) Warmup() time.Duration { return milliseconds(h.WarmupMS) }

// Pool is a set of upstreams in one data centre with its limits.
type Pool struct {
	Name       string     `json:"name"`
	DataCentre string     `json:"data_centre"`
	Limits     Limits     `json:"limits"`
	Upstreams  []Upstream `json:"upstreams"`
}

// Limits are the operators' limits for each upstream of a pool.
type Limits struct {
	ColdRequests int   `json:"cold_requests"`
	MaxRequests  int   `json:"max_requests"`
	MemoryTokens int   `json:"memory_tokens"`
	TargetStepMS int64 `json:"target_step_ms"`
}

// TargetStep returns TargetStepMS as a duration.
func (l Limits) TargetStep() time.Duration { return milliseconds(l.TargetStepMS) }

// Upstream is one engine and the parameters of its model.
type Upstream struct {
	Name   string `json:"name"`
	Engine Engine `json:"engine"`
}

// Engine holds the parameters of the engine model. A step takes
// base + per request * batch + per 1,000 tokens in memory + per prefilled token.
type Engine struct {
	BaseUS              float64 `json:"base_us"`
	PerRequestUS        float64 `json:"per_request_us"`
	PerThousandTokensUS float64 `json:"per_thousand_tokens_us"`
	PrefillPerTokenUS   float64 `json:"prefill_per_token_us"`
	// PrefillChunk is the number of prompt tokens that one step may process.
	PrefillChunk int `json:"prefill_chunk"`
	// Noise is the relative standard deviation of the step time.
	Noise             float64 `json:"noise"`
	MaxBatch          int     `json:"max_batch"`
	MemoryTokens      int     `json:"memory_tokens"`
	PrefixCacheTokens int     `json:"prefix_cache_tokens"`
	// StartsCold makes the engine cold at the start of the trace.
	StartsCold bool `json:"starts_cold,omitempty"`
	// ColdRequests is the concurrency above which a cold engine fails.
	ColdRequests int `json:"cold_requests"`
	// WarmAfter is the number of completed requests that end the cold state.
	WarmAfter int `json:"warm_after"`
	// ColdFactor multiplies the step time of a cold engine.
	ColdFactor float64 `json:"cold_factor"`
	// RestartMS is the time for which the engine is down after it exceeded its cold limit.
	RestartMS     int64 `json:"restart_ms"`
	ReportEveryMS int64 `json:"report_every_ms"`
	ReportLagMS   int64 `json:"report_lag_ms"`
	CacheLagMS    int64 `json:"cache_lag_ms"`
	// CacheEventLoss is the probability that a cache event is not delivered.
	CacheEventLoss float64 `json:"cache_gap"`
}

// Delivery has the values of the delivery setting in the service text.
type Delivery string

const (
	DeliverWhole   Delivery = "whole"
	DeliverRestart Delivery = "restart"
	DeliverError   Delivery = "error"
)

// Service is one service of the trace.
type Service struct {
	Name     string   `json:"name"`
	Pools    []string `json:"pools"`
	Delivery Delivery `json:"delivery"`
	Priority int      `json:"priority"`
	// DeadlineMS is the queueing limit, 0 for none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Account is a client account with its share.
type Account struct {
	Name      string  `json:"name"`
	Share     float64 `json:"share"`
	MaxQueued int     `json:"max_queued,omitempty"`
}

// Metric names a metric of a replay run that an outcome can bound.
type Metric string

const (
	MetricGoodput         Metric = "goodput"
	MetricGoodputAnyStart Metric = "goodput_any_start"
	MetricGoodTokens      Metric = "good_tokens"
	MetricStallMS         Metric = "stall_ms"
	MetricPreemptions     Metric = "preemptions"
	MetricGapP50          Metric = "gap_p50_ms"
	MetricGapP95          Metric = "gap_p95_ms"
	MetricGapP99          Metric = "gap_p99_ms"
	MetricFirstP50        Metric = "first_token_p50_ms"
	MetricFirstP95        Metric = "first_token_p95_ms"
	MetricFirstP99        Metric = "first_token_p99_ms"
	MetricRefused         Metric = "refused"
	MetricFailed          Metric = "failed"
	MetricUnfinished      Metric = "unfinished"
	MetricFairness        Metric = "fairness"
	MetricInTime          Metric = "finished_in_time"
	MetricColdViolations  Metric = "cold_violations"
	MetricDuplicates      Metric = "duplicates"
	MetricLateDispatches  Metric = "late_dispatches"
	MetricCutOff          Metric = "cut_off"
)

// Metrics lists every metric in the order of the documentation.
func Metrics() []Metric {
	return []Metric{
		MetricGoodput, MetricGoodputAnyStart, MetricGoodTokens, MetricStallMS, MetricPreemptions, MetricGapP50, MetricGapP95,
		MetricGapP99, MetricFirstP50, MetricFirstP95, MetricFirstP99, MetricRefused, MetricFailed,
		MetricUnfinished, MetricFairness, MetricInTime, MetricColdViolations, MetricDuplicates,
		MetricLateDispatches, MetricCutOff,
	}
}

// Outcome states what a run must achieve. A bound is absolute, or relative to the same
// metric under ReferencePolicy or of ReferenceTrace.
type Outcome struct {
	Name            string   `json:"name"`
	Metric          Metric   `json:"metric"`
	ReferencePolicy string   `json:"of,omitempty"`
	ReferenceTrace  string   `json:"of_trace,omitempty"`
	AtMost          *float64 `json:"at_most,omitempty"`
	AtLeast         *float64 `json:"at_least,omitempty"`
}

type Kind string

const (
	Arrive            Kind = "arrival"
	UpstreamCold      Kind = "upstream-cold"
	UpstreamReclaimed Kind = "upstream-reclaimed"
	UpstreamLost      Kind = "upstream-lost"
	UpstreamBack      Kind = "upstream-back"
	DataCentreOut     Kind = "data-centre-out"
	DataCentreBack    Kind = "data-centre-back"
)

// Event is one line after the header.
type Event struct {
	AtMS       int64    `json:"at_ms"`
	Kind       Kind     `json:"kind"`
	Arrival    *Arrival `json:"arrival,omitempty"`
	Upstream   string   `json:"upstream,omitempty"`
	DataCentre string   `json:"data_centre,omitempty"`
	// NoticeMS is the time between the notice of a reclaimed upstream and its end.
	NoticeMS int64 `json:"notice_ms,omitempty"`
}

// At returns the offset of the event from the start of the trace.
func (e Event) At() time.Duration { return milliseconds(e.AtMS) }

// Notice returns NoticeMS as a duration.
func (e Event) Notice() time.Duration { return milliseconds(e.NoticeMS) }

// Arrival is one request.
type Arrival struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Account string `json:"account"`
	// Priority overrides the service's priority.
	Priority     *int `json:"priority,omitempty"`
	PromptTokens int  `json:"prompt"`
	// OutputTokens is the true length of the answer. Policies do not see it.
	OutputTokens int    `json:"output"`
	MaxTokens    int    `json:"max,omitempty"`
	PrefixHash   uint64 `json:"prefix,omitempty"`
	// PrefixTokens is the length of the prompt prefix that PrefixHash identifies.
	PrefixTokens int `json:"prefix_tokens,omitempty"`
	// DeadlineMS overrides the service's queueing limit, counted from the arrival.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// FinishByMS is the offset from the start of the trace by which the answer must be
	// complete to be useful.
	FinishByMS int64 `json:"finish_by_ms,omitempty"`
	// AbandonMS is the time after the arrival at which the caller disconnects, 0 for never.
	AbandonMS int64 `json:"abandon_ms,omitempty"`
}

// Trace is a parsed trace. It is immutable after Parse and safe for concurrent use.
type Trace struct {
	Header Header
	Events []Event
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
