// Package pool keeps the owner's state for one pool of upstreams: the queue of waiting
// requests, the permits granted, the requests running on each upstream and the learned
// models. It does no I/O and reads no clock: every method takes now, so that a recorded
// trace replays to the same decisions. A State is not safe for concurrent use; its
// caller serialises access.
package pool

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Config holds the initial settings of a State.
type Config struct {
	Pool entity.Pool
	// Seed makes each pool spread requests over its upstreams differently.
	Seed uint64
	// KeepDeputyReserve subtracts the deputy's reserve from the owner's limits.
	KeepDeputyReserve bool
	// Deputy makes the State grant only from the reserve.
	Deputy bool
	// PermitTerm is the validity of a permit without progress; 0 means 10 s.
	PermitTerm time.Duration
	// MemoryRisk is the accepted probability that an engine's memory is exceeded; 0 means 5%.
	MemoryRisk float64
	// MaxQueued bounds the requests that wait in the pool; 0 means 16,384.
	MaxQueued int
}

// AdoptedPermit is a running permit that a daemon registers after a change of owner.
type AdoptedPermit struct {
	Permit  Permit
	Request Request
	// Tokens is the number of output tokens so far.
	Tokens int
}

// Request asks for a permit to run one request on some upstream of the pool.
type Request struct {
	ID          string
	Fingerprint uint64
	Service     string
	Version     string
	Account     string
	// Weight is the client account's fair-share weight; Priority runs from 0 (lowest)
	// to 9.
	Weight       float64
	MaxQueued    int
	Priority     int
	PromptTokens int
	// MaxTokens is the caller's upper bound of the output, 0 when unknown.
	MaxTokens  int
	PrefixHash uint64
	// Deadline is the latest time at which starting the request is useful; zero means
	// none.
	Deadline time.Time
	// FinishBy is the time by which the answer is needed; zero means none.
	FinishBy time.Time
	// Model is the model that the request needs; "" for plain services.
	Model string
	// Exclude lists upstreams that the request must not run on.
	Exclude []string
	// Isolated asks that the request run alone on its upstream, because it is
	// suspected of crashing upstreams.
	Isolated bool
}

// Permit allows its holder to run one request on one upstream until Expires.
type Permit struct {
	ID          uint64
	RequestID   string
	Upstream    string
	Incarnation string
	Expires     time.Time
	// Alone is set when nothing else may run on the upstream until the permit ends.
	Alone bool
}

// Progress reports on one running request since the previous report.
type Progress struct {
	PermitID uint64
	// Tokens is the total number of output tokens so far.
	Tokens int
	// StepTime is the mean time between tokens since the previous report, 0 when no token came.
	StepTime time.Duration
	// FirstToken is the time from dispatch to the first token, once known.
	FirstToken time.Duration
}

// Outcome is how a request that held a permit ended.
type Outcome int

const (
	Completed Outcome = iota
	Cancelled
	Failed
	// UpstreamLost means that the upstream failed or was unreachable while the request ran.
	UpstreamLost
	// Refused means that the upstream refused the request without running it.
	Refused
	// NeverSent means that the holder sent nothing to the upstream.
	NeverSent
)

// Report is an upstream's own load report, which may arrive late.
type Report struct {
	Upstream     string
	Incarnation  string
	Cold         bool
	Leaving      bool
	Running      int
	MemoryTokens int
	// Models lists the loaded models; empty means that the upstream takes any model.
	Models []string
	// Age is how old the report was when it was received.
	Age time.Duration
}

// Command is a decision that the caller of State must carry out: Grant, Refuse or CancelAtUpstream.
type Command interface{ command() }

// Grant gives a permit to the requester. GrantedAt is the time of the first grant, also
// when the grant is repeated to a requester that asks again.
type Grant struct {
	Permit    Permit
	GrantedAt time.Time
}

// Reason is why a request was refused.
type Reason string

// Reasons for a refusal. Each of them means that the request did not run.
const (
	ReasonQueueFull   Reason = "queue-full"
	ReasonDeadline    Reason = "deadline-exceeded"
	ReasonNoUpstream  Reason = "no-upstream"
	ReasonQuarantined Reason = "quarantined"
	ReasonNeverFits   Reason = "never-fits"
	ReasonNotOwner    Reason = "not-owner"
)

// Refuse answers a request that gets no permit.
type Refuse struct {
	RequestID  string
	Reason     Reason
	RetryAfter time.Duration
}

// CancelAtUpstream asks the caller to cancel a request whose permit expired; the
// slot is reused only after ConfirmCancelled.
type CancelAtUpstream struct {
	PermitID  uint64
	RequestID string
	Upstream  string
}

func (Grant) command()            {}
func (Refuse) command()           {}
func (CancelAtUpstream) command() {}

// CacheEvent is a hint that a prompt prefix entered or left an upstream's cache.
type CacheEvent struct {
	Prefix  uint64
	Evicted bool
}
