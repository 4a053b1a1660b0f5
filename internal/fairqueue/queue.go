// Package fairqueue implements the bounded queue of requests that wait for a permit. It
// orders them by priority, then by weighted fair share of the client accounts, then by
// the time by which the answer is needed. A Queue has no locks: its caller serialises
// access.
package fairqueue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Priorities is the number of priorities; 0 is the lowest.
const Priorities = 10

// AgingInterval is the time without service after which a waiting priority counts as
// one higher. A priority that is n levels below the highest waiting one is thereby
// served at least once in n intervals.
const AgingInterval = 5 * time.Second

// Item is one waiting request.
type Item[T any] struct {
	ID       string
	Account  string
	Weight   float64
	Priority int
	// Cost is the expected work, in tokens.
	Cost float64
	// FinishBy is the time by which the answer is needed; zero means none.
	FinishBy time.Time
	// Deadline is the latest time at which starting the request is useful; zero means
	// none.
	Deadline time.Time
	Enqueued time.Time
	Value    T

	sequence      uint64
	heapIndex     int
	deadlineIndex int // index in the deadline heap, -1 without a deadline
	flow          *flow[T]
}

// flow is the queue of one account within one priority.
type flow[T any] struct {
	account      string
	weight       float64
	items        itemHeap[T]
	virtualStart float64 // virtual start time of the next request
	heapIndex    int     // index in the level's heap, -1 when idle
	queuedCost   float64
}

type level[T any] struct {
	flows       map[string]*flow[T]
	active      flowHeap[T]
	virtualTime float64
	lastServed  time.Time // time of the last service, or since when requests wait
	count       int
	queuedCost  float64
}

// Queue holds the waiting requests of one pool.
type Queue[T any] struct {
	levels          [Priorities]level[T]
	itemsByID       map[string]*Item[T]
	queuedByAccount map[string]int
	byDeadline      deadlineHeap[T]
	capacity        int
	sequence        uint64
}

// New returns an empty queue that holds at most capacity requests.
func New[T any](capacity int) *Queue[T] {
	q := &Queue[T]{itemsByID: map[string]*Item[T]{}, queuedByAccount: map[string]int{}, capacity: capacity}
	for i := range q.levels {
		q.levels[i].flows = map[string]*flow[T]{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.itemsByID) }

// LevelLen returns the number of requests that wait with a priority.
func (q *Queue[T]) LevelLen(priority int) int { return q.levels[clamp(priority)].count }

// LevelCost returns the expected work that waits with a priority.
func (q *Queue[T]) LevelCost(priority int) float64 { return q.levels[clamp(priority)].queuedCost }

// Contains reports whether a request waits.
func (q *Queue[T]) Contains(id string) bool { return q.itemsByID[id] != nil }

// Push adds a request. It returns false when the account already has maxQueued
// requests waiting (0 means no such bound), the queue is full or the identifier waits already.
func (q *Queue[T]) Push(now time.Time, item Item[T], maxQueued int) bool {
	if q.itemsByID[item.ID] != nil || len(q.itemsByID) >= q.capacity {
		return false
	}
	if maxQueued > 0 && q.queuedByAccount[item.Account] >= maxQueued {
		return false
	}
	item.Priority = clamp(item.Priority)
	if item.Weight <= 0 {
		item.Weight = 1
	}
	q.sequence++
	it := &item
	it.sequence, it.Enqueued = q.sequence, now
	l := &q.levels[it.Priority]
	f := l.flowOf(it.Account)
	f.weight = it.Weight
	it.flow = f
	q.itemsByID[it.ID] = it
	q.queuedByAccount[it.Account]++
	if l.count == 0 {
		l.lastServed = now
	}
	l.count++
	l.queuedCost += it.Cost
	f.queuedCost += it.Cost
	heap.Push(&f.items, it)
	it.deadlineIndex = -1
	if !it.Deadline.IsZero() {
		heap.Push(&q.byDeadline, it)
	}
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, l.virtualTime)
		heap.Push(&l.active, f)
	}
	return true
}

func (l *level[T]) flowOf(account string) *flow[T] {
	f := l.flows[account]
	if f == nil {
		f = &flow[T]{account: account, heapIndex: -1, virtualStart: l.virtualTime}
		l.flows[account] = f
	}
	return f
}

// Remove removes a waiting request without charging its account, for example when its
// requester disconnected.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	it := q.itemsByID[id]
	if it == nil {
		return Item[T]{}, false
	}
	q.removeItem(it)
	return *it, true
}

// removeItem removes a request. Its flow must be in its level's heap.
func (q *Queue[T]) removeItem(it *Item[T]) {
	l, f := &q.levels[it.Priority], it.flow
	heap.Remove(&f.items, it.heapIndex)
	if it.deadlineIndex >= 0 {
		heap.Remove(&q.byDeadline, it.deadlineIndex)
	}
	delete(q.itemsByID, it.ID)
	if q.queuedByAccount[it.Account]--; q.queuedByAccount[it.Account] == 0 {
		delete(q.queuedByAccount, it.Account)
	}
	l.count--
	l.queuedCost = max(l.queuedCost-it.Cost, 0)
	f.queuedCost = max(f.queuedCost-it.Cost, 0)
	if len(f.items) == 0 {
		heap.Remove(&l.active, f.heapIndex)
		l.dropIfIdle(f)
	}
}

// dropIfIdle removes an idle flow whose virtual start time is not ahead of the level's
// virtual time.
func (l *level[T]) dropIfIdle(f *flow[T]) {
	if f.heapIndex < 0 && f.virtualStart <= l.virtualTime {
		delete(l.flows, f.account)
	}
	if l.count == 0 {
		// No request waits, so past charges no longer affect the order.
		clear(l.flows)
		l.virtualTime = 0
	}
}

// Verdict states what Scan does with a request.
type Verdict int

const (
	// Take removes the request as served and continues.
	Take Verdict = iota
	// Skip leaves the request in the queue and passes over its account's other requests
	// of the same priority.
	Skip
	// Drop removes the request without charging its account.
	Drop
	// Stop ends the scan.
	Stop
)

// Scan calls visit with the waiting requests in the order of service until visit
// returns Stop or none is left. visit must not change the queue.
func (q *Queue[T]) Scan(now time.Time, visit func(*Item[T]) Verdict) {
	var exhausted [Priorities]bool
	var skipped [Priorities][]*flow[T]
	defer func() {
		for p := range skipped {
			for _, f := range skipped[p] {
				heap.Push(&q.levels[p].active, f)
			}
		}
	}()
	for {
		p := q.nextPriority(now, &exhausted)
		if p < 0 {
			return
		}
		l := &q.levels[p]
		f := l.active[0]
		switch visit(f.items[0]) {
		case Stop:
			return
		case Skip:
			heap.Pop(&l.active)
			skipped[p] = append(skipped[p], f)
		case Drop:
			q.removeItem(f.items[0])
		case Take:
			q.serve(now, l, f)
		}
		exhausted[p] = len(l.active) == 0
	}
}

func (q *Queue[T]) serve(now time.Time, l *level[T], f *flow[T]) {
	it := f.items[0]
	l.virtualTime = max(l.virtualTime, f.virtualStart)
	f.virtualStart += it.Cost / f.weight
	l.lastServed = now
	heap.Fix(&l.active, f.heapIndex)
	q.removeItem(it)
}

// nextPriority returns the priority to serve next, or -1 when none is left.
func (q *Queue[T]) nextPriority(now time.Time, exhausted *[Priorities]bool) int {
	best, bestRank := -1, 0
	for p := Priorities - 1; p >= 0; p-- {
		l := &q.levels[p]
		if exhausted[p] || len(l.active) == 0 {
			continue
		}
		rank := p + int(now.Sub(l.lastServed)/AgingInterval)
		// On a tie the lower priority is served: it has waited longer.
		if best < 0 || rank >= bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// CorrectCost charges an account for the difference between actual and expected cost.
func (q *Queue[T]) CorrectCost(account string, priority int, delta float64) {
	l := &q.levels[clamp(priority)]
	f := l.flows[account]
	if f == nil {
		if delta <= 0 || l.count == 0 {
			return
		}
		f = l.flowOf(account)
		f.weight = 1
	}
	f.virtualStart += delta / f.weight
	if f.heapIndex >= 0 {
		f.virtualStart = max(f.virtualStart, 0)
		heap.Fix(&l.active, f.heapIndex)
		return
	}
	l.dropIfIdle(f)
}

// Expire removes and returns the requests whose deadline has passed, the earliest first.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	var out []Item[T]
	for len(q.byDeadline) > 0 && now.After(q.byDeadline[0].Deadline) {
		out = append(out, *q.byDeadline[0])
		q.removeItem(q.byDeadline[0])
	}
	return out
}

// Drain removes and returns all requests in the order of arrival.
func (q *Queue[T]) Drain() []Item[T] {
	out := make([]Item[T], 0, len(q.itemsByID))
	for _, it := range q.itemsByID {
		out = append(out, *it)
	}
	slices.SortFunc(out, func(a, b Item[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	for i := range out {
		q.removeItem(q.itemsByID[out[i].ID])
	}
	return out
}

// Cost returns the expected work of all waiting requests.
func (q *Queue[T]) Cost() float64 {
	sum := 0.0
	for p := range q.levels {
		sum += q.levels[p].queuedCost
	}
	return sum
}

// CostAhead returns the cost that is served before a new request of the account: that
// of all higher priorities and, within its own priority, at most the account's backlog
// scaled up by the weights of the other accounts.
func (q *Queue[T]) CostAhead(account string, weight float64, priority int) float64 {
	priority = clamp(priority)
	sum := 0.0
	for p := priority + 1; p < Priorities; p++ {
		sum += q.levels[p].queuedCost
	}
	l := &q.levels[priority]
	if weight <= 0 {
		weight = 1
	}
	ownCost, weights := 0.0, weight
	for _, f := range l.active {
		if f.account == account {
			ownCost = f.queuedCost
			continue
		}
		weights += f.weight
	}
	return sum + min(l.queuedCost, ownCost*weights/weight)
}

func clamp(priority int) int { return min(max(priority, 0), Priorities-1) }
