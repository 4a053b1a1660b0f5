// Package relay runs the requests of callers: it picks a version and a pool,
// acquires a permit, sends the request to the upstream and delivers the answer.
// It decides what happens when an upstream is lost in the middle.
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
	// bytesPerToken estimates the length of a prompt in tokens.
	bytesPerToken = 4
	// maxAttempts bounds the upstreams that one request is sent to.
	maxAttempts = 4
	// maxLostUpstreams bounds the upstreams that one request may lose: it may be the cause.
	maxLostUpstreams = 2
	// resumeGracePeriod is how long a generation goes on after its caller's connection
	// ended, so that a caller with a cut link can resume it.
	resumeGracePeriod = 2 * time.Second
)

// Pools is the daemon's knowledge of the pools' state. It may be out of date; the
// owner of a pool has the last word. Implementations are safe for concurrent use.
type Pools interface {
	Status(poolName string) (permit.PoolStatus, bool)
}

// Events records the timeline. Implementations are safe for concurrent use.
type Events interface {
	Record(kind, request string, attributes ...string)
}

// Evidence receives the result of each request for rollouts. Implementations are
// safe for concurrent use.
type Evidence interface {
	Observe(o Observation)
	// RecordTokenGap receives each time between two tokens of a stream.
	RecordTokenGap(gap time.Duration)
}

// Observation is the result of one request on one version.
type Observation struct {
	Service     string
	Account     string
	Version     string
	RolloutStep int
	Success     bool
	FirstToken  time.Duration
	MeanStep    time.Duration
}

// Trace records requests. Implementations are safe for concurrent use.
type Trace interface {
	RecordArrival(call *Call, promptTokens int, prefix uint64)
	// RecordEnd tells the number of tokens of a complete answer.
	RecordEnd(request string, tokens int, complete bool)
}

// Budget limits retries. Implementations are safe for concurrent use.
type Budget interface {
	// RecordAttempt counts a first attempt.
	RecordAttempt()
	// AllowRetry reports whether one more attempt is allowed now, and takes it.
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
	// Handover is closed when running streams must move to another host.
	Handover <-chan struct{}
	// MaxWholeAnswerBytes bounds an answer that is held until it is complete.
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

	// attemptID identifies the present attempt towards pools and upstreams. A retry
	// is a new request to them, because the earlier attempt may not have ended there yet.
	attemptID string
}

// beginAttempt gives the attempt, which counts from 1, an identifier of its own.
func (c *Call) beginAttempt(attempt int) {
	c.attemptID = c.RequestID
	if attempt > 1 {
		c.attemptID += "-" + strconv.Itoa(attempt)
	}
}

// fingerprint identifies the content of a request, so that repetitions by the caller are recognised.
func (c *Call) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(c.Account.Name), {0}, []byte(c.Service.Name), {0}, c.Body} {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// target is one upstream that a request holds a permit for.
type target struct {
	heldPermit  *permit.HeldPermit
	pool        entity.Pool
	version     entity.Version
	rolloutStep int // of the rollout in which the version was assigned
	upstream    entity.Upstream
	// fingerprint and promptTokens describe the request, also on a host that only resumes it.
	fingerprint  uint64
	promptTokens int
}

// refusalsProveNotRun reports whether a refusal of the upstream proves that it did
// not run the request. Engines refuse before they start a generation.
func (t target) refusalsProveNotRun() bool {
	return t.pool.Kind != entity.KindPlain || t.pool.RefusalsProveNotRun
}

// acquirePermit gets a permit in one of the pools of the version that the request is routed to.
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
		lastErr = failure.NotRun(failure.NoUpstream, "no data centre with pools of version %s of %s is in service", version.Name, call.Service.Name)
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
	return target{}, failure.NotRun(failure.NoUpstream, "upstream %s left the configuration", held.Permit().Upstream)
}

func promptTokens(call *Call) int { return len(call.Prompt)/bytesPerToken + 1 }

// checkDependencies returns a typed failure that names the first dependency,
// direct or indirect, that is known to have no available upstream.
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

// hasAvailablePool reports whether some pool of the service can take work. A pool whose
// state is unknown counts as available.
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
