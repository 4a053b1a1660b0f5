package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// FaultRefuse makes a plain service refuse calls with status 503 before they run.
const FaultRefuse FaultKind = "refuse"

// maxBodyBytes bounds the request bodies that stand-ins read.
const maxBodyBytes = 16 << 20

// PlainStats counts what a plain service did. It is the body of GET /stats.
type PlainStats struct {
	Runs int `json:"runs"`
	// RunsByKey and RunsByRequest count runs per Idempotency-Key and per X-Request-Id.
	RunsByKey       map[string]int `json:"runs_by_key"`
	RunsByRequest   map[string]int `json:"runs_by_request"`
	Refused         int            `json:"refused"`
	MaxConcurrent   int            `json:"max_concurrent"`
	LastStartUnixMS int64          `json:"last_start_unix_ms"`
}

// Plain emulates a plain service that echoes the bodies of its calls. Its
// faults include refuse; lose-answer runs the call and then resets the
// connection. It is safe for concurrent use and needs no closing.
type Plain struct {
	duration time.Duration
	faults   *faultPlan

	mu           sync.Mutex
	refuseCalls  bool
	runningCalls int
	stats        PlainStats
}

// NewPlain returns a plain service whose calls take the given time.
func NewPlain(duration time.Duration) *Plain {
	p := &Plain{duration: duration, stats: PlainStats{RunsByKey: map[string]int{}, RunsByRequest: map[string]int{}}}
	p.faults = newFaultPlan(p.applyFault)
	p.faults.losesAnswer = func(r *http.Request) bool { return r.Method == http.MethodPost }
	return p
}

// SetFault activates the fault and reports whether its kind is supported.
func (p *Plain) SetFault(f Fault) bool { return p.faults.set(f) }

func (p *Plain) applyFault(f Fault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseCalls = f.Kind == FaultRefuse
	return p.refuseCalls || f.Kind == FaultNone
}

// Handler serves POST / (a call), GET /healthz, POST /fault and GET /stats.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", p.serveCall)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	return p.faults.middleware(mux)
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	if !p.beginCall(r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id")) {
		(&refusal{http.StatusServiceUnavailable, "overloaded", "the call did not run"}).write(w)
		return
	}
	time.Sleep(p.duration) // the work continues after the caller has disconnected
	p.endCall()
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = io.Copy(w, r.Body)
}

func (p *Plain) beginCall(key, request string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuseCalls {
		p.stats.Refused++
		return false
	}
	p.runningCalls++
	p.stats.Runs++
	p.stats.RunsByKey[key]++
	p.stats.RunsByRequest[request]++
	p.stats.MaxConcurrent = max(p.stats.MaxConcurrent, p.runningCalls)
	p.stats.LastStartUnixMS = time.Now().UnixMilli()
	return true
}

func (p *Plain) endCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runningCalls--
}

// Stats returns a copy of the counters.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.RunsByKey, s.RunsByRequest = cloneCounts(s.RunsByKey), cloneCounts(s.RunsByRequest)
	return s
}
