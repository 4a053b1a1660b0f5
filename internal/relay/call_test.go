package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/idempotency"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/storage/memory"
	"github.com/rattanscale/rattanscale/internal/stream"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// fakePlain is a plain service that counts runs by key and returns scripted errors.
type fakePlain struct {
	mu        sync.Mutex
	runsByKey map[string]int
	// scriptedResults are used in turn; calls succeed when none is left.
	scriptedResults []scriptedResult
}

type scriptedResult struct {
	err             error
	runsBeforeError bool
}

func (p *fakePlain) Call(_ context.Context, _ string, r upstream.PlainRequest) (upstream.PlainResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.scriptedResults) > 0 {
		next := p.scriptedResults[0]
		p.scriptedResults = p.scriptedResults[1:]
		if next.runsBeforeError {
			p.runsByKey[r.IdempotencyKey]++
		}
		if next.err != nil {
			return upstream.PlainResponse{}, next.err
		}
	}
	p.runsByKey[r.IdempotencyKey]++
	return upstream.PlainResponse{Status: 200, Body: []byte("done")}, nil
}

func (p *fakePlain) Healthy(context.Context, string) error { return nil }

func (p *fakePlain) runCount(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByKey[key]
}

type bookingFixture struct {
	relay        *Relay
	plainService *fakePlain
	table        *memory.Table
	service      entity.Service
}

func newBookingFixture(t interface{ Cleanup(func()) }, refusalsProveNotRun bool) *bookingFixture {
	b := &bookingFixture{plainService: &fakePlain{runsByKey: map[string]int{}}, table: memory.NewTable()}
	p := entity.Pool{
		Name: "p", Kind: entity.KindPlain, DataCentre: "praha-1", RefusalsProveNotRun: refusalsProveNotRun,
		Limits:    entity.Limits{ColdRequests: 32, MaxRequests: 32},
		Upstreams: []entity.Upstream{{Name: "p1", Address: "p1", Pool: "p"}, {Name: "p2", Address: "p2", Pool: "p"}},
	}
	b.service = entity.Service{
		Name: "booking", Priority: 5, Deadline: 10 * time.Second,
		Versions: []entity.Version{{Name: "v1", Pools: []string{"p"}, Share: 100}},
	}
	conf := &entity.Configuration{Text: &entity.ServiceText{DataCentres: []string{"praha-1"}, Pools: []entity.Pool{p}, Services: []entity.Service{b.service}}}
	ctx, cancel := context.WithCancel(context.Background())
	owner := permit.NewOwner(soleMember{}, nil, b.plainService, &eventLog{}, logr.Discard())
	owner.ReserveForDeputy = false
	client := permit.NewClient(&localCaller{owner}, soleMember{}, logr.Discard())
	ledger := idempotency.New(b.table, "h1", time.Now)
	var loops sync.WaitGroup
	owner.Sync(ctx, conf, 1)
	for _, loop := range []func(context.Context){owner.Run, client.Run, ledger.Run} {
		loops.Go(func() { loop(ctx) })
	}
	t.Cleanup(func() { cancel(); loops.Wait() })
	b.relay = &Relay{
		Plain: b.plainService, Permits: client, Ledger: ledger, Config: func() *entity.Configuration { return conf }, Pools: noStatus{},
		Signer: stream.NewSigner("0123456789abcdef"), Events: &eventLog{}, Log: logr.Discard(), DataCentre: "praha-1",
	}
	return b
}

func (b *bookingFixture) call(key string) (CallResult, error) {
	return b.relay.CallPlain(context.Background(), &Call{
		RequestID: fmt.Sprintf("r-%s-%d", key, time.Now().UnixNano()), Account: entity.ClientAccount{Name: "guides", Share: 1, MaxQueued: 1000},
		Service: b.service, Body: []byte(key), IdempotencyKey: key,
	})
}

// Guards against repeating a call that the upstream may have run.
func TestUnknownOutcomeIsReportedAndNeverRepeated(t *testing.T) {
	b := newBookingFixture(t, true)
	b.plainService.scriptedResults = []scriptedResult{{err: upstream.ErrLost, runsBeforeError: true}}
	for range 3 {
		_, err := b.call("k1")
		require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
		require.False(t, failure.From(err).NotRun())
	}
	require.Equal(t, 1, b.plainService.runCount("k1"))
}

// Guards against reporting "not run" after a refusal that does not prove it, and against
// failing a call that could be retried because the refusal proves that it did not run.
func TestRefusalProvesNotRunOnlyIfConfigured(t *testing.T) {
	refusal := []scriptedResult{{err: &upstream.RefusedError{Status: 503, Message: "busy"}}}
	unproven := newBookingFixture(t, false)
	unproven.plainService.scriptedResults = refusal
	_, err := unproven.call("k1")
	require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
	require.False(t, failure.From(err).NotRun())

	proven := newBookingFixture(t, true)
	proven.plainService.scriptedResults = refusal
	result, err := proven.call("k1")
	require.NoError(t, err)
	require.False(t, result.Replayed)
	require.Equal(t, 1, proven.plainService.runCount("k1"))
}

// Guards against running a call whose claim cannot be recorded.
func TestStoreOutageRefusesAsNotRun(t *testing.T) {
	b := newBookingFixture(t, true)
	b.table.SetFault(memory.FaultDown, 1000)
	_, err := b.call("k1")
	require.True(t, failure.Is(err, failure.StoreUnavailable), "%v", err)
	require.True(t, failure.From(err).NotRun())
	require.Zero(t, b.plainService.runCount("k1"))
	b.table.SetFault(memory.FaultNone, 0)
	_, err = b.call("k1")
	require.NoError(t, err)
}

// Guards against a second run when the store's response to the claim was lost after
// the write had taken effect.
func TestClaimIsReadBackAfterLostResponse(t *testing.T) {
	b := newBookingFixture(t, true)
	b.table.SetFault(memory.FaultLoseResponse, 1)
	result, err := b.call("k1")
	require.NoError(t, err)
	require.False(t, result.Replayed)
	result, err = b.call("k1")
	require.NoError(t, err)
	require.True(t, result.Replayed)
	require.Equal(t, 1, b.plainService.runCount("k1"))
}

// Guards against retrying a claim forever when the store never confirms it.
func TestClaimFailsWhenStoreNeverConfirms(t *testing.T) {
	b := newBookingFixture(t, true)
	b.table.SetFault(memory.FaultLoseRequest, 0)
	_, err := b.call("k1")
	require.True(t, failure.Is(err, failure.StoreUnavailable), "%v", err)
	require.True(t, failure.From(err).NotRun())
	require.Zero(t, b.plainService.runCount("k1"))
}

// Guards against returning the recorded response to a different request with the same key.
func TestReusedKeyIsRefused(t *testing.T) {
	b := newBookingFixture(t, true)
	_, err := b.call("k1")
	require.NoError(t, err)
	_, err = b.relay.CallPlain(t.Context(), &Call{
		RequestID: "r2", Account: entity.ClientAccount{Name: "guides", Share: 1, MaxQueued: 10}, Service: b.service, Body: []byte("other"), IdempotencyKey: "k1",
	})
	require.True(t, failure.Is(err, failure.KeyReused), "%v", err)
}

// Guards against two runs with one key, and against reporting "not run" for a key that
// ran, under random failures of the store and upstream and with concurrent callers.
func TestAtMostOnceUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBookingFixture(t, true)
		failures := []error{nil, upstream.ErrLost, upstream.ErrNotSent, &upstream.RefusedError{Status: 503}}
		for range rapid.IntRange(0, 4).Draw(t, "errors") {
			err := rapid.SampledFrom(failures).Draw(t, "error")
			b.plainService.scriptedResults = append(b.plainService.scriptedResults, scriptedResult{err: err, runsBeforeError: errors.Is(err, upstream.ErrLost)})
		}
		b.table.SetFault(rapid.SampledFrom([]memory.Fault{memory.FaultNone, memory.FaultDown, memory.FaultLoseResponse, memory.FaultLoseRequest}).Draw(t, "store"), rapid.IntRange(0, 4).Draw(t, "count"))
		var callers sync.WaitGroup
		results := make([]error, rapid.IntRange(1, 4).Draw(t, "callers"))
		for i := range results {
			callers.Go(func() { _, results[i] = b.call("k") })
		}
		callers.Wait()
		runs := b.plainService.runCount("k")
		if runs > 1 {
			t.Fatalf("the call ran %d times", runs)
		}
		for _, err := range results {
			if err == nil && runs == 0 {
				t.Fatal("a caller got a response, but the call never ran")
			}
		}
		if allNotRun(results) && runs > 0 {
			t.Fatalf("the call ran, but every caller got a not-run error: %v", results)
		}
	})
}

func allNotRun(results []error) bool {
	for _, err := range results {
		if err == nil || !failure.From(err).NotRun() {
			return false
		}
	}
	return true
}
