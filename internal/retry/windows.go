package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketsPerWindow divides the sliding window; it advances by one bucket at a time.
	bucketsPerWindow = 10
	// usableFraction is the part of its share that a host uses. The rest is a margin
	// because requests are not spread evenly over windows and hosts.
	usableFraction = 0.7
)

// Hash returns a hash of the text that is the same on every host.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// WindowLimiter limits the retries to each service in a sliding window. The limit holds
// for all hosts together: each host may retry a fraction of its own requests, plus its
// equal part of the extra retries. It is safe for concurrent use.
type WindowLimiter struct {
	mu                sync.Mutex
	retriesPerRequest float64
	extraRetries      float64
	bucketDuration    time.Duration
	// epoch is the start of the first bucket.
	epoch   time.Time
	windows map[string]*serviceWindow
}

// serviceWindow counts the requests and retries of one service in a ring of buckets.
type serviceWindow struct {
	currentBucket int64
	// firstBucket is the bucket of the first request.
	firstBucket int64
	requests    [bucketsPerWindow]int
	retries     [bucketsPerWindow]int
}

// NewWindowLimiter returns a limiter that allows no retries until SetBounds is called.
func NewWindowLimiter() *WindowLimiter {
	return &WindowLimiter{bucketDuration: time.Second, windows: make(map[string]*serviceWindow)}
}

// SetBounds sets the number of retries that all hosts together may send in any window of
// length span: ratio times the requests, plus slack.
func (w *WindowLimiter) SetBounds(ratio, slack float64, span time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retriesPerRequest, w.extraRetries, w.bucketDuration = ratio, slack, max(span/bucketsPerWindow, time.Millisecond)
}

// currentWindow returns the window of the service, advanced to the given time.
func (w *WindowLimiter) currentWindow(service string, now time.Time) *serviceWindow {
	s := w.windows[service]
	if w.epoch.IsZero() {
		w.epoch = now
	}
	// The difference uses the monotonic clock; the time of day may jump.
	index := int64(now.Sub(w.epoch) / w.bucketDuration)
	if s == nil {
		s = &serviceWindow{currentBucket: index, firstBucket: index}
		w.windows[service] = s
	}
	for s.currentBucket < index {
		if index-s.currentBucket > bucketsPerWindow {
			s.currentBucket = index - bucketsPerWindow
		}
		s.currentBucket++
		s.requests[s.currentBucket%bucketsPerWindow], s.retries[s.currentBucket%bucketsPerWindow] = 0, 0
	}
	return s
}

// RecordRequest counts a request of a caller.
func (w *WindowLimiter) RecordRequest(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service, now)
	s.requests[s.currentBucket%bucketsPerWindow]++
}

// RequestRate returns the callers' requests per second to a service at this host, over the
// window.
func (w *WindowLimiter) RequestRate(service string, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service, now)
	requests := 0
	for i := range bucketsPerWindow {
		requests += s.requests[i]
	}
	counted := min(s.currentBucket-s.firstBucket+1, bucketsPerWindow)
	return float64(requests) / (time.Duration(counted) * w.bucketDuration).Seconds()
}

// Allow reports whether this host may retry a request now, and counts the retry.
func (w *WindowLimiter) Allow(service string, now time.Time, hosts int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.currentWindow(service, now)
	requests, retries := 0, 0
	for i := range bucketsPerWindow {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	if float64(retries+1) > usableFraction*(w.retriesPerRequest*float64(requests)+w.extraRetries/float64(max(hosts, 1))) {
		return false
	}
	s.retries[s.currentBucket%bucketsPerWindow]++
	return true
}
