package pool

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/fairqueue"
)

// UpstreamStatus is the state of one upstream as its owner sees it.
type UpstreamStatus struct {
	Name string
	// Cold is set while the upstream is at its cold limit or ramping up.
	Cold bool
	// Down is set from a loss until the upstream answers again.
	Down    bool
	Leaving bool
	// Isolated is set while the upstream is reserved for suspected requests.
	Isolated bool
	Limit    int
	Running  int
	// PredictedPeak is the memory, in tokens, that the running requests are predicted
	// to stay within, except with the accepted risk.
	PredictedPeak int
	// Step is the predicted step time of the present batch.
	Step time.Duration
}

// Snapshot is the state of a pool. It is immutable and may be shared.
type Snapshot struct {
	Pool          string
	DataCentreOut bool
	GrantsHeld    bool
	Reconciling   bool
	Upstreams     []UpstreamStatus
	// Queued holds the number of waiting requests for each priority.
	Queued   [fairqueue.Priorities]int
	Suspects int
	// FreeSlots is the number of requests that the limits would still admit.
	FreeSlots int
	// QueueWait is the expected time until the present queue has been granted.
	QueueWait time.Duration
}

// Snapshot returns the state for status reports and for the choice between pools.
func (s *State) Snapshot(now time.Time) Snapshot {
	out := Snapshot{
		Pool: s.pool.Name, DataCentreOut: s.dataCentreOut, GrantsHeld: now.Before(s.holdUntil), Reconciling: !s.updateReconciliation(now),
		Suspects: len(s.suspects), Upstreams: make([]UpstreamStatus, 0, len(s.upstreams)),
	}
	for p := range out.Queued {
		out.Queued[p] = s.queue.LevelLen(p)
	}
	for _, u := range s.upstreams {
		u.refreshProfile(s.lengths)
		batch, memory := u.batchSize()
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			Name: u.name, Cold: u.coldTracker.Cold(), Down: s.isDown(now, u), Leaving: u.leaving || u.report.Leaving,
			Isolated: u == s.isolation.upstream, Limit: u.coldTracker.Limit(), Running: u.running(),
			PredictedPeak: int(u.profile.Peak(s.peakSigmas)), Step: u.stepModel.Predict(batch, memory),
		})
		out.FreeSlots += max(s.headroom(now, u), 0)
	}
	out.QueueWait = s.throughput.expectedWait(s.queue.Cost())
	return out
}
