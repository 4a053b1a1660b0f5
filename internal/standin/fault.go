package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// FaultKind is a kind of fault that a stand-in can inject.
type FaultKind string

// Every stand-in supports none, down, slow, lose-answer, freeze and reset. Only the
// engine supports the others.
const (
	FaultNone        FaultKind = "none"
	FaultDown        FaultKind = "down"
	FaultSlow        FaultKind = "slow"
	FaultLoseAnswer  FaultKind = "lose-answer"
	FaultFreeze      FaultKind = "freeze"
	FaultReset       FaultKind = "reset"
	FaultColdRestart FaultKind = "cold-restart"
	FaultCrashOn     FaultKind = "crash-on"
	FaultLeave       FaultKind = "leave"
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// DelayMS is the delay that slow adds to each request, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Count limits lose-answer to the next Count responses; 0 means until the
	// fault changes.
	Count int `json:"count,omitempty"`
	// Marker is the text in a prompt that makes the engine crash under crash-on.
	Marker string `json:"marker,omitempty"`
}

// faultPlan holds the active fault and applies it to requests. It is safe for
// concurrent use.
type faultPlan struct {
	mu      sync.Mutex
	current Fault
	changed chan struct{} // closed when the fault changes
	reset   chan struct{} // closed when open connections must be reset
	// applyOther is called with every fault except reset and reports whether it
	// supports the kind.
	applyOther func(Fault) bool
	// losesAnswer reports whether lose-answer applies to the request.
	losesAnswer func(*http.Request) bool
}

// newFaultPlan returns a plan without a fault. applyOther handles
// the kinds that only one stand-in supports; it may be nil.
func newFaultPlan(applyOther func(Fault) bool) *faultPlan {
	if applyOther == nil {
		applyOther = func(Fault) bool { return false }
	}
	return &faultPlan{
		current: Fault{Kind: FaultNone}, changed: make(chan struct{}), reset: make(chan struct{}), applyOther: applyOther,
		losesAnswer: func(*http.Request) bool { return true },
	}
}

// set activates the fault and reports whether its kind is supported.
func (p *faultPlan) set(f Fault) bool {
	switch f.Kind {
	case FaultReset:
		p.resetConnections()
		return true
	case FaultNone, FaultDown, FaultSlow, FaultLoseAnswer, FaultFreeze:
		p.applyOther(f)
	default:
		return p.applyOther(f)
	}
	p.mu.Lock()
	p.current = f
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if f.Kind == FaultDown {
		p.resetConnections()
	}
	return true
}

func (p *faultPlan) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.reset)
	p.reset = make(chan struct{})
}

func (p *faultPlan) currentFault() (f Fault, changed, reset <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.changed, p.reset
}

// takeLostAnswer reports whether the next response must be dropped, and counts it.
func (p *faultPlan) takeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current.Kind != FaultLoseAnswer {
		return false
	}
	if p.current.Count > 0 {
		if p.current.Count--; p.current.Count == 0 {
			p.current.Kind = FaultNone
		}
	}
	return true
}

// delayRequest blocks while slow or freeze is active. It reports false when the
// connection must be reset or the context has ended.
func (p *faultPlan) delayRequest(ctx context.Context) bool {
	for {
		f, changed, reset := p.currentFault()
		var delay <-chan time.Time
		switch f.Kind {
		case FaultDown:
			return false
		case FaultSlow:
			delay = time.After(time.Duration(f.DelayMS) * time.Millisecond)
		case FaultFreeze:
		default:
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-reset:
			return false
		case <-delay:
			return true
		case <-changed:
		}
	}
}

// middleware serves POST /fault and applies the active fault to all other requests
// except those to /stats.
func (p *faultPlan) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderExchange, r.Header.Get(upstream.HeaderExchange))
		switch r.URL.Path {
		case "/fault":
			p.serve(w, r)
			return
		case "/stats":
			next.ServeHTTP(w, r)
			return
		}
		// The HTTP server detects a closed client connection only after the request
		// body has been read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil || !p.delayRequest(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if p.losesAnswer(r) && p.takeLostAnswer() {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (p *faultPlan) serve(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&f) != nil || !p.set(f) {
		http.Error(w, "send POST with a fault kind that this stand-in supports", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// discardWriter discards the response of a request under lose-answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failed write is seen by the client
}
