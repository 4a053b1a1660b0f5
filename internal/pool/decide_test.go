package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"

	"github.com/rattanscale/rattanscale/internal/fairqueue"
	"github.com/rattanscale/rattanscale/internal/quarantine"
)

// warmState returns a pool whose engines have reported themselves warm and idle.
func warmState(upstreams int) (*State, time.Time) {
	s := New(Config{Pool: testPool("engine", upstreams, engineLimits)})
	now := t0.Add(time.Second)
	for _, u := range s.upstreams {
		s.Report(now, Report{Upstream: u.name, Incarnation: "1"})
	}
	return s, now
}

// acquire asks for a permit and returns the grants and refusals of the decision.
func acquire(s *State, now time.Time, r Request) ([]Permit, map[string]Reason) {
	s.Acquire(now, r)
	commands := s.Decide(now)
	return grants(commands), refusals(commands)
}

// A request that cannot be served must be refused at once, with its reason.
func TestRefusalReasons(t *testing.T) {
	s, now := warmState(2)
	tooLarge := request(1)
	tooLarge.PromptTokens = engineLimits.MemoryTokens
	_, refused := acquire(s, now, tooLarge)
	require.Equal(t, ReasonNeverFits, refused["r1"])
	excluded := request(2)
	excluded.Exclude = []string{"e000", "e001"}
	_, refused = acquire(s, now, excluded)
	require.Equal(t, ReasonNoUpstream, refused["r2"])
	late := request(3)
	late.Deadline = now.Add(-time.Second)
	_, refused = acquire(s, now, late)
	require.Equal(t, ReasonDeadline, refused["r3"])
	s.ApplyNotice(now, quarantine.Notice{Fingerprint: 5, Losses: 2, Refused: true})
	_, refused = acquire(s, now, request(4))
	require.Equal(t, ReasonQuarantined, refused["r4"])
}

// No request may be granted while the data centre is taken out; grants must resume
// afterwards.
func TestNoGrantsWhileDataCentreIsTakenOut(t *testing.T) {
	s, now := warmState(1)
	s.SetPool(now, s.pool, true)
	granted, refused := acquire(s, now, request(1))
	require.Empty(t, granted)
	require.Equal(t, ReasonNoUpstream, refused["r1"])
	s.SetPool(now, s.pool, false)
	granted, _ = acquire(s, now, request(1))
	require.Len(t, granted, 1)
}

// A waiting request must be refused when its deadline passes and dropped when its
// requester leaves. Neither may be granted later.
func TestWaitingRequestsAreRemoved(t *testing.T) {
	s := New(Config{Pool: testPool("engine", 1, engineLimits)})
	for i := range 4 {
		r := request(i)
		r.Deadline = t0.Add(time.Duration(i+1) * time.Second)
		s.Acquire(t0, r)
	}
	permits := grants(s.Decide(t0))
	require.Len(t, permits, 2)
	s.Abandon(t0, "r2")
	now := t0.Add(5 * time.Second)
	commands := s.Decide(now)
	require.Equal(t, map[string]Reason{"r3": ReasonDeadline}, refusals(commands))
	s.Release(now, permits[0].ID, Completed, 5)
	require.Empty(t, s.Decide(now))
}

// A request whose wait would exceed its deadline must be refused at once.
func TestEarlyRefusal(t *testing.T) {
	s := New(Config{Pool: testPool("engine", 1, engineLimits)})
	now, next := t0, 0
	for range 10 { // about one request a second, while others wait
		s.Acquire(now, request(next))
		s.Acquire(now, request(next+1))
		next += 2
		for _, p := range grants(s.Decide(now)) {
			s.Release(now.Add(time.Second/2), p.ID, Completed, 100)
		}
		now = now.Add(time.Second)
	}
	for range 40 {
		s.Acquire(now, request(next))
		next++
	}
	urgent := request(next)
	urgent.Deadline = now.Add(2 * time.Second)
	require.Equal(t, ReasonDeadline, refusals(func() []Command { s.Acquire(now, urgent); return s.Decide(now) }())[urgent.ID])
}

// The slot of a permit whose holder stops reporting must stay in use until the
// cancellation is confirmed or a newer report shows that the request has ended.
func TestExpiredSlotIsNotReused(t *testing.T) {
	for _, byReport := range []bool{false, true} {
		s := New(Config{Pool: testPool("engine", 1, engineLimits)})
		for i := range 3 {
			s.Acquire(t0, request(i))
		}
		permits := grants(s.Decide(t0))
		require.Len(t, permits, 2)
		now := t0.Add(9 * time.Second)
		s.Progress(now, []Progress{{PermitID: permits[1].ID, Tokens: 5, StepTime: 20 * time.Millisecond}})
		now = t0.Add(10 * time.Second)
		require.Equal(t, []Command{CancelAtUpstream{PermitID: permits[0].ID, RequestID: "r0", Upstream: "e000"}}, s.Decide(now))
		s.Progress(now, []Progress{{PermitID: permits[0].ID, Tokens: 7}})
		require.Equal(t, []uint64{permits[0].ID}, s.TakeUnknownPermits(), "an expired permit is not renewed")
		now = now.Add(3 * time.Second)
		require.Len(t, s.Decide(now), 1, "the cancellation is repeated")
		if byReport {
			s.Report(now, Report{Upstream: "e000", Running: 2, Cold: true})
			require.Empty(t, s.Decide(now))
			s.Report(now, Report{Upstream: "e000", Running: 1, Cold: true})
		} else {
			s.ConfirmCancelled(now, permits[0].ID)
		}
		require.Len(t, grants(s.Decide(now)), 1)
	}
}

// Asking again must repeat the grant and not run the request twice.
func TestAcquireIsIdempotent(t *testing.T) {
	s, now := warmState(2)
	first, _ := acquire(s, now, request(1))
	second, _ := acquire(s, now, request(1))
	require.Equal(t, first, second)
	require.Equal(t, 1, s.Snapshot(now).Upstreams[0].Running+s.Snapshot(now).Upstreams[1].Running)
}

// A request that crashes engines must run alone after the first loss, and must be
// refused after the second.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s, now := warmState(3)
	crashing := request(1)
	first, _ := acquire(s, now, crashing)
	s.Lose(now, first[0].Upstream)
	s.Lose(now, first[0].Upstream)
	require.NotEmpty(t, s.TakeNotices(), "other daemons must learn of the suspects")
	for i := 10; i < 14; i++ { // two for each engine: the cold limit, which bounds grants between reports
		s.Acquire(now, request(i))
	}
	busy := grants(s.Decide(now))
	crashing.ID = "again"
	granted, _ := acquire(s, now, crashing)
	require.Empty(t, granted, "a suspect waits for an empty upstream")
	reserved := s.isolation.upstream.name
	s.Lose(now.Add(10*time.Second), reserved)
	now = now.Add(11 * time.Second)
	s.Report(now, Report{Upstream: first[0].Upstream, Incarnation: "2", Cold: true})
	alone := grants(s.Decide(now))
	require.NotEqual(t, reserved, s.isolation.upstream.name, "a lost upstream cannot stay reserved")
	for _, p := range busy {
		s.Release(now, p.ID, Completed, 10)
	}
	require.Len(t, alone, 1)
	require.True(t, alone[0].Alone)
	other, _ := acquire(s, now, request(20))
	require.Len(t, other, 1)
	require.NotEqual(t, alone[0].Upstream, other[0].Upstream)
	now = now.Add(time.Minute)
	s.Lose(now, alone[0].Upstream)
	crashing.ID = "third"
	_, refused := acquire(s, now, crashing)
	require.Equal(t, ReasonQuarantined, refused["third"])
}

// A restart that is visible only in the reports must end the requests that ran before
// it.
func TestRestartIsDetectedFromReports(t *testing.T) {
	s, now := warmState(1)
	permits, _ := acquire(s, now, request(1))
	s.Progress(now.Add(time.Second), []Progress{{PermitID: permits[0].ID, Tokens: 1}})
	s.Report(now.Add(2*time.Second), Report{Upstream: "e000", Incarnation: "1", Running: 1})
	s.Report(now.Add(3*time.Second), Report{Upstream: "e000", Incarnation: "2", Cold: true})
	status := s.Snapshot(now.Add(3 * time.Second)).Upstreams[0]
	require.Equal(t, 0, status.Running)
	require.Equal(t, 2, status.Limit)
	require.True(t, status.Cold)
}

// A request that fits on no upstream must not block smaller ones at first, and must not
// be overtaken forever.
func TestLargeRequestIsNotStarved(t *testing.T) {
	s, now := warmState(1)
	running, _ := acquire(s, now, request(0))
	large := request(1)
	large.Account, large.PromptTokens = "b", engineLimits.MemoryTokens-100
	granted, _ := acquire(s, now, large)
	require.Empty(t, granted)
	granted, _ = acquire(s, now, request(2))
	require.Len(t, granted, 1, "a smaller request overtakes at first")
	running = append(running, granted...)
	for i := 3; s.permitsByRequest["r1"] == nil; i++ {
		require.Less(t, i, 10, "the large request starves")
		now = now.Add(3 * time.Second)
		s.Progress(now, []Progress{{PermitID: running[len(running)-1].ID, Tokens: 100}})
		s.Acquire(now, request(2*i))
		s.Acquire(now, request(2*i+1))
		s.Release(now, running[0].ID, Completed, 500)
		running = append(running[1:], grants(s.Decide(now))...)
	}
}

// Identical calls must give identical commands; in particular these must not depend on
// map order.
func TestDecisionsAreDeterministic(t *testing.T) {
	runScenario := func() (out []Command) {
		s, now := warmState(5)
		for i := range 300 {
			r := request(i)
			r.Account, r.Service, r.Priority = fmt.Sprint("a", i%7), fmt.Sprint("s", i%3), i%10
			r.Deadline = now.Add(time.Duration(1+i%5) * time.Second)
			s.Acquire(now, r)
			commands := s.Decide(now)
			for _, p := range grants(commands) {
				if p.ID%3 == 0 {
					s.Release(now, p.ID, Completed, int(p.ID*37%500))
				}
			}
			if i%90 == 89 {
				s.Lose(now, fmt.Sprintf("e%03d", i/90))
			}
			out = append(out, commands...)
			now = now.Add(70 * time.Millisecond)
		}
		return out
	}
	require.Equal(t, runScenario(), runScenario())
}

// While a request may miss its FinishBy time, sustained pressure must not lower the
// bound on the predicted step.
func TestLateBatchRelaxesTheStepBound(t *testing.T) {
	s, now := warmState(1)
	s.pressure.waitingShare = 1
	batch := request(1)
	batch.MaxTokens, batch.FinishBy = 1000, now.Add(time.Hour)
	s.Acquire(now, batch)
	var shares []float64
	for _, checkTime := range []time.Time{now, batch.FinishBy.Add(-time.Minute), batch.FinishBy.Add(-50 * time.Second)} {
		s.queue.Scan(checkTime, func(it *fairqueue.Item[*Request]) fairqueue.Verdict {
			shares = append(shares, s.stepShare(checkTime, it))
			return fairqueue.Stop
		})
	}
	require.Equal(t, []float64{congestedStepShare, congestedStepShare, relaxedStepShare}, shares)
}

// A warm engine may have turned cold since its last report, so the grants since
// then must stay within the cold limit until a newer report.
func TestGrantsWaitForANewerReport(t *testing.T) {
	s, now := warmState(1)
	for i := range 5 {
		s.Acquire(now, request(i))
	}
	permits := grants(s.Decide(now))
	require.Len(t, permits, 2)
	require.Equal(t, []string{"e000"}, s.ReportsNeeded(now))
	now = now.Add(300 * time.Millisecond)
	s.Report(now, Report{Upstream: "e000", Incarnation: "1", Running: 2, Age: 100 * time.Millisecond})
	require.Len(t, grants(s.Decide(now)), 2)
	now = now.Add(300 * time.Millisecond)
	s.Report(now, Report{Upstream: "e000", Incarnation: "1", Running: 3, Age: 100 * time.Millisecond})
	require.Len(t, grants(s.Decide(now)), 1, "one of the four may still be on its way")
	require.Empty(t, s.ReportsNeeded(now), "nothing waits")
}

// A new owner must count the registered permits, must wait for the end of the hold and
// for a report taken after it, and must not exceed the cold limit before all members
// have registered.
func TestNoGrantsBeforeReconciliationOfANewEpoch(t *testing.T) {
	old, now := warmState(1)
	permits, _ := acquire(old, now, request(0))
	s := New(Config{Pool: old.pool})
	s.SetNextPermitID(PermitIDBase(2, false))
	s.StartEpoch(now, now.Add(3*time.Second))
	s.Adopt(now, []AdoptedPermit{{Permit: permits[0], Request: request(0), Tokens: 3}})
	s.Adopt(now, []AdoptedPermit{{Permit: permits[0], Request: request(0), Tokens: 4}})
	for i := range 4 {
		s.Acquire(now, request(i))
	}
	require.Equal(t, []Command{Grant{Permit: s.permits[permits[0].ID].Permit, GrantedAt: now}}, s.Decide(now), "only the adopted permit is repeated")
	now = now.Add(3100 * time.Millisecond)
	s.Report(now, Report{Upstream: "e000", Incarnation: "1", Running: 1})
	require.Empty(t, s.Decide(now), "the report may miss the last grants of the old owner")
	now = now.Add(time.Second)
	s.Progress(now, []Progress{{PermitID: permits[0].ID, Tokens: 50, StepTime: 20 * time.Millisecond}})
	s.Report(now, Report{Upstream: "e000", Incarnation: "1", Running: 1, Age: time.Millisecond})
	s.Progress(now, []Progress{{PermitID: permits[0].ID, Tokens: 51, StepTime: 20 * time.Millisecond}})
	granted := grants(s.Decide(now))
	require.Len(t, granted, 1)
	require.NotEqual(t, permits[0].ID, granted[0].ID)
	s.FinishReconciliation(now)
	require.Len(t, grants(s.Decide(now)), 1, "the warm limit applies, but not more than the report allows")
}

// Guards against a crash that is not counted because the restarted engine
// confirmed the cancellation before its report showed the new incarnation.
func TestCrashCountsAlthoughTheCancellationIsConfirmedFirst(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 2, engineLimits)})
	now := t0
	incarnations := map[string]int{}
	report := func(name string) {
		s.Report(now, Report{Upstream: name, Incarnation: fmt.Sprint(name, "-", incarnations[name])})
	}
	report("e000")
	report("e001")
	crash := func(id int) {
		r := request(id)
		r.Fingerprint = 42
		s.Acquire(now, r)
		granted := grants(s.Decide(now))
		require.Len(t, granted, 1, "attempt %d", id)
		now = now.Add(20 * time.Millisecond)
		s.Progress(now, []Progress{{PermitID: granted[0].ID, Tokens: 2}})
		s.Release(now, granted[0].ID, UpstreamLost, 2)
		incarnations[granted[0].Upstream]++
		s.Decide(now)
		s.ConfirmCancelled(now, granted[0].ID)
		again := request(100 + id)
		again.Fingerprint = 42
		s.Acquire(now, again)
		require.Empty(t, grants(s.Decide(now)), "sent again before the loss was known")
		s.Abandon(now, again.ID)
		now = now.Add(time.Second)
		report("e000")
		report("e001")
		now = now.Add(time.Second)
		report("e000")
		report("e001")
	}
	crash(1)
	crash(2)
	third := request(3)
	third.Fingerprint = 42
	s.Acquire(now, third)
	require.Equal(t, ReasonQuarantined, refusals(s.Decide(now))[third.ID])
}

// Guards against a crash that is attributed to requests of the engine's next
// incarnation, and against a request that runs in another pool before it is known
// whether its upstream was lost.
func TestOnlyRequestsOfTheLostIncarnationAreSuspected(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	s.Report(t0, Report{Upstream: "e000", Incarnation: "i1"})
	crashing := request(1)
	s.Acquire(t0, crashing)
	granted := grants(s.Decide(t0))
	require.Len(t, granted, 1)
	s.Release(t0, granted[0].ID, UpstreamLost, 0)
	s.Decide(t0)
	s.ConfirmCancelled(t0, granted[0].ID)
	later := t0.Add(50 * time.Millisecond)
	s.Acquire(later, request(2))
	require.Len(t, grants(s.Decide(later)), 1)
	later = later.Add(500 * time.Millisecond)
	s.Report(later, Report{Upstream: "e000", Incarnation: "i2"})
	require.True(t, s.quarantine.ShouldIsolate(later, crashing.Fingerprint))
	require.False(t, s.quarantine.ShouldIsolate(later, request(2).Fingerprint))

	other := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	other.Report(t0, Report{Upstream: "e000", Incarnation: "j1"})
	other.ApplyNotice(t0, quarantine.Notice{Fingerprint: crashing.Fingerprint, Broken: true})
	other.Acquire(t0, crashing)
	require.Empty(t, grants(other.Decide(t0)))
	other.ApplyNotice(t0, quarantine.Notice{Fingerprint: crashing.Fingerprint, Cleared: true})
	require.Len(t, grants(other.Decide(t0)), 1)
}

// Guards against a suspicion that remains after a report showed that the upstream
// kept running, for example when only the connection broke.
func TestSurvivingIncarnationClearsTheSuspicion(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	s.Report(t0, Report{Upstream: "e000", Incarnation: "i1"})
	s.Acquire(t0, request(1))
	granted := grants(s.Decide(t0))
	require.Len(t, granted, 1)
	s.Release(t0, granted[0].ID, UpstreamLost, 0)
	s.Decide(t0)
	s.ConfirmCancelled(t0, granted[0].ID)
	now := t0.Add(time.Second)
	s.Report(now, Report{Upstream: "e000", Incarnation: "i1"})
	require.False(t, s.quarantine.ShouldIsolate(now, request(1).Fingerprint))
}

// Guards against a loss that is counted for nobody: the report of the engine's next
// incarnation arrives before the holder tells that its run, which had not started, broke.
// The request would then run beside others and crash further engines.
func TestRestartReportedBeforeTheBrokenRun(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 3, engineLimits)})
	now := t0
	incarnations := map[string]int{}
	report := func() {
		for _, u := range s.upstreams {
			s.Report(now, Report{Upstream: u.name, Incarnation: fmt.Sprint(incarnations[u.name])})
		}
	}
	report()
	crash := func(id string) {
		r := request(1)
		r.ID = id
		granted, _ := acquire(s, now, r)
		require.Len(t, granted, 1, id)
		incarnations[granted[0].Upstream]++
		now = now.Add(100 * time.Millisecond)
		report()
		now = now.Add(10 * time.Millisecond)
		s.Release(now, granted[0].ID, UpstreamLost, 0)
		s.Decide(now)
		s.ConfirmCancelled(now, granted[0].ID)
		now = now.Add(time.Second)
		report()
		require.True(t, s.quarantine.ShouldIsolate(now, r.Fingerprint), "the loss is not counted")
	}
	crash("first")
	crash("second")
	third := request(1)
	third.ID = "third"
	_, refused := acquire(s, now, third)
	require.Equal(t, ReasonQuarantined, refused["third"])
}

// Guards against an innocent request that is suspected because an engine restarted
// between two of its runs.
func TestRunOnTheNextIncarnationIsNotSuspected(t *testing.T) {
	s := New(Config{Pool: testPool(entity.KindEngine, 1, engineLimits)})
	s.Report(t0, Report{Upstream: "e000", Incarnation: "1"})
	now := t0.Add(time.Second)
	s.Report(now, Report{Upstream: "e000", Incarnation: "2"})
	granted, _ := acquire(s, now, request(1))
	require.Len(t, granted, 1)
	require.Equal(t, "2", granted[0].Incarnation)
	now = now.Add(10 * time.Millisecond)
	s.Release(now, granted[0].ID, UpstreamLost, 0)
	s.Decide(now)
	s.ConfirmCancelled(now, granted[0].ID)
	now = now.Add(time.Second)
	s.Report(now, Report{Upstream: "e000", Incarnation: "2"})
	require.False(t, s.quarantine.ShouldIsolate(now, request(1).Fingerprint))
}

// Guards against more requests than a cold engine can bear at an engine that restarts right
// after a report: the report may already count a request that was granted while it was read,
// and then hides that an earlier one had not arrived.
func TestReportIncludesRequestsGrantedWhileItWasRead(t *testing.T) {
	s, now := warmState(1)
	grantOne := func(id int) bool {
		granted, _ := acquire(s, now, request(id))
		return len(granted) == 1
	}
	now = now.Add(time.Second)
	require.True(t, grantOne(1)) // delayed on its way to the engine
	readStarted := now.Add(5 * time.Millisecond)
	now = readStarted.Add(time.Millisecond)
	require.True(t, grantOne(2)) // arrives before the report is taken
	now = readStarted.Add(10 * time.Millisecond)
	s.Report(now, Report{Upstream: "e000", Incarnation: "1", Running: 1, Age: now.Sub(readStarted)})
	if !grantOne(3) {
		return
	}
	// The engine restarts here: requests 1 and 3 arrive at the cold engine, and 2 is sent
	// again.
	t.Fatalf("3 requests may arrive after a restart, the engine bears %d", engineLimits.ColdRequests)
}
