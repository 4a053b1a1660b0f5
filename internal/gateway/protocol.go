// Package gateway serves callers in front of a catalog of upstreams: it selects
// the route, authenticates the account, chooses an upstream, forwards the request
// and relays the answer whole or visibly cut. Streams move to another engine when
// theirs leaves.
//
// The request path waits for nothing remote but the upstream itself: it reads an
// immutable catalog and the host's own view of loads.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/migration"
)

// RequestInfo is what a caller's headers say.
type RequestInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Deadline is how long the caller waits; 0 is unknown.
	Deadline time.Duration
	Key      string
	// PromptTokens and MaxOutputTokens size a generation; 0 for others.
	PromptTokens, MaxOutputTokens int
	// LengthHint is the caller's estimate of the output tokens; 0 is unknown.
	LengthHint int
	// ResumeAfter is the last event that the caller has, "" from the start.
	ResumeAfter string
}

// Dispatch is one request to an upstream.
type Dispatch struct {
	Upstream  *catalog.Upstream
	Account   string
	Remaining time.Duration
	// ResumeAfter replaces the caller's last event; "" keeps it.
	ResumeAfter string
	// CopyName names a copy of the run's memory from which the request goes on.
	CopyName string
	// Urgency ranks the request in the engine's queue.
	Urgency int
}

// ResponseInfo is what an upstream's headers say.
type ResponseInfo struct {
	// ID is the attempt that the answer belongs to; "" is unknown.
	ID string
	// Signed is set if the answer comes from an upstream that ran the request.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
}

// Protocol translates headers. Its methods are pure.
type Protocol interface {
	Request(h http.Header) RequestInfo
	// Forward returns the headers for an upstream, without those that concern
	// only the caller's connection or that are the system's to set.
	Forward(h http.Header, d Dispatch) http.Header
	Response(status int, h http.Header) ResponseInfo
	// RetryAfter states when a refused request is worth another try.
	RetryAfter(h http.Header, after time.Duration)
}

// ErrNoRoom reports that the destination of a copy has no room or is not reached.
var ErrNoRoom = errors.New("the destination has no room for the copy")

// ErrRunNotStopped reports that the engine refused the last copy of a run, which goes on.
var ErrRunNotStopped = errors.New("the engine refused the copy and did not stop the run")

// CopyResult is the result of copying a run to another engine.
type CopyResult struct {
	// Handle names the copy.
	Handle string
}

// CopyScheduler gives links between engines to one copy at a time.
type CopyScheduler interface {
	// Acquire waits for a turn and returns how to give it back; false means that there was none.
	Acquire(ctx context.Context, dataCentre string, r migration.CopyRequest) (migration.CopyGrant, func(), bool)
}

// Engines controls running requests of model engines.
type Engines interface {
	// Copy copies the memory of a run to another engine. With last, the run stops first.
	Copy(ctx context.Context, source, run, destination string, last bool) (CopyResult, error)
	// Leaving asks an engine whether it is about to leave.
	Leaving(ctx context.Context, engine string) (bool, error)
	// CopyName returns the name under which a request goes on from a copy.
	CopyName(source, handle string) string
	// Release frees a copy.
	Release(ctx context.Context, source, handle string) error
}
