package callerapi

import (
	"sync"
	"time"
)

// maxRecentRequests is the number of requests whose state a host keeps.
const maxRecentRequests = 10_000

// requestRecord is the state of a request that this host serves or has served.
type requestRecord struct {
	id        string
	account   string
	service   string
	state     string
	errorKind string
	startedAt time.Time
}

// RequestStatus is the response of GET /v1/requests/{request}.
type RequestStatus struct {
	Request   string    `json:"request"`
	Service   string    `json:"service"`
	State     string    `json:"state"`
	Error     string    `json:"error,omitempty"`
	StartedAt time.Time `json:"begun"`
}

func (r requestRecord) status() RequestStatus {
	return RequestStatus{Request: r.id, Service: r.service, State: r.state, Error: r.errorKind, StartedAt: r.startedAt}
}

// requestTable holds the most recent requests; a new request replaces the oldest one.
// The zero value is ready to use. It is safe for concurrent use.
type requestTable struct {
	mu      sync.Mutex
	records map[string]*requestRecord
	// ids is a ring buffer of the request IDs, in order of their start; nextSlot is its
	// oldest entry.
	ids      []string
	nextSlot int
}

func (t *requestTable) begin(id, account, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = map[string]*requestRecord{}
		t.ids = make([]string, maxRecentRequests)
	}
	if t.records[id] == nil {
		delete(t.records, t.ids[t.nextSlot])
		t.ids[t.nextSlot] = id
		t.nextSlot = (t.nextSlot + 1) % maxRecentRequests
	}
	t.records[id] = &requestRecord{id: id, account: account, service: service, state: "running", startedAt: time.Now().UTC()}
}

func (t *requestTable) end(id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.records[id]; record != nil {
		record.state, record.errorKind = "ended", errorKind(err)
	}
}

func (t *requestTable) get(id string) (requestRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.records[id]; record != nil {
		return *record, true
	}
	return requestRecord{}, false
}
