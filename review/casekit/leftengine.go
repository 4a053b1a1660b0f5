//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case left-engine: one of two engines leaves without a notice; its entry is removed. At the
// same moment some front ends are killed, among them those that read the store for the others.
const (
	// drainBound is drainMs of the site.
	drainBound = 2 * time.Second
	// engineServesOn is how long the engine serves after its entry was removed.
	engineServesOn = drainBound + 500*time.Millisecond
	leftHosts      = 7
	// killedHosts is the share 0.55 of the site's herd_kill, rounded up.
	killedHosts = 4
	// downTime is the time until killed processes start again.
	downTime = 2 * time.Second

	engineSlots, engineQueue = 6, 24
	engineWork               = 60 * time.Millisecond
	leftCallers              = 40
	callerInterval           = 250 * time.Millisecond
)

// appEngine runs a number of requests at the same time, queues a few and refuses the others.
type appEngine struct {
	*engine
	slots   chan struct{}
	waiting atomic.Int64
	conns   sync.Map
}

func playLeftEngine(s *site, trouble bool, _ uint64) (bool, error) {
	var sentAt, hostOf sync.Map // by request
	var removedAt atomic.Pointer[time.Time]
	inTouch := func(host string) bool { return true }
	var inTouchMu sync.Mutex
	var late, lost, served atomic.Int64
	newEngine := func(id, zone string) (*appEngine, error) {
		a := &appEngine{slots: make(chan struct{}, engineSlots)}
		var err error
		a.engine, err = startEngine(id, "orders", zone, func(e *engine, c net.Conn, r *http.Request, _ string) bool {
			a.conns.Store(c, true)
			request := r.Header.Get("X-Attempt-Id")
			if at := removedAt.Load(); id == "i-1" && at != nil {
				if sent, ok := sentAt.Load(request); ok && sent.(time.Time).Sub(*at) > drainBound {
					host, _ := hostOf.Load(request)
					inTouchMu.Lock()
					counts := inTouch(host.(string))
					inTouchMu.Unlock()
					s.record.printf("request %s, sent %d ms after the entry was removed, reaches %s from %s (in touch: %v)",
						request, sent.(time.Time).Sub(*at).Milliseconds(), id, host, counts)
					if counts {
						late.Add(1)
					}
				}
			}
			refuse := func() bool {
				_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request)
				return err == nil
			}
			if a.waiting.Add(1) > engineSlots+engineQueue {
				a.waiting.Add(-1)
				return refuse()
			}
			defer a.waiting.Add(-1)
			a.slots <- struct{}{}
			time.Sleep(engineWork)
			<-a.slots
			body := "answer to " + request + " from " + id
			_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", request, request, len(body), body))
			return err == nil
		})
		return a, err
	}
	first, err := newEngine("i-1", "a")
	if err != nil {
		return false, err
	}
	second, err := newEngine("i-2", "b")
	if err != nil {
		return false, err
	}
	s.store.Put("servers", first.id, first.entry("ready", 1))
	s.store.Put("servers", second.id, second.entry("ready", 1))
	s.store.Put("op", "config", configuration(1,
		`{"name":"u","hostname":"rides.example","prefix":"/unsafe/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"orders","maxAttempts":1}`,
		`{"name":"orders","healthPath":"/healthz","maxConnections":110}`))
	if err := s.startHosts(leftHosts); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for k := range leftCallers {
		group.Go(func() {
			at := k % leftHosts
			c := &caller{address: s.hosts[at].caller}
			defer c.close()
			time.Sleep(time.Duration(k) * callerInterval / leftCallers)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("r-%d-%d", k, n)
				startedAt := time.Now()
				sentAt.Store(id, startedAt)
				hostOf.Store(id, s.hosts[at].name)
				a := c.send(http.MethodPost, "/unsafe/change", id, "change", 1500*time.Millisecond)
				switch {
				case a.err != nil: // the client picks another address of the directory's answer
					at = (at + 1) % leftHosts
					c.address = s.hosts[at].caller
				case a.status == 200:
					served.Add(1)
				case a.status == 502:
					lost.Add(1)
					s.record.printf("request %s at %s: status 502", id, s.hosts[at].name)
				}
				time.Sleep(callerInterval - time.Since(startedAt))
			}
		})
	}
	time.Sleep(6 * time.Second) // longer than contactMs
	if trouble {
		inTouchMu.Lock()
		killed := make(map[string]bool)
		for _, h := range s.hosts[:killedHosts] {
			killed[h.name] = true
		}
		inTouch = func(host string) bool { return !killed[host] }
		inTouchMu.Unlock()
		for _, h := range s.hosts[:killedHosts] {
			h.signal(syscall.SIGKILL)
		}
		go func() {
			time.Sleep(downTime)
			for _, h := range s.hosts[:killedHosts] {
				<-h.exited
				if err := s.startHost(h); err != nil {
					s.record.printf("%s could not be started: %v", h.name, err)
				}
			}
		}()
	}
	s.store.Remove("servers", first.id)
	now := time.Now()
	removedAt.Store(&now)
	s.record.printf("the entry of i-1 is removed; it serves on for %s", engineServesOn)
	time.Sleep(engineServesOn)
	_ = first.listener.Close()
	first.conns.Range(func(c, _ any) bool {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.(net.Conn).Close()
		return true
	})
	s.record.printf("i-1 has ended")
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	s.record.printf("served %d, status 502 %d, late arrivals from machines in touch %d", served.Load(), lost.Load(), late.Load())
	if served.Load() < 500 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return late.Load() > 0, nil
}
