// Package rollout moves a service from one version to another: it splits the
// requests, sums the evidence of all daemons and decides when to go on, to
// finish and to undo. It does no I/O and reads no clock.
package rollout

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Steps are the percentages of requests that the new version receives in turn.
var Steps = [...]int{1, 5, 25, 50, 100}

const (
	// nonRepeatableStep is the step from which the new version may receive calls that must not be repeated.
	nonRepeatableStep = 50
	// NonRepeatablePercent is the percentage of non-repeatable calls in trustedStep. Such a
	// service has no evidence before that step, and half of its calls would not be a
	// small share for a version that nobody has seen run.
	NonRepeatablePercent = 5
	// MaxRoutes bounds the routes of a rollout, and with them the memory of a daemon,
	// the size of reports and the correction for the number of tests.
	MaxRoutes = 64
	// splitUnits is the resolution of the split: 100 units are one percent.
	splitUnits = 10_000
)

// NewVersionPercent returns the percentage of the service's requests that the new version receives.
func NewVersionPercent(r entity.Rollout, s entity.Service) int {
	switch {
	case r.State == entity.RolloutFinished:
		return 100
	case r.State != entity.RolloutRunning:
		return 0
	case s.Repeatable || r.Step >= 100:
		return r.Step
	case r.Step >= nonRepeatableStep:
		return NonRepeatablePercent
	}
	return 0
}

// Assign returns the version that a request with the given fingerprint runs on.
// A request that is on the new version at one step stays there at every later
// step. It is safe for concurrent use.
func Assign(r entity.Rollout, s entity.Service, fingerprint uint64) string {
	if int(splitPosition(r, fingerprint)) < NewVersionPercent(r, s)*splitUnits/100 {
		return r.To
	}
	return r.From
}

// splitPosition places a fingerprint in the split. The start time is part of the hash so
// that a repeated rollout does not begin with the same requests again.
func splitPosition(r entity.Rollout, fingerprint uint64) uint64 {
	buffer := make([]byte, 0, 128)
	buffer = append(buffer, r.Service...)
	buffer = append(buffer, 0)
	buffer = append(buffer, r.To...)
	buffer = append(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(r.StartedAt.UnixNano()))
	buffer = binary.LittleEndian.AppendUint64(buffer, fingerprint)
	return xxhash.Sum64(buffer) % splitUnits
}

// RouteOf returns the route of a client account's requests within a service. Up to
// MaxRoutes accounts have a route each; more are spread over MaxRoutes groups.
func RouteOf(account string, accounts int) string {
	if accounts <= MaxRoutes {
		return account
	}
	return "group-" + strconv.FormatUint(xxhash.Sum64String(account)%MaxRoutes, 10)
}

// NextStep returns the step after the given one; it is false after the last.
func NextStep(step int) (int, bool) {
	i := slices.IndexFunc(Steps[:], func(s int) bool { return s > step })
	if i < 0 {
		return 0, false
	}
	return Steps[i], true
}

// stepIndex returns the position of the step, counting from 0.
func stepIndex(step int) int {
	i := slices.IndexFunc(Steps[:], func(s int) bool { return s >= step })
	if i < 0 {
		return len(Steps) - 1
	}
	return i
}
