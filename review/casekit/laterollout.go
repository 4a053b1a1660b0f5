//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case late-rollout: a new version of a service turns bad after three quarters of the time
// that the operator's order gives.
const (
	rolloutTime    = 20 * time.Second
	turnsBadAfter  = 0.75 // of rolloutTime
	badShare       = 0.4
	canaryShare    = 0.1 // canaryShare, canarySlack and rollbackMs of the site
	canarySlack    = 50
	rollbackBound  = 5 * time.Second
	badAnswerCount = 50
	rolloutCallers = 30
)

func playLateRollout(s *site, trouble bool, seed uint64) (bool, error) {
	random := newRandom(seed)
	var mu sync.Mutex
	var orderedAt, fiftiethBadAt time.Time
	var total, toNew, badAnswers, late, failures int
	var sentAt sync.Map
	var completed atomic.Bool
	var old []*engine
	answer := func(version string) func(e *engine, c net.Conn, r *http.Request, body string) bool {
		return func(e *engine, c net.Conn, r *http.Request, _ string) bool {
			id := r.Header.Get("X-Attempt-Id")
			if version == "v1" && completed.Load() {
				return false
			}
			mu.Lock()
			now := time.Now()
			inRollout := !orderedAt.IsZero()
			bad := false
			if inRollout && version == "v2" {
				if now.Sub(orderedAt) < rolloutTime {
					toNew++
				}
				if sent, ok := sentAt.Load(id); ok && !fiftiethBadAt.IsZero() && sent.(time.Time).Sub(fiftiethBadAt) > rollbackBound {
					late++
				}
				bad = trouble && now.Sub(orderedAt) > time.Duration(turnsBadAfter*float64(rolloutTime)) && random.chance(badShare)
				if bad {
					if badAnswers++; badAnswers == badAnswerCount {
						fiftiethBadAt = now
						s.record.printf("50th bad answer of v2, %.1f s after the order", now.Sub(orderedAt).Seconds())
					}
				}
			}
			if inRollout && now.Sub(orderedAt) < rolloutTime {
				total++
			}
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			status, text := "200 OK", "answer to "+id
			if bad {
				status, text = "500 Internal Server Error", "failure of "+id
			}
			_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", status, id, id, len(text), text))
			return err == nil
		}
	}
	entry := func(e *engine, version string) string {
		return strings.Replace(e.entry("ready", 1), `"v1"`, `"`+version+`"`, 1)
	}
	for i := range 4 {
		e, err := startEngine(fmt.Sprintf("i-old-%d", i+1), "orders", []string{"a", "b"}[i%2], answer("v1"))
		if err != nil {
			return false, err
		}
		old = append(old, e)
		s.store.Put("servers", e.id, entry(e, "v1"))
	}
	s.store.Put("op", "config", configuration(1,
		`{"name":"u","hostname":"rides.example","prefix":"/unsafe/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"orders","maxAttempts":1}`,
		`{"name":"orders","healthPath":"/healthz","maxConnections":100}`))
	if err := s.startHosts(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for k := range rolloutCallers {
		group.Go(func() {
			c := &caller{address: s.hosts[k%len(s.hosts)].caller}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("r-%d-%d", k, n)
				sentAt.Store(id, time.Now())
				if a := c.send(http.MethodPost, "/unsafe/book", id, "booking", time.Second); a.status == 500 {
					mu.Lock()
					failures++
					mu.Unlock()
				}
				time.Sleep(time.Duration(random.between(400, 500)) * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	for i := range 4 { // the new version is started alongside the old one
		e, err := startEngine(fmt.Sprintf("i-new-%d", i+1), "orders", []string{"a", "b"}[i%2], answer("v2"))
		if err != nil {
			return false, err
		}
		s.store.Put("servers", e.id, entry(e, "v2"))
	}
	s.store.Put("op", "rollout/orders", fmt.Sprintf(`{"service":"orders","to":"v2","durationS":%d}`, int(rolloutTime.Seconds())))
	mu.Lock()
	orderedAt = time.Now()
	mu.Unlock()
	s.record.printf("v2 is ordered within %s", rolloutTime)
	phase := ""
	for end := orderedAt.Add(rolloutTime + 12*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		value, _ := s.store.Row("status", "rollout/orders")
		var status struct{ Phase, To string }
		_ = json.Unmarshal([]byte(value), &status)
		if status.Phase != phase {
			phase = status.Phase
			s.record.printf("status %s to %s, %.1f s after the order", phase, status.To, time.Since(orderedAt).Seconds())
		}
		if phase == "completed" && !completed.Swap(true) { // the old engines stop without draining
			for _, e := range old {
				_ = e.listener.Close()
				s.store.Remove("servers", e.id)
			}
		}
	}
	close(stop)
	group.Wait()
	bound := canaryShare*float64(total) + canarySlack
	s.record.printf("until the deadline: %d requests for the service, %d of them to v2 (bound %.0f); bad answers %d, which clients got as 500: %d; requests to v2 sent later than rollbackMs after its 50th bad answer: %d",
		total, toNew, bound, badAnswers, failures, late)
	if total < 500 || phase == "" {
		return false, fmt.Errorf("%d requests, phase %q", total, phase)
	}
	return badAnswers > 0 && (float64(toNew) > bound || late > 0), nil
}
