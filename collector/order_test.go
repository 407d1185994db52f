package collector

import (
	"fmt"
	"testing"
	"time"

	"geraniumline/registrar"
)

// BenchmarkOrdered measures the sorting of a surge's backlog.
func BenchmarkOrdered(b *testing.B) {
	p := New(Config{Stage: defaultStage()})
	p.Reduce(EndpointsChanged{Endpoints: []registrar.Endpoint{}}, start)
	for i := range 500 {
		g := Group{
			ID:       GroupID{Origin: "a", Request: fmt.Sprint(i)},
			Segments: []int{0, 1, 2},
			Due:      start.Add(time.Duration(i%97) * 20 * time.Millisecond),
			Deadline: start.Add(time.Minute),
			Priority: i % 3,
			Account:  fmt.Sprint(i % 5),
		}
		p.Reduce(GroupArrived{Group: g}, start)
	}
	for b.Loop() {
		p.orderedGroups(start)
	}
}
