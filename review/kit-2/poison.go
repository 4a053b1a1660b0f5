//go:build review2

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
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

// poison counts what the request did at the engines. It is safe for concurrent use.
type poison struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	attempts map[string]bool // those that reached an engine late
}

// crashingRequest sends a request that crashes each engine that begins to run it.
func crashingRequest(w *world, trouble bool) (bool, error) {
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
			if r.URL.Path != poisonPath {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			now := time.Now()
			p.arrivals = append(p.arrivals, now)
			late := len(p.crashes) >= 3 && now.Sub(p.crashes[2]) > contact
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
		for _, i := range order[:poisonClients] {
			group.Go(func() {
				status, err := w.hosts[i].request("POST", poisonPath, 6000)
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
		if len(p.crashes) >= 3 && at.Sub(p.crashes[2]) > contact {
			late++
		}
	}
	w.record.logf("the request crashed engines %d times; %d times it reached an engine later than %s after the third crash, in %d attempts of clients", len(p.crashes), late, contact, len(p.attempts))
	w.record.logf("streams of other clients: %d complete, %d broken off or failed after they were accepted, %d refused", answered.Load(), lost.Load(), refused.Load())
	return late > allowedRetries, nil
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
			switch status, _ := w.hosts[rand.IntN(len(w.hosts))].request("POST", "/narace/2f", 39000); status {
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
func (h *host) request(method, path string, deadlineMs int) (status int, err error) {
	c, err := h.dial()
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs+500) * time.Millisecond))
	if _, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %016x\r\nX-Model: m\r\nX-Token-Usage: 400,12\r\nX-Prefix-Hash: 7a11:400\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", method, path, hostName, rand.Uint64(), deadlineMs, key); err != nil {
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
