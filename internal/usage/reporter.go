package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/duty"
)

const (
	// settleShare is the fraction of the time until a report is due after which its content is
	// fixed. Counts of hosts that are slow or cut off arrive until then; the rest is for the calls
	// and for a change of the holder.
	settleShare = 0.35
	// gatherTime is how long a new holder waits for the counts of the other hosts.
	gatherTime = 3500 * time.Millisecond
	// retention is how long counts are kept for reports that could not be made.
	retention = 2 * time.Minute
	// MaxAhead is how far in the future counts of other hosts may lie.
	MaxAhead = 2 * time.Minute
	// maxReportsPerRun bounds the reports made in one run after an outage.
	maxReportsPerRun = 8
	minCallPause     = 500 * time.Millisecond
	maxCallPause     = 2 * time.Second
)

// Report is the content of a window's report. Once it is in the store it does not change.
type Report struct {
	Window   int64             `json:"window"`
	Requests map[string]uint64 `json:"requests"`
}

// reportState is what a holder must know of the reports of earlier ones.
type reportState struct {
	// Next is the first window whose content is not fixed.
	Next int64 `json:"next"`
	// Width is the width of the windows in nanoseconds, since their numbers depend on it.
	Width int64 `json:"width"`
	// Pending is the last report that was fixed. It may not have been accepted yet; all before
	// have been, since the next one is fixed only after this process saw Pending accepted.
	Pending *Report `json:"pending,omitempty"`
}

// Holding is the claim of the duty to report; see duty.Duty.
type Holding interface {
	Grant() (duty.Grant, bool)
	Save(ctx context.Context, token uint64, state []byte) error
	Do(ctx context.Context, token uint64, call func(ctx context.Context, o duty.Order) error) error
}

// Reporter reports the usage of all hosts, window by window, while this host holds the duty. The
// content of a report is fixed in the store before the first call, so that each call for a window
// has the same content, whichever holder makes it and whenever it is executed.
type Reporter struct {
	Table   *Table
	Clock   *Clock
	Windows Windows
	// Delay is the time after the end of a window at which its report is due.
	Delay time.Duration
	// Send makes the call to the platform.
	Send func(ctx context.Context, o duty.Order, r Report) error
	// StartedAt is the true time at which this process began to receive counts.
	StartedAt time.Time
	Metrics   *metrics.Set
	Log       logr.Logger

	token     uint64
	claimedAt time.Time
	// accepted is the last window whose report was accepted.
	accepted int64
	// fixed is the last window whose report this host has fixed.
	fixed int64
	// skipped is the last window that was logged as skipped.
	skipped    int64
	nextCallAt time.Time
	callPause  time.Duration
}

// Run makes the reports that are due. It is the task of the duty.
func (r *Reporter) Run(ctx context.Context, d Holding) {
	for range maxReportsPerRun {
		g, held := d.Grant()
		if !held || !r.step(ctx, d, g) {
			return
		}
	}
}

// step makes one call or fixes one report. It returns false if nothing is due now.
func (r *Reporter) step(ctx context.Context, d Holding, g duty.Grant) bool {
	now := r.Clock.Now()
	if g.Token != r.token {
		r.token, r.claimedAt, r.callPause, r.nextCallAt = g.Token, now, 0, now
	}
	var state reportState
	err := json.Unmarshal(g.State, &state)
	if err != nil && len(g.State) > 0 {
		r.Log.Error(err, "usage state could not be read; reports start again with the current window")
	}
	if err != nil || state.Width != int64(r.Windows.Width) {
		// No report was made of the current window yet, whatever was lost.
		return r.save(ctx, d, g.Token, reportState{Next: r.Windows.At(now), Width: int64(r.Windows.Width)})
	}
	if p := state.Pending; p != nil && p.Window > r.accepted {
		return !now.Before(r.nextCallAt) && r.call(ctx, d, g.Token, *p, now)
	}
	return r.fixNext(ctx, d, g.Token, state, now)
}

func (r *Reporter) save(ctx context.Context, d Holding, token uint64, state reportState) bool {
	data, err := json.Marshal(state)
	if err == nil {
		err = d.Save(ctx, token, data)
	}
	if err != nil && !errors.Is(err, duty.ErrNotHeld) && !errors.Is(err, duty.ErrStorePaused) {
		r.Log.Info("usage state not written", "next", state.Next, "error", err.Error())
	}
	return err == nil
}

// call sends a report whose content is fixed. It returns true if the platform has accepted it.
func (r *Reporter) call(ctx context.Context, d Holding, token uint64, report Report, now time.Time) bool {
	err := d.Do(ctx, token, func(ctx context.Context, o duty.Order) error { return r.Send(ctx, o, report) })
	if err != nil {
		r.callPause = min(max(2*r.callPause, minCallPause), maxCallPause)
		r.nextCallAt = now.Add(r.callPause)
		return false
	}
	r.accepted, r.callPause = report.Window, 0
	late := r.Clock.Now().Sub(r.Windows.End(report.Window)) - r.Delay
	outcome := "on-time"
	switch {
	case report.Window != r.fixed: // the platform may have had it from an earlier holder
		outcome = "taken-over"
	case late > 0:
		outcome = "late"
	}
	r.count(outcome, 1)
	r.Log.Info("usage reported", "window", report.Window, "accounts", len(report.Requests), "token", token, "outcome", outcome, "late-ms", max(late, 0).Milliseconds())
	return true
}

// fixNext writes the content of the next report to the store if it is complete.
func (r *Reporter) fixNext(ctx context.Context, d Holding, token uint64, state reportState, now time.Time) bool {
	if oldest := r.Windows.At(now.Add(-retention)); state.Next < oldest {
		r.skip(state.Next, oldest)
		state.Next = oldest
	}
	for {
		settled := r.Windows.End(state.Next).Add(time.Duration(settleShare * float64(r.Delay)))
		if now.Before(settled) || now.Sub(r.claimedAt) < min(gatherTime, time.Duration(settleShare*float64(r.Delay))) {
			return false
		}
		requests, processes := r.Table.Sum(state.Next)
		if processes == 0 && r.Windows.Start(state.Next).Before(r.StartedAt) {
			// All processes that knew the counts have ended. A report without them would be final.
			r.skip(state.Next, state.Next+1)
			state.Next++
			continue
		}
		state.Pending = &Report{Window: state.Next, Requests: requests}
		state.Next++
		if !r.save(ctx, d, token, state) {
			return false
		}
		r.fixed = state.Pending.Window
		return true
	}
}

// skip records the windows from from up to to, without it, as not reported.
func (r *Reporter) skip(from, to int64) {
	if from = max(from, r.skipped+1); from >= to {
		return
	}
	r.skipped = to - 1
	r.Log.Info("usage windows skipped: no host holds their counts", "from", from, "to", to-1)
	r.count("skipped", int(to-from))
}

func (r *Reporter) count(outcome string, windows int) {
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`rattanscale_usage_windows_total{outcome=%q}`, outcome)).Add(windows)
}

// Oldest returns the oldest window whose counts are kept.
func (r *Reporter) Oldest() int64 { return r.Windows.At(r.Clock.Now().Add(-retention)) }
