//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a sound engine: it runs as many requests at once as it has slots, lets a few more wait,
// refuses the others, and drops a request when its connection closes.
type engine struct {
	id, address, service, dataCentre string
	work                             time.Duration
	events                           int
	slots                            chan struct{}
	waiting                          atomic.Int64
	maxWaiting                       int64
	server                           *http.Server

	// onRun is called when the engine begins to run a request; it may be nil.
	onRun func(r *http.Request)

	mu   sync.Mutex
	runs map[string]int
	born int64
}

// A narration has narrationEvents events, one each narrationInterval.
const (
	narrationEvents   = 235
	narrationInterval = 28 * time.Millisecond
)

// startEngine starts an engine and registers it. With events it answers by a stream of as many.
func (w *world) startEngine(id, service, dataCentre string, slots, events int, work time.Duration) (*engine, error) {
	e := &engine{id: id, service: service, dataCentre: dataCentre, work: work, events: events, slots: make(chan struct{}, slots), maxWaiting: int64(slots), runs: make(map[string]int), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.register(w, "ready")
	return e, nil
}

func (e *engine) register(w *world, phase string) {
	data, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.dataCentre, "version": "v1", "batchSlots": cap(e.slots),
		"phase": phase, "warmupLeftMs": 0, "sequence": 1, "born": e.born})
	w.store.Put("servers", e.id, string(data))
}

// crash ends the engine, which says nothing, and starts it again at the same address after a time.
func (e *engine) crash(w *world, down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
	time.Sleep(down)
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		w.record.logf("%s could not start again: %v", e.id, err)
		return
	}
	e.server, e.born = &http.Server{Handler: e}, time.Now().UnixMilli()
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.register(w, "ready")
	w.record.logf("%s is back", e.id)
}

// startEngines starts the engines of kocary-praha.
func (w *world) startEngines(work time.Duration) ([]*engine, error) {
	var out []*engine
	for i := range 18 {
		e, err := w.startEngine(fmt.Sprintf("i-model%02d", i), model, dataCentres[i%len(dataCentres)], 24, 3, work)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	for i := range 4 {
		e, err := w.startEngine(fmt.Sprintf("i-booking%d", i), booking, dataCentres[i], 6, 0, 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func (e *engine) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/rattanscale/"):
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		if e.waiting.Add(1) > e.maxWaiting {
			e.waiting.Add(-1)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case e.slots <- struct{}{}:
			e.waiting.Add(-1)
		case <-r.Context().Done():
			e.waiting.Add(-1)
			return
		}
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	if e.onRun != nil {
		e.onRun(r)
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Signature", "signed-by-"+e.id)
	if e.events == 0 {
		_, _ = fmt.Fprintf(w, "%-800s", "answer of "+e.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	events, interval := e.events, time.Duration(0)
	if strings.HasPrefix(r.URL.Path, "/narace/") {
		events, interval = narrationEvents, narrationInterval
	}
	for i := range events {
		select {
		case <-time.After(interval):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if controller.Flush() != nil {
			return
		}
	}
}
