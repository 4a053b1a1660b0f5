package permit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/pool"
)

// digestCaller records the progress digests that are sent through it.
type digestCaller struct {
	Caller
	digests []ProgressParams
}

func (c *digestCaller) Call(ctx context.Context, address, method string, params, result any) error {
	if p, ok := params.(*ProgressParams); ok {
		c.digests = append(c.digests, *p)
	}
	return c.Caller.Call(ctx, address, method, params, result)
}

// Guards against digests that list all running permits whenever one request ends, and
// against an adopted stream that is announced only with the next regular digest.
func TestIntermediateDigestListsOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPermitFixture(t, "a")
		holder := w.client("c")
		caller := &digestCaller{Caller: holder.caller}
		holder.caller = caller
		first, err := holder.Acquire(t.Context(), "p", request("r1"))
		require.NoError(t, err)
		second, err := holder.Acquire(t.Context(), "p", request("r2"))
		require.NoError(t, err)
		time.Sleep(digestInterval / 2) // between two regular digests
		synctest.Wait()
		caller.digests = nil

		first.Release(pool.Completed, false)
		synctest.Wait()
		require.Len(t, caller.digests, 1)
		require.Empty(t, caller.digests[0].Running)
		require.Len(t, caller.digests[0].Finished, 1)

		holder.Adopt("p", second.running)
		synctest.Wait()
		require.Len(t, caller.digests, 2)
		require.Len(t, caller.digests[1].Running, 1)

		holder.Adopt("p", second.running).Release(pool.Cancelled, false)
		synctest.Wait()
		require.Empty(t, caller.digests[2].Running)
	})
}
