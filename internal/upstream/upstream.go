// Package upstream defines what the daemon needs of upstreams. Adapters speak
// the protocols; the decisions never see them. Implementations are safe for
// concurrent use.
package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"
)

var (
	// ErrNotSent reports that the request certainly did not reach the upstream.
	ErrNotSent = errors.New("request was not sent to the upstream")
	// ErrLost reports that the upstream failed after it may have started the request.
	ErrLost = errors.New("upstream was lost")
	// ErrUnknownGeneration reports that the upstream does not hold the generation to resume.
	ErrUnknownGeneration = errors.New("upstream does not hold this generation")
	// ErrStaleOrder reports that the engine refused an order with an old fencing token.
	ErrStaleOrder = errors.New("engine refused an old fencing token")
)

// RefusedError is the upstream's own refusal, which proves that the request did not run.
type RefusedError struct {
	Status  int
	Message string
}

// Error returns the upstream's message.
func (e *RefusedError) Error() string { return "upstream refused the request: " + e.Message }

// GenerateRequest starts one generation.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Priority  int    `json:"priority,omitempty"`
}

// Token is one element of a generation. Offset counts from 0. The element with
// Done set carries no text and ends the generation.
type Token struct {
	Generation string
	Offset     int
	Text       string
	Done       bool
	Finish     string
}

// TokenStream delivers the tokens of one generation in order. It is used by one
// goroutine. Close releases the connection; the engine keeps the generation for
// a while so that it can be resumed, until Cancel.
type TokenStream interface {
	// Next blocks for the next token. It returns ErrLost when the connection
	// breaks or stays silent beyond the idle time-out.
	Next() (Token, error)
	Close() error
}

// Report is an engine's load report. Engines report with a lag.
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

// OrderKind names an order to an engine.
type OrderKind string

// The orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderSetRole OrderKind = "role"
)

// Order tells an engine to load or unload a model or to change its role.
type Order struct {
	Kind       OrderKind `json:"kind"`
	Model      string    `json:"model,omitempty"`
	Role       string    `json:"role,omitempty"`
	Fencing    uint64    `json:"fencing"`
	Credential string    `json:"-"`
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
// Events are late and have gaps, so they are hints only.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// Engine is a model engine or an application engine.
type Engine interface {
	Generate(ctx context.Context, address string, request GenerateRequest) (TokenStream, error)
	// Resume continues the generation from the given offset.
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

// PlainResponse is the answer of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Plain is a plain service.
type Plain interface {
	// Call sends the request once. ErrNotSent and *RefusedError prove that it did
	// not run; any other error leaves the outcome unknown.
	Call(ctx context.Context, address string, request PlainRequest) (PlainResponse, error)
	Healthy(ctx context.Context, address string) error
}
