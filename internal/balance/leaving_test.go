package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crowded data centre whose callers wait although others have room, against
// callers of the others who pay for it, and against data centres that swap requests. One of three
// data centres has twice the callers of another; 9, 60 and 300 hosts decide on views that are
// 20 ms, 0.5 s and 2 s old.
func TestCrowdedDataCentreSendsItsSurplus(t *testing.T) {
	for _, hosts := range []int{9, 60, 300} {
		for _, age := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("hosts=%d/age=%v", hosts, age), func(t *testing.T) {
				p := play{hosts: hosts, engines: 60, dataCentres: 3, viewAge: age, factors: []float64{1}, perEngine: 1.2, crowd: 2}
				before := p.run()
				p.plan = true
				after := p.run()
				t.Logf("in time: %s; without the plan %s", after, before)
				require.Positive(t, after.left[0])
				for home := range 3 {
					require.GreaterOrEqual(t, after.byHome[home].share(), before.byHome[home].share()-0.01)
					require.LessOrEqual(t, after.swapped[home], before.swapped[home]/2, "requests are swapped")
				}
				if age > playStep*2 {
					require.Greater(t, after.byHome[0].share(), before.byHome[0].share())
				}
			})
		}
	}
}

func (n playResult) String() string {
	out := fmt.Sprintf("long %.3f, short %.3f", n.long.share(), n.short.share())
	for i, h := range n.byHome {
		out += fmt.Sprintf("; data centre %d %.3f, left %d, swapped %d", i, h.share(), n.left[i], n.swapped[i])
	}
	return out
}
