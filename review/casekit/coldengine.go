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
	"time"
)

const (
	contact = 3 * time.Second // contactMs of the site
	// coldTime and coldPerSecond are warmupS and warmupPerS of the site's model engines; coldBound
	// is warmupPerS x warmupOvershoot + warmupSlack.
	coldTime      = time.Second
	coldPerSecond = 25
	coldBound     = coldPerSecond*1.5 + 5
	addedEngines  = 2
)

// warmingEngine is an engine that is cold for a time after its start and crashes if it then gets
// more requests in a second than coldBound.
type warmingEngine struct {
	*engine
	cold bool

	mu        sync.Mutex
	startedAt time.Time
	arrivals  []time.Time
	crashed   bool
	conns     map[net.Conn]bool
}

// arrive records the arrival of a request and reports whether the engine still runs.
func (w *warmingEngine) arrive(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = true
	if now := time.Now(); w.cold && now.Sub(w.startedAt) < coldTime {
		w.arrivals = append(w.arrivals, now)
		if float64(len(w.arrivals)) > coldBound && !w.crashed {
			w.crashed = true
			_ = w.listener.Close()
			for conn := range w.conns {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
		}
	}
	return !w.crashed
}

// startWarmingEngine starts and registers an engine of the service orders.
func (s *site) startWarmingEngine(id, version string, cold bool, random *randomSource) (*warmingEngine, error) {
	w := &warmingEngine{cold: cold, startedAt: time.Now(), conns: make(map[net.Conn]bool)}
	e, err := startEngine(id, "orders", []string{"a", "b"}[len(id)%2], func(_ *engine, c net.Conn, r *http.Request, _ string) bool {
		if !w.arrive(c) {
			return false
		}
		request := r.Header.Get("X-Attempt-Id")
		time.Sleep(time.Duration(random.between(50, 70)) * time.Millisecond)
		text := "answer to " + request
		_, err := io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nContent-Length: %d\r\n\r\n%s", request, request, len(text), text))
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.engine = e
	w.mu.Unlock()
	entry := strings.Replace(e.entry("ready", 1), `"v1"`, `"`+version+`"`, 1)
	if cold {
		entry = strings.Replace(entry, `"warmupLeftMs":0`, fmt.Sprintf(`"warmupLeftMs":%d`, coldTime.Milliseconds()), 1)
	}
	s.store.Put("servers", id, entry)
	return w, nil
}

// addColdEngines starts engines that are cold, and reports whether one got more requests in its
// cold second than coldBound.
func (s *site) addColdEngines(random *randomSource) (broken bool, err error) {
	var added []*warmingEngine
	for i := range addedEngines {
		w, err := s.startWarmingEngine(fmt.Sprintf("i-added%d", i+1), "v1", true, random)
		if err != nil {
			return false, err
		}
		added = append(added, w)
	}
	s.record.printf("%d engines are added, cold for %s", addedEngines, coldTime)
	time.Sleep(coldTime + 2*time.Second)
	for _, w := range added {
		w.mu.Lock()
		s.record.printf("%s got %d requests in its cold second (bound %.1f), crashed: %v", w.id, len(w.arrivals), float64(coldBound), w.crashed)
		broken = broken || float64(len(w.arrivals)) > coldBound
		w.mu.Unlock()
	}
	return broken, nil
}

// recordDirectories records how many front ends each front end names to clients.
func (s *site) recordDirectories() {
	for _, h := range s.hosts {
		_, body := get("http://" + h.directory + "/rattanscale/resolve?name=rides.example&region=r&zone=a")
		var answer struct{ Addresses []string }
		_ = json.Unmarshal([]byte(body), &answer)
		s.record.printf("the directory of %s names %d of %d front ends", h.name, len(answer.Addresses), len(s.hosts))
	}
}
