package measurer_test

import (
	"container/heap"
	"time"
)

// clock runs events in order of simulated time. It never reads the wall clock, so runs are reproducible.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence int
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock() *clock { return &clock{now: start} }

func (c *clock) at(t time.Time, run func()) {
	c.sequence++
	heap.Push(&c.events, event{t: t, sequence: c.sequence, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every runs an event periodically, for the first time after offset.
func (c *clock) every(offset, period time.Duration, run func()) {
	c.after(offset, func() {
		run()
		c.every(period, period, run)
	})
}

// runTo runs all events that are due up to d after start.
func (c *clock) runTo(d time.Duration) {
	end := start.Add(d)
	for len(c.events) > 0 && !c.events[0].t.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.t
		e.run()
	}
	c.now = end
}

func (c *clock) elapsed() time.Duration { return c.now.Sub(start) }

type event struct {
	t        time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].t.Equal(h[j].t) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].t.Before(h[j].t)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
