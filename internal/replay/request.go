package replay

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// maxAttempts bounds the attempts of a request whose generations are lost.
const maxAttempts = 3

// retryDelay is the delay between two attempts of a request.
const retryDelay = 50 * time.Millisecond

// status is the state of a request in a run.
type status int

const (
	statusWaiting status = iota
	statusRunning
	statusRetrying
	statusCompleted
	statusFailed
	statusRefused
	statusAbandoned
)

func (s status) isFinal() bool { return s >= statusCompleted }

// request is the state of one arrival during a run.
type request struct {
	arrival      trace.Arrival
	service      trace.Service
	accountIndex int
	priority     int
	arrivedAt    time.Duration
	deadline     time.Duration // 0 when there is none
	finishBy     time.Duration // 0 when there is none
	counted      bool          // false during the warm-up

	status             status
	attempts           int
	currentAttempt     *attempt
	abandoned          bool
	firstTokenAt       time.Duration // offset of the first token of the first generation, 0 before it
	lastTokenAt        time.Duration
	finishedAt         time.Duration
	gapCount, slowGaps int // gaps between tokens, and those above the target
	stall              time.Duration
	// preempted is set from a preemption until the next token.
	preempted               bool
	tokensBeforeLastArrival int // tokens delivered up to the last arrival of the trace
}

// attempt is one dispatch of a request to an upstream under a permit.
type attempt struct {
	request        *request
	permitID       uint64
	engine         *engine
	job            *job
	sentAt         time.Duration
	firstTokenWait time.Duration // time from dispatch to the first token, 0 before it
	lastTokenAt    time.Duration
	// reportedTokens and reportedAt are those of the last progress digest.
	reportedTokens int
	reportedAt     time.Duration
}

// poolRequest converts a request to the form that policies receive.
func (s *simulation) poolRequest(r *request) pool.Request {
	account := s.trace.Header.Accounts[r.accountIndex]
	out := pool.Request{
		ID: r.arrival.ID, Fingerprint: hashString(r.arrival.ID), Service: r.service.Name, Version: "v1",
		Account: account.Name, Weight: account.Share, MaxQueued: account.MaxQueued, Priority: r.priority,
		PromptTokens: r.arrival.PromptTokens, MaxTokens: r.arrival.MaxTokens, PrefixHash: r.arrival.PrefixHash,
	}
	if r.deadline > 0 {
		out.Deadline = virtualEpoch.Add(r.deadline)
	}
	if r.finishBy > 0 {
		out.FinishBy = virtualEpoch.Add(r.finishBy)
	}
	return out
}

// nextProgress returns the entry of the attempt in the next progress digest. Its step
// time covers the tokens since the previous digest.
func (a *attempt) nextProgress(now time.Duration) pool.Progress {
	p := pool.Progress{PermitID: a.permitID, Tokens: a.job.producedTokens, FirstToken: a.firstTokenWait}
	from := a.reportedAt
	tokens := a.job.producedTokens - a.reportedTokens
	if a.reportedTokens == 0 && tokens > 0 {
		// The wait for the first token is not a time between tokens.
		from, tokens = a.sentAt+a.firstTokenWait, tokens-1
	}
	if tokens > 0 {
		p.StepTime = (a.lastTokenAt - from) / time.Duration(tokens)
	}
	if a.job.producedTokens > a.reportedTokens {
		a.reportedTokens, a.reportedAt = a.job.producedTokens, a.lastTokenAt
	}
	return p
}
