package standin

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// refusal is the error response to a request that did not run.
type refusal struct {
	status  int
	code    string
	message string
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func (r *refusal) write(w http.ResponseWriter) {
	writeJSON(w, r.status, errorResponse{errorDetail{Type: r.code, Message: r.message}})
}

type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type resumeRequest struct {
	RequestID  string `json:"request_id"`
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
}

type cacheEventsResponse struct {
	Events []upstream.CacheEvent `json:"events"`
}

// Handler serves the engine's HTTP interface: completions, resume, cancel, load
// report, cache events, orders, faults and counters.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/resume", e.serveResume)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.report())
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	return e.faults.middleware(mux)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request upstream.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.RequestID == "" {
		(&refusal{http.StatusBadRequest, "invalid_request", "the body needs request_id, model and prompt"}).write(w)
		return
	}
	g, refused := e.start(request)
	if refused != nil {
		refused.write(w)
		return
	}
	e.stream(w, r, g, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var body resumeRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", err.Error()}).write(w)
		return
	}
	g := e.resume(body.RequestID, body.Generation, body.Offset)
	if g == nil {
		(&refusal{http.StatusNotFound, "unknown_generation", "the generation is not held at this offset"}).write(w)
		return
	}
	e.stream(w, r, g, body.Offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body cancelRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", err.Error()}).write(w)
		return
	}
	e.cancel(body.RequestID) // an unknown request counts as cancelled
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if key := e.settings.OrderKey; key != "" &&
		subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+key)) != 1 {
		(&refusal{http.StatusUnauthorized, "unauthorized", "orders need the engine's key"}).write(w)
		return
	}
	var order upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", err.Error()}).write(w)
		return
	}
	if !e.applyOrder(order) {
		(&refusal{http.StatusConflict, "stale_fencing_token", "a newer fencing token was seen"}).write(w)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		(&refusal{http.StatusBadRequest, "invalid_request", "after must be a number"}).write(w)
		return
	}
	e.mu.Lock()
	events := e.cache.visibleEvents(after, e.settings.CacheGap, time.Now().Add(-e.settings.CacheLag))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, cacheEventsResponse{events})
}

// stream sends the tokens from the offset onwards as server-sent events. The
// generation continues when its reader disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	e.attach(g)
	defer e.detach(g)
	_, _, reset := e.faults.currentFault()
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	for {
		p := e.progress(g)
		if p.lost || !e.faults.delayRequest(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		for ; offset < p.producedTokens; offset++ {
			writeChunk(w, g, offset, tokenText(g, offset), nil)
		}
		if p.done {
			writeChunk(w, g, offset, "", &g.finishReason)
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = controller.Flush()
		select {
		case <-p.changed:
		case <-reset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func writeChunk(w http.ResponseWriter, g *generation, offset int, text string, finish *string) {
	data, _ := json.Marshal(completionChunk{
		ID: g.id + ":" + strconv.Itoa(offset), Object: "text_completion", Model: g.request.Model,
		Choices: []completionChoice{{Text: text, FinishReason: finish}},
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data) // a closed connection cancels the request's context
}
