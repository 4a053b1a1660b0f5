package frontend

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/gateway"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/guard"
	"github.com/rattanscale/rattanscale/internal/rollout"
)

const (
	// minStatusReadInterval limits the rate of reads of rollout statuses, which are read only
	// while a rollout is ordered.
	minStatusReadInterval = 500 * time.Millisecond
	statusWriteTimeout    = time.Second
	// writeTakeover is how long a host waits for each host before it in rank to write a
	// phase. Those may be cut off from the store while all other hosts see them live.
	writeTakeover = 700 * time.Millisecond
	// maxEvidencePartBytes bounds a part of the evidence, which is a section of a message, and
	// maxEvidenceParts the parts of all services in a message. A host sends one such message a
	// second to each other host; the rest follows in the next ones.
	maxEvidencePartBytes = 7 << 10
	maxEvidenceParts     = 7
	// evidenceSectionPrefix precedes the service in the names of sections with evidence.
	evidenceSectionPrefix = "rollout-evidence/"
)

// rollouts runs the rollouts that operators order. Every host counts outcomes, merges the counts
// of the other hosts, and stops sending to a version that any of them judges as bad. The host of
// the lowest rank that reaches the store writes the phase, on condition that the status row is
// unchanged since it was read, so that a final phase is not overwritten. It is safe for concurrent
// use.
type rollouts struct {
	frontEnd *FrontEnd

	mu      sync.Mutex
	active  map[string]*activeRollout
	writing bool
}

// activeRollout is the state of one ordered rollout at this host.
type activeRollout struct {
	order    catalog.Rollout
	canary   rollout.Canary
	counter  *rollout.Counter
	evidence *rollout.Evidence
	// phase is the phase that this host applies; storedPhase is the phase in the store.
	phase, storedPhase catalog.RolloutPhase
	// statusRevision is the revision of the status row, 0 if there is none.
	statusRevision uint64
	// writeDueSince is when this host first had a reason to write another phase than the
	// stored one; zero if there is none.
	writeDueSince time.Time
	// undoReason is why this host or another one has judged the version as bad.
	undoReason string
}

func newRollouts(f *FrontEnd) *rollouts {
	return &rollouts{frontEnd: f, active: make(map[string]*activeRollout)}
}

// recordOutcome counts the outcome of a request if a rollout of its service is running.
func (r *rollouts) recordOutcome(o gateway.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.active[o.Service]; t != nil && t.phase == catalog.RolloutRunning {
		t.counter.Record(rollout.CanaryPercent, o.Route, o.Version == t.order.Version, rollout.Outcome{
			Running: o.Running, Failed: o.Failed, FirstToken: o.TimeToFirst, MeanStep: o.MeanEventInterval,
		})
	}
}

// encodeEvidence returns this host's evidence, encoded for the other hosts: a first part by
// service, which hosts of older versions read too, and the rest as sections.
func (r *rollouts) encodeEvidence() (first map[string][]byte, rest []gossip.Section) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.active) == 0 {
		return nil, nil
	}
	first = make(map[string][]byte, len(r.active))
	for service, t := range r.active {
		t.evidence.Merge(t.counter.Report(true))
		parts, err := t.counter.ReportParts(t.undoReason, maxEvidencePartBytes, max(maxEvidenceParts/len(r.active), 1))
		if err != nil {
			r.frontEnd.log.Error(err, "evidence could not be encoded", "service", service)
			continue
		}
		first[service] = parts[0]
		for _, part := range parts[1:] {
			rest = append(rest, gossip.Section{Name: evidenceSectionPrefix + service, Data: part})
		}
	}
	return first, rest
}

// mergeEvidence merges the evidence of another host.
func (r *rollouts) mergeEvidence(first map[string][]byte, rest []gossip.Section) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, data := range first {
		r.mergeReport(service, data)
	}
	for _, section := range rest {
		if service, found := strings.CutPrefix(section.Name, evidenceSectionPrefix); found {
			r.mergeReport(service, section.Data)
		}
	}
}

func (r *rollouts) mergeReport(service string, data []byte) {
	t := r.active[service]
	if t == nil {
		return
	}
	var report rollout.Report
	if err := json.Unmarshal(data, &report); err != nil {
		r.frontEnd.log.Error(err, "evidence could not be read", "service", service)
		return
	}
	// Evidence on an earlier or later order of the same service is ignored.
	if report.Incarnation != evidenceIncarnation(t.order) {
		return
	}
	t.evidence.Merge(report)
	if report.Undone != "" && t.phase == catalog.RolloutRunning {
		r.undo(t, report.Undone, report.Daemon)
	}
}

// evidenceIncarnation identifies the evidence on one order of a service.
func evidenceIncarnation(order catalog.Rollout) string {
	return strconv.FormatUint(order.Revision, 10)
}

// evidenceSource identifies this process. A host that restarts counts from zero, and the
// counts of its previous process stay valid.
func (f *FrontEnd) evidenceSource() string {
	return f.settings.Host.Name + "/" + strconv.FormatInt(f.startedAt.UnixMilli(), 36)
}

// announceVerdict sends the verdicts to the other hosts at once.
func (r *rollouts) announceVerdict() {
	f := r.frontEnd
	// Composing the message takes the lock that the caller holds.
	go guard.Run(f.log, "announcement of a verdict", func() {
		f.gossip.SendFullNext()
		f.announce()
	})
}

// undo stops sending to the version. The other hosts hear of it at once: one host may reach
// the verdict seconds before the others do, if evidence is lost on the way.
func (r *rollouts) undo(t *activeRollout, reason, judgedBy string) {
	t.phase, t.undoReason = catalog.RolloutRolledBack, reason
	total := t.evidence.Total(rollout.CanaryPercent)
	r.frontEnd.log.Info("rollout judged", "service", t.order.Service, "version", t.order.Version, "verdict", rollout.Undo.String(),
		"reason", reason, "judged-by", judgedBy, "old", total.Old.String(), "new", total.New.String())
}

// evaluate updates the phases of the ordered rollouts and sets the resulting version rules.
func (r *rollouts) evaluate(ctx context.Context, now time.Time) {
	orders := r.frontEnd.gateway.Catalog().Rollouts
	statuses, known := r.frontEnd.statuses()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.active {
		if _, ordered := orders[service]; !ordered {
			delete(r.active, service)
		}
	}
	rules := make(map[string]catalog.VersionRule, len(orders))
	for service, order := range orders {
		t := r.activate(order, now)
		if known {
			t.applyStatus(statuses[service])
			r.judge(t, now)
			r.writePhase(ctx, t)
		}
		// The upstreams of the old version stop when the store holds the phase, not before.
		rule := catalog.VersionRule{Version: order.Version, Exclusive: t.storedPhase == catalog.RolloutCompleted}
		rule.Share, rule.RouteShares = r.requestShares(t, known, now)
		rules[service] = rule
	}
	r.frontEnd.gateway.SetVersionRules(rules)
}

func (r *rollouts) activate(order catalog.Rollout, now time.Time) *activeRollout {
	t := r.active[order.Service]
	if t != nil && t.order.Revision == order.Revision {
		return t
	}
	t = &activeRollout{
		order: order, phase: catalog.RolloutRunning, evidence: rollout.NewEvidence(),
		counter: rollout.NewCounter(r.frontEnd.evidenceSource(), evidenceIncarnation(order)),
		canary:  rollout.Canary{Service: order.Service, Version: order.Version, StartedAt: now, Duration: order.Duration, Bounds: r.frontEnd.exposureBounds()},
	}
	r.active[order.Service] = t
	r.frontEnd.log.Info("rollout ordered", "service", order.Service, "version", order.Version, "within", order.Duration, "revision", order.Revision)
	return t
}

// applyStatus adopts a final phase from the store, unless it belongs to an earlier order.
func (t *activeRollout) applyStatus(s catalog.RolloutStatus) {
	t.statusRevision = s.Revision
	if s.Revision < t.order.Revision || s.Version != t.order.Version {
		return
	}
	if s.Phase == catalog.RolloutRunning && t.storedPhase != "" {
		return // read before this host wrote a final phase
	}
	if t.storedPhase != s.Phase {
		t.storedPhase, t.writeDueSince = s.Phase, time.Time{}
	}
	if s.Phase != catalog.RolloutRunning {
		t.phase = s.Phase
	}
}

func (r *rollouts) judge(t *activeRollout, now time.Time) {
	if t.phase != catalog.RolloutRunning {
		return
	}
	t.evidence.Merge(t.counter.Report(true))
	verdict := rollout.JudgeCanary(now, t.canary, t.evidence)
	switch verdict.Action {
	case rollout.Undo:
		r.undo(t, verdict.Reason, r.frontEnd.settings.Host.Name)
		r.announceVerdict()
		return
	case rollout.Finish:
		// Hosts that do not write the phase go on with the trial until the store holds it.
		if !r.writesPhase(t, now) {
			return
		}
		t.phase = catalog.RolloutCompleted
	default:
		return
	}
	total := t.evidence.Total(rollout.CanaryPercent)
	r.frontEnd.log.Info("rollout judged", "service", t.order.Service, "version", t.order.Version, "verdict", verdict.Action.String(),
		"reason", verdict.Reason, "old", total.Old.String(), "new", total.New.String())
}

// writePhase starts a write of a changed phase to the store, if this host writes the phases and
// no other write is running.
func (r *rollouts) writePhase(ctx context.Context, t *activeRollout) {
	if t.phase == t.storedPhase || r.writing || !r.writesPhase(t, time.Now()) {
		return
	}
	r.writing = true
	status := catalog.RolloutStatus{Service: t.order.Service, Version: t.order.Version, Phase: t.phase}
	expected := t.statusRevision
	go guard.Run(r.frontEnd.log, "write of a rollout status", func() {
		defer func() {
			r.mu.Lock()
			r.writing = false
			r.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, statusWriteTimeout)
		defer cancel()
		// A failed write may still have been applied; the mirrored status will show it.
		if err := r.frontEnd.writeStatus(ctx, status, expected); err != nil {
			r.frontEnd.log.Info("rollout status not written", "service", status.Service, "phase", string(status.Phase), "error", err.Error())
			return
		}
		r.frontEnd.log.Info("rollout status written", "service", status.Service, "version", status.Version, "phase", string(status.Phase))
		r.mu.Lock()
		t.storedPhase, t.writeDueSince = status.Phase, time.Time{}
		r.mu.Unlock()
	})
}

// requestShares returns the fraction of the service's requests that goes to the new version
// until the store holds that it is completed, and the larger fractions of single routes.
func (r *rollouts) requestShares(t *activeRollout, known bool, now time.Time) (share float64, byRoute map[string]float64) {
	if !known || t.phase == catalog.RolloutRolledBack {
		return 0, nil
	}
	service, f := t.order.Service, r.frontEnd
	usable, onVersion := 0, 0
	cat := f.gateway.Catalog()
	for _, u := range cat.UpstreamsOfService(service) {
		if !u.Expired && cat.Usable(u) {
			usable++
			if u.Version == t.order.Version {
				onVersion++
			}
		}
	}
	perSecond := f.gateway.RequestRate(service, now) * float64(f.sharingHostCount())
	capacity := float64(onVersion) / float64(max(usable, 1))
	share = t.canary.RequestShare(perSecond, capacity)
	return share, t.canary.RouteShares(now, t.evidence, share, capacity)
}

func (f *FrontEnd) exposureBounds() rollout.ExposureBounds {
	return rollout.ExposureBounds{Share: f.settings.Rollout.Share, Slack: f.settings.Rollout.Slack}
}

// writesPhase reports whether this host writes a phase that differs from the stored one.
func (r *rollouts) writesPhase(t *activeRollout, now time.Time) bool {
	if t.writeDueSince.IsZero() {
		t.writeDueSince = now
	}
	return r.frontEnd.ready() && mayWritePhase(r.frontEnd.members.Rank(now), now.Sub(t.writeDueSince))
}

// mayWritePhase reports whether the host of a rank writes a phase that has been due for the
// given time.
func mayWritePhase(rank int, due time.Duration) bool {
	return due >= time.Duration(rank)*writeTakeover
}

// statuses returns the rollout statuses in the store by service; false until they were read.
func (f *FrontEnd) statuses() (map[string]catalog.RolloutStatus, bool) {
	_, _, known := f.catalog.Statuses.Status()
	return f.catalog.Phases(), known
}

func (f *FrontEnd) writeStatus(ctx context.Context, s catalog.RolloutStatus, expected uint64) error {
	return f.catalog.WriteStatus(ctx, f.store, s, expected)
}

// rolloutsOrdered reports whether any rollout is ordered. Statuses are read only then.
func (f *FrontEnd) rolloutsOrdered() bool { return len(f.gateway.Catalog().Rollouts) > 0 }
