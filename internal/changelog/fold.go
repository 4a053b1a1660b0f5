// Package changelog implements the ordered log of configuration changes in the table
// service. It folds the changes into configurations and follows new entries.
package changelog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/failure"
)

// Parser parses and validates the service text of an apply change.
type Parser func(text string) (*entity.ServiceText, error)

// firstStep is the percentage of requests that the new version receives when a rollout
// starts, unless the change names another.
const firstStep = 1

// Fold returns the configuration after the change. conf, which may be nil for an empty
// log, is not modified; the result shares the unchanged parts with it. A change that is
// not valid in conf is refused with a typed failure. A change with revision 0 gets the
// next revision.
func Fold(conf *entity.Configuration, change entity.Change, parse Parser) (*entity.Configuration, error) {
	if conf == nil {
		conf = &entity.Configuration{}
	}
	if change.Revision == 0 {
		change.Revision = conf.Revision + 1
	}
	if change.Revision != conf.Revision+1 {
		return nil, failure.New(failure.Internal, "revision %d does not follow revision %d", change.Revision, conf.Revision)
	}
	next := *conf
	next.Revision = change.Revision
	if change.Kind != entity.ChangeInForce {
		next.LastChangeRevision = change.Revision
	}
	if err := applyChange(&next, change, parse); err != nil {
		return nil, err
	}
	return &next, nil
}

// Check returns the failure with which Fold refuses the change, or nil.
func Check(conf *entity.Configuration, change entity.Change, parse Parser) error {
	change.Revision = 0
	_, err := Fold(conf, change, parse)
	return err
}

func applyChange(next *entity.Configuration, change entity.Change, parse Parser) error {
	switch change.Kind {
	case entity.ChangeApply:
		return applyText(next, change, parse)
	case entity.ChangeDataCentreTakeOut, entity.ChangeDataCentreBringBack:
		if next.Text == nil || !slices.Contains(next.Text.DataCentres, change.Name) {
			return failure.NotRun(failure.NotFound, "the service text lists no data centre %q", change.Name)
		}
		next.DataCentresOut = withFlag(next.DataCentresOut, change.Name, change.Kind == entity.ChangeDataCentreTakeOut)
	case entity.ChangeHostDrain, entity.ChangeHostReturn:
		if change.Name == "" {
			return failure.NotRun(failure.InvalidRequest, "the change has no host name")
		}
		next.HostsDraining = withFlag(next.HostsDraining, change.Name, change.Kind == entity.ChangeHostDrain)
	case entity.ChangeRolloutStart:
		return startRollout(next, change)
	case entity.ChangeRolloutStep, entity.ChangeRolloutFinish, entity.ChangeRolloutUndo:
		return changeRollout(next, change)
	case entity.ChangeInForce:
		if change.ConfirmedRevision >= change.Revision {
			return failure.NotRun(failure.InvalidRequest, "revision %d cannot confirm revision %d", change.Revision, change.ConfirmedRevision)
		}
		next.InForceRevision = max(next.InForceRevision, change.ConfirmedRevision)
	default:
		return failure.NotRun(failure.InvalidRequest, "unknown kind of change %q", change.Kind)
	}
	return nil
}

func withFlag(set map[string]bool, name string, on bool) map[string]bool {
	if set[name] == on {
		return set
	}
	out := maps.Clone(set)
	if out == nil {
		out = map[string]bool{}
	}
	if on {
		out[name] = true
	} else {
		delete(out, name)
	}
	return out
}

func applyText(next *entity.Configuration, change entity.Change, parse Parser) error {
	text, err := parse(change.Text)
	if err != nil {
		return err
	}
	previous := next.Text
	next.Text = text
	for _, r := range next.Rollouts {
		if r.State != entity.RolloutRunning {
			continue
		}
		if service, ok := next.Service(r.Service); !ok || !hasVersion(service, r.From) || !hasVersion(service, r.To) {
			return failure.NotRun(failure.Conflict,
				"the text lacks service %q or a version of its running rollout from %q to %q; finish or undo the rollout first", r.Service, r.From, r.To)
		}
	}
	next.Rollouts = withoutEndedRollouts(next.Rollouts, previous, text)
	for name := range next.DataCentresOut {
		if !slices.Contains(text.DataCentres, name) {
			next.DataCentresOut = withFlag(next.DataCentresOut, name, false)
		}
	}
	return nil
}

// withoutEndedRollouts returns the rollouts without the finished and undone ones of services
// whose versions or shares differ in the new text. For those services the shares of the
// new text apply again.
func withoutEndedRollouts(rollouts map[string]entity.Rollout, previous, text *entity.ServiceText) map[string]entity.Rollout {
	if len(rollouts) == 0 {
		return rollouts
	}
	kept := make(map[string]entity.Rollout, len(rollouts))
	for name, r := range rollouts {
		if r.State == entity.RolloutRunning || sameVersions(previous, text, name) {
			kept[name] = r
		}
	}
	return kept
}

func sameVersions(previous, text *entity.ServiceText, service string) bool {
	a, okA := (&entity.Configuration{Text: previous}).Service(service)
	b, okB := (&entity.Configuration{Text: text}).Service(service)
	return okA && okB && slices.EqualFunc(a.Versions, b.Versions, func(x, y entity.Version) bool {
		return x.Name == y.Name && x.Share == y.Share
	})
}

func hasVersion(service entity.Service, name string) bool {
	return slices.ContainsFunc(service.Versions, func(v entity.Version) bool { return v.Name == name })
}

func startRollout(next *entity.Configuration, change entity.Change) error {
	service, ok := next.Service(change.Service)
	if !ok {
		return failure.NotRun(failure.UnknownService, "the service text lists no service %q", change.Service)
	}
	for _, version := range []string{change.From, change.To} {
		if !hasVersion(service, version) {
			return failure.NotRun(failure.NotFound, "service %q has no version %q", change.Service, version)
		}
	}
	if change.From == change.To {
		return failure.NotRun(failure.InvalidRequest, "the rollout of service %q goes from %q to itself", change.Service, change.From)
	}
	if r := next.Rollouts[change.Service]; r.State == entity.RolloutRunning {
		return failure.NotRun(failure.Conflict, "a rollout of service %q from %q to %q is already running (change %s)", r.Service, r.From, r.To, r.ChangeID)
	}
	rollout := entity.Rollout{
		Service: change.Service, From: change.From, To: change.To, Step: firstStep, State: entity.RolloutRunning,
		StartedAt: change.CreatedAt, StepAt: change.CreatedAt, ChangeID: change.ID,
	}
	if change.Step > 0 {
		rollout.Step = min(change.Step, 100)
	}
	if within := cmp.Or(change.FinishWithin, service.Rollout.FinishWithin); within > 0 {
		rollout.FinishBy = change.CreatedAt.Add(within)
	}
	setRollout(next, rollout)
	return nil
}

func changeRollout(next *entity.Configuration, change entity.Change) error {
	rollout, ok := next.Rollouts[change.Service]
	if !ok || rollout.State != entity.RolloutRunning {
		return failure.NotRun(failure.Conflict, "no rollout of service %q is running", change.Service)
	}
	if change.From != "" && change.From != rollout.From || change.To != "" && change.To != rollout.To {
		return failure.NotRun(failure.Conflict, "the running rollout of service %q goes from %q to %q", change.Service, rollout.From, rollout.To)
	}
	rollout.StepAt, rollout.Reason = change.CreatedAt, change.Reason
	switch change.Kind {
	case entity.ChangeRolloutStep:
		if change.Step <= rollout.Step || change.Step > 100 {
			return failure.NotRun(failure.Conflict, "the rollout of service %q is at %d%%, so it cannot step to %d%%", change.Service, rollout.Step, change.Step)
		}
		rollout.Step = change.Step
	case entity.ChangeRolloutFinish:
		rollout.Step, rollout.State = 100, entity.RolloutFinished
	case entity.ChangeRolloutUndo:
		rollout.Step, rollout.State = 0, entity.RolloutUndone
	}
	setRollout(next, rollout)
	return nil
}

func setRollout(next *entity.Configuration, rollout entity.Rollout) {
	rollouts := maps.Clone(next.Rollouts)
	if rollouts == nil {
		rollouts = map[string]entity.Rollout{}
	}
	rollouts[rollout.Service] = rollout
	next.Rollouts = rollouts
}
