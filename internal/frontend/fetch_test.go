package frontend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/follow"
)

// silentFetchDuration is how long a fetch takes whose connection is silent and replaced; see
// package peer.
const silentFetchDuration = 520 * time.Millisecond

// simulateFetch returns the time until a host has fetched a change that all peers announce in
// each round, while a share of its connections is silent and a share of its peers is frozen. The
// reader, peer 0, announces the change at once and is not frozen.
func simulateFetch(peers int, silentShare, frozenShare float64, random *rand.Rand) time.Duration {
	start := time.Unix(1000, 0)
	fetches := newTableFetches()
	durations := make(map[string]time.Duration, peers)
	type running struct {
		peer      string
		ends      time.Time
		succeeded bool
	}
	var fetching []running
	round := 200 * time.Millisecond
	offsets := make([]time.Duration, peers)
	for i := range peers {
		durations[fmt.Sprint(i)] = 10 * time.Millisecond
		if random.Float64() < silentShare {
			durations[fmt.Sprint(i)] = silentFetchDuration
		}
		if i > 0 && random.Float64() < frozenShare {
			durations[fmt.Sprint(i)] = fetchTimeout
		}
		offsets[i] = time.Duration(random.Int64N(int64(round))) / time.Millisecond * time.Millisecond
	}
	for now := start; ; now = now.Add(time.Millisecond) {
		for i := range peers {
			announces := now.Sub(start)%round == offsets[i] || i == 0 && now.Equal(start)
			peer := fmt.Sprint(i)
			if announces && fetches.begin(peer, now) {
				fetching = append(fetching, running{peer, now.Add(durations[peer]), durations[peer] < fetchTimeout})
			}
		}
		for _, f := range fetching {
			if f.ends.After(now) {
				continue
			}
			if f.succeeded {
				return now.Sub(start)
			}
			fetches.end(f.peer)
		}
		fetching = slices.DeleteFunc(fetching, func(f running) bool { return !f.ends.After(now) })
	}
}

// Guards against silent connections to several peers whose waits add up.
func TestSilentPeersDoNotDelayAChangeOneAfterAnother(t *testing.T) {
	const bound = 900 * time.Millisecond // of 2 s, less 1.1 s until a reader has the change
	random := rand.New(rand.NewPCG(1, 2))
	for _, peers := range []int{2, 8, 58, 89} {
		for _, share := range []float64{0.3, 0.7, 1} {
			for _, frozen := range []float64{0, 0.3} {
				worst := time.Duration(0)
				for range 30 {
					worst = max(worst, simulateFetch(peers, share, frozen, random))
				}
				t.Logf("%d peers, %.1f silent, %.1f frozen: %v at most", peers, share, frozen, worst)
				require.LessOrEqual(t, worst, bound, "%d peers, %.1f silent, %.1f frozen", peers, share, frozen)
			}
		}
	}
}

// Guards against a change that a host fetches from many peers at once.
func TestFetchesOfATableAreBounded(t *testing.T) {
	fetches, now := newTableFetches(), time.Unix(1000, 0)
	require.True(t, fetches.begin("a", now))
	require.False(t, fetches.begin("b", now.Add(nextFetchDelay-1)), "the first one may still respond")
	require.False(t, fetches.begin("a", now.Add(nextFetchDelay)), "it is being asked")
	for i := 1; i < maxRunningFetches; i++ {
		require.True(t, fetches.begin(fmt.Sprint(i), now.Add(time.Duration(i)*nextFetchDelay)))
	}
	later := now.Add(time.Minute)
	require.False(t, fetches.begin("z", later))
	fetches.end("a")
	require.True(t, fetches.begin("z", later))
}

// Guards against a host that is taken for one behind its peers although it caught up or the store
// confirmed its rows since, and reads the store without end.
func TestHostIsBehindUntilItCaughtUp(t *testing.T) {
	now := time.Unix(1000, 0)
	table, fetches := follow.NewTable("t", nil), newTableFetches()
	table.Replace([]follow.Row{{Key: "a", Revision: 5}}, 5, now)
	require.Zero(t, fetches.behind(table))

	fetches.recordAnnounced(6, table, now.Add(time.Second))
	fetches.recordAnnounced(7, table, now.Add(2*time.Second))
	require.Equal(t, now.Add(time.Second), fetches.behind(table), "since the first announcement")
	table.Apply([]follow.Row{{Key: "a", Revision: 6}}, 6, now.Add(time.Second))
	require.Equal(t, now.Add(time.Second), fetches.behind(table))
	table.Apply([]follow.Row{{Key: "a", Revision: 7}}, 7, now.Add(time.Second))
	require.Zero(t, fetches.behind(table), "caught up")

	fetches.recordAnnounced(9, table, now.Add(3*time.Second))
	require.NotZero(t, fetches.behind(table))
	table.Apply(nil, 9, now.Add(4*time.Second))
	require.Zero(t, fetches.behind(table), "the store has confirmed the rows since")
}
