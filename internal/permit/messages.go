// Package permit connects the pure state of a pool's owner with the daemons that
// ask for permits: Client is the side of the daemon that relays a request, Owner
// the side of the daemon that grants.
package permit

import (
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
)

// The peer methods of this package.
const (
	MethodAcquire  = "pool.acquire"
	MethodProgress = "pool.progress"
	MethodStatus   = "pool.status"
	MethodSuspect  = "suspect.notify"
)

// Role tells which part of an upstream's limit a daemon grants from.
type Role string

// The roles of a member for a pool.
const (
	RoleOwner  Role = "owner"
	RoleDeputy Role = "deputy"
)

// AcquireParams asks for a permit. The call is repeated with the same request
// until it is answered with a permit or a refusal; the request keeps its place in the queue.
type AcquireParams struct {
	Pool    string       `json:"pool"`
	Role    Role         `json:"role"`
	Holder  string       `json:"holder"`
	Request pool.Request `json:"request"`
	// Wait is how long the owner may hold the call before it answers "waiting".
	Wait time.Duration `json:"wait"`
}

// AcquireResult answers AcquireParams. Neither field is set while the request waits.
type AcquireResult struct {
	Permit  *pool.Permit `json:"permit,omitempty"`
	Refusal *Refusal     `json:"refusal,omitempty"`
	// Waited is the time from the receipt of the call to the grant; it is negative
	// when the grant was made before the call, because an earlier answer was lost.
	Waited time.Duration `json:"waited,omitempty"`

	grantedAt time.Time // of Permit; the owner derives Waited from it
}

// Refusal tells why a request gets no permit.
type Refusal struct {
	Reason     pool.Reason   `json:"reason"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// RunningRequest describes one request that holds a permit. It is complete, so that a
// new owner can adopt it.
type RunningRequest struct {
	Permit       pool.Permit   `json:"permit"`
	Fingerprint  uint64        `json:"fingerprint"`
	Service      string        `json:"service"`
	Version      string        `json:"version"`
	Account      string        `json:"account"`
	PromptTokens int           `json:"prompt_tokens"`
	Progress     pool.Progress `json:"progress"`
}

// FinishedRequest tells how a request that held a permit ended.
type FinishedRequest struct {
	PermitID uint64       `json:"permit_id"`
	Upstream string       `json:"upstream"`
	Outcome  pool.Outcome `json:"outcome"`
	Tokens   int          `json:"tokens"`
	// Cancel asks the owner to cancel the request at the upstream, unless another
	// host has resumed the stream since.
	Cancel bool `json:"cancel,omitempty"`
}

// ProgressParams is the digest that a holder sends to the owner of a pool. The
// regular digest lists every permit that the holder has of that pool; one that is
// sent because a request ended or a stream was adopted lists only those.
type ProgressParams struct {
	Pool     string            `json:"pool"`
	Role     Role              `json:"role"`
	Holder   string            `json:"holder"`
	Running  []RunningRequest  `json:"running"`
	Finished []FinishedRequest `json:"finished"`
}

// UpstreamStatus is the owner's view of one upstream.
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

// PoolStatus is the owner's view of a pool.
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

// HasModel reports whether an upstream that can take work has loaded the model.
func (s PoolStatus) HasModel(model string) bool {
	for _, u := range s.Upstreams {
		if u.Reachable && !u.Leaving && (model == "" || len(u.Models) == 0 || slices.Contains(u.Models, model)) {
			return true
		}
	}
	return false
}

// FreeSlots returns the number of requests that the pool could start now.
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

// SuspectParams tells all daemons about requests suspected of crashing upstreams.
type SuspectParams struct {
	Notices []quarantine.Notice `json:"notices"`
}
