package forwarder

import (
	"fmt"
	"testing"
	"time"

	"geraniumline/carrier"
)

// counting takes messages and adds up their sizes on the wire.
type counting struct{ bytes, frames int }

func (c *counting) Send(_ string, m carrier.Message) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	c.bytes += len(data)
	c.frames++
}

// BenchmarkHeartbeat is one round of what an entry tells all others: its time, and the bytes that it sends.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 20, 80} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMesh(b, n)
			f := m.nodes["entry-0"]
			c := &counting{}
			f.SetSender(c)
			now := time.Now()
			for b.Loop() {
				f.heartbeat(now)
			}
			b.ReportMetric(float64(c.bytes)/float64(b.N), "bytes/round")
			b.ReportMetric(float64(c.frames)/float64(b.N), "frames/round")
		})
	}
}
