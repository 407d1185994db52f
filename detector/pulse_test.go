package detector

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

// twins gives two names whose first processes have the same pulse id.
func twins(t *testing.T) (string, string) {
	names := make(map[uint32]string)
	for i := range 1_000_000 {
		name := "entry-" + strconv.Itoa(i)
		id := pulseID(name, 1)
		if other, ok := names[id]; ok {
			return other, name
		}
		names[id] = name
	}
	require.FailNow(t, "no two names with the same pulse id")
	return "", ""
}

// Two entries have the same pulse id by chance; one dies. Were the other's pulses taken for both, the dead one would
// stay in callers' answers for as long as its twin lives.
func TestTwinsInPulseIDDoNotKeepEachOtherAlive(t *testing.T) {
	x, y := twins(t)
	for _, names := range [][2]string{{x, y}, {y, x}} {
		lives, dies := names[0], names[1]
		now := time.Unix(1_700_000_000, 0)
		teller, listener := New(testConfig()), New(testConfig())
		teller.self.Name = "teller"
		beat := func(name string, sequence uint64) *carrier.Heartbeat {
			return &carrier.Heartbeat{From: carrier.Member{Name: name, Incarnation: 1, Sequence: sequence, State: uint8(Live)}}
		}
		for step := range uint64(50) {
			now = now.Add(meshHeartbeat)
			if step < 10 {
				teller.Receive(beat(dies, step+1), now)
			}
			teller.Receive(beat(lives, step+1), now)
			teller.Tick(now)
			listener.Tick(now)
			listener.Receive(teller.Heartbeat(now), now)
		}
		member, _ := listener.Member(lives)
		require.Equal(t, Live, member.State)
		member, _ = listener.Member(dies)
		require.Equal(t, Dead, member.State)
	}
}
