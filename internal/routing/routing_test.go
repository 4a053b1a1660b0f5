package routing

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes runs reproducible; -rapid.seed selects another.
func init() { _ = flag.Set("rapid.seed", "20260102") }

// Prefix affinity must never cost more load than its margin, and the choice must not
// depend on the order of the candidates.
func TestPickIsBoundedAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(1, 12).Draw(t, "n"))
		lowest := 9.0
		for i := range candidates {
			candidates[i] = Candidate{
				Name: fmt.Sprint("e", i), Load: rapid.Float64Range(0, 1.5).Draw(t, "load"),
				PrefixCached: rapid.Bool().Draw(t, "cached"),
			}
			lowest = min(lowest, candidates[i].Load)
		}
		key := rapid.Uint64().Draw(t, "key")
		picked := candidates[Pick(candidates, key)]
		if picked.Load > lowest+AffinityMargin {
			t.Fatalf("picked load %.3f, lowest %.3f", picked.Load, lowest)
		}
		slices.Reverse(candidates)
		require.Equal(t, picked, candidates[Pick(candidates, key)])
	})
	require.Equal(t, -1, Pick(nil, 1))
}

// Equal upstreams must receive equal numbers of keys, and equal keys must go to the same
// upstream.
func TestPickSpreadsKeysEvenly(t *testing.T) {
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i].Name = fmt.Sprint("e", i)
	}
	counts := make([]int, len(candidates))
	for key := range uint64(8000) {
		i := Pick(candidates, key)
		counts[i]++
		require.Equal(t, i, Pick(candidates, key))
	}
	for _, n := range counts {
		require.InDelta(t, 1000, n, 150)
	}
}

// A cached prefix decides between upstreams of similar load.
func TestPickPrefersCachedPrefix(t *testing.T) {
	c := []Candidate{{Name: "a", Load: 0.50}, {Name: "b", Load: 0.54, PrefixCached: true}, {Name: "c", Load: 0.9, PrefixCached: true}}
	require.Equal(t, 1, Pick(c, 1))
}

// Hosts in the caller's data centre rank first, then those with fewer streams. Hosts
// that are draining or not ready are left out.
func TestRankHosts(t *testing.T) {
	hosts := []Host{
		{Name: "far-idle", DataCentre: "b", Ready: true},
		{Name: "near-busy", DataCentre: "a", Streams: 90, Ready: true},
		{Name: "near-idle", DataCentre: "a", Streams: 30, Ready: true},
		{Name: "near-draining", DataCentre: "a", Ready: true, Draining: true},
		{Name: "near-starting", DataCentre: "a"},
		{Name: "far-busy", DataCentre: "b", Streams: 80, Ready: true},
	}
	names := func(hosts []Host) (out []string) {
		for _, h := range hosts {
			out = append(out, h.Name)
		}
		return out
	}
	require.Equal(t, []string{"near-idle", "near-busy", "far-idle"}, names(RankHosts(hosts, "a", 7, 3)))
	require.Equal(t, []string{"far-idle", "near-idle", "far-busy", "near-busy"}, names(RankHosts(hosts, "", 7, 9)))
	require.Empty(t, RankHosts(hosts[3:5], "a", 7, 3))
	firstHosts := map[string]bool{}
	equal := []Host{{Name: "x", Ready: true}, {Name: "y", Ready: true}, {Name: "z", Ready: true}}
	for key := range uint64(50) {
		firstHosts[RankHosts(equal, "a", key, 3)[0].Name] = true
	}
	require.Len(t, firstHosts, 3, "callers must spread over equal hosts")
}

// A replaced, evicted or cleared prefix must not be reported as cached.
func TestPrefixTableRemovesReplacedAndEvicted(t *testing.T) {
	var p PrefixTable
	p.Add(5)
	p.Add(0)
	require.True(t, p.Holds(5))
	require.False(t, p.Holds(0))
	p.Add(5 + prefixTableSize)
	require.False(t, p.Holds(5))
	p.Evict(5 + prefixTableSize)
	require.False(t, p.Holds(5+prefixTableSize))
	p.Add(9)
	p.Clear()
	require.False(t, p.Holds(9))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = Candidate{Name: fmt.Sprint("e", i), Load: float64(i%10) / 10}
			}
			for key := uint64(0); b.Loop(); key++ {
				Pick(candidates, key)
			}
		})
	}
}
