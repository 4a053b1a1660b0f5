// Package upstream defines the interfaces through which the daemon uses upstreams.
// The packages below it implement them for each protocol. Implementations are safe
// for concurrent use.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"
)

var (
	// ErrNotSent proves that no part of the request reached the upstream.
	ErrNotSent = errors.New("request was not sent to the upstream")
	// ErrLost reports a failure after which the upstream may have run the request.
	ErrLost = errors.New("upstream was lost")
	// ErrUnknownGeneration reports that the upstream does not hold the generation to resume.
	ErrUnknownGeneration = errors.New("upstream does not hold this generation")
	// ErrStaleOrder reports that the engine refused an order because it has seen a newer
	// fencing token.
	ErrStaleOrder = errors.New("engine refused an order with an old fencing token")
)

// RefusedError is a refusal by the upstream itself. A refusal by an engine proves that
// the request did not run; one by a plain service does so only if its pool is configured
// with refusals-prove-not-run.
type RefusedError struct {
	Status  int
	Message string
}

func (e *RefusedError) Error() string { return "upstream refused the request: " + e.Message }

// GenerateRequest starts one generation.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Priority  int    `json:"priority,omitempty"`
}

// Token is one token of a generation, or its end. Offset counts from 0. The end has
// Done set, no text and the finish reason in Finish.
type Token struct {
	Generation string
	Offset     int
	Text       string
	Done       bool
	Finish     string
}

// TokenStream delivers the tokens of one generation in order. It is used by one
// goroutine. Close releases the connection; the engine keeps the generation for its
// resume window, or until Cancel.
type TokenStream interface {
	// Next blocks until the next token arrives. It returns ErrLost if the connection
	// breaks or no token arrives within the token timeout.
	Next() (Token, error)
	Close() error
}

// Report is an engine's load report. It shows the state of the engine at MeasuredAt,
// which may be some time ago.
type Report struct {
	Incarnation  string    `json:"incarnation"`
	Cold         bool      `json:"cold"`
	Leaving      bool      `json:"leaving"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	MemoryTokens int       `json:"memory_tokens"`
	Preemptions  int       `json:"preemptions"`
	Models       []string  `json:"models"`
	Role         string    `json:"role"`
	MeasuredAt   time.Time `json:"at"`
}

type OrderKind string

const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderSetRole OrderKind = "role"
)

// Order tells an engine to load or unload a model or to change its role. An engine
// refuses a fencing token lower than the highest it has seen. Credential is the bearer
// key of the engine.
type Order struct {
	Kind       OrderKind `json:"kind"`
	Model      string    `json:"model,omitempty"`
	Role       string    `json:"role,omitempty"`
	Fencing    uint64    `json:"fencing"`
	Credential string    `json:"-"`
}

// CacheEvent reports that a prompt prefix entered an engine's cache or was evicted.
// Events arrive late and some are missing, so they are only hints.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// Engine is a model engine or an application engine.
type Engine interface {
	Generate(ctx context.Context, address string, request GenerateRequest) (TokenStream, error)
	// Resume continues the generation at the offset. It returns ErrUnknownGeneration if
	// the engine no longer holds the generation.
	Resume(ctx context.Context, address, requestID, generation string, offset int) (TokenStream, error)
	Cancel(ctx context.Context, address, requestID string) error
	ReadLoadReport(ctx context.Context, address string) (Report, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, address string, order Order) error
}

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	RequestID      string
	IdempotencyKey string
	Body           []byte
	ContentType    string
}

type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Release frees the room of the body once it is no longer needed; it may be nil.
	Release func()
}

// Plain is a plain HTTP service.
type Plain interface {
	// Call sends the request once. ErrNotSent proves that it did not run, and *RefusedError
	// may prove it; any other error leaves the outcome unknown.
	Call(ctx context.Context, address string, request PlainRequest) (PlainResponse, error)
	Healthy(ctx context.Context, address string) error
}
