//go:build reviewcase

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for an engine as the users' pages describe it: it registers in the store,
// beats, queues what its slots can not take, and answers with the id and a signature. It may crash,
// which takes all its runs and connections with it; it is then back after some seconds with a new id.
type engine struct {
	site                   *site
	service, zone, address string
	slots                  int
	// work is the time of a plain request; prefill and interval are those of a stream, which has
	// events events.
	work, prefill, interval time.Duration
	events                  int
	// back is the time from a crash to the next start. silent crashes send nothing: connections stay
	// open, and no byte is answered until the next start, which resets them unless silentForGood is
	// set. Other crashes reset the connections.
	back                  time.Duration
	silent, silentForGood bool
	// onArrival is called for each request that arrives and is for this engine.
	onArrival func(e *engine, a arrival)
	// onWork is called when the engine ends its work on a request.
	onWork func(e *engine, id string, w work)
	// crashes reports whether a request crashes the engine when it begins to run it.
	crashes func(a arrival) bool
	// losesAnswer reports whether the connection of a request that waits for a slot is reset after
	// lossDelay. The request stays in the queue.
	losesAnswer func(a arrival) bool
	lossDelay   time.Duration

	mu          sync.Mutex
	incarnation int
	id          string
	born        int64
	up          bool
	listener    net.Listener
	conns       map[net.Conn]bool
	free        chan struct{}
	runs        map[string]*run
	kept        map[string]string // handles of the memory of stopped runs
	ended       chan struct{}     // closed when this incarnation ends
	sequence    int
}

// arrival is a request at an engine.
type arrival struct {
	id, path, body string
	parts          []string
	resumeAfter    string
	copyName       string
	at             time.Duration
	expects        string
}

// run is a request that the engine works on.
type run struct {
	stop    chan struct{}
	stopped bool
}

func (s *site) addEngine(e *engine) (*engine, error) {
	e.site, e.zone = s, s.zones[len(s.engines)%len(s.zones)]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = listener.Addr().String()
	s.engines = append(s.engines, e)
	e.start(listener)
	go e.beat()
	return e, nil
}

func (e *engine) start(listener net.Listener) {
	e.mu.Lock()
	e.incarnation++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.address, ":", "-")[10:], e.incarnation)
	e.born, e.up, e.listener, e.conns = time.Now().UnixMilli(), true, listener, map[net.Conn]bool{}
	e.free, e.runs, e.kept, e.ended = make(chan struct{}, e.slots), map[string]*run{}, map[string]string{}, make(chan struct{})
	for range e.slots {
		e.free <- struct{}{}
	}
	incarnation := e.incarnation
	e.mu.Unlock()
	e.site.record.add("engine    %s is up (%s)", e.id, e.service)
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch {
		case e.incarnation != incarnation:
		case state == http.StateClosed || state == http.StateHijacked:
			delete(e.conns, c)
		default:
			e.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	e.register("ready")
}

func (e *engine) register(phase string) {
	e.mu.Lock()
	e.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "batchSlots": e.slots, "phase": phase,
		"warmupLeftMs": 0, "phaseName": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "loras": []string{}}},
		"sequence": e.sequence, "born": e.born,
	})
	id := e.id
	e.mu.Unlock()
	e.site.store.Put("servers", id, string(entry))
}

func (e *engine) beat() {
	for {
		time.Sleep(heartbeat)
		e.mu.Lock()
		up, stopped := e.up, e.incarnation < 0
		e.mu.Unlock()
		if stopped {
			return
		}
		if up {
			e.register("ready")
		}
	}
}

// crash ends the incarnation. Its entry lapses after three beats.
func (e *engine) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	id, listener, conns, running := e.id, e.listener, e.conns, len(e.runs)
	if !e.silent {
		e.conns = map[net.Conn]bool{}
	}
	close(e.ended)
	e.mu.Unlock()
	e.site.record.add("engine    %s crashed, with %d requests running", id, running)
	end := func() {
		_ = listener.Close()
		if e.silentForGood {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		for c := range conns {
			reset(c)
		}
	}
	if !e.silent {
		end()
	}
	time.AfterFunc(3*heartbeat, func() { e.site.store.Remove("servers", id) })
	time.AfterFunc(e.back, func() {
		if e.silent {
			end()
		}
		again, err := net.Listen("tcp", e.address)
		if err != nil {
			e.site.record.add("engine    %s is not back: %v", id, err)
			return
		}
		e.start(again)
	})
}

func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		_ = e.listener.Close()
		for c := range e.conns {
			reset(c)
		}
	}
	e.up, e.incarnation = false, -1
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (e *engine) isOver(ended chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// fallSilent ends a request that a crash has taken with it, without a byte if the crash is silent.
func (e *engine) fallSilent(r *http.Request) {
	if e.silent {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// state returns the identity and the channels of this incarnation.
func (e *engine) state() (id string, free chan struct{}, ended chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id, e.free, e.ended
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id, free, ended := e.state()
	if e.isOver(ended) {
		e.fallSilent(r)
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", id)
		return
	case r.URL.Path == "/rattanscale/report":
		e.report(w, free)
		return
	case r.URL.Path == "/rattanscale/kv-move":
		e.move(w, r, id)
		return
	case strings.HasPrefix(r.URL.Path, "/rattanscale/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{
		id: r.Header.Get("X-Attempt-Id"), path: r.URL.Path, body: string(body), resumeAfter: r.Header.Get("Last-Event-Id"),
		copyName: r.Header.Get("Kv-From"), at: e.site.record.now(), expects: r.Header.Get("X-Expect-Instance"),
	}
	for part := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		name, _, _ := strings.Cut(part, ":")
		a.parts = append(a.parts, name)
	}
	w.Header().Set("X-Attempt-Id", a.id)
	if a.expects != "" && a.expects != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if a.copyName != "" && !e.takeCopy(a) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.site.record.add("arrived   %s at %s %s", a.id, id, a.copyName)
	if e.onArrival != nil {
		e.onArrival(e, a)
	}
	e.handle(w, r, a, id, free, ended)
}

// takeCopy uses the memory that a stopped run has left here.
func (e *engine) takeCopy(a arrival) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := a.copyName == e.address+"/"+e.kept[a.id]
	delete(e.kept, a.id)
	return held
}

// handle waits for a slot and runs the request.
func (e *engine) handle(w http.ResponseWriter, r *http.Request, a arrival, id string, free, ended chan struct{}) {
	left := r.Context().Done()
	lost := make(chan struct{})
	var lose <-chan time.Time
	if e.losesAnswer != nil && len(free) == 0 && e.losesAnswer(a) {
		lose = time.After(e.lossDelay)
	}
	for waiting := true; waiting; {
		select {
		case <-free:
			waiting = false
		case <-lose:
			lose = nil
			e.site.record.add("lost      %s at %s: its connection is reset while it waits for a slot", a.id, id)
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				reset(conn)
			}
			close(lost)
			left = nil // the engine runs it all the same
		case <-left:
			return
		case <-ended:
			e.fallSilent(r)
		}
	}
	defer func() { free <- struct{}{} }()
	running := &run{stop: make(chan struct{})}
	e.mu.Lock()
	e.runs[a.id] = running
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.runs, a.id)
		e.mu.Unlock()
	}()
	if a.copyName == "" && !pause(e.prefill, left, ended, running.stop) {
		e.breakOff(r, ended)
	}
	e.site.record.add("running   %s at %s", a.id, id)
	began := e.site.record.now()
	defer func() {
		if e.onWork != nil {
			e.onWork(e, a.id, work{id, a.at, began, e.site.record.now()})
		}
	}()
	if e.crashes != nil && e.crashes(a) {
		e.crash()
		e.fallSilent(r)
	}
	hijacked := func() bool {
		select {
		case <-lost:
			return true
		default:
			return false
		}
	}
	if !hijacked() {
		w.Header().Set("X-Response-Signature", "s."+a.id)
	}
	if e.events == 0 {
		if !pause(e.work, left, ended, running.stop) {
			e.breakOff(r, ended)
		}
		e.site.record.add("run ended %s at %s", a.id, id)
		if !hijacked() {
			_, _ = io.WriteString(w, "done "+a.id)
		}
		return
	}
	first := 0
	if last, err := strconv.Atoi(a.resumeAfter); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(w)
	if !hijacked() {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := first; i < e.events; i++ {
		if i > first && !pause(e.interval, left, ended, running.stop) {
			e.breakOff(r, ended)
		}
		if hijacked() {
			continue
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, a.id)
		_ = controller.Flush()
	}
	e.site.record.add("run ended %s at %s", a.id, id)
}

// breakOff ends a run that was stopped, left by its client or lost in a crash.
func (e *engine) breakOff(r *http.Request, ended chan struct{}) {
	if e.isOver(ended) {
		e.fallSilent(r)
	}
	panic(http.ErrAbortHandler)
}

func pause(d time.Duration, stops ...<-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	var left, ended, stop <-chan struct{}
	left, ended, stop = stops[0], stops[1], stops[2]
	select {
	case <-timer.C:
		return true
	case <-left:
	case <-ended:
	case <-stop:
	}
	return false
}

func (e *engine) report(w http.ResponseWriter, free chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phaseName": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "loras": []string{}}}, "busy": false,
		"sequence": e.sequence, "queued": 0, "active": e.slots - len(free), "kvUsed": 0, "kvTotal": 30000, "cacheHandles": 0, "phase": "ready",
	})
}

// move serves kv-move. A request that has not begun is no run: a request starts to run with its
// first token. There is no room for copies anywhere: a final copy stops the run, and its memory stays
// here.
func (e *engine) move(w http.ResponseWriter, r *http.Request, id string) {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	running := e.runs[call.ID]
	status, answer := http.StatusNotFound, map[string]any{}
	if running != nil {
		status = http.StatusServiceUnavailable
		if call.Last && !running.stopped {
			running.stopped = true
			close(running.stop)
			e.kept[call.ID] = "h-" + call.ID
			answer["cacheHandle"] = e.kept[call.ID]
		}
	}
	e.mu.Unlock()
	e.site.record.add("kv-move   %s at %s (last: %t): %d", call.ID, id, call.Last, status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
