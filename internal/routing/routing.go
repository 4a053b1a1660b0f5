// Package routing picks an upstream of a pool for a request and ranks entry
// hosts for callers. All functions are pure and safe for concurrent use.
package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// AffinityMargin bounds the additional load, as a share of an upstream's
	// capacity, that is accepted for the sake of a cached prefix.
	AffinityMargin = 0.05
	// equalLoadTolerance is the difference below which two upstreams count as equally loaded.
	equalLoadTolerance = 0.005
)

// Candidate is an upstream with headroom.
type Candidate struct {
	// Name must be unique among the candidates.
	Name string
	// Load is the predicted load with the request, as a share of the capacity:
	// the largest of memory, step time and requests.
	Load float64
	// PrefixCached tells that the upstream probably holds the request's prompt prefix.
	PrefixCached bool
}

// Pick returns the index of the candidate to use, or -1 when there is none. The
// key is a hash of the request's data; it spreads requests over equally loaded
// upstreams and keeps equal data together.
func Pick(candidates []Candidate, key uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	lowest := candidates[0].Load
	for _, c := range candidates[1:] {
		lowest = min(lowest, c.Load)
	}
	best := -1
	for i, c := range candidates {
		if c.PrefixCached && c.Load <= lowest+AffinityMargin && (best < 0 || isPreferred(candidates, i, best, key)) {
			best = i
		}
	}
	if best >= 0 {
		return best
	}
	var bestScore uint64
	for i, c := range candidates {
		if c.Load > lowest+equalLoadTolerance {
			continue
		}
		score := RendezvousScore(c.Name, key)
		if best < 0 || score > bestScore || score == bestScore && c.Name < candidates[best].Name {
			best, bestScore = i, score
		}
	}
	return best
}

func isPreferred(candidates []Candidate, i, j int, key uint64) bool {
	a, b := candidates[i], candidates[j]
	if a.Load != b.Load {
		return a.Load < b.Load
	}
	scoreA, scoreB := RendezvousScore(a.Name, key), RendezvousScore(b.Name, key)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.Name < b.Name
}

// RendezvousScore is the rendezvous weight of a name for a key.
func RendezvousScore(name string, key uint64) uint64 {
	h := xxhash.Sum64String(name) ^ key
	// The finaliser of splitmix64 spreads the combined bits.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Host is one entry host as callers may use it.
type Host struct {
	Name       string
	Address    string
	DataCentre string
	Streams    int
	Draining   bool
	Ready      bool
}

// loadClassWidth is the width, relative to the mean number of open streams, of
// the classes within which hosts count as equally loaded.
const loadClassWidth = 0.25

// RankHosts returns up to limit hosts for a caller: hosts of its data centre
// first, then by open streams relative to the mean. Hosts that drain or are not
// ready are left out. The key spreads callers over equally loaded hosts.
func RankHosts(hosts []Host, dataCentre string, key uint64, limit int) []Host {
	usable := make([]Host, 0, len(hosts))
	totalStreams := 0
	for _, h := range hosts {
		if h.Ready && !h.Draining {
			usable = append(usable, h)
			totalStreams += h.Streams
		}
	}
	if len(usable) == 0 {
		return nil
	}
	mean := max(float64(totalStreams)/float64(len(usable)), 1)
	loadClass := func(h Host) int { return int(float64(h.Streams) / mean / loadClassWidth) }
	slices.SortFunc(usable, func(a, b Host) int {
		if x, y := a.DataCentre == dataCentre, b.DataCentre == dataCentre; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(loadClass(a), loadClass(b)),
			cmp.Compare(RendezvousScore(b.Name, key), RendezvousScore(a.Name, key)),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return usable[:min(limit, len(usable))]
}
