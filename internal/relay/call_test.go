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

// plainFake runs calls and answers with scripted errors.
type plainFake struct {
	mu   sync.Mutex
	runs map[string]int
	// errors are returned in turn; ran tells whether the call ran before the error.
	errors []scripted
}

type scripted struct {
	err error
	ran bool
}

func (p *plainFake) Call(_ context.Context, _ string, r upstream.PlainRequest) (upstream.PlainResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.errors) > 0 {
		next := p.errors[0]
		p.errors = p.errors[1:]
		if next.ran {
			p.runs[r.IdempotencyKey]++
		}
		if next.err != nil {
			return upstream.PlainResponse{}, next.err
		}
	}
	p.runs[r.IdempotencyKey]++
	return upstream.PlainResponse{Status: 200, Body: []byte("done")}, nil
}

func (p *plainFake) Healthy(context.Context, string) error { return nil }

func (p *plainFake) count(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

type booking struct {
	relay   *Relay
	plain   *plainFake
	table   *memory.Table
	service entity.Service
}

func newBooking(t interface{ Cleanup(func()) }, trusted bool) *booking {
	b := &booking{plain: &plainFake{runs: map[string]int{}}, table: memory.NewTable()}
	p := entity.Pool{
		Name: "p", Kind: entity.KindPlain, DataCentre: "praha-1", RefusalsProveNotRun: trusted,
		Limits:    entity.Limits{ColdRequests: 32, MaxRequests: 32},
		Upstreams: []entity.Upstream{{Name: "p1", Address: "p1", Pool: "p"}, {Name: "p2", Address: "p2", Pool: "p"}},
	}
	b.service = entity.Service{
		Name: "booking", Priority: 5, Deadline: 10 * time.Second,
		Versions: []entity.Version{{Name: "v1", Pools: []string{"p"}, Share: 100}},
	}
	conf := &entity.Configuration{Text: &entity.ServiceText{DataCentres: []string{"praha-1"}, Pools: []entity.Pool{p}, Services: []entity.Service{b.service}}}
	ctx, cancel := context.WithCancel(context.Background())
	owner := permit.NewOwner(soleMember{}, nil, b.plain, &eventLog{}, logr.Discard())
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
		Plain: b.plain, Permits: client, Ledger: ledger, Config: func() *entity.Configuration { return conf }, Pools: noStatus{},
		Signer: stream.NewSigner("0123456789abcdef"), Events: &eventLog{}, Log: logr.Discard(), DataCentre: "praha-1",
	}
	return b
}

func (b *booking) call(key string) (CallResult, error) {
	return b.relay.CallPlain(context.Background(), &Call{
		RequestID: fmt.Sprintf("r-%s-%d", key, time.Now().UnixNano()), Account: entity.ClientAccount{Name: "guides", Share: 1, MaxQueued: 1000},
		Service: b.service, Body: []byte(key), IdempotencyKey: key,
	})
}

// Guards against a second run of a call that the upstream may have run.
func TestUnknownOutcomeIsReportedAndNeverRepeated(t *testing.T) {
	b := newBooking(t, true)
	b.plain.errors = []scripted{{err: upstream.ErrLost, ran: true}}
	for range 3 {
		_, err := b.call("k1")
		require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
		require.False(t, failure.From(err).NotRun())
	}
	require.Equal(t, 1, b.plain.count("k1"))
}

// Guards against "not run" for a refusal that proves nothing, and against a lost
// chance to try elsewhere where it does.
func TestRefusalProvesNotRunOnlyWhereTheTextSaysSo(t *testing.T) {
	refusal := []scripted{{err: &upstream.RefusedError{Status: 503, Message: "busy"}}}
	untrusted := newBooking(t, false)
	untrusted.plain.errors = refusal
	_, err := untrusted.call("k1")
	require.True(t, failure.Is(err, failure.OutcomeUnknown), "%v", err)
	require.False(t, failure.From(err).NotRun())

	trusted := newBooking(t, true)
	trusted.plain.errors = refusal
	result, err := trusted.call("k1")
	require.NoError(t, err)
	require.False(t, result.Replayed)
	require.Equal(t, 1, trusted.plain.count("k1"))
}

// Guards against a call that runs while it cannot be recorded.
func TestStoreOutageRefusesAsNotRun(t *testing.T) {
	b := newBooking(t, true)
	b.table.SetFault(memory.FaultDown, 1000)
	_, err := b.call("k1")
	require.True(t, failure.Is(err, failure.StoreUnavailable), "%v", err)
	require.True(t, failure.From(err).NotRun())
	require.Zero(t, b.plain.count("k1"))
	b.table.SetFault(memory.FaultNone, 0)
	_, err = b.call("k1")
	require.NoError(t, err)
}

// Guards against a second run when the answer of the claim was lost after the
// write had taken effect.
func TestLostAnswerOfTheClaimIsReadBack(t *testing.T) {
	b := newBooking(t, true)
	b.table.SetFault(memory.FaultLoseAnswer, 1)
	result, err := b.call("k1")
	require.NoError(t, err)
	require.False(t, result.Replayed)
	result, err = b.call("k1")
	require.NoError(t, err)
	require.True(t, result.Replayed)
	require.Equal(t, 1, b.plain.count("k1"))
}

// Guards against a claim that is tried for ever while the store answers nothing.
func TestClaimGivesUpWhenNothingIsWritten(t *testing.T) {
	b := newBooking(t, true)
	b.table.SetFault(memory.FaultLoseRequest, 0)
	_, err := b.call("k1")
	require.True(t, failure.Is(err, failure.StoreUnavailable), "%v", err)
	require.True(t, failure.From(err).NotRun())
	require.Zero(t, b.plain.count("k1"))
}

// Guards against a key that answers for another request.
func TestReusedKeyIsRefused(t *testing.T) {
	b := newBooking(t, true)
	_, err := b.call("k1")
	require.NoError(t, err)
	_, err = b.relay.CallPlain(t.Context(), &Call{
		RequestID: "r2", Account: entity.ClientAccount{Name: "guides", Share: 1, MaxQueued: 10}, Service: b.service, Body: []byte("other"), IdempotencyKey: "k1",
	})
	require.True(t, failure.Is(err, failure.KeyReused), "%v", err)
}

// Guards against two runs of one key, and against "not run" for a key that ran,
// under random failures of store and upstream and concurrent callers.
func TestAtMostOnceUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBooking(t, true)
		failures := []error{nil, upstream.ErrLost, upstream.ErrNotSent, &upstream.RefusedError{Status: 503}}
		for range rapid.IntRange(0, 4).Draw(t, "errors") {
			err := rapid.SampledFrom(failures).Draw(t, "error")
			b.plain.errors = append(b.plain.errors, scripted{err: err, ran: errors.Is(err, upstream.ErrLost)})
		}
		b.table.SetFault(rapid.SampledFrom([]memory.Fault{memory.FaultNone, memory.FaultDown, memory.FaultLoseAnswer, memory.FaultLoseRequest}).Draw(t, "store"), rapid.IntRange(0, 4).Draw(t, "count"))
		var callers sync.WaitGroup
		results := make([]error, rapid.IntRange(1, 4).Draw(t, "callers"))
		for i := range results {
			callers.Go(func() { _, results[i] = b.call("k") })
		}
		callers.Wait()
		runs := b.plain.count("k")
		if runs > 1 {
			t.Fatalf("the call ran %d times", runs)
		}
		for _, err := range results {
			if err == nil && runs == 0 {
				t.Fatal("an answer without a run")
			}
		}
		if allNotRun(results) && runs > 0 {
			t.Fatalf("every caller was told that nothing ran: %v", results)
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
