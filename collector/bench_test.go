package collector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBacklog is the ask of one group, and its withdrawal, while others wait.
func BenchmarkBacklog(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(usualStage(), 3)
			ask := func(name string) Group {
				return Group{
					ID:       GroupID{Origin: "entry", Request: name},
					Segments: []int{0, 1, 2, 3, 4, 5},
					Due:      start.Add(time.Hour),
					Deadline: start.Add(2 * time.Hour),
				}
			}
			for i := range n + 3 {
				w.pool.Reduce(GroupArrived{Group: ask(fmt.Sprint(i))}, start)
			}
			g := ask("one more")
			for b.Loop() {
				w.pool.Reduce(GroupArrived{Group: g}, start)
				w.pool.Reduce(GroupWithdrawn{ID: g.ID}, start)
			}
		})
	}
}
