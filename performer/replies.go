package performer

import (
	"sync"
	"sync/atomic"

	"geraniumline/reducer"
	"geraniumline/tracer"
)

// idSource numbers the questions of callers and operators.
type idSource struct{ last atomic.Uint64 }

func (s *idSource) next() uint64 { return s.last.Add(1) }

// replies leads the core's answers to the handlers that wait for them.
type replies struct {
	mu      sync.Mutex
	waiting map[uint64]*ReplyQueue
}

// ReplyQueue is one handler's queue of answers. It is not bounded by itself: the answer of one request is
// bounded by its stages, and a caller that reads slowly must not hold up the reducer.
type ReplyQueue struct {
	mu     sync.Mutex
	queue  []reducer.Effect
	signal chan struct{}
	span   *tracer.Span
}

func newReplies() *replies {
	return &replies{waiting: map[uint64]*ReplyQueue{}}
}

// open makes the queue for an id. The handler closes it when it returns.
func (r *replies) open(id uint64, span *tracer.Span) *ReplyQueue {
	queue := &ReplyQueue{signal: make(chan struct{}, 1), span: span}
	r.mu.Lock()
	r.waiting[id] = queue
	r.mu.Unlock()
	return queue
}

func (r *replies) close(id uint64) {
	r.mu.Lock()
	delete(r.waiting, id)
	r.mu.Unlock()
}

// span gives the span of the request that a handler serves; nil when it has gone.
func (r *replies) span(id uint64) *tracer.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, open := r.waiting[id]
	if !open {
		return nil
	}
	return queue.span
}

// put hands an answer to its handler, if that still waits.
func (r *replies) put(id uint64, effect reducer.Effect) {
	r.mu.Lock()
	queue, open := r.waiting[id]
	r.mu.Unlock()
	if !open {
		return
	}
	queue.mu.Lock()
	queue.queue = append(queue.queue, effect)
	queue.mu.Unlock()
	select {
	case queue.signal <- struct{}{}:
	default:
	}
}

// Signal is readable when answers have come.
func (q *ReplyQueue) Signal() <-chan struct{} { return q.signal }

// Take gives the answers that have come since the last Take, in order.
func (q *ReplyQueue) Take() []reducer.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queue
	q.queue = nil
	return taken
}

// Open numbers a question and makes the queue for its answers. Close must follow.
func (p *Performer) Open(span *tracer.Span) (uint64, *ReplyQueue) {
	id := p.ids.next()
	return id, p.replies.open(id, span)
}

// Close ends the queue of an id. Answers that come later are dropped.
func (p *Performer) Close(id uint64) { p.replies.close(id) }
