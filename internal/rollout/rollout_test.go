package rollout

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// A fixed seed makes every run test the same cases; -rapid.seed selects others.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against requests that return to the old version at a later step, against a
// wrong share of requests, and against non-repeatable calls on the new version before
// the step that allows them.
func TestAssignIsStableAndProportional(t *testing.T) {
	r := entity.Rollout{Service: "s", From: "v1", To: "v2", State: entity.RolloutRunning, StartedAt: time.Unix(1, 0)}
	const n = 20_000
	for _, c := range []struct {
		repeatable bool
		want       [len(Steps)]int
	}{{true, Steps}, {false, [...]int{0, 0, 0, NonRepeatablePercent, 100}}} {
		s := entity.Service{Repeatable: c.repeatable}
		onNew := map[uint64]bool{}
		for i, step := range Steps {
			r.Step = step
			count := 0
			for f := range uint64(n) {
				if Assign(r, s, f) == "v2" {
					count++
					onNew[f] = true
				} else {
					require.False(t, onNew[f], "fingerprint %d left the new version at %d%%", f, step)
				}
			}
			assert.InDelta(t, float64(c.want[i])/100, float64(count)/n, 0.01)
		}
	}
	r.State = entity.RolloutUndone
	assert.Equal(t, "v1", Assign(r, entity.Service{Repeatable: true}, 1))
	r.State = entity.RolloutFinished
	assert.Equal(t, "v2", Assign(r, entity.Service{}, 1))
}

// Guards against outcomes that are counted twice or not at all when reports are
// repeated, reordered or lost, or when a daemon restarts.
func TestEvidenceEqualsRecordedOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence, want := NewEvidence(), Comparison{}
		var sent []Report
		counters := []*Counter{NewCounter("a", "1"), NewCounter("b", "1"), NewCounter("a", "2")}
		record := func() {
			o := Outcome{Failed: rapid.Bool().Draw(t, "failed"), FirstToken: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "first"))}
			onNew := rapid.Bool().Draw(t, "new")
			route := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "route")
			rapid.SampledFrom(counters).Draw(t, "counter").Record(5, route, onNew, o)
			if onNew {
				want.New.add(o)
			} else {
				want.Old.add(o)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"record":  func(*rapid.T) { record() },
			"report":  func(t *rapid.T) { sent = append(sent, rapid.SampledFrom(counters).Draw(t, "c").Report(false)) },
			"deliver": func(t *rapid.T) { evidence.Merge(rapid.SampledFrom(append(sent, Report{})).Draw(t, "r")) },
		})
		for _, c := range counters {
			data, err := json.Marshal(c.Report(false))
			require.NoError(t, err)
			var r Report
			require.NoError(t, json.Unmarshal(data, &r))
			assert.True(t, evidence.Merge(r))
			assert.False(t, evidence.Merge(r))
		}
		assert.Equal(t, want, evidence.Total(5))
	})
}

// Guards against a rollout that stays at a step forever because no controller was
// running before its time limit expired.
func TestOverdueRolloutIsUndone(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	r := entity.Rollout{Step: 50, State: entity.RolloutRunning, StartedAt: startedAt, StepAt: startedAt.Add(10 * time.Minute)}
	s := entity.Service{Repeatable: true, Rollout: entity.RolloutPolicy{FinishWithin: time.Hour, MaxErrorIncrease: 0.02, MaxSlowdown: 1.5}}
	assert.Equal(t, Undo, Judge(startedAt.Add(time.Hour), r, s, NewEvidence()).Action)
	r.Step = 100
	assert.Equal(t, Finish, Judge(startedAt.Add(time.Hour), r, s, NewEvidence()).Action)
	r.State = entity.RolloutUndone
	assert.Equal(t, Verdict{}, Judge(startedAt.Add(time.Hour), r, s, NewEvidence()))
}

func BenchmarkJudge(b *testing.B) {
	for _, routes := range []int{4, 8, 16, 64} {
		for _, daemons := range []int{9, 36} {
			b.Run(fmt.Sprintf("routes=%d/daemons=%d", routes, daemons), func(b *testing.B) { benchmarkJudge(b, routes, daemons) })
		}
	}
}

// benchmarkJudge measures one evaluation by the controller: a report of each daemon and one verdict.
func benchmarkJudge(b *testing.B, routes, daemons int) {
	rng := rand.New(rand.NewPCG(1, 1))
	startedAt := time.Unix(1000, 0)
	r := entity.Rollout{Step: 50, State: entity.RolloutRunning, StartedAt: startedAt, StepAt: startedAt}
	s := entity.Service{Repeatable: true, Rollout: entity.RolloutPolicy{FinishWithin: 24 * time.Hour, MaxErrorIncrease: 0.02, MaxSlowdown: 1.5}}
	evidence := NewEvidence()
	counters := make([]*Counter, daemons)
	for i := range counters {
		counters[i] = NewCounter(fmt.Sprint(i), "1")
	}
	now := startedAt
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		for _, c := range counters {
			for range 8 {
				o := Outcome{Failed: rng.Float64() < 0.01, FirstToken: time.Duration(rng.Float64() * 1e9), MeanStep: 40 * time.Millisecond}
				c.Record(50, accountNames[rng.IntN(routes)], rng.IntN(2) == 0, o)
			}
			evidence.Merge(c.Report(rng.IntN(20) == 0))
		}
		Judge(now, r, s, evidence)
	}
}
