package experimenter

import (
	"container/heap"
	"time"
)

// origin is the virtual time at which each run starts.
var origin = time.Unix(0, 0).UTC()

// clock is a virtual clock. It runs events in the order of their times, and events of the same time in the order in which they
// were scheduled.
type clock struct {
	now    time.Time
	events eventHeap
	// scheduled is the number of events scheduled so far.
	scheduled int
}

type event struct {
	at     time.Time
	order  int
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1].action = nil
	*h = old[:len(old)-1]
	return last
}

// schedule runs action after d; a negative d counts as 0.
func (c *clock) schedule(d time.Duration, action func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), order: c.scheduled, action: action})
}

// runUntil runs the events up to and including end, and sets the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
	c.now = end
}
