package balance

import (
	"math"
	"math/rand/v2"
)

// View is what is known of an upstream at the moment of a choice.
type View struct {
	Load Load
	// OwnRequests is the number of this host's requests.
	OwnRequests int
	Avoid       bool
	// ErrorShare is the recent share of failed exchanges, from 0 to 1.
	ErrorShare float64
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	View
	// Local is set if the upstream is in the host's data centre.
	Local bool
	// Slots is the number of requests that run at once; 0 is unknown.
	Slots int
	// MemoryTokens is the capacity of an engine's memory; 0 for plain services.
	MemoryTokens int
	// LastResort candidates are chosen only where no other is left.
	LastResort bool
}

const (
	// remotePenalty is the load, as a share of capacity, that a local upstream may
	// have beyond one in another data centre.
	remotePenalty = 0.30
	// errorPenalty is the load that an upstream that always fails is taken to have besides.
	errorPenalty = 3.0
	// avoidPenalty ranks upstreams that failed just now behind all others.
	avoidPenalty = 100.0
	// lastResortPenalty ranks the last resort behind those.
	lastResortPenalty = 1000.0
	// pendingPromptScale is the prompt tokens that an engine reads in about a second beside
	// the tokens that it makes; a prompt waits for those before it.
	pendingPromptScale = 7000
	// sampleAboveHosts is the number of hosts from which on a sample is drawn: with many
	// hosts and old views, all would choose the same least loaded upstream.
	sampleAboveHosts = 16
	// sampleSize is compared with others in docs/decisions/front-end.md.
	sampleSize = 6
	// preselectionSize is the number of random upstreams of which a choice draws its sample: four
	// samples, so that one with room is found unless most engines are full.
	preselectionSize = 24
)

// PreselectionSize returns how many random upstreams a choice needs to see.
func PreselectionSize(hosts int) int {
	if hosts > sampleAboveHosts {
		return preselectionSize
	}
	return math.MaxInt
}

// projectedUtilisation is the load as a share of capacity once the request has been added.
func (c *Candidate) projectedUtilisation(tokens int) float64 {
	slots := float64(max(c.Slots, 1))
	bySlots := float64(c.Load.Requests+1) / slots
	if c.MemoryTokens == 0 {
		return bySlots
	}
	return max(bySlots, float64(c.Load.Tokens+tokens)/float64(c.MemoryTokens))
}

func (c *Candidate) cost(tokens int) float64 {
	cost := c.projectedUtilisation(tokens) + float64(c.Load.PendingPromptTokens)/pendingPromptScale + c.ErrorShare*errorPenalty
	if !c.Local {
		cost += remotePenalty
	}
	if c.Avoid {
		cost += avoidPenalty
	}
	if c.LastResort {
		cost += lastResortPenalty
	}
	return cost
}

// Pick returns the index of the candidate with the lowest cost for a request of
// the given memory, or -1 without candidates. Ties are broken at random. Many
// hosts draw a sample first.
func Pick(candidates []Candidate, tokens, hosts int, random *rand.Rand) int {
	order := random.Perm(len(candidates))
	if hosts > sampleAboveHosts {
		order = sampleUsable(candidates, order, tokens)
	}
	best, lowestCost := -1, 0.0
	for _, i := range order {
		if cost := candidates[i].cost(tokens); best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best
}

// PickFewestRequests returns the index of the view with the fewest requests of this host, or
// -1 without views. It is the baseline that Pick has to beat.
func PickFewestRequests(views []View, random *rand.Rand) int {
	best := -1
	for _, i := range random.Perm(len(views)) {
		if best < 0 || views[i].OwnRequests < views[best].OwnRequests {
			best = i
		}
	}
	return best
}

// sampleUsable returns the first candidates of the order that are not ranked behind,
// or the whole order if there are none. The sample grows until one has room: where
// most engines are full, a small one would often hold only full ones.
func sampleUsable(candidates []Candidate, order []int, tokens int) []int {
	sample := make([]int, 0, sampleSize)
	foundRoom := false
	for _, i := range order {
		c := &candidates[i]
		if c.Avoid || c.LastResort {
			continue
		}
		sample = append(sample, i)
		foundRoom = foundRoom || c.projectedUtilisation(tokens) <= 1
		if foundRoom && len(sample) >= sampleSize {
			break
		}
	}
	if len(sample) == 0 {
		return order
	}
	return sample
}

// AllFull reports whether a request of the given memory fits nowhere at once.
func AllFull(candidates []Candidate, tokens int) bool {
	for i := range candidates {
		if candidates[i].projectedUtilisation(tokens) <= 1 {
			return false
		}
	}
	return true
}
