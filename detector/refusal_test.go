package detector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

// An entry is killed. Its address then refuses connections, which doesn't happen in a network partition or a freeze,
// so its peers need not wait for DeadAfter to inform callers that wait for its requests and to release its share of
// the limits. A refusal alone is not enough: a firewall between two entries may cause it while all others still hear
// the entry.
func TestRefusedConnection(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const address = "10.0.0.2:1"
	report := func(incarnation, sequence uint64) carrier.Member {
		return carrier.Member{Name: "b", PeerAddress: address, Incarnation: incarnation, Sequence: sequence, State: uint8(Live)}
	}
	third := func(sequence uint64, members ...carrier.Member) *carrier.Heartbeat {
		from := carrier.Member{Name: "c", PeerAddress: "10.0.0.3:1", Incarnation: 1, Sequence: sequence, State: uint8(Live)}
		return &carrier.Heartbeat{From: from, Sequence: sequence, Members: members}
	}
	type steps map[time.Duration]func(d *Detector, now time.Time)
	const early, late, end, tick = 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 50 * time.Millisecond
	refuse := func(address string) func(*Detector, time.Time) {
		return func(d *Detector, now time.Time) { d.ConnectionRefused(address, now) }
	}
	hear := func(hb *carrier.Heartbeat) func(*Detector, time.Time) {
		return func(d *Detector, now time.Time) { d.Receive(hb, now) }
	}
	for _, s := range []struct {
		testName string
		steps    steps
		want     State
		refused  bool
	}{
		{"refused and silent", steps{early: refuse(address)}, Dead, true},
		{"silent for as long, not refused", steps{}, Live, false},
		{"another address refuses", steps{early: refuse("10.0.0.3:1")}, Live, false},
		{"refused, but a third entry hears it", steps{early: refuse(address), late: hear(third(2, report(1, 2)))}, Live, false},
		{"refused, and back as a new process", steps{early: refuse(address), late: hear(&carrier.Heartbeat{From: report(2, 1), Sequence: 1})}, Live, false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			d := New(Config{Self: carrier.Member{Name: "a", PeerAddress: "10.0.0.1:1", Incarnation: 1}, SuspectAfter: time.Second, DeadAfter: 3 * time.Second, ForgetAfter: time.Hour})
			d.Receive(third(1), start)
			d.Receive(&carrier.Heartbeat{From: report(1, 1), Sequence: 1}, start)
			refused := false
			for t := tick; t <= end; t += tick {
				if step, due := s.steps[t]; due {
					step(d, start.Add(t))
				}
				for _, transition := range d.Tick(start.Add(t)) {
					refused = refused || transition.Member.Name == "b" && transition.ConnectionRefused
				}
			}
			member, _ := d.Member("b")
			require.Equal(t, s.want, member.State)
			require.Equal(t, s.refused, refused)
		})
	}
}
