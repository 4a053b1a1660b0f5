// Package replay runs a recorded trace against a scheduling policy on virtual
// time. It models the engines only: batching, memory, prefix cache, cold state and
// delayed reports. A run is deterministic for a trace, a policy and a seed. Nothing
// in the package reads the wall clock, and a simulation starts no goroutine.
package replay

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// Decider makes the scheduling decisions for upstreams. Its methods are those of
// pool.State, so that replay exercises the code that the daemon runs. A Decider
// is not safe for concurrent use.
type Decider interface {
	Acquire(now time.Time, request pool.Request)
	Progress(now time.Time, progress []pool.Progress)
	Release(now time.Time, permitID uint64, outcome pool.Outcome, tokens int)
	Report(now time.Time, report pool.Report)
	Lose(now time.Time, upstream string)
	SetPool(now time.Time, p entity.Pool, dataCentreOut bool)
	ConfirmCancelled(now time.Time, permitID uint64)
	Decide(now time.Time) []pool.Command
}

// CacheObserver is implemented by policies that use the engines' cache events.
type CacheObserver interface {
	CacheEvents(now time.Time, upstream string, events ...pool.CacheEvent)
}

// Abandoner is implemented by policies that can drop a waiting request. For other
// policies the permit of an abandoned request is released when it is granted.
type Abandoner interface {
	Abandon(now time.Time, requestID string)
}

// Policy schedules the requests of a whole trace across all pools.
// SetPool is called once for each pool before the first request.
type Policy interface{ Decider }

// PolicyFactory creates a policy for one run.
type PolicyFactory func(t *trace.Trace, seed uint64) Policy

// DeciderFactory creates the Decider of one pool.
type DeciderFactory func(p entity.Pool, seed uint64) Decider

// virtualEpoch is the time of offset 0 of a trace. It differs from the zero time, which
// stands for a time that is not set.
var virtualEpoch = time.Unix(1_000_000_000, 0).UTC()

// poolEntity converts a pool of a trace to the entity that policies receive.
func poolEntity(p trace.Pool) entity.Pool {
	out := entity.Pool{
		Name: p.Name, Kind: entity.KindEngine, DataCentre: p.DataCentre, Fencing: entity.FencingRefusesOld,
		Limits: entity.Limits{
			ColdRequests: p.Limits.ColdRequests, MaxRequests: p.Limits.MaxRequests,
			MemoryTokens: p.Limits.MemoryTokens, TargetStep: p.Limits.TargetStep(),
		},
	}
	for _, u := range p.Upstreams {
		out.Upstreams = append(out.Upstreams, entity.Upstream{Name: u.Name, Pool: p.Name})
	}
	return out
}
