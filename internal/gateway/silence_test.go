package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that runs at two engines at once, and against one that waits for an engine
// that is gone.
func TestSilentStreamContinuesElsewhereOnlyOnceItsRunHasEnded(t *testing.T) {
	for _, c := range []struct {
		reachable bool
		run       runState
		want      bool
	}{
		{true, runUnknown, false}, {true, runMoved, true}, {true, runGone, true},
		{false, runUnknown, true}, {false, runMoved, true}, {false, runGone, true},
	} {
		require.Equal(t, c.want, mayContinueElsewhere(c.reachable, c.run), "%+v", c)
	}
}
