package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/timeline"
)

// suspectTimeout bounds the notification of one peer about suspected requests.
const suspectTimeout = time.Second

// handler serves one peer method.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// typed adapts a function with typed parameters.
func typed[P, R any](f func(context.Context, P) (R, error)) handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, failure.NotRun(failure.InvalidRequest, "parameters: %v", err)
		}
		return f(ctx, params)
	}
}

// handlers returns the methods that this package serves.
func (d *Daemon) handlers() map[string]handler {
	return map[string]handler{
		permit.MethodAcquire:  typed(d.owner.Acquire),
		permit.MethodProgress: typed(d.owner.Progress),
		permit.MethodStatus: typed(func(context.Context, struct{}) (permit.StatusResult, error) {
			return d.owner.Status(), nil
		}),
		permit.MethodSuspect: typed(func(_ context.Context, p permit.SuspectParams) (struct{}, error) {
			d.owner.Suspect(p.Notices)
			return struct{}{}, nil
		}),
		methodEvidence: typed(func(_ context.Context, p evidenceParams) (struct{}, error) {
			d.rollouts.merge(p)
			return struct{}{}, nil
		}),
		methodTimeline: typed(func(_ context.Context, f timeline.Filter) ([]timeline.Event, error) {
			return d.recorder.Read(f), nil
		}),
	}
}

// localCaller serves calls to this daemon's own address without a connection and
// passes all others on. It is safe for concurrent use.
type localCaller struct {
	address string
	remote  permit.Caller

	mu    sync.RWMutex
	local map[string]handler
}

func (c *localCaller) setHandlers(handlers map[string]handler) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = handlers
}

// Call calls the method at the address.
func (c *localCaller) Call(ctx context.Context, address, method string, params, result any) error {
	if address != c.address {
		return c.remote.Call(ctx, address, method, params, result)
	}
	c.mu.RLock()
	handle := c.local[method]
	c.mu.RUnlock()
	if handle == nil {
		return failure.NotRun(failure.NotReady, "method %s is not served yet", method)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := handle(ctx, raw)
	if err != nil || result == nil {
		return err
	}
	if raw, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// notifySuspects tells the other members about suspected requests.
func notifySuspects(ctx context.Context, tracker *membership.Tracker, caller permit.Caller, notices []quarantine.Notice) {
	var calls sync.WaitGroup
	for _, member := range tracker.Snapshot().View.Members {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, suspectTimeout)
			defer cancel()
			// A member that misses the notice learns of the request when it is lost there.
			_ = caller.Call(callCtx, member.PeerAddress, permit.MethodSuspect, permit.SuspectParams{Notices: notices}, nil)
		})
	}
	calls.Wait()
}
