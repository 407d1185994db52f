package detector

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds on the time until a lost entry is no longer handed out to callers: SuspectAfter of 1 s, up to one heartbeat
// until the next evaluation, and one hop.
const (
	handedOutP50   = 1100 * time.Millisecond
	handedOutWorst = 1300 * time.Millisecond
)

// A caller asks for addresses just after an entry was lost and is given the lost one among them. Its peers receive no
// further step of it on any path, and each stops handing it out once the silence reaches SuspectAfter. If only one
// direction is lost, the entry itself must stop too: it hears nobody, or no peer reports having heard it.
func TestLostEntryIsNoLongerHandedOut(t *testing.T) {
	scenarios := []struct {
		testName string
		lose     func(m *mesh, victim int)
	}{
		{"killed", func(m *mesh, victim int) { m.kill(victim) }},
		{"frozen", func(m *mesh, victim int) { m.freeze(victim, time.Hour) }},
		{"not heard by any peer", func(m *mesh, victim int) { m.cutAll(victim, true, false) }},
		{"hears no peer", func(m *mesh, victim int) { m.cutAll(victim, false, true) }},
		{"cut both ways", func(m *mesh, victim int) { m.cutAll(victim, true, true) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(100) {
				took = append(took, timeHandedOut(t, seed, s.lose))
			}
			slices.Sort(took)
			p50, worst := took[len(took)/2], took[len(took)-1]
			t.Logf("7 entries, %d losses: handed out for p50 %v, worst %v", len(took), p50, worst)
			require.LessOrEqual(t, p50, handedOutP50)
			require.LessOrEqual(t, worst, handedOutWorst)
		})
	}
}

func timeHandedOut(t *testing.T, seed uint64, lose func(m *mesh, victim int)) time.Duration {
	m := newMesh(7, seed, testConfig())
	m.run(3*time.Second + time.Duration(m.rnd.IntN(20))*meshStep)
	require.True(t, m.converged())
	victim := int(seed % 7)
	lose(m, victim)
	return m.handedOutFor(victim, 6*time.Second)
}

// The network delays heartbeats, one direction between two entries is always cut, and processes are paused now and
// then for less than SuspectAfter minus one heartbeat. Every entry is alive all the time and heard by some peer, so
// none may disappear from the answers to callers.
func TestNoFalseDeathOverALongRun(t *testing.T) {
	m := newMesh(7, 42, testConfig())
	pause := m.cfg.SuspectAfter - m.heartbeatInterval
	m.delay = func() time.Duration { return time.Duration(1+m.rnd.ExpFloat64()*20) * time.Millisecond }
	m.run(2 * time.Second)
	pauses := 0
	for range 600 {
		m.freeze(m.rnd.IntN(7), time.Duration(m.rnd.Int64N(int64(pause))))
		pauses++
		m.heal()
		m.cut[[2]int{m.rnd.IntN(7), m.rnd.IntN(7)}] = true
		m.run(time.Second)
	}
	dead, suspect := m.count(Dead, 2*time.Second), m.count(Suspect, 2*time.Second)
	t.Logf("7 entries, 602 s, %d pauses below %v and one-way cuts: false deaths %d, false suspicions %d", pauses, pause, dead, suspect)
	require.Zero(t, dead)
	require.Zero(t, suspect)
}
