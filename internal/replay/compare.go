package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/rattanscale/rattanscale/internal/trace"
)

// maxParallelRuns bounds the concurrent runs, because each holds a whole simulation in memory.
const maxParallelRuns = 4

// Comparison holds the runs of traces under policies with several seeds.
type Comparison struct {
	Traces   []*trace.Trace
	Policies []string
	Seeds    []uint64
	Results  []Result
	index    map[runKey]int
}

type runKey struct {
	trace, policy string
	seed          uint64
}

// Compare runs every trace under every policy with every seed. Runs are
// independent, so the results do not depend on how many run concurrently.
func Compare(traces []*trace.Trace, policies map[string]PolicyFactory, seeds []uint64) (*Comparison, error) {
	c := &Comparison{Traces: traces, Seeds: seeds, index: map[runKey]int{}}
	for name := range policies {
		c.Policies = append(c.Policies, name)
	}
	slices.SortFunc(c.Policies, func(a, b string) int { return policyOrder(a) - policyOrder(b) })
	c.Results = make([]Result, len(traces)*len(c.Policies)*len(seeds))
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	i := 0
	for _, t := range traces {
		for _, name := range c.Policies {
			for _, seed := range seeds {
				index := i
				c.index[runKey{t.Header.Name, name, seed}] = index
				group.Go(func() (err error) {
					c.Results[index], err = Simulate(t, name, policies[name], seed)
					return err
				})
				i++
			}
		}
	}
	return c, group.Wait()
}

// policyOrder returns the position of a policy in tables.
func policyOrder(policy string) int {
	return slices.Index([]string{RoundRobin, LeastOutstanding, FixedConcurrency, WorstCaseReservation, Rattanscale, Ideal}, policy)
}

func (c *Comparison) result(name, policy string, seed uint64) (Result, error) {
	i, ok := c.index[runKey{name, policy, seed}]
	if !ok {
		return Result{}, fmt.Errorf("no run of trace %s under policy %s", name, policy)
	}
	return c.Results[i], nil
}

// column is one column of the table.
type column struct {
	title  string
	format string
	value  func(Result) float64
}

func columns() []column {
	count := func(f func(Result) int) func(Result) float64 {
		return func(r Result) float64 { return float64(f(r)) }
	}
	return []column{
		{"goodput/s", "%.2f", func(r Result) float64 { return r.Goodput }},
		{"any-start/s", "%.2f", func(r Result) float64 { return r.GoodputAnyStart }},
		{"good tok/s", "%.0f", func(r Result) float64 { return r.GoodTokens }},
		{"stall s", "%.1f", func(r Result) float64 { return r.StallMS / 1000 }},
		{"stall/req ms", "%.0f", func(r Result) float64 { return r.StallPerRequestMS }},
		{"preempt", "%.0f", count(func(r Result) int { return r.Preemptions })},
		{"gap p50", "%.0f", func(r Result) float64 { return r.GapP50MS }},
		{"p95", "%.0f", func(r Result) float64 { return r.GapP95MS }},
		{"p99 ms", "%.0f", func(r Result) float64 { return r.GapP99MS }},
		{"first p50", "%.0f", func(r Result) float64 { return r.FirstP50MS }},
		{"p95", "%.0f", func(r Result) float64 { return r.FirstP95MS }},
		{"p99 ms", "%.0f", func(r Result) float64 { return r.FirstP99MS }},
		{"refused", "%.0f", count(func(r Result) int { return r.Refused })},
		{"failed", "%.0f", count(func(r Result) int { return r.Failed })},
		{"fairness", "%.3f", func(r Result) float64 { return r.Fairness }},
		{"in time", "%.3f", func(r Result) float64 { return r.FinishedInTime }},
		{"cold viol", "%.0f", count(func(r Result) int { return r.ColdViolations })},
		{"max cold", "%.0f", count(func(r Result) int { return r.MaxCold })},
		{"dup", "%.0f", count(func(r Result) int { return r.Duplicates })},
		{"late", "%.0f", count(func(r Result) int { return r.LateDispatches })},
		{"cut", "%.0f", count(func(r Result) int { return r.CutOff })},
		{"unfinished", "%.0f", count(func(r Result) int { return r.Unfinished })},
	}
}

// WriteTable prints a table for each trace with a row for each policy. A cell holds the
// median over the seeds and, where the seeds differ, the range in brackets.
func (c *Comparison) WriteTable(out io.Writer) error {
	for _, t := range c.Traces {
		requests := 0
		if len(c.Policies) > 0 && len(c.Seeds) > 0 {
			requests = c.Results[c.index[runKey{t.Header.Name, c.Policies[0], c.Seeds[0]}]].Requests
		}
		fmt.Fprintf(out, "%s: %s (%d requests counted, %d seeds)\n", t.Header.Name, t.Header.About, requests, len(c.Seeds))
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprint(w, "policy")
		for _, k := range columns() {
			fmt.Fprint(w, "\t", k.title)
		}
		fmt.Fprintln(w)
		for _, p := range c.Policies {
			fmt.Fprint(w, p)
			for _, k := range columns() {
				fmt.Fprint(w, "\t", c.formatCell(t.Header.Name, p, k))
			}
			fmt.Fprintln(w)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

func (c *Comparison) formatCell(name, policy string, k column) string {
	var values []float64
	for _, seed := range c.Seeds {
		values = append(values, k.value(c.Results[c.index[runKey{name, policy, seed}]]))
	}
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	text := func(v float64) string { return fmt.Sprintf(k.format, v) }
	median := text(values[len(values)/2])
	low, high := text(values[0]), text(values[len(values)-1])
	if low == high {
		return median
	}
	return fmt.Sprintf("%s [%s-%s]", median, low, high)
}
