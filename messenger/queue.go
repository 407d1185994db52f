package messenger

import (
	"sync"

	"geraniumline/carrier"
)

// item is one encoded message.
type item struct {
	kind carrier.Kind
	body []byte
}

// queue holds what waits for one peer, bounded in bytes. It has one place for a heartbeat: a newer one
// replaces it, so a slow peer is never sent old news.
type queue struct {
	mu        sync.Mutex
	limit     int
	items     []item
	bytes     int
	heartbeat *carrier.Heartbeat
	// busy is set while taken items are being written.
	busy bool
	wake chan struct{}
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, wake: make(chan struct{}, 1)}
}

// putHeartbeat keeps the heartbeat for the next write. It tells whether an older one was replaced.
func (q *queue) putHeartbeat(hb *carrier.Heartbeat) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	replaced := q.heartbeat != nil
	q.heartbeat = hb
	q.signal()
	return replaced
}

// put adds an item. It tells whether there was room.
func (q *queue) put(it item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+len(it.body) > q.limit {
		return false
	}
	q.items = append(q.items, it)
	q.bytes += len(it.body)
	q.signal()
	return true
}

// take gives all that waits, and marks the queue as busy if there is anything.
func (q *queue) take() (*carrier.Heartbeat, []item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	hb, items := q.heartbeat, q.items
	q.heartbeat, q.items, q.bytes = nil, nil, 0
	q.busy = hb != nil || len(items) > 0
	return hb, items
}

// done marks that what was taken is written or lost.
func (q *queue) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy = false
}

// empty tells that nothing waits and nothing is being written.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.heartbeat == nil && len(q.items) == 0 && !q.busy
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
