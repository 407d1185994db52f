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

// queue holds the messages to send to one peer, bounded in bytes. It holds at most one heartbeat, which a newer one
// replaces, so a slow peer never receives outdated ones.
type queue struct {
	mu        sync.Mutex
	limit     int
	items     []item
	bytes     int
	heartbeat *carrier.Heartbeat
	// busy is set while taken messages are being written.
	busy bool
	wake chan struct{}
}

func newQueue(limit int) *queue {
	return &queue{limit: limit, wake: make(chan struct{}, 1)}
}

// putHeartbeat queues the heartbeat for the next write and reports whether it replaced an older one.
func (q *queue) putHeartbeat(hb *carrier.Heartbeat) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	replaced := q.heartbeat != nil
	q.heartbeat = hb
	q.signal()
	return replaced
}

// put appends an item. It returns false if the queue is full.
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

// take removes and returns all queued messages, and marks the queue busy if there are any.
func (q *queue) take() (*carrier.Heartbeat, []item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	hb, items := q.heartbeat, q.items
	q.heartbeat, q.items, q.bytes = nil, nil, 0
	q.busy = hb != nil || len(items) > 0
	return hb, items
}

// done marks the taken messages as written or lost.
func (q *queue) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy = false
}

// empty reports whether no message is queued or being written.
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
