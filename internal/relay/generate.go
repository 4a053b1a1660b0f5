package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/stream"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// resumeDelays are the delays before each try to resume a generation at its own engine.
// The first try has no delay: if the engine has restarted cold, only a failed try shows
// this to the pool's owner, which until then grants permits up to the limit of a warm
// engine.
var resumeDelays = []time.Duration{0, 300 * time.Millisecond, time.Second}

// cancelTimeout bounds the cancellation of a lost run: callers wait for it, also if the engine is
// frozen.
const cancelTimeout = 500 * time.Millisecond

// errHandover ends a stream that the caller resumes at another host.
var errHandover = errors.New("stream was handed over")

var errCallerDisconnected = errors.New("caller disconnected")

// generateCall runs the attempts of one request and relays their tokens to the caller.
// It is used by one goroutine.
type generateCall struct {
	relay               *Relay
	call                *Call
	sink                sink
	tokensDelivered     bool   // tokens of the current generation were written to the caller
	announcedGeneration string // generation of the latest start event
	excludedUpstreams   []string
	outputTokens        int // number of tokens of the complete answer
	lostUpstreams       int // upstreams lost while they ran this request
}

// Generate runs a request at an engine and writes the events of its stream. It returns
// an error only if nothing was written; later failures are written as an error event.
func (r *Relay) Generate(ctx context.Context, call *Call, w *stream.Writer) error {
	g := &generateCall{relay: r, call: call, sink: newSink(call, w, r.MaxWholeAnswerBytes)}
	r.Events.Record("request-accepted", call.RequestID, "service", call.Service.Name, "account", call.Account.Name)
	if r.Budget != nil {
		r.Budget.RecordAttempt()
	}
	if r.Trace != nil {
		r.Trace.RecordArrival(call, promptTokens(call), upstream.PrefixHash(call.Prompt))
		defer func() { r.Trace.RecordEnd(call.RequestID, g.outputTokens, g.outputTokens > 0) }()
	}
	err := g.runAttempts(ctx)
	switch {
	case err == nil, errors.Is(err, errHandover), errors.Is(err, errCallerDisconnected):
		return nil
	}
	err = g.callerFailure(err)
	r.Events.Record("request-failed", call.RequestID, "error", string(failure.From(err).Kind()))
	if !w.Started() {
		return err
	}
	_ = w.WriteEvent(stream.EventError, failure.From(err).Body(call.RequestID))
	return nil
}

func (g *generateCall) runAttempts(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		g.call.beginAttempt(attempt)
		t, err := g.relay.acquirePermit(ctx, g.call, g.excludedUpstreams)
		if err != nil {
			return err
		}
		err = g.runAttempt(ctx, t)
		if err == nil || !g.mayRetry(ctx, err, attempt) {
			return err
		}
		g.stopLostRun(ctx, t, err)
		if !failure.Is(err, failure.DeadlineExceeded) { // an expired permit says nothing about the upstream
			g.excludedUpstreams = append(g.excludedUpstreams, t.upstream.Name)
		}
		g.relay.Events.Record("request-retried", g.call.RequestID, "upstream", t.upstream.Name, "cause", err.Error())
	}
}

// stopLostRun cancels the request at an upstream that was lost while it may have run it, before
// another one runs it: only the connection may have been lost. An upstream that does not answer
// the call counts as unreachable.
func (g *generateCall) stopLostRun(ctx context.Context, t target, cause error) {
	var lost upstreamLostError
	if !errors.As(cause, &lost) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if err := g.relay.Engine.Cancel(ctx, t.upstream.Address, g.call.attemptID); err != nil {
		g.relay.Log.Info("lost upstream did not answer the cancellation", "request", g.call.RequestID, "upstream", t.upstream.Name, "error", err.Error())
	}
}

// runAttempt sends the request to one upstream and relays its tokens.
func (g *generateCall) runAttempt(ctx context.Context, t target) error {
	if err := t.heldPermit.MaySend(); err != nil {
		t.heldPermit.Release(pool.NeverSent, false)
		return err
	}
	g.relay.Events.Record("request-sent", g.call.RequestID, "upstream", t.upstream.Name, "incarnation", t.heldPermit.Permit().Incarnation)
	// A disconnect of the caller does not end the request here, because the caller may resume
	// it; handleDisconnect cancels it after resumeGracePeriod.
	upstreamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tokens, err := g.relay.Engine.Generate(upstream.WithSendCheck(upstreamCtx, t.heldPermit.MaySend), t.upstream.Address, upstream.GenerateRequest{
		RequestID: g.call.attemptID, Model: t.version.Model, Prompt: g.call.Prompt,
		MaxTokens: g.call.MaxTokens, Priority: g.call.Service.Priority,
	})
	if err != nil {
		if outcome := permitOutcome(err); outcome == pool.UpstreamLost {
			t.heldPermit.ReleaseAfterUpstreamLoss(ctx)
		} else {
			t.heldPermit.Release(outcome, false)
		}
		g.recordObservation(t, false)
		return sendFailure(t, err)
	}
	return g.relayTokens(ctx, upstreamCtx, t, tokens, 0)
}

// relayTokens delivers the tokens from nextOffset on until the generation ends. It
// closes the token stream and releases the permit, except after a handover.
func (g *generateCall) relayTokens(ctx, upstreamCtx context.Context, t target, tokens upstream.TokenStream, nextOffset int) error {
	defer func() { _ = tokens.Close() }()
	for {
		token, err := tokens.Next()
		if err != nil {
			resumed, err := g.resumeUpstream(ctx, upstreamCtx, t, nextOffset, err)
			switch {
			case errors.Is(err, errCallerDisconnected): // the upstream is not at fault
				return g.handleDisconnect(t)
			case err != nil:
				t.heldPermit.ReleaseAfterUpstreamLoss(ctx)
				g.recordObservation(t, false)
				return err
			}
			_ = tokens.Close()
			tokens = resumed
			continue
		}
		if err := g.announceGeneration(t, token.Generation); err != nil {
			return g.handleDisconnect(t)
		}
		if token.Done {
			return g.finishGeneration(t, token, nextOffset)
		}
		if gap := t.heldPermit.RecordToken(); gap > 0 && g.relay.Evidence != nil {
			g.relay.Evidence.RecordTokenGap(gap)
		}
		if nextOffset == 0 {
			g.relay.Events.Record("token-first", g.call.RequestID, "upstream", t.upstream.Name, "generation", token.Generation)
		}
		nextOffset = token.Offset + 1
		if err := g.sink.token(stream.EventID{Generation: token.Generation, Offset: token.Offset}, token.Text); err != nil {
			if failure.Is(err, failure.BodyTooLarge) {
				t.heldPermit.Release(pool.Cancelled, true)
				return err
			}
			return g.handleDisconnect(t)
		}
		g.tokensDelivered = g.tokensDelivered || !g.sink.buffered()
		select {
		case <-ctx.Done():
			return g.handleDisconnect(t)
		case <-g.relay.Handover:
			return g.handOver(t, token.Generation, nextOffset)
		default:
		}
	}
}

// announceGeneration writes the start event of a generation before its first token.
func (g *generateCall) announceGeneration(t target, generation string) error {
	if generation == g.announcedGeneration {
		return nil
	}
	g.announcedGeneration = generation
	return g.sink.start(stream.StartData{
		Request: g.call.RequestID, Generation: generation, ResumeToken: g.relay.Signer.Sign(g.resumeToken(t, generation, 0)),
	})
}

func (g *generateCall) resumeToken(t target, generation string, offset int) stream.ResumeToken {
	p := t.heldPermit.Permit()
	return stream.ResumeToken{
		Request: g.call.RequestID, Attempt: g.call.attemptID, Account: g.call.Account.Name, Service: g.call.Service.Name, Version: t.version.Name,
		Pool: t.pool.Name, Upstream: t.upstream.Name, Address: t.upstream.Address, Incarnation: p.Incarnation,
		Generation: generation, Offset: offset, Permit: p.ID, Fingerprint: t.fingerprint, PromptTokens: t.promptTokens,
	}
}

func (g *generateCall) finishGeneration(t target, token upstream.Token, tokenCount int) error {
	err := g.sink.done(stream.DoneData{Generation: token.Generation, Tokens: tokenCount, Finish: token.Finish})
	t.heldPermit.Release(pool.Completed, false)
	g.recordObservation(t, true)
	g.outputTokens = tokenCount
	if err != nil {
		g.relay.Events.Record("caller-gone", g.call.RequestID)
		return errCallerDisconnected
	}
	g.relay.Events.Record("request-done", g.call.RequestID, "tokens", itoa(tokenCount), "generation", token.Generation)
	return nil
}

// handleDisconnect keeps the generation for resumeGracePeriod and then cancels it.
func (g *generateCall) handleDisconnect(t target) error {
	g.relay.Events.Record("caller-gone", g.call.RequestID)
	held := t.heldPermit
	time.AfterFunc(resumeGracePeriod, func() { held.Release(pool.Cancelled, true) })
	return errCallerDisconnected
}

// handOver tells the caller to resume at another host, which adopts the permit. A caller
// that waits for a whole answer has no token yet, so it resumes at offset 0.
func (g *generateCall) handOver(t target, generation string, nextOffset int) error {
	if g.sink.buffered() {
		nextOffset = 0
	}
	g.relay.Events.Record("stream-handover", g.call.RequestID, "offset", itoa(nextOffset))
	t.heldPermit.Detach()
	resumeToken := g.relay.Signer.Sign(g.resumeToken(t, generation, nextOffset))
	if g.sink.buffered() {
		start := stream.StartData{Request: g.call.RequestID, Generation: generation, ResumeToken: resumeToken}
		if err := g.sink.event(stream.EventStart, start); err != nil {
			return errCallerDisconnected
		}
	}
	err := g.sink.event(stream.EventHandover, stream.HandoverData{ResumeToken: resumeToken, Hosts: g.relay.OtherHosts()})
	if err != nil {
		return errCallerDisconnected
	}
	return errHandover
}

// resumeUpstream continues the generation at the same engine after the connection
// broke. It returns an upstreamLostError if the engine no longer holds the generation
// or every try fails; mayRetry then applies the delivery mode of the service.
func (g *generateCall) resumeUpstream(ctx, upstreamCtx context.Context, t target, nextOffset int, cause error) (upstream.TokenStream, error) {
	for _, delay := range resumeDelays {
		if g.announcedGeneration == "" || errors.Is(cause, upstream.ErrUnknownGeneration) {
			break // no generation has started, or the engine does not hold it
		}
		if !sleep(ctx, delay) {
			return nil, errCallerDisconnected
		}
		tokens, err := g.relay.Engine.Resume(upstreamCtx, t.upstream.Address, g.call.attemptID, g.announcedGeneration, nextOffset)
		if err == nil {
			g.relay.Events.Record("stream-resumed", g.call.RequestID, "upstream", t.upstream.Name, "offset", itoa(nextOffset))
			return tokens, nil
		}
		cause = err
	}
	g.relay.Events.Record("upstream-lost", g.call.RequestID, "upstream", t.upstream.Name, "offset", itoa(nextOffset))
	return nil, upstreamLostError{cause: cause, upstream: t.upstream.Name}
}

// upstreamLostError reports that the upstream was lost after it may have started the request.
type upstreamLostError struct {
	cause    error
	upstream string
}

func (e upstreamLostError) Error() string {
	return "upstream " + e.upstream + " was lost: " + e.cause.Error()
}
func (e upstreamLostError) Unwrap() error { return e.cause }

// callerFailure maps a lost upstream to the failure that the caller receives.
func (g *generateCall) callerFailure(err error) error {
	var lost upstreamLostError
	if !errors.As(err, &lost) {
		return err
	}
	if g.tokensDelivered {
		return failure.New(failure.GenerationLost, "%v", err)
	}
	return failure.New(failure.UpstreamFailed, "%v", err)
}

// mayRetry reports whether the request may be sent to another upstream after err. If
// so, it announces a restart to the sink, so that the tokens of two generations are
// never joined.
func (g *generateCall) mayRetry(ctx context.Context, err error, attempt int) bool {
	if ctx.Err() != nil || attempt >= maxAttempts || errors.Is(err, errCallerDisconnected) || errors.Is(err, errHandover) {
		return false
	}
	var lost upstreamLostError
	mayHaveRun := errors.As(err, &lost)
	if !mayHaveRun && !failure.From(err).NotRun() {
		return false
	}
	if mayHaveRun {
		g.lostUpstreams++
	}
	if mayHaveRun && (!g.call.Service.Repeatable || g.lostUpstreams >= maxLostUpstreams) {
		return false
	}
	if g.tokensDelivered && !(g.call.Service.Delivery == entity.DeliverRestart && g.call.AcceptRestart) {
		return false
	}
	if g.relay.Budget != nil && !g.relay.Budget.AllowRetry() {
		return false
	}
	if g.announcedGeneration != "" {
		if g.sink.restart(stream.RestartData{Voided: g.announcedGeneration}) != nil {
			return false
		}
		g.relay.Events.Record("stream-restart", g.call.RequestID, "voided", g.announcedGeneration)
		g.tokensDelivered, g.announcedGeneration = false, ""
	}
	return true
}

func (g *generateCall) recordObservation(t target, success bool) {
	if g.relay.Evidence == nil {
		return
	}
	first, step := t.heldPermit.TokenTimings()
	g.relay.Evidence.Observe(Observation{
		Service: g.call.Service.Name, Account: g.call.Account.Name, Version: t.version.Name, RolloutStep: t.rolloutStep,
		Success: success, FirstToken: first, MeanStep: step,
	})
}

// permitOutcome maps a send error to the permit outcome that the pool's owner receives.
func permitOutcome(err error) pool.Outcome {
	var refused *upstream.RefusedError
	switch {
	case errors.As(err, &refused):
		return pool.Refused
	case errors.Is(err, upstream.ErrNotSent):
		return pool.NeverSent
	default:
		return pool.UpstreamLost
	}
}

// sendFailure maps a send error to a typed failure, or to an upstreamLostError if the
// upstream may have run the request.
func sendFailure(t target, err error) error {
	var refused *upstream.RefusedError
	var typed *failure.Error
	switch {
	case errors.As(err, &refused) && t.refusalsProveNotRun():
		return failure.NotRun(failure.UpstreamRefused, "upstream %s: %s", t.upstream.Name, refused.Message)
	case errors.As(err, &refused):
		return failure.New(failure.UpstreamRefused, "upstream %s: %s", t.upstream.Name, refused.Message)
	case errors.Is(err, upstream.ErrNotSent) && errors.As(err, &typed):
		return typed // the permit expired before the request was written
	case errors.Is(err, upstream.ErrNotSent):
		return failure.NotRun(failure.NoUpstream, "upstream %s: %v", t.upstream.Name, err)
	default:
		return upstreamLostError{cause: err, upstream: t.upstream.Name}
	}
}

// Resume continues a stream at nextOffset that was started on another connection or host.
func (r *Relay) Resume(ctx context.Context, token stream.ResumeToken, nextOffset int, call *Call, w *stream.Writer) error {
	call.attemptID = token.Attempt
	held := r.Permits.Adopt(token.Pool, permit.RunningRequest{
		Permit:      pool.Permit{ID: token.Permit, RequestID: token.Attempt, Upstream: token.Upstream, Incarnation: token.Incarnation},
		Fingerprint: token.Fingerprint, Service: token.Service, Version: token.Version, Account: token.Account,
		PromptTokens: token.PromptTokens, Progress: pool.Progress{PermitID: token.Permit, Tokens: nextOffset},
	})
	t := target{
		heldPermit: held, pool: entity.Pool{Name: token.Pool}, version: entity.Version{Name: token.Version},
		upstream:    entity.Upstream{Name: token.Upstream, Address: token.Address, Pool: token.Pool},
		fingerprint: token.Fingerprint, promptTokens: token.PromptTokens,
	}
	upstreamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tokens, err := r.Engine.Resume(upstreamCtx, token.Address, token.Attempt, token.Generation, nextOffset)
	if err != nil {
		held.ReleaseAfterUpstreamLoss(ctx)
		return failure.New(failure.GenerationLost, "upstream %s cannot resume the generation: %v", token.Upstream, err)
	}
	r.Events.Record("stream-resumed", call.RequestID, "upstream", token.Upstream, "offset", itoa(nextOffset))
	g := &generateCall{relay: r, call: call, sink: newSink(call, w, r.MaxWholeAnswerBytes), tokensDelivered: true}
	err = g.relayTokens(ctx, upstreamCtx, t, tokens, nextOffset)
	if err == nil || errors.Is(err, errCallerDisconnected) || errors.Is(err, errHandover) {
		return nil
	}
	err = g.callerFailure(err)
	if !w.Started() {
		return err
	}
	_ = w.WriteEvent(stream.EventError, failure.From(err).Body(call.RequestID))
	return nil
}
