package forwarder

import (
	"fmt"
	"testing"
	"time"

	"geraniumline/carrier"
)

// countingSender adds up the encoded sizes of the messages that are sent.
type countingSender struct{ bytes, frames int }

func (c *countingSender) Send(_ string, m carrier.Message) {
	data, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	c.bytes += len(data)
	c.frames++
}

// BenchmarkHeartbeat measures one heartbeat round of an entry: its time, and the bytes that it sends to all others.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 20, 80} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMesh(b, n)
			f := m.nodes["entry-0"]
			c := &countingSender{}
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
