package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/standin"
)

// generationStarts returns how many generations the engines started for a request.
func (c *cluster) generationStarts(request string) int {
	n := 0
	for _, e := range c.engines {
		n += readStats[standin.EngineStats](e).Starts[request]
	}
	return n
}

// Guards against lost or repeated tokens, and against a second generation, when the
// daemon that relays streams is killed and callers resume at another host (R1, R5).
func TestRelayingDaemonKilledDuringStream(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	victim := c.hosts[2]
	client := c.newClient(victim, c.hosts[0], c.hosts[1])
	const streams = 4
	var streamsStarted, streamsFinished sync.WaitGroup
	results := make([]requestResult, streams)
	streamsStarted.Add(streams)
	for i := range streams {
		streamsFinished.Go(func() {
			tokens, seenTokens := 400+10*i, 0
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			request := generateRequest("error", tokens, func(string) {
				if seenTokens++; seenTokens == 20 {
					streamsStarted.Done()
				}
			})
			request.Address = victim.callerAddress
			answer, err := client.Generate(ctx, request)
			results[i] = requestResult{tokens: tokens, answer: answer, err: err}
		})
	}
	streamsStarted.Wait()
	victim.kill()
	streamsFinished.Wait()
	for _, r := range results {
		require.NoError(t, r.err)
		requireCompleteAnswer(t, r.answer, r.tokens)
		require.Positive(t, r.answer.Resumes)
		require.Equal(t, 1, c.generationStarts(r.answer.RequestID))
	}
}

// streamFault is a fault of an engine during a stream.
type streamFault struct {
	kind standin.FaultKind
	// losesGeneration reports whether the fault ends the generation.
	losesGeneration bool
}

// Guards against answers that mix generations or miss tokens, and against an error to
// the caller under the delivery modes restart and whole, when the connection to the
// engine is reset, the engine freezes or loses its generations (R1, R5).
func TestEngineFaultDuringStream(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	for _, f := range []streamFault{{standin.FaultReset, false}, {standin.FaultFreeze, true}, {standin.FaultColdRestart, true}} {
		t.Run(string(f.kind), func(t *testing.T) { c.requireDeliveries(t, f) })
	}
}

func (c *cluster) requireDeliveries(t *testing.T, f streamFault) {
	const tokens = 300
	engine := "praha-1-e1"
	c.waitForCapacity(engine, 3)
	client := c.newClient(c.hosts[0])
	tokensBefore := readStats[standin.EngineStats](c.engines[engine]).Tokens
	results := map[string]requestResult{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	for i, delivery := range []string{"restart", "whole", "error"} {
		requests.Go(func() {
			prompt := fmt.Sprintf("%s %s tokens=%d", f.kind, delivery, tokens+i)
			r := c.sendGeneration(client, c.hosts[0], delivery, prompt, tokens+i)
			mu.Lock()
			defer mu.Unlock()
			results[delivery] = r
		})
	}
	c.eventually("the engine runs all three", func() bool {
		s := readStats[standin.EngineStats](c.engines[engine])
		return s.Running == 3 && s.Tokens >= tokensBefore+60
	})
	c.engines[engine].setFault(standin.Fault{Kind: f.kind})
	requests.Wait()
	c.engines[engine].setFault(standin.Fault{Kind: standin.FaultNone})

	for _, delivery := range []string{"restart", "whole"} {
		r := results[delivery]
		require.NoError(t, r.err, delivery)
		requireCompleteAnswer(t, r.answer, r.tokens)
	}
	errorResult := results["error"]
	if !f.losesGeneration {
		require.NoError(t, errorResult.err)
		requireCompleteAnswer(t, errorResult.answer, errorResult.tokens)
		for _, r := range results {
			require.Zero(t, r.answer.Restarts)
			require.Equal(t, 1, c.generationStarts(r.answer.RequestID))
		}
		return
	}
	require.Equal(t, 1, results["restart"].answer.Restarts)
	require.Zero(t, results["whole"].answer.Restarts)
	require.NotNil(t, errorResult.refusal(), "%v", errorResult.err)
	require.Equal(t, failure.GenerationLost, errorResult.refusal().Kind)
	require.False(t, errorResult.refusal().NotRun)
	require.Equal(t, 1, c.generationStarts(errorResult.answer.RequestID))
}

// Guards against responses that reach the wrong caller when engines and plain services
// respond late and out of order (R5).
func TestLateResponsesReachTheirCallers(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	client := c.newClient(c.hosts[0], c.hosts[1])
	const callers = 12
	var requests sync.WaitGroup
	streams := make([]requestResult, callers)
	bodies := make([]string, callers)
	for i := range callers {
		tokens := 150 + i
		requests.Go(func() {
			streams[i] = c.sendGeneration(client, c.hosts[i%2], "restart", fmt.Sprintf("late %d tokens=%d", i, tokens), tokens)
		})
		requests.Go(func() {
			got, err := client.Call(t.Context(), c.hosts[i%2].callerAddress, "lookup", "", []byte(fmt.Sprintf(`{"lookup":%d}`, i)))
			if err == nil {
				bodies[i] = string(got.Body)
			}
		})
		if i == callers/2 { // the remaining calls and streams run alongside the delayed ones
			c.plains["praha-1-p1"].setFault(standin.Fault{Kind: standin.FaultSlow, DelayMS: 700})
			c.engines["praha-1-e1"].setFault(standin.Fault{Kind: standin.FaultFreeze})
			time.Sleep(time.Second)
			c.plains["praha-1-p1"].setFault(standin.Fault{Kind: standin.FaultNone})
			c.engines["praha-1-e1"].setFault(standin.Fault{Kind: standin.FaultNone})
		}
	}
	requests.Wait()
	generations := map[string]bool{}
	for i := range callers {
		require.NoError(t, streams[i].err)
		requireCompleteAnswer(t, streams[i].answer, streams[i].tokens)
		require.False(t, generations[streams[i].answer.Generation], "one generation reached two callers")
		generations[streams[i].answer.Generation] = true
		require.Equal(t, fmt.Sprintf(`{"lookup":%d}`, i), bodies[i])
	}
}
