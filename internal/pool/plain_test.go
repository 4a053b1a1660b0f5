package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Guards against a former deputy's reserve that stays counted as used forever. A plain
// service sends no load reports that would show it to be free.
func TestPlainPoolRegainsTheReserveOfAFormerDeputy(t *testing.T) {
	limits := entity.Limits{ColdRequests: 8, MaxRequests: 8} // a reserve of 2
	s := New(Config{Pool: testPool(entity.KindPlain, 1, limits), KeepDeputyReserve: true})
	now := time.Unix(1000, 0)
	s.RecordDeputyChange(now, now.Add(3*time.Second))
	for i := range 10 {
		s.Acquire(now, request(i))
	}
	require.Len(t, grants(s.Decide(now)), 4, "the former deputy may still use its reserve")
	now = now.Add(3*time.Second + dispatchTimeout + defaultPermitTerm)
	require.Len(t, grants(s.Decide(now)), 2)
}
