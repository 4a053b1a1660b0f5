//go:build reviewcase

package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// silentCrash: a request that crashes each engine that begins to run it comes again and again, with the
// same path, caller and body. The engines send nothing when they crash.
func silentCrash(s *site, trouble bool) (bool, error) {
	const bad = `{"ride":"the one that crashes engines"}`
	seen := &crowd{}
	err := s.start(configuration(unsafeRoute, plainService), 4, 6, func(int) *engine {
		return &engine{
			service: "pokladna", slots: 6, work: 15 * time.Millisecond, back: 3 * time.Second, silent: os.Getenv("CRASH") != "reset",
			onArrival: func(_ *engine, a arrival) {
				if a.body == bad {
					seen.addArrival(a.at)
				}
			},
			crashes: func(a arrival) bool {
				if a.body == bad {
					seen.addCrash(s.record.now())
				}
				return a.body == bad
			},
		}
	})
	if err != nil {
		return false, err
	}
	c, others := newClient(s), &sound{}
	var clients sync.WaitGroup
	const length = 40 * time.Second
	clients.Go(func() {
		every(50*time.Millisecond, length, func(n int) {
			a := c.send(request{id: fmt.Sprintf("sound-%d", n), method: http.MethodPost, path: "/rezervace/2f", body: fmt.Sprintf(`{"ride":%d}`, n), deadline: time.Second})
			others.add(a.status == http.StatusOK)
		})
	})
	if trouble {
		clients.Go(func() {
			every(2*time.Second, length, func(n int) {
				c.send(request{id: fmt.Sprintf("bad-%d", n), method: http.MethodPost, path: "/rezervace/2f", body: bad, deadline: time.Second})
			})
		})
	}
	clients.Wait()
	after, third, ok := seen.after(3)
	s.record.add("sound requests: %d sent, %d answered 200, %d not", others.sent, others.ok, others.other)
	if trouble && !ok {
		return false, fmt.Errorf("the request crashed %d engines", len(seen.crashes))
	}
	if !trouble && others.other*50 > others.sent {
		return false, fmt.Errorf("%d of %d sound requests were not served without the disruption", others.other, others.sent)
	}
	s.verdict(after > 3, "third crash at %d ms; %d requests that crash engines reached engines later than %d ms after it (3 may); %d crashes in all; sound requests: %d of %d answered 200",
		third.Milliseconds(), after, contact.Milliseconds(), len(seen.crashes), others.ok, others.sent)
	return after > 3, nil
}

// partsOf returns a prompt of so many parts, whose last one is the request's own. The part with the
// index crash, if there is one, is the one that crashes engines.
func partsOf(own string, count, crash int) string {
	var parts []string
	for i := range count - 1 {
		name := fmt.Sprintf("%08x", 0x51000000+i)
		if i == crash {
			name = crashingPart
		}
		parts = append(parts, fmt.Sprintf("%s:%d", name, 1200/count))
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:%d", 0x70000000+len(own)*7919+hashOf(own), 40)), ",")
}

func hashOf(text string) (n int) {
	for _, c := range text {
		n = (n*31 + int(c)) & 0xffffff
	}
	return n
}

const crashingPart = "bad0bad0"

// crashingParts plays prompts that share a part which crashes each engine that begins to answer.
func crashingParts(s *site, trouble bool, route string, silent bool, parts, index int, deadline, patience time.Duration) (bool, error) {
	const prefill, interval, length = 300 * time.Millisecond, 500 * time.Millisecond, 30 * time.Second
	seen := &crowd{}
	has := func(a arrival) bool { return slices.Contains(a.parts, crashingPart) }
	err := s.start(configuration(route, fmt.Sprintf(modelService, 24)), 3, 8, func(int) *engine {
		return &engine{
			service: "vypravec", slots: 24, prefill: prefill, interval: 40 * time.Millisecond, events: 12, back: 3 * time.Second, silent: silent, silentForGood: silent,
			onArrival: func(_ *engine, a arrival) {
				if has(a) {
					seen.addArrival(a.at)
				}
			},
			crashes: func(a arrival) bool {
				if has(a) {
					seen.addCrash(s.record.now())
				}
				return has(a)
			},
		}
	})
	if err != nil {
		return false, err
	}
	c, others := newClient(s), &sound{}
	send := func(id string, crash int) answer {
		return c.send(request{id: id, method: http.MethodPost, path: "/pece/2f", body: "prompt of " + id, deadline: deadline, patience: patience, header: map[string]string{
			"X-Model": "m", "X-Token-Usage": "1240,48", "X-Prefix-Hash": partsOf(id, parts, crash),
		}})
	}
	var clients sync.WaitGroup
	clients.Go(func() {
		every(100*time.Millisecond, length, func(n int) {
			a := send(fmt.Sprintf("sound-%d", n), -1)
			others.add(a.status == http.StatusOK && a.err == nil && strings.Count(a.body, "data:") == 12)
		})
	})
	if trouble {
		clients.Go(func() {
			every(interval, length, func(n int) { send(fmt.Sprintf("bad-%d", n), index) })
		})
	}
	clients.Wait()
	after, fifth, ok := seen.after(5)
	s.record.add("sound requests: %d sent, %d served whole, %d not", others.sent, others.ok, others.other)
	if !trouble && others.other*50 > others.sent {
		return false, fmt.Errorf("%d of %d sound requests were not served without the disruption", others.other, others.sent)
	}
	if trouble && !ok {
		s.verdict(false, "%d crashes only", len(seen.crashes))
		return false, nil
	}
	s.verdict(after > 3, "fifth crash at %d ms; %d requests with the part that crashes engines reached engines later than %d ms after it (3 may); %d crashes in all; sound requests: %d of %d served whole",
		fifth.Milliseconds(), after, contact.Milliseconds(), len(seen.crashes), others.ok, others.sent)
	return after > 3, nil
}

// longPrompt: the part that crashes engines is the 36th of 40.
func longPrompt(s *site, trouble bool) (bool, error) {
	return crashingParts(s, trouble, fmt.Sprintf(streamRoute, 1, false), false, 40, 35, 6*time.Second, 0)
}

// silentPart: the part is the second of four, and engines send nothing when they crash. Clients leave
// when they have waited for four times the objective.
func silentPart(s *site, trouble bool) (bool, error) {
	return crashingParts(s, trouble, longRoute, os.Getenv("CRASH") != "reset", 4, 1, 39*time.Second, 7200*time.Millisecond)
}
