// Package rollout implements gradual rollouts of service versions. It splits the
// requests between the old and the new version, aggregates the outcomes that all
// daemons report, and decides when to step, finish or undo a rollout. It does no
// I/O and reads no clock.
package rollout

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Steps are the percentages of requests that the new version receives, in order.
var Steps = [...]int{1, 5, 25, 50, 100}

const (
	// nonRepeatableStep is the first step at which the new version may receive non-repeatable calls.
	nonRepeatableStep = 50
	// NonRepeatablePercent is the percentage of non-repeatable calls that the new version
	// receives at nonRepeatableStep. A service with such calls has no evidence before
	// that step, and half of its calls is too large a share for an untested version.
	NonRepeatablePercent = 5
	// MaxRoutes limits the number of routes of a rollout. It bounds the memory of a
	// daemon, the size of reports and the correction for multiple tests.
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
// A fingerprint that is assigned to the new version at one step keeps that version
// at every later step. It is safe for concurrent use.
func Assign(r entity.Rollout, s entity.Service, fingerprint uint64) string {
	if int(splitPosition(r, fingerprint)) < NewVersionPercent(r, s)*splitUnits/100 {
		return r.To
	}
	return r.From
}

// splitPosition maps a fingerprint to a position from 0 to splitUnits-1. The start time
// is part of the hash so that a repeated rollout starts with different requests.
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

// RouteOf returns the route of a client account's requests within a service. With at
// most MaxRoutes accounts each account is a route; more accounts are hashed into
// MaxRoutes groups.
func RouteOf(account string, accounts int) string {
	if accounts <= MaxRoutes {
		return account
	}
	return "group-" + strconv.FormatUint(xxhash.Sum64String(account)%MaxRoutes, 10)
}

// NextStep returns the step after the given one, or false after the last step.
func NextStep(step int) (int, bool) {
	i := slices.IndexFunc(Steps[:], func(s int) bool { return s > step })
	if i < 0 {
		return 0, false
	}
	return Steps[i], true
}

// stepIndex returns the index in Steps of the first step that is at least the given one.
func stepIndex(step int) int {
	i := slices.IndexFunc(Steps[:], func(s int) bool { return s >= step })
	if i < 0 {
		return len(Steps) - 1
	}
	return i
}
