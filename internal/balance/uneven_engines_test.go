package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against long streams that run on engines whose pauses are too long while faster ones
// have room, and against short ones that pay for it. It answers engines of two speeds that stall
// now and then, seen by 9, 60 and 300 hosts whose views are 20 ms, 0.5 s and 2 s old.
func TestLongStreamsRunWhereTheyDoNotPause(t *testing.T) {
	for _, hosts := range []int{9, 60, 300} {
		for _, age := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("hosts=%d/age=%v", hosts, age), func(t *testing.T) {
				p := play{hosts: hosts, engines: 60, dataCentres: 1, viewAge: age, factors: []float64{fastFactor, fastFactor, slowFactor}, perEngine: 0.5, crowd: 1}
				before := p.run()
				p.speedsKnown = true
				after := p.run()
				long, short, longBefore, shortBefore := after.long, after.short, before.long, before.short
				t.Logf("long streams in time %.3f, without speeds %.3f; short ones %.3f, without %.3f", long.share(), longBefore.share(), short.share(), shortBefore.share())
				require.Greater(t, long.share(), longBefore.share())
				require.GreaterOrEqual(t, short.share(), shortBefore.share()-0.05)
				if age <= 500*time.Millisecond {
					require.GreaterOrEqual(t, long.share(), 0.9)
				}
			})
		}
	}
}

// Guards against another choice where no speed is known, whatever is known of the request.
func TestUnknownSpeedsChangeNothing(t *testing.T) {
	c := newEngineCandidate(4, 14_000, 3500)
	require.InDelta(t, c.projectedUtilisation(4000)+0.5, c.Cost(Demand{MemoryTokens: 4000, PromptTokens: 3000, Events: 187, TokensPerEvent: 4, FirstEventTarget: 1, MaxEventGap: 0.1}), 1e-9)
}
