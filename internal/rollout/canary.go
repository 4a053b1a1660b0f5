package rollout

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

const (
	// CanaryPercent is the percentage of requests that a canary receives. Operators allow
	// at most 10%; the margin covers that hosts assign requests independently.
	CanaryPercent = 5
	// canaryMaxErrorIncrease and canaryMaxSlowdown are the increase of the failure rate
	// and the slowdown above which a canary is undone. Bad versions fail a portion of
	// their requests or take several times as long.
	canaryMaxErrorIncrease = 0.05
	canaryMaxSlowdown      = 2.0
	// acceptedFinishFraction is the fraction of the duration after which an accepted
	// version takes over. Faults that appear before then affect a small share only.
	acceptedFinishFraction = 0.7
	// forcedFinishFraction is the fraction of the duration after which a version
	// takes over unless there is evidence against it.
	forcedFinishFraction = 0.85
)

// Canary is a rollout in which the new version receives CanaryPercent of the requests
// until it takes over all of them in one step.
type Canary struct {
	Service, Version string
	StartedAt        time.Time
	Duration         time.Duration
}

// JudgeCanary returns Continue, Finish or Undo for a canary. The result depends on
// its arguments only.
func JudgeCanary(now time.Time, c Canary, e *Evidence) Verdict {
	running := entity.Rollout{
		Service: c.Service, To: c.Version, Step: CanaryPercent, State: entity.RolloutRunning, StartedAt: c.StartedAt, StepAt: c.StartedAt,
	}
	service := entity.Service{Name: c.Service, Repeatable: true, Rollout: entity.RolloutPolicy{
		FinishWithin: c.Duration, MaxErrorIncrease: canaryMaxErrorIncrease, MaxSlowdown: canaryMaxSlowdown,
	}}
	elapsed := now.Sub(c.StartedAt)
	verdict := Judge(now, running, service, e)
	switch {
	case verdict.Action == Undo:
		return verdict
	case elapsed >= fractionOf(c.Duration, forcedFinishFraction):
		return Verdict{Action: Finish, Reason: "no evidence against the version near the end of its duration"}
	case verdict.Action == Step && elapsed >= fractionOf(c.Duration, acceptedFinishFraction):
		return Verdict{Action: Finish, Reason: verdict.Reason}
	}
	return Verdict{}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
