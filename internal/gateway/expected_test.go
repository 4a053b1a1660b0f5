package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a hint above the stated maximum, for which an engine counts as full although the
// generation can not need that memory.
func TestExpectedOutputStaysBelowItsMaximum(t *testing.T) {
	for _, c := range []struct{ hint, most, want int }{{15_000, 1700, 1700}, {900, 1700, 900}, {900, 0, 900}, {0, 1700, 850}} {
		request := call{info: RequestInfo{LengthHint: c.hint, MaxOutputTokens: c.most}}
		require.Equal(t, c.want, request.expectedOutputTokens(), "%+v", c)
	}
}
