// Package permit implements the calls by which a daemon obtains permits to send
// requests to the upstreams of a pool. Client runs in the daemon that relays a request
// (the holder of its permit), Owner in the daemon that grants. The decisions
// themselves are made by pool.State.
package permit

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
)

// Names of the peer methods.
const (
	MethodAcquire  = "pool.acquire"
	MethodProgress = "pool.progress"
	MethodStatus   = "pool.status"
	MethodSuspect  = "suspect.notify"
)

// Role is the part that a daemon has in a pool. The owner grants from an upstream's
// limit except for a reserve, from which the deputy grants.
type Role string

const (
	RoleOwner  Role = "owner"
	RoleDeputy Role = "deputy"
)

// AcquireParams asks for a permit. The caller repeats the call with the same request
// until the answer is a permit or a refusal; meanwhile the request keeps its position
// in the queue.
type AcquireParams struct {
	Pool    string       `json:"pool"`
	Role    Role         `json:"role"`
	Holder  string       `json:"holder"`
	Request pool.Request `json:"request"`
	// Wait is how long the owner may wait for a grant or a refusal before it answers
	// without one.
	Wait time.Duration `json:"wait"`
}

// AcquireResult answers AcquireParams. Permit and Refusal are both nil while the
// request waits.
type AcquireResult struct {
	Permit  *pool.Permit `json:"permit,omitempty"`
	Refusal *Refusal     `json:"refusal,omitempty"`
	// Waited is the time from the receipt of the call to the grant. It is negative when
	// the permit was granted to an earlier call whose answer was lost.
	Waited time.Duration `json:"waited,omitempty"`

	grantedAt time.Time // time of the grant, from which the owner computes Waited
}

// Refusal states why a request gets no permit.
type Refusal struct {
	Reason     pool.Reason   `json:"reason"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// RunningRequest describes one request that holds a permit. It contains all that a new
// owner needs to adopt the request.
type RunningRequest struct {
	Permit       pool.Permit   `json:"permit"`
	Fingerprint  uint64        `json:"fingerprint"`
	Service      string        `json:"service"`
	Version      string        `json:"version"`
	Account      string        `json:"account"`
	PromptTokens int           `json:"prompt_tokens"`
	Progress     pool.Progress `json:"progress"`
}

// FinishedRequest reports how a request that held a permit ended.
type FinishedRequest struct {
	PermitID uint64       `json:"permit_id"`
	Upstream string       `json:"upstream"`
	Outcome  pool.Outcome `json:"outcome"`
	Tokens   int          `json:"tokens"`
	// Cancel asks the owner to cancel the request at the upstream unless another
	// host has resumed the stream.
	Cancel bool `json:"cancel,omitempty"`
}

// ProgressParams is the progress digest that a holder sends to the owner or deputy of
// a pool. The regular digest lists every permit that the holder has from it; a digest
// that is sent because a request ended or a stream was adopted lists only those.
type ProgressParams struct {
	Pool     string            `json:"pool"`
	Role     Role              `json:"role"`
	Holder   string            `json:"holder"`
	Running  []RunningRequest  `json:"running"`
	Finished []FinishedRequest `json:"finished"`
}

// UpstreamStatus is the state of one upstream as its owner knows it.
type UpstreamStatus struct {
	Name        string        `json:"name"`
	Incarnation string        `json:"incarnation"`
	Reachable   bool          `json:"reachable"`
	Cold        bool          `json:"cold"`
	Leaving     bool          `json:"leaving"`
	Running     int           `json:"running"`
	Limit       int           `json:"limit"`
	Step        time.Duration `json:"step"`
	Models      []string      `json:"models,omitempty"`
}

// PoolStatus is the state of a pool as its owner knows it.
type PoolStatus struct {
	Pool      string           `json:"pool"`
	Owner     string           `json:"owner"`
	Queued    int              `json:"queued"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// Available reports whether any upstream of the pool can take work.
func (s PoolStatus) Available() bool {
	for _, u := range s.Upstreams {
		if u.Reachable && !u.Leaving {
			return true
		}
	}
	return false
}

// HasModel reports whether an upstream that can take work serves the model. An empty
// model, and an upstream that lists no models, match any.
func (s PoolStatus) HasModel(model string) bool {
	for _, u := range s.Upstreams {
		if u.Reachable && !u.Leaving && (model == "" || len(u.Models) == 0 || slices.Contains(u.Models, model)) {
			return true
		}
	}
	return false
}

// FreeSlots returns the number of further requests that the pool's upstreams could run now.
func (s PoolStatus) FreeSlots() int {
	free := 0
	for _, u := range s.Upstreams {
		if u.Reachable && !u.Leaving {
			free += max(0, u.Limit-u.Running)
		}
	}
	return free
}

// StatusResult lists the pools that the answering daemon owns.
type StatusResult struct {
	Pools []PoolStatus `json:"pools"`
}

// SuspectParams reports requests that are suspected of crashing upstreams. It is sent
// to all daemons.
type SuspectParams struct {
	Notices []quarantine.Notice `json:"notices"`
}
