package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/membership"
	"github.com/rattanscale/rattanscale/internal/permit"
	"github.com/rattanscale/rattanscale/internal/relay"
	"github.com/rattanscale/rattanscale/internal/rollout"
)

const (
	methodEvidence = "rollout.evidence"
	// evidenceInterval is the time between a daemon's reports to a controller and between a
	// controller's verdicts.
	evidenceInterval = 500 * time.Millisecond
	evidenceTimeout  = time.Second
	// fullEvidenceInterval is the time between reports that cover all routes, not only those
	// that changed.
	fullEvidenceInterval = 10 * time.Second
)

// evidenceParams are the parameters of methodEvidence, by which a daemon reports its
// evidence to the controller of a rollout.
type evidenceParams struct {
	Rollout string         `json:"rollout"` // change identifier of the rollout's start
	Report  rollout.Report `json:"report"`
}

// deliveredReport says which controller has received this daemon's evidence, and when all
// of it was last sent.
type deliveredReport struct {
	controller membership.Identity
	lastFullAt time.Time
}

// committer commits changes decided by the system itself. Implementations are safe for
// concurrent use.
type committer interface {
	commitSystemChange(ctx context.Context, change entity.Change) error
}

// rollouts counts the request results of running rollouts, reports them to the rollouts'
// controllers and judges the rollouts that this daemon controls. It is safe for
// concurrent use.
type rollouts struct {
	config       func() *entity.Configuration
	tracker      *membership.Tracker
	peerCaller   permit.Caller
	committer    committer
	poolStatuses relay.Pools
	log          logr.Logger
	self         membership.Identity

	mu        sync.Mutex
	counters  map[string]*rollout.Counter  // by change identifier
	delivered map[string]deliveredReport   // by change identifier
	evidence  map[string]*rollout.Evidence // of rollouts that this daemon controls, by change identifier
}

func newRollouts(config func() *entity.Configuration, tracker *membership.Tracker, peerCaller permit.Caller, poolStatuses relay.Pools, log logr.Logger) *rollouts {
	return &rollouts{
		config: config, tracker: tracker, peerCaller: peerCaller, poolStatuses: poolStatuses, log: log, self: tracker.Snapshot().Self,
		counters: map[string]*rollout.Counter{}, delivered: map[string]deliveredReport{}, evidence: map[string]*rollout.Evidence{},
	}
}

// Observe counts the result of a request for the running rollout of its service.
func (r *rollouts) Observe(o relay.Observation) {
	conf := r.config()
	running, ok := conf.Rollouts[o.Service]
	if !ok || running.State != entity.RolloutRunning || o.Version != running.From && o.Version != running.To {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counter := r.counters[running.ChangeID]
	if counter == nil {
		counter = rollout.NewCounter(r.self.Name, fmt.Sprint(r.self.Incarnation))
		r.counters[running.ChangeID] = counter
	}
	counter.Record(o.RolloutStep, rollout.RouteOf(o.Account, len(conf.Text.Accounts)), o.Version == running.To,
		rollout.Outcome{Failed: !o.Success, FirstToken: o.FirstToken, MeanStep: o.MeanStep})
}

// mergeReport adds a daemon's report to the evidence of its rollout.
func (r *rollouts) mergeReport(p evidenceParams) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evidence[p.Rollout] == nil {
		r.evidence[p.Rollout] = rollout.NewEvidence()
	}
	r.evidence[p.Rollout].Merge(p.Report)
}

// run reports evidence and judges rollouts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

func (r *rollouts) tick(ctx context.Context) {
	conf := r.config()
	activeIDs := map[string]bool{}
	for _, running := range conf.Rollouts {
		if running.State != entity.RolloutRunning {
			continue
		}
		activeIDs[running.ChangeID] = true
		r.sendReport(ctx, running)
		service, ok := conf.Service(running.Service)
		controller, hasController := r.tracker.Snapshot().Controller(running.Service)
		if ok && hasController && controller.Name == r.self.Name {
			r.judgeRollout(ctx, running, service)
		}
	}
	r.dropEndedRollouts(activeIDs)
}

// sendReport sends this daemon's evidence to the controller. It sends all of it to a new
// controller, after a failure and every fullEvidenceInterval, and otherwise only what
// changed.
func (r *rollouts) sendReport(ctx context.Context, running entity.Rollout) {
	controller, ok := r.tracker.Snapshot().Controller(running.Service)
	if !ok {
		return
	}
	now := time.Now()
	r.mu.Lock()
	counter, last := r.counters[running.ChangeID], r.delivered[running.ChangeID]
	if counter == nil {
		r.mu.Unlock()
		return
	}
	full := last.controller != controller.Identity || now.Sub(last.lastFullAt) >= fullEvidenceInterval
	params := evidenceParams{Rollout: running.ChangeID, Report: counter.Report(full)}
	r.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	err := r.peerCaller.Call(ctx, controller.PeerAddress, methodEvidence, params, nil)
	switch {
	case err != nil:
		last = deliveredReport{}
		r.log.V(1).Info("rollout evidence not delivered; sending all counts again", "service", running.Service, "controller", controller.Name, "error", err.Error())
	case full:
		last = deliveredReport{controller.Identity, now}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivered[running.ChangeID] = last
}

// judgeRollout judges a rollout and commits the change that the verdict requires. The
// identifier of the change is derived from the rollout and its step, so that two
// controllers in different member views cannot both commit the same step.
func (r *rollouts) judgeRollout(ctx context.Context, running entity.Rollout, service entity.Service) {
	r.mu.Lock()
	evidence := r.evidence[running.ChangeID]
	if evidence == nil {
		evidence = rollout.NewEvidence()
		r.evidence[running.ChangeID] = evidence
	}
	verdict := rollout.Judge(time.Now(), running, service, evidence)
	r.mu.Unlock()

	change := entity.Change{Service: running.Service, From: running.From, To: running.To, Reason: verdict.Reason}
	switch verdict.Action {
	case rollout.Continue:
		return
	case rollout.Step:
		if !r.allPoolsHaveModel(service, running.To) {
			return // the next tick judges again; the step's time limit keeps running
		}
		change.Kind, change.Step = entity.ChangeRolloutStep, verdict.Step
		change.ID = fmt.Sprintf("%s-step-%d", running.ChangeID, verdict.Step)
	case rollout.Finish:
		change.Kind, change.ID = entity.ChangeRolloutFinish, running.ChangeID+"-finish"
	case rollout.Undo:
		change.Kind, change.ID = entity.ChangeRolloutUndo, running.ChangeID+"-undo"
	}
	if err := r.committer.commitSystemChange(ctx, change); err != nil {
		r.log.Info("rollout decision was not committed", "service", running.Service, "action", verdict.Action.String(), "error", err.Error())
	}
}

// allPoolsHaveModel reports whether every pool of the version has its model loaded, apart
// from pools in data centres that are taken out.
func (r *rollouts) allPoolsHaveModel(service entity.Service, versionName string) bool {
	conf := r.config()
	version, _ := service.Version(versionName)
	for _, poolName := range version.Pools {
		p, ok := conf.Pool(poolName)
		if !ok || conf.DataCentresOut[p.DataCentre] {
			continue
		}
		if status, known := r.poolStatuses.Status(poolName); !known || !status.HasModel(version.Model) {
			return false
		}
	}
	return true
}

// dropEndedRollouts discards the state of all rollouts but the active ones.
func (r *rollouts) dropEndedRollouts(activeIDs map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.counters {
		if !activeIDs[id] {
			delete(r.counters, id)
			delete(r.delivered, id)
		}
	}
	for id := range r.evidence {
		if !activeIDs[id] {
			delete(r.evidence, id)
		}
	}
}
