// Package budgeter decides what clients may make a process hold before their requests are served: how many connections, and
// how much memory on all of them together. If there is no room, it decides which are evicted. It does no I/O: its caller closes
// the evicted connections.
//
// What has cost its client least is evicted first: connections without a request, bodies that don't come to their end and
// responses that aren't read. A request that is being served never is. A part of the memory is
// reserved for small requests, so that a few clients with long bodies can't keep out all others.
package budgeter

import (
	"container/list"
	"time"
)

const (
	// ConnectionBytes is what an open connection holds without a request, in bytes: its goroutines, its buffers, and what the
	// kernel holds for it.
	ConnectionBytes = 48 << 10
	// SmallBytes is the most that a small request holds beside its connection, in bytes.
	SmallBytes = 128 << 10
	// freshTime is how long a new connection has for the head of its first request before it may be evicted.
	freshTime = 500 * time.Millisecond
	// patience is how long the body of a request may take to arrive, and a response to be read, before the connection may be
	// evicted.
	patience = time.Second
	// largeShare is the share of the memory that large requests may hold together, and loneShare that of a single one.
	largeShare = 0.5
	loneShare  = 0.8
	// ServiceShare is the share of the connections whose requests may be served by one service at the same time.
	ServiceShare = 0.75
)

// Phase is what a connection is doing. It is never evicted in the phase Serving.
type Phase int

const (
	// Waiting connections have not had a request answered yet, and wait for the head of one.
	Waiting Phase = iota
	// Kept connections have had a request answered, and wait for the next one.
	Kept
	// Reading connections wait for the body of a request.
	Reading
	// Serving connections have a whole request that is being served.
	Serving
	// Answering connections are sent a response that is complete in memory.
	Answering
	// Ending connections have been refused and are about to be closed.
	Ending

	phaseCount
)

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	return [phaseCount]string{"waiting", "kept", "reading", "serving", "answering", "ending"}[p]
}

// Config configures a Ledger.
type Config struct {
	// Bytes bounds the memory that all holders have together.
	Bytes int64
	// Connections bounds their number.
	Connections int
}

// Holder is one connection, or the call of a peer, and what it holds.
type Holder struct {
	phase Phase
	// since is when the holder came into its phase, or became large in it.
	since time.Time
	// bytes is what it holds beside its connection.
	bytes   int64
	service string
	open    bool
	// element is the holder's place in the queue of its phase and size.
	element *list.Element
}

// Phase returns what the connection is doing.
func (h *Holder) Phase() Phase { return h.phase }

// Bytes returns what the holder holds beside its connection.
func (h *Holder) Bytes() int64 { return h.bytes }

func (h *Holder) large() bool { return h.bytes > SmallBytes }

// Ledger records what is held. It is not safe for concurrent use.
type Ledger struct {
	cfg Config
	// bytes is what all holders have, with their connections; largeBytes is the part of the large ones.
	bytes, largeBytes int64
	connections       int
	large             int
	// serving counts the holders whose requests are being served, by service.
	serving map[string]int
	// queues hold the holders of each phase, small and large, longest first.
	queues [phaseCount]struct{ small, large *list.List }
}

// New returns a Ledger in which nothing is held.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, serving: make(map[string]int)}
	for i := range l.queues {
		l.queues[i].small, l.queues[i].large = list.New(), list.New()
	}
	return l
}

// Bytes returns what all holders hold, with their connections.
func (l *Ledger) Bytes() int64 { return l.bytes }

// Connections returns the number of holders.
func (l *Ledger) Connections() int { return l.connections }

// MaxBytes returns the most that one request may hold beside its connection.
func (c Config) MaxBytes() int64 { return int64(loneShare * float64(c.Bytes)) }

// Verdict is the answer to a request for room. Evicted holders have already given back what they held, whether or not room was
// granted; their connections must be closed.
type Verdict struct {
	Granted bool
	Evicted []*Holder
}

// Open decides whether a connection may be opened. The Holder is nil if it may not.
func (l *Ledger) Open(now time.Time) (*Holder, Verdict) {
	var verdict Verdict
	for l.connections >= l.cfg.Connections || l.bytes+ConnectionBytes > l.cfg.Bytes {
		other := l.evictForSmall(nil, now)
		if other == nil {
			return nil, verdict
		}
		verdict.Evicted = append(verdict.Evicted, other)
		l.Close(other)
	}
	verdict.Granted = true
	h := &Holder{open: true}
	l.connections++
	l.bytes += ConnectionBytes
	l.enqueue(h, now)
	return h, verdict
}

// Close gives back what a holder holds. A holder that is closed already stays so.
func (l *Ledger) Close(h *Holder) {
	if !h.open {
		return
	}
	l.Shrink(h, 0, time.Time{})
	l.dequeue(h)
	h.open = false
	l.connections--
	l.bytes -= ConnectionBytes
}

// Enter records that a holder comes into a phase.
func (l *Ledger) Enter(h *Holder, phase Phase, now time.Time) {
	if !h.open {
		return
	}
	l.dequeue(h)
	h.phase, h.service = phase, ""
	l.enqueue(h, now)
}

// Serve decides whether a service may serve one more request, and records that it does.
func (l *Ledger) Serve(h *Holder, service string, now time.Time) bool {
	if !h.open || float64(l.serving[service]) >= ServiceShare*float64(l.cfg.Connections) {
		return false
	}
	l.dequeue(h)
	h.phase, h.service = Serving, service
	l.enqueue(h, now)
	return true
}

// Grow decides whether a holder may hold n more bytes.
func (l *Ledger) Grow(h *Holder, n int64, now time.Time) Verdict {
	var verdict Verdict
	if !h.open {
		return verdict
	}
	for !l.fits(h, n) {
		other := l.evictForGrowth(h, n, now)
		if other == nil {
			return verdict
		}
		verdict.Evicted = append(verdict.Evicted, other)
		l.Close(other)
	}
	verdict.Granted = true
	l.resize(h, h.bytes+n, now)
	return verdict
}

// Shrink sets what a holder holds to a smaller number of bytes.
func (l *Ledger) Shrink(h *Holder, bytes int64, now time.Time) {
	if h.open && bytes < h.bytes {
		l.resize(h, bytes, now)
	}
}

// fits reports whether a holder can hold n more bytes beside what the others hold.
func (l *Ledger) fits(h *Holder, n int64) bool {
	return l.bytes+n <= l.cfg.Bytes && l.fitsLarge(h, n)
}

// fitsLarge reports whether the large requests leave room for small ones.
func (l *Ledger) fitsLarge(h *Holder, n int64) bool {
	if h.bytes+n <= SmallBytes {
		return true
	}
	others, sum := l.large, l.largeBytes+n
	if h.large() {
		others--
	} else {
		sum += h.bytes
	}
	if others == 0 {
		return sum <= l.cfg.MaxBytes()
	}
	return float64(sum) <= largeShare*float64(l.cfg.Bytes)
}

// evictForGrowth returns which holder to evict for one that wants n more bytes, or nil if there is none.
func (l *Ledger) evictForGrowth(h *Holder, n int64, now time.Time) *Holder {
	switch {
	case h.bytes+n <= SmallBytes:
		return l.evictForSmall(h, now)
	case l.fitsLarge(h, n):
		return l.evictForLarge(h, now)
	default:
		return l.evictAmongLarge(h, now)
	}
}

// evictForSmall returns which holder to evict for a connection or a small request: long bodies before short ones.
func (l *Ledger) evictForSmall(h *Holder, now time.Time) *Holder {
	if other := l.evictUnserved(h, now); other != nil {
		return other
	}
	if other := l.longest(Reading, true, h, 0, now); other != nil {
		return other
	}
	if other := l.longest(Reading, false, h, patience, now); other != nil {
		return other
	}
	if other := l.longest(Answering, false, h, patience, now); other != nil {
		return other
	}
	return l.evictKept(h, now)
}

// evictForLarge returns which holder to evict for a large request.
func (l *Ledger) evictForLarge(h *Holder, now time.Time) *Holder {
	if other := l.evictUnserved(h, now); other != nil {
		return other
	}
	if other := l.longest(Reading, true, h, patience, now); other != nil {
		return other
	}
	return l.evictKept(h, now)
}

// evictAmongLarge returns which other large request to evict for a large one.
func (l *Ledger) evictAmongLarge(h *Holder, now time.Time) *Holder {
	if other := l.longest(Answering, true, h, patience, now); other != nil {
		return other
	}
	return l.longest(Reading, true, h, patience, now)
}

// evictUnserved returns the holder to evict before all others.
func (l *Ledger) evictUnserved(h *Holder, now time.Time) *Holder {
	for _, large := range []bool{true, false} {
		if other := l.longest(Ending, large, h, 0, now); other != nil {
			return other
		}
	}
	for _, large := range []bool{true, false} {
		if other := l.longest(Waiting, large, h, freshTime, now); other != nil {
			return other
		}
	}
	return l.longest(Answering, true, h, patience, now)
}

// evictKept returns the connection that has been kept longest. While more connections are about to be evicted, as they never
// had a request answered, the newcomer is refused instead.
func (l *Ledger) evictKept(h *Holder, now time.Time) *Holder {
	if l.count(Waiting)+l.count(Reading) >= l.count(Kept) {
		return nil
	}
	return l.longest(Kept, false, h, 0, now)
}

// count returns the number of holders in a phase.
func (l *Ledger) count(phase Phase) int {
	return l.queues[phase].small.Len() + l.queues[phase].large.Len()
}

// longest returns the holder that has been in a phase longest, and for at least minTime, other than h.
func (l *Ledger) longest(phase Phase, large bool, h *Holder, minTime time.Duration, now time.Time) *Holder {
	queue := l.queues[phase].small
	if large {
		queue = l.queues[phase].large
	}
	for e := queue.Front(); e != nil; e = e.Next() {
		other := e.Value.(*Holder)
		if other == h {
			continue
		}
		if now.Sub(other.since) < minTime {
			return nil
		}
		return other
	}
	return nil
}

// resize sets what a holder holds. One that becomes large, or small, goes to the end of its new queue.
func (l *Ledger) resize(h *Holder, bytes int64, now time.Time) {
	wasLarge := h.large()
	if wasLarge {
		l.largeBytes -= h.bytes
		l.large--
	}
	l.bytes += bytes - h.bytes
	if wasLarge != (bytes > SmallBytes) {
		l.dequeue(h)
		h.bytes = bytes
		l.enqueue(h, now)
	}
	h.bytes = bytes
	if h.large() {
		l.largeBytes += h.bytes
		l.large++
	}
}

func (l *Ledger) enqueue(h *Holder, now time.Time) {
	h.since = now
	queue := l.queues[h.phase].small
	if h.large() {
		queue = l.queues[h.phase].large
	}
	h.element = queue.PushBack(h)
	if h.phase == Serving {
		l.serving[h.service]++
	}
}

func (l *Ledger) dequeue(h *Holder) {
	queue := l.queues[h.phase].small
	if h.large() {
		queue = l.queues[h.phase].large
	}
	queue.Remove(h.element)
	if h.phase != Serving {
		return
	}
	if l.serving[h.service]--; l.serving[h.service] == 0 {
		delete(l.serving, h.service)
	}
}
