// Package relay runs the requests of callers: it picks a version and a pool,
// acquires a permit, sends the request to the upstream and relays the response.
// It also decides whether a request is resumed, retried or failed after its
// upstream was lost.
package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/idempotency"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/stream"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	// bytesPerToken is the token length by which the tokens of a prompt are estimated.
	bytesPerToken = 4
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxLostUpstreams bounds the upstreams that may be lost while running one request,
	// because the request itself may be what crashes them.
	maxLostUpstreams = 2
	// resumeGracePeriod is how long a generation keeps running after its caller
	// disconnected, so that the caller can reconnect and resume it.
	resumeGracePeriod = 2 * time.Second
)

// Pools returns the last known status of a pool. It may be out of date; only the
// owner of a pool decides on permits. Implementations are safe for concurrent use.
type Pools interface {
	Status(poolName string) (permit.PoolStatus, bool)
}

// Events records timeline events. Implementations are safe for concurrent use.
type Events interface {
	Record(kind, request string, attributes ...string)
}

// Evidence receives request results, from which rollouts are judged. Implementations
// are safe for concurrent use.
type Evidence interface {
	Observe(o Observation)
	// RecordTokenGap records the time between two consecutive tokens of a stream.
	RecordTokenGap(gap time.Duration)
}

// Observation is the result of one request on one version. FirstToken is the time to
// the first token, or to the response of a plain service; MeanStep is the mean time
// between tokens. Both are 0 if unknown.
type Observation struct {
	Service     string
	Account     string
	Version     string
	RolloutStep int
	Success     bool
	FirstToken  time.Duration
	MeanStep    time.Duration
}

// Trace records requests for later replay. Implementations are safe for concurrent use.
type Trace interface {
	RecordArrival(call *Call, promptTokens int, prefix uint64)
	// RecordEnd records the end of a request. tokens is its output length if complete is set.
	RecordEnd(request string, tokens int, complete bool)
}

// Budget limits retries. Implementations are safe for concurrent use.
type Budget interface {
	// RecordAttempt counts the first attempt of a request.
	RecordAttempt()
	// AllowRetry reports whether a retry is allowed now, and counts it if so.
	AllowRetry() bool
}

// Relay runs requests. Its fields are set once before use; its methods are safe
// for concurrent use.
type Relay struct {
	Engine     upstream.Engine
	Plain      upstream.Plain
	Permits    *permit.Client
	Ledger     *idempotency.Ledger
	Config     func() *entity.Configuration
	Pools      Pools
	Signer     *stream.Signer
	Events     Events
	Evidence   Evidence
	Budget     Budget
	Trace      Trace
	Log        logr.Logger
	DataCentre string
	// OtherHosts lists caller addresses of other hosts, best first.
	OtherHosts func() []string
	// Handover is closed when running streams are handed over to other hosts.
	Handover <-chan struct{}
	// MaxWholeAnswerBytes bounds an answer that is buffered until it is complete.
	MaxWholeAnswerBytes int
}

// Call is one request of a caller.
type Call struct {
	RequestID      string
	Account        entity.ClientAccount
	Service        entity.Service
	Body           []byte
	ContentType    string
	Prompt         string
	MaxTokens      int
	FinishBy       time.Time
	AcceptRestart  bool
	IdempotencyKey string

	// attemptID is the request identifier that pools and upstreams see. It differs for
	// each attempt, because an earlier attempt may still be running there.
	attemptID string
	// releaseResponse frees the room of the response; it may be nil.
	releaseResponse func()
}

// End frees what the call holds. It is called once the response has been written.
func (c *Call) End() {
	if c.releaseResponse != nil {
		c.releaseResponse()
	}
}

// beginAttempt sets the identifier of an attempt. Attempts count from 1.
func (c *Call) beginAttempt(attempt int) {
	c.attemptID = c.RequestID
	if attempt > 1 {
		c.attemptID += "-" + strconv.Itoa(attempt)
	}
}

// fingerprint returns a hash of the account, service and body, by which repeated
// requests of a caller are recognised.
func (c *Call) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(c.Account.Name), {0}, []byte(c.Service.Name), {0}, c.Body} {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// target is an upstream together with the permit to send a request to it.
type target struct {
	heldPermit  *permit.HeldPermit
	pool        entity.Pool
	version     entity.Version
	rolloutStep int // step of the rollout that assigned the version, 0 outside a rollout
	upstream    entity.Upstream
	// fingerprint and promptTokens describe the request. A host that resumes it takes
	// them from the resume token, because it has no prompt.
	fingerprint  uint64
	promptTokens int
}

// refusalsProveNotRun reports whether a refusal of the upstream proves that it did
// not run the request. Engines refuse before they start a generation.
func (t target) refusalsProveNotRun() bool {
	return t.pool.Kind != entity.KindPlain || t.pool.RefusalsProveNotRun
}

// acquirePermit picks the version for the call and acquires a permit in one of its
// pools. It tries the next pool if one is full, has no upstream or grants no permit
// before the service's deadline.
func (r *Relay) acquirePermit(ctx context.Context, call *Call, exclude []string) (target, error) {
	conf := r.Config()
	if err := r.checkDependencies(conf, call.Service); err != nil {
		return target{}, err
	}
	version, step, err := r.pickVersion(conf, call.Service, call.fingerprint())
	if err != nil {
		return target{}, err
	}
	var lastErr error
	for _, p := range r.rankPools(conf, version) {
		t, err := r.acquireFromPool(ctx, call, version, p, exclude)
		if err == nil {
			t.rolloutStep = step
			return t, nil
		}
		lastErr = err
		if !failure.Is(err, failure.QueueFull) && !failure.Is(err, failure.NoUpstream) && !failure.Is(err, failure.DeadlineExceeded) || ctx.Err() != nil {
			break
		}
	}
	if lastErr == nil {
		lastErr = failure.NotRun(failure.NoUpstream, "no pool of version %s of service %s is available in a data centre that is in service", version.Name, call.Service.Name)
	}
	return target{}, lastErr
}

func (r *Relay) acquireFromPool(ctx context.Context, call *Call, version entity.Version, p entity.Pool, exclude []string) (target, error) {
	deadline := time.Now().Add(call.Service.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	held, err := r.Permits.Acquire(ctx, p.Name, pool.Request{
		ID: call.attemptID, Fingerprint: call.fingerprint(), Service: call.Service.Name, Version: version.Name, Model: version.Model,
		Account: call.Account.Name, Weight: call.Account.Share, MaxQueued: call.Account.MaxQueued,
		Priority: call.Service.Priority, PromptTokens: promptTokens(call), MaxTokens: call.MaxTokens,
		PrefixHash: upstream.PrefixHash(call.Prompt), Deadline: deadline, FinishBy: call.FinishBy, Exclude: exclude,
	})
	if err != nil {
		return target{}, err
	}
	for _, u := range p.Upstreams {
		if u.Name == held.Permit().Upstream {
			r.Events.Record("permit-granted", call.RequestID, "pool", p.Name, "upstream", u.Name, "version", version.Name)
			return target{
				heldPermit: held, pool: p, version: version, upstream: u,
				fingerprint: call.fingerprint(), promptTokens: promptTokens(call),
			}, nil
		}
	}
	held.Release(pool.NeverSent, false)
	return target{}, failure.NotRun(failure.NoUpstream, "upstream %s is no longer in the configuration", held.Permit().Upstream)
}

// promptTokens estimates the number of tokens of the prompt.
func promptTokens(call *Call) int { return len(call.Prompt)/bytesPerToken + 1 }

// checkDependencies returns a typed failure naming the first direct or indirect
// dependency that is known to have no available upstream.
func (r *Relay) checkDependencies(conf *entity.Configuration, service entity.Service) error {
	seen := map[string]bool{}
	var visit func(s entity.Service) error
	visit = func(s entity.Service) error {
		for _, name := range s.DependsOn {
			if seen[name] {
				continue
			}
			seen[name] = true
			dependency, ok := conf.Service(name)
			if !ok || !r.hasAvailablePool(conf, dependency) {
				return failure.NotRun(failure.DependencyUnavailable, "service %s depends on %s, which has no available upstream", service.Name, name)
			}
			if err := visit(dependency); err != nil {
				return err
			}
		}
		return nil
	}
	return visit(service)
}

// hasAvailablePool reports whether some pool of the service can accept requests. A pool
// whose status is unknown counts as available.
func (r *Relay) hasAvailablePool(conf *entity.Configuration, service entity.Service) bool {
	for _, version := range service.Versions {
		for _, name := range version.Pools {
			p, ok := conf.Pool(name)
			if !ok || conf.DataCentresOut[p.DataCentre] {
				continue
			}
			if status, known := r.Pools.Status(name); !known || status.Available() {
				return true
			}
		}
	}
	return false
}
