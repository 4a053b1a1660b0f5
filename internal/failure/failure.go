// Package failure defines the typed errors that rattanscale returns to callers
// and operators. Every kind has an HTTP status and a remedy. Every error has a "not
// run" flag, which is set only if nothing was sent to an upstream or the upstream's
// refusal proves that the request did not run.
//
// All functions are safe for concurrent use.
package failure

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/samber/oops"
)

// Kind identifies a class of failures. Its text is part of the public interface.
type Kind string

// The kinds that callers and operators can receive.
const (
	InvalidRequest        Kind = "invalid-request"
	Unauthenticated       Kind = "unauthenticated"
	Forbidden             Kind = "forbidden"
	NotFound              Kind = "not-found"
	UnknownService        Kind = "unknown-service"
	BodyTooLarge          Kind = "body-too-large"
	Conflict              Kind = "conflict"
	InvalidServiceText    Kind = "invalid-service-text"
	InvalidSettings       Kind = "invalid-settings"
	QueueFull             Kind = "queue-full"
	DeadlineExceeded      Kind = "deadline-exceeded"
	NoUpstream            Kind = "no-upstream"
	DependencyUnavailable Kind = "dependency-unavailable"
	Draining              Kind = "draining"
	Isolated              Kind = "isolated"
	NotReady              Kind = "not-ready"
	StoreUnavailable      Kind = "store-unavailable"
	Quarantined           Kind = "quarantined"
	GenerationLost        Kind = "generation-lost"
	UpstreamRefused       Kind = "upstream-refused"
	UpstreamFailed        Kind = "upstream-failed"
	OutcomeUnknown        Kind = "outcome-unknown"
	KeyReused             Kind = "key-reused"
	InvalidResumeToken    Kind = "invalid-resume-token"
	Internal              Kind = "internal"
)

type kindInfo struct {
	status int
	remedy string
}

var kinds = map[Kind]kindInfo{
	InvalidRequest:        {http.StatusBadRequest, "correct the named field and send the request again"},
	Unauthenticated:       {http.StatusUnauthorized, "send a valid key in the Authorization header"},
	Forbidden:             {http.StatusForbidden, "use the client account that created the request"},
	NotFound:              {http.StatusNotFound, "check the identifier"},
	UnknownService:        {http.StatusNotFound, "use a service that the service text lists"},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, "send a smaller body or raise limits.body-bytes"},
	Conflict:              {http.StatusConflict, "read the current revision and repeat the change"},
	InvalidServiceText:    {http.StatusUnprocessableEntity, "correct the listed places and apply the text again"},
	InvalidSettings:       {http.StatusUnprocessableEntity, "correct the listed settings and start again"},
	QueueFull:             {http.StatusTooManyRequests, "retry after the Retry-After interval"},
	DeadlineExceeded:      {http.StatusServiceUnavailable, "retry later or allow a longer deadline"},
	NoUpstream:            {http.StatusServiceUnavailable, "retry later; operators should check the pool's upstreams"},
	DependencyUnavailable: {http.StatusServiceUnavailable, "restore the named dependency"},
	Draining:              {http.StatusServiceUnavailable, "send the request to the named host"},
	Isolated:              {http.StatusServiceUnavailable, "send the request to another host"},
	NotReady:              {http.StatusServiceUnavailable, "send the request to another host or wait until this host is ready"},
	StoreUnavailable:      {http.StatusServiceUnavailable, "retry when the table service is reachable"},
	Quarantined:           {http.StatusUnprocessableEntity, "do not resend this request; it crashed upstreams"},
	GenerationLost:        {http.StatusBadGateway, "send the request again and discard the tokens received"},
	UpstreamRefused:       {http.StatusBadGateway, "correct the request; the upstream refused it"},
	UpstreamFailed:        {http.StatusBadGateway, "retry the request"},
	OutcomeUnknown:        {http.StatusConflict, "check the effect at the upstream before sending a new call with a new key"},
	KeyReused:             {http.StatusUnprocessableEntity, "use a new Idempotency-Key for a different request"},
	InvalidResumeToken:    {http.StatusBadRequest, "send the request again without the resume token"},
	Internal:              {http.StatusInternalServerError, "report the request identifier to the operators"},
}

// Remedies returns the remedy of every kind. It is used by the documentation test.
func Remedies() map[Kind]string {
	out := make(map[Kind]string, len(kinds))
	for kind, info := range kinds {
		out[kind] = info.remedy
	}
	return out
}

// Error is a failure of one kind. It is immutable.
type Error struct {
	kind   Kind
	notRun bool
	host   string
	cause  error
}

// New returns a failure of the given kind for a request that may have run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, cause: oops.Code(string(kind)).Hint(kinds[kind].remedy).Errorf(format, args...)}
}

// NotRun returns a failure of the given kind for a request that certainly did not run.
func NotRun(kind Kind, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.notRun = true
	return e
}

// WithHost returns a copy with the address that the caller should use instead.
func (e *Error) WithHost(address string) *Error {
	c := *e
	c.host = address
	return &c
}

// Error returns the kind, the message and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (remedy: %s)", e.kind, e.cause, e.Remedy())
}

func (e *Error) Unwrap() error { return e.cause }

func (e *Error) Kind() Kind { return e.kind }

// NotRun reports whether the request certainly did not run.
func (e *Error) NotRun() bool { return e.notRun }

// Host returns the address to use instead, or "".
func (e *Error) Host() string { return e.host }

// Message returns the message without the remedy.
func (e *Error) Message() string { return e.cause.Error() }

// Remedy returns what the receiver can do about the failure.
func (e *Error) Remedy() string { return kinds[e.kind].remedy }

// Status returns the HTTP status of the failure, 500 for an unknown kind.
func (e *Error) Status() int {
	if info, ok := kinds[e.kind]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// From returns the failure that err wraps; any other error becomes one of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Is reports whether err is or wraps a failure of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == kind
}

// Body is the JSON form of a failure.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object of a Body.
type BodyError struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	NotRun  bool   `json:"not_run"`
	Request string `json:"request,omitempty"`
	Host    string `json:"host,omitempty"`
}

// Body returns the JSON form of the failure for the given request identifier.
func (e *Error) Body(request string) Body {
	return Body{Error: BodyError{
		Kind: e.kind, Message: e.Message(), Remedy: e.Remedy(), NotRun: e.notRun, Request: request, Host: e.host,
	}}
}
