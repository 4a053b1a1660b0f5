package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulatePlacements simulates hosts that place generations on engines and report to
// each other every 200 ms, or send changes within 20 ms. It returns how many placements
// hit an engine without memory for them while another engine had enough, and the number
// of all placements.
func simulatePlacements(t *testing.T, hosts, engines int, utilisation float64, sendChanges bool) (onFullEngine, placed int) {
	t.Helper()
	const (
		tokens, capacity            = 4300, 34_000
		runDuration, reportInterval = 9 * time.Second, 200 * time.Millisecond
		simulatedTime               = 25 * time.Second
		step                        = 10 * time.Millisecond
	)
	random, now := newSeededRandom(), time.Unix(1000, 0)
	ids := make([]string, engines)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	trackers := make([]*Tracker, hosts)
	for i := range trackers {
		trackers[i] = newTracker(random)
	}
	type run struct {
		host, engine int
		ends         time.Time
	}
	var runs []run
	heldTokens := make([]int, engines)
	placementsPerStep := utilisation * float64(engines*(capacity/tokens)) / runDuration.Seconds() * step.Seconds()
	duePlacements, load := 0.0, Load{Requests: 1, Tokens: tokens}
	for at := time.Duration(0); at < simulatedTime; at += step {
		now := now.Add(at)
		for len(runs) > 0 && !now.Before(runs[0].ends) {
			r := runs[0]
			runs = runs[1:]
			heldTokens[r.engine] -= tokens
			trackers[r.host].RemoveLoad(ids[r.engine], load)
		}
		for i, from := range trackers {
			var changed map[string]Load
			if sendChanges && at%(2*step) == 0 {
				changed = from.TakeChanges()
			}
			for j, to := range trackers {
				switch {
				case i == j:
				case at%reportInterval == 0 && (!sendChanges || at == 0):
					to.SetPeerReport(fmt.Sprint(i), from.OwnLoads(), now)
				case len(changed) > 0 || at%reportInterval == 0:
					to.UpdatePeerReport(fmt.Sprint(i), changed, now)
				}
			}
		}
		for duePlacements += placementsPerStep; duePlacements >= 1; duePlacements-- {
			host := random.IntN(hosts)
			candidates := make([]Candidate, engines)
			for i, v := range trackers[host].Views(ids, now) {
				candidates[i] = Candidate{View: v, Local: true, Slots: 24, MemoryTokens: capacity}
			}
			best := Pick(candidates, Demand{MemoryTokens: tokens}, hosts, 1, random)
			anyHasRoom := false
			for _, h := range heldTokens {
				anyHasRoom = anyHasRoom || h+tokens <= capacity
			}
			if at > runDuration { // engines have reached the steady load
				placed++
				if anyHasRoom && heldTokens[best]+tokens > capacity {
					onFullEngine++
				}
			}
			heldTokens[best] += tokens
			trackers[host].AddLoad(ids[best], load)
			runs = append(runs, run{host, best, now.Add(runDuration)})
		}
	}
	return onFullEngine, placed
}

// Guards against generations that wait at a full engine while another has memory. The
// load is that of a large site: 40 hosts and 48 engines whose memory is 90 % or 95 %
// used by generations of 9 s.
func TestFullEnginesAreAvoidedWhileOthersHaveRoom(t *testing.T) {
	for _, c := range []struct {
		fill    float64
		changes bool
	}{{0.9, false}, {0.9, true}, {0.95, true}} {
		onFullEngine, placed := simulatePlacements(t, 40, 48, c.fill, c.changes)
		t.Logf("%+v: %d of %d placements hit a full engine", c, onFullEngine, placed)
		require.Less(t, onFullEngine, placed/20, "%+v", c)
	}
}
