package detector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fleetBeat    = 150 * time.Millisecond
	fleetSuspect = 1200 * time.Millisecond
	fleetDead    = 2500 * time.Millisecond
)

// fleet starts n entries of three zones that hear each other every 150 ms, as those that forward requests do.
func fleet(n int) *mesh {
	cfg := testConfig()
	cfg.SuspectAfter, cfg.DeadAfter = 700*time.Millisecond, 2*time.Second
	cfg.GossipSuspectAfter, cfg.GossipDeadAfter = fleetSuspect, fleetDead
	cfg.ProbeInterval = 2 * fleetBeat
	cfg.HeartbeatInterval = fleetBeat
	cfg.MaxFullMesh = 64
	m := newMesh(n, 11, cfg)
	m.every, m.each = fleetBeat, 30*time.Millisecond
	for _, x := range m.nodes {
		x.nextBeat = m.now.Add(time.Duration(m.rnd.Int64N(int64(m.every))))
	}
	return m
}

// 195 entries all live, and a tenth of what they send is lost. An entry that doubts a live one believes that its duties
// have fallen to another, and two then do the same: 28 of 44 entries collected for one service, and nine tenths of their
// calls were turned away. So nobody may be doubted, at a cost in bytes that a VM with 10 Mbit/s can bear.
func TestALargeFleetDoubtsNobody(t *testing.T) {
	m := fleet(195)
	m.run(4 * time.Second)
	require.True(t, m.agreed(), "all have found each other within 4 s of a start at once")
	settledAt := m.elapsed()
	m.loss = 0.1
	rate, oldest := m.regionCost(10 * time.Second)
	t.Logf("195 entries: %.0f B/s sent by each, oldest news of a live one %v", rate, oldest)
	require.Zero(t, m.count(Suspect, settledAt))
	require.Zero(t, m.count(Dead, settledAt))
	require.Less(t, rate, 62_500.0, "a twentieth of 10 Mbit/s")
}

// An entry loses power without a word. Callers are given its address until the last entry doubts it: word of it must not
// go round between entries that all have it from each other.
func TestALargeFleetFindsALoss(t *testing.T) {
	m := fleet(195)
	m.run(4 * time.Second)
	m.kill(7)
	took := m.timeGiven(7, 4*time.Second)
	t.Logf("195 entries: handed out for %v after the loss", took)
	require.Less(t, took, fleetSuspect+2*fleetBeat)
	require.True(t, m.agreed())
}

// A switch cuts off an availability zone for six seconds. Both sides serve on; when it is mended all must be found again
// soon, though each entry tries only a few of those that it takes for dead.
func TestALargeFleetFindsAZoneAgain(t *testing.T) {
	m := fleet(195)
	m.run(4 * time.Second)
	m.cutZone(2)
	m.run(6 * time.Second)
	require.Equal(t, Dead, m.state(0, 2))
	require.Equal(t, Live, m.state(5, 2))
	m.heal()
	m.run(3 * time.Second)
	require.True(t, m.agreed())
}
