// Package migration decides which run of a leaving engine is copied to another
// engine next. It is pure.
//
// It answers engines that leave at short notice: their link carries only some of
// the copies in time, so the runs with most at stake go first and those that end
// in time are left alone.
package migration

// Run is a generation in progress on a leaving engine.
type Run struct {
	PromptTokens int
	// ProducedTokens and ExpectedTokens count output tokens; ExpectedTokens is an estimate.
	ProducedTokens, ExpectedTokens int
}

const (
	// outputTokenWeight is the worth of an output token in prompt tokens: it takes about
	// ten times the engine's time.
	outputTokenWeight = 10
	// nearlyDoneTokens is the number of remaining tokens up to which a run is expected to
	// end within the shortest notice.
	nearlyDoneTokens = 60
)

// ValuePerToken is the worth of the run for each token that is copied. Runs that are
// expected to end within the notice rank low.
func (r Run) ValuePerToken() float64 {
	value := r.PromptTokens + outputTokenWeight*max(r.ExpectedTokens, r.ProducedTokens)
	valuePerToken := float64(value) / float64(max(r.PromptTokens+r.ProducedTokens, 1))
	if remaining := r.ExpectedTokens - r.ProducedTokens; remaining > 0 && remaining <= nearlyDoneTokens {
		valuePerToken /= outputTokenWeight
	}
	return valuePerToken
}

// Next returns the index of the run to copy next, or -1 if there is none.
func Next(runs []Run) int {
	best, highest := -1, 0.0
	for i, r := range runs {
		if value := r.ValuePerToken(); best < 0 || value > highest {
			best, highest = i, value
		}
	}
	return best
}
