package forwarder

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/detector"
	"geraniumline/locator"
	"geraniumline/registrar"
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

// BenchmarkDutyOwner finds the owner of a duty among the entries of a large fleet after a change of its members.
func BenchmarkDutyOwner(b *testing.B) {
	for _, n := range []int{7, 300, 1000} {
		f := New(Config{Name: "entry", Log: zap.NewNop(), Client: connector.New(connector.Config{})}, time.Now())
		now := time.Now()
		for i := range n - 1 {
			name := fmt.Sprintf("entry-%d", i)
			f.detector.Receive(&carrier.Heartbeat{From: carrier.Member{Name: name, Zone: "z", PeerAddress: name, Incarnation: 1, Sequence: 1, State: uint8(detector.Live)}}, now)
		}
		b.Run(fmt.Sprintf("%d entries", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.duties.reset()
				f.owner(endpointsDuty, nil)
			}
		})
	}
}

// BenchmarkEndpointChange applies the change of one of many endpoints.
func BenchmarkEndpointChange(b *testing.B) {
	for _, n := range []int{20, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMesh(b, 2)
			f := m.nodes["entry-0"]
			f.SetSender(&countingSender{})
			all := endpointList(n)
			f.ReplaceEndpoints(all, locator.At(0, int64(n)), m.now)
			b.ReportAllocs()
			at := int64(n)
			for b.Loop() {
				e := *all[0].Endpoint
				e.Draining = at%2 == 0
				c := registrar.Change{ID: e.ID, Position: locator.At(0, at), Sequence: at, Endpoint: &e}
				f.ApplyEndpoints([]registrar.Change{c}, locator.At(0, at), locator.At(0, at+1), m.now)
				at++
			}
		})
	}
}
