package detector

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// region starts n entries of three zones with the times of a system too large for a full mesh.
func region(n int) *mesh {
	cfg := testConfig()
	cfg.SuspectAfter, cfg.DeadAfter, cfg.ForgetAfter = 15*time.Second, 30*time.Second, 10*time.Minute
	cfg.MaxFullMesh = 32
	cfg.HeartbeatInterval = time.Second
	m := newMesh(n, 7, cfg)
	m.every, m.each = time.Second, 50*time.Millisecond
	for _, x := range m.nodes {
		x.nextBeat = m.now.Add(time.Duration(m.rnd.Int64N(int64(m.every))))
	}
	return m
}

// regionCost lets time pass and gives the bytes that each entry sent in a second, and the longest silence that any
// entry saw of another.
func (m *mesh) regionCost(d time.Duration) (rate float64, oldest time.Duration) {
	sent := 0
	m.sent = &sent
	m.run(d, func() { oldest = max(oldest, m.oldest()) })
	m.sent = nil
	return float64(sent) / float64(len(m.nodes)) / d.Seconds(), oldest
}

// A region has far more entries than one can send heartbeats to. Steps spread by gossip: no entry that is alive may be
// doubted, and a lost one must leave all answers; the lost may be the seed that all began with.
func TestRegionSpreadsStepsByGossip(t *testing.T) {
	m := region(90)
	m.run(time.Minute)
	require.True(t, m.agreed(), "all have found each other through two seeds")
	settledAt := m.elapsed()
	rate, oldest := m.regionCost(time.Minute)
	require.Zero(t, m.count(Suspect, settledAt))
	require.Zero(t, m.count(Dead, settledAt))

	var took []time.Duration
	for _, victim := range []int{0, 3, 10, 17, 24, 31} {
		m.kill(victim)
		took = append(took, m.timeGiven(victim, 25*time.Second))
	}
	slices.Sort(took)
	m.run(30 * time.Second)
	t.Logf("90 entries, 3 zones: %.0f B/s sent by each, oldest news of a live one %v, lost ones handed out for p50 %v, worst %v",
		rate, oldest, took[3], took[5])
	require.True(t, m.agreed())
	require.Less(t, rate, 4000.0)
	require.LessOrEqual(t, took[5], 17*time.Second)
}

// timeGiven lets time pass, and gives how much of it the victim was still given to callers.
func (m *mesh) timeGiven(victim int, d time.Duration) time.Duration {
	lostAt := m.now
	var last time.Duration
	m.run(d, func() {
		if m.gives(victim) {
			last = m.now.Sub(lostAt)
		}
	})
	return last
}

// BenchmarkRegion gives what a region of more sizes costs; its time for each run says nothing.
func BenchmarkRegion(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(strconv.Itoa(n)+" entries", func(b *testing.B) {
			for b.Loop() {
				m := region(n)
				m.run(time.Minute)
				rate, oldest := m.regionCost(time.Minute)
				b.ReportMetric(rate, "B/s")
				b.ReportMetric(oldest.Seconds(), "oldest-s")
			}
		})
	}
}

// oldest gives the longest silence of any entry at any other.
func (m *mesh) oldest() time.Duration {
	var out time.Duration
	for _, x := range m.nodes {
		for _, r := range x.d.order {
			out = max(out, m.now.Sub(r.member.LastHeard))
		}
	}
	return out
}

// A switch cuts off an availability zone for two minutes: both sides serve on with their own, and then find each other.
func TestRegionFindsAZoneAgain(t *testing.T) {
	m := region(60)
	m.run(time.Minute)
	m.cutZone(2)
	m.run(2 * time.Minute)
	require.Equal(t, Dead, m.state(0, 2))
	require.Equal(t, Live, m.state(5, 2))
	m.heal()
	m.run(time.Minute)
	require.True(t, m.agreed())
}
