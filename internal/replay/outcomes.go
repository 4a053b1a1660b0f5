package replay

import (
	"fmt"

	"github.com/rattanscale/rattanscale/internal/trace"
)

// Check is the verdict on one stated outcome in one run.
type Check struct {
	Trace   string       `json:"trace"`
	Policy  string       `json:"policy"`
	Seed    uint64       `json:"seed"`
	Outcome string       `json:"outcome"`
	Metric  trace.Metric `json:"metric"`
	Value   float64      `json:"value"`
	// Bound is the absolute bound, after multiplication with the reference.
	Bound   float64 `json:"bound"`
	AtLeast bool    `json:"at_least"`
	Met     bool    `json:"met"`
}

// String returns the verdict on one line.
func (c Check) String() string {
	verdict, sign := "met", "at most"
	if !c.Met {
		verdict = "MISSED"
	}
	if c.AtLeast {
		sign = "at least"
	}
	return fmt.Sprintf("%s %s/%s policy=%s seed=%d: %s is %.4g, stated %s %.4g",
		verdict, c.Trace, c.Outcome, c.Policy, c.Seed, c.Metric, c.Value, sign, c.Bound)
}

// roundingTolerance absorbs the rounding of a relative bound.
const roundingTolerance = 1e-9

// Checks compares the runs of a policy with the outcomes that its traces state.
func (c *Comparison) Checks(policy string) ([]Check, error) {
	var out []Check
	for _, t := range c.Traces {
		for _, seed := range c.Seeds {
			for _, o := range t.Header.Outcomes {
				checks, err := c.check(t.Header.Name, policy, seed, o)
				if err != nil {
					return nil, err
				}
				out = append(out, checks...)
			}
		}
	}
	return out, nil
}

func (c *Comparison) check(name, policy string, seed uint64, o trace.Outcome) ([]Check, error) {
	run, err := c.result(name, policy, seed)
	if err != nil {
		return nil, err
	}
	factor := 1.0
	if o.ReferencePolicy != "" || o.ReferenceTrace != "" {
		refTrace, refPolicy := name, policy
		if o.ReferencePolicy != "" {
			refPolicy = o.ReferencePolicy
		}
		if o.ReferenceTrace != "" {
			refTrace = o.ReferenceTrace
		}
		reference, err := c.result(refTrace, refPolicy, seed)
		if err != nil {
			return nil, fmt.Errorf("outcome %s of %s: %w", o.Name, name, err)
		}
		factor = reference.Value(o.Metric)
	}
	var out []Check
	add := func(bound *float64, atLeast bool) {
		if bound == nil {
			return
		}
		k := Check{
			Trace: name, Policy: policy, Seed: seed, Outcome: o.Name, Metric: o.Metric,
			Value: run.Value(o.Metric), Bound: *bound * factor, AtLeast: atLeast,
		}
		if atLeast {
			k.Met = k.Value >= k.Bound-roundingTolerance
		} else {
			k.Met = k.Value <= k.Bound+roundingTolerance
		}
		out = append(out, k)
	}
	add(o.AtMost, false)
	add(o.AtLeast, true)
	return out, nil
}

// Missed returns the checks that were not met.
func Missed(checks []Check) []Check {
	var out []Check
	for _, k := range checks {
		if !k.Met {
			out = append(out, k)
		}
	}
	return out
}
