// Package gateway serves callers in front of the upstreams of a catalog: it selects the
// route, authenticates the account, chooses an upstream, forwards the request and relays
// the response. If a response cannot be completed, the connection is closed so that the
// caller detects the truncation. Streams migrate to another engine when theirs leaves.
//
// The request path waits for no remote service other than the upstream itself: it reads
// an immutable catalog and the host's own record of loads.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/migration"
	"github.com/rattanscale/rattanscale/internal/promptparts"
)

// RequestInfo holds what the caller's headers state.
type RequestInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Deadline is the time that the caller waits; 0 is unknown.
	Deadline time.Duration
	// Key is the API key.
	Key string
	// PromptTokens and MaxOutputTokens are the size of a generation; 0 for other
	// requests.
	PromptTokens, MaxOutputTokens int
	// LengthHint is the caller's estimate of the number of output tokens; 0 is unknown.
	LengthHint int
	// ResumeAfter is the identifier of the last event that the caller has received; ""
	// starts from the beginning.
	ResumeAfter string
	// SharedParts are the parts of the prompt that other requests may share.
	SharedParts []promptparts.Part
}

// Dispatch holds the parameters of one request to an upstream.
type Dispatch struct {
	Upstream *catalog.Upstream
	Account  string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// ResumeAfter replaces the caller's last event; "" keeps it.
	ResumeAfter string
	// Priority tells the engine which requests go first.
	Priority catalog.Priority
	// CopyName identifies a copy of the run's memory from which the request continues;
	// "" starts a new run.
	CopyName string
}

// ResponseInfo holds what the upstream's headers state.
type ResponseInfo struct {
	// ID identifies the request that the response belongs to; "" is unknown.
	ID string
	// Signed is set if the response comes from an upstream that ran the request.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Leaving is set if the upstream states that it is about to leave.
	Leaving bool
	// BackOff is the time for which an upstream that did not run the request wants no others;
	// 0 is none. InvalidBackOff is the start of a value that could not be read.
	BackOff        time.Duration
	InvalidBackOff string
	// RequestLimit is the number of requests per second that the upstream takes from all hosts
	// together; negative if it states no limit, nil if that is not known. InvalidLimit is the
	// start of a value that could not be read.
	RequestLimit *float64
	InvalidLimit string
}

// Protocol translates between the platform's headers and the gateway. Its methods are
// pure.
type Protocol interface {
	Request(h http.Header) RequestInfo
	// Forward returns the headers for an upstream, without those that apply only to the
	// caller's connection or that only the gateway may set.
	Forward(h http.Header, d Dispatch) http.Header
	Response(status int, h http.Header) ResponseInfo
	// RetryAfter sets the header that states when a refused caller may retry.
	RetryAfter(h http.Header, after time.Duration)
}

// ErrNoRoom reports that the destination of a copy has no free memory for it or cannot
// be reached.
var ErrNoRoom = errors.New("the destination has no room for the copy")

// ErrRunNotStopped reports that the engine refused the final copy of a run and continues
// to run it.
var ErrRunNotStopped = errors.New("the engine refused the copy and did not stop the run")

// ErrNoSuchRun reports that the engine does not have the run. It wraps ErrRunNotStopped: the run
// may have completed.
var ErrNoSuchRun = fmt.Errorf("%w: it has no such run", ErrRunNotStopped)

// CopyResult is the result of copying a run to another engine.
type CopyResult struct {
	// Handle identifies the copy at the source.
	Handle string
}

// CopyScheduler allows one copy at a time on each engine's link.
type CopyScheduler interface {
	// Acquire waits for a grant to copy. It returns the grant and a function that releases
	// it, or false if no grant was given in time.
	Acquire(ctx context.Context, dataCentre string, r migration.CopyRequest) (migration.CopyGrant, func(), bool)
}

// Engines controls running requests on model engines.
type Engines interface {
	// Copy copies the memory of a run to another engine. If final is set, the run is
	// stopped before the copy. It returns ErrNoSuchRun if the engine does not have the run.
	Copy(ctx context.Context, source, run, destination string, final bool) (CopyResult, error)
	// Leaving asks an engine whether it is about to leave.
	Leaving(ctx context.Context, engine string) (bool, error)
	// CopyName returns the name by which a request continues from a copy.
	CopyName(source, handle string) string
	// Release frees a copy.
	Release(ctx context.Context, source, handle string) error
}
