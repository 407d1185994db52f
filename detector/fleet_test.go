package detector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fleetHeartbeat = 150 * time.Millisecond
	fleetSuspect   = 1200 * time.Millisecond
	fleetDead      = 2500 * time.Millisecond
)

// fleetMesh starts n entries in three zones that exchange heartbeats every 150 ms, like the entries that forward
// requests.
func fleetMesh(n int) *mesh {
	cfg := testConfig()
	cfg.SuspectAfter, cfg.DeadAfter = 700*time.Millisecond, 2*time.Second
	cfg.GossipSuspectAfter, cfg.GossipDeadAfter = fleetSuspect, fleetDead
	cfg.ProbeInterval = 2 * fleetHeartbeat
	cfg.HeartbeatInterval = fleetHeartbeat
	cfg.MaxFullMesh = 64
	m := newMesh(n, 11, cfg)
	m.heartbeatInterval, m.stepInterval = fleetHeartbeat, 30*time.Millisecond
	for _, x := range m.nodes {
		x.nextHeartbeat = m.now.Add(time.Duration(m.rnd.Int64N(int64(m.heartbeatInterval))))
	}
	return m
}

// Guards against false suspicion in a fleet of 195 live entries in which a tenth of all messages is lost, at a
// bandwidth that a VM with 10 Mbit/s can afford. An entry that suspects a live one believes that its duties have
// moved to another entry, and two then perform the same duty: 28 of 44 entries collected for one service, and nine
// tenths of their calls were refused.
func TestALargeFleetDoubtsNobody(t *testing.T) {
	m := fleetMesh(195)
	m.run(4 * time.Second)
	require.True(t, m.converged(), "all entries must find each other within 4 s of a simultaneous start")
	convergedAt := m.elapsed()
	m.loss = 0.1
	rate, longest := m.gossipCost(10 * time.Second)
	t.Logf("195 entries: %.0f B/s sent by each, longest silence of a live entry %v", rate, longest)
	require.Zero(t, m.count(Suspect, convergedAt))
	require.Zero(t, m.count(Dead, convergedAt))
	require.Less(t, rate, 62_500.0, "a twentieth of 10 Mbit/s")
}

// An entry loses power. Callers are given its address until the last entry suspects it, so stale reports of it must
// not circulate among entries that have them only from each other.
func TestALargeFleetFindsALoss(t *testing.T) {
	m := fleetMesh(195)
	m.run(4 * time.Second)
	m.kill(7)
	took := m.handedOutFor(7, 4*time.Second)
	t.Logf("195 entries: handed out for %v after the loss", took)
	require.Less(t, took, fleetSuspect+2*fleetHeartbeat)
	require.True(t, m.converged())
}

// A switch failure isolates an availability zone for six seconds. Both sides keep serving. After the repair all
// entries must be rediscovered quickly, although each probes only a few of those it considers dead.
func TestALargeFleetFindsAZoneAgain(t *testing.T) {
	m := fleetMesh(195)
	m.run(4 * time.Second)
	m.cutZone(2)
	m.run(6 * time.Second)
	require.Equal(t, Dead, m.state(0, 2))
	require.Equal(t, Live, m.state(5, 2))
	m.heal()
	m.run(3 * time.Second)
	require.True(t, m.converged())
}
