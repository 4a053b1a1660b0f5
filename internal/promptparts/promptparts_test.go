package promptparts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	commonPart Part = iota + 1 // first part of all prompts of an account
	topicPart                  // shared by crashing and sound requests
	deadlyPart
	firstSoundPart
)

// site simulates hosts that see the runs of their own requests and exchange reports.
type site struct {
	random  *rand.Rand
	hosts   []*Table
	crashes int
	// lateCrashes are crashes after the fifth one plus contact.
	lateCrashes            int
	fifthCrashAt           time.Time
	soundSent, soundServed int
	engines                Engine
}

const (
	exchangeInterval = 200 * time.Millisecond
	timeToBegin      = 300 * time.Millisecond
	// contact is the time within which hosts that reach each other must act on a crash.
	contact = 3 * time.Second
)

type pendingRun struct {
	host, engine int
	parts        []Part
	beginsAt     time.Time
}

// run plays requests of which a share holds the deadly part, for the given time. A crash
// ends all requests that have not begun on the same engine.
func (s *site) run(duration time.Duration, perSecond, deadlyShare float64, engines int) {
	start := time.Unix(1000, 0)
	var pending []pendingRun
	incarnation := make([]Engine, engines)
	for i := range incarnation {
		s.engines++
		incarnation[i] = s.engines
	}
	const tick = 10 * time.Millisecond
	for now := start; now.Before(start.Add(duration)); now = now.Add(tick) {
		if s.random.Float64() < perSecond*tick.Seconds() {
			parts := []Part{commonPart, topicPart, deadlyPart}
			if s.random.Float64() >= deadlyShare {
				parts = []Part{commonPart, topicPart, firstSoundPart + Part(s.random.IntN(20))}
			}
			h := s.random.IntN(len(s.hosts))
			_, refused := s.hosts[h].Refused(parts, now)
			if parts[2] != deadlyPart {
				s.soundSent++
				if refused {
					continue
				}
			}
			if !refused {
				pending = append(pending, pendingRun{h, s.random.IntN(engines), parts, now.Add(timeToBegin)})
			}
		}
		pending = s.begin(pending, incarnation, now)
		if now.Sub(start)%exchangeInterval == 0 {
			s.exchange(now)
		}
	}
}

// begin lets the runs begin that are due, and returns the others.
func (s *site) begin(pending []pendingRun, incarnation []Engine, now time.Time) []pendingRun {
	lost := map[int]bool{}
	for _, p := range pending {
		if !p.beginsAt.After(now) && p.parts[2] == deadlyPart && !lost[p.engine] {
			lost[p.engine] = true
			s.crashes++
			if s.crashes == 5 {
				s.fifthCrashAt = now
			}
			if s.crashes > 5 && now.Sub(s.fifthCrashAt) > contact {
				s.lateCrashes++
			}
		}
	}
	var left []pendingRun
	for _, p := range pending {
		switch {
		case lost[p.engine]:
			s.hosts[p.host].RecordCrash(p.parts, incarnation[p.engine], now)
		case p.beginsAt.After(now):
			left = append(left, p)
		default:
			s.hosts[p.host].RecordAnswer(p.parts, now)
			s.soundServed++
		}
	}
	for engine := range lost {
		s.engines++
		incarnation[engine] = s.engines
	}
	return left
}

func (s *site) exchange(now time.Time) {
	for i, from := range s.hosts {
		r := from.OwnReport(now)
		for j, to := range s.hosts {
			if i != j && s.random.Float64() > 0.02 { // a lost datagram
				to.Merge(r, now)
			}
		}
	}
}

func newSite(seed uint64, hosts int) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1))}
	for range hosts {
		s.hosts = append(s.hosts, NewTable())
	}
	return s
}

// Guards against requests that crash one engine after the other although no two are alike,
// and against sound requests that are refused because they share the other parts.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	for _, hosts := range []int{1, 3, 9, 30} {
		for _, share := range []float64{0.05, 0.3, 0.8} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("hosts=%d/share=%v/seed=%d", hosts, share, seed), func(t *testing.T) {
					s := newSite(seed, hosts)
					s.run(30*time.Second, 12, share, 18)
					require.LessOrEqual(t, s.lateCrashes, 3, "of %d crashes", s.crashes)
					require.Greater(t, s.soundServed, s.soundSent/2)
				})
			}
		}
	}
}

// Guards against parts that are refused because engines crash for another reason.
func TestUnluckyPartsAreServed(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	parts := []Part{commonPart, topicPart}
	for engine := range Engine(10) {
		table.RecordCrash(parts, engine, now)
		now = now.Add(time.Second)
		table.RecordAnswer(parts, now)
		_, refused := table.Refused(parts, now)
		require.False(t, refused)
	}
	for range 5 { // one engine, seen by several requests
		table.RecordCrash(parts, 99, now.Add(time.Second))
	}
	_, refused := table.Refused(parts, now.Add(time.Second))
	require.False(t, refused)
}

// Guards against an answer or a crash at one host that the others do not learn of, and
// against ages from outside that make an entry last forever.
func TestReportsReachOtherHosts(t *testing.T) {
	a, b, now := NewTable(), NewTable(), time.Unix(1000, 0)
	parts := []Part{deadlyPart}
	for engine := range Engine(maxUnansweredCrashes) {
		require.True(t, a.RecordCrash(parts, engine, now))
		require.False(t, a.RecordCrash(parts, engine, now))
	}
	b.Merge(a.OwnReport(now), now)
	_, refused := b.Refused(parts, now)
	require.True(t, refused)
	require.Empty(t, b.OwnReport(now).Crashes, "a host reports only what it has seen itself")

	b.RecordAnswer(parts, now.Add(time.Second))
	a.Merge(b.OwnReport(now.Add(time.Second)), now.Add(time.Second))
	_, refused = a.Refused(parts, now.Add(time.Second))
	require.False(t, refused)

	a.Merge(Report{Crashes: []Crash{{deadlyPart, 50, -1}, {deadlyPart, 51, -1 << 62}, {deadlyPart, 52, 1 << 62}}, Answers: []Answer{{deadlyPart, -5}}}, now)
	require.Empty(t, a.parts[deadlyPart].crashes)
}

// Guards against a table that grows with what callers send.
func TestTableIsBounded(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	for p := range Part(2 * maxParts) {
		for engine := range Engine(2) {
			table.RecordCrash([]Part{p, 7}, engine+Engine(p), now.Add(time.Duration(p)*time.Millisecond))
		}
	}
	require.LessOrEqual(t, len(table.parts), maxParts)
	require.LessOrEqual(t, len(table.parts[7].crashes), maxCrashesPerPart)
	r := table.OwnReport(now)
	require.LessOrEqual(t, len(r.Crashes), maxReported)
	table.Evict(now.Add(time.Hour))
	require.Empty(t, table.parts)
}

// Guards against a report of many parts that holds up requests, which wait for the table.
func TestLongReportsAreCut(t *testing.T) {
	table, now, long := NewTable(), time.Unix(1000, 0), Report{}
	for i := range 3000 {
		long.Crashes = append(long.Crashes, Crash{Part: Part(i), Engine: Engine(i)})
		long.Answers = append(long.Answers, Answer{Part: Part(i)})
	}
	table.Merge(long, now)
	require.LessOrEqual(t, len(table.parts), maxReported)
}
