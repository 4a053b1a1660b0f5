package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// maxTraceBytes bounds each committed trace.
const maxTraceBytes = 1 << 20

// Guards against committed traces that differ from their generator.
func TestCommittedTracesAreGenerated(t *testing.T) {
	for _, generated := range Generate() {
		var want bytes.Buffer
		require.NoError(t, trace.Encode(&want, generated))
		require.Less(t, want.Len(), maxTraceBytes)
		have, err := os.ReadFile(filepath.Join(traceDirectory, generated.Header.Name+".jsonl"))
		require.NoError(t, err)
		require.True(t, bytes.Equal(want.Bytes(), have), "%s differs; run rattanctl replay -generate testdata/traces", generated.Header.Name)
		loadCommitted(t, generated.Header.Name)
	}
}

// Guards against results that depend on map order, wall-clock time or earlier runs.
func TestSameSeedSameResult(t *testing.T) {
	tr := loadCommitted(t, "engine-reclaimed")
	for name, factory := range Policies() {
		first, err := Simulate(tr, name, factory, 7)
		require.NoError(t, err)
		second, err := Simulate(tr, name, factory, 7)
		require.NoError(t, err)
		require.Equal(t, first, second)
	}
}

// Checks the daemon's decision code against the outcomes that each trace states, which
// come from the design page.
func TestStatedOutcomes(t *testing.T) {
	for _, generated := range Generate() {
		t.Run(generated.Header.Name, func(t *testing.T) {
			path := filepath.Join(traceDirectory, generated.Header.Name+".jsonl")
			traces, named, err := loadTraces([]string{path})
			require.NoError(t, err)
			c, err := Compare(traces, requiredPolicies(traces, Rattanscale), Seeds(2))
			require.NoError(t, err)
			checks, err := c.Checks(Rattanscale)
			require.NoError(t, err)
			for _, k := range checks {
				if named[k.Trace] && !k.Met {
					t.Error(k)
				}
			}
		})
	}
}

// smallTrace returns a trace of one engine with the given events.
func smallTrace(events ...trace.Event) *trace.Trace {
	p := standardPool("p", "dc", 1)
	p.Upstreams[0].Engine.Noise = 0
	return &trace.Trace{
		Header: trace.Header{
			Version: trace.FormatVersion, Name: "small", Order: trace.OrderTime, SpanMS: 10_000, Pools: []trace.Pool{p},
			Services: []trace.Service{{Name: "s", Pools: []string{"p"}, Delivery: trace.DeliverRestart, Priority: 5}},
			Accounts: []trace.Account{{Name: "a", Share: 1}, {Name: "b", Share: 1}},
		},
		Events: events,
	}
}

func arrival(at int64, id, account string, output int) trace.Event {
	return trace.Event{AtMS: at, Kind: trace.Arrive, Arrival: &trace.Arrival{
		ID: id, Service: "s", Account: account, PromptTokens: 10, OutputTokens: output, MaxTokens: 4096,
	}}
}

func simulate(t *testing.T, tr *trace.Trace, policy string) Result {
	t.Helper()
	r, err := Simulate(tr, policy, Policies()[policy], 1)
	require.NoError(t, err)
	return r
}

// Guards against wrong counts of restarted, abandoned and late requests.
func TestMetricsOfSmallTraces(t *testing.T) {
	lost := smallTrace(arrival(0, "r1", "a", 100),
		trace.Event{AtMS: 500, Kind: trace.UpstreamLost, Upstream: "p-e1"},
		trace.Event{AtMS: 1500, Kind: trace.UpstreamBack, Upstream: "p-e1"})
	for _, name := range policyNames() {
		r := simulate(t, lost, name)
		require.Equal(t, 1, r.Completed, name)
		require.Greater(t, r.StallMS, 900.0, "the restart counts as a stall")
		require.Zero(t, r.Duplicates)
	}
	lost.Header.Services[0].Delivery = trace.DeliverError
	require.Equal(t, 1, simulate(t, lost, LeastOutstanding).Failed)

	abandoned := arrival(0, "r1", "a", 1000)
	abandoned.Arrival.AbandonMS = 300
	late := arrival(0, "r2", "a", 200)
	late.Arrival.FinishByMS = 1000
	r := simulate(t, smallTrace(abandoned, late, arrival(0, "r3", "b", 10)), Rattanscale)
	require.Equal(t, 1, r.Abandoned)
	require.Equal(t, 2, r.Completed)
	require.Equal(t, 1, r.WithFinishBy)
	require.Zero(t, r.FinishedInTime)
	require.InDelta(t, 0.1, r.Goodput, 1e-9)
}

// Guards against a fairness index that falls when an account asks for less than its share.
func TestFairness(t *testing.T) {
	accounts := []trace.Account{{Name: "a", Share: 1}, {Name: "b", Share: 3}, {Name: "idle", Share: 5}}
	require.InDelta(t, 1, fairness(accounts, []float64{100, 10, 0}, []float64{90, 10, 0}), 1e-9)
	require.InDelta(t, 1, fairness(accounts, []float64{100, 100, 0}, []float64{25, 75, 0}), 1e-9)
	require.InDelta(t, 0.5, fairness(accounts, []float64{100, 100, 0}, []float64{100, 0, 0}), 1e-9)
}

// refuser refuses every request because it has no upstream.
type refuser struct {
	immediatePolicy
	refused int
}

// Decide implements Decider.
func (r *refuser) Decide(time.Time) []pool.Command {
	var out []pool.Command
	for _, q := range r.pending {
		out = append(out, pool.Refuse{RequestID: q.ID, Reason: pool.ReasonNoUpstream})
	}
	r.refused += len(out)
	r.pending = nil
	return out
}

// Guards against requests that are refused while another pool could serve them,
// and against permits of two pools with the same identifier.
func TestRouterOffersRequestsToAllPools(t *testing.T) {
	tr := smallTrace(arrival(0, "r1", "a", 10), arrival(1, "r2", "a", 10), arrival(2, "r3", "a", 10))
	tr.Header.Pools = append(tr.Header.Pools, standardPool("q", "dc", 1), standardPool("r", "dc", 1))
	tr.Header.Services[0].Pools = []string{"p", "q", "r"}
	refusing := &refuser{immediatePolicy: immediatePolicy{upstreamTracker: newUpstreamTracker()}}
	r, err := Simulate(tr, "test", NewPolicyFactory(func(p entity.Pool, _ uint64) Decider {
		if p.Name == "p" {
			return refusing
		}
		return &immediatePolicy{upstreamTracker: newUpstreamTracker()}
	}), 1)
	require.NoError(t, err)
	require.Equal(t, 3, r.Completed)
	require.Positive(t, refusing.refused)
	require.Zero(t, r.Duplicates)
}

// Guards against exit statuses that hide a missed outcome or a broken trace.
func TestExitStatusOfRun(t *testing.T) {
	directory := t.TempDir()
	write := func(name string, atLeast float64) string {
		tr := smallTrace(arrival(0, "r1", "a", 10))
		tr.Header.Outcomes = []trace.Outcome{{Name: "rate", Metric: trace.MetricGoodput, AtLeast: &atLeast}}
		path := filepath.Join(directory, name)
		require.NoError(t, writeTrace(path, tr))
		return path
	}
	broken := filepath.Join(directory, "broken.jsonl")
	require.NoError(t, os.WriteFile(broken, []byte("{}\n"), 0o600))
	met, missed := write("met.jsonl", 0.1), write("missed.jsonl", 5)
	cases := []struct {
		args []string
		exit int
		want string
	}{
		{[]string{met, "-seeds", "1"}, 0, "small/rate policy=rattanscale: met with 1 of 1 seeds"},
		{[]string{"-policy", "all", "-seeds", "2", met}, 0, WorstCaseReservation},
		{[]string{"-output", "json", met}, 0, `"goodput"`},
		{[]string{missed}, 1, "MISSED small/rate policy=rattanscale seed=1: goodput is 0.1, stated at least 5"},
		{[]string{broken}, 2, "broken.jsonl:1: unsupported or missing version"},
		{[]string{"-policy", "x", met}, 2, "remedy: use one of round-robin"},
		{[]string{"-seeds", "0", met}, 2, "remedy: use 1 to 1000"},
		{[]string{}, 2, "usage: rattanctl replay"},
		{[]string{filepath.Join(directory, "absent")}, 2, "remedy: give the path"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		require.Equal(t, c.exit, Run(c.args, &out, &out), strings.Join(c.args, " "))
		require.Contains(t, out.String(), c.want)
	}
}
