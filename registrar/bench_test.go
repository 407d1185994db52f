package registrar

import (
	"fmt"
	"testing"
)

// BenchmarkTick is one look for endpoints whose removal is no longer in doubt, a hundred times a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(Config{})
			r.Heard(start)
			for i := range n {
				r.Apply([]Change{put(fmt.Sprint(i), int64(i), nil)}, pos(int64(i)+1), start)
			}
			for b.Loop() {
				r.Tick(start)
			}
		})
	}
}
