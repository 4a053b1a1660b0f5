package balance

import (
	"math"
	"math/rand/v2"

	"github.com/rattanscale/rattanscale/internal/enginespeed"
)

// View is what a host knows of an upstream when it chooses one.
type View struct {
	// Load is the work of all hosts on the upstream.
	Load Load
	// OwnRequests is the number of this host's requests on the upstream.
	OwnRequests int
	// Avoid is set for a short time after a failed exchange.
	Avoid bool
	// ErrorShare is the moving average of failed exchanges, from 0 to 1.
	ErrorShare float64
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	View
	// Local is set if the upstream is in the host's data centre.
	Local bool
	// Slots is the number of requests that the upstream runs concurrently; 0 is unknown.
	Slots int
	// MemoryTokens is the capacity of an engine's memory in tokens; 0 for plain
	// services.
	MemoryTokens int
	// LastResort candidates are chosen only if there are no others.
	LastResort bool
	// Speed is the speed of the engine. It is unknown if the engines of the service do not
	// differ.
	Speed enginespeed.Speed
}

const (
	// remotePenalty is how much higher the load of a local upstream may be, as a share
	// of capacity, before one in another data centre is preferred. It counts where no plan
	// decides which requests leave, or where the chosen data centre has no room.
	remotePenalty = 0.30
	// errorPenalty is the load, as a share of capacity, added to an upstream that always
	// fails.
	errorPenalty = 3.0
	// avoidPenalty ranks upstreams with a recent failure behind all others.
	avoidPenalty = 100.0
	// lastResortPenalty ranks candidates of last resort behind avoided ones.
	lastResortPenalty = 1000.0
	// pendingPromptScale is the number of prompt tokens that an engine of unknown speed
	// processes in about a second while it generates; a new prompt waits for those before it.
	pendingPromptScale = 7000
	// sampleAboveHosts is the number of hosts above which a choice is made among a
	// random sample: with many hosts and outdated views, all would choose the same least
	// loaded upstream.
	sampleAboveHosts = 16
	// sampleSize is compared with other sizes in docs/decisions/front-end.md.
	sampleSize = 6
	// minPartSample is the smallest sample of a part of the upstreams.
	minPartSample = 2
	// preselectionSize is the number of random upstreams from which the sample is drawn.
	// It holds four samples, so that one with capacity is found unless most engines are
	// full.
	preselectionSize = 24
)

// Samples reports whether a choice is made among a sample of the upstreams.
func Samples(hosts int) bool { return hosts > sampleAboveHosts }

// PreselectionSize returns the number of random upstreams that a choice considers.
func PreselectionSize(hosts int) int {
	if Samples(hosts) {
		return preselectionSize
	}
	return math.MaxInt
}

// projectedUtilisation is the load as a share of capacity including a request that holds
// the given tokens of memory.
func (c *Candidate) projectedUtilisation(tokens int) float64 {
	slots := float64(max(c.Slots, 1))
	bySlots := float64(c.Load.Requests+1) / slots
	if c.MemoryTokens == 0 {
		return bySlots
	}
	return max(bySlots, float64(c.Load.Tokens+tokens)/float64(c.MemoryTokens))
}

// CostParts are the parts of a candidate's cost for a request, each as a share of capacity.
type CostParts struct {
	// Load is the use of slots or memory including the request.
	Load float64 `json:"load"`
	// Wait is the wait for the first event, and the risk that events are late.
	Wait float64 `json:"wait"`
	// Errors is for failed exchanges, DataCentre for one in another data centre.
	Errors     float64 `json:"errors"`
	DataCentre float64 `json:"data-centre"`
	// Avoided is for a recent failure or an entry that is missing.
	Avoided float64 `json:"avoided"`
}

// Total is the cost that ranks candidates; lower is better.
func (p CostParts) Total() float64 { return p.Load + p.Wait + p.Errors + p.DataCentre + p.Avoided }

// CostParts returns the parts of the candidate's cost for a request.
func (c *Candidate) CostParts(d Demand) CostParts {
	parts := CostParts{Load: c.projectedUtilisation(d.MemoryTokens), Wait: c.waitCost(d), Errors: c.ErrorShare * errorPenalty}
	if !c.Local {
		parts.DataCentre = remotePenalty
	}
	if c.Avoid {
		parts.Avoided += avoidPenalty
	}
	if c.LastResort {
		parts.Avoided += lastResortPenalty
	}
	return parts
}

// Cost ranks the candidate for a request; lower is better.
func (c *Candidate) Cost(d Demand) float64 { return c.CostParts(d).Total() }

// Pick returns the index of the candidate with the lowest cost for a request, or -1 without
// candidates. Ties are broken at random. With many hosts it chooses among a random sample. Part is
// the share of the service's upstreams that the candidates are taken from, for example those of one
// data centre; the sample is smaller by it, since hosts with outdated views would otherwise choose
// the same upstreams of the part.
func Pick(candidates []Candidate, d Demand, hosts int, part float64, random *rand.Rand) int {
	order := random.Perm(len(candidates))
	if Samples(hosts) {
		order = sampleUsable(candidates, order, d, max(int(math.Round(part*sampleSize)), minPartSample))
	}
	best, lowestCost := -1, 0.0
	for _, i := range order {
		if cost := candidates[i].Cost(d); best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best
}

// PickFewestRequests returns the index of the view with the fewest requests of this
// host, or -1 without views. It is the baseline policy that Pick is compared with.
func PickFewestRequests(views []View, random *rand.Rand) int {
	best := -1
	for _, i := range random.Perm(len(views)) {
		if best < 0 || views[i].OwnRequests < views[best].OwnRequests {
			best = i
		}
	}
	return best
}

// sampleUsable returns the first candidates in the given order that are neither avoided
// nor a last resort, or the whole order if there are none. The sample grows until it
// holds a candidate with capacity on which the request is not expected to be late: if most
// engines are full or slow, a sample of fixed size would often hold only such ones.
func sampleUsable(candidates []Candidate, order []int, d Demand, size int) []int {
	sample := make([]int, 0, size)
	foundRoom := false
	for _, i := range order {
		c := &candidates[i]
		if c.Avoid || c.LastResort {
			continue
		}
		sample = append(sample, i)
		foundRoom = foundRoom || ServesInTime(*c, d)
		if foundRoom && len(sample) >= size {
			break
		}
	}
	if len(sample) == 0 {
		return order
	}
	return sample
}

// ServesInTime reports whether the candidate has capacity for a request, and is not likely to serve
// it late as far as its speed is known.
func ServesInTime(c Candidate, d Demand) bool {
	return c.projectedUtilisation(d.MemoryTokens) <= 1 && c.risk(d) < likelyLate
}

// Overloaded reports whether a request that holds the given tokens of memory would use more than
// the given share of the candidate's capacity.
func Overloaded(c Candidate, tokens int, share float64) bool {
	return c.projectedUtilisation(tokens) > share
}

// AllFull reports whether no candidate has capacity for a request that holds the given
// tokens of memory.
func AllFull(candidates []Candidate, tokens int) bool {
	for i := range candidates {
		if candidates[i].projectedUtilisation(tokens) <= 1 {
			return false
		}
	}
	return true
}
