package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newSeededRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newEngineCandidate(requests, tokens, pendingPromptTokens int) Candidate {
	return Candidate{
		View: View{Load: Load{Requests: requests, Tokens: tokens, PendingPromptTokens: pendingPromptTokens}}, Local: true, Slots: 24, MemoryTokens: 30_000,
	}
}

// Guards against a first event that waits behind other prompts while an engine with more
// memory in use could start at once.
func TestPickCountsPendingPromptTokens(t *testing.T) {
	readingPrompts, generating := newEngineCandidate(2, 8000, 6000), newEngineCandidate(4, 14_000, 0)
	require.Equal(t, 1, Pick([]Candidate{readingPrompts, generating}, Demand{MemoryTokens: 4000}, 1, 1, newSeededRandom()))
}

// Guards against engines that are filled beyond their memory while others have capacity.
func TestPickCountsMemoryInUse(t *testing.T) {
	require.Equal(t, 1, Pick([]Candidate{newEngineCandidate(1, 28_000, 0), newEngineCandidate(8, 16_000, 0)}, Demand{MemoryTokens: 4000}, 1, 1, newSeededRandom()))
}

// Guards against sending work to failing upstreams while healthy ones exist, and against
// sending none if all upstreams fail.
func TestFailingUpstreamsAreChosenLast(t *testing.T) {
	failing, lastResort, remote := newEngineCandidate(0, 0, 0), newEngineCandidate(0, 0, 0), newEngineCandidate(20, 25_000, 0)
	failing.Avoid, lastResort.LastResort, remote.Local = true, true, false
	require.Equal(t, 2, Pick([]Candidate{failing, lastResort, remote}, Demand{MemoryTokens: 100}, 1, 1, newSeededRandom()))
	require.Equal(t, 2, Pick([]Candidate{failing, lastResort, remote}, Demand{MemoryTokens: 100}, 60, 1, newSeededRandom()))
	require.Equal(t, 0, Pick([]Candidate{failing, lastResort}, Demand{MemoryTokens: 100}, 60, 1, newSeededRandom()))
	require.Equal(t, 0, Pick([]Candidate{lastResort}, Demand{MemoryTokens: 100}, 1, 1, newSeededRandom()))
	require.Equal(t, -1, Pick(nil, Demand{MemoryTokens: 100}, 1, 1, newSeededRandom()))
}

// Guards against many hosts with the same view that all choose the same upstream: 60
// hosts choose among 70 equal engines at once.
func TestManyHostsSpreadOverUpstreams(t *testing.T) {
	candidates := make([]Candidate, 70)
	for i := range candidates {
		candidates[i] = newEngineCandidate(i%3, 4000*(i%3), 0)
	}
	random, chosen := newSeededRandom(), map[int]int{}
	for range 60 {
		chosen[Pick(candidates, Demand{MemoryTokens: 4000}, 60, 1, random)]++
	}
	for i, n := range chosen {
		require.Less(t, n, 12, "engine %d", i)
	}
}

// Guards against reports of failed hosts that keep an upstream looking loaded.
func TestExpiredPeerReportsAreIgnored(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	tracker.AddLoad("e", Load{Requests: 1, Tokens: 10})
	tracker.SetPeerReport("h2", map[string]Load{"e": {Requests: 2, Tokens: 20}}, now)
	require.Equal(t, Load{Requests: 3, Tokens: 30}, tracker.Views([]string{"e"}, now)[0].Load)
	later := now.Add(peerReportTTL + time.Second)
	require.Equal(t, Load{Requests: 1, Tokens: 10}, tracker.Views([]string{"e"}, later)[0].Load)
	tracker.RemoveLoad("e", Load{Requests: 1, Tokens: 10})
	tracker.Evict(func(string) bool { return false }, later)
	require.Empty(t, tracker.upstreams)
	require.Empty(t, tracker.peerReports)
}

// Guards against totals that drift from the reports when changes, full reports and
// expiries of many peers alternate.
func TestPeerTotalsMatchReports(t *testing.T) {
	random, now := newSeededRandom(), time.Unix(1000, 0)
	local, peers := NewTracker(), map[string]*Tracker{"h2": NewTracker(), "h3": NewTracker(), "h4": NewTracker()}
	lastReportAt := map[string]time.Time{}
	names, ids := []string{"h2", "h3", "h4"}, []string{"e1", "e2", "e3"}
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(150)) * time.Millisecond)
		name, id := names[random.IntN(3)], ids[random.IntN(3)]
		peer, load := peers[name], Load{Requests: 1, Tokens: 100 + random.IntN(5), PendingPromptTokens: random.IntN(3)}
		peer.AddLoad(id, load)
		if random.IntN(2) == 0 {
			peer.RemoveLoad(id, load)
		}
		switch random.IntN(8) {
		case 0:
			local.SetPeerReport(name, peer.OwnLoads(), now)
			peer.TakeChanges()
			lastReportAt[name] = now
		case 1, 2, 3:
			if at, ok := lastReportAt[name]; ok && now.Sub(at) <= peerReportTTL {
				local.UpdatePeerReport(name, peer.TakeChanges(), now)
				lastReportAt[name] = now
			}
		default: // compare loads only after a report was delivered
			continue
		}
		var want Load
		for _, n := range names {
			if at, ok := lastReportAt[n]; ok && now.Sub(at) <= peerReportTTL && len(peers[n].changedEngines) == 0 {
				want = want.plus(peers[n].ownLoadOf(id))
			} else if ok && now.Sub(at) <= peerReportTTL {
				want = want.plus(local.peerReports[n].loads[id])
			}
		}
		require.Equal(t, want, local.Views([]string{id}, now)[0].Load)
	}
}

func (t *Tracker) ownLoadOf(id string) Load { return t.state(id).ownLoad }

// Guards against an upstream that is avoided forever, or not at all.
func TestAvoidanceExpires(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for range 20 {
		tracker.RecordFailure("e", now)
	}
	view := func(at time.Time) View { return tracker.Views([]string{"e"}, at)[0] }
	require.True(t, view(now.Add(maxAvoidDuration-time.Millisecond)).Avoid)
	require.False(t, view(now.Add(maxAvoidDuration+time.Millisecond)).Avoid)
	tracker.RecordSuccess("e")
	require.False(t, view(now).Avoid)
}

// Guards against a cold upstream that receives more than its rate from all hosts
// together in any second.
func TestColdRateIsSharedByAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 7, 59, 300} {
		const rate, overshoot, slack = 25.0, 1.5, 5.0
		random := newSeededRandom()
		trackers := make([]*Tracker, hosts)
		for i := range trackers {
			trackers[i] = newTracker(random)
		}
		start, sentAt := time.Unix(1000, 0), []time.Duration{}
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			for _, tracker := range trackers {
				if tracker.AllowCold("e", rate, hosts, start.Add(at)) {
					sentAt = append(sentAt, at)
				}
			}
		}
		for i := range sentAt {
			n := 0
			for _, at := range sentAt[i:] {
				if at-sentAt[i] < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), rate*overshoot+slack, "%d hosts", hosts)
		}
	}
}

// Guards against loads that vanish, or stay for good, because a datagram held only a part of
// another host's loads.
func TestPartOfAReportReplacesItsRange(t *testing.T) {
	now, tracker := time.Unix(1000, 0), NewTracker()
	load := func(n int) Load { return Load{Requests: n, Tokens: 100 * n} }
	tracker.SetPeerReport("h1", map[string]Load{"a": load(1), "b": load(2), "c": load(3)}, now)
	tracker.SetPeerReport("h2", map[string]Load{"b": load(5)}, now)
	tracker.SetPeerReportWithin("h1", map[string]Load{"d": load(4)}, func(id string) bool { return id >= "b" }, now)
	for id, want := range map[string]Load{"a": load(1), "b": load(5), "c": {}, "d": load(4)} {
		require.Equal(t, want, tracker.Views([]string{id}, now)[0].Load, id)
	}
}
