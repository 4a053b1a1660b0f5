package replay

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// Exit statuses of Run.
const (
	exitMet    = 0
	exitMissed = 1
	exitUsage  = 2
)

// NewDecider returns the daemon's decision code for one pool.
func NewDecider(p entity.Pool, seed uint64) Decider {
	return stateDecider{pool.New(pool.Config{Pool: p, Seed: seed})}
}

// stateDecider adapts pool.State to Decider. It ignores permits that pool.State does
// not know: a pool has the same owner during the whole run, so there are none.
type stateDecider struct{ *pool.State }

// Progress implements Decider.
func (d stateDecider) Progress(now time.Time, progress []pool.Progress) {
	d.State.Progress(now, progress)
}

// Policies returns the baselines and rattanscale by name.
func Policies() map[string]PolicyFactory {
	out := Baselines()
	out[Rattanscale] = NewPolicyFactory(NewDecider)
	return out
}

type runOptions struct {
	policy   string
	seeds    int
	output   string
	generate string
	traces   []string
}

// Run implements `rattanctl replay [flags] TRACE...`. It returns 0 when all stated
// outcomes are met, 1 when one is missed and 2 when the command or a trace is invalid.
func Run(args []string, stdout, stderr io.Writer) int {
	options, err := parseOptions(args, stderr)
	if err != nil {
		if err != flag.ErrHelp {
			fmt.Fprintln(stderr, err)
		}
		return exitUsage
	}
	if options.generate != "" {
		err = WriteTraces(options.generate)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if len(options.traces) == 0 {
		return exitMet
	}
	return runTraces(options, stdout, stderr)
}

func parseOptions(args []string, stderr io.Writer) (runOptions, error) {
	var o runOptions
	f := flag.NewFlagSet("replay", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.policy, "policy", Rattanscale, "policy to check, or all to compare every policy")
	f.IntVar(&o.seeds, "seeds", 3, "number of seeds")
	f.StringVar(&o.output, "output", "text", "text or json")
	f.StringVar(&o.generate, "generate", "", "write the generated traces to this directory")
	f.Usage = func() {
		fmt.Fprintln(stderr, "usage: rattanctl replay [-policy NAME|all] [-seeds N] [-output text|json] [-generate DIR] TRACE...")
		f.PrintDefaults()
	}
	// The flag package stops at the first operand, but flags may also follow the traces.
	for rest := args; len(rest) > 0; {
		if err := f.Parse(rest); err != nil {
			return o, flag.ErrHelp
		}
		rest = f.Args()
		if len(rest) > 0 {
			o.traces, rest = append(o.traces, rest[0]), rest[1:]
		}
	}
	names := append(policyNames(), "all")
	switch {
	case len(o.traces) == 0 && o.generate == "":
		f.Usage()
		return o, flag.ErrHelp
	case !slices.Contains(names, o.policy):
		return o, fmt.Errorf("unknown policy %q (remedy: use one of %s)", o.policy, strings.Join(names, ", "))
	case o.seeds < 1 || o.seeds > 1000:
		return o, fmt.Errorf("seeds %d is out of range (remedy: use 1 to 1000)", o.seeds)
	case o.output != "text" && o.output != "json":
		return o, fmt.Errorf("unknown output %q (remedy: use text or json)", o.output)
	}
	return o, nil
}

func policyNames() []string {
	var names []string
	for name := range Policies() {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return policyOrder(a) - policyOrder(b) })
	return names
}

func runTraces(o runOptions, stdout, stderr io.Writer) int {
	traces, requested, err := loadTraces(o.traces)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	checkedPolicy := o.policy
	policies := Policies()
	if o.policy == "all" {
		checkedPolicy = Rattanscale
	} else {
		policies = requiredPolicies(traces, o.policy)
	}
	c, err := Compare(traces, policies, Seeds(o.seeds))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	checks, err := c.Checks(checkedPolicy)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	checks = slices.DeleteFunc(checks, func(k Check) bool { return !requested[k.Trace] })
	if err := c.print(o.output, checks, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	missed := Missed(checks)
	for _, k := range missed {
		fmt.Fprintln(stderr, k)
	}
	if len(missed) > 0 {
		return exitMissed
	}
	return exitMet
}

func (c *Comparison) print(output string, checks []Check, stdout io.Writer) error {
	if output == "json" {
		e := json.NewEncoder(stdout)
		e.SetIndent("", "  ")
		return e.Encode(struct {
			Results []Result `json:"results"`
			Checks  []Check  `json:"checks"`
		}{c.Results, checks})
	}
	if err := c.WriteTable(stdout); err != nil {
		return err
	}
	printSummary(checks, len(c.Seeds), stdout)
	return nil
}

// printSummary prints one line for each outcome with the number of seeds that met it.
func printSummary(checks []Check, seeds int, stdout io.Writer) {
	type key struct {
		trace, outcome string
		atLeast        bool
	}
	met := map[key]int{}
	for _, k := range checks {
		if k.Met {
			met[key{k.Trace, k.Outcome, k.AtLeast}]++
		}
	}
	printed := map[key]bool{}
	for _, k := range checks {
		id := key{k.Trace, k.Outcome, k.AtLeast}
		if !printed[id] {
			printed[id] = true
			fmt.Fprintf(stdout, "%s/%s policy=%s: met with %d of %d seeds\n", k.Trace, k.Outcome, k.Policy, met[id], seeds)
		}
	}
}

// requiredPolicies returns the policy and those to which the outcomes of the traces refer.
func requiredPolicies(traces []*trace.Trace, policy string) map[string]PolicyFactory {
	all := Policies()
	out := map[string]PolicyFactory{policy: all[policy]}
	for _, t := range traces {
		for _, o := range t.Header.Outcomes {
			if f, ok := all[o.ReferencePolicy]; ok {
				out[o.ReferencePolicy] = f
			}
		}
	}
	return out
}

// loadTraces reads the traces at the paths and those to which their outcomes refer. The
// returned set holds the names of the traces at the paths.
func loadTraces(paths []string) ([]*trace.Trace, map[string]bool, error) {
	var traces []*trace.Trace
	requested, loaded := map[string]bool{}, map[string]bool{}
	for _, path := range paths {
		t, err := trace.Load(path)
		if err != nil {
			return nil, nil, err
		}
		if !loaded[t.Header.Name] {
			traces = append(traces, t)
		}
		requested[t.Header.Name], loaded[t.Header.Name] = true, true
	}
	for i, path := range paths[:min(len(paths), len(traces))] {
		for _, o := range traces[i].Header.Outcomes {
			if o.ReferenceTrace == "" || loaded[o.ReferenceTrace] {
				continue
			}
			t, err := trace.Load(filepath.Join(filepath.Dir(path), o.ReferenceTrace+".jsonl"))
			if err != nil {
				return nil, nil, fmt.Errorf("outcome %s: %w", o.Name, err)
			}
			traces, loaded[o.ReferenceTrace] = append(traces, t), true
		}
	}
	return traces, requested, nil
}

// Seeds returns the seeds 1 to n.
func Seeds(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i) + 1
	}
	return out
}

// WriteTraces writes the generated traces to the directory.
func WriteTraces(directory string) error {
	for _, t := range Generate() {
		if err := writeTrace(filepath.Join(directory, t.Header.Name+".jsonl"), t); err != nil {
			return fmt.Errorf("write trace: %w (remedy: give an existing writable directory)", err)
		}
	}
	return nil
}

func writeTrace(path string, t *trace.Trace) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := trace.Encode(f, t); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
