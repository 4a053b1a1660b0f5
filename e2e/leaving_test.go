package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/standin"
)

// leavingBound is the time within which a leaving upstream stops receiving new work (R8;
// derived in section 5.8).
const leavingBound = 3500 * time.Millisecond

// Guards against new work on an engine that has reported that it is leaving (R8).
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	l := c.startLoad("restart", 9, 40, c.hosts...)
	loadStart := time.Now()
	c.eventually("both engines serve", func() bool {
		return c.lastStartTime("praha-1").After(loadStart) && c.lastStartTime("praha-2").After(loadStart)
	})
	commandTime := time.Now()
	c.engines["praha-2-e1"].setFault(standin.Fault{Kind: standin.FaultLeave})
	c.requireNoNewWork("praha-2", commandTime, leavingBound)
	complete, refused := requireComplete(t, l.stopAndCollect())
	t.Logf("complete=%d refused=%d", complete, refused)
}

// Guards against a planned stop that cuts off answers that take longer than the drain
// limit, for each delivery mode (R9).
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	victim := c.hosts[2]
	l := c.startLoad("restart", 4, 30, c.hosts...)
	client := c.newClient(victim, c.hosts[0], c.hosts[1])
	var longStreams sync.WaitGroup
	results := make([]requestResult, 4)
	for i, delivery := range []string{"restart", "error", "whole", "whole"} {
		tokens := 900 + i
		longStreams.Go(func() {
			results[i] = c.sendGeneration(client, victim, delivery, fmt.Sprintf("long %d tokens=%d", i, tokens), tokens)
		})
	}
	c.eventually("the long streams run", func() bool {
		n := 0
		for _, e := range c.engines {
			for request := range readStats[standin.EngineStats](e).Starts {
				if strings.HasPrefix(request, victim.name+"-") {
					n++
				}
			}
		}
		return n >= len(results)
	})
	victim.stoppedByTest = true
	victim.signal(syscall.SIGTERM)
	<-victim.exited
	require.Zero(t, victim.cmd.ProcessState.ExitCode())
	longStreams.Wait()
	for _, r := range results {
		require.NoError(t, r.err, r.service)
		requireCompleteAnswer(t, r.answer, r.tokens)
		require.Equal(t, 1, c.generationStarts(r.answer.RequestID), r.service)
		require.Positive(t, r.answer.Resumes, r.service)
	}
	complete, refused := requireComplete(t, l.stopAndCollect())
	t.Logf("complete=%d refused=%d", complete, refused)
}
