package replay

import (
	"container/heap"
	"time"
)

// timer is one scheduled action of the simulation.
type timer struct {
	due time.Duration
	seq uint64
	run func()
}

// clock is the virtual time of a run. Actions at the same time run in the order
// in which they were scheduled, which makes a run repeatable.
type clock struct {
	now    time.Duration
	seq    uint64
	timers timerHeap
}

func (c *clock) scheduleAfter(d time.Duration, run func()) { c.scheduleAt(c.now+d, run) }

func (c *clock) scheduleAt(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.timers, timer{due: max(at, c.now), seq: c.seq, run: run})
}

// nextTime returns the time of the next action. It reports false when none is scheduled.
func (c *clock) nextTime() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].due, true
}

// runNext advances the clock to the next action and runs it.
func (c *clock) runNext() {
	t := heap.Pop(&c.timers).(timer)
	c.now = t.due
	t.run()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
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
