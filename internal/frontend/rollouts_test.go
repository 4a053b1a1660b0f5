package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/catalog"
	"github.com/rattanscale/rattanscale/internal/gateway"
	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/rollout"
	"github.com/rattanscale/rattanscale/internal/settings"
)

var testOrder = catalog.Rollout{Service: "orders", Version: "v2", Duration: 15 * time.Second, Revision: 7}

// newTestRollouts returns the rollouts of one process of a host that knows testOrder.
func newTestRollouts(host string, startedAt time.Time) *rollouts {
	f := &FrontEnd{settings: &Settings{Host: settings.Host{Name: host}}, log: logr.Discard(), startedAt: startedAt}
	r := newRollouts(f)
	r.activate(testOrder, startedAt)
	return r
}

func recordOutcomes(r *rollouts, n int) {
	for range n {
		r.recordOutcome(gateway.Outcome{Service: testOrder.Service, Version: testOrder.Version, Route: "r", Failed: true})
	}
}

// Guards against outcomes that are ignored because the host that counted them has restarted.
func TestEvidenceOfARestartedHostCounts(t *testing.T) {
	receiver, start := newTestRollouts("h1", time.Unix(1000, 0)), time.Unix(1000, 0)
	before := newTestRollouts("h2", start)
	for range 20 {
		recordOutcomes(before, 1)
		receiver.mergeEvidence(before.encodeEvidence())
	}
	after := newTestRollouts("h2", start.Add(5*time.Second))
	recordOutcomes(after, 5)
	receiver.mergeEvidence(after.encodeEvidence())
	total := receiver.active[testOrder.Service].evidence.Total(rollout.CanaryPercent)
	require.EqualValues(t, 25, total.New.Failure)
}

// Guards against hosts that go on sending to a version which another host has judged as bad.
func TestVerdictOfOneHostStopsAll(t *testing.T) {
	judge, other := newTestRollouts("h1", time.Unix(1000, 0)), newTestRollouts("h2", time.Unix(1000, 0))
	judge.undo(judge.active[testOrder.Service], "more failures", "h1")
	other.mergeEvidence(judge.encodeEvidence())
	require.Equal(t, catalog.RolloutRolledBack, other.active[testOrder.Service].phase)
	share, byRoute := other.requestShares(other.active[testOrder.Service], true, time.Unix(1001, 0))
	require.Zero(t, share)
	require.Empty(t, byRoute)

	stale := newTestRollouts("h3", time.Unix(1000, 0))
	later := testOrder
	later.Revision++
	stale.activate(later, time.Unix(1002, 0))
	stale.mergeEvidence(judge.encodeEvidence())
	require.Equal(t, catalog.RolloutRunning, stale.active[testOrder.Service].phase, "the verdict is about an earlier order")
}

// Guards against a phase that is never written because the hosts before in rank are live but
// cut off from the store.
func TestNextHostWritesAPhaseThatStaysDue(t *testing.T) {
	require.True(t, mayWritePhase(0, 0))
	require.False(t, mayWritePhase(1, 0))
	require.False(t, mayWritePhase(3, 2*writeTakeover))
	require.True(t, mayWritePhase(3, 3*writeTakeover))
	// Half of nine hosts cut off, and a canary that is accepted at 0.7 of 15 s.
	require.True(t, mayWritePhase(5, 4*time.Second))
}

// Guards against traffic that returns to the old version, which has stopped, because a status
// read before the final phase was written arrives after it.
func TestFinalPhaseIsNotOverwrittenByAnEarlierRead(t *testing.T) {
	r := newTestRollouts("h1", time.Unix(1000, 0)).active[testOrder.Service]
	status := catalog.RolloutStatus{Service: testOrder.Service, Version: testOrder.Version, Phase: catalog.RolloutRunning, Revision: testOrder.Revision + 1}
	r.applyStatus(status)
	require.Equal(t, catalog.RolloutRunning, r.storedPhase)
	r.phase, r.storedPhase = catalog.RolloutCompleted, catalog.RolloutCompleted // this host has written it
	r.applyStatus(status)
	require.Equal(t, catalog.RolloutCompleted, r.storedPhase)
}

// Guards against evidence that grows with the routes until it can not be sent, and against routes
// whose counts never reach the other hosts: the routes of a large configuration, all in use.
func TestEvidenceOnManyRoutesIsBoundedAndComplete(t *testing.T) {
	for _, routes := range []int{350, 3500} {
		sender, receiver := newTestRollouts("h1", time.Unix(1000, 0)), newTestRollouts("h2", time.Unix(1000, 0))
		for i := range routes {
			for n := range 10 {
				sender.recordOutcome(gateway.Outcome{
					Service: testOrder.Service, Version: "v1", Route: fmt.Sprintf("r-%07d", i), TimeToFirst: time.Duration(n*n*10) * time.Millisecond,
				})
			}
		}
		messages, largest, total := 0, 0, 0
		held := receiver.active[testOrder.Service].evidence
		for held.Total(rollout.CanaryPercent).Old.Success < uint64(10*routes) {
			first, rest := sender.encodeEvidence()
			size := 0
			for _, data := range first {
				size += len(data)
				largest = max(largest, len(data))
			}
			for _, section := range rest {
				size += len(section.Data)
				largest = max(largest, len(section.Data))
			}
			total += size
			require.LessOrEqual(t, size, maxEvidenceParts*maxEvidencePartBytes)
			receiver.mergeEvidence(first, rest)
			messages++
			require.Less(t, messages, 100)
		}
		t.Logf("%d routes: %d messages of at most %d bytes each, the largest part has %d bytes", routes, messages, (total+messages-1)/messages, largest)
		require.LessOrEqual(t, largest, gossip.MaxSectionBytes)

		// The counts of the new version reach the others with the next message.
		recordOutcomes(sender, 60)
		receiver.mergeEvidence(sender.encodeEvidence())
		require.EqualValues(t, 60, held.Total(rollout.CanaryPercent).New.Failure)
	}
}
