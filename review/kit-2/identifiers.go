//go:build review2

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// crowd is the number of clients at each of the hosts. Each sends one request after another.
	crowd = 280
	// engineWork is the time until an engine answers.
	engineWork = 300 * time.Millisecond
	// crowdTime is how long they stay at a host, unless its process is killed before.
	crowdTime = 32 * time.Second
	// hostsForFault and endsForFault are the figures of the rule: so many machines, and so many ends on
	// each of them.
	hostsForFault, endsForFault = 2, 3
)

// longIdentifiers lets clients send requests whose heads are within maxHeaderBytes and consist
// mostly of the identifier. The platform kills a process that exceeds its memory.
func longIdentifiers(w *world, trouble bool) (bool, error) {
	w.putConfiguration(7)
	if _, err := w.startEngines(engineWork); err != nil {
		return false, err
	}
	if err := w.startHosts(hostCount); err != nil {
		return false, err
	}
	length := 16
	if trouble {
		length = maxHeaderBytes - 700
	}
	ends := make([]int, hostsForFault)
	for range endsForFault {
		var group errgroup.Group
		for i := range ends {
			group.Go(func() error {
				h := w.hosts[i]
				if !w.crowdAt(h, length) {
					return nil
				}
				ends[i]++
				w.record.logf("the platform kills %s, which exceeds %d MB", h.name, memoryMB)
				h.signal(syscall.SIGKILL)
				h.waitEnded(5 * time.Second)
				time.Sleep(300 * time.Millisecond)
				return h.start()
			})
		}
		if err := group.Wait(); err != nil {
			return false, err
		}
	}
	machines := 0
	for i, n := range ends {
		w.record.logf("processes of %s ended %d times", w.hosts[i].name, n)
		if n >= endsForFault {
			machines++
		}
	}
	return machines >= hostsForFault, nil
}

// crowdAt reports whether the host exceeds its memory while the crowd is there.
func (w *world) crowdAt(h *host, idLength int) (exceeded bool) {
	w.record.logf("%d clients come to %s; their identifiers have %d bytes", crowd, h.name, idLength)
	var group sync.WaitGroup
	stop := make(chan struct{})
	var answered, refused, failed atomic.Int64
	for range crowd {
		group.Go(func() { h.askUntil(stop, idLength, &answered, &refused, &failed) })
	}
	end := time.After(crowdTime)
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	peak := 0.0
	for i := 0; !exceeded; i++ {
		select {
		case <-end:
			close(stop)
			group.Wait()
			w.record.logf("answered %d, refused %d, failed %d; peak memory %.0f MB", answered.Load(), refused.Load(), failed.Load(), peak)
			return false
		case <-ticker.C:
		}
		mb := h.anonymousMB()
		peak = max(peak, mb)
		exceeded = mb > memoryMB
		if i%10 == 0 || exceeded {
			w.record.logf("%s: %.0f MB; answered %d, refused %d, failed %d", h.name, mb, answered.Load(), refused.Load(), failed.Load())
		}
	}
	go func() { // the process is killed meanwhile
		group.Wait()
	}()
	close(stop)
	return true
}

// askUntil sends requests over one connection, and opens another one when it ends.
func (h *host) askUntil(stop <-chan struct{}, idLength int, answered, refused, failed *atomic.Int64) {
	for {
		c, err := h.dial()
		if err != nil {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				continue
			}
		}
		reader := bufio.NewReader(c)
		for {
			select {
			case <-stop:
				_ = c.Close()
				return
			default:
			}
			id := fmt.Sprintf("%016x", rand.Uint64())
			id += strings.Repeat("a", idLength-len(id))
			if os.Getenv("PAD") != "" {
				id = id[:16] + "\r\nX-Pad: " + id[16:]
			}
			_ = c.SetDeadline(time.Now().Add(7 * time.Second))
			_, err := fmt.Fprintf(c, "POST /pece-kone/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 100,12\r\nX-Prefix-Hash: %s:40,%x:60\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
				hostName, id, "5c1e07a2", rand.Uint32(), key)
			if err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				failed.Add(1)
				break
			}
			_, err = readAll(response)
			switch {
			case err != nil:
				failed.Add(1)
			case response.StatusCode == http.StatusOK:
				answered.Add(1)
			default:
				refused.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
			if err != nil || response.Close {
				break
			}
		}
		_ = c.Close()
	}
}
