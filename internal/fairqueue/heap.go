package fairqueue

// itemHeap orders the requests of one account: first those with a FinishBy time, the
// earliest at the head, then the others in the order of arrival.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.FinishBy.IsZero() != b.FinishBy.IsZero() {
		return b.FinishBy.IsZero()
	}
	if !a.FinishBy.Equal(b.FinishBy) {
		return a.FinishBy.Before(b.FinishBy)
	}
	return a.sequence < b.sequence
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*h = old[:n]
	return it
}

// flowHeap orders the accounts of one priority by virtual start time, then by name.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].account < h[j].account
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	f.heapIndex = -1
	*h = old[:n]
	return f
}

// deadlineHeap orders requests by deadline.
type deadlineHeap[T any] []*Item[T]

func (h deadlineHeap[T]) Len() int { return len(h) }

func (h deadlineHeap[T]) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	it.deadlineIndex = -1
	*h = old[:n]
	return it
}
