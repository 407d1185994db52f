package performer

import (
	"sync"
	"sync/atomic"

	"geraniumline/reducer"
	"geraniumline/tracer"
)

// idSource generates the IDs of requests from callers and operators.
type idSource struct{ last atomic.Uint64 }

func (s *idSource) next() uint64 { return s.last.Add(1) }

// replyQueues routes the core's answers to the handlers that wait for them.
type replyQueues struct {
	mu     sync.Mutex
	queues map[uint64]*ReplyQueue
}

// ReplyQueue is one handler's queue of answers. It has no limit of its own: the answer of one request is bounded by its
// stages, and a caller that reads slowly must not block the reducer.
type ReplyQueue struct {
	mu      sync.Mutex
	answers []reducer.Effect
	signal  chan struct{}
	span    *tracer.Span
}

func newReplyQueues() *replyQueues {
	return &replyQueues{queues: map[uint64]*ReplyQueue{}}
}

// open creates the queue for an ID. The handler closes it when it returns.
func (r *replyQueues) open(id uint64, span *tracer.Span) *ReplyQueue {
	queue := &ReplyQueue{signal: make(chan struct{}, 1), span: span}
	r.mu.Lock()
	r.queues[id] = queue
	r.mu.Unlock()
	return queue
}

func (r *replyQueues) close(id uint64) {
	r.mu.Lock()
	delete(r.queues, id)
	r.mu.Unlock()
}

// span returns the span of the request with an ID, or nil if its handler has returned.
func (r *replyQueues) span(id uint64) *tracer.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, open := r.queues[id]
	if !open {
		return nil
	}
	return queue.span
}

// put queues an answer for its handler. It is dropped if the handler has returned.
func (r *replyQueues) put(id uint64, effect reducer.Effect) {
	r.mu.Lock()
	queue, open := r.queues[id]
	r.mu.Unlock()
	if !open {
		return
	}
	queue.mu.Lock()
	queue.answers = append(queue.answers, effect)
	queue.mu.Unlock()
	select {
	case queue.signal <- struct{}{}:
	default:
	}
}

// Signal returns a channel that becomes readable when answers are queued.
func (q *ReplyQueue) Signal() <-chan struct{} { return q.signal }

// Take removes and returns the queued answers, in order.
func (q *ReplyQueue) Take() []reducer.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.answers
	q.answers = nil
	return taken
}

// Open returns a new request ID and the queue for its answers. The caller must call Close with the ID.
func (p *Performer) Open(span *tracer.Span) (uint64, *ReplyQueue) {
	id := p.ids.next()
	return id, p.replies.open(id, span)
}

// Close removes the queue of an ID. Later answers are dropped.
func (p *Performer) Close(id uint64) { p.replies.close(id) }
