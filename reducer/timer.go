package reducer

import (
	"container/heap"
	"time"
)

// timerKind says what is due.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerClaim
	timerStage
	timerAsk
	timerChange
)

// timer names what is due, and for whom. A timer whose subject has gone on is ignored when it is due,
// so that none has to be taken out of the heap.
type timer struct {
	at      time.Time
	kind    timerKind
	call    CallID
	subject uint64
	name    string
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is for container/heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

func (c *Core) schedule(t timer) {
	heap.Push(&c.timers, t)
}

// runTimers handles all that is due.
func (c *Core) runTimers(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		t := heap.Pop(&c.timers).(timer)
		switch t.kind {
		case timerDeadline:
			c.passDeadline(t.subject, now)
		case timerClaim:
			c.passClaimTimeout(t.subject, now)
		case timerStage:
			c.passStageTimeout(t.call, now)
		case timerAsk:
			c.passAskTimeout(t.subject, now)
		case timerChange:
			c.passChangeTimeout(t.name, now)
		}
	}
}
