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
	now       time.Time
	events    eventHeap
	scheduled int
}

type event struct {
	at     time.Time
	order  int
	action func()
}

type eventHeap []event

func (a eventHeap) Len() int { return len(a) }
func (a eventHeap) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1].action = nil
	*a = old[:len(old)-1]
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
