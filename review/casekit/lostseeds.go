//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rattanscale/rattanscale/platform/standin"
)

// The case lost-seeds: the machines that all settings name as seeds are lost for good, and new
// machines take their place. Their settings name the lost machines until the platform has updated
// them. Then engines are added, which are cold.
const (
	seedHosts = 7
	// lostHosts are the seeds; the site's herd_kill strikes a share of 0.55.
	lostHosts = 3
	// seedLag is seedLagS of the site, the time for which seeds may be stale.
	seedLag     = 3 * time.Second
	replaceTime = time.Second
	seedEngines = 4
	seedCallers = 70
)

func playLostSeeds(s *site, trouble bool, seed uint64) (bool, error) {
	random := newRandom(seed)
	var served, lost atomic.Int64
	for i := range seedEngines {
		if _, err := s.startWarmingEngine(fmt.Sprintf("i-old%d", i+1), "v1", false, random); err != nil {
			return false, err
		}
	}
	s.store.Put("op", "config", configuration(1,
		`{"name":"u","hostname":"rides.example","prefix":"/unsafe/","routeType":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"orders","maxAttempts":1}`,
		`{"name":"orders","healthPath":"/healthz","maxConnections":282,"warmupS":1.0,"warmupPerS":25.0}`))
	if err := s.startHosts(seedHosts); err != nil {
		return false, err
	}
	var hostsMu sync.Mutex
	current := append([]*host(nil), s.hosts...)
	hostOf := func(k int) *host {
		hostsMu.Lock()
		defer hostsMu.Unlock()
		return current[k%len(current)]
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for k := range seedCallers {
		group.Go(func() {
			c := &caller{}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if h := hostOf(k); h.caller != c.address {
					c.close()
					c.address = h.caller
				}
				id := fmt.Sprintf("r-%d-%d", k, n)
				a := c.send(http.MethodPost, "/unsafe/change", id, "change "+id, 1500*time.Millisecond)
				switch {
				case a.err == nil && a.status == 200:
					served.Add(1)
				case a.status == 502 || a.status == 504:
					lost.Add(1)
					s.record.printf("%s at %s: status %d", id, c.address, a.status)
				}
				time.Sleep(time.Duration(random.between(100, 200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * contact)
	if trouble {
		if err := s.replaceSeeds(&hostsMu, &current); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * contact)
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
	if served.Load() < 2000 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return broken, nil
}

// replaceSeeds kills the seeds for good and starts as many new machines, whose settings name the
// new seeds after seedLag.
func (s *site) replaceSeeds(hostsMu *sync.Mutex, current *[]*host) error {
	for _, h := range s.hosts[:lostHosts] {
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	lostAt, remaining := time.Now(), s.hosts[lostHosts:]
	s.record.printf("%d machines, the seeds, are lost for good", lostHosts)
	s.hosts = append([]*host(nil), remaining...)
	time.Sleep(replaceTime)
	var added []*host
	for i := range lostHosts {
		h := &host{name: fmt.Sprintf("edge-%d", seedHosts+i+1), zone: []string{"a", "b"}[i%2]}
		for _, address := range []*string{&h.caller, &h.readiness, &h.directory, &h.peer, &h.metrics} {
			var err error
			if *address, err = standin.FreeAddress(); err != nil {
				return err
			}
		}
		added = append(added, h)
		if err := s.addHost(h); err != nil {
			return err
		}
	}
	for _, h := range added {
		if err := h.waitReady(); err != nil {
			return err
		}
	}
	hostsMu.Lock()
	*current = append([]*host(nil), s.hosts...)
	hostsMu.Unlock()
	time.Sleep(time.Until(lostAt.Add(seedLag)))
	s.peerSeeds = []string{s.hosts[0].peer, s.hosts[1].peer, s.hosts[2].peer}
	for _, h := range s.hosts {
		if err := os.WriteFile(h.settingsFile, []byte(s.settingsText(h)), 0o600); err != nil {
			return err
		}
		h.signal(syscall.SIGHUP)
	}
	s.record.printf("the settings of all machines name seeds that live; each gets SIGHUP")
	return nil
}
