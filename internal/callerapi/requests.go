package callerapi

import (
	"sync"
	"time"
)

// keptRequests bounds the table of recent requests.
const keptRequests = 10_000

// requestRow is the state of one recent request on this host.
type requestRow struct {
	id      string
	account string
	service string
	state   string
	kind    string
	begun   time.Time
}

// RequestStatus is the answer of GET /v1/requests/{request}.
type RequestStatus struct {
	Request string    `json:"request"`
	Service string    `json:"service"`
	State   string    `json:"state"`
	Error   string    `json:"error,omitempty"`
	Begun   time.Time `json:"begun"`
}

func (r requestRow) status() RequestStatus {
	return RequestStatus{Request: r.id, Service: r.service, State: r.state, Error: r.kind, Begun: r.begun}
}

// requestTable holds the most recent requests. The zero value is ready to use; it
// is safe for concurrent use.
type requestTable struct {
	mu    sync.Mutex
	rows  map[string]*requestRow
	order []string
	next  int
}

func (t *requestTable) begin(id, account, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string]*requestRow{}
		t.order = make([]string, keptRequests)
	}
	if t.rows[id] == nil {
		delete(t.rows, t.order[t.next])
		t.order[t.next] = id
		t.next = (t.next + 1) % keptRequests
	}
	t.rows[id] = &requestRow{id: id, account: account, service: service, state: "running", begun: time.Now().UTC()}
}

func (t *requestTable) end(id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rows[id]; row != nil {
		row.state, row.kind = "ended", errorKind(err)
	}
}

func (t *requestTable) get(id string) (requestRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rows[id]; row != nil {
		return *row, true
	}
	return requestRow{}, false
}
