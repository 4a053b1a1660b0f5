package replay

import (
	"container/heap"
	"time"
)

// timer is one scheduled action of the simulation.
type timer struct {
	dueAt    time.Duration
	sequence uint64
	run      func()
}

// clock is the virtual time of a run. Actions at the same time run in the order
// in which they were scheduled, which makes a run repeatable.
type clock struct {
	now          time.Duration
	lastSequence uint64
	timers       timerHeap
}

func (c *clock) scheduleAfter(d time.Duration, run func()) { c.scheduleAt(c.now+d, run) }

func (c *clock) scheduleAt(at time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.timers, timer{dueAt: max(at, c.now), sequence: c.lastSequence, run: run})
}

// nextTime returns the time of the next action. It reports false when none is scheduled.
func (c *clock) nextTime() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].dueAt, true
}

// runNext advances the clock to the next action and runs it.
func (c *clock) runNext() {
	t := heap.Pop(&c.timers).(timer)
	c.now = t.dueAt
	t.run()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}
