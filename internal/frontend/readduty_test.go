package frontend

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rattanscale/rattanscale/internal/gossip"
	"github.com/rattanscale/rattanscale/internal/retry"
)

const (
	simulatedStep = 50 * time.Millisecond
	// spreadTime is the time in which a confirmation reaches all hosts.
	spreadTime = 200 * time.Millisecond
)

// simulateReads returns the largest age of the last confirmation, from the time at which the
// given hosts are cut from the store, and the calls that were answered and that failed.
func simulateReads(hosts, readers int, cut func(rank int) bool, length time.Duration) (oldest time.Duration, answered, failed int) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	duties := make([]readDuty, hosts)
	standbyRanks := make([]int, hosts)
	for i := range hosts {
		for j := range hosts {
			if retry.Hash(fmt.Sprint("h", j)) < retry.Hash(fmt.Sprint("h", i)) {
				standbyRanks[i]++
			}
		}
	}
	lastTry := make([]time.Time, hosts)
	var reads []time.Time
	known := start
	for now := start; now.Before(start.Add(length)); now = now.Add(simulatedStep) {
		for len(reads) > 0 && now.Sub(reads[0]) >= spreadTime {
			known, reads = reads[0], reads[1:]
		}
		for i := range hosts {
			s := readSituation{now: now, startedAt: start.Add(-time.Hour), rank: i, standbyRank: standbyRanks[i], readers: readers, isSeed: true, confirmedAt: known, known: true}
			if !duties[i].shouldRead(s) || now.Sub(lastTry[i]) < 100*time.Millisecond {
				continue
			}
			lastTry[i] = now
			if cut(i) {
				failed++
				duties[i].recordRead(errors.New("no answer"))
				lastTry[i] = now.Add(700 * time.Millisecond) // the pause after failed reads
				continue
			}
			answered++
			reads = append(reads, now)
		}
		oldest = max(oldest, now.Sub(known))
	}
	return oldest, answered, failed
}

// Guards against configurations that reach no host for seconds because the regular readers,
// and others, are cut from the store: a host that stepped in read once, and then only when the
// table was old again. The bounds are the times within which a configuration must be in force.
func TestHostsStepInForReadersWithoutTheStore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, site := range []struct {
		hosts int
		bound time.Duration
	}{{9, 2 * time.Second}, {88, 3 * time.Second}} {
		for name, cut := range map[string]func(rank int) bool{
			"the readers":             func(rank int) bool { return rank < 2 },
			"a third, first by name":  func(rank int) bool { return rank < site.hosts/3 },
			"the readers and a third": func(rank int) bool { return rank < 2 || uint64(rank)*2654435761%3 == 0 },
		} {
			oldest, answered, failed := simulateReads(site.hosts, 2, cut, 30*time.Second)
			t.Logf("%d hosts, cut %s: age at most %v, %d reads in 30 s, %d failed", site.hosts, name, oldest, answered+failed, failed)
			assert.LessOrEqual(t, oldest, site.bound, "%d hosts, cut %s", site.hosts, name)
		}
		worst, mostFailed := time.Duration(0), 0
		for range 200 {
			lost := make([]bool, site.hosts)
			for i := range lost {
				lost[i] = random.IntN(100) < 35
			}
			oldest, _, failed := simulateReads(site.hosts, 2, func(rank int) bool { return lost[rank] }, 15*time.Second)
			worst, mostFailed = max(worst, oldest), max(mostFailed, failed)
		}
		t.Logf("%d hosts, 35 in 100 cut, 200 draws: age at most %v, at most %d failed reads in 15 s", site.hosts, worst, mostFailed)
		assert.LessOrEqual(t, worst, site.bound)
	}
}

// Guards against hosts that step in although a regular reader reaches the store: its reads are
// held open, and its confirmations take a round of messages to arrive.
func TestNobodyStepsInForARegularReader(t *testing.T) {
	const heldRead, pause, round = 900 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var duty readDuty
	s := readSituation{now: now, startedAt: now.Add(-time.Hour), rank: 2, standbyRank: 0, readers: 1, known: true, confirmedAt: now.Add(-heldRead - pause - round)}
	assert.False(t, duty.shouldRead(s))
}

// Guards against hosts that all read the store in an outage, which would cost calls that fail,
// or that go on reading when the regular readers are back or when their reads fail.
func TestFewHostsReadInAnOutage(t *testing.T) {
	_, _, failed := simulateReads(88, 2, func(int) bool { return true }, 5*time.Second)
	t.Logf("%d failed reads of one table in 5 s", failed)
	assert.Less(t, failed, 150)

	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var duty readDuty
	s := readSituation{now: now, startedAt: now.Add(-time.Hour), rank: 5, standbyRank: 1, readers: 2, known: true, confirmedAt: now.Add(-2 * time.Second)}
	assert.True(t, duty.shouldRead(s))
	assert.False(t, duty.mayWait(), "others step in until the first read is confirmed")
	assert.True(t, duty.recordRead(nil))
	assert.True(t, duty.mayWait())
	assert.False(t, duty.recordRead(errors.New("no answer")))
	s.now, s.confirmedAt = now.Add(100*time.Millisecond), now
	assert.False(t, duty.shouldRead(s), "the host does not reach the store, and another one does")
	s.now = now.Add(2 * time.Second)
	assert.True(t, duty.shouldRead(s))
	now = s.now
	s.now, s.confirmedAt = now.Add(readTerm), now.Add(readTerm-100*time.Millisecond)
	assert.False(t, duty.shouldRead(s), "the term is over and another host reads")
	s.now, s.confirmedAt = now.Add(3*readTerm), now.Add(3*readTerm-standbyReadAge-standbyReadStagger)
	assert.False(t, duty.shouldRead(s), "the host that comes first steps in")
}

// Guards against configurations that are late at a host which is cut off from all other hosts
// but reaches the store: it waited for hosts that it could not hear of.
func TestIsolatedHostReadsTheStoreInTime(t *testing.T) {
	const bound = 2 * time.Second // within which a configuration must be in force
	for _, hosts := range []int{7, 9, 90} {
		now, last := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), 0
		for i := range hosts {
			if retry.Hash(fmt.Sprint("h", i)) > retry.Hash(fmt.Sprint("h", last)) {
				last = i // the host that steps in last
			}
		}
		members := gossip.NewTable(gossip.Member{Name: fmt.Sprint("h", last), State: gossip.Ready})
		for i := range hosts {
			members.Merge(gossip.Message{Self: gossip.Member{Name: fmt.Sprint("h", i), Heartbeat: 1, State: gossip.Ready, PeerAddress: "p"}}, now)
		}
		var duty readDuty
		for elapsed := time.Duration(0); ; elapsed += simulatedStep {
			at := now.Add(elapsed)
			rank, standbyRank := members.CellRanks(at)
			s := readSituation{now: at, startedAt: now.Add(-time.Hour), rank: max(rank, 2), standbyRank: standbyRank, readers: 2, confirmedAt: now, known: true}
			if duty.shouldRead(s) {
				break
			}
			if !assert.Less(t, elapsed, bound, "%d hosts", hosts) {
				break
			}
		}
	}
}

// Guards against a host that can not fetch what other hosts have, and waits before it reads the
// store for each host before it in rank, although those are not behind.
func TestHostBehindItsPeersReadsTheStoreInTime(t *testing.T) {
	const bound = 900 * time.Millisecond // of 2 s, less 1.1 s until a reader has the change
	for _, hosts := range []int{7, 9, 59, 90} {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		s := readSituation{now: now, startedAt: now.Add(-time.Hour), rank: hosts - 1, standbyRank: hosts - 1, readers: 2, confirmedAt: now, behindSince: now, known: true}
		var duty readDuty
		for !duty.shouldRead(s) {
			s.now = s.now.Add(simulatedStep)
			if !assert.LessOrEqual(t, s.now.Sub(now), bound, "%d hosts", hosts) {
				break
			}
		}
		assert.False(t, duty.mayWait(), "the answer must come at once")
		assert.False(t, duty.recordRead(nil), "the other hosts have the rows")
		assert.True(t, duty.mayWait())
	}
}
