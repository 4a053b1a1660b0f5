package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/duty"
)

// Guards against orders for several data centres of which the host itself refuses all but the
// first, and against more calls than the platform permits.
func TestCallsWaitForTheirRate(t *testing.T) {
	d := &duties{limiter: newCallLimiter(Duties{Names: []string{DutyUsage, DutyAutoscale}, CallsPerSecond: 50})}
	made := 0
	call := func() error { made++; return nil }
	for range 8 {
		require.NoError(t, d.limited(t.Context(), call))
	}
	require.Equal(t, 8, made)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	require.ErrorIs(t, d.limited(ctx, call), duty.ErrThrottled)
	require.Equal(t, 8, made)
}
