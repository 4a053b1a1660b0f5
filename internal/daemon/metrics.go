package daemon

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattanscale/rattanscale/internal/relay"
)

// registerMetrics registers the gauges of this daemon. docs/OPERATIONS.md lists them.
func (d *Daemon) registerMetrics() {
	gauge := func(name string, value func() float64) { d.metrics.NewGauge(name, value) }
	gauge("rattanscale_open_streams", func() float64 { return float64(d.callerServer.OpenStreams()) })
	gauge("rattanscale_config_revision", func() float64 { return float64(d.follower.Revision()) })
	gauge("rattanscale_config_in_force_revision", func() float64 { return float64(d.follower.Configuration().InForceRevision) })
	gauge("rattanscale_view_epoch", func() float64 { return float64(d.tracker.Snapshot().View.Epoch) })
	gauge("rattanscale_view_members", func() float64 { return float64(len(d.tracker.Snapshot().View.Members)) })
	gauge("rattanscale_may_send", func() float64 {
		if d.members.MaySend(time.Now()) != nil {
			return 0
		}
		return 1
	})
	gauge("rattanscale_owned_pools", func() float64 { return float64(len(d.permitOwner.Status().Pools)) })
	gauge("rattanscale_queued_requests", func() float64 {
		queued := 0
		for _, p := range d.permitOwner.Status().Pools {
			queued += p.Queued
		}
		return float64(queued)
	})
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// observer updates the request metrics and passes observations to the rollouts. It
// implements relay.Evidence and is safe for concurrent use.
type observer struct {
	metrics      *metrics.Set
	tokenGaps    *metrics.Histogram
	stallSeconds *metrics.FloatCounter
	rollouts     *rollouts
}

// stallThreshold is the time between two tokens above which the excess counts as a stall.
const stallThreshold = 62 * time.Millisecond

func newObserver(set *metrics.Set, rollouts *rollouts) *observer {
	return &observer{
		metrics: set, rollouts: rollouts, tokenGaps: set.NewHistogram("rattanscale_token_gap_seconds"),
		stallSeconds: set.NewFloatCounter("rattanscale_stall_seconds_total"),
	}
}

// RecordTokenGap records the time between two consecutive tokens of a stream.
func (o *observer) RecordTokenGap(gap time.Duration) {
	o.tokenGaps.Update(gap.Seconds())
	if gap > stallThreshold {
		o.stallSeconds.Add((gap - stallThreshold).Seconds())
	}
}

// Observe records the result of one request.
func (o *observer) Observe(r relay.Observation) {
	result := "failure"
	if r.Success {
		result = "success"
	}
	o.metrics.GetOrCreateCounter(fmt.Sprintf("rattanscale_requests_total{service=%q,version=%q,result=%q}", r.Service, r.Version, result)).Inc()
	if r.FirstToken > 0 {
		o.metrics.GetOrCreateHistogram(fmt.Sprintf("rattanscale_first_token_seconds{service=%q}", r.Service)).Update(r.FirstToken.Seconds())
	}
	if r.MeanStep > 0 {
		o.metrics.GetOrCreateHistogram(fmt.Sprintf("rattanscale_token_step_seconds{service=%q}", r.Service)).Update(r.MeanStep.Seconds())
	}
	o.rollouts.Observe(r)
}
