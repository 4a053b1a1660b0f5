package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Outcome is what one request shows about its version.
type Outcome struct {
	Failed bool
	// Running is set while the request has not ended: only its times are counted.
	Running bool
	// FirstToken is the time to the first token, MeanStep the mean time between tokens.
	// Both are 0 when unknown, as in plain services.
	FirstToken time.Duration
	MeanStep   time.Duration
}

// Counts aggregates the outcomes of one version.
type Counts struct {
	Success    uint64    `json:"success"`
	Failure    uint64    `json:"failure"`
	FirstToken Histogram `json:"first_token"`
	Step       Histogram `json:"step"`
}

func (c *Counts) add(o Outcome) {
	switch {
	case o.Running:
	case o.Failed:
		c.Failure++
	default:
		c.Success++
	}
	if o.FirstToken > 0 {
		c.FirstToken.Add(o.FirstToken)
	}
	if o.MeanStep > 0 {
		c.Step.Add(o.MeanStep)
	}
}

// ended returns the number of requests that have ended.
func (c *Counts) ended() uint64 { return c.Success + c.Failure }

// String returns the counts for a log line.
func (c *Counts) String() string {
	median := func(h *Histogram) time.Duration {
		if n := h.count(); n > 0 {
			return bucketLimit(h.quantileBucket(0.5, n))
		}
		return 0
	}
	return fmt.Sprintf("succeeded:%d failed:%d first-tokens:%d/%v steps:%d/%v", c.Success, c.Failure,
		c.FirstToken.count(), median(&c.FirstToken), c.Step.count(), median(&c.Step))
}

func (c *Counts) plus(o *Counts) {
	c.Success += o.Success
	c.Failure += o.Failure
	c.FirstToken.plus(&o.FirstToken)
	c.Step.plus(&o.Step)
}

func (c *Counts) minus(o *Counts) {
	c.Success -= o.Success
	c.Failure -= o.Failure
	c.FirstToken.minus(&o.FirstToken)
	c.Step.minus(&o.Step)
}

// Comparison holds the counts of both versions over the same period.
type Comparison struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

func (c *Comparison) plus(o *Comparison) {
	c.Old.plus(&o.Old)
	c.New.plus(&o.New)
}

func (c *Comparison) minus(o *Comparison) {
	c.Old.minus(&o.Old)
	c.New.minus(&o.New)
}

// RouteCounts are the counts of one route in one step of the rollout.
type RouteCounts struct {
	Step       int        `json:"step"`
	Route      string     `json:"route"`
	Comparison Comparison `json:"both"`
}

// Report is a daemon's cumulative evidence since the start of the rollout. Within an
// incarnation a report counts only if its Sequence is higher than that of all earlier
// ones, and each entry replaces the earlier entry of the same step and route. Reports
// may therefore be lost, repeated or reordered.
type Report struct {
	Daemon      string        `json:"daemon"`
	Incarnation string        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Counts      []RouteCounts `json:"counts"`
	// Undone is the reason for which the daemon has undone the rollout, "" if it has not.
	Undone string `json:"undone,omitempty"`
}

type stepRouteKey struct {
	step  int
	route string
}

// trackedComparison is a comparison with the sequence number of the first report that
// contains its latest change.
type trackedComparison struct {
	Comparison
	changedIn uint64
	// newChangedIn is the same for the counts of the new version. sentIn is the sequence number
	// of the last report part that contained the comparison.
	newChangedIn, sentIn uint64
}

// Counter collects a daemon's evidence for one rollout. It is not safe for
// concurrent use; the caller must serialise access.
type Counter struct {
	daemon, incarnation        string
	sequence, lastFullSequence uint64
	counts                     map[stepRouteKey]*trackedComparison
	keysInOrder                []stepRouteKey // by first appearance
}

func NewCounter(daemon, incarnation string) *Counter {
	return &Counter{daemon: daemon, incarnation: incarnation, counts: map[stepRouteKey]*trackedComparison{}}
}

// Record counts an outcome. The step is the one at which the request was assigned,
// because the shares of both versions are constant only within a step.
func (c *Counter) Record(step int, route string, onNew bool, o Outcome) {
	key := stepRouteKey{step, route}
	comparison := c.counts[key]
	if comparison == nil {
		comparison = &trackedComparison{}
		c.counts[key] = comparison
		c.keysInOrder = append(c.keysInOrder, key)
	}
	comparison.changedIn = c.sequence + 1
	if onNew {
		comparison.newChangedIn = comparison.changedIn
		comparison.New.add(o)
	} else {
		comparison.Old.add(o)
	}
}

// Report returns the cumulative counts of all routes if full is set, and otherwise of
// the routes that changed since the last full report, so that each partial report
// supersedes the ones before it. The caller requests a full report when the controller
// changes, when a send fails, and every 10 s to keep partial reports small. The caller
// owns the result.
func (c *Counter) Report(full bool) Report {
	c.sequence++
	r := Report{Daemon: c.daemon, Incarnation: c.incarnation, Sequence: c.sequence}
	for _, key := range c.keysInOrder {
		if comparison := c.counts[key]; full || comparison.changedIn > c.lastFullSequence {
			r.Counts = append(r.Counts, RouteCounts{Step: key.step, Route: key.route, Comparison: comparison.Comparison})
		}
	}
	if full {
		c.lastFullSequence = c.sequence
	}
	return r
}

// reportPartsRepeated is the number of report parts in which a change of the new version's counts
// goes before all else, in case datagrams are lost or parts go to a few hosts only.
const reportPartsRepeated = 32

// ReportParts returns a part of the cumulative counts as encoded reports, each of which can be
// merged without the others. They have at most maxParts x maxBytes bytes, so that what a host
// sends does not grow with the number of routes. Routes on which the new version was used come
// first, since a verdict waits for them, then those that were not sent for the longest time. At
// least one report is returned.
func (c *Counter) ReportParts(undone string, maxBytes, maxParts int) ([][]byte, error) {
	keys := slices.Clone(c.keysInOrder)
	recent := func(key stepRouteKey) bool { return c.counts[key].newChangedIn+reportPartsRepeated > c.sequence }
	slices.SortStableFunc(keys, func(a, b stepRouteKey) int {
		switch recentA, recentB := recent(a), recent(b); {
		case recentA && !recentB:
			return -1
		case recentB && !recentA:
			return 1
		}
		return cmp.Compare(c.counts[a].sentIn, c.counts[b].sentIn)
	})
	var parts [][]byte
	for {
		c.sequence++
		part := encodedReport{Daemon: c.daemon, Incarnation: c.incarnation, Sequence: c.sequence, Counts: []json.RawMessage{}, Undone: undone}
		size, err := encodedSize(part)
		if err != nil {
			return nil, err
		}
		for len(keys) > 0 {
			counts := c.counts[keys[0]]
			data, err := json.Marshal(RouteCounts{Step: keys[0].step, Route: keys[0].route, Comparison: counts.Comparison})
			if err != nil {
				return nil, err
			}
			if size += len(data) + len(","); size > maxBytes && len(part.Counts) > 0 {
				break
			}
			part.Counts, counts.sentIn, keys = append(part.Counts, data), c.sequence, keys[1:]
		}
		data, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		if parts = append(parts, data); len(keys) == 0 || len(parts) == maxParts {
			return parts, nil
		}
	}
}

// encodedReport is a Report whose counts are encoded already.
type encodedReport struct {
	Daemon      string            `json:"daemon"`
	Incarnation string            `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Counts      []json.RawMessage `json:"counts"`
	Undone      string            `json:"undone,omitempty"`
}

func encodedSize(r encodedReport) (int, error) {
	data, err := json.Marshal(r)
	return len(data), err
}
