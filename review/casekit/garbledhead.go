//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case garbled-head: after a complete answer, engines send the start of a second copy of it,
// as a second answer that breaks off, while the connection is idle.
const (
	// garbleShare and garbleRate are the largest dose of the site's garble "extra late": the
	// share of the engines, and the share of their answers.
	garbleShare, garbleRate = 0.6, 0.03
	// safeErrorShare and unsafeErrorShare are the shares of the engines' own 500 answers on the
	// site's sheet.
	safeErrorShare, unsafeErrorShare = 0.14, 0.004
	garblePlayTime                   = 60 * time.Second
	// extraDelay is the time after the answer at which the second one comes.
	extraDelay = 3 * time.Millisecond
	// garbleSlots is the number of requests that an engine runs at the same time, and garbleQueue
	// the few more that it queues.
	garbleSlots, garbleQueue = 6, 2
	garbleCallers            = 54
)

func playGarbledHead(s *site, trouble bool, seed uint64) (bool, error) {
	random, all := newRandom(seed), newRuns()
	var garbled, refused atomic.Int64
	const engines = 4
	for i := range engines {
		faulty := float64(i) < garbleShare*engines-0.5
		slots, inside := make(chan struct{}, garbleSlots), atomic.Int64{}
		e, err := startEngine(fmt.Sprintf("i-%d", i+1), "pokladna", []string{"a", "b"}[i%2], func(e *engine, c net.Conn, r *http.Request, body string) bool {
			id := r.Header.Get("X-Attempt-Id")
			head := fmt.Sprintf("Date: %s\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\n", time.Now().UTC().Format(http.TimeFormat), id)
			var text string
			if inside.Add(1) > garbleSlots+garbleQueue {
				refused.Add(1)
				text = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + head + "Content-Length: 0\r\n\r\n"
			} else {
				slots <- struct{}{}
				share := safeErrorShare
				if r.Method == http.MethodPost {
					share = unsafeErrorShare
				}
				x := run{engine: e.id, signature: "sig-" + e.id + "-" + id, status: 200, body: "answer to " + id + " from " + e.id}
				status := "200 OK"
				if random.chance(share) {
					x.status, x.body, status = 500, "failure of "+id+" at "+e.id, "500 Internal Server Error"
				}
				all.add(id, x)
				time.Sleep(time.Duration(random.between(10, 20)) * time.Millisecond)
				<-slots
				text = fmt.Sprintf("HTTP/1.1 %s\r\n%sX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", status, head, x.signature, len(x.body), x.body)
			}
			inside.Add(-1)
			if _, err := io.WriteString(c, text); err != nil {
				return false
			}
			if trouble && faulty && random.chance(garbleRate) && e.isIdleAfter(c, extraDelay) {
				n := random.between(1, len(text)-1)
				garbled.Add(1)
				s.record.printf("engine %s sends %d of %d bytes of a second answer to %s after the complete one (%.12s)", e.id, n, len(text), id, text)
				_, _ = io.WriteString(c, text[:n])
			}
			return true
		})
		if err != nil {
			return false, err
		}
		s.store.Put("servers", e.id, e.entry("ready", 1))
	}
	s.store.Put("op", "config", configuration(1,
		`{"name":"s","hostname":"rides.example","prefix":"/safe/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"pokladna","maxAttempts":2},
		{"name":"u","hostname":"rides.example","prefix":"/unsafe/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"pokladna","maxAttempts":1}`,
		`{"name":"pokladna","healthPath":"/healthz","maxConnections":100}`))
	if err := s.startHosts(3); err != nil {
		return false, err
	}
	var mixed, twice, falselyRefused, sent, answered atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(garblePlayTime)
	for k := range garbleCallers {
		h := s.hosts[k%len(s.hosts)]
		group.Go(func() {
			c := &caller{address: h.caller}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				id, method, path, body := fmt.Sprintf("r-%d-%d", k, n), http.MethodGet, "/safe/next", ""
				if n%3 > 0 {
					method, path, body = http.MethodPost, "/unsafe/book", "booking "+id
				}
				sent.Add(1)
				a := c.send(method, path, id, body, time.Second)
				if a.err == nil {
					answered.Add(1)
				}
				runs := all.of(id)
				if reason := wrongAnswer(a, runs); reason != "" {
					mixed.Add(1)
					s.record.printf("MIXED: %s %s %s at %s: %s; head %v; runs %+v", method, path, id, h.name, reason, a.header, runs)
				}
				if method == http.MethodPost && len(runs) > 1 {
					twice.Add(1)
					s.record.printf("TWICE: %s %s %s at %s has run %d times: %+v", method, path, id, h.name, len(runs), runs)
				}
				if method == http.MethodPost && len(runs) > 0 && a.status == http.StatusServiceUnavailable {
					falselyRefused.Add(1)
					s.record.printf("REFUSED: %s %s %s at %s was refused and has run: %+v", method, path, id, h.name, runs)
				}
				time.Sleep(time.Duration(random.between(5, 25)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	s.record.printf("sent %d, answered %d, refused by engines %d, spoilt answers of engines %d; unsafe requests that ran twice %d, that were refused and had run %d; wrong answers (MIXED) %d",
		sent.Load(), answered.Load(), refused.Load(), garbled.Load(), twice.Load(), falselyRefused.Load(), mixed.Load())
	if sent.Load() == 0 || answered.Load() < sent.Load()/2 {
		return false, fmt.Errorf("%d of %d requests were answered", answered.Load(), sent.Load())
	}
	return twice.Load() > 0, nil
}

// wrongAnswer checks an answer by the rule MIXED: a success must be the whole answer of an engine
// that ran the request with success, and a failure that has an engine's signature must have the
// status that the engine gave.
func wrongAnswer(a reply, runs []run) string {
	if a.err != nil || a.status == 0 {
		return ""
	}
	signature := a.header.Get("X-Response-Signature")
	for _, x := range runs {
		if x.signature == signature && x.status == a.status && x.body == a.body {
			return ""
		}
	}
	switch {
	case a.status < 300 && signature == "":
		return fmt.Sprintf("status %d without a signature", a.status)
	case a.status < 300:
		return fmt.Sprintf("the client gets status %d with %q, which no engine gave", a.status, a.body)
	case signature != "":
		return fmt.Sprintf("the client gets status %d with the signature %s, whose engine gave another status", a.status, signature)
	}
	return ""
}
