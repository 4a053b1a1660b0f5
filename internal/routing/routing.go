// Package routing selects an upstream of a pool for a request and ranks hosts for
// callers. All functions are pure and safe for concurrent use.
package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// AffinityMargin is the additional load, as a share of an upstream's capacity, that
	// is accepted in exchange for a cached prefix.
	AffinityMargin = 0.05
	// equalLoadTolerance is the difference, as a share of capacity, up to which two
	// upstreams count as equally loaded.
	equalLoadTolerance = 0.005
)

// Candidate is an upstream with capacity for the request.
type Candidate struct {
	// Name must be unique among the candidates.
	Name string
	// Load is the predicted load including the request, as a share of the capacity: the
	// maximum over memory, step time and number of requests.
	Load float64
	// PrefixCached is set if the upstream probably caches the request's prompt prefix.
	PrefixCached bool
}

// Pick returns the index of the best candidate, or -1 if there are none. The key is a
// hash of the request's data: it spreads requests over equally loaded upstreams and
// sends requests with the same data to the same one.
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

// isPreferred reports whether candidate i is a better choice than candidate j.
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

// RendezvousScore is the weight of a name for a key in rendezvous hashing: of a set of
// names, the one with the highest score is chosen.
func RendezvousScore(name string, key uint64) uint64 {
	h := xxhash.Sum64String(name) ^ key
	// Mix the bits with the finaliser of splitmix64.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Host is a host that callers may connect to.
type Host struct {
	Name       string
	Address    string
	DataCentre string
	// Streams is the number of open streams.
	Streams  int
	Draining bool
	Ready    bool
}

// loadClassWidth is the width of a load class, as a share of the mean number of open
// streams. Hosts of one class count as equally loaded.
const loadClassWidth = 0.25

// RankHosts returns up to limit hosts for a caller: hosts in its data centre first, then
// those with fewer open streams relative to the mean. Hosts that are draining or not
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
