package standin

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"
)

// ObjectsStats is the body of GET /stats.
type ObjectsStats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Objects int `json:"objects"`
}

// Objects emulates an object store with the S3 protocol in path style: PUT and
// GET of /bucket/name. It is safe for concurrent use and needs no closing.
type Objects struct {
	faults *faultPlan

	mu      sync.Mutex
	objects map[string][]byte // by URL path /bucket/name
	stats   ObjectsStats
}

type s3Error struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	o := &Objects{faults: newFaultPlan(nil), objects: map[string][]byte{}}
	o.faults.losesAnswer = func(r *http.Request) bool { return r.Method == http.MethodPut }
	return o
}

// SetFault activates the fault and reports whether its kind is supported.
func (o *Objects) SetFault(f Fault) bool { return o.faults.set(f) }

// Handler serves the S3 subset, POST /fault and GET /stats.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /{bucket}/{name...}", o.servePut)
	mux.HandleFunc("GET /{bucket}/{name...}", o.serveGet)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, o.Stats())
	})
	return o.faults.middleware(mux)
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("X-Amz-Decoded-Content-Length") != "" {
		writeS3Error(w, http.StatusNotImplemented, "NotImplemented", "send the body without chunk signatures")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Writes++
	o.objects[r.URL.Path] = body
	w.WriteHeader(http.StatusOK)
}

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.stats.Reads++
	body, ok := o.objects[r.URL.Path]
	o.mu.Unlock()
	if !ok {
		writeS3Error(w, http.StatusNotFound, "NoSuchKey", "the object does not exist")
		return
	}
	_, _ = w.Write(body)
}

func writeS3Error(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(s3Error{Code: code, Message: message})
}

// Stats returns the counters.
func (o *Objects) Stats() ObjectsStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.stats
	s.Objects = len(o.objects)
	return s
}
