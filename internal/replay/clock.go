package replay

import (
	"container/heap"
	"time"
)

// timer is one scheduled action of the simulation.
type timer struct {
	at  time.Duration
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

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.timers, timer{at: max(at, c.now), seq: c.seq, run: run})
}

// next returns the time of the next action.
func (c *clock) next() (time.Duration, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

func (c *clock) step() {
	t := heap.Pop(&c.timers).(timer)
	c.now = t.at
	t.run()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
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
