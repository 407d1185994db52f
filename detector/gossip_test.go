package detector

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// regionMesh starts n entries in three zones with the timeouts of a system too large for a full mesh.
func regionMesh(n int) *mesh {
	cfg := testConfig()
	cfg.SuspectAfter, cfg.DeadAfter, cfg.ForgetAfter = 15*time.Second, 30*time.Second, 10*time.Minute
	cfg.MaxFullMesh = 32
	cfg.HeartbeatInterval = time.Second
	m := newMesh(n, 7, cfg)
	m.heartbeatInterval, m.stepInterval = time.Second, 50*time.Millisecond
	for _, x := range m.nodes {
		x.nextHeartbeat = m.now.Add(time.Duration(m.rnd.Int64N(int64(m.heartbeatInterval))))
	}
	return m
}

// gossipCost runs the mesh for d and returns the bytes per second sent by each entry and the longest silence that any
// entry saw of another.
func (m *mesh) gossipCost(d time.Duration) (rate float64, longest time.Duration) {
	sent := 0
	m.sent = &sent
	m.run(d, func() { longest = max(longest, m.longestSilence()) })
	m.sent = nil
	return float64(sent) / float64(len(m.nodes)) / d.Seconds(), longest
}

// A region has far more entries than one entry can send heartbeats to, so steps spread by gossip. No live entry may
// be suspected, and a lost one must disappear from all address answers, even if it is the seed through which all
// others joined.
func TestRegionSpreadsStepsByGossip(t *testing.T) {
	m := regionMesh(90)
	m.run(time.Minute)
	require.True(t, m.converged(), "all entries must find each other through two seeds")
	convergedAt := m.elapsed()
	rate, longest := m.gossipCost(time.Minute)
	require.Zero(t, m.count(Suspect, convergedAt))
	require.Zero(t, m.count(Dead, convergedAt))

	var took []time.Duration
	for _, victim := range []int{0, 3, 10, 17, 24, 31} {
		m.kill(victim)
		took = append(took, m.handedOutFor(victim, 25*time.Second))
	}
	slices.Sort(took)
	m.run(30 * time.Second)
	t.Logf("90 entries, 3 zones: %.0f B/s sent by each, longest silence of a live entry %v, lost entries handed out for p50 %v, worst %v",
		rate, longest, took[3], took[5])
	require.True(t, m.converged())
	require.Less(t, rate, 4000.0)
	require.LessOrEqual(t, took[5], 17*time.Second)
}

// handedOutFor runs the mesh for d and returns for how long the victim was still handed out to callers.
func (m *mesh) handedOutFor(victim int, d time.Duration) time.Duration {
	lostAt := m.now
	var last time.Duration
	m.run(d, func() {
		if m.handsOut(victim) {
			last = m.now.Sub(lostAt)
		}
	})
	return last
}

// BenchmarkRegion reports the gossip cost of regions of several sizes; its time per run is meaningless.
func BenchmarkRegion(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(strconv.Itoa(n)+" entries", func(b *testing.B) {
			for b.Loop() {
				m := regionMesh(n)
				m.run(time.Minute)
				rate, longest := m.gossipCost(time.Minute)
				b.ReportMetric(rate, "B/s")
				b.ReportMetric(longest.Seconds(), "oldest-s")
			}
		})
	}
}

// longestSilence returns the longest silence that any entry currently sees of another.
func (m *mesh) longestSilence() time.Duration {
	var out time.Duration
	for _, x := range m.nodes {
		for _, r := range x.d.sorted {
			out = max(out, m.now.Sub(r.member.LastHeard))
		}
	}
	return out
}

// A switch failure isolates an availability zone for two minutes. Both sides keep serving with their own entries and
// must then find each other again.
func TestRegionRejoinsAfterZonePartition(t *testing.T) {
	m := regionMesh(60)
	m.run(time.Minute)
	m.cutZone(2)
	m.run(2 * time.Minute)
	require.Equal(t, Dead, m.state(0, 2))
	require.Equal(t, Live, m.state(5, 2))
	m.heal()
	m.run(time.Minute)
	require.True(t, m.converged())
}
