package detector

import (
	"strconv"
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
func fleetMesh(n int) *mesh { return fleetMeshInZones(n, 3) }

// fleetMeshInZones is fleetMesh with the given number of zones.
func fleetMeshInZones(n, zones int) *mesh {
	cfg := testConfig()
	cfg.SuspectAfter, cfg.DeadAfter = 700*time.Millisecond, 2*time.Second
	cfg.GossipSuspectAfter, cfg.GossipDeadAfter = fleetSuspect, fleetDead
	cfg.ProbeInterval = 2 * fleetHeartbeat
	cfg.HeartbeatInterval = fleetHeartbeat
	cfg.MaxFullMesh = 64
	m := newMeshInZones(n, zones, 11, cfg)
	m.heartbeatInterval, m.stepInterval = fleetHeartbeat, 30*time.Millisecond
	for _, x := range m.nodes {
		x.nextHeartbeat = m.now.Add(time.Duration(m.rnd.Int64N(int64(m.heartbeatInterval))))
	}
	return m
}

const (
	// smallVMLink is the bandwidth in bytes per second of the smallest VMs of a large fleet: 20 Mbit/s.
	smallVMLink = 2_500_000
	// maxPartners is the largest number of connections to peers that leaves nine tenths of the smallest VM's 4,100
	// descriptors to callers and endpoints, half of them opened by peers.
	maxPartners = 4100 / 10 / 2
)

// Guards against entries that connect to every member of a starting fleet and send whole member lists to each of them:
// the seeds' links filled, and memory grew with the square of the number of entries.
func TestAFleetStartsOnSmallVMs(t *testing.T) {
	m := fleetMeshInZones(300, 2)
	total := 0
	m.sent = &total
	m.run(4 * time.Second)
	require.True(t, m.converged(), "all entries must find each other within 4 s of a simultaneous start")
	most, partners := m.mostSent(0)
	t.Logf("300 entries: %d bytes sent in all, %d by the busiest entry, to at most %d peers", total, most, partners)
	require.Less(t, most, smallVMLink*4/4, "a quarter of a small VM's link over 4 s")

	before := m.now
	for _, x := range m.nodes {
		x.bytesSent = 0
	}
	m.run(2 * time.Second)
	most, partners = m.mostSent(m.now.Sub(before))
	t.Logf("300 entries: then %d bytes a second by the busiest entry, to at most %d peers", most/2, partners)
	require.Less(t, most/2, smallVMLink/4)
	require.LessOrEqual(t, partners, maxPartners)
}

// mostSent returns the bytes of the entry that has sent the most, and the largest number of peers that an entry has
// sent to within the given time, or ever if it is 0.
func (m *mesh) mostSent(within time.Duration) (bytes, peers int) {
	for _, x := range m.nodes {
		bytes = max(bytes, x.bytesSent)
		n := 0
		for _, at := range x.lastSent {
			if within == 0 || m.now.Sub(at) <= within {
				n++
			}
		}
		peers = max(peers, n)
	}
	return bytes, peers
}

// Guards against false suspicion in zones so large that a step takes more rounds to spread, while a tenth of all
// messages is lost, and against callers that are sent to a lost entry for long.
func TestALargeZoneDoubtsNobodyAndFindsALoss(t *testing.T) {
	m := fleetMeshInZones(300, 2)
	m.run(4 * time.Second)
	require.True(t, m.converged())
	convergedAt := m.elapsed()
	m.loss = 0.1
	rate, longest := m.gossipCost(3 * time.Second)
	t.Logf("300 entries: %.0f B/s sent by each, longest silence of a live entry %v", rate, longest)
	require.Zero(t, m.count(Suspect, convergedAt))
	require.Zero(t, m.count(Dead, convergedAt))
	m.loss = 0
	m.kill(7)
	took := m.handedOutFor(7, 3*time.Second)
	t.Logf("300 entries: handed out for %v after the loss", took)
	require.Less(t, took, 2*time.Second)
	require.True(t, m.converged())
}

// BenchmarkFleet reports what the exchange of members costs each entry of a fleet in five zones, by size; its time per
// run is meaningless.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(strconv.Itoa(n)+" entries", func(b *testing.B) {
			for b.Loop() {
				m := fleetMeshInZones(n, 5)
				m.discardTransitions = true
				total := 0
				m.sent = &total
				for !m.converged() {
					m.run(100 * time.Millisecond)
				}
				most, _ := m.mostSent(0)
				b.ReportMetric(m.elapsed().Seconds(), "start-s")
				b.ReportMetric(float64(total)/float64(n), "start-B")
				b.ReportMetric(float64(most), "start-most-B")
				m.run(time.Second)
				before := m.now
				rate, longest := m.gossipCost(2 * time.Second)
				_, partners := m.mostSent(m.now.Sub(before))
				b.ReportMetric(rate, "B/s")
				b.ReportMetric(float64(partners), "peers")
				b.ReportMetric(longest.Seconds(), "oldest-s")
			}
		})
	}
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
