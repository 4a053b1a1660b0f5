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

// resumePauses separate the attempts to resume a generation at its own engine.
// The first attempt follows at once: until it shows that the engine lost the
// generation, the pool's owner grants further requests up to the warm limit.
var resumePauses = []time.Duration{0, 300 * time.Millisecond, time.Second}

// errHandover ends a stream that continues at another host.
var errHandover = errors.New("stream was handed over")

// errCallerGone reports that the caller's connection ended.
var errCallerGone = errors.New("caller is gone")

// generation relays the attempts of one request to its caller. It is used by one goroutine.
type generation struct {
	relay     *Relay
	call      *Call
	sink      sink
	delivered bool   // tokens of the current generation reached the caller
	lastGen   string // generation that was announced last
	exclude   []string
	tokens    int // of the complete answer
	losses    int // upstreams lost while they ran the request
}

// Generate runs a generation and writes its events. An error is returned only
// while nothing was written; later failures are written as an error event.
func (r *Relay) Generate(ctx context.Context, call *Call, w *stream.Writer) error {
	g := &generation{relay: r, call: call, sink: newSink(call, w, r.MaxWholeBytes)}
	r.Events.Record("request-accepted", call.RequestID, "service", call.Service.Name, "account", call.Account.Name)
	if r.Budget != nil {
		r.Budget.Attempt()
	}
	if r.Trace != nil {
		r.Trace.Arrived(call, promptTokens(call), upstream.PrefixHash(call.Prompt))
		defer func() { r.Trace.Ended(call.RequestID, g.tokens, g.tokens > 0) }()
	}
	err := g.run(ctx)
	switch {
	case err == nil, errors.Is(err, errHandover), errors.Is(err, errCallerGone):
		return nil
	}
	err = g.typed(err)
	r.Events.Record("request-failed", call.RequestID, "error", string(failure.From(err).Kind()))
	if !w.Started() {
		return err
	}
	_ = w.WriteEvent(stream.EventError, failure.From(err).Body(call.RequestID))
	return nil
}

func (g *generation) run(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		g.call.beginAttempt(attempt)
		t, err := g.relay.acquire(ctx, g.call, g.exclude)
		if err != nil {
			return err
		}
		err = g.attempt(ctx, t)
		if err == nil || !g.mayRetry(ctx, err, attempt) {
			return err
		}
		if !failure.Is(err, failure.DeadlineExceeded) { // an old permit says nothing about the upstream
			g.exclude = append(g.exclude, t.upstream.Name)
		}
		g.relay.Events.Record("request-retried", g.call.RequestID, "upstream", t.upstream.Name, "cause", err.Error())
	}
}

// attempt sends the request to one upstream and relays its tokens.
func (g *generation) attempt(ctx context.Context, t target) error {
	if err := t.held.MaySend(); err != nil {
		t.held.Release(pool.NeverSent, false)
		return err
	}
	g.relay.Events.Record("request-sent", g.call.RequestID, "upstream", t.upstream.Name, "incarnation", t.held.Permit().Incarnation)
	// The request outlives its caller's connection by resumeGrace.
	upCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tokens, err := g.relay.Engine.Generate(upstream.WithSendCheck(upCtx, t.held.MaySend), t.upstream.Address, upstream.GenerateRequest{
		RequestID: g.call.attemptID, Model: t.version.Model, Prompt: g.call.Prompt,
		MaxTokens: g.call.MaxTokens, Priority: g.call.Service.Priority,
	})
	if err != nil {
		if outcome := sendOutcome(err); outcome == pool.UpstreamLost {
			t.held.ReleaseAfterUpstreamLoss(ctx)
		} else {
			t.held.Release(outcome, false)
		}
		g.observe(t, false)
		return sendFailure(t, err)
	}
	return g.relayTokens(ctx, upCtx, t, tokens, 0)
}

// relayTokens delivers tokens from offset next on until the generation ends. It
// closes tokens and releases the permit.
func (g *generation) relayTokens(ctx, upCtx context.Context, t target, tokens upstream.TokenStream, next int) error {
	defer func() { _ = tokens.Close() }()
	for {
		token, err := tokens.Next()
		if err != nil {
			resumed, err := g.resumeUpstream(ctx, upCtx, t, next, err)
			switch {
			case errors.Is(err, errCallerGone): // this says nothing about the upstream
				return g.callerGone(t)
			case err != nil:
				t.held.ReleaseAfterUpstreamLoss(ctx)
				g.observe(t, false)
				return err
			}
			_ = tokens.Close()
			tokens = resumed
			continue
		}
		if err := g.announce(t, token.Generation); err != nil {
			return g.callerGone(t)
		}
		if token.Done {
			return g.finish(t, token, next)
		}
		if gap := t.held.RecordToken(); gap > 0 && g.relay.Evidence != nil {
			g.relay.Evidence.Gap(gap)
		}
		if next == 0 {
			g.relay.Events.Record("token-first", g.call.RequestID, "upstream", t.upstream.Name, "generation", token.Generation)
		}
		next = token.Offset + 1
		if err := g.sink.token(stream.EventID{Generation: token.Generation, Offset: token.Offset}, token.Text); err != nil {
			if failure.Is(err, failure.BodyTooLarge) {
				t.held.Release(pool.Cancelled, true)
				return err
			}
			return g.callerGone(t)
		}
		g.delivered = g.delivered || !g.sink.held()
		select {
		case <-ctx.Done():
			return g.callerGone(t)
		case <-g.relay.Handover:
			return g.handOver(t, token.Generation, next)
		default:
		}
	}
}

// announce writes the start event of a generation before its first token.
func (g *generation) announce(t target, generation string) error {
	if generation == g.lastGen {
		return nil
	}
	g.lastGen = generation
	return g.sink.start(stream.StartData{
		Request: g.call.RequestID, Generation: generation, ResumeToken: g.relay.Signer.Sign(g.token(t, generation, 0)),
	})
}

func (g *generation) token(t target, generation string, offset int) stream.ResumeToken {
	p := t.held.Permit()
	return stream.ResumeToken{
		Request: g.call.RequestID, Attempt: g.call.attemptID, Account: g.call.Account.Name, Service: g.call.Service.Name, Version: t.version.Name,
		Pool: t.pool.Name, Upstream: t.upstream.Name, Address: t.upstream.Address, Incarnation: p.Incarnation,
		Generation: generation, Offset: offset, Permit: p.ID, Fingerprint: t.fingerprint, PromptTokens: t.promptTokens,
	}
}

func (g *generation) finish(t target, token upstream.Token, count int) error {
	err := g.sink.done(stream.DoneData{Generation: token.Generation, Tokens: count, Finish: token.Finish})
	t.held.Release(pool.Completed, false)
	g.observe(t, true)
	g.tokens = count
	if err != nil {
		g.relay.Events.Record("caller-gone", g.call.RequestID)
		return errCallerGone
	}
	g.relay.Events.Record("request-done", g.call.RequestID, "tokens", itoa(count), "generation", token.Generation)
	return nil
}

// callerGone keeps the generation for resumeGrace and then cancels it.
func (g *generation) callerGone(t target) error {
	g.relay.Events.Record("caller-gone", g.call.RequestID)
	held := t.held
	time.AfterFunc(resumeGrace, func() { held.Release(pool.Cancelled, true) })
	return errCallerGone
}

// handOver tells the caller to resume at another host. The permit is left to the
// host that resumes. Of an answer that is held until complete the caller has no
// token yet, so it starts at offset 0 there.
func (g *generation) handOver(t target, generation string, next int) error {
	if g.sink.held() {
		next = 0
	}
	g.relay.Events.Record("stream-handover", g.call.RequestID, "offset", itoa(next))
	t.held.Detach()
	resumeToken := g.relay.Signer.Sign(g.token(t, generation, next))
	if g.sink.held() {
		start := stream.StartData{Request: g.call.RequestID, Generation: generation, ResumeToken: resumeToken}
		if err := g.sink.event(stream.EventStart, start); err != nil {
			return errCallerGone
		}
	}
	err := g.sink.event(stream.EventHandover, stream.HandoverData{ResumeToken: resumeToken, Hosts: g.relay.OtherHosts()})
	if err != nil {
		return errCallerGone
	}
	return errHandover
}

// resumeUpstream continues the generation at the same engine after its
// connection broke. The engine may have lost the generation; then the delivery
// choice of the service decides.
func (g *generation) resumeUpstream(ctx, upCtx context.Context, t target, next int, cause error) (upstream.TokenStream, error) {
	for _, wait := range resumePauses {
		if g.lastGen == "" || errors.Is(cause, upstream.ErrUnknownGeneration) {
			break // no token came, or the engine does not hold the generation
		}
		if !sleep(ctx, wait) {
			return nil, errCallerGone
		}
		tokens, err := g.relay.Engine.Resume(upCtx, t.upstream.Address, g.call.attemptID, g.lastGen, next)
		if err == nil {
			g.relay.Events.Record("stream-resumed", g.call.RequestID, "upstream", t.upstream.Name, "offset", itoa(next))
			return tokens, nil
		}
		cause = err
	}
	g.relay.Events.Record("upstream-lost", g.call.RequestID, "upstream", t.upstream.Name, "offset", itoa(next))
	return nil, lostError{cause: cause, upstream: t.upstream.Name}
}

// lostError reports that the upstream was lost while it ran the request.
type lostError struct {
	cause    error
	upstream string
}

func (e lostError) Error() string { return "upstream " + e.upstream + " was lost: " + e.cause.Error() }
func (e lostError) Unwrap() error { return e.cause }

// typed maps a lost upstream to the failure that the caller receives.
func (g *generation) typed(err error) error {
	var lost lostError
	if !errors.As(err, &lost) {
		return err
	}
	if g.delivered {
		return failure.New(failure.GenerationLost, "%v", err)
	}
	return failure.New(failure.UpstreamFailed, "%v", err)
}

// mayRetry decides whether the request goes to another upstream after err, and
// prepares the sink for it. Tokens of two generations are never joined.
func (g *generation) mayRetry(ctx context.Context, err error, attempt int) bool {
	if ctx.Err() != nil || attempt >= maxAttempts || errors.Is(err, errCallerGone) || errors.Is(err, errHandover) {
		return false
	}
	var lost lostError
	ran := errors.As(err, &lost)
	if !ran && !failure.From(err).NotRun() {
		return false
	}
	if ran {
		g.losses++
	}
	if ran && (!g.call.Service.Repeatable || g.losses >= maxLosses) {
		return false
	}
	if g.delivered && !(g.call.Service.Delivery == entity.DeliverRestart && g.call.AcceptRestart) {
		return false
	}
	if g.relay.Budget != nil && !g.relay.Budget.Retry() {
		return false
	}
	if g.lastGen != "" {
		if g.sink.restart(stream.RestartData{Voided: g.lastGen}) != nil {
			return false
		}
		g.relay.Events.Record("stream-restart", g.call.RequestID, "voided", g.lastGen)
		g.delivered, g.lastGen = false, ""
	}
	return true
}

func (g *generation) observe(t target, success bool) {
	if g.relay.Evidence == nil {
		return
	}
	first, step := t.held.TokenTimings()
	g.relay.Evidence.Observe(Observation{
		Service: g.call.Service.Name, Account: g.call.Account.Name, Version: t.version.Name, RolloutStep: t.step,
		Success: success, FirstToken: first, Step: step,
	})
}

// sendOutcome maps an error of sending a request to the outcome for the pool's owner.
func sendOutcome(err error) pool.Outcome {
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

func sendFailure(t target, err error) error {
	var refused *upstream.RefusedError
	var typed *failure.Error
	switch {
	case errors.As(err, &refused) && t.refusalsProveNotRun():
		return failure.NotRun(failure.UpstreamRefused, "upstream %s: %s", t.upstream.Name, refused.Message)
	case errors.As(err, &refused):
		return failure.New(failure.UpstreamRefused, "upstream %s: %s", t.upstream.Name, refused.Message)
	case errors.Is(err, upstream.ErrNotSent) && errors.As(err, &typed):
		return typed // the permit ran out before the request could be written
	case errors.Is(err, upstream.ErrNotSent):
		return failure.NotRun(failure.NoUpstream, "upstream %s: %v", t.upstream.Name, err)
	default:
		return lostError{cause: err, upstream: t.upstream.Name}
	}
}

// Resume continues a stream that another connection or host started.
func (r *Relay) Resume(ctx context.Context, token stream.ResumeToken, next int, call *Call, w *stream.Writer) error {
	call.attemptID = token.Attempt
	held := r.Permits.Adopt(token.Pool, permit.RunningRequest{
		Permit:      pool.Permit{ID: token.Permit, RequestID: token.Attempt, Upstream: token.Upstream, Incarnation: token.Incarnation},
		Fingerprint: token.Fingerprint, Service: token.Service, Version: token.Version, Account: token.Account,
		PromptTokens: token.PromptTokens, Progress: pool.Progress{PermitID: token.Permit, Tokens: next},
	})
	t := target{
		held: held, pool: entity.Pool{Name: token.Pool}, version: entity.Version{Name: token.Version},
		upstream:    entity.Upstream{Name: token.Upstream, Address: token.Address, Pool: token.Pool},
		fingerprint: token.Fingerprint, promptTokens: token.PromptTokens,
	}
	upCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tokens, err := r.Engine.Resume(upCtx, token.Address, token.Attempt, token.Generation, next)
	if err != nil {
		held.ReleaseAfterUpstreamLoss(ctx)
		return failure.New(failure.GenerationLost, "upstream %s cannot resume the generation: %v", token.Upstream, err)
	}
	r.Events.Record("stream-resumed", call.RequestID, "upstream", token.Upstream, "offset", itoa(next))
	g := &generation{relay: r, call: call, sink: newSink(call, w, r.MaxWholeBytes), delivered: true}
	err = g.relayTokens(ctx, upCtx, t, tokens, next)
	if err == nil || errors.Is(err, errCallerGone) || errors.Is(err, errHandover) {
		return nil
	}
	err = g.typed(err)
	if !w.Started() {
		return err
	}
	_ = w.WriteEvent(stream.EventError, failure.From(err).Body(call.RequestID))
	return nil
}
