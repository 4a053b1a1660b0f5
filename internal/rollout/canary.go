package rollout

import (
	"time"

	"github.com/rattanscale/rattanscale/internal/entity"
)

const (
	// CanaryPercent is the percentage of requests that a version on trial gets. Operators
	// bound it by a tenth; the difference covers that hosts assign on their own.
	CanaryPercent = 5
	// canaryMaxErrorIncrease and canarySlowdown are what makes a version bad: bad ones
	// fail a portion of their requests or take several times as long.
	canaryMaxErrorIncrease = 0.05
	canaryMaxSlowdown      = 2.0
	// acceptedFinishFraction of the time is when an accepted version takes over, so that faults
	// that show later still show on a small share.
	acceptedFinishFraction = 0.7
	// forcedFinishFraction of the time is when a version without evidence against it takes over.
	forcedFinishFraction = 0.85
)

// Canary is a rollout in which the new version stays at CanaryStep until it takes
// over at once.
type Canary struct {
	Service, Version string
	StartedAt        time.Time
	Duration         time.Duration
}

// JudgeCanary decides on a canary: Continue, Finish or Undo. It depends on its
// arguments only.
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
		return Verdict{Action: Finish, Reason: "no evidence against the version until its time was nearly over"}
	case verdict.Action == Step && elapsed >= fractionOf(c.Duration, acceptedFinishFraction):
		return Verdict{Action: Finish, Reason: verdict.Reason}
	}
	return Verdict{}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
