package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// FaultKind names a fault that a stand-in can be told to show.
type FaultKind string

// The faults. Every stand-in knows none, down, slow, lose-answer, freeze and
// reset; the others concern the engine only.
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
	// DelayMS is the added delay of slow, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Count limits lose-answer to the next Count answers; 0 means until none.
	Count int `json:"count,omitempty"`
	// Marker is the text in a prompt on which crash-on acts.
	Marker string `json:"marker,omitempty"`
}

// faultPlan holds the current fault and applies it to requests. It is safe for
// concurrent use.
type faultPlan struct {
	mu      sync.Mutex
	current Fault
	changed chan struct{} // closed when the fault changes
	reset   chan struct{} // closed when open connections must be reset
	// applyOther sees every fault except reset and reports whether it handles the kind.
	applyOther func(Fault) bool
	// losesAnswer tells to which requests lose-answer applies.
	losesAnswer func(*http.Request) bool
}

// newFaultPlan returns a plan without a fault. The function extra handles the
// kinds that only one stand-in knows; it may be nil.
func newFaultPlan(applyOther func(Fault) bool) *faultPlan {
	if applyOther == nil {
		applyOther = func(Fault) bool { return false }
	}
	return &faultPlan{
		current: Fault{Kind: FaultNone}, changed: make(chan struct{}), reset: make(chan struct{}), applyOther: applyOther,
		losesAnswer: func(*http.Request) bool { return true },
	}
}

// set makes the fault the current one and reports whether its kind is known.
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

// takeLostAnswer reports whether the next answer must be lost, and counts it.
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

// delayRequest delays the caller while slow or freeze is in force. It reports false
// when the connection must be reset.
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

// middleware serves POST /fault and applies the current fault to all other requests
// except GET /stats.
func (p *faultPlan) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/fault":
			p.serve(w, r)
			return
		case "/stats":
			next.ServeHTTP(w, r)
			return
		}
		// The server notices that the client is gone only once the body was read.
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
		http.Error(w, "send POST with a fault kind that this stand-in knows", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// discardWriter drops an answer that the fault plan loses.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a broken connection shows at the client
}
