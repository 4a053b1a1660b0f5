package permit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/upstream"
)

// testCell is the membership and the network that all daemons of a test share.
type testCell struct {
	mu           sync.Mutex
	owner        string
	deputy       string
	leaseExpired bool
	owners       map[string]*Owner
	// answerDelay delays the answers to acquire calls. An answer that arrives after the
	// end of its call is lost.
	answerDelay time.Duration
}

func (c *testCell) Call(ctx context.Context, address, method string, params, result any) error {
	c.mu.Lock()
	owner, delay := c.owners[address], c.answerDelay
	c.mu.Unlock()
	if owner == nil {
		return errors.New("unreachable")
	}
	switch method {
	case MethodAcquire:
		out, err := owner.Acquire(ctx, params.(AcquireParams))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
		*result.(*AcquireResult) = out
		return err
	case MethodProgress:
		_, err := owner.Progress(ctx, *params.(*ProgressParams))
		return err
	}
	return errors.New("unknown method")
}

func (c *testCell) setAnswerDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerDelay = d
}

// testMember implements Members for one daemon.
type testMember struct {
	*testCell
	name string
}

func (m testMember) MemberInRole(_ string, role Role) (string, string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if role == RoleDeputy {
		return m.deputy, m.deputy, m.deputy != ""
	}
	return m.owner, m.owner, true
}
func (m testMember) Self() string            { return m.name }
func (m testMember) MaySend(time.Time) error { return nil }
func (m testMember) MayGrant(_ time.Time, _ string, role Role) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if role == RoleDeputy && m.deputy == m.name {
		return nil
	}
	if m.leaseExpired || m.owner != m.name || role != RoleOwner {
		return failure.NotRun(failure.Isolated, "lease expired")
	}
	return nil
}

// warmEngine reports that it is warm, and counts cancellations.
type warmEngine struct {
	upstream.Engine
	running   atomic.Int64
	cancelled atomic.Int64
}

func (e *warmEngine) ReadLoadReport(context.Context, string) (upstream.Report, error) {
	return upstream.Report{Incarnation: "i1", Running: int(e.running.Load()), MeasuredAt: time.Now()}, nil
}
func (e *warmEngine) CacheEvents(context.Context, string, uint64) ([]upstream.CacheEvent, error) {
	return nil, nil
}
func (e *warmEngine) Cancel(context.Context, string, string) error {
	e.cancelled.Add(1)
	e.running.Add(-1)
	return nil
}

type noEvents struct{}

func (noEvents) Record(string, string, ...string) {}

type permitFixture struct {
	*testCell
	engine *warmEngine
	conf   *entity.Configuration
	ctx    context.Context
}

func newPermitFixture(t *testing.T, names ...string) *permitFixture {
	t.Helper()
	p := entity.Pool{
		Name: "p", Kind: entity.KindEngine, Limits: entity.Limits{ColdRequests: 2, MaxRequests: 4, TargetStep: 62 * time.Millisecond},
		Upstreams: []entity.Upstream{{Name: "e1", Address: "e1", Pool: "p"}},
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	w := &permitFixture{
		testCell: &testCell{owner: names[0], owners: map[string]*Owner{}}, engine: &warmEngine{}, ctx: ctx,
		conf: &entity.Configuration{Revision: 1, Text: &entity.ServiceText{Pools: []entity.Pool{p}}},
	}
	for _, name := range names {
		o := NewOwner(testMember{w.testCell, name}, w.engine, nil, noEvents{}, logr.Discard())
		o.ReserveForDeputy = false
		w.owners[name] = o
		o.Sync(ctx, w.conf, 1)
		go o.Run(ctx)
	}
	return w
}

func (w *permitFixture) client(name string) *Client {
	c := NewClient(w.testCell, testMember{w.testCell, name}, logr.Discard())
	go c.Run(w.ctx)
	return c
}

func (w *permitFixture) moveOwnership(owner string, epoch uint64) {
	w.mu.Lock()
	w.owner = owner
	w.mu.Unlock()
	for _, o := range w.owners {
		o.Sync(w.ctx, w.conf, epoch)
	}
}

// produceTokens records a token every 40 ms until the test ends.
func (w *permitFixture) produceTokens(h *HeldPermit) {
	ticker := time.NewTicker(40 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			h.RecordToken()
		}
	}
}

func request(id string) pool.Request {
	return pool.Request{ID: id, Service: "s", Account: "a", Weight: 1, MaxQueued: 10, PromptTokens: 10}
}

// Guards against a new owner that does not know the running requests and therefore
// grants their slots a second time or cancels their streams.
func TestNewOwnerAdoptsRunningPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a", "b")
		holder := w.client("c")
		var held []*HeldPermit
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			h, err := holder.Acquire(t.Context(), "p", request(id))
			require.NoError(t, err)
			w.engine.running.Add(1)
			go w.produceTokens(h)
			time.Sleep(time.Second)
			held = append(held, h)
		}
		w.moveOwnership("b", 2)
		time.Sleep(2 * PermitTerm)
		require.Zero(t, w.engine.cancelled.Load(), "a running request was cancelled")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := holder.Acquire(ctx, "p", request("r5"))
		require.True(t, failure.Is(err, failure.DeadlineExceeded), "a fifth request was admitted: %v", err)

		held[0].Release(pool.Completed, false)
		w.engine.running.Add(-1)
		_, err = holder.Acquire(t.Context(), "p", request("r6"))
		require.NoError(t, err)
	})
}

// Guards against grants by a daemon whose lease has expired, as after a pause.
func TestNoGrantAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a")
		w.mu.Lock()
		w.leaseExpired = true
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := w.client("c").Acquire(ctx, "p", request("r1"))
		require.Error(t, err)
		require.True(t, failure.From(err).NotRun())
	})
}

// Guards against a requester that continues to call a deputy without free reserve after the
// owner was unable to grant for a short time.
func TestRequesterReturnsFromTheDeputyToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a", "b")
		w.conf.Text.Pools[0].Limits.ColdRequests = 1 // no reserve
		w.mu.Lock()
		w.leaseExpired, w.deputy = true, "b"
		w.mu.Unlock()
		for _, o := range w.owners {
			o.Sync(w.ctx, w.conf, 1)
		}
		time.AfterFunc(time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.leaseExpired = false
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := w.client("c").Acquire(ctx, "p", request("r1"))
		require.NoError(t, err)
	})
}

// Guards against a slot that is granted again while the request of a holder that sends
// no digests still runs at the upstream.
func TestSilentHolderIsCancelledBeforeItsSlotIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a")
		silent := NewClient(w.testCell, testMember{w.testCell, "c"}, logr.Discard()) // Run is not started, so it sends no digests
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			_, err := silent.Acquire(t.Context(), "p", request(id))
			require.NoError(t, err)
			w.engine.running.Add(1)
		}
		_, err := w.client("d").Acquire(t.Context(), "p", request("r5"))
		require.NoError(t, err)
		require.Positive(t, w.engine.cancelled.Load())
	})
}

// Guards against a request that is sent more than dispatchTimeout after its permit was
// granted, because the process was paused in between.
func TestOldPermitIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a")
		h, err := w.client("c").Acquire(t.Context(), "p", request("r1"))
		require.NoError(t, err)
		require.NoError(t, h.MaySend())
		time.Sleep(dispatchTimeout + time.Millisecond)
		require.True(t, failure.From(h.MaySend()).NotRun())
	})
}

// Guards against the use of a permit that was granted long ago: its first answer was
// lost, and the holder receives it when it repeats the call. A daemon that was paused
// while a data centre was taken out would start work there with such a permit.
func TestRepeatedResultKeepsTheGrantTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a")
		w.setAnswerDelay(time.Minute)
		time.AfterFunc(dispatchTimeout+time.Second, func() { w.setAnswerDelay(0) })
		h, err := w.client("c").Acquire(t.Context(), "p", request("r1"))
		require.NoError(t, err)
		require.True(t, failure.Is(h.MaySend(), failure.DeadlineExceeded))
		h.Release(pool.NeverSent, false)
		h, err = w.client("c").Acquire(t.Context(), "p", request("r2"))
		require.NoError(t, err)
		require.NoError(t, h.MaySend())
	})
}

// Guards against a daemon whose late digest takes back or cancels a stream that another
// host has resumed.
func TestStreamStaysWithTheHostThatResumedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a")
		first, second := w.client("c"), w.client("d")
		h, err := first.Acquire(t.Context(), "p", request("r1"))
		require.NoError(t, err)
		w.engine.running.Add(1)
		resumed := second.Adopt("p", RunningRequest{Permit: h.Permit(), Progress: pool.Progress{PermitID: h.Permit().ID}})
		time.Sleep(time.Second)
		h.Release(pool.Cancelled, true)
		time.Sleep(time.Second)
		require.Zero(t, w.engine.cancelled.Load())
		resumed.Release(pool.Cancelled, true)
		time.Sleep(time.Second)
		require.EqualValues(t, 1, w.engine.cancelled.Load())
	})
}
