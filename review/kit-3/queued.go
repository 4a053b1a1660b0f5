//go:build reviewcase

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// work is the time in which an engine works on a request.
type work struct {
	engine              string
	arrived, began, end time.Duration
}

// queuedRun: an engine loses the answer of a request while it waits for a slot, and runs it later.
func queuedRun(s *site, trouble bool) (bool, error) {
	const tolerated = 400 * time.Millisecond
	var mu sync.Mutex
	runs := map[string][]*work{}
	arrivals, lost := 0, 0
	err := s.start(configuration(fmt.Sprintf(streamRoute, 2, true), fmt.Sprintf(modelService, 4)), 3, 4, func(n int) *engine {
		e := &engine{
			service: "vypravec", slots: 4, prefill: 150 * time.Millisecond, interval: 60 * time.Millisecond, events: 14, back: 3 * time.Second,
			lossDelay: 40 * time.Millisecond,
		}
		e.onArrival = func(e *engine, a arrival) {
			mu.Lock()
			defer mu.Unlock()
			if n == 0 {
				arrivals++
			}
		}
		if trouble && n == 0 {
			// One in twenty of the requests at one engine of four.
			e.losesAnswer = func(a arrival) bool {
				mu.Lock()
				defer mu.Unlock()
				if (lost+1)*20 > arrivals {
					return false
				}
				lost++
				return true
			}
		}
		e.onWork = func(e *engine, id string, w work) {
			mu.Lock()
			defer mu.Unlock()
			runs[id] = append(runs[id], &w)
		}
		return e
	})
	if err != nil {
		return false, err
	}
	c, others := newClient(s), &sound{}
	every(62*time.Millisecond, 30*time.Second, func(n int) {
		time.Sleep(time.Duration(rand.Intn(100)) * time.Millisecond)
		id := fmt.Sprintf("pece-%d", n)
		a := c.send(request{id: id, method: http.MethodPost, path: "/pece/2f", body: "prompt of " + id, deadline: 6 * time.Second, header: map[string]string{
			"X-Model": "m", "X-Token-Usage": "900,56", "X-Prefix-Hash": fmt.Sprintf("51000000:350,%08x:550", 0x70000000+n),
		}})
		others.add(a.status == http.StatusOK && a.err == nil && strings.Count(a.body, "data:") == 14)
	})
	time.Sleep(3 * time.Second) // runs without a client end
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, all := range runs {
		for _, first := range all {
			for _, second := range all {
				if first.arrived < second.arrived && first.engine != second.engine && first.end > second.arrived+tolerated && first.end > first.began {
					twice++
					s.record.add("twice     %s arrived at %s at %d ms while %s had it; that worked on it from %d to %d ms", id, second.engine, second.arrived.Milliseconds(), first.engine, first.began.Milliseconds(), first.end.Milliseconds())
				}
			}
		}
	}
	if !trouble && others.other*50 > others.sent {
		return false, fmt.Errorf("%d of %d streams were not served without the disruption", others.other, others.sent)
	}
	s.verdict(twice > 0, "%d requests went on at another engine while the engine before worked on them later than %d ms after; %d answers lost of %d requests at one engine of four; %d of %d streams served whole",
		twice, tolerated.Milliseconds(), lost, arrivals, others.ok, others.sent)
	return twice > 0, nil
}
