package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

const (
	// LeaseMargin is the minimum remaining validity of the owner's lease when an order is sent.
	LeaseMargin = 2 * time.Second
	// sendTimeout bounds the sending of an order. It is shorter than LeaseMargin, so that an
	// engine that ignores fencing tokens receives no order from a former owner.
	sendTimeout = LeaseMargin - 500*time.Millisecond
	// readTimeout bounds one read of an engine's state.
	readTimeout = time.Second
	// readBackInterval is the time between reads of the engine's state after an order.
	readBackInterval = time.Second
	// DefaultReadBackTimeout bounds the wait for the engine's state to reflect an order;
	// loads take minutes.
	DefaultReadBackTimeout = 4 * time.Minute
)

// OwnershipCheck returns an error unless this daemon owns the order's pool in the order's
// epoch and its lease is valid for at least the given time from now, by the monotonic clock.
type OwnershipCheck func(order Order, atLeast time.Duration) error

// EngineClient is the subset of upstream.Engine that the executor uses.
type EngineClient interface {
	ReadLoadReport(ctx context.Context, address string) (upstream.Report, error)
	Order(ctx context.Context, address string, order upstream.Order) error
}

// Result is the outcome of an order, with the engine's state before and after it.
type Result struct {
	Outcome Outcome
	// Err explains every outcome but Done.
	Err error
	// Before and After are the states of the engine, or zero if they were not read.
	Before, After upstream.Report
}

// Executor sends orders to engines, one at a time for each engine. It is safe for
// concurrent use. It needs no closing: its work ends with the contexts given to Execute.
type Executor struct {
	engine          EngineClient
	checkOwnership  OwnershipCheck
	credentials     map[string]string
	readBackTimeout time.Duration

	mu            sync.Mutex
	busyAddresses map[string]bool // addresses of engines with a running order
}

// NewExecutor returns an executor. The credentials are keyed by upstream name; the map is
// not copied and must not change. An order whose effect is not seen within
// readBackTimeout ends as Unknown.
func NewExecutor(engine EngineClient, checkOwnership OwnershipCheck, credentials map[string]string, readBackTimeout time.Duration) *Executor {
	return &Executor{engine: engine, checkOwnership: checkOwnership, credentials: credentials, readBackTimeout: readBackTimeout, busyAddresses: map[string]bool{}}
}

// Execute carries out one order and returns its outcome, or Unknown when the read-back
// times out. It returns NotSent at once if an order for the same engine is running.
func (x *Executor) Execute(ctx context.Context, o Order) Result {
	if !x.acquire(o.Address) {
		return Result{Outcome: NotSent, Err: fmt.Errorf("another order is running on upstream %s", o.Upstream)}
	}
	defer x.release(o.Address)
	before, err := x.readState(ctx, o.Address)
	switch {
	case err != nil:
		return Result{Outcome: NotSent, Err: fmt.Errorf("read the engine state before the order: %w", err)}
	case before.Incarnation != o.Incarnation:
		return Result{Outcome: NotSent, Before: before, Err: fmt.Errorf("upstream %s restarted after the order was decided", o.Upstream)}
	case reflectsOrder(before, o):
		return Result{Outcome: Done, Before: before, After: before}
	}
	// Ownership is checked immediately before the send: reading the state may take long, and
	// the process may have been paused until the lease expired.
	if err := x.checkOwnership(o, LeaseMargin); err != nil {
		return Result{Outcome: NotSent, Before: before, Err: fmt.Errorf("ownership of the pool is not confirmed for another %v: %w", LeaseMargin, err)}
	}
	result := x.send(ctx, o)
	result.Before = before
	return result
}

func (x *Executor) acquire(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busyAddresses[address] {
		return false
	}
	x.busyAddresses[address] = true
	return true
}

func (x *Executor) release(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.busyAddresses, address)
}

func (x *Executor) readState(ctx context.Context, address string) (upstream.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return x.engine.ReadLoadReport(ctx, address)
}

func (x *Executor) send(ctx context.Context, o Order) Result {
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := x.engine.Order(sendCtx, o.Address, upstream.Order{
		Kind: o.Kind, Model: o.Model, Role: o.Role, Fencing: o.Token, Credential: x.credentials[o.Upstream],
	})
	var refused *upstream.RefusedError
	switch {
	case errors.Is(err, upstream.ErrStaleOrder):
		return Result{Outcome: Stale, Err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return Result{Outcome: NotSent, Err: err}
	case errors.As(err, &refused):
		return Result{Outcome: Failed, Err: err}
	}
	return x.awaitEffect(ctx, o, err)
}

// awaitEffect reads the engine's state until it reflects the order or readBackTimeout expires.
// Reports lag and loads take long, so a state without the change is not a failure yet.
func (x *Executor) awaitEffect(ctx context.Context, o Order, sendErr error) Result {
	ctx, cancel := context.WithTimeout(ctx, x.readBackTimeout)
	defer cancel()
	ticker := time.NewTicker(readBackInterval)
	defer ticker.Stop()
	var last upstream.Report
	for {
		after, err := x.readState(ctx, o.Address)
		if err == nil {
			last = after
			if after.Incarnation != o.Incarnation {
				return Result{Outcome: Failed, After: after, Err: fmt.Errorf("upstream %s restarted during the order", o.Upstream)}
			}
			if reflectsOrder(after, o) {
				return Result{Outcome: Done, After: after}
			}
		}
		select {
		case <-ctx.Done():
			return Result{Outcome: Unknown, After: last, Err: errors.Join(fmt.Errorf("the engine state does not reflect the order after %v", x.readBackTimeout), sendErr, err)}
		case <-ticker.C:
		}
	}
}

// reflectsOrder reports whether the engine is in the state that the order asks for.
func reflectsOrder(r upstream.Report, o Order) bool {
	switch o.Kind {
	case upstream.OrderLoad:
		return slices.Contains(r.Models, o.Model)
	case upstream.OrderUnload:
		return !slices.Contains(r.Models, o.Model)
	}
	return r.Role == o.Role
}
