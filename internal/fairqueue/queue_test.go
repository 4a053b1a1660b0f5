package fairqueue

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// A fixed seed gives the same result in every run; -rapid.seed explores others.
func init() { _ = flag.Set("rapid.seed", "20260102") }

func newItem(id, account string, priority int, cost float64) Item[int] {
	return Item[int]{ID: id, Account: account, Weight: 1, Priority: priority, Cost: cost}
}

// serveNext serves the next n requests.
func serveNext(q *Queue[int], now time.Time, n int) []Item[int] {
	var out []Item[int]
	q.Scan(now, func(it *Item[int]) Verdict {
		if len(out) == n {
			return Stop
		}
		out = append(out, *it)
		return Take
	})
	return out
}

func ids(items []Item[int]) (out []string) {
	for _, it := range items {
		out = append(out, it.ID)
	}
	return out
}

// Accounts that always have requests waiting must receive service in proportion to
// their weights, to within one request of each.
func TestWeightedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](100000)
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 5).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.Float64Range(1, 500), 40, 40).Draw(t, "costs")
		served := make([]float64, len(weights))
		n := 0
		push := func(account int) {
			n++
			it := newItem(fmt.Sprint(n), fmt.Sprint(account), 5, costs[n%len(costs)])
			it.Weight, it.Value = weights[account], account
			require.True(t, q.Push(t0, it, 0))
		}
		for a := range weights {
			push(a)
			push(a)
		}
		for range rapid.IntRange(10, 300).Draw(t, "rounds") {
			it := serveNext(q, t0, 1)[0]
			served[it.Value] += it.Cost
			push(it.Value)
			for a := range weights {
				for b := range weights {
					gap := math.Abs(served[a]/weights[a] - served[b]/weights[b])
					if bound := 500/weights[a] + 500/weights[b]; gap > bound+1e-6 {
						t.Fatalf("shares of %d and %d differ by %.1f, bound %.1f", a, b, gap, bound)
					}
				}
			}
		}
	})
}

// Actual costs above the expected ones must count against the account's share.
func TestCorrectionCharges(t *testing.T) {
	q := New[int](100)
	for i := range 4 {
		q.Push(t0, newItem(fmt.Sprint("a", i), "a", 5, 10), 0)
		q.Push(t0, newItem(fmt.Sprint("b", i), "b", 5, 10), 0)
	}
	require.Equal(t, []string{"a0", "b0"}, ids(serveNext(q, t0, 2)))
	q.CorrectCost("a", 5, 20)
	require.Equal(t, []string{"b1", "b2", "a1"}, ids(serveNext(q, t0, 3)))
}

// Higher priorities must be served first, but a low one must not starve.
func TestPriorityAndAging(t *testing.T) {
	q := New[int](10000)
	q.Push(t0, newItem("low-1", "a", 2, 1), 0)
	q.Push(t0, newItem("low-2", "a", 2, 1), 0)
	now, low := t0, []time.Duration{}
	for i := range 400 {
		q.Push(now, newItem(fmt.Sprint("high", i), "b", 5, 1), 0)
		if it := serveNext(q, now, 1)[0]; it.Priority == 2 {
			low = append(low, now.Sub(t0))
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Equal(t, []time.Duration{3 * AgingInterval, 6 * AgingInterval}, low)
}

// Within an account, requests must be served by FinishBy time, then in the order of
// arrival.
func TestEarliestFinishFirst(t *testing.T) {
	q := New[int](100)
	for i, by := range []time.Duration{0, 3 * time.Hour, time.Hour, 0} {
		it := newItem(fmt.Sprint(i), "a", 5, 1)
		if by > 0 {
			it.FinishBy = t0.Add(by)
		}
		q.Push(t0, it, 0)
	}
	require.Equal(t, []string{"2", "1", "0", "3"}, ids(serveNext(q, t0, 4)))
}

// A skipped request must keep its position and its account's share.
func TestSkipKeepsOrder(t *testing.T) {
	q := New[int](100)
	for _, id := range []string{"a1", "a2", "b1", "c1"} {
		q.Push(t0, newItem(id, id[:1], 5, 1), 0)
	}
	var seen []string
	q.Scan(t0, func(it *Item[int]) Verdict {
		seen = append(seen, it.ID)
		switch it.Account {
		case "a":
			return Skip
		case "b":
			return Drop
		}
		return Stop
	})
	require.Equal(t, []string{"a1", "b1", "c1"}, seen)
	require.Equal(t, []string{"a1", "c1", "a2"}, ids(serveNext(q, t0, 9)))
	require.Zero(t, q.Len())
	require.Zero(t, q.Cost())
}

// The bounds must hold for each account and for the queue, and the counts must stay
// exact under any order of operations.
func TestBoundsAndCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](12)
		waiting := map[string]Item[int]{}
		remove := func(items ...Item[int]) {
			for _, it := range items {
				if _, ok := waiting[it.ID]; !ok {
					t.Fatalf("%s left twice", it.ID)
				}
				delete(waiting, it.ID)
			}
		}
		now := t0
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				it := newItem(fmt.Sprint(i), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), rapid.IntRange(-1, 10).Draw(t, "priority"), 5)
				if rapid.Bool().Draw(t, "deadline") {
					it.Deadline = now.Add(10 * time.Second)
				}
				if q.Push(now, it, 4) {
					waiting[it.ID] = it
				}
			case 3:
				remove(serveNext(q, now, rapid.IntRange(0, 3).Draw(t, "n"))...)
			case 4:
				if it, ok := q.Remove(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id"))); ok {
					remove(it)
				}
			case 5:
				for _, it := range q.Expire(now) {
					require.True(t, now.After(it.Deadline))
					remove(it)
				}
			}
			counts, levels := map[string]int{}, 0
			for _, it := range waiting {
				counts[it.Account]++
			}
			for p := range Priorities {
				levels += q.LevelLen(p)
			}
			for a, n := range counts {
				if n > 4 {
					t.Fatalf("%d requests of account %s wait", n, a)
				}
			}
			if q.Len() != len(waiting) || levels != len(waiting) || q.Len() > 12 || math.Abs(q.Cost()-5*float64(q.Len())) > 1e-6 {
				t.Fatalf("counts differ: %d, %d, %d, cost %.1f", q.Len(), levels, len(waiting), q.Cost())
			}
		}
		remove(q.Drain()...)
		require.Empty(t, waiting)
	})
}

// The cost ahead must include higher priorities and the share of other accounts.
func TestCostAhead(t *testing.T) {
	q := New[int](100)
	q.Push(t0, newItem("h", "x", 7, 100), 0)
	for i := range 10 {
		q.Push(t0, newItem(fmt.Sprint(i), "a", 5, 10), 0)
	}
	require.InDelta(t, 100, q.CostAhead("new", 1, 5), 1e-9)
	require.InDelta(t, 200, q.CostAhead("a", 1, 5), 1e-9)
	require.InDelta(t, 200, q.CostAhead("x", 1, 3)+100, 101)
}

func BenchmarkPushTake(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			q := New[int](n + 1)
			for i := range n {
				q.Push(t0, newItem(fmt.Sprint(i), fmt.Sprint("a", i%50), i%10, 10), 0)
			}
			i := n
			b.ReportAllocs()
			for b.Loop() {
				i++
				q.Push(t0, newItem(fmt.Sprint(i), fmt.Sprint("a", i%50), i%10, 10), 0)
				serveNext(q, t0, 1)
			}
		})
	}
}
