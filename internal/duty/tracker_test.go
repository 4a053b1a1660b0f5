package duty

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testTerm   = 3 * time.Second
	testMargin = 300 * time.Millisecond
)

// fakeRow is the row of a duty in a store that executes some writes late.
type fakeRow struct {
	revision, rowRevision uint64
	row                   Row
	late                  []lateWrite
}

type lateWrite struct {
	row      Row
	expected uint64
	at       Instant
}

func (f *fakeRow) read() Observation {
	return Observation{Row: f.row, Revision: f.rowRevision, StoreRevision: f.revision}
}

func (f *fakeRow) write(row Row, expected uint64) (uint64, WriteResult) {
	f.revision++ // other tables are written to as well
	if expected != f.rowRevision {
		return 0, Conflict
	}
	f.revision++
	f.row, f.rowRevision = row, f.revision
	return f.revision, Written
}

func (f *fakeRow) executeLate(now Instant) {
	pending := f.late
	f.late = nil
	for _, w := range pending {
		if w.at > now {
			f.late = append(f.late, w)
			continue
		}
		f.write(w.row, w.expected)
	}
}

// testHost drives one tracker against the row.
type testHost struct {
	*Tracker
	name    string
	rank    int
	willing bool
	row     *fakeRow
}

func newTestHost(name string, rank int, row *fakeRow, now Instant) *testHost {
	return &testHost{Tracker: NewTracker(name, name+"-1", testTerm, testMargin, now), name: name, rank: rank, willing: true, row: row}
}

// step executes what the tracker decides. lose makes the answers of writes get lost.
func (h *testHost) step(now Instant) Action {
	action, _ := h.Next(now, h.rank, h.willing)
	switch action {
	case Wait:
	case Read:
		h.Observed(h.row.read(), now, now)
	default:
		row, expected := h.Proposal(action, nil)
		revision, result := h.row.write(row, expected)
		h.Wrote(row, result, revision, now, now)
	}
	return action
}

// run steps the hosts every 50 ms until the time, and calls check after each step.
func run(from, to Instant, hosts []*testHost, check func(now Instant)) {
	for now := from; now < to; now = now.Add(50 * time.Millisecond) {
		for _, h := range hosts {
			h.step(now)
		}
		check(now)
	}
}

func holders(hosts []*testHost, now Instant) (names []string) {
	for _, h := range hosts {
		if _, held := h.Grant(now); held {
			names = append(names, h.name)
		}
	}
	return names
}

func seconds(s float64) Instant { return Instant(s * float64(time.Second)) }

// Guards against several hosts that write at once, or none that claims, when all start together.
func TestOneOfManyHostsClaimsAfterAStart(t *testing.T) {
	row := &fakeRow{}
	var hosts []*testHost
	for i := range 66 {
		hosts = append(hosts, newTestHost(string(rune('A'+i)), i, row, 0))
	}
	conflicts, reads := 0, 0
	for now := Instant(0); now < seconds(10); now = now.Add(50 * time.Millisecond) {
		for i, h := range hosts {
			h.rank = i
			if now < seconds(1) { // the hosts do not know each other yet
				h.rank = 0
			}
			before := row.revision
			switch h.step(now) {
			case Claim:
				if h.token == 0 && row.revision > before {
					conflicts++
				}
			case Read:
				reads++
			}
		}
		require.LessOrEqual(t, len(holders(hosts, now)), 1)
	}
	require.Equal(t, []string{"A"}, holders(hosts, seconds(10)))
	require.LessOrEqual(t, conflicts, 1)
	require.Less(t, reads, len(hosts), "all hosts read the row at once")
}

// Guards against a duty that stays with a holder that was killed.
func TestAnotherHostClaimsAfterTheHolderWasKilled(t *testing.T) {
	row := &fakeRow{}
	a, b := newTestHost("A", 0, row, 0), newTestHost("B", 1, row, 0)
	both := []*testHost{a, b}
	run(0, seconds(10), both, func(Instant) {})
	require.Equal(t, []string{"A"}, holders(both, seconds(10)))
	first := row.row.Token
	b.rank = 0
	run(seconds(10), seconds(15), both[1:], func(Instant) {})
	require.Equal(t, []string{"B"}, holders(both, seconds(15)))
	require.Greater(t, row.row.Token, first)
}

// Guards against a holder that acts after a pause longer than its term without asking the store.
func TestHolderDoesNotActAfterAPause(t *testing.T) {
	row := &fakeRow{}
	a, b := newTestHost("A", 0, row, 0), newTestHost("B", 1, row, 0)
	run(0, seconds(10), []*testHost{a, b}, func(Instant) {})
	run(seconds(10), seconds(16), []*testHost{b}, func(Instant) {}) // A is frozen
	_, held := a.Grant(seconds(16))
	require.False(t, held)
	require.Equal(t, Confirm, a.step(seconds(16)))
	_, held = a.Grant(seconds(16))
	require.False(t, held, "the row names another holder")
}

// Guards against a holder that keeps its duty while it cannot reach the store.
func TestClaimEndsWithoutTheStore(t *testing.T) {
	row := &fakeRow{}
	a := newTestHost("A", 0, row, 0)
	run(0, seconds(10), []*testHost{a}, func(Instant) {})
	confirmed := a.confirmedAt
	for now := seconds(10); now < seconds(20); now = now.Add(50 * time.Millisecond) {
		if action, _ := a.Next(now, 0, true); action != Wait {
			proposed, _ := a.Proposal(action, nil)
			a.Wrote(proposed, NotWritten, 0, now, now)
		}
		_, held := a.Grant(now)
		require.Equal(t, now < confirmed.Add(testTerm-testMargin), held)
	}
	token := row.row.Token
	// The store is back and the row unchanged.
	run(seconds(20), seconds(21), []*testHost{a}, func(Instant) {})
	g, held := a.Grant(seconds(21))
	require.True(t, held)
	require.Equal(t, token, g.Token)
}

// Guards against a claim without an answer that is executed late and leaves the duty with nobody.
func TestLateClaimIsTakenUp(t *testing.T) {
	row := &fakeRow{}
	a := newTestHost("A", 0, row, 0)
	var now Instant
	for ; ; now = now.Add(50 * time.Millisecond) {
		action, _ := a.Next(now, 0, true)
		if action == Claim {
			proposed, expected := a.Proposal(action, nil)
			a.Wrote(proposed, Unknown, 0, now, now)
			row.late = append(row.late, lateWrite{proposed, expected, now.Add(200 * time.Millisecond)})
			break
		}
		a.step(now)
	}
	_, held := a.Grant(now)
	require.False(t, held)
	row.executeLate(now.Add(time.Second))
	run(now.Add(time.Second), now.Add(2*time.Second), []*testHost{a}, func(Instant) {})
	_, held = a.Grant(now.Add(2 * time.Second))
	require.True(t, held)
}

// Guards against a host that releases and claims again within a term, in which another has acted.
func TestReleasedDutyGoesToAnotherHost(t *testing.T) {
	row := &fakeRow{}
	a, b := newTestHost("A", 0, row, 0), newTestHost("B", 1, row, 0)
	both := []*testHost{a, b}
	run(0, seconds(10), both, func(Instant) {})
	a.willing = false
	run(seconds(10), seconds(12), both, func(now Instant) { require.LessOrEqual(t, len(holders(both, now)), 1) })
	require.Equal(t, []string{"B"}, holders(both, seconds(12)))
}

// Guards against a restarted host that does not know that it has acted just before another one.
func TestRestartedHostWaitsForATerm(t *testing.T) {
	row := &fakeRow{}
	a, b := newTestHost("A", 0, row, 0), newTestHost("B", 1, row, 0)
	run(0, seconds(10), []*testHost{a, b}, func(Instant) {})
	a.willing = false
	run(seconds(10), seconds(11.5), []*testHost{a, b}, func(Instant) {})
	b.willing = false // B has acted and stops too
	restarted := newTestHost("A", 0, row, seconds(11.5))
	restarted.process = "A-2"
	run(seconds(11.5), seconds(11.5).Add(testTerm), []*testHost{restarted, b}, func(now Instant) {
		require.Empty(t, holders([]*testHost{restarted}, now))
	})
	run(seconds(11.5).Add(testTerm), seconds(16), []*testHost{restarted, b}, func(Instant) {})
	require.Equal(t, []string{"A"}, holders([]*testHost{restarted, b}, seconds(16)))
}

// Guards against a token that is used again after the platform has rejected it.
func TestRejectedTokenIsNotUsedAgain(t *testing.T) {
	row := &fakeRow{}
	a := newTestHost("A", 0, row, 0)
	run(0, seconds(10), []*testHost{a}, func(Instant) {})
	token := row.row.Token
	a.Retire(token)
	_, held := a.Grant(seconds(10))
	require.False(t, held)
	run(seconds(10), seconds(12), []*testHost{a}, func(now Instant) {
		if g, ok := a.Grant(now); ok {
			require.Greater(t, g.Token, token)
		}
	})
	_, held = a.Grant(seconds(12))
	require.True(t, held)
}

// Guards against tokens that fall after the row was deleted.
func TestTokensRiseAfterTheRowWasDeleted(t *testing.T) {
	row := &fakeRow{}
	a := newTestHost("A", 0, row, 0)
	run(0, seconds(10), []*testHost{a}, func(Instant) {})
	token := row.row.Token
	row.revision++
	row.row, row.rowRevision = Row{}, 0
	run(seconds(10), seconds(20), []*testHost{a}, func(Instant) {})
	require.Greater(t, row.row.Token, token)
}

// Guards against reads whose number grows with the site.
func TestReadsDoNotGrowWithTheSite(t *testing.T) {
	for _, count := range []int{7, 66, 300, 2600} {
		row := &fakeRow{}
		var hosts []*testHost
		for i := range count {
			hosts = append(hosts, newTestHost("host-"+time.Duration(i).String(), i, row, 0))
		}
		run(0, seconds(10), hosts, func(Instant) {})
		calls := map[Action]int{}
		for now := seconds(10); now < seconds(110); now = now.Add(50 * time.Millisecond) {
			for _, h := range hosts {
				calls[h.step(now)]++
			}
		}
		t.Logf("%d hosts: %.2f reads and %.2f writes a second", count, float64(calls[Read])/100, float64(calls[Confirm]+calls[Claim])/100)
		require.Less(t, calls[Read], 300)
		require.Less(t, calls[Confirm]+calls[Claim], 150)
	}
}

// Drives hosts over random pauses, cuts from the store, lost answers, late writes, restarts and
// changes of rank. Guards against two holders at a time, tokens that fall or are used by two
// hosts, and hosts that act in the order A, B, A within a term.
func TestHoldersOverRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		row := &fakeRow{}
		hosts := []*testHost{newTestHost("A", 0, row, 0), newTestHost("B", 1, row, 0), newTestHost("C", 2, row, 0)}
		frozenUntil, cutUntil := map[string]Instant{}, map[string]Instant{}
		lastActed, tokenOf := map[string]Instant{}, map[uint64]string{}
		var highest uint64
		var lastHolder string
		var order []string
		restarts := 0
		for now := Instant(0); now < seconds(60); now = now.Add(50 * time.Millisecond) {
			row.executeLate(now)
			for i, h := range hosts {
				switch random.IntN(400) {
				case 0:
					frozenUntil[h.name] = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
				case 1:
					cutUntil[h.name] = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
				case 2:
					restarts++
					hosts[i] = newTestHost(h.name, h.rank, row, now)
					hosts[i].process += time.Duration(restarts).String()
				case 3:
					h.willing = !h.willing
				case 4:
					h.rank = random.IntN(3)
				case 5:
					if g, held := h.Grant(now); held {
						h.Retire(g.Token)
					}
				}
				if now < frozenUntil[h.name] {
					continue
				}
				h = hosts[i]
				stepWithFaults(h, now, now < cutUntil[h.name], random)
				g, held := h.Grant(now)
				if !held {
					continue
				}
				require.GreaterOrEqual(t, g.Token, highest, "a token fell")
				highest = g.Token
				if owner := tokenOf[g.Token]; owner != "" {
					require.Equal(t, owner, h.name, "two hosts used a token")
				}
				tokenOf[g.Token] = h.name
				if lastHolder != h.name {
					if at, acted := lastActed[h.name]; acted {
						require.GreaterOrEqual(t, now.Sub(at), testTerm, "%s acts again after %v", h.name, order)
					}
					lastHolder = h.name
					order = append(order, h.name)
				}
				lastActed[h.name] = now
			}
			require.LessOrEqual(t, len(holders(hosts, now)), 1)
		}
	})
}

// stepWithFaults executes what the tracker decides. Answers may be lost and writes executed late.
func stepWithFaults(h *testHost, now Instant, cut bool, random *rand.Rand) {
	action, _ := h.Next(now, h.rank, h.willing)
	switch {
	case action == Wait:
	case action == Read && cut:
		h.ReadFailed(now)
	case action == Read:
		h.Observed(h.row.read(), now, now)
	default:
		row, expected := h.Proposal(action, nil)
		switch fault := random.IntN(10); {
		case cut:
			h.Wrote(row, Unknown, 0, now, now)
		case fault == 0: // the answer is lost
			h.row.write(row, expected)
			h.Wrote(row, Unknown, 0, now, now)
		case fault == 1: // the write is executed late
			h.row.late = append(h.row.late, lateWrite{row, expected, now.Add(time.Duration(1000+random.IntN(5000)) * time.Millisecond)})
			h.Wrote(row, Unknown, 0, now, now)
		default:
			revision, result := h.row.write(row, expected)
			h.Wrote(row, result, revision, now, now)
		}
	}
}

// Guards against a host that acts again within a term after another host has acted, because its own
// token was retired when it lost the row.
func TestHostWithARetiredTokenWaitsForATerm(t *testing.T) {
	now := Instant(time.Hour)
	tracker := NewTracker("a", "a1", testTerm, testMargin, now.Add(-testTerm))
	tracker.Observed(Observation{StoreRevision: 5}, now, now)
	row, expected := tracker.Proposal(Claim, nil)
	require.Zero(t, expected)
	tracker.Wrote(row, Written, 6, now, now)
	grant, held := tracker.Grant(now)
	require.True(t, held)
	tracker.Retire(grant.Token)

	released := now.Add(time.Second)
	tracker.Observed(Observation{Row: Row{Token: 9}, Revision: 10, StoreRevision: 10}, released, released)
	for at := released; at < released.Add(testTerm); at = at.Add(50 * time.Millisecond) {
		action, _ := tracker.Next(at, 0, true)
		require.NotEqual(t, Claim, action, "%s after the loss", at.Sub(released))
		if action == Read {
			tracker.Observed(Observation{Row: Row{Token: 9}, Revision: 10, StoreRevision: 10}, at, at)
		}
	}
}

// Guards against a grant that outlives a release whose answer was lost.
func TestReleaseWithoutAnAnswerEndsTheGrant(t *testing.T) {
	now := Instant(time.Hour)
	tracker := NewTracker("a", "a1", testTerm, testMargin, now.Add(-testTerm))
	tracker.Observed(Observation{StoreRevision: 5}, now, now)
	row, _ := tracker.Proposal(Claim, nil)
	tracker.Wrote(row, Written, 6, now, now)
	release, _ := tracker.Proposal(Release, nil)
	tracker.Wrote(row, Written, 7, now, now) // a confirmation that was on its way
	tracker.Wrote(release, Unknown, 0, now, now)
	_, held := tracker.Grant(now)
	require.False(t, held)
}
