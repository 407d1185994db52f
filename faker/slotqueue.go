package faker

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue hands a fixed number of slots to waiting calls: higher priority first, then the older.
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

// enqueue returns a place in the queue, or false if the queue is full.
func (q *slotQueue) enqueue(priority int) (*waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running >= q.slots && len(q.waiting) >= q.maxWaiting {
		return nil, false
	}
	q.arrivals++
	place := &waiter{priority: priority, arrival: q.arrivals, granted: make(chan struct{})}
	heap.Push(&q.waiting, place)
	q.grant()
	return place, true
}

// wait returns when the place has a slot. On the context's end the place is given up.
func (q *slotQueue) wait(ctx context.Context, place *waiter) error {
	select {
	case <-place.granted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-place.granted:
		q.running--
	default:
		heap.Remove(&q.waiting, place.index)
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
		place := heap.Pop(&q.waiting).(*waiter)
		q.running++
		close(place.granted)
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
	place := x.(*waiter)
	place.index = len(*h)
	*h = append(*h, place)
}

func (h *waitHeap) Pop() any {
	old := *h
	place := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return place
}
