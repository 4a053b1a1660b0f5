// Package callerapi serves the HTTP interface of callers. It is described in
// docs/caller-api.md.
package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/ulid/v2"

	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/relay"
	"github.com/rattanscale/rattanscale/internal/stream"
)

const (
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 128
	// maxOutputTokens bounds the max_tokens of a request.
	maxOutputTokens = 1 << 20
	// HostsValidity is how long callers may keep the answer of GET /v1/hosts.
	HostsValidity = 5 * time.Second
)

// Host is one address that a caller may use.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// HostsAnswer is the answer of GET /v1/hosts, best host first.
type HostsAnswer struct {
	Hosts           []Host  `json:"hosts"`
	ValiditySeconds float64 `json:"validity_seconds"`
}

// State is what the interface asks of the daemon. Implementations are safe for concurrent use.
type State interface {
	// Hosts returns ranked hosts for a caller in the data centre.
	Hosts(dataCentre string) []Host
	// Accepting returns a typed failure when this host takes no new work.
	Accepting() error
	// Ready returns a typed failure while the host is not ready.
	Ready() error
	Config() *entity.Configuration
}

// Server serves callers. Its fields are set once before use.
type Server struct {
	State     State
	Relay     *relay.Relay
	Keys      *auth.Keys
	Signer    *stream.Signer
	Log       logr.Logger
	HostName  string
	BodyBytes int64
	// WriteTimeout ends a stream whose caller reads nothing.
	WriteTimeout time.Duration
	MaxStreams   int64

	open     atomic.Int64
	requests requestTable
}

// OpenStreams returns the number of requests being served.
func (s *Server) OpenStreams() int { return int(s.open.Load()) }

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", s.hosts)
	mux.HandleFunc("POST /v1/services/{service}/generate", s.authenticated(s.generate))
	mux.HandleFunc("POST /v1/services/{service}/call", s.authenticated(s.call))
	mux.HandleFunc("GET /v1/streams/{request}", s.authenticated(s.resume))
	mux.HandleFunc("GET /v1/requests/{request}", s.authenticated(s.request))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.State.Ready(); err != nil {
			writeError(w, "", err)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", failure.NotRun(failure.NotFound, "no such path or method: %s %.100q", r.Method, r.URL.Path))
	})
	return s.recovered(mux)
}

// recovered turns a panic into a typed error, so that one request cannot stop the daemon.
func (s *Server) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				s.Log.Error(nil, "panic in a request handler", "path", r.URL.Path, "panic", p, "stack", string(debug.Stack()))
				writeError(w, "", failure.New(failure.Internal, "internal error"))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

type accountHandler func(w http.ResponseWriter, r *http.Request, account string)

func (s *Server) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		account, err := s.Keys.Authenticate(r)
		if err != nil {
			writeError(w, "", err)
			return
		}
		next(w, r, account)
	}
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	answer := HostsAnswer{Hosts: s.State.Hosts(r.URL.Query().Get("data-centre")), ValiditySeconds: HostsValidity.Seconds()}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(HostsValidity.Seconds())))
	writeJSON(w, http.StatusOK, answer)
}

// generateBody is the body of a generate request.
type generateBody struct {
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	FinishBy  time.Time `json:"finish_by"`
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, account string) {
	s.serve(w, r, account, func(ctx context.Context, call *relay.Call) error {
		if !call.Service.Repeatable {
			return failure.NotRun(failure.InvalidRequest, "service %s must not be repeated; use /v1/services/%s/call", call.Service.Name, call.Service.Name)
		}
		var body generateBody
		if err := decodeJSON(r, call.Body, &body); err != nil {
			return err
		}
		if body.Prompt == "" {
			return failure.NotRun(failure.InvalidRequest, "prompt is empty")
		}
		if body.MaxTokens < 0 || body.MaxTokens > maxOutputTokens {
			return failure.NotRun(failure.InvalidRequest, "max_tokens is %d, allowed are 0 to %d", body.MaxTokens, maxOutputTokens)
		}
		call.Prompt, call.MaxTokens, call.FinishBy = body.Prompt, body.MaxTokens, body.FinishBy
		call.AcceptRestart = r.Header.Get("Accept-Restart") == "1"
		return s.Relay.Generate(ctx, call, stream.NewWriter(w, s.WriteTimeout))
	})
}

func (s *Server) call(w http.ResponseWriter, r *http.Request, account string) {
	s.serve(w, r, account, func(ctx context.Context, call *relay.Call) error {
		call.IdempotencyKey = r.Header.Get("Idempotency-Key")
		if err := checkKey(call); err != nil {
			return err
		}
		result, err := s.Relay.CallPlain(ctx, call)
		if err != nil {
			return err
		}
		if result.Response.Truncated {
			return failure.New(failure.OutcomeUnknown, "the call ran with status %d, but its answer was too large to keep", result.Response.Status)
		}
		if result.Replayed {
			w.Header().Set("Idempotency-Replayed", "true")
		}
		if result.Response.ContentType != "" {
			w.Header().Set("Content-Type", result.Response.ContentType)
		}
		w.WriteHeader(result.Response.Status)
		_, _ = w.Write(result.Response.Body)
		return nil
	})
}

func checkKey(call *relay.Call) error {
	if !call.Service.Repeatable && call.IdempotencyKey == "" {
		return failure.NotRun(failure.InvalidRequest, "service %s needs an Idempotency-Key header", call.Service.Name)
	}
	if len(call.IdempotencyKey) > maxKeyBytes || strings.ContainsFunc(call.IdempotencyKey, func(r rune) bool { return r < '!' || r > '~' }) {
		return failure.NotRun(failure.InvalidRequest, "Idempotency-Key must have at most %d printable ASCII characters", maxKeyBytes)
	}
	return nil
}

// serve prepares a call of the service in the path and runs it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, account string, run func(context.Context, *relay.Call) error) {
	id := s.newRequestID()
	w.Header().Set("X-Request-Id", id)
	call, err := s.prepare(w, r, account, id)
	if err == nil {
		defer s.open.Add(-1)
		s.requests.begin(id, account, call.Service.Name)
		err = run(r.Context(), call)
		s.requests.end(id, err)
	}
	if err != nil {
		writeError(w, id, err)
	}
	s.Log.V(1).Info("request", "request", id, "account", account, "service", r.PathValue("service"), "error", errorKind(err))
}

// prepare checks everything that can refuse the request before it runs. When it
// succeeds, the caller must decrement the number of open streams.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, account, id string) (*relay.Call, error) {
	if err := s.State.Accepting(); err != nil {
		return nil, err
	}
	conf := s.State.Config()
	service, ok := conf.Service(r.PathValue("service"))
	if !ok {
		return nil, failure.NotRun(failure.UnknownService, "service %.100q does not exist", r.PathValue("service"))
	}
	row, ok := conf.Account(account)
	if !ok {
		return nil, failure.NotRun(failure.Forbidden, "client account %s is not in the service text", account)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.BodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, failure.NotRun(failure.BodyTooLarge, "the body is larger than %d bytes", s.BodyBytes)
		}
		return nil, failure.NotRun(failure.InvalidRequest, "the body cannot be read: %v", err)
	}
	if s.open.Add(1) > s.MaxStreams {
		s.open.Add(-1)
		return nil, failure.NotRun(failure.QueueFull, "this host serves %d requests", s.MaxStreams)
	}
	return &relay.Call{RequestID: id, Account: row, Service: service, Body: body, ContentType: r.Header.Get("Content-Type")}, nil
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request, account string) {
	id := r.PathValue("request")
	w.Header().Set("X-Request-Id", id)
	token, err := s.Signer.Verify(r.Header.Get("Resume-Token"), account)
	if err == nil && token.Request != id {
		err = failure.NotRun(failure.InvalidResumeToken, "the resume token belongs to another request")
	}
	next := token.Offset
	if last := r.Header.Get("Last-Event-ID"); err == nil && last != "" {
		next, err = nextOffset(token, last)
	}
	if err != nil {
		writeError(w, id, err)
		return
	}
	if s.open.Add(1) > s.MaxStreams {
		s.open.Add(-1)
		writeError(w, id, failure.NotRun(failure.QueueFull, "this host serves %d requests", s.MaxStreams))
		return
	}
	defer s.open.Add(-1)
	s.requests.begin(id, account, token.Service)
	service, _ := s.State.Config().Service(token.Service)
	call := &relay.Call{RequestID: id, Account: entity.ClientAccount{Name: account}, Service: service}
	err = s.Relay.Resume(r.Context(), token, next, call, stream.NewWriter(w, s.WriteTimeout))
	s.requests.end(id, err)
	if err != nil {
		writeError(w, id, err)
	}
}

// nextOffset returns the offset after the last event that the caller received.
func nextOffset(token stream.ResumeToken, last string) (int, error) {
	id, err := stream.ParseEventID(last)
	if err != nil {
		return 0, err
	}
	if id.Generation != token.Generation {
		return 0, failure.NotRun(failure.InvalidResumeToken, "Last-Event-ID names another generation than the resume token")
	}
	return max(id.Offset+1, token.Offset), nil
}

func (s *Server) request(w http.ResponseWriter, r *http.Request, account string) {
	row, ok := s.requests.get(r.PathValue("request"))
	if !ok || row.account != account {
		// The same answer for both, so that an account learns nothing of others' requests.
		writeError(w, "", failure.New(failure.NotFound, "no request %.100q of this client account on host %s", r.PathValue("request"), s.HostName))
		return
	}
	writeJSON(w, http.StatusOK, row.status())
}

func (s *Server) newRequestID() string { return s.HostName + "-" + ulid.Make().String() }

// decodeJSON decodes exactly one JSON object without unknown fields.
func decodeJSON(r *http.Request, body []byte, into any) error {
	if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return failure.NotRun(failure.InvalidRequest, "Content-Type is %.60q, not application/json", r.Header.Get("Content-Type"))
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return failure.NotRun(failure.InvalidRequest, "the body is not valid: %v", err)
	}
	if decoder.More() {
		return failure.NotRun(failure.InvalidRequest, "the body holds more than one JSON value")
	}
	return nil
}

func errorKind(err error) string {
	if err == nil {
		return ""
	}
	return string(failure.From(err).Kind())
}

// writeError writes the typed failure, unless the response has started.
func writeError(w http.ResponseWriter, request string, err error) {
	f := failure.From(err)
	if f.Status() == http.StatusTooManyRequests || f.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, f.Status(), f.Body(request))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
