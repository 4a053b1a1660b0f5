//go:build reviewcase

package main

import (
	"fmt"
	"sync"
	"time"
)

// configuration is the operator's configuration with some routes and services.
func configuration(routes, services string) string {
	return fmt.Sprintf(`{"version":7,"routes":[%s],"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`, routes, services, tenant, apiKey)
}

const (
	modelService = `{"name":"vypravec","healthPath":"/healthz","maxConnections":242,"protocol":"h1","tls":false,"warmupS":0,"warmupPerS":0,
"engine":{"batchSlots":%d,"kvCapacityTokens":34372,"kvTokenBytes":18432,"bandwidthMbps":2700.0,"migrations":true,"backups":true,"stride":4,"cacheHandleS":5.0,"models":[{"name":"m"}]}}`
	plainService = `{"name":"pokladna","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false,"warmupS":0,"warmupPerS":0}`
	unsafeRoute  = `{"name":"r-2","hostname":"rides.example","prefix":"/rezervace/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":100,
"priority":2,"service":"pokladna","maxAttempts":1,"public":false}`
	longRoute = `{"name":"r-1","hostname":"rides.example","prefix":"/pece/","routeType":"stream","timeoutMs":39000,"targetLatencyMs":1800,"targetItlMs":180,
"priority":1,"service":"vypravec","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResume":false}`
	streamRoute = `{"name":"r-1","hostname":"rides.example","prefix":"/pece/","routeType":"stream","timeoutMs":6000,"targetLatencyMs":1500,"targetItlMs":180,
"priority":0,"service":"vypravec","maxAttempts":%d,"public":false,"sessionAffinity":true,"streamResume":%t}`
)

// start writes the configuration and starts engines and machines.
func (s *site) start(config string, machines, engines int, newEngine func(n int) *engine) error {
	s.store.Put("op", "config", config)
	for n := range engines {
		if _, err := s.addEngine(newEngine(n)); err != nil {
			return err
		}
	}
	if err := s.startMachines(machines); err != nil {
		return err
	}
	return s.waitReady()
}

// crowd counts crashes and what reaches engines after them.
type crowd struct {
	mu       sync.Mutex
	crashes  []time.Duration
	arrivals []time.Duration
}

func (c *crowd) addCrash(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, at)
}

func (c *crowd) addArrival(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, at)
}

// after returns how many requests reached engines later than contactMs after the crash of the
// given number, and when that was; false if there were fewer crashes.
func (c *crowd) after(number int) (arrivals int, crash time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < number {
		return 0, 0, false
	}
	crash = c.crashes[number-1]
	for _, at := range c.arrivals {
		if at > crash+contact {
			arrivals++
		}
	}
	return arrivals, crash, true
}

// sound counts the answers to sound requests.
type sound struct {
	mu              sync.Mutex
	sent, ok, other int
}

func (c *sound) add(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if served {
		c.ok++
	} else {
		c.other++
	}
}
