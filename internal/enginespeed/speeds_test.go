package enginespeed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const reportInterval = time.Second

// measureStreams lets hosts with a few streams each measure engines whose output tokens take 8 ms times the
// given factor, and deliver their reports to each other with the given probability. The number
// of requests beside a stream varies and adds 0.1 ms each.
func measureStreams(hosts int, factors []float64, duration time.Duration, delivered float64) []*Table {
	random, now := rand.New(rand.NewPCG(3, 4)), time.Unix(1000, 0)
	tables := make([]*Table, hosts)
	for i := range tables {
		tables[i] = NewTable()
	}
	for at := time.Duration(0); at < duration; at += 250 * time.Millisecond {
		now := now.Add(at)
		for i, table := range tables {
			e := (i + int(at/reportInterval)) % len(factors)
			running, prompts := 1+random.IntN(12), random.IntN(2+e%2) == 0 // odd engines process fewer prompts
			noise := 0.8 + 0.4*random.Float64()
			perToken := factors[e] * noise * (8 + 0.1*float64(running)) / 1000
			if prompts && e%4 != 1 { // engines 1, 5 and 9 are full, so that prompts wait there
				perToken *= 2
			}
			table.RecordOutput("s", fmt.Sprint(e), 1, Output{Tokens: 96, Running: running, Prompts: prompts, Duration: time.Duration(96 * perToken * float64(time.Second))}, now)
			table.RecordPrompt("s", fmt.Sprint(e), 1, 2500, time.Duration(2500*0.00015*factors[e]*noise*float64(time.Second)), now)
			for j, other := range tables {
				if i != j && random.Float64() < delivered {
					other.Merge(fmt.Sprint(i), table.OwnReport(reportInterval, now), func(string) string { return "s" }, now)
				}
			}
		}
	}
	for _, table := range tables {
		table.Refresh(now.Add(duration))
	}
	return tables
}

// Guards against hosts that know only the engines on which they run streams, and against
// estimates that are wrong by more than the noise of one stream, a fifth, and a little. Four fifths of the reports are
// lost; each host has measured a part of the engines.
func TestAllHostsLearnTheSpeedOfAllEngines(t *testing.T) {
	factors := []float64{0.7, 0.7, 1.7, 1, 0.7, 1.7, 0.7, 1, 0.7, 1.7, 0.7, 0.7}
	for _, hosts := range []int{9, 60} {
		for _, table := range measureStreams(hosts, factors, 10*time.Second, 0.2) {
			estimates := table.Estimates()
			require.True(t, estimates.Compared("s").Differ)
			for e, factor := range factors {
				speed := estimates.Of("s", fmt.Sprint(e))
				require.InEpsilon(t, factor, speed.OutputToken/estimates.Of("s", "3").OutputToken, 0.3, "%d hosts, engine %d against one of factor 1", hosts, e)
				require.InEpsilon(t, factor*0.00015, speed.PromptToken, 0.25, "%d hosts, engine %d", hosts, e)
			}
		}
	}
}

// Guards against equal engines that are told apart by noise, which would change the placing of
// sites whose engines are alike.
func TestEqualEnginesDoNotDiffer(t *testing.T) {
	equal := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	for _, hosts := range []int{9, 60} {
		for _, table := range measureStreams(hosts, equal, 10*time.Second, 0.2) {
			require.False(t, table.Estimates().Compared("s").Differ)
		}
	}
}

// Guards against an engine that keeps the speed of its previous start, or gets it back from an
// older report.
func TestNewIncarnationStartsWithoutSpeed(t *testing.T) {
	table, now := measureStreams(1, []float64{1, 1, 4}, 10*time.Second, 0)[0], time.Unix(1010, 0)
	slow, typical := table.Estimates().Of("s", "2"), table.Estimates().typical["s"]
	require.Greater(t, slow.OutputToken, 1.5*typical.OutputToken)
	table.RecordOutput("s", "2", 2, Output{Tokens: 1, Duration: 8 * time.Millisecond}, now)
	old := Report{Period: 1, Engines: []Measured{{Engine: "2", Incarnation: 1, Figures: Figures{OutputTokens: 5000, OutputSeconds: 500}}}}
	table.Merge("h2", old, func(string) string { return "s" }, now)
	table.Refresh(now)
	require.InEpsilon(t, table.Estimates().typical["s"].OutputToken, table.Estimates().Of("s", "2").OutputToken, 0.05)
}

// Guards against a speed that outlasts what it was measured on, and against tables that keep
// engines and hosts that are gone.
func TestSpeedsFadeAndAreForgotten(t *testing.T) {
	table, now := measureStreams(2, []float64{1, 1, 4}, 10*time.Second, 1)[0], time.Unix(1010, 0)
	before := table.Estimates().Of("s", "2").MeasuredTokens
	table.Refresh(now.Add(2 * halfLife)) // from the last measurements on
	require.InEpsilon(t, before/4, table.Estimates().Of("s", "2").MeasuredTokens, 0.3)
	table.Evict(func(string) bool { return false }, now.Add(retention+time.Second))
	table.Refresh(now.Add(retention + time.Second))
	require.Empty(t, table.engines)
	require.Empty(t, table.seenPeriod)
	require.False(t, table.Estimates().Of("s", "2").Known())
}

// Guards against a report that counts twice, one that grows with the engines, and figures that
// are no measurement.
func TestReportsAreBoundedAndCountOnce(t *testing.T) {
	from, to, now := NewTable(), NewTable(), time.Unix(1000, 0)
	for e := range 100 {
		from.RecordOutput("s", fmt.Sprint(e), 1, Output{Tokens: 4 + e, Duration: 40 * time.Millisecond}, now)
	}
	report := from.OwnReport(reportInterval, now)
	require.Len(t, report.Engines, maxReportedEngines)
	require.Equal(t, "99", report.Engines[0].Engine)
	for range 3 {
		to.Merge("h", report, func(string) string { return "s" }, now)
	}
	require.InDelta(t, 103, to.engines["99"].sums.outputTokens, 0.01)
	to.Merge("h", Report{Period: 7, Engines: []Measured{{Engine: "99", Incarnation: 1, Figures: Figures{OutputTokens: -5}}}}, func(string) string { return "s" }, now)
	require.InDelta(t, 103, to.engines["99"].sums.outputTokens, 0.01)
}

// BenchmarkRefresh measures the update of the estimates, which a host makes some times a second.
func BenchmarkRefresh(b *testing.B) {
	for _, engines := range []int{12, 68, 1000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			table, now := NewTable(), time.Unix(1000, 0)
			for e := range engines {
				table.RecordOutput("s", fmt.Sprint(e), 1, Output{Tokens: 400, Running: 5, Duration: 4 * time.Second}, now)
				table.RecordPrompt("s", fmt.Sprint(e), 1, 4000, time.Second, now)
			}
			for b.Loop() {
				table.Refresh(now)
			}
		})
	}
}
