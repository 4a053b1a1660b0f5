package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// probe records what an engine does and checks its memory at each token.
type probe struct {
	tokens      map[uint64]int
	ended       map[uint64]pool.Outcome
	preemptions int
	collapses   int
	lost        int
	overMemory  bool
}

func newProbe() *probe { return &probe{tokens: map[uint64]int{}, ended: map[uint64]pool.Outcome{}} }

func (p *probe) token(e *engine, j *job) {
	p.tokens[j.permit]++
	p.overMemory = p.overMemory || e.memory() > e.params.MemoryTokens
}
func (p *probe) finished(_ *engine, j *job, o pool.Outcome) { p.ended[j.permit] = o }
func (p *probe) preemption(*engine, *job)                   { p.preemptions++ }
func (p *probe) cached(*engine, uint64, bool)               {}
func (p *probe) collapsed(_ *engine, lost []*job)           { p.collapses++; p.lost += len(lost) }

func probedEngine(params trace.Engine) (*engine, *probe, *clock) {
	c, p := &clock{}, newProbe()
	return newEngine(trace.Upstream{Name: "e", Engine: params}, 0, 1, c, p), p, c
}

func (c *clock) drain() {
	for len(c.timers) > 0 {
		c.step()
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
		e, p, c := probedEngine(params)
		jobs := map[uint64]*job{}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			j := &job{
				permit: uint64(i + 1), prompt: rapid.IntRange(1, 100).Draw(t, "prompt"),
				output: rapid.IntRange(1, 90).Draw(t, "output"), priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				prefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"),
			}
			j.prefixTokens = rapid.IntRange(0, j.prompt).Draw(t, "prefix tokens")
			jobs[j.permit] = j
			c.at(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at"))*time.Millisecond, func() { e.submit(j) })
		}
		c.drain()
		require.False(t, p.overMemory)
		require.Zero(t, e.inFlight())
		for id, j := range jobs {
			require.Equal(t, pool.Completed, p.ended[id])
			require.Equal(t, j.output, p.tokens[id], "a preempted job neither loses nor repeats tokens")
		}
	})
}

// Guards against a cold engine that bears more than its limit, or fails below it.
func TestColdEngineFailsExactlyAboveItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := standardEngine()
		params.StartsCold, params.WarmAfter = true, 1000
		params.ColdRequests = rapid.IntRange(1, 8).Draw(t, "limit")
		n := rapid.IntRange(1, 12).Draw(t, "jobs")
		e, p, c := probedEngine(params)
		for i := range n {
			if e.up {
				e.submit(&job{permit: uint64(i + 1), prompt: 10, output: 5})
			}
		}
		if n <= params.ColdRequests {
			require.Zero(t, e.violations)
			c.drain()
			require.Len(t, p.ended, n)
			return
		}
		require.Equal(t, 1, p.collapses)
		require.Equal(t, params.ColdRequests+1, p.lost)
		c.drain()
		require.True(t, e.up && e.cold, "the engine comes back cold")
		require.Empty(t, p.tokens)
	})
}

// Guards against a warm-up by time, and against blaming a policy for the work
// that an engine had when it turned cold.
func TestEngineWarmsByCompletedRequests(t *testing.T) {
	params := standardEngine()
	params.WarmAfter = 2
	e, p, c := probedEngine(params)
	for i := range 20 {
		e.submit(&job{permit: uint64(i + 1), prompt: 10, output: 1000})
	}
	e.turnCold()
	for i := range params.ColdRequests {
		e.submit(&job{permit: uint64(100 + i), prompt: 10, output: 5 + i})
	}
	require.Zero(t, e.violations)
	for len(p.ended) < 2 {
		require.True(t, e.cold)
		c.step()
	}
	require.False(t, e.cold)
}

// Guards against preemption without its cost: the preempted job's next token must
// wait for the prompt and the tokens delivered to be computed again.
func TestPreemptionStallsTheYoungest(t *testing.T) {
	params := standardEngine()
	params.MemoryTokens, params.Noise = 240, 0
	e, p, c := probedEngine(params)
	old, young := &job{permit: 1, prompt: 100, output: 80}, &job{permit: 2, prompt: 100, output: 80}
	e.submit(old)
	e.submit(young)
	for p.preemptions == 0 {
		c.step()
	}
	require.True(t, young.preempted)
	require.False(t, old.preempted)
	delivered := p.tokens[2]
	for p.tokens[1] < 80 {
		require.Equal(t, delivered, p.tokens[2])
		c.step()
	}
	c.drain()
	require.Equal(t, 80, p.tokens[2])
}

// Guards against a cached prefix that does not shorten the wait for the first token.
func TestPrefixCacheShortensPrefill(t *testing.T) {
	params := standardEngine()
	params.Noise = 0
	e, p, c := probedEngine(params)
	run := func(permit uint64) time.Duration {
		start := c.now
		e.submit(&job{permit: permit, prompt: 2000, output: 1, prefixHash: 7, prefixTokens: 1900})
		c.drain()
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
