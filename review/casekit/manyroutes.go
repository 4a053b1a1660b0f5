//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case many-routes: while a new version of a service is rolled out on a configuration of many
// routes, machines are stopped and started in turn. Then engines are added, which are cold.
const (
	manyHosts   = 7
	manyEngines = 6 // of each version
	// manyRoutes is the count of the site's big_config.
	manyRoutes  = 350
	orderedTime = 200 * time.Second
	// routesPlayTime is the time from the order until the first machine is stopped.
	routesPlayTime = 48 * time.Second
	// rolledHosts is the share 0.45 of the site's roll_term, rounded down; rollGap its gap.
	rolledHosts = 3
	rollGap     = 1300 * time.Millisecond
	manyCallers = 84
)

func playManyRoutes(s *site, trouble bool, seed uint64) (bool, error) {
	random := newRandom(seed)
	var lost, served atomic.Int64
	for i := range manyEngines {
		if _, err := s.startWarmingEngine(fmt.Sprintf("i-old%d", i+1), "v1", false, random); err != nil {
			return false, err
		}
	}
	var routes []string
	for i := range manyRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%07d","hostname":"rides.example","prefix":"/p%d/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"orders","maxAttempts":1}`, i, i))
	}
	s.store.Put("op", "config", configuration(1, strings.Join(routes, ","), `{"name":"orders","healthPath":"/healthz","maxConnections":282,"warmupS":1.0,"warmupPerS":25.0}`))
	if err := s.startHosts(manyHosts); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for k := range manyCallers {
		group.Go(func() {
			c := &caller{address: s.hosts[k%manyHosts].caller}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("r-%d-%d", k, n)
				a := c.send(http.MethodPost, fmt.Sprintf("/p%d/change", random.between(0, manyRoutes-1)), id, "change "+id, 1500*time.Millisecond)
				switch {
				case a.err == nil && a.status == 200:
					served.Add(1)
				case a.status == 502 || a.status == 504:
					lost.Add(1)
					s.record.printf("%s at %s: status %d", id, s.hosts[k%manyHosts].name, a.status)
				}
				time.Sleep(time.Duration(random.between(60, 140)) * time.Millisecond)
			}
		})
	}
	time.Sleep(contact)
	for i := range manyEngines {
		if _, err := s.startWarmingEngine(fmt.Sprintf("i-new%d", i+1), "v2", false, random); err != nil {
			return false, err
		}
	}
	s.store.Put("op", "rollout/orders", fmt.Sprintf(`{"service":"orders","to":"v2","durationS":%d}`, int(orderedTime.Seconds())))
	s.record.printf("v2 is ordered within %s", orderedTime)
	time.Sleep(routesPlayTime)
	if trouble {
		for _, h := range s.hosts[:rolledHosts] {
			h.signal(syscall.SIGTERM)
			s.record.printf("%s gets SIGTERM", h.name)
			<-h.exited
			if err := s.startHost(h); err != nil {
				return false, err
			}
			if err := h.waitReady(); err != nil {
				return false, err
			}
			time.Sleep(rollGap)
		}
	}
	time.Sleep(2 * contact)
	s.recordDirectories()
	lostBefore := lost.Load()
	broken, err := s.addColdEngines(random)
	if err != nil {
		return false, err
	}
	s.recordDirectories()
	close(stop)
	group.Wait()
	s.record.printf("requests served %d; without an engine's answer after engines were added %d", served.Load(), lost.Load()-lostBefore)
	if served.Load() < 5000 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return broken, nil
}
