// Package migration decides which stream of a leaving engine is migrated to another
// engine next, and when its memory is copied.
//
// Engines leave at short notice and their link carries only some of the copies in time.
// The generations with the most work at stake are therefore copied first, and those that
// are about to finish are not copied.
package migration

// Generation describes a generation in progress on a leaving engine.
type Generation struct {
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
func (g Generation) ValuePerToken() float64 {
	value := g.PromptTokens + outputTokenWeight*max(g.ExpectedTokens, g.ProducedTokens)
	valuePerToken := float64(value) / float64(max(g.PromptTokens+g.ProducedTokens, 1))
	if remaining := g.ExpectedTokens - g.ProducedTokens; remaining > 0 && remaining <= nearlyDoneTokens {
		valuePerToken /= outputTokenWeight
	}
	return valuePerToken
}

// NextToMigrate returns the index of the generation to copy next, or -1 if there are none.
func NextToMigrate(generations []Generation) int {
	best, highest := -1, 0.0
	for i, g := range generations {
		if value := g.ValuePerToken(); best < 0 || value > highest {
			best, highest = i, value
		}
	}
	return best
}
