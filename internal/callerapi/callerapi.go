// Package callerapi serves the HTTP API for callers, which docs/caller-api.md
// describes.
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
	"github.com/rattanscale/rattanscale/internal/membudget"
	"github.com/rattanscale/rattanscale/internal/relay"
	"github.com/rattanscale/rattanscale/internal/stream"
)

const (
	maxIdempotencyKeyBytes = 128
	// maxOutputTokens is the largest max_tokens that a request may ask for.
	maxOutputTokens = 1 << 20
	// HostListMaxAge is the time for which callers may cache the response of GET /v1/hosts.
	HostListMaxAge = 5 * time.Second
)

// Host is a host to which a caller may send requests.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// HostsResponse is the response of GET /v1/hosts. The preferred host comes first.
type HostsResponse struct {
	Hosts           []Host  `json:"hosts"`
	ValiditySeconds float64 `json:"validity_seconds"`
}

// State gives the API access to the daemon. Implementations are safe for concurrent use.
type State interface {
	// Hosts returns the hosts for a caller in the data centre, the preferred one first.
	Hosts(dataCentre string) []Host
	// CheckAccepting returns a typed failure while this host accepts no new requests.
	CheckAccepting() error
	// CheckReady returns a typed failure while the host is not ready.
	CheckReady() error
	Config() *entity.Configuration
}

// Server serves the caller API. Set its exported fields before the first use.
type Server struct {
	State        State
	Relay        *relay.Relay
	Keys         *auth.Keys
	Signer       *stream.Signer
	Log          logr.Logger
	HostName     string
	MaxBodyBytes int64
	// WriteTimeout bounds each write to a stream, so that a caller that stops reading
	// does not keep its stream open.
	WriteTimeout time.Duration
	MaxStreams   int64

	openRequests   atomic.Int64
	recentRequests requestTable
}

// OpenStreams returns the number of requests being served.
func (s *Server) OpenStreams() int { return int(s.openRequests.Load()) }

// Handler returns the handler for all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", s.handleHosts)
	mux.HandleFunc("POST /v1/services/{service}/generate", s.requireAccountKey(s.handleGenerate))
	mux.HandleFunc("POST /v1/services/{service}/call", s.requireAccountKey(s.handleCall))
	mux.HandleFunc("GET /v1/streams/{request}", s.requireAccountKey(s.handleResume))
	mux.HandleFunc("GET /v1/requests/{request}", s.requireAccountKey(s.handleRequestStatus))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.State.CheckReady(); err != nil {
			writeError(w, "", err)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", failure.NotRun(failure.NotFound, "no such path or method: %s %.100q", r.Method, r.URL.Path))
	})
	return s.recoverPanics(mux)
}

// recoverPanics logs a panic of a handler and returns an internal error to the caller. If
// the response has begun, it closes the connection instead, so that a part of a response
// does not look complete.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &startedWriter{ResponseWriter: w}
		defer func() {
			p := recover()
			switch {
			case p == nil:
				return
			case p == http.ErrAbortHandler:
				panic(p)
			}
			s.Log.Error(nil, "panic in a request handler", "path", r.URL.Path, "panic", p, "stack", string(debug.Stack()))
			if tracked.started {
				panic(http.ErrAbortHandler)
			}
			writeError(w, "", failure.New(failure.Internal, "internal error"))
		}()
		next.ServeHTTP(tracked, r)
	})
}

// startedWriter records whether the response has begun.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

func (w *startedWriter) WriteHeader(status int) {
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

func (w *startedWriter) Write(b []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the deadlines and the flushing of the writer.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type accountHandler func(w http.ResponseWriter, r *http.Request, account string)

func (s *Server) requireAccountKey(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		account, err := s.Keys.Authenticate(r)
		if err != nil {
			writeError(w, "", err)
			return
		}
		next(w, r, account)
	}
}

func (s *Server) handleHosts(w http.ResponseWriter, r *http.Request) {
	response := HostsResponse{Hosts: s.State.Hosts(r.URL.Query().Get("data-centre")), ValiditySeconds: HostListMaxAge.Seconds()}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(HostListMaxAge.Seconds())))
	writeJSON(w, http.StatusOK, response)
}

type generateBody struct {
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	FinishBy  time.Time `json:"finish_by"`
}

func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request, account string) {
	s.runCall(w, r, account, func(ctx context.Context, call *relay.Call) error {
		if !call.Service.Repeatable {
			return failure.NotRun(failure.InvalidRequest, "service %s is not repeatable; use /v1/services/%s/call", call.Service.Name, call.Service.Name)
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

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, account string) {
	s.runCall(w, r, account, func(ctx context.Context, call *relay.Call) error {
		call.IdempotencyKey = r.Header.Get("Idempotency-Key")
		if err := checkIdempotencyKey(call); err != nil {
			return err
		}
		result, err := s.Relay.CallPlain(ctx, call)
		if err != nil {
			return err
		}
		if result.Response.Truncated {
			return failure.New(failure.OutcomeUnknown, "the call ran with status %d, but its response was too large to store", result.Response.Status)
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

func checkIdempotencyKey(call *relay.Call) error {
	if !call.Service.Repeatable && call.IdempotencyKey == "" {
		return failure.NotRun(failure.InvalidRequest, "service %s needs an Idempotency-Key header", call.Service.Name)
	}
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes || strings.ContainsFunc(call.IdempotencyKey, func(r rune) bool { return r < '!' || r > '~' }) {
		return failure.NotRun(failure.InvalidRequest, "Idempotency-Key must have at most %d printable ASCII characters", maxIdempotencyKeyBytes)
	}
	return nil
}

// runCall admits a call to the service in the path, runs it and writes its error, if
// any.
func (s *Server) runCall(w http.ResponseWriter, r *http.Request, account string, run func(context.Context, *relay.Call) error) {
	id := s.newRequestID()
	w.Header().Set("X-Request-Id", id)
	call, err := s.admitCall(w, r, account, id)
	if err == nil {
		defer s.openRequests.Add(-1)
		defer call.End()
		s.recentRequests.begin(id, account, call.Service.Name)
		err = run(r.Context(), call)
		s.recentRequests.end(id, err)
	}
	if err != nil {
		writeError(w, id, err)
	}
	s.Log.V(1).Info("request", "request", id, "account", account, "service", r.PathValue("service"), "error", errorKind(err))
}

// admitCall makes all checks that can reject the request before it runs. On success it
// has incremented openRequests, which its caller must decrement when the request ends.
func (s *Server) admitCall(w http.ResponseWriter, r *http.Request, account, id string) (*relay.Call, error) {
	if err := s.State.CheckAccepting(); err != nil {
		return nil, err
	}
	conf := s.State.Config()
	service, ok := conf.Service(r.PathValue("service"))
	if !ok {
		return nil, failure.NotRun(failure.UnknownService, "service %.100q does not exist", r.PathValue("service"))
	}
	clientAccount, ok := conf.Account(account)
	if !ok {
		return nil, failure.NotRun(failure.Forbidden, "client account %s is not in the service text", account)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, failure.NotRun(failure.BodyTooLarge, "the body is larger than %d bytes", s.MaxBodyBytes)
		}
		if errors.Is(err, membudget.ErrNoRoom) {
			w.Header().Set("Connection", "close")
			return nil, failure.NotRun(failure.QueueFull, "%v", err)
		}
		return nil, failure.NotRun(failure.InvalidRequest, "cannot read the request body: %v", err)
	}
	if s.openRequests.Add(1) > s.MaxStreams {
		s.openRequests.Add(-1)
		return nil, failure.NotRun(failure.QueueFull, "this host already serves its maximum of %d requests", s.MaxStreams)
	}
	return &relay.Call{RequestID: id, Account: clientAccount, Service: service, Body: body, ContentType: r.Header.Get("Content-Type")}, nil
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request, account string) {
	id := r.PathValue("request")
	w.Header().Set("X-Request-Id", id)
	token, err := s.Signer.Verify(r.Header.Get("Resume-Token"), account)
	if err == nil && token.Request != id {
		err = failure.NotRun(failure.InvalidResumeToken, "the resume token belongs to another request")
	}
	startOffset := token.Offset
	if lastEventID := r.Header.Get("Last-Event-ID"); err == nil && lastEventID != "" {
		startOffset, err = nextOffset(token, lastEventID)
	}
	if err != nil {
		writeError(w, id, err)
		return
	}
	if s.openRequests.Add(1) > s.MaxStreams {
		s.openRequests.Add(-1)
		writeError(w, id, failure.NotRun(failure.QueueFull, "this host already serves its maximum of %d requests", s.MaxStreams))
		return
	}
	defer s.openRequests.Add(-1)
	s.recentRequests.begin(id, account, token.Service)
	service, _ := s.State.Config().Service(token.Service)
	call := &relay.Call{RequestID: id, Account: entity.ClientAccount{Name: account}, Service: service}
	err = s.Relay.Resume(r.Context(), token, startOffset, call, stream.NewWriter(w, s.WriteTimeout))
	s.recentRequests.end(id, err)
	if err != nil {
		writeError(w, id, err)
	}
}

// nextOffset returns the offset after the last event that the caller received, but at
// least the offset of the resume token.
func nextOffset(token stream.ResumeToken, lastEventID string) (int, error) {
	id, err := stream.ParseEventID(lastEventID)
	if err != nil {
		return 0, err
	}
	if id.Generation != token.Generation {
		return 0, failure.NotRun(failure.InvalidResumeToken, "Last-Event-ID and the resume token belong to different generations")
	}
	return max(id.Offset+1, token.Offset), nil
}

func (s *Server) handleRequestStatus(w http.ResponseWriter, r *http.Request, account string) {
	record, ok := s.recentRequests.get(r.PathValue("request"))
	if !ok || record.account != account {
		// Both cases give the same response, so that an account cannot find out which
		// requests other accounts have sent.
		writeError(w, "", failure.New(failure.NotFound, "no request %.100q of this client account on host %s", r.PathValue("request"), s.HostName))
		return
	}
	writeJSON(w, http.StatusOK, record.status())
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
		return failure.NotRun(failure.InvalidRequest, "the request body is not valid JSON for this request: %v", err)
	}
	if decoder.More() {
		return failure.NotRun(failure.InvalidRequest, "the request body contains more than one JSON value")
	}
	return nil
}

func errorKind(err error) string {
	if err == nil {
		return ""
	}
	return string(failure.From(err).Kind())
}

// writeError writes err as a typed failure. It must come before any other write to the
// response.
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
