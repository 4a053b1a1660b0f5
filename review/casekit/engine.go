//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at an engine and what the engine answered.
type run struct {
	engine, signature, body string
	status                  int
}

// runs holds the runs of all engines by request. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func newRuns() *runs { return &runs{byID: make(map[string][]run)} }

func (r *runs) add(id string, x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// engine is an application engine that speaks HTTP/1.1 over kept connections.
type engine struct {
	id, service, zone, address string
	born                       int64
	listener                   net.Listener
	// readers holds the reader of each open connection.
	readers sync.Map
	// answer writes the answer to a request and reports whether the connection is kept.
	answer func(e *engine, c net.Conn, r *http.Request, body string) bool
}

func startEngine(id, service, zone string, answer func(e *engine, c net.Conn, r *http.Request, body string) bool) (*engine, error) {
	return startEngineAt("127.0.0.1:0", id, service, zone, answer)
}

func startEngineAt(address, id, service, zone string, answer func(e *engine, c net.Conn, r *http.Request, body string) bool) (*engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), listener: listener, answer: answer}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	e.readers.Store(c, reader)
	defer e.readers.Delete(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if r.URL.Path == "/healthz" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id)
			continue
		}
		if !e.answer(e, c, r, string(body)) {
			return
		}
	}
}

// entry is the engine's row in the table servers.
func (e *engine) entry(phase string, sequence int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","batchSlots":6,"phase":%q,"warmupLeftMs":0,"sequence":%d,"born":%d}`,
		e.service, e.address, e.zone, phase, sequence, e.born)
}

// randomSource is a seeded source of random numbers. It is safe for concurrent use.
type randomSource struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandom(seed uint64) *randomSource { return &randomSource{r: rand.New(rand.NewPCG(seed, 1))} }

func (s *randomSource) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Float64() < p
}

func (s *randomSource) between(low, high int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + s.r.IntN(high-low+1)
}

// isIdleAfter waits and reports whether nothing has arrived on the connection since.
func (e *engine) isIdleAfter(c net.Conn, d time.Duration) bool {
	reader, ok := e.readers.Load(c)
	if !ok {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := reader.(*bufio.Reader).Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
