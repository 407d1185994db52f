package reducer

import (
	"time"
)

// timerKind is the kind of action that a timer triggers.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerClaim
	timerStage
	timerQuery
	timerChange
)

// timer is an action that is due at a time, and its subject. A timer whose subject has ended or progressed is ignored
// when it is due, so that timers never have to be removed from the heap.
type timer struct {
	at      time.Time
	kind    timerKind
	call    CallID
	subject uint64
	name    string
}

// timerHeap is a binary heap with the earliest timer first. It does not use container/heap, which would
// allocate for each timer passed through its interface.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	*h = append(*h, t)
	s := *h
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !t.at.Before(s[parent].at) {
			break
		}
		s[i] = s[parent]
		i = parent
	}
	s[i] = t
}

func (h *timerHeap) pop() timer {
	s := *h
	first := s[0]
	last := len(s) - 1
	moved := s[last]
	s[last] = timer{}
	*h = s[:last]
	if last > 0 {
		h.siftDown(moved)
	}
	return first
}

// siftDown puts a timer at the root of the heap and moves it down to its position.
func (h *timerHeap) siftDown(t timer) {
	s := *h
	i := 0
	for {
		child := 2*i + 1
		if child >= len(s) {
			break
		}
		if right := child + 1; right < len(s) && s[right].at.Before(s[child].at) {
			child = right
		}
		if !s[child].at.Before(t.at) {
			break
		}
		s[i] = s[child]
		i = child
	}
	s[i] = t
}

func (c *Core) schedule(t timer) {
	c.timers.push(t)
}

// runTimers runs all timers that are due.
func (c *Core) runTimers(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		t := c.timers.pop()
		switch t.kind {
		case timerDeadline:
			c.handleDeadline(t.subject, now)
		case timerClaim:
			c.handleClaimTimeout(t.subject, now)
		case timerStage:
			c.handleCallTimer(t.call, now)
		case timerQuery:
			c.handleQueryTimeout(t.subject, now)
		case timerChange:
			c.handleChangeTimeout(t.name, now)
		}
	}
}
