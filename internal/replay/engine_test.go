package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// eventRecorder records the events of an engine and checks its memory use at each token.
type eventRecorder struct {
	tokens         map[uint64]int
	outcomes       map[uint64]pool.Outcome
	preemptions    int
	engineFailures int
	lostJobs       int
	exceededMemory bool
}

func newEventRecorder() *eventRecorder {
	return &eventRecorder{tokens: map[uint64]int{}, outcomes: map[uint64]pool.Outcome{}}
}

func (p *eventRecorder) tokenProduced(e *engine, j *job) {
	p.tokens[j.permitID]++
	p.exceededMemory = p.exceededMemory || e.usedMemory() > e.params.MemoryTokens
}
func (p *eventRecorder) jobFinished(_ *engine, j *job, o pool.Outcome) { p.outcomes[j.permitID] = o }
func (p *eventRecorder) jobPreempted(*engine, *job)                    { p.preemptions++ }
func (p *eventRecorder) cacheChanged(*engine, uint64, bool)            {}
func (p *eventRecorder) engineFailed(_ *engine, lost []*job) {
	p.engineFailures++
	p.lostJobs += len(lost)
}

func newObservedEngine(params trace.Engine) (*engine, *eventRecorder, *clock) {
	c, p := &clock{}, newEventRecorder()
	return newEngine(trace.Upstream{Name: "e", Engine: params}, 0, 1, c, p), p, c
}

func (c *clock) runAll() {
	for len(c.timers) > 0 {
		c.runNext()
	}
}

// Guards against an engine model that loses requests or tokens, or that exceeds
// its memory, for any mix of requests.
func TestEngineCompletesEveryJobWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := standardEngine()
		params.MemoryTokens = rapid.IntRange(200, 1000).Draw(t, "memory")
		params.MaxBatch = rapid.IntRange(1, 20).Draw(t, "batch")
		params.PrefillChunk = rapid.IntRange(1, 300).Draw(t, "chunk")
		params.PrefixCacheTokens = rapid.IntRange(0, 200).Draw(t, "cache")
		e, p, c := newObservedEngine(params)
		jobs := map[uint64]*job{}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			j := &job{
				permitID: uint64(i + 1), promptTokens: rapid.IntRange(1, 100).Draw(t, "prompt"),
				outputTokens: rapid.IntRange(1, 90).Draw(t, "output"), priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				prefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"),
			}
			j.prefixTokens = rapid.IntRange(0, j.promptTokens).Draw(t, "prefix tokens")
			jobs[j.permitID] = j
			c.scheduleAt(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at"))*time.Millisecond, func() { e.submit(j) })
		}
		c.runAll()
		require.False(t, p.exceededMemory)
		require.Zero(t, e.inFlight())
		for id, j := range jobs {
			require.Equal(t, pool.Completed, p.outcomes[id])
			require.Equal(t, j.outputTokens, p.tokens[id], "a preempted job neither loses nor repeats tokens")
		}
	})
}

// Guards against a cold engine that accepts more jobs than its limit, or fails below it.
func TestColdEngineFailsExactlyAboveItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := standardEngine()
		params.StartsCold, params.WarmAfter = true, 1000
		params.ColdRequests = rapid.IntRange(1, 8).Draw(t, "limit")
		n := rapid.IntRange(1, 12).Draw(t, "jobs")
		e, p, c := newObservedEngine(params)
		for i := range n {
			if e.up {
				e.submit(&job{permitID: uint64(i + 1), promptTokens: 10, outputTokens: 5})
			}
		}
		if n <= params.ColdRequests {
			require.Zero(t, e.coldViolations)
			c.runAll()
			require.Len(t, p.outcomes, n)
			return
		}
		require.Equal(t, 1, p.engineFailures)
		require.Equal(t, params.ColdRequests+1, p.lostJobs)
		c.runAll()
		require.True(t, e.up && e.cold, "the engine is cold after its restart")
		require.Empty(t, p.tokens)
	})
}

// Guards against an engine that warms up with time instead of with completed requests,
// and against counting the jobs that it held when it turned cold as violations.
func TestEngineWarmsByCompletedRequests(t *testing.T) {
	params := standardEngine()
	params.WarmAfter = 2
	e, p, c := newObservedEngine(params)
	for i := range 20 {
		e.submit(&job{permitID: uint64(i + 1), promptTokens: 10, outputTokens: 1000})
	}
	e.turnCold()
	for i := range params.ColdRequests {
		e.submit(&job{permitID: uint64(100 + i), promptTokens: 10, outputTokens: 5 + i})
	}
	require.Zero(t, e.coldViolations)
	for len(p.outcomes) < 2 {
		require.True(t, e.cold)
		c.runNext()
	}
	require.False(t, e.cold)
}

// Guards against preemption without its cost: the next token of a preempted job must
// wait until its prompt and the delivered tokens have been computed again.
func TestPreemptionStallsYoungestJob(t *testing.T) {
	params := standardEngine()
	params.MemoryTokens, params.Noise = 240, 0
	e, p, c := newObservedEngine(params)
	old, young := &job{permitID: 1, promptTokens: 100, outputTokens: 80}, &job{permitID: 2, promptTokens: 100, outputTokens: 80}
	e.submit(old)
	e.submit(young)
	for p.preemptions == 0 {
		c.runNext()
	}
	require.True(t, young.preempted)
	require.False(t, old.preempted)
	delivered := p.tokens[2]
	for p.tokens[1] < 80 {
		require.Equal(t, delivered, p.tokens[2])
		c.runNext()
	}
	c.runAll()
	require.Equal(t, 80, p.tokens[2])
}

// Guards against a cached prefix that does not shorten the wait for the first token.
func TestPrefixCacheShortensPrefill(t *testing.T) {
	params := standardEngine()
	params.Noise = 0
	e, p, c := newObservedEngine(params)
	run := func(permit uint64) time.Duration {
		start := c.now
		e.submit(&job{permitID: permit, promptTokens: 2000, outputTokens: 1, prefixHash: 7, prefixTokens: 1900})
		c.runAll()
		require.Equal(t, 1, p.tokens[permit])
		return c.now - start
	}
	first, second := run(1), run(2)
	require.Less(t, second, first/2)
	require.Equal(t, []prefixEntry{{7, 1900}}, e.cache.entries)
	added, evicted := e.cache.insert(8, 3000)
	require.True(t, added)
	require.Equal(t, []uint64{7}, evicted)
}
