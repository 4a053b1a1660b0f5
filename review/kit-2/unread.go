//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// unreadConnections is the number of connections of the clients that do not read their answers. A
	// process has descriptors for three times as many.
	unreadConnections = 1600
	// They open new ones where the host has ended some, for minOpening at least and maxOpening at most,
	// until the host has nothing to do. Then they keep what they have, and do nothing.
	minOpening, maxOpening = 25 * time.Second, 75 * time.Second
	// idleShare is the part of a processor below which the host has nothing to do.
	idleShare = 0.3
	// quietTime is the time between their last connection and the tries of ordinary clients.
	quietTime = 2 * contact
	// openingRate is how many connections they open a second.
	openingRate = 200
	// pipelined is the number of requests that such a client has sent at most.
	pipelined = 3000
	// callers is the number of ordinary clients, which try on new connections. The rule names seven.
	callers = 10
	// tryTime is how long they try; the rule names contactMs.
	tryTime = 4 * contact
	// remaining is the number of clients of the crowd that go on to open a connection each second, if
	// the host has ended theirs.
	remaining = 60
)

// unreadAnswers lets clients send requests one after another on many connections of one host, without
// reading the answers. Ordinary clients then open new connections to the host.
func unreadAnswers(w *world, trouble bool) (bool, error) {
	w.putConfiguration(7)
	if _, err := w.startEngines(150 * time.Millisecond); err != nil {
		return false, err
	}
	if err := w.startHosts(hostCount); err != nil {
		return false, err
	}
	h := w.hosts[0]
	if n, _ := h.tryNewConnections(time.Second); n == 0 {
		return false, fmt.Errorf("no caller was answered before the disruption")
	}
	stop, opening := make(chan struct{}), make(chan struct{})
	var group sync.WaitGroup
	var opened, ended atomic.Int64
	startedAt := time.Now()
	ticker := time.NewTicker(time.Second / openingRate)
	for i := range unreadConnections {
		<-ticker.C
		mayOpen := opening
		if i < remaining {
			mayOpen = stop
		}
		group.Go(func() { h.sendUnread(trouble, mayOpen, stop, &opened, &ended) })
	}
	ticker.Stop()
	for used := h.processorTime(); ; {
		time.Sleep(2 * time.Second)
		now := h.processorTime()
		share := (now - used).Seconds() / 2
		used = now
		w.record.logf("connections opened %d, ended by %s %d; it uses %.2f processors and %.0f MB", opened.Load(), h.name, ended.Load(), share, h.anonymousMB())
		if age := time.Since(startedAt); age > maxOpening || age > minOpening && share < idleShare {
			break
		}
	}
	close(opening)
	time.Sleep(quietTime)
	readyBefore := h.ready()
	answered, longest := h.tryNewConnections(tryTime)
	isReady := readyBefore && h.ready()
	w.record.logf("in %s, %d new connections of %d callers were answered, none for %.1f s; the host says ready before and after: %t; connections opened %d, ended %d",
		tryTime, answered, callers, longest.Seconds(), isReady, opened.Load(), ended.Load())
	close(stop)
	group.Wait()
	return longest >= contact && isReady, nil
}

// sendUnread sends requests over one connection and reads nothing. It opens another one if the host
// ends the connection. Without trouble it sends one request and reads its answer.
func (h *host) sendUnread(trouble bool, opening, stop <-chan struct{}, opened, ended *atomic.Int64) {
	request := fmt.Sprintf("GET /dalsi-jizda/2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %%016x\r\nX-Deadline-Ms: 1\r\nAuthorization: Bearer %s\r\n\r\n", hostName, key)
	for {
		c, err := (&net.Dialer{Timeout: time.Second, Control: smallBuffer}).Dial("tcp", h.caller)
		if err == nil {
			opened.Add(1)
			go func() {
				<-stop
				_ = c.Close()
			}()
			if !trouble {
				// One request, whose answer is read: an ordinary client that keeps its connection.
				if _, err = fmt.Fprintf(c, strings.ReplaceAll(request, "Ms: 1\r", "Ms: 1000\r"), rand.Uint64()); err == nil {
					if response, readErr := http.ReadResponse(bufio.NewReader(c), nil); readErr == nil {
						_, _ = readAll(response)
					}
				}
				<-stop
				return
			}
			var b strings.Builder
			for range pipelined {
				_, _ = fmt.Fprintf(&b, request, rand.Uint64())
			}
			if writeUntil(c, []byte(b.String()), fmt.Sprintf(request, rand.Uint64()), stop) {
				return
			}
			ended.Add(1)
		}
		select {
		case <-opening:
			return
		case <-time.After(time.Second):
		}
	}
}

// writeUntil writes requests, and again and again another one, until stop is closed. It returns false if
// the host has ended the connection before.
func writeUntil(c net.Conn, pending []byte, request string, stop <-chan struct{}) bool {
	for {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := c.Write(pending)
		var netErr net.Error
		if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
			return false
		}
		if pending = pending[n:]; len(pending) == 0 {
			pending = []byte(request)
		}
		select {
		case <-stop:
			return true
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// smallBuffer gives a connection a small window, and segments of the size that a network has.
func smallBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
	})
}

// tryNewConnections lets callers open new connections and ask for a lookup on each. It returns the
// number of answers, of any status, and the longest time without one.
func (h *host) tryNewConnections(d time.Duration) (answers int, longest time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var firstErr sync.Once
	start := time.Now()
	last := start
	for range callers {
		group.Go(func() {
			for time.Since(start) < d {
				status, err := h.request(http.MethodGet, "/dalsi-jizda/2f", "7a13:1", 1000)
				if err == nil {
					mu.Lock()
					answers, longest, last = answers+1, max(longest, time.Since(last)), time.Now()
					mu.Unlock()
				}
				firstErr.Do(func() { h.w.record.logf("first try at %s: status %d, error %v", h.name, status, err) })
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return answers, max(longest, start.Add(d).Sub(last))
}
