package daemon

import (
	"context"
	"math"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/relay"
	"github.com/rattanscale/rattanscale/internal/trace"
)

const (
	// traceFlushInterval is the time between flushes of the trace file. A crash loses at
	// most the records of one interval.
	traceFlushInterval = time.Second
	// prefixTokens is the length in tokens of the prompt prefix that PrefixHash identifies.
	prefixTokens = 64
)

// traceRecorder writes the requests of this daemon to a trace file. It implements
// relay.Trace and is safe for concurrent use. The methods of a nil traceRecorder do
// nothing.
type traceRecorder struct {
	file   *os.File
	config func() *entity.Configuration
	log    logr.Logger

	mu             sync.Mutex
	writer         *trace.Writer // nil until the configuration is known
	startedAt      time.Time
	dataCentresOut map[string]bool
}

// newTraceRecorder opens the file; run closes it. It returns nil if path is empty.
func newTraceRecorder(path string, config func() *entity.Configuration, log logr.Logger) (*traceRecorder, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &traceRecorder{file: file, config: config, log: log}, nil
}

// ensureHeader writes the header unless it is written. It returns false if the
// configuration is not known yet or the write failed. The caller holds mu.
func (r *traceRecorder) ensureHeader(conf *entity.Configuration) bool {
	if r.writer != nil {
		return true
	}
	if conf.Text == nil {
		return false
	}
	r.startedAt = time.Now()
	writer, err := trace.NewWriter(r.file, traceHeader(conf))
	if err != nil {
		r.log.Error(err, "writing the trace file failed")
		return false
	}
	r.writer = writer
	return true
}

// RecordArrival records the arrival of a request.
func (r *traceRecorder) RecordArrival(call *relay.Call, promptTokens int, prefix uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ensureHeader(r.config()) {
		return
	}
	arrival := trace.Arrival{
		ID: call.RequestID, Service: call.Service.Name, Account: call.Account.Name, PromptTokens: promptTokens,
		MaxTokens: call.MaxTokens, PrefixHash: prefix & math.MaxInt64, PrefixTokens: min(promptTokens, prefixTokens),
	}
	if !call.FinishBy.IsZero() {
		arrival.FinishByMS = max(call.FinishBy.Sub(r.startedAt).Milliseconds(), 1)
	}
	r.writer.RecordArrival(time.Since(r.startedAt), arrival)
}

// RecordEnd writes a request that produced a complete answer and drops any other, because
// its output length is unknown.
func (r *traceRecorder) RecordEnd(id string, tokens int, complete bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil {
		return
	}
	if !complete || tokens == 0 {
		r.writer.Discard(id)
		return
	}
	if err := r.writer.RecordCompletion(id, tokens); err != nil {
		r.log.V(1).Info("request left out of the trace file", "request", id, "error", err.Error())
	}
}

// recordConfiguration records data centres that were taken out or brought back.
func (r *traceRecorder) recordConfiguration(conf *entity.Configuration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ensureHeader(conf) {
		return
	}
	for _, name := range conf.Text.DataCentres {
		if out := conf.DataCentresOut[name]; out != r.dataCentresOut[name] {
			kind := trace.DataCentreBack
			if out {
				kind = trace.DataCentreOut
			}
			_ = r.writer.Write(trace.Event{AtMS: time.Since(r.startedAt).Milliseconds(), Kind: kind, DataCentre: name})
		}
	}
	r.dataCentresOut = conf.DataCentresOut
}

// run flushes the trace until ctx ends, then closes the file.
func (r *traceRecorder) run(ctx context.Context) {
	if r == nil {
		return
	}
	ticker := time.NewTicker(traceFlushInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		r.flush()
	}
	_ = r.file.Close()
}

func (r *traceRecorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil {
		return
	}
	if err := r.writer.Flush(); err != nil {
		r.log.Error(err, "writing the trace file failed")
	}
}

// traceHeader returns a trace header that describes the configuration. Plain pools and
// services without engine pools are left out, because the simulated engines of a replay
// cannot represent them.
func traceHeader(conf *entity.Configuration) trace.Header {
	h := trace.Header{Name: "recorded", About: "recorded by a running daemon", Seed: 1, SpanMS: time.Hour.Milliseconds()}
	engines := map[string]bool{}
	for _, p := range conf.Text.Pools {
		if p.Kind == entity.KindPlain {
			continue
		}
		engines[p.Name] = true
		limits := trace.Limits{
			ColdRequests: p.Limits.ColdRequests, MaxRequests: p.Limits.MaxRequests, MemoryTokens: p.Limits.MemoryTokens,
			TargetStepMS: p.Limits.TargetStep.Milliseconds(),
		}
		row := trace.Pool{Name: p.Name, DataCentre: p.DataCentre, Limits: limits}
		for _, u := range p.Upstreams {
			row.Upstreams = append(row.Upstreams, trace.Upstream{Name: u.Name, Engine: trace.DefaultEngine(limits)})
		}
		h.Pools = append(h.Pools, row)
	}
	for _, s := range conf.Text.Services {
		row := trace.Service{Name: s.Name, Delivery: trace.Delivery(s.Delivery), Priority: s.Priority, DeadlineMS: s.Deadline.Milliseconds()}
		seen := map[string]bool{}
		for _, v := range s.Versions {
			for _, p := range v.Pools {
				if engines[p] && !seen[p] {
					seen[p] = true
					row.Pools = append(row.Pools, p)
				}
			}
		}
		if len(row.Pools) > 0 {
			h.Services = append(h.Services, row)
		}
	}
	for _, a := range conf.Text.Accounts {
		h.Accounts = append(h.Accounts, trace.Account{Name: a.Name, Share: a.Share, MaxQueued: a.MaxQueued})
	}
	return h
}
