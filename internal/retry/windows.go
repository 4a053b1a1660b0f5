package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketsPerWindow divides the window, so that it slides in tenths.
	bucketsPerWindow = 10
	// usableFraction is the part of a host's share that it uses, since requests are not
	// spread evenly over windows and hosts.
	usableFraction = 0.7
)

// Hash returns a hash of a text that is the same at every host.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// WindowLimiter bounds the repeated sends to each service in a sliding window. All
// hosts keep the bound together: each allows itself the ratio of its own
// requests and an equal part of the slack. It is safe for concurrent use.
type WindowLimiter struct {
	mu                sync.Mutex
	repeatsPerRequest float64
	extraRepeats      float64
	bucketDuration    time.Duration
	windows           map[string]*serviceWindow
}

type serviceWindow struct {
	currentBucket int64
	requests      [bucketsPerWindow]int
	repeats       [bucketsPerWindow]int
}

// NewWindowLimiter returns windows that allow nothing until SetBounds is called.
func NewWindowLimiter() *WindowLimiter {
	return &WindowLimiter{bucketDuration: time.Second, windows: make(map[string]*serviceWindow)}
}

// SetBounds sets the allowed repeats: ratio times the requests plus slack, in each span of the given length.
func (w *WindowLimiter) SetBounds(ratio, slack float64, span time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeatsPerRequest, w.extraRepeats, w.bucketDuration = ratio, slack, max(span/bucketsPerWindow, time.Millisecond)
}

func (w *WindowLimiter) currentWindow(service string, now time.Time) *serviceWindow {
	s := w.windows[service]
	index := now.UnixNano() / int64(w.bucketDuration)
	if s == nil {
		s = &serviceWindow{currentBucket: index}
		w.windows[service] = s
	}
	for s.currentBucket < index {
		if index-s.currentBucket > bucketsPerWindow {
			s.currentBucket = index - bucketsPerWindow
		}
		s.currentBucket++
		s.requests[s.currentBucket%bucketsPerWindow], s.repeats[s.currentBucket%bucketsPerWindow] = 0, 0
	}
	return s
}

// RecordRequest counts a caller's request.
func (w *WindowLimiter) RecordRequest(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service, now)
	s.requests[s.currentBucket%bucketsPerWindow]++
}

// Allow takes one repeat from this host's share, and reports whether there was one.
func (w *WindowLimiter) Allow(service string, now time.Time, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service, now)
	requests, repeats := 0, 0
	for i := range bucketsPerWindow {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	if float64(repeats+1) > usableFraction*(w.repeatsPerRequest*float64(requests)+w.extraRepeats/float64(max(hosts, 1))) {
		return false
	}
	s.repeats[s.currentBucket%bucketsPerWindow]++
	return true
}
