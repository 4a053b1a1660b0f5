//go:build review2

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poisonPath is the request that crashes engines. It comes again every poisonInterval at
	// poisonClients machines at once.
	poisonPath     = "/pece-kone/poison"
	poisonInterval = time.Second
	poisonClients  = 4
	// poisonTime is how long it comes.
	poisonTime = 80 * time.Second
	// downTime is the time after which a crashed engine is back.
	downTime = 3 * time.Second
	// allowedRetries is the figure of the rule.
	allowedRetries = 3
	narrationsPerS = 6.9
)

// A kind of request that crashes engines.
type deadly struct {
	// clients is the number of machines at which it comes at once, each poisonInterval.
	clients int
	// crashesBefore is the number of crashes from which on the rule counts, with contactMs after it.
	crashesBefore int
	// path and parts return the path and the parts of the prompt of the next request.
	path, parts func() string
	// isDeadly reports whether a request at an engine is one of them.
	isDeadly func(r *http.Request) bool
}

// equalRequests are the same request, again and again.
var equalRequests = deadly{
	clients: poisonClients, crashesBefore: 3,
	path: func() string { return poisonPath }, parts: func() string { return "7a11:400" },
	isDeadly: func(r *http.Request) bool { return r.URL.Path == poisonPath },
}

// partClients machines get a request with the deadly part in the same moment; together they stay below
// the 9.71 requests a second of the sheet.
const partClients = 7

// differentRequests have one part of the prompt in common.
var differentRequests = deadly{
	clients: partClients, crashesBefore: 5,
	path:     func() string { return fmt.Sprintf("/pece-kone/%08x", rand.Uint32()) },
	parts:    func() string { return fmt.Sprintf("5c1e07a2:100,dead0001:200,%08x:100", rand.Uint32()) },
	isDeadly: func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prefix-Hash"), ",dead0001:") },
}

// poison counts what the request did at the engines. It is safe for concurrent use.
type poison struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	attempts map[string]bool // those that reached an engine late
}

// crashingRequest sends a request that crashes each engine that begins to run it.
func crashingRequest(w *world, trouble bool) (bool, error) {
	return w.crashEngines(equalRequests, trouble)
}

// crashingPart sends requests with a part that crashes each engine that begins to answer them.
func crashingPart(w *world, trouble bool) (bool, error) {
	return w.crashEngines(differentRequests, trouble)
}

func (w *world) crashEngines(d deadly, trouble bool) (bool, error) {
	w.putConfiguration(7)
	engines, err := w.startEngines(150 * time.Millisecond)
	if err != nil {
		return false, err
	}
	p := &poison{attempts: map[string]bool{}}
	for _, e := range engines {
		if e.service != model {
			continue
		}
		e.onRun = func(r *http.Request) {
			if !d.isDeadly(r) {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			now := time.Now()
			p.arrivals = append(p.arrivals, now)
			late := p.isLate(d, now)
			if late {
				p.attempts[r.Header.Get("X-Attempt-Id")] = true
			}
			w.record.logf("%s begins to run the request, attempt %s, late: %t", e.id, r.Header.Get("X-Attempt-Id"), late)
			if trouble {
				p.crashes = append(p.crashes, now)
				w.record.logf("%s crashes", e.id)
				go e.crash(w, downTime)
			}
		}
	}
	if err := w.startHosts(hostCount); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var answered, lost, refused atomic.Int64
	group.Go(func() { w.narrate(stop, &answered, &lost, &refused) })
	for end := time.Now().Add(poisonTime); time.Now().Before(end); time.Sleep(poisonInterval) {
		order := rand.Perm(len(w.hosts))
		for _, i := range order[:d.clients] {
			group.Go(func() {
				status, err := w.hosts[i].request("POST", d.path(), d.parts(), 6000)
				if status != http.StatusServiceUnavailable {
					w.record.logf("the request at %s: status %d, error %v", w.hosts[i].name, status, err)
				}
			})
		}
	}
	close(stop)
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.arrivals {
		if p.isLate(d, at) {
			late++
		}
	}
	w.record.logf("the request crashed engines %d times; %d times it reached an engine later than %s after crash %d, in %d attempts of clients", len(p.crashes), late, contact, d.crashesBefore, len(p.attempts))
	w.record.logf("streams of other clients: %d complete, %d broken off or failed after they were accepted, %d refused", answered.Load(), lost.Load(), refused.Load())
	return late > allowedRetries, nil
}

// isLate reports whether the rule counts an arrival at an engine.
func (p *poison) isLate(d deadly, at time.Time) bool {
	return len(p.crashes) >= d.crashesBefore && at.Sub(p.crashes[d.crashesBefore-1]) > contact
}

// narrate asks for streams that may not run again until stop is closed, and waits for their ends.
func (w *world) narrate(stop <-chan struct{}, answered, lost, refused *atomic.Int64) {
	second := float64(time.Second)
	ticker := time.NewTicker(time.Duration(second / narrationsPerS))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() {
			switch status, _ := w.hosts[rand.IntN(len(w.hosts))].request("POST", "/narace/2f", "7a12:400", 39000); status {
			case http.StatusOK:
				answered.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			default:
				lost.Add(1)
			}
		})
	}
}

// request sends a request over a new connection and returns the status of its complete answer.
func (h *host) request(method, path, parts string, deadlineMs int) (status int, err error) {
	c, err := h.dial()
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs+500) * time.Millisecond))
	if _, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %016x\r\nX-Model: m\r\nX-Token-Usage: 400,12\r\nX-Prefix-Hash: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, path, hostName, rand.Uint64(), parts, deadlineMs, key); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	if _, err = readAll(response); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
