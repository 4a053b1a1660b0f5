package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rattanscale/rattanscale/internal/auth"
	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/idempotency"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/quarantine"
	"github.com/rattanscale/rattanscale/internal/rollout"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/timeline"
	"github.com/rattanscale/rattanscale/internal/upstream/engine"
)

// ownedPool is the state of an owned pool with its running permits.
type ownedPool struct {
	state        *pool.State
	now          time.Time
	permits      []pool.Permit
	requestCount int
}

// newOwnedPool returns a pool whose upstreams accept 512 requests each.
func newOwnedPool(upstreams int) *ownedPool {
	p := entity.Pool{Name: "model-0001-praha-1", Kind: entity.KindEngine, DataCentre: "praha-1", Limits: entity.Limits{
		ColdRequests: 512, MaxRequests: 512, MemoryTokens: 100_000_000, TargetStep: time.Second,
	}}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, entity.Upstream{Name: fmt.Sprintf("e%05d", i), Address: fmt.Sprintf("10.1.1.%d:9001", i), Pool: p.Name})
	}
	o := &ownedPool{state: pool.New(pool.Config{Pool: p, PermitTerm: time.Hour}), now: fixedTime}
	o.state.SetPool(o.now, p, false)
	for _, u := range p.Upstreams {
		o.state.Report(o.now, pool.Report{Upstream: u.Name, Incarnation: "5f2c9a1b7d3e4f60"})
	}
	return o
}

// acquire requests n permits and returns the number granted.
func (o *ownedPool) acquire(n int) int {
	before := len(o.permits)
	for range n {
		o.requestCount++
		o.state.Acquire(o.now, pool.Request{
			ID: fmt.Sprintf("01JABCDEFGHJKMN%011d", o.requestCount), Fingerprint: uint64(o.requestCount), Service: "service-0001", Version: "v1",
			Account: fmt.Sprintf("account-%05d", o.requestCount%64), Weight: 3, Priority: 5, PromptTokens: 500, PrefixHash: uint64(o.requestCount),
		})
	}
	for _, c := range o.state.Decide(o.now) {
		if g, ok := c.(pool.Grant); ok {
			o.permits = append(o.permits, g.Permit)
		}
	}
	return len(o.permits) - before
}

func (o *ownedPool) mustAcquire(b *testing.B, n int) {
	if got := o.acquire(n); got != n {
		b.Fatalf("%d of %d permits granted", got, n)
	}
}

// reportProgress applies one digest with the progress of every permit.
func (o *ownedPool) reportProgress(tokens int) {
	o.now = o.now.Add(500 * time.Millisecond)
	reports := make([]pool.Progress, 0, len(o.permits))
	for _, p := range o.permits {
		reports = append(reports, pool.Progress{PermitID: p.ID, Tokens: tokens, StepTime: 48 * time.Millisecond, FirstToken: 400 * time.Millisecond})
	}
	o.state.Progress(o.now, reports)
	o.state.Decide(o.now)
}

// BenchmarkPoolUpstreams measures an owned pool with 32 permits on each upstream:
// its state, one decision, one status and one digest of all permits.
func BenchmarkPoolUpstreams(b *testing.B) {
	fitSlopes(b, "upstream", []int{1, 2, 4, 8, 16}, func(n int) []measurement {
		heap := retainedHeap(func() any { o := newOwnedPool(n); o.mustAcquire(b, 32*n); o.reportProgress(10); return o })
		o := newOwnedPool(n)
		o.mustAcquire(b, 32*n)
		tokens := 10
		return []measurement{
			{"heap-B", heap},
			{"tick-ns", cpuTime(func() { o.state.Decide(o.now) })},
			{"status-ns", cpuTime(func() { o.state.Snapshot(o.now) })},
			{"digest-ns", cpuTime(func() { tokens += 10; o.reportProgress(tokens) })},
		}
	})
}

func BenchmarkPoolPermits(b *testing.B) {
	fitSlopes(b, "permit", []int{32, 64, 128, 256}, func(n int) []measurement {
		heap := retainedHeap(func() any { o := newOwnedPool(4); o.mustAcquire(b, n); o.reportProgress(10); return o })
		o := newOwnedPool(4)
		o.mustAcquire(b, n)
		tokens := 10
		return []measurement{
			{"heap-B", heap},
			{"tick-ns", cpuTime(func() { o.state.Decide(o.now) })},
			{"digest-ns", cpuTime(func() { tokens += 10; o.reportProgress(tokens) })},
			{"turn-ns", cpuTime(func() { // one request ends and the next one starts
				o.state.Release(o.now, o.permits[0].ID, pool.Completed, 378)
				o.permits = o.permits[1:]
				o.mustAcquire(b, 1)
			})},
		}
	})
}

// BenchmarkPoolQueue measures requests that wait because the upstream is full.
func BenchmarkPoolQueue(b *testing.B) {
	newFullPool := func(n int) *ownedPool {
		o := newOwnedPool(1)
		o.acquire(512) // fills the upstream
		o.acquire(n)
		return o
	}
	fitSlopes(b, "queued", []int{250, 500, 1000, 2000}, func(n int) []measurement {
		heap := retainedHeap(func() any { return newFullPool(n) })
		o := newFullPool(n)
		return []measurement{{"heap-B", heap}, {"tick-ns", cpuTime(func() { o.state.Decide(o.now) })}}
	})
}

// BenchmarkPoolAccounts measures the statistics of output lengths that a pool keeps for
// each client account.
func BenchmarkPoolAccounts(b *testing.B) {
	fitSlopes(b, "account", []int{200, 400, 800, 1600}, func(n int) []measurement {
		return []measurement{{"heap-B", retainedHeap(func() any {
			o := newOwnedPool(1)
			for i := range n {
				id := fmt.Sprint(i)
				o.state.Acquire(o.now, pool.Request{ID: id, Service: "service-0001", Account: fmt.Sprintf("account-%05d", i), Weight: 1, PromptTokens: 10})
				for _, c := range o.state.Decide(o.now) {
					if g, ok := c.(pool.Grant); ok {
						o.state.Release(o.now, g.Permit.ID, pool.Completed, 300)
					}
				}
			}
			return o
		})}}
	})
}

func BenchmarkCellState(b *testing.B) {
	fitSlopes(b, "member", []int{8, 16, 32, 64}, func(n int) []measurement {
		now := time.Now()
		t := newCellTracker(n, 0, now)
		owned := 0
		for t.Snapshot().MayGrant(now, fmt.Sprint("pool-", owned)) != nil {
			owned++
		}
		name := fmt.Sprint("pool-", owned)
		return []measurement{
			{"heap-B", retainedHeap(func() any { return newCellTracker(n, 0, now) })},
			{"owner-ns", cpuTime(func() { _, _ = t.Snapshot().Owner(name) })},
			{"grant-ns", cpuTime(func() { _ = t.Snapshot().MayGrant(now, name) })},
			{"in-force-ns", cpuTime(func() { _ = t.InForce(now) })},
		}
	})
}

// BenchmarkAccountKeys measures the look-up table of bearer keys, without the settings
// from which it is built.
func BenchmarkAccountKeys(b *testing.B) {
	fitSlopes(b, "account", []int{2500, 5000, 10000, 20000}, func(n int) []measurement {
		keys := map[string]string{}
		for i := range n {
			keys[fmt.Sprintf("account-%05d", i)] = fmt.Sprintf("key-%028d", i)
		}
		return []measurement{
			{"heap-B", retainedHeap(func() any { return auth.NewKeys(keys) })},
			{"cpu-ns", cpuTime(func() { _ = auth.NewKeys(keys) })},
		}
	})
}

func BenchmarkAccountLookup(b *testing.B) {
	fitSlopes(b, "account", []int{2500, 5000, 10000, 20000}, func(n int) []measurement {
		c := &entity.Configuration{Text: &entity.ServiceText{}}
		for i := range n {
			c.Text.Accounts = append(c.Text.Accounts, entity.ClientAccount{Name: fmt.Sprintf("account-%05d", i), Share: 1})
		}
		last := c.Text.Accounts[n-1].Name
		return []measurement{{"worst-ns", cpuTime(func() { _, _ = c.Account(last) })}}
	})
}

func BenchmarkTimelineEvents(b *testing.B) {
	fitSlopes(b, "event", []int{1000, 2000, 4000, 8000}, func(n int) []measurement {
		r := timeline.NewRecorder(hostName, timeline.NewClock(time.Now), n)
		i := 0
		return []measurement{
			{"heap-B", retainedHeap(func() any {
				r := timeline.NewRecorder(hostName, timeline.NewClock(time.Now), n)
				for i := range n {
					recordTimelineEvent(r, i)
				}
				return r
			})},
			{"record-ns", cpuTime(func() { i++; recordTimelineEvent(r, i) })},
			{"read-ns", cpuTime(func() { _ = r.Read(timeline.Filter{}) })},
		}
	})
}

// BenchmarkController measures the controller of a rollout with reports of a
// growing number of daemons, each with 16 routes.
func BenchmarkController(b *testing.B) {
	fitSlopes(b, "daemon", []int{4, 8, 16, 32}, func(n int) []measurement {
		report := newEvidenceReport(16, 20)
		build := func() *rollout.Evidence {
			e := rollout.NewEvidence()
			for i := range n {
				r := report
				r.Daemon = fmt.Sprint("host-", i)
				e.Merge(r)
			}
			return e
		}
		e, sequence := build(), uint64(1)
		running := entity.Rollout{Service: "s", From: "v1", To: "v2", Step: 25, State: entity.RolloutRunning, StartedAt: fixedTime, StepAt: fixedTime, FinishBy: fixedTime.Add(time.Hour)}
		service := entity.Service{Name: "s", Rollout: entity.RolloutPolicy{FinishWithin: time.Hour, MaxErrorIncrease: 0.02, MaxSlowdown: 1.5}}
		return []measurement{
			{"heap-B", retainedHeap(func() any { return build() })},
			{"merge-ns", cpuTime(func() {
				sequence++
				for i := range n {
					r := report
					r.Daemon, r.Sequence = fmt.Sprint("host-", i), sequence
					e.Merge(r)
				}
			})},
			{"judge-ns", cpuTime(func() { rollout.Judge(fixedTime.Add(time.Minute), running, service, e) })},
		}
	})
}

// countingTable accepts every write and counts the transactions, items and bytes.
type countingTable struct{ transactions, items, bytes int }

func (t *countingTable) Get(context.Context, storage.Key) (storage.Item, error) {
	return storage.Item{}, storage.ErrNotFound
}
func (t *countingTable) Query(context.Context, string, string, int) ([]storage.Item, error) {
	return nil, nil
}
func (t *countingTable) Commit(_ context.Context, writes ...storage.Write) error {
	t.transactions++
	t.items += len(writes)
	for _, w := range writes {
		t.bytes += len(w.Key.Partition) + len(w.Key.Sort) + len(w.Value)
	}
	return nil
}

// BenchmarkLedgerCall measures the two ledger writes of one idempotent call by the size
// of its response.
func BenchmarkLedgerCall(b *testing.B) {
	fitSlopes(b, "body-B", []int{0, 1024, 4096, 16384}, func(n int) []measurement {
		table := &countingTable{}
		ledger := idempotency.New(table, hostName, time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { ledger.Run(ctx); close(stopped) }()
		calls := 0
		ns := cpuTime(func() {
			calls++
			claim, _, err := ledger.Claim(ctx, "account-00001", fmt.Sprintf("order-%010d", calls), uint64(calls))
			if err == nil {
				err = claim.Finish(ctx, idempotency.Response{Status: 200, ContentType: "application/json", Body: make([]byte, n)})
			}
			if err != nil {
				b.Error(err)
			}
		})
		cancel()
		<-stopped
		return []measurement{{"cpu-ns", ns}, {"items", float64(table.items) / float64(calls)}, {"row-B", float64(table.bytes) / float64(calls)}}
	})
}

// BenchmarkEnginePoll measures the two reads of one engine's load report and
// cache events, which the owner and the deputy make four times a second.
func BenchmarkEnginePoll(b *testing.B) {
	fitSlopes(b, "cache-event", []int{0, 4, 8, 16}, func(n int) []measurement {
		events := make([]string, n)
		for i := range events {
			events[i] = fmt.Sprintf(`{"sequence":%d,"prefix":11400714819323198485,"evicted":false}`, 1_000_000+i)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("/v1/load", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"incarnation":"5f2c9a1b7d3e4f60","running":87,"waiting":0,"memory_tokens":345678,"models":["oldtown-7b"],"role":"decode","at":"2026-12-04T06:00:00.123456789Z"}`)
		})
		mux.HandleFunc("/v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"events":[%s]}`, strings.Join(events, ","))
		})
		l := listen(b)
		server := &httptest.Server{Listener: l, Config: &http.Server{Handler: mux}}
		server.Start()
		defer server.Close()
		client := engine.New(engine.Settings{})
		defer client.Close()
		w := &peerPair{listener: l}
		return w.measureCall(b, func() error {
			if _, err := client.ReadLoadReport(context.Background(), l.Addr().String()); err != nil {
				return err
			}
			_, err := client.CacheEvents(context.Background(), l.Addr().String(), 1_000_000)
			return err
		})
	})
}

func BenchmarkSuspects(b *testing.B) {
	fitSlopes(b, "suspect", []int{500, 1000, 2000, 4000}, func(n int) []measurement {
		return []measurement{{"heap-B", retainedHeap(func() any {
			t := quarantine.New()
			for i := range n {
				t.ApplyNotice(fixedTime, quarantine.Notice{Fingerprint: uint64(i), Losses: 1})
			}
			return t
		})}}
	})
}
