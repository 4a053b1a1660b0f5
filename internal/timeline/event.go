package timeline

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Kind is the type of an event, such as permit-granted.
type Kind string

// Attribute is a key-value pair with details of an event.
type Attribute struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Attr returns an attribute with the value as formatted by fmt.Sprint.
func Attr(key string, value any) Attribute { return Attribute{Key: key, Value: fmt.Sprint(value)} }

// Event is one entry of the timeline. Time and Host together identify it.
type Event struct {
	Time       Timestamp   `json:"time"`
	Host       string      `json:"host"`
	Request    string      `json:"request,omitempty"`
	Kind       Kind        `json:"kind"`
	Attributes []Attribute `json:"attributes,omitempty"`
}

// String returns the event as one line of key=value pairs.
func (e Event) String() string {
	var b strings.Builder
	b.WriteString("time=" + e.Time.String())
	writePair(&b, "host", e.Host)
	writePair(&b, "kind", string(e.Kind))
	if e.Request != "" {
		writePair(&b, "request", e.Request)
	}
	for _, a := range e.Attributes {
		writePair(&b, a.Key, a.Value)
	}
	return b.String()
}

func writePair(b *strings.Builder, key, value string) {
	b.WriteByte(' ')
	b.WriteString(quoteIfNeeded(key))
	b.WriteByte('=')
	b.WriteString(quoteIfNeeded(value))
}

func quoteIfNeeded(s string) string {
	special := func(r rune) bool { return r <= ' ' || r == '=' || r == '"' || !strconv.IsPrint(r) }
	if s == "" || strings.ContainsFunc(s, special) {
		return strconv.Quote(s)
	}
	return s
}

// FormatLines returns the events in text form, one per line.
func FormatLines(events []Event) string {
	var b strings.Builder
	for _, e := range events {
		b.WriteString(e.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// Filter selects events. A zero field places no restriction.
type Filter struct {
	Request string    `json:"request,omitempty"`
	Kind    Kind      `json:"kind,omitempty"`
	Since   Timestamp `json:"since,omitempty"`
	// Limit is the maximum number of events; the latest ones are selected.
	Limit int `json:"limit,omitempty"`
}

// Match reports whether the filter selects the event, without regard to Limit.
func (f Filter) Match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) && (f.Kind == "" || f.Kind == e.Kind) && e.Time >= f.Since
}

// Merge returns the events of all lists in causal order: an event that may have caused
// another precedes it. Events with equal timestamps are ordered by host, so the result
// does not depend on the order of the lists. Duplicate events are removed.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Host, b.Host))
	})
	return slices.CompactFunc(out, func(a, b Event) bool { return a.Time == b.Time && a.Host == b.Host })
}

// Recorder keeps the latest events of one process. It is safe for concurrent use.
type Recorder struct {
	host  string
	clock *Clock

	mu       sync.Mutex
	events   []Event // ring buffer once it has reached capacity
	oldest   int
	capacity int
}

// NewRecorder returns a recorder that keeps the latest capacity events (at least 1).
func NewRecorder(host string, clock *Clock, capacity int) *Recorder {
	return &Recorder{host: host, clock: clock, capacity: max(capacity, 1)}
}

func (r *Recorder) Clock() *Clock { return r.clock }

// Record adds an event with the current time; request may be empty.
func (r *Recorder) Record(kind Kind, request string, attributes ...Attribute) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The clock is read under the lock, so the events in the ring are ordered by time.
	e := Event{Time: r.clock.Now(), Host: r.host, Request: request, Kind: kind, Attributes: attributes}
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % r.capacity
}

// Read returns the selected events ordered by time.
func (r *Recorder) Read(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		if e := r.events[(r.oldest+i)%len(r.events)]; filter.Match(e) {
			out = append(out, e)
		}
	}
	if filter.Limit > 0 && len(out) > filter.Limit {
		out = slices.Clone(out[len(out)-filter.Limit:])
	}
	return out
}
