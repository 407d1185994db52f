package registrar

import (
	"fmt"
	"testing"
)

// BenchmarkTick measures one search for endpoints whose removal is no longer uncertain, which runs a hundred times a
// second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(Config{})
			r.StoreAvailable(start)
			for i := range n {
				r.Apply([]Change{put(fmt.Sprint(i), int64(i), nil)}, pos(int64(i)+1), start)
			}
			for b.Loop() {
				r.Tick(start)
			}
		})
	}
}

// BenchmarkRenewals measures one read in which every endpoint of a large deployment has renewed its registration.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range []int{100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(Config{})
			r.StoreAvailable(start)
			changes := make([]Change, n)
			for i := range changes {
				changes[i] = put(fmt.Sprint(i), int64(i), nil)
			}
			r.Replace(changes, pos(int64(n)), start)
			next := int64(n)
			for b.Loop() {
				for i := range changes {
					changes[i].Position = pos(next)
					next++
				}
				r.Apply(changes, pos(next), start)
			}
		})
	}
}
