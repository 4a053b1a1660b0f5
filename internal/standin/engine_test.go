package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

func testSettings() EngineSettings {
	s := DefaultEngineSettings()
	s.BaseStep, s.StepPerRequest = 10*time.Millisecond, 5*time.Millisecond
	s.StepPerKiloToken, s.PrefillPerKiloToken = 0, 0
	return s
}

func startGeneration(t *testing.T, e *Engine, id, prompt string) *generation {
	g, refused := e.start(upstream.GenerateRequest{RequestID: id, Prompt: prompt})
	require.Nil(t, refused)
	return g
}

// withEngine runs the test with an engine in a synctest bubble, on virtual time.
func withEngine(t *testing.T, s EngineSettings, test func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(s)
		defer e.Close()
		test(t, e)
	})
}

// Guards against a step time that does not grow with the batch size. Tests of the
// daemon's step-time model depend on it.
func TestStepTimeGrowsWithTheBatch(t *testing.T) {
	withEngine(t, testSettings(), func(t *testing.T, e *Engine) {
		g := startGeneration(t, e, "a", "tokens=10")
		time.Sleep(151 * time.Millisecond) // 10 steps of 10 ms + 5 ms
		assert.True(t, e.progress(g).done)
		a, b := startGeneration(t, e, "a", "tokens=10"), startGeneration(t, e, "b", "tokens=10")
		time.Sleep(185 * time.Millisecond) // the first step may run a alone
		assert.False(t, e.progress(b).done)
		time.Sleep(36 * time.Millisecond)
		assert.True(t, e.progress(a).done)
		assert.True(t, e.progress(b).done)
	})
}

// Guards against a cold state that ends after some time instead of after WarmAfter
// completed requests.
func TestColdStateEndsByCompletedRequests(t *testing.T) {
	s := testSettings()
	s.ColdRequests, s.WarmAfter = 1, 2
	withEngine(t, s, func(t *testing.T, e *Engine) {
		time.Sleep(time.Hour)
		for range 2 {
			assert.True(t, e.Stats().Cold)
			startGeneration(t, e, "a", "tokens=3")
			time.Sleep(time.Second)
		}
		assert.False(t, e.Stats().Cold)
		before := e.Stats().Incarnation
		require.True(t, e.SetFault(Fault{Kind: FaultColdRestart}))
		assert.True(t, e.Stats().Cold)
		assert.NotEqual(t, before, e.Stats().Incarnation)
		assert.Zero(t, e.Stats().ColdViolations)
	})
}

// Guards against generations without a reader that are kept forever, or dropped
// before the resume window has passed.
func TestGenerationWithoutReaderIsKeptForTheResumeWindow(t *testing.T) {
	s := testSettings()
	s.ResumeWindow = 10 * time.Second
	withEngine(t, s, func(t *testing.T, e *Engine) {
		g := startGeneration(t, e, "a", "tokens=100000")
		e.attach(g)
		time.Sleep(time.Minute)
		e.detach(g)
		time.Sleep(9 * time.Second)
		assert.NotNil(t, e.resume("a", g.id, 5))
		assert.Nil(t, e.resume("a", "other", 5))
		time.Sleep(2 * time.Second)
		assert.Nil(t, e.resume("a", g.id, 5))
		assert.Equal(t, 1, e.Stats().Dropped)
	})
}

// Guards against load reports and cache events without delay, and cache events
// without gaps: real engines report late and lose events.
func TestReportsAndCacheEventsLag(t *testing.T) {
	s := testSettings()
	s.ReportLag, s.CacheLag, s.CacheGap, s.LoadTime = time.Second, 2*time.Second, 2, time.Second
	withEngine(t, s, func(t *testing.T, e *Engine) {
		time.Sleep(time.Minute)
		startGeneration(t, e, "a", "first tokens=100000")
		startGeneration(t, e, "b", "second tokens=100000")
		require.True(t, e.applyOrder(upstream.Order{Kind: upstream.OrderLoad, Model: "m", Fencing: 1}))
		require.True(t, e.SetFault(Fault{Kind: FaultLeave}))
		events := func() []upstream.CacheEvent {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.cache.visibleEvents(0, s.CacheGap, time.Now().Add(-s.CacheLag))
		}
		time.Sleep(900 * time.Millisecond)
		assert.Zero(t, e.report().Running)
		assert.False(t, e.report().Leaving)
		assert.Equal(t, s.ReportLag, time.Since(e.report().MeasuredAt), "an idle engine's report looks stale")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, 2, e.report().Running)
		assert.True(t, e.report().Leaving)
		assert.Equal(t, []string{"m"}, e.Stats().Models)
		assert.Empty(t, e.report().Models)
		assert.Empty(t, events())
		time.Sleep(time.Second)
		assert.Len(t, events(), 1)
	})
}

// Guards against memory use above the limit and against preempted requests that
// never finish.
func TestPreemptionKeepsMemoryWithinItsLimit(t *testing.T) {
	s := testSettings()
	s.MemoryTokens = 300
	withEngine(t, s, func(t *testing.T, e *Engine) {
		for _, id := range []string{"a", "b", "c", "d"} {
			startGeneration(t, e, id, id+" tokens=200")
		}
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			require.LessOrEqual(t, e.Stats().MemoryTokens, s.MemoryTokens)
		}
		assert.Equal(t, 4, e.Stats().Completed)
		assert.Positive(t, e.Stats().Preemptions)
	})
}
