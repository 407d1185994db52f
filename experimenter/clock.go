package experimenter

import (
	"container/heap"
	"time"
)

// origin is when each run begins in model time.
var origin = time.Unix(0, 0).UTC()

// clock runs what is planned in the order of its times, and of planning where those are equal.
type clock struct {
	now  time.Time
	todo agenda
	n    int
}

type planned struct {
	at    time.Time
	order int
	do    func()
}

type agenda []planned

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(planned)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1].do = nil
	*a = old[:len(old)-1]
	return last
}

// after plans something.
func (c *clock) after(d time.Duration, do func()) {
	c.n++
	heap.Push(&c.todo, planned{at: c.now.Add(max(d, 0)), order: c.n, do: do})
}

// run carries out what is planned up to a time.
func (c *clock) run(until time.Time) {
	for len(c.todo) > 0 && !c.todo[0].at.After(until) {
		next := heap.Pop(&c.todo).(planned)
		c.now = next.at
		next.do()
	}
	c.now = until
}
