package engine_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/standin"
	"github.com/rattanscale/rattanscale/internal/upstream"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
)

type fixture struct {
	engine  *standin.Engine
	client  *engine.Client
	address string
}

// newFixture starts an in-process stand-in engine with the shortest step time and no lag.
func newFixture(t *testing.T, change func(*standin.EngineSettings), settings engine.Settings) fixture {
	s := standin.DefaultEngineSettings()
	s.BaseStep, s.StepPerRequest, s.StepPerKiloToken, s.PrefillPerKiloToken = time.Millisecond, 0, 0, 0
	s.ReportLag, s.CacheLag, s.ResumeWindow = 0, 0, time.Minute
	if change != nil {
		change(&s)
	}
	e := standin.NewEngine(s)
	server := httptest.NewServer(e.Handler())
	client := engine.New(settings)
	t.Cleanup(func() { client.Close(); e.Close(); server.Close() })
	return fixture{e, client, server.Listener.Addr().String()}
}

func (r fixture) generate(t *testing.T, id, prompt string) upstream.TokenStream {
	s, err := r.client.Generate(t.Context(), r.address, upstream.GenerateRequest{RequestID: id, Prompt: prompt})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// readTokens reads n tokens, checks their offsets and texts and returns the last.
func readTokens(t *testing.T, s upstream.TokenStream, first, n int) (last upstream.Token) {
	for i := range n {
		token, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, first+i, token.Offset)
		if !token.Done {
			require.Equal(t, fmt.Sprintf("%s-%d ", token.Generation, token.Offset), token.Text)
		}
		last = token
	}
	return last
}

// Guards against lost or repeated tokens when a reader closes the stream and resumes it,
// also while the engine preempts requests.
func TestResumeContinuesTheSameGeneration(t *testing.T) {
	r := newFixture(t, func(s *standin.EngineSettings) { s.MemoryTokens = 120 }, engine.Settings{})
	other := r.generate(t, "other", "tokens=80")
	s := r.generate(t, "r1", "tokens=80")
	last := readTokens(t, s, 0, 10)
	require.NoError(t, s.Close())
	resumed, err := r.client.Resume(t.Context(), r.address, "r1", last.Generation, 10)
	require.NoError(t, err)
	last = readTokens(t, resumed, 10, 71)
	assert.True(t, last.Done)
	assert.Equal(t, "stop", last.Finish)
	_, err = resumed.Next()
	assert.ErrorIs(t, err, io.EOF)
	require.NoError(t, resumed.Close())
	readTokens(t, other, 0, 81)
	assert.Positive(t, r.engine.Stats().Preemptions)
	assert.Equal(t, 1, r.engine.Stats().Starts["r1"])
}

// Guards against treating a failure after which the request may have run as proof that it
// did not run.
func TestErrorsReportWhetherRequestMayHaveRun(t *testing.T) {
	r := newFixture(t, func(s *standin.EngineSettings) { s.Models = []string{"m"} }, engine.Settings{})
	request := upstream.GenerateRequest{RequestID: "r1", Model: "other", Prompt: "tokens=5"}
	_, err := r.client.Generate(t.Context(), r.address, request)
	var refused *upstream.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, 404, refused.Status)

	request.Model = "m"
	_, err = r.client.Generate(t.Context(), "127.0.0.1:1", request)
	assert.ErrorIs(t, err, upstream.ErrNotSent)

	_, err = r.client.Resume(t.Context(), r.address, "r1", "g-none", 0)
	assert.ErrorIs(t, err, upstream.ErrUnknownGeneration)

	r.engine.SetFault(standin.Fault{Kind: standin.FaultDown})
	_, err = r.client.Generate(t.Context(), r.address, request)
	assert.ErrorIs(t, err, upstream.ErrLost)
	assert.NotErrorIs(t, err, upstream.ErrNotSent)
}

// Guards against a stream that ends without an error when the engine crashes, by itself or
// because a cold engine got too many requests.
func TestCrashAndColdOverloadLoseStreams(t *testing.T) {
	r := newFixture(t, func(s *standin.EngineSettings) { s.ColdRequests = 2 }, engine.Settings{})
	before := r.engine.Stats().Incarnation
	a, b := r.generate(t, "a", "tokens=100000"), r.generate(t, "b", "tokens=100000")
	readTokens(t, a, 0, 3)
	_, _ = r.client.Generate(t.Context(), r.address, upstream.GenerateRequest{RequestID: "c", Prompt: "x"})
	for _, s := range []upstream.TokenStream{a, b} {
		var err error
		for err == nil {
			_, err = s.Next()
		}
		assert.ErrorIs(t, err, upstream.ErrLost)
	}
	stats := r.engine.Stats()
	assert.Equal(t, 1, stats.ColdViolations)
	assert.Equal(t, 3, stats.MaxCold)
	assert.NotEqual(t, before, stats.Incarnation)

	r.engine.SetFault(standin.Fault{Kind: standin.FaultCrashOn, Marker: "poison"})
	_, err := r.generate(t, "d", "poison tokens=9").Next()
	assert.ErrorIs(t, err, upstream.ErrLost)
	assert.Equal(t, 2, r.engine.Stats().Losses)
}

// Guards against orders of a previous owner that take effect, and against orders without
// the engine's credential.
func TestOrdersCarryFencingTokenAndCredential(t *testing.T) {
	for _, ignoresFencing := range []bool{false, true} {
		credentials := map[string]string{}
		r := newFixture(t, func(s *standin.EngineSettings) {
			s.OrderKey, s.IgnoreFencing = "secret", ignoresFencing
		}, engine.Settings{Credentials: credentials})
		order := upstream.Order{Kind: upstream.OrderSetRole, Role: "decode", Fencing: 7}
		var refused *upstream.RefusedError
		require.ErrorAs(t, r.client.Order(t.Context(), r.address, order), &refused)
		assert.Equal(t, 401, refused.Status)
		credentials[r.address] = "secret"
		require.NoError(t, r.client.Order(t.Context(), r.address, order))
		order.Fencing, order.Role = 6, "prefill"
		err := r.client.Order(t.Context(), r.address, order)
		report, loadErr := r.client.ReadLoadReport(t.Context(), r.address)
		require.NoError(t, loadErr)
		if ignoresFencing {
			require.NoError(t, err)
			assert.Equal(t, "prefill", report.Role)
			continue
		}
		require.ErrorIs(t, err, upstream.ErrStaleOrder)
		assert.Equal(t, "decode", report.Role)
	}
}

// Guards against a generation that keeps running after a cancel, and against one that
// cannot be resumed after its connection was reset.
func TestCancelAndReset(t *testing.T) {
	r := newFixture(t, nil, engine.Settings{})
	s := r.generate(t, "r1", "tokens=100000")
	token := readTokens(t, s, 0, 2)
	r.engine.SetFault(standin.Fault{Kind: standin.FaultReset})
	var err error
	next := 2
	for err == nil {
		if _, err = s.Next(); err == nil {
			next++
		}
	}
	require.ErrorIs(t, err, upstream.ErrLost)
	resumed, err := r.client.Resume(t.Context(), r.address, "r1", token.Generation, next)
	require.NoError(t, err)
	readTokens(t, resumed, next, 3)
	require.NoError(t, r.client.Cancel(t.Context(), r.address, "r1"))
	require.NoError(t, r.client.Cancel(t.Context(), r.address, "r1"))
	assert.Equal(t, 1, r.engine.Stats().Cancelled)
	assert.Zero(t, r.engine.Stats().Running)
	_, err = r.client.Resume(t.Context(), r.address, "r1", token.Generation, next)
	assert.ErrorIs(t, err, upstream.ErrUnknownGeneration)

	events, err := r.client.CacheEvents(t.Context(), r.address, 0)
	require.NoError(t, err)
	require.Len(t, events, 1)
	assert.Equal(t, upstream.PrefixHash("tokens=100000"), events[0].Prefix)
}
