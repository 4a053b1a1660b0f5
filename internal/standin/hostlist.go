package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/storage"
)

type timedHosts struct {
	hosts     []storage.ListedHost
	changedAt time.Time
}

// HostList emulates the platform's list of hosts, which shows changes after a
// delay. It is safe for concurrent use and needs no closing.
type HostList struct {
	lag    time.Duration
	faults *faultPlan

	mu        sync.Mutex
	history   []timedHosts // oldest first; Hosts discards entries that a newer visible one replaces
	readCount int
}

// HostListStats is the body of GET /stats.
type HostListStats struct {
	Reads int `json:"reads"`
}

// NewHostList returns a list that shows a change after the lag.
func NewHostList(lag time.Duration, initial []storage.ListedHost) *HostList {
	return &HostList{
		lag: lag, faults: newFaultPlan(nil),
		history: []timedHosts{{hosts: append([]storage.ListedHost{}, initial...)}},
	}
}

// SetFault activates the fault and reports whether its kind is supported.
func (h *HostList) SetFault(f Fault) bool { return h.faults.set(f) }

// Set changes the list; readers see the change after the lag.
func (h *HostList) Set(hosts []storage.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, timedHosts{append([]storage.ListedHost{}, hosts...), time.Now()})
}

// Hosts returns the visible list.
func (h *HostList) Hosts() []storage.ListedHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	visibleUntil := time.Now().Add(-h.lag)
	for len(h.history) > 1 && !h.history[1].changedAt.After(visibleUntil) {
		h.history = h.history[1:]
	}
	h.readCount++
	return slices.Clone(h.history[0].hosts)
}

// Handler serves GET and PUT /hosts, POST /fault and GET /stats.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, h.Hosts())
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []storage.ListedHost
		if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.Set(hosts)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		writeJSON(w, http.StatusOK, HostListStats{Reads: h.readCount})
	})
	return h.faults.middleware(mux)
}
