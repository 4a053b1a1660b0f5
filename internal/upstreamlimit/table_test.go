package upstreamlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	engine = Upstream{ID: "engine-1", Incarnation: 7}
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

func alone() *Sharers { return NewSharers("h1", nil) }

// Guards against a limit that holds after the upstream or a newer incarnation takes requests
// again, and against one that an older answer lifts.
func TestLimitHoldsWhileItIsStated(t *testing.T) {
	table := NewTable(start)
	require.True(t, table.Take(engine, alone, start))
	require.False(t, table.Record(engine, lifted, start, start))
	require.True(t, table.Record(engine, 2, start, start))
	require.False(t, table.Record(engine, 2, start, start.Add(time.Second)), "nothing new")
	require.False(t, table.Record(engine, 2.1, start, start.Add(time.Second+1)), "little changed")
	perSecond, _ := table.Limit(engine, start.Add(time.Second+1))
	require.Equal(t, 2.1, perSecond)
	require.True(t, table.Record(engine, 1, start, start.Add(time.Second+2)))
	require.True(t, table.Record(engine, 2, start, start.Add(time.Second+3)))
	require.False(t, table.Record(engine, lifted, start.Add(time.Second), start.Add(2*time.Second)), "sent too early")
	require.True(t, table.Limited(engine, start.Add(2*time.Second)))
	require.False(t, table.Limited(Upstream{ID: engine.ID, Incarnation: 8}, start.Add(2*time.Second)))
	require.True(t, table.Record(engine, lifted, start.Add(2*time.Second), start.Add(3*time.Second)))
	require.False(t, table.Limited(engine, start.Add(3*time.Second)))
	require.True(t, table.Record(engine, 2, start.Add(3*time.Second), start.Add(4*time.Second)))
	require.True(t, table.Limited(engine, start.Add(retention)))
	require.False(t, table.Limited(engine, start.Add(4*time.Second+retention)), "not stated again")
	table.Evict(start.Add(4*time.Second + retention))
	require.Empty(t, table.entries)
}

// Guards against statements of other hosts that arrive late, twice or damaged, and against
// hosts that prolong a limit for each other.
func TestMergedStatements(t *testing.T) {
	a, b := NewTable(start), NewTable(start)
	a.Record(engine, 3, start, start)
	statements := a.Report(start.Add(time.Second))
	require.Equal(t, []Statement{{Upstream: engine.ID, Incarnation: 7, PerSecond: 3, Age: 1000}}, statements)
	b.Merge(statements, start.Add(time.Second))
	require.True(t, b.Limited(engine, start.Add(time.Second)))
	require.Empty(t, b.Report(start.Add(time.Second)), "only the host that was told reports it")
	b.Record(engine, lifted, start.Add(2*time.Second), start.Add(3*time.Second))
	b.Merge(statements, start.Add(3*time.Second))
	require.False(t, b.Limited(engine, start.Add(3*time.Second)), "the late report is older")
	a.Merge(b.Report(start.Add(5*time.Second)), start.Add(5*time.Second))
	require.False(t, a.Limited(engine, start.Add(5*time.Second)))
	require.Empty(t, a.Report(start.Add(5*time.Second)))
	for _, perSecond := range []float64{math.NaN(), math.Inf(1)} {
		b.Merge([]Statement{{Upstream: "x", PerSecond: perSecond, Age: -5}}, start)
	}
	b.Merge([]Statement{{Upstream: "x", PerSecond: lifted}, {Upstream: "y", PerSecond: 1, Age: math.MaxInt64}}, start)
	require.Len(t, b.entries, 1)
	for i := range 2 * maxEntries {
		b.Merge([]Statement{{Upstream: fmt.Sprint(i), PerSecond: 1}}, start)
	}
	require.Len(t, b.entries, maxEntries)
}

// simulatedHost is one host, which has a request to send in each step.
type simulatedHost struct {
	table *Table
	// start is the start of the simulation by its time of day.
	start time.Time
	// view is the hosts that it knows: all, or without each tenth.
	view, all, fewer *Sharers
	stopped          bool
}

// sharersOf returns the view of each host, without the others whose number is divisible by skip
// unless it is 1.
func sharersOf(hosts, skip int) []*Sharers {
	out := make([]*Sharers, hosts)
	for i := range out {
		var others []string
		for j := range hosts {
			if j != i && (skip == 1 || j%skip != 0) {
				others = append(others, fmt.Sprint("h", j))
			}
		}
		out[i] = NewSharers(fmt.Sprint("h", i), others)
	}
	return out
}

// allowedInWindow is the users' bound on the requests of a window of 4 s.
func allowedInWindow(perSecond float64) int { return int(1.5*perSecond*4 + 5) }

// simulate plays hosts that send all they may, and returns the most requests in 4 s and the mean
// rate. change may change a host at a time.
func simulate(hosts int, perSecond float64, length time.Duration, clockError func(rank int) time.Duration, change func(h *simulatedHost, rank int, at time.Duration)) (most int, rate float64) {
	const step, window = 20 * time.Millisecond, 4 * time.Second
	site := make([]*simulatedHost, hosts)
	all, fewer := sharersOf(hosts, 1), sharersOf(hosts, 10)
	for i := range site {
		from := start.Add(clockError(i))
		site[i] = &simulatedHost{table: NewTable(from), start: from, all: all[i], fewer: fewer[i]}
		site[i].table.Record(engine, perSecond, from, from)
	}
	variation := rand.New(rand.NewPCG(5, 6))
	steps := int(length / step)
	sent := make([]int, steps)
	total, inWindow := 0, 0
	for n := range steps {
		at := time.Duration(n) * step
		for i, h := range site {
			h.view = h.all
			change(h, i, at)
			now := h.start.Add(at)
			if n%50 == 0 {
				// The limit varies from answer to answer.
				h.table.Record(engine, perSecond*(1+0.1*variation.Float64()), now, now)
			}
			for !h.stopped && h.table.Take(engine, func() *Sharers { return h.view }, now) {
				sent[n]++
			}
		}
		total += sent[n]
		inWindow += sent[n]
		if old := n - int(window/step); old >= 0 {
			inWindow -= sent[old]
		}
		most = max(most, inWindow)
	}
	return most, float64(total) / length.Seconds()
}

// Guards against hosts that together send more than an upstream takes, or far less, while they
// start, stop, disagree on the number of hosts or have different clocks.
func TestHostsShareALimit(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, hosts := range []int{1, 3, 9, 59, 90, 300} {
		for _, perSecond := range []float64{0.3, 1, 4, 30, 200} {
			calm := func(*simulatedHost, int, time.Duration) {}
			noError := func(int) time.Duration { return 0 }
			most, rate := simulate(hosts, perSecond, 30*time.Second, noError, calm)
			require.LessOrEqual(t, most, allowedInWindow(perSecond), "%d hosts, %v a second", hosts, perSecond)
			require.LessOrEqual(t, rate, perSecond+0.2, "%d hosts, %v a second", hosts, perSecond)
			if hosts*3 <= int(30*perSecond) { // a host has at least three slots in the time
				require.GreaterOrEqual(t, rate, 0.8*perSecond, "%d hosts, %v a second", hosts, perSecond)
			}
			// One fifth of the clocks are wrong; one tenth of the hosts restart one after another,
			// and the others notice late.
			clockError := func(int) time.Duration {
				if random.IntN(5) == 0 {
					return time.Duration(random.Int64N(int64(20 * time.Second)))
				}
				return 0
			}
			trouble := func(h *simulatedHost, i int, at time.Duration) {
				h.stopped = i%10 == 0 && at%(10*time.Second) < time.Duration(i%7)*time.Second
				if at%(5*time.Second) > 3*time.Second {
					h.view = h.fewer
				}
			}
			most, _ = simulate(hosts, perSecond, 30*time.Second, clockError, trouble)
			require.LessOrEqual(t, most, allowedInWindow(perSecond), "trouble, %d hosts, %v a second", hosts, perSecond)
		}
	}
}

// Guards against an order of statements, lost and repeated reports, and requests in which a host
// that was told of a limit exceeds its share, or a limit outlives its bound.
func TestSharesHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 30, 300}).Draw(t, "hosts")
		perSecond := rapid.SampledFrom([]float64{0.2, 1, 7, 50}).Draw(t, "perSecond")
		const played = 3 // of the hosts; the others use their share elsewhere
		tables := make([]*Table, played)
		for i := range tables {
			tables[i] = NewTable(start)
		}
		views := sharersOf(hosts, 1)
		var reports [][]Statement
		now, lastStated := start, time.Time{}
		var sent [played][]time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, played-1).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				tables[i].Record(engine, perSecond, now, now)
				lastStated = now
			case 1:
				reports = append(reports, tables[i].Report(now))
			case 2:
				if len(reports) > 0 {
					tables[i].Merge(rapid.SampledFrom(reports).Draw(t, "report"), now)
					lastStated = now
				}
			default:
				limited := tables[i].Limited(engine, now)
				if limited && now.Sub(lastStated) >= retention {
					t.Fatalf("the limit holds %v after it was stated or reported", now.Sub(lastStated))
				}
				if tables[i].Take(engine, func() *Sharers { return views[i] }, now) && limited {
					sent[i] = append(sent[i], now)
				}
			}
		}
		var together []time.Time
		for i := range sent {
			together = append(together, sent[i]...)
		}
		slices.SortFunc(together, time.Time.Compare)
		for from := range together {
			n := 0
			for _, at := range together[from:] {
				if at.Sub(together[from]) < 4*time.Second {
					n++
				}
			}
			if n > allowedInWindow(max(perSecond, minPerSecond)) {
				t.Fatalf("%d of %d hosts sent %d in 4 s with a limit of %v a second", played, hosts, n, perSecond)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	table := NewTable(start)
	view := sharersOf(90, 1)[3]
	sharers := func() *Sharers { return view }
	b.Run("no limits", func(b *testing.B) {
		for b.Loop() {
			table.Take(engine, sharers, start)
		}
	})
	table.Record(engine, 5, start, start)
	b.Run("limited", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Take(engine, sharers, start)
		}
	})
	for _, hosts := range []int{90, 300, 2600} {
		view = sharersOf(hosts, 1)[3]
		b.Run(fmt.Sprintf("next slot of %d hosts", hosts), func(b *testing.B) {
			table, now := NewTable(start), start
			for b.Loop() {
				now = now.Add(time.Second / 4)
				table.Record(engine, 5, now, now)
				table.Take(engine, sharers, now)
			}
		})
	}
}
