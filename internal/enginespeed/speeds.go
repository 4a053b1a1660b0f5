// Package enginespeed estimates the speed of engines from the streams that run on them: the
// time for a prompt token, and the time for an output token against the number of requests
// that run beside it. It does no I/O and does not read the clock.
//
// It answers engines of one service that differ in speed. Each host measures its own streams
// and adds the measurements of the others, so that an engine's speed is known after a few
// streams of any host. A slow engine is not a failing one: the estimates say nothing about
// failures.
package enginespeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// halfLife is the time after which a measurement counts half. An engine that was found slow
	// gets few streams, and is not to be tried with long ones again and again.
	halfLife = 30 * time.Second
	// maxPromptTokens and maxOutputTokens are the latest tokens that count: some seconds of a busy
	// engine. One that becomes slow shows so, and one that stalls for a fraction of a second does
	// not.
	maxPromptTokens, maxOutputTokens = 40_000.0, 4000.0
	// retention is the time after the last measurement of an engine after which it is
	// forgotten.
	retention = time.Minute
	// promptPriorTokens and outputPriorTokens are the weight of the service's mean in the
	// estimate of an engine: with as many tokens measured, both count the same.
	promptPriorTokens, outputPriorTokens = 4000.0, 200.0
	// maxReportedEngines bounds the engines in one report to about a kilobyte.
	maxReportedEngines = 16
	// Engines of a service count as different once the slow fifth takes differentRatio times as
	// long as the fast fifth, and until it takes less than similarRatio. Estimates of equal
	// engines differ by less, since each is drawn to the mean of the service.
	differentRatio, similarRatio = 1.4, 1.2
	// comparedShare is the share of the engines that counts as the slow and as the fast ones.
	comparedShare = 0.2
	// minComparedEngines is the number of known engines below which they are not compared.
	minComparedEngines = 3
)

// Figures are sums over measurements. The weight of a measurement is its number of tokens.
// Structs are encoded as arrays, so the order of the fields must not change.
type Figures struct {
	// PromptTokens were processed in PromptSeconds; those of requests ahead are included.
	PromptTokens, PromptSeconds float32
	// OutputTokens were produced in OutputSeconds while no prompt was pending on the engine;
	// PromptedTokens in PromptedSeconds while some were, which it may have processed or not: on a
	// full engine prompts wait for memory. The following sums are over the former, weighted with the
	// tokens: Running of the requests on the engine, RunningTime of their product with the time per
	// token, and SquaredRunning of their square.
	OutputTokens, OutputSeconds, PromptedTokens, PromptedSeconds, Running, RunningTime, SquaredRunning float32
}

// Measured is what a host measured on one incarnation of an engine.
type Measured struct {
	Engine      string
	Incarnation int64
	Figures     Figures
}

// Report holds the measurements of one host in one period. Receivers add a period once, however
// often it is sent.
type Report struct {
	Period  int64
	Engines []Measured
}

// sums are Figures with enough digits for many additions and subtractions.
type sums struct {
	promptTokens, promptSeconds                                                                        float64
	outputTokens, outputSeconds, promptedTokens, promptedSeconds, running, runningTime, squaredRunning float64
}

func (s *sums) add(f Figures) {
	s.promptTokens += float64(f.PromptTokens)
	s.promptSeconds += float64(f.PromptSeconds)
	s.outputTokens += float64(f.OutputTokens)
	s.outputSeconds += float64(f.OutputSeconds)
	s.promptedTokens += float64(f.PromptedTokens)
	s.promptedSeconds += float64(f.PromptedSeconds)
	s.running += float64(f.Running)
	s.runningTime += float64(f.RunningTime)
	s.squaredRunning += float64(f.SquaredRunning)
}

// limit drops what exceeds the latest tokens that count.
func (s *sums) limit() {
	prompt, output := min(maxPromptTokens/max(s.promptTokens, 1), 1), min(maxOutputTokens/max(s.outputTokens+s.promptedTokens, 1), 1)
	promptTokens, promptSeconds := s.promptTokens*prompt, s.promptSeconds*prompt
	s.scale(output)
	s.promptTokens, s.promptSeconds = promptTokens, promptSeconds
}

func (s *sums) scale(factor float64) {
	for _, v := range []*float64{&s.promptTokens, &s.promptSeconds, &s.outputTokens, &s.outputSeconds, &s.promptedTokens, &s.promptedSeconds, &s.running, &s.runningTime, &s.squaredRunning} {
		*v *= factor
	}
}

type engineState struct {
	incarnation int64
	service     string
	sums        sums
	// decayedAt is the time to which sums have decayed, measuredAt that of the last
	// measurement.
	decayedAt, measuredAt time.Time
}

func (e *engineState) decay(now time.Time) {
	if elapsed := now.Sub(e.decayedAt); elapsed > 0 {
		e.sums.scale(math.Exp2(-float64(elapsed) / float64(halfLife)))
		e.decayedAt = now
	}
}

// Table holds the measurements of all hosts. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	engines map[string]*engineState
	// own holds the measurements of this host that no report contains yet.
	own        map[string]*Measured
	report     Report
	seenPeriod map[string]int64
	// gaps holds the gaps between events that this host observed, by service.
	gaps      map[string]*distribution
	estimates atomic.Pointer[Estimates]
}

func NewTable() *Table {
	t := &Table{engines: make(map[string]*engineState), own: make(map[string]*Measured), seenPeriod: make(map[string]int64), gaps: make(map[string]*distribution)}
	t.estimates.Store(&Estimates{})
	return t
}

// RecordPrompt records that an engine sent its first event after the given time, in which it
// processed the given prompt tokens.
func (t *Table) RecordPrompt(service, engine string, incarnation int64, tokens int, duration time.Duration, now time.Time) {
	if tokens > 0 && duration > 0 {
		t.record(service, engine, incarnation, Figures{PromptTokens: float32(tokens), PromptSeconds: float32(duration.Seconds())}, now)
	}
}

// Output is the progress of a stream between two events.
type Output struct {
	Tokens   int
	Duration time.Duration
	// Running is the number of requests on the engine, Prompts whether prompts were pending there.
	Running int
	Prompts bool
}

// RecordOutput records the progress of a stream on an engine.
func (t *Table) RecordOutput(service, engine string, incarnation int64, o Output, now time.Time) {
	if o.Tokens <= 0 || o.Duration <= 0 {
		return
	}
	weight, seconds, n := float32(o.Tokens), float32(o.Duration.Seconds()), float32(max(o.Running, 1))
	f := Figures{
		OutputTokens: weight, OutputSeconds: seconds,
		Running: weight * n, RunningTime: seconds * n, SquaredRunning: weight * n * n,
	}
	if o.Prompts {
		f = Figures{PromptedTokens: weight, PromptedSeconds: seconds}
	}
	if speed := t.Estimates().Of(service, engine); speed.MeasuredTokens >= minKnownTokens {
		t.recordGap(service, float64(seconds/weight)/speed.OutputTokenAt(o.Running), now)
	}
	t.record(service, engine, incarnation, f, now)
}

// recordGap records how much longer than expected a gap between two events was.
func (t *Table) recordGap(service string, ratio float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.gaps[service]
	if d == nil {
		d = &distribution{decayedAt: now}
		t.gaps[service] = d
	}
	d.add(ratio, now)
}

func (t *Table) record(service, engine string, incarnation int64, f Figures, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.add(service, engine, incarnation, f, now) {
		return
	}
	m := t.own[engine]
	if m == nil || m.Incarnation != incarnation {
		m = &Measured{Engine: engine, Incarnation: incarnation}
		t.own[engine] = m
	}
	total := sums{}
	total.add(m.Figures)
	total.add(f)
	m.Figures = Figures{
		float32(total.promptTokens), float32(total.promptSeconds), float32(total.outputTokens), float32(total.outputSeconds),
		float32(total.promptedTokens), float32(total.promptedSeconds), float32(total.running), float32(total.runningTime), float32(total.squaredRunning),
	}
}

// add adds figures of an incarnation of an engine. A newer incarnation replaces what is known of
// an older one, whose figures are ignored from then on.
func (t *Table) add(service, engine string, incarnation int64, f Figures, now time.Time) bool {
	e := t.engines[engine]
	switch {
	case e != nil && incarnation < e.incarnation:
		return false
	case e == nil || incarnation > e.incarnation:
		e = &engineState{incarnation: incarnation, decayedAt: now}
		t.engines[engine] = e
	}
	if service != "" {
		e.service = service
	}
	e.decay(now)
	e.sums.add(f)
	e.sums.limit()
	e.measuredAt = now
	return true
}

// OwnReport returns the measurements of this host in the last complete period, which lasts as
// long as the given interval. The engines with the most measurements come first; what exceeds
// the bound is left out.
func (t *Table) OwnReport(interval time.Duration, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if period := now.UnixNano() / int64(interval); period != t.report.Period {
		measured := slices.Collect(maps.Values(t.own))
		slices.SortFunc(measured, func(a, b *Measured) int {
			return cmp.Or(cmp.Compare(b.Figures.OutputTokens+b.Figures.PromptTokens, a.Figures.OutputTokens+a.Figures.PromptTokens), cmp.Compare(a.Engine, b.Engine))
		})
		t.report = Report{Period: period}
		for _, m := range measured[:min(len(measured), maxReportedEngines)] {
			t.report.Engines = append(t.report.Engines, *m)
		}
		clear(t.own)
	}
	return t.report
}

// Merge adds the report of another host. serviceOf returns the service of an engine, "" if it is
// not known; the measurements of such engines are ignored.
func (t *Table) Merge(host string, r Report, serviceOf func(engine string) string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Period == t.seenPeriod[host] {
		return
	}
	t.seenPeriod[host] = r.Period
	for _, m := range r.Engines[:min(len(r.Engines), maxReportedEngines)] {
		if service := serviceOf(m.Engine); service != "" && m.Figures.valid() {
			t.add(service, m.Engine, m.Incarnation, m.Figures, now)
		}
	}
}

// valid reports whether the figures can come from a measurement.
func (f Figures) valid() bool {
	for _, v := range []float32{f.PromptTokens, f.PromptSeconds, f.OutputTokens, f.OutputSeconds, f.PromptedTokens, f.PromptedSeconds, f.Running, f.RunningTime, f.SquaredRunning} {
		if !(v >= 0 && v < 1e9) {
			return false
		}
	}
	return true
}

// Evict forgets engines that were not measured for a while, and hosts that are not live.
func (t *Table) Evict(isLive func(host string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.engines, func(_ string, e *engineState) bool { return now.Sub(e.measuredAt) > retention })
	maps.DeleteFunc(t.seenPeriod, func(host string, _ int64) bool { return !isLive(host) })
}
