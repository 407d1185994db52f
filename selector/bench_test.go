package selector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice of an endpoint by predicted time and shared prompt parts.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 90, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSelector(n)
			s.observe("e0", 2, now)
			s.UpdateSpeeds(now.Add(20 * time.Second))
			own := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				own++
				choice, _ := s.Choose(Query{Service: "pool", Parts: prompt(own%40, 1000+own)}, now)
				s.RecordStart(choice, prompt(own%40, 1000+own), now)
				s.RecordCancel(choice)
			}
		})
	}
}
