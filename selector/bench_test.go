package selector

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures one choice of an endpoint by predicted work and shared prompt parts.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 90, 900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSelector(n)
			own := uint64(0)
			for b.Loop() {
				own++
				choice, _ := s.Choose(Query{Service: "pool", Parts: prompt(own%40, 1000+own)}, now)
				s.RecordStart(choice, prompt(own%40, 1000+own), now)
				s.RecordCancel(choice)
			}
		})
	}
}
