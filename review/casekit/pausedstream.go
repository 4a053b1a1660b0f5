//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case paused-stream: one model engine preempts streams in the middle and goes on after a
// pause. It is one of the engines that do not drop a request when its connection closes.
const (
	streamEngines  = 6
	streamEvents   = 40
	eventInterval  = 50 * time.Millisecond
	preemptAfter   = 4 // events
	preemptedFor   = 1400 * time.Millisecond
	pausedPlayTime = 30 * time.Second
	// workBound is the time after which the engine before must have ended its work.
	workBound = 400 * time.Millisecond
)

// streamRun is one run of a stream at an engine.
type streamRun struct {
	engine          string
	startedAt       time.Time
	first, produced int
	// lastEventAt is when the run produced its latest event.
	lastEventAt time.Time
	complete    bool
}

type streamRuns struct {
	mu   sync.Mutex
	byID map[string][]*streamRun
}

func playPausedStream(s *site, trouble bool, _ uint64) (bool, error) {
	all := &streamRuns{byID: make(map[string][]*streamRun)}
	var paused atomic.Int64
	for i := range streamEngines {
		preempts := i == 0
		e, err := startEngine(fmt.Sprintf("i-%d", i+1), "notes", []string{"a", "b"}[i%2], func(e *engine, c net.Conn, r *http.Request, _ string) bool {
			id := r.Header.Get("X-Attempt-Id")
			x := &streamRun{engine: e.id, startedAt: time.Now()}
			if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
				x.first = last + 1
			}
			all.mu.Lock()
			all.byID[id] = append(all.byID[id], x)
			all.mu.Unlock()
			s.record.printf("%s runs %s from event %d", e.id, id, x.first)
			connected := true
			write := func(text string) {
				if connected {
					_, err := io.WriteString(c, text)
					connected = err == nil
				}
			}
			for n := x.first; n < streamEvents; n++ {
				time.Sleep(eventInterval)
				if trouble && preempts && n-x.first == preemptAfter {
					paused.Add(1)
					s.record.printf("%s preempts %s before event %d", e.id, id, n)
					time.Sleep(preemptedFor)
					s.record.printf("%s goes on with %s", e.id, id)
				}
				if n == x.first {
					write(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id))
				}
				event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
				write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
				all.mu.Lock()
				x.produced, x.lastEventAt = x.produced+1, time.Now()
				all.mu.Unlock()
				if !connected && !preempts {
					s.record.printf("%s drops %s, since its connection is closed", e.id, id)
					return false
				}
			}
			write("0\r\n\r\n")
			all.mu.Lock()
			x.complete = true
			all.mu.Unlock()
			return connected
		})
		if err != nil {
			return false, err
		}
		s.store.Put("servers", e.id, strings.Replace(e.entry("ready", 1), `"batchSlots":6`, `"batchSlots":24`, 1))
	}
	s.store.Put("op", "config", configuration(1,
		`{"name":"n","hostname":"rides.example","prefix":"/stream/","routeType":"stream","timeoutMs":6000,"targetLatencyMs":1500,"targetItlMs":180,"priority":0,"service":"notes","maxAttempts":2,"sessionAffinity":true,"streamResume":true}`,
		`{"name":"notes","healthPath":"/healthz","maxConnections":242,"engine":{"batchSlots":24,"kvCapacityTokens":34372,"kvTokenBytes":18432,"bandwidthMbps":2700,"stride":4}}`))
	if err := s.startHosts(3); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var sent, complete atomic.Int64
	end := time.Now().Add(pausedPlayTime)
	for i, h := range s.hosts {
		for k := range 4 {
			group.Go(func() {
				c := &caller{address: h.caller}
				defer c.close()
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("r-%d-%d-%d", i, k, n)
					sent.Add(1)
					a := c.send(http.MethodPost, "/stream/summary", id, "prompt "+id, 6*time.Second, "X-Model: m", "X-Token-Usage: 2200,160", "X-Prefix-Hash: 5c1e07a2:350,"+fmt.Sprintf("%x", n*100+i*10+k)+":140")
					if a.err == nil && a.status == 200 && strings.Count(a.body, "\n\n") == streamEvents {
						complete.Add(1)
					}
					s.record.printf("%s at %s: status %d, %d events, error %v", id, h.name, a.status, strings.Count(a.body, "\n\n"), a.err)
				}
			})
		}
	}
	group.Wait()
	time.Sleep(4 * time.Second) // until the engines have ended their work
	twice := 0
	all.mu.Lock()
	defer all.mu.Unlock()
	for id, runs := range all.byID {
		for n := 1; n < len(runs); n++ {
			before, after := runs[n-1], runs[n]
			if still := before.lastEventAt.Sub(after.startedAt); still > workBound {
				twice++
				s.record.printf("TWICE: %s goes on at %s from event %d while %s works on it until %d ms later (%d events in all)", id, after.engine, after.first, before.engine, still.Milliseconds(), before.produced)
			}
		}
	}
	s.record.printf("streams sent %d, complete %d, preempted %d, went on elsewhere while the engine before worked %d", sent.Load(), complete.Load(), paused.Load(), twice)
	if complete.Load() == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return twice > 0, nil
}
