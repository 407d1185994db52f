package detector

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

// collidingNames returns two names whose first processes have the same pulse ID.
func collidingNames(t *testing.T) (string, string) {
	names := make(map[uint32]string)
	for i := range 1_000_000 {
		name := "entry-" + strconv.Itoa(i)
		id := pulseID(name, 1)
		if other, ok := names[id]; ok {
			return other, name
		}
		names[id] = name
	}
	require.FailNow(t, "no two names with the same pulse ID")
	return "", ""
}

// Two entries happen to have the same pulse ID, and one dies. If pulses of the other counted for both, the dead one
// would be handed out to callers for as long as the other lives.
func TestPulseIDCollisionDoesNotKeepDeadMemberAlive(t *testing.T) {
	x, y := collidingNames(t)
	for _, names := range [][2]string{{x, y}, {y, x}} {
		live, dead := names[0], names[1]
		now := time.Unix(1_700_000_000, 0)
		sender, receiver := New(testConfig()), New(testConfig())
		sender.self.Name = "teller"
		heartbeat := func(name string, sequence uint64) *carrier.Heartbeat {
			return &carrier.Heartbeat{From: carrier.Member{Name: name, Incarnation: 1, Sequence: sequence, State: uint8(Live)}}
		}
		for step := range uint64(50) {
			now = now.Add(meshHeartbeat)
			if step < 10 {
				sender.Receive(heartbeat(dead, step+1), now)
			}
			sender.Receive(heartbeat(live, step+1), now)
			sender.Tick(now)
			receiver.Tick(now)
			receiver.Receive(sender.Heartbeat(now), now)
		}
		member, _ := receiver.Member(live)
		require.Equal(t, Live, member.State)
		member, _ = receiver.Member(dead)
		require.Equal(t, Dead, member.State)
	}
}
