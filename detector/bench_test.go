package detector

import (
	"strconv"
	"testing"
	"time"

	"geraniumline/carrier"
)

// benchMesh returns a detector that knows n-1 others with names and addresses of realistic length, and one of the
// others.
func benchMesh(n int) (d, other *Detector, now time.Time) {
	now = time.Unix(1_700_000_000, 0)
	detectors := make([]*Detector, n)
	for i := range detectors {
		cfg := testConfig()
		host := "10.20." + strconv.Itoa(i/200) + "." + strconv.Itoa(20+i%200)
		cfg.Self = carrier.Member{
			Name: "entry-" + strconv.Itoa(1000+i), Zone: "zone-" + strconv.Itoa(i%3),
			CallerAddress: host + ":7001", PeerAddress: host + ":7003",
			Incarnation: uint64(now.UnixNano()), ConfigOffset: 100_000, InFlight: 100,
		}
		detectors[i] = New(cfg)
		detectors[i].self.Sequence = 100_000
		detectors[i].Tick(now)
	}
	d, other = detectors[0], detectors[1]
	for _, x := range detectors[1:] {
		hb := &carrier.Heartbeat{From: x.Self()}
		d.Receive(hb, now)
		other.Receive(hb, now)
	}
	return d, other, now
}

// steadyStateHeartbeat skips the heartbeats that describe all members in full.
func steadyStateHeartbeat(d *Detector, now time.Time) *carrier.Heartbeat {
	for range announcements + 1 {
		d.Heartbeat(now)
	}
	return d.Heartbeat(now)
}

var benchSizes = []int{7, 50, 200}

// BenchmarkHeartbeat builds and encodes one heartbeat, and reports its size.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range benchSizes {
		d, _, now := benchMesh(n)
		steadyStateHeartbeat(d, now)
		b.Run(strconv.Itoa(n)+" members", func(b *testing.B) {
			b.ReportAllocs()
			var buf []byte
			for b.Loop() {
				buf, _ = d.Heartbeat(now).MarshalMsg(buf[:0])
			}
			b.ReportMetric(float64(len(buf)), "B/heartbeat")
		})
	}
}

// BenchmarkReceive decodes and processes one heartbeat in which every member has advanced a step.
func BenchmarkReceive(b *testing.B) {
	for _, n := range benchSizes {
		d, other, now := benchMesh(n)
		hb := steadyStateHeartbeat(other, now)
		b.Run(strconv.Itoa(n)+" members", func(b *testing.B) {
			b.ReportAllocs()
			var got carrier.Heartbeat
			var buf []byte
			for b.Loop() {
				b.StopTimer()
				hb.From.Sequence++
				for i := range hb.Members {
					hb.Members[i].Sequence++
				}
				for i := range hb.Pulses {
					hb.Pulses[i].Sequence++
				}
				buf, _ = hb.MarshalMsg(buf[:0])
				b.StartTimer()
				_, _ = got.UnmarshalMsg(buf)
				d.Receive(&got, now)
			}
		})
	}
}

// BenchmarkTick re-evaluates all members once and selects targets.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		d, _, now := benchMesh(n)
		b.Run(strconv.Itoa(n)+" members", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Tick(now)
				d.Targets(now)
			}
		})
	}
}
