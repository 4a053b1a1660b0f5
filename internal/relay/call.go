package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/idempotency"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// CallResult is the response of a plain service. Replayed is set if the response was
// recorded by an earlier call with the same idempotency key.
type CallResult struct {
	Response idempotency.Response
	Replayed bool
}

// CallPlain sends a request to a plain service. A call to a service that is not
// repeatable claims its idempotency key first and runs at most once.
func (r *Relay) CallPlain(ctx context.Context, call *Call) (CallResult, error) {
	r.Events.Record("request-accepted", call.RequestID, "service", call.Service.Name, "account", call.Account.Name)
	if r.Budget != nil {
		r.Budget.RecordAttempt()
	}
	var result CallResult
	var err error
	if call.Service.Repeatable {
		result, err = r.callRepeatable(ctx, call)
	} else {
		result, err = r.callAtMostOnce(ctx, call)
	}
	if err != nil {
		r.Events.Record("request-failed", call.RequestID, "error", string(failure.From(err).Kind()))
		return result, err
	}
	r.Events.Record("request-done", call.RequestID, "status", itoa(result.Response.Status))
	return result, nil
}

func (r *Relay) callRepeatable(ctx context.Context, call *Call) (CallResult, error) {
	var excludedUpstreams []string
	for attempt := 1; ; attempt++ {
		call.beginAttempt(attempt)
		t, err := r.acquirePermit(ctx, call, excludedUpstreams)
		if err != nil {
			return CallResult{}, err
		}
		response, err := r.send(ctx, call, t)
		if err == nil {
			return CallResult{Response: response}, nil
		}
		if attempt >= maxAttempts || ctx.Err() != nil || r.Budget != nil && !r.Budget.AllowRetry() {
			return CallResult{}, callFailure(t, err)
		}
		if !failure.Is(err, failure.DeadlineExceeded) {
			excludedUpstreams = append(excludedUpstreams, t.upstream.Name)
		}
		r.Events.Record("request-retried", call.RequestID, "upstream", t.upstream.Name, "cause", err.Error())
	}
}

// callAtMostOnce claims the idempotency key and sends the call. It retries at another
// upstream only after an error that proves that the call did not run.
func (r *Relay) callAtMostOnce(ctx context.Context, call *Call) (CallResult, error) {
	var excludedUpstreams []string
	for attempt := 1; ; attempt++ {
		call.beginAttempt(attempt)
		t, err := r.acquirePermit(ctx, call, excludedUpstreams)
		if err != nil {
			return CallResult{}, err
		}
		claim, recorded, err := r.Ledger.Claim(ctx, call.Account.Name, call.IdempotencyKey, call.fingerprint())
		if err != nil || recorded != nil {
			t.heldPermit.Release(pool.NeverSent, false)
			if err != nil {
				return CallResult{}, err
			}
			return CallResult{Response: *recorded, Replayed: true}, nil
		}
		r.Events.Record("call-claimed", call.RequestID, "key", call.IdempotencyKey)
		response, err := r.send(ctx, call, t)
		if err == nil {
			r.recordOutcome(ctx, call, claim, response)
			return CallResult{Response: response}, nil
		}
		if !provesNotRun(t, err) {
			return CallResult{}, failure.New(failure.OutcomeUnknown, "upstream %s: %v", t.upstream.Name, err)
		}
		if refuseErr := claim.Refuse(context.WithoutCancel(ctx)); refuseErr != nil {
			return CallResult{}, failure.NotRun(failure.StoreUnavailable, "the call did not run, but its claim could not be released yet: %v", refuseErr)
		}
		if attempt >= maxAttempts || ctx.Err() != nil || r.Budget != nil && !r.Budget.AllowRetry() {
			return CallResult{}, callFailure(t, err)
		}
		if !failure.Is(err, failure.DeadlineExceeded) {
			excludedUpstreams = append(excludedUpstreams, t.upstream.Name)
		}
	}
}

// recordOutcome records the response. The caller gets the response even if the store
// is unavailable; the ledger then retries the write in the background.
func (r *Relay) recordOutcome(ctx context.Context, call *Call, claim *idempotency.Claim, response idempotency.Response) {
	if err := claim.Finish(context.WithoutCancel(ctx), response); err != nil {
		r.Log.Info("call outcome not recorded yet; the ledger retries the write", "request", call.RequestID, "error", err.Error())
		r.Events.Record("call-outcome-delayed", call.RequestID)
	}
}

// send sends the call to the upstream of t once and releases the permit.
func (r *Relay) send(ctx context.Context, call *Call, t target) (idempotency.Response, error) {
	if err := t.heldPermit.MaySend(); err != nil {
		t.heldPermit.Release(pool.NeverSent, false)
		return idempotency.Response{}, err
	}
	r.Events.Record("request-sent", call.RequestID, "upstream", t.upstream.Name)
	// The call is not cancelled when its caller disconnects, because its outcome would then be unknown.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Service.Deadline)
	defer cancel()
	startedAt := time.Now()
	response, err := r.Plain.Call(upstream.WithSendCheck(sendCtx, t.heldPermit.MaySend), t.upstream.Address, upstream.PlainRequest{
		RequestID: call.RequestID, IdempotencyKey: call.IdempotencyKey, Body: call.Body, ContentType: call.ContentType,
	})
	outcome := pool.Completed
	if err != nil {
		outcome = permitOutcome(err)
	}
	t.heldPermit.Release(outcome, false)
	if r.Evidence != nil {
		r.Evidence.Observe(Observation{
			Service: call.Service.Name, Account: call.Account.Name, Version: t.version.Name, RolloutStep: t.rolloutStep,
			Success: err == nil && response.Status < 500, FirstToken: time.Since(startedAt),
		})
	}
	if err != nil {
		return idempotency.Response{}, err
	}
	call.releaseResponse = response.Release
	return idempotency.Response{Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body}, nil
}

// provesNotRun reports whether the error proves that the upstream did not run the
// call. A refusal by a plain service proves it only if the pool is configured with
// refusals-prove-not-run.
func provesNotRun(t target, err error) bool {
	var refused *upstream.RefusedError
	var typed *failure.Error
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return true
	case errors.As(err, &refused):
		return t.refusalsProveNotRun()
	}
	return errors.As(err, &typed) && typed.NotRun()
}

// callFailure maps an error of a call to the failure that the caller receives.
func callFailure(t target, err error) error {
	var typed *failure.Error
	var lost upstreamLostError
	if errors.As(err, &typed) {
		return err
	}
	if err = sendFailure(t, err); errors.As(err, &lost) {
		return failure.New(failure.UpstreamFailed, "%v", err)
	}
	return err
}
