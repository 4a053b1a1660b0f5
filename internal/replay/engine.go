package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanscale/rattanscale/internal/pool"
	"github.com/rattanscale/rattanscale/internal/trace"
)

// minNoiseFactor is the lowest factor by which noise changes a step time, so that the
// time stays positive.
const minNoiseFactor = 0.5

// job is one request at an engine.
type job struct {
	permitID     uint64
	promptTokens int
	outputTokens int
	priority     int
	prefixHash   uint64
	prefixTokens int
	// producedTokens is the number of output tokens delivered. It survives preemption.
	producedTokens int
	// computedTokens is the number of prompt and output tokens that are in memory. The
	// job emits tokens once it has reached promptTokens + producedTokens.
	computedTokens int
	// prefillTokens is the number of tokens that the current step prefills.
	prefillTokens int
	// sentWhileCold is set when the job was sent to a cold engine, until the engine is warm.
	sentWhileCold bool
	preempted     bool
	// removed is set once the job is no longer at the engine.
	removed bool
}

// memoryTokens is the memory that the job uses while it runs.
func (j *job) memoryTokens() int { return j.promptTokens + j.producedTokens }

// engineEvents receives the events of an engine.
type engineEvents interface {
	tokenProduced(e *engine, j *job)
	jobFinished(e *engine, j *job, outcome pool.Outcome)
	jobPreempted(e *engine, j *job)
	cacheChanged(e *engine, hash uint64, evicted bool)
	// engineFailed is called after a cold engine exceeded its limit and lost all jobs.
	engineFailed(e *engine, lost []*job)
}

// engine models one model engine with continuous batching: each step adds one
// token to each running job whose prompt is in memory.
type engine struct {
	name   string
	params trace.Engine
	clock  *clock
	events engineEvents
	rng    *rand.Rand
	cache  prefixCache

	up, cold, leaving bool
	incarnation       int
	// waiting jobs are ordered by preemption, priority and arrival; running jobs
	// by admission, so the last one was admitted most recently.
	waiting, running []*job
	stepInProgress   bool
	// coldInFlight counts the jobs at the engine that were sent since it turned cold.
	coldInFlight, coldCompleted     int
	coldViolations, maxColdInFlight int
}

func newEngine(u trace.Upstream, index int, seed uint64, c *clock, events engineEvents) *engine {
	return &engine{
		name: u.Name, params: u.Engine, clock: c, events: events, up: true, cold: u.Engine.StartsCold, incarnation: 1,
		rng:   rand.New(rand.NewPCG(seed, uint64(index)+1)),
		cache: prefixCache{capacityTokens: u.Engine.PrefixCacheTokens},
	}
}

func (e *engine) incarnationName() string { return fmt.Sprintf("%s-%d", e.name, e.incarnation) }

// inFlight is the number of jobs at the engine.
func (e *engine) inFlight() int { return len(e.waiting) + len(e.running) }

func (e *engine) usedMemory() int {
	total := 0
	for _, j := range e.running {
		total += j.memoryTokens()
	}
	return total
}

// submit sends a job to an engine that is up. It reports false when the engine
// refuses the job because its prompt can never fit.
func (e *engine) submit(j *job) bool {
	if j.promptTokens+1 > e.params.MemoryTokens {
		return false
	}
	e.enqueue(j)
	if e.cold {
		j.sentWhileCold = true
		e.coldInFlight++
		e.maxColdInFlight = max(e.maxColdInFlight, e.coldInFlight)
		if e.coldInFlight > e.params.ColdRequests {
			e.coldViolations++
			e.fail()
			return true
		}
	}
	e.startStep()
	return true
}

func (e *engine) enqueue(j *job) {
	i := len(e.waiting)
	for i > 0 && precedes(j, e.waiting[i-1]) {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
}

// precedes orders preempted jobs first, because their callers have already received
// tokens, and then by priority.
func precedes(a, b *job) bool {
	if a.preempted != b.preempted {
		return a.preempted
	}
	return a.priority > b.priority
}

// cancel removes the job with the permit. The tokens of a step in progress are lost.
func (e *engine) cancel(permit uint64) bool {
	match := func(j *job) bool { return j.permitID == permit }
	for _, list := range []*[]*job{&e.waiting, &e.running} {
		if i := slices.IndexFunc(*list, match); i >= 0 {
			e.markRemoved((*list)[i])
			*list = slices.Delete(*list, i, i+1)
			return true
		}
	}
	return false
}

func (e *engine) markRemoved(j *job) {
	j.removed = true
	if j.sentWhileCold {
		j.sentWhileCold = false
		e.coldInFlight--
	}
}

// turnCold makes the engine cold without a restart. Jobs already at the engine
// continue at the cold speed and do not count against the cold limit, because no
// policy could have foreseen the change.
func (e *engine) turnCold() {
	e.cold, e.coldInFlight, e.coldCompleted = true, 0, 0
	for _, j := range slices.Concat(e.waiting, e.running) {
		j.sentWhileCold = false
	}
}

// stop ends the engine's process and returns the jobs that it held.
func (e *engine) stop() []*job {
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.up, e.coldInFlight = false, 0
	e.cache.clear()
	e.incarnation++
	return lost
}

// start begins a new incarnation, which is cold.
func (e *engine) start() {
	if !e.up {
		e.up, e.leaving = true, false
		e.turnCold()
	}
}

// fail stops an engine that exceeded its cold limit and restarts it after RestartMS.
func (e *engine) fail() {
	lost := e.stop()
	incarnation := e.incarnation
	e.clock.scheduleAfter(time.Duration(e.params.RestartMS)*time.Millisecond, func() {
		if e.incarnation == incarnation {
			e.start()
		}
	})
	e.events.engineFailed(e, lost)
}

// startStep begins a step unless one is in progress or there is no work.
func (e *engine) startStep() {
	if e.stepInProgress || !e.up || e.inFlight() == 0 {
		return
	}
	if !e.preempt() {
		e.admit()
	}
	if len(e.running) == 0 {
		return
	}
	prefill := e.planPrefill()
	e.stepInProgress = true
	incarnation := e.incarnation
	e.clock.scheduleAfter(e.stepTime(prefill), func() {
		e.stepInProgress = false
		if e.incarnation == incarnation {
			e.endStep()
		}
		e.startStep()
	})
}

// preempt removes the most recently admitted jobs from the batch until the tokens of
// the next step fit the memory. It reports whether a job was preempted.
func (e *engine) preempt() bool {
	any := false
	for len(e.running) > 0 && e.usedMemory()+len(e.running) > e.params.MemoryTokens {
		last := len(e.running) - 1
		j := e.running[last]
		e.running = e.running[:last]
		if last == 0 {
			e.markRemoved(j)
			e.events.jobFinished(e, j, pool.Failed)
			continue
		}
		j.computedTokens, j.preempted, any = 0, true, true
		e.enqueue(j)
		e.events.jobPreempted(e, j)
	}
	return any
}

// admit moves waiting jobs into the batch while their prompts fit.
func (e *engine) admit() {
	memory := e.usedMemory()
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		j := e.waiting[0]
		if memory+j.memoryTokens()+len(e.running)+1 > e.params.MemoryTokens {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		memory += j.memoryTokens()
		j.computedTokens = 0
		if e.cache.lookUp(j.prefixHash) {
			// The last prompt token is always computed, because it yields the first output token.
			j.computedTokens = min(j.prefixTokens, j.memoryTokens()-1)
		}
		e.running = append(e.running, j)
	}
}

// planPrefill divides the prefill chunk of a step among the jobs in the order of
// admission and returns the number of tokens to prefill.
func (e *engine) planPrefill() int {
	remaining := e.params.PrefillChunk
	for _, j := range e.running {
		j.prefillTokens = min(remaining, j.memoryTokens()-j.computedTokens)
		remaining -= j.prefillTokens
	}
	return e.params.PrefillChunk - remaining
}

func (e *engine) stepTime(prefill int) time.Duration {
	p := e.params
	us := p.BaseUS + p.PerRequestUS*float64(len(e.running)) + p.PerThousandTokensUS*float64(e.usedMemory())/1000 +
		p.PrefillPerTokenUS*float64(prefill)
	if e.cold {
		us *= p.ColdFactor
	}
	us *= max(minNoiseFactor, 1+p.Noise*e.rng.NormFloat64())
	return time.Duration(us * float64(time.Microsecond))
}

// endStep delivers one token for each job whose prompt is in memory.
func (e *engine) endStep() {
	incarnation := e.incarnation
	for _, j := range slices.Clone(e.running) {
		if e.incarnation != incarnation {
			return // an event handler stopped this incarnation
		}
		if j.removed {
			continue
		}
		prefilling := j.prefillTokens > 0
		j.computedTokens += j.prefillTokens
		j.prefillTokens = 0
		if j.computedTokens < j.memoryTokens() {
			continue
		}
		if prefilling && j.prefixHash != 0 {
			e.insertPrefix(j)
		}
		j.producedTokens++
		j.computedTokens++
		j.preempted = false
		e.events.tokenProduced(e, j)
		if j.producedTokens >= j.outputTokens {
			e.complete(j)
		}
	}
}

func (e *engine) insertPrefix(j *job) {
	added, evicted := e.cache.insert(j.prefixHash, j.prefixTokens)
	for _, hash := range evicted {
		e.events.cacheChanged(e, hash, true)
	}
	if added {
		e.events.cacheChanged(e, j.prefixHash, false)
	}
}

func (e *engine) complete(j *job) {
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	e.markRemoved(j)
	if e.cold {
		e.coldCompleted++
		if e.coldCompleted >= e.params.WarmAfter {
			e.cold, e.coldInFlight = false, 0
			for _, o := range slices.Concat(e.waiting, e.running) {
				o.sentWhileCold = false
			}
		}
	}
	e.events.jobFinished(e, j, pool.Completed)
}
