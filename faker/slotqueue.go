package faker

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue assigns a fixed number of slots to waiting calls, in order of descending priority and then
// of arrival.
type slotQueue struct {
	mu         sync.Mutex
	slots      int
	maxWaiting int
	running    int
	waiting    waitHeap
	arrivals   int64
	onChange   func(running, waiting int)
}

type waiter struct {
	priority int
	arrival  int64
	index    int
	granted  chan struct{}
}

// enqueue adds a call to the queue. It returns false if the queue is full.
func (q *slotQueue) enqueue(priority int) (*waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running >= q.slots && len(q.waiting) >= q.maxWaiting {
		return nil, false
	}
	q.arrivals++
	waiter := &waiter{priority: priority, arrival: q.arrivals, granted: make(chan struct{})}
	heap.Push(&q.waiting, waiter)
	q.grant()
	return waiter, true
}

// wait blocks until the waiter has a slot. If the context ends first, it removes the waiter from the
// queue or releases its slot, and returns the context's error.
func (q *slotQueue) wait(ctx context.Context, waiter *waiter) error {
	select {
	case <-waiter.granted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-waiter.granted:
		q.running--
	default:
		heap.Remove(&q.waiting, waiter.index)
	}
	q.grant()
	return ctx.Err()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.grant()
}

func (q *slotQueue) runningNow() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

func (q *slotQueue) grant() {
	for q.running < q.slots && len(q.waiting) > 0 {
		waiter := heap.Pop(&q.waiting).(*waiter)
		q.running++
		close(waiter.granted)
	}
	q.onChange(q.running, len(q.waiting))
}

type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waitHeap) Push(x any) {
	waiter := x.(*waiter)
	waiter.index = len(*h)
	*h = append(*h, waiter)
}

func (h *waitHeap) Pop() any {
	old := *h
	waiter := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return waiter
}
