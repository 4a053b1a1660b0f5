// Package migration decides which stream of a leaving engine is copied to another engine
// next, and when.
//
// Engines leave at short notice and their link carries only some of the copies in time.
// The generations with the most work at stake are therefore copied first, and those that
// are about to finish are not copied.
package migration

// Run is a generation in progress on a leaving engine.
type Run struct {
	PromptTokens int
	// ProducedTokens counts the output so far; ExpectedTokens estimates the length of
	// the whole output.
	ProducedTokens, ExpectedTokens int
}

const (
	// outputTokenWeight is the value of an output token in prompt tokens: an output
	// token takes about ten times as much time on the engine.
	outputTokenWeight = 10
	// nearlyDoneTokens is the number of remaining tokens up to which a generation is
	// expected to finish within the shortest notice.
	nearlyDoneTokens = 60
)

// ValuePerToken is the work at stake, in prompt tokens, for each token that has to be
// copied. It is low for generations that are expected to finish within the notice.
func (r Run) ValuePerToken() float64 {
	value := r.PromptTokens + outputTokenWeight*max(r.ExpectedTokens, r.ProducedTokens)
	valuePerToken := float64(value) / float64(max(r.PromptTokens+r.ProducedTokens, 1))
	if remaining := r.ExpectedTokens - r.ProducedTokens; remaining > 0 && remaining <= nearlyDoneTokens {
		valuePerToken /= outputTokenWeight
	}
	return valuePerToken
}

// Next returns the index of the run to copy next, or -1 if there are none.
func Next(runs []Run) int {
	best, highest := -1, 0.0
	for i, r := range runs {
		if value := r.ValuePerToken(); best < 0 || value > highest {
			best, highest = i, value
		}
	}
	return best
}
