package balance

// Demand describes the request for which an upstream is chosen. Fields other than MemoryTokens
// are 0 if they are not known.
type Demand struct {
	// MemoryTokens is the memory that the request holds, and PromptTokens what the engine
	// processes before the first event.
	MemoryTokens, PromptTokens int
	// Events is the expected number of events of a stream, TokensPerEvent the tokens in one.
	Events, TokensPerEvent int
	// FirstEventTarget and MaxEventGap are the times in seconds within which the first event
	// and each further one are on time.
	FirstEventTarget, MaxEventGap float64
}

const (
	// safeShare is the share of a target up to which an expected time carries no risk. The rest
	// is for load that the view does not show yet.
	safeShare = 0.5
	// fullRisk is the cost of an engine without room for the request, which waits there, or makes
	// others wait, for an unknown time.
	fullRisk = 1.0
	// likelyLate is the risk from which a request is more likely late than not.
	likelyLate = 0.5
)

// lateRisk is the cost of an expected time against its target: nothing up to safeShare, and 1, as
// much as a full engine, from the target on.
func lateRisk(expected, target float64) float64 {
	if target <= 0 {
		return 0
	}
	return min(max((expected/target-safeShare)/(1-safeShare), 0), 1)
}

// FirstEventTime is the expected time in seconds to the first event: the engine processes the
// prompts in the order of their arrival.
func (c *Candidate) FirstEventTime(d Demand) float64 {
	return float64(c.Load.PendingPromptTokens+d.PromptTokens) * c.Speed.PromptToken
}

// LongestEventGap is the expected longest time in seconds between two events of the request. It
// grows with the number of events, so that a stream of a few may run where a long one would pause.
func (c *Candidate) LongestEventGap(d Demand) float64 {
	return float64(d.TokensPerEvent) * c.Speed.LongestGap(d.Events, c.Load.Requests+1)
}

// waitCost is the cost of waiting for the first event and between events. Without a known speed
// it is the wait behind the prompts of other requests at a typical engine.
func (c *Candidate) waitCost(d Demand) float64 {
	pending := float64(c.Load.PendingPromptTokens)
	if !c.Speed.Known() {
		return pending / pendingPromptScale
	}
	return pending*c.Speed.PromptToken + c.risk(d)
}

// risk is the cost of an expected late first event or gap, and of an engine without room. It is 0
// if the speed of the engine is not known.
func (c *Candidate) risk(d Demand) float64 {
	if !c.Speed.Known() {
		return 0
	}
	risk := lateRisk(c.FirstEventTime(d), d.FirstEventTarget) + lateRisk(c.LongestEventGap(d), d.MaxEventGap)
	if c.projectedUtilisation(d.MemoryTokens) > 1 {
		risk += fullRisk
	}
	return risk
}
