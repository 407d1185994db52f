package collector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBacklog measures the arrival and withdrawal of one group while others wait.
func BenchmarkBacklog(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newSimulation(defaultStage(), 3)
			newGroup := func(name string) Group {
				return Group{
					ID:       GroupID{Origin: "entry", Request: name},
					Segments: []int{0, 1, 2, 3, 4, 5},
					Due:      start.Add(time.Hour),
					Deadline: start.Add(2 * time.Hour),
				}
			}
			for i := range n + 3 {
				w.pool.Reduce(GroupArrived{Group: newGroup(fmt.Sprint(i))}, start)
			}
			g := newGroup("one more")
			for b.Loop() {
				w.pool.Reduce(GroupArrived{Group: g}, start)
				w.pool.Reduce(GroupWithdrawn{ID: g.ID}, start)
			}
		})
	}
}
