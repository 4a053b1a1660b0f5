package frontend

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/gateway"
	"github.com/rattanscale/rattanscale/internal/rollout"
)

const (
	// statusPace bounds the reads of statuses; they are read only while an order stands.
	statusPace = 500 * time.Millisecond
	// statusWriteTimeout bounds the write of a status.
	statusWriteTimeout = 2 * time.Second
)

// rollouts runs the rollouts that operators order. Every host counts outcomes and
// sums those of the others, and each stops sending to a version that it finds bad.
// The phase is durable: the first host in rank writes it to the store on condition
// that nobody has written since, so that a phase is never taken back. It is safe for
// concurrent use.
type rollouts struct {
	f *FrontEnd

	mu      sync.Mutex
	running map[string]*trial
	writing bool
}

// trial is one rollout as this host sees it.
type trial struct {
	order    catalog.Rollout
	canary   rollout.Canary
	counter  *rollout.Counter
	evidence *rollout.Evidence
	// phase is what is in force here; written is the phase in the store.
	phase, written catalog.RolloutPhase
	// revision is that of the status row, 0 if there is none.
	revision uint64
}

func newRollouts(f *FrontEnd) *rollouts {
	return &rollouts{f: f, running: make(map[string]*trial)}
}

// record counts the outcome of a request on a service with a rollout.
func (r *rollouts) record(o gateway.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.running[o.Service]; t != nil && t.phase == catalog.RolloutRunning {
		t.counter.Record(rollout.CanaryStep, o.Route, o.Version == t.order.Version, rollout.Outcome{
			Failed: o.Failed, FirstToken: o.TimeToFirst, MeanStep: o.MeanEventInterval,
		})
	}
}

// reports returns this host's evidence, for the other hosts.
func (r *rollouts) reports() map[string][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) == 0 {
		return nil
	}
	out := make(map[string][]byte, len(r.running))
	for service, t := range r.running {
		report := t.counter.Report(true)
		t.evidence.Merge(report)
		data, err := json.Marshal(report)
		if err != nil {
			r.f.log.Error(err, "evidence could not be encoded", "service", service)
			continue
		}
		out[service] = data
	}
	return out
}

// merge adds the evidence of another host.
func (r *rollouts) merge(reports map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, data := range reports {
		t := r.running[service]
		if t == nil {
			continue
		}
		var report rollout.Report
		if err := json.Unmarshal(data, &report); err != nil {
			r.f.log.Error(err, "evidence could not be read", "service", service)
			continue
		}
		// Counts of another order of the same service belong to another incarnation name.
		if report.Incarnation == r.incarnation(t.order) {
			t.evidence.Merge(report)
		}
	}
}

// incarnation separates the evidence of different orders of a service.
func (r *rollouts) incarnation(order catalog.Rollout) string {
	return strconv.FormatUint(order.Revision, 10)
}

// tick judges the rollouts and puts the shares of versions in force.
func (r *rollouts) tick(ctx context.Context, now time.Time) {
	orders := r.f.gateway.Catalog().Rollouts
	statuses, known := r.f.statuses()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.running {
		if _, ordered := orders[service]; !ordered {
			delete(r.running, service)
		}
	}
	rules := make(map[string]catalog.VersionRule, len(orders))
	for service, order := range orders {
		t := r.trial(order, now)
		if known {
			t.apply(statuses[service])
			r.judge(t, now)
			r.write(ctx, t)
		}
		rules[service] = catalog.VersionRule{Version: order.Version, Share: t.share(known), Exclusive: t.phase == catalog.RolloutCompleted}
	}
	r.f.gateway.SetVersionRules(rules)
}

func (r *rollouts) trial(order catalog.Rollout, now time.Time) *trial {
	t := r.running[order.Service]
	if t != nil && t.order.Revision == order.Revision {
		return t
	}
	t = &trial{
		order: order, phase: catalog.RolloutRunning, evidence: rollout.NewEvidence(),
		counter: rollout.NewCounter(r.f.settings.Host.Name, r.incarnation(order)),
		canary:  rollout.Canary{Service: order.Service, Version: order.Version, StartedAt: now, Duration: order.Duration},
	}
	r.running[order.Service] = t
	r.f.log.Info("rollout ordered", "service", order.Service, "version", order.Version, "within", order.Duration, "revision", order.Revision)
	return t
}

// apply takes the phase that is in the store, unless it belongs to an earlier order.
func (t *trial) apply(s catalog.RolloutStatus) {
	t.revision = s.Revision
	if s.Revision < t.order.Revision || s.Version != t.order.Version {
		return
	}
	t.written = s.Phase
	if s.Phase != catalog.RolloutRunning {
		t.phase = s.Phase
	}
}

func (r *rollouts) judge(t *trial, now time.Time) {
	if t.phase != catalog.RolloutRunning {
		return
	}
	t.evidence.Merge(t.counter.Report(true))
	verdict := rollout.JudgeCanary(now, t.canary, t.evidence)
	switch verdict.Action {
	case rollout.Undo:
		t.phase = catalog.RolloutRolledBack
	case rollout.Finish:
		// The old version goes on here until the store holds the phase: at that moment
		// its upstreams stop.
		if r.f.leads(now) {
			t.phase = catalog.RolloutCompleted
		}
	default:
		return
	}
	r.f.log.Info("rollout judged", "service", t.order.Service, "version", t.order.Version, "verdict", verdict.Action.String(), "reason", verdict.Reason)
}

// write writes the phase to the store, one write at a time.
func (r *rollouts) write(ctx context.Context, t *trial) {
	if t.phase == t.written || r.writing || !r.f.leads(time.Now()) {
		return
	}
	r.writing = true
	status := catalog.RolloutStatus{Service: t.order.Service, Version: t.order.Version, Phase: t.phase}
	expected := t.revision
	go func() {
		ctx, cancel := context.WithTimeout(ctx, statusWriteTimeout)
		defer cancel()
		// After an error the mirrored status tells whether the write took effect.
		if err := r.f.writeStatus(ctx, status, expected); err != nil {
			r.f.log.Info("rollout status not written", "service", status.Service, "phase", string(status.Phase), "error", err.Error())
		} else {
			r.f.log.Info("rollout status written", "service", status.Service, "version", status.Version, "phase", string(status.Phase))
		}
		r.mu.Lock()
		r.writing = false
		r.mu.Unlock()
	}()
}

// share is the part of the service's requests that goes to the new version.
func (t *trial) share(known bool) float64 {
	switch {
	case !known || t.phase == catalog.RolloutRolledBack:
		return 0
	case t.phase == catalog.RolloutCompleted:
		return 1
	}
	return rollout.CanaryStep / 100.0
}

// leads reports whether this host writes the phases of rollouts.
func (f *FrontEnd) leads(now time.Time) bool { return f.members.Rank(now) == 0 && f.ready() }

// statuses returns the phases in the store; false until they were read.
func (f *FrontEnd) statuses() (map[string]catalog.RolloutStatus, bool) {
	_, _, known := f.catalog.Statuses.Status()
	return f.catalog.Phases(), known
}

func (f *FrontEnd) writeStatus(ctx context.Context, s catalog.RolloutStatus, expected uint64) error {
	return f.catalog.WriteStatus(ctx, f.store, s, expected)
}

// rolloutsOrdered reports whether an order stands, which is when statuses are read.
func (f *FrontEnd) rolloutsOrdered() bool { return len(f.gateway.Catalog().Rollouts) > 0 }
