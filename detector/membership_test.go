package detector

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/carrier"
)

// convergedMesh starts seven entries and runs them until they know each other.
func convergedMesh(t require.TestingT, seed uint64) *mesh {
	m := newMesh(7, seed, testConfig())
	m.run(3 * time.Second)
	require.True(t, m.converged())
	return m
}

func (m *mesh) elapsed() time.Duration { return m.now.Sub(m.start) }

func TestMembershipUnderFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		run      func(t *testing.T, m *mesh)
	}{
		// An entry can't reach one peer. That peer learns its steps from the five others; both are still handed out.
		{"one-way cut from one peer", func(t *testing.T, m *mesh) {
			from := m.elapsed()
			m.cut[[2]int{0, 1}] = true
			m.run(time.Minute)
			require.Zero(t, m.count(Suspect, from))
			require.True(t, m.converged())
			member, _ := m.nodes[1].d.Member(name(0))
			require.Greater(t, m.now.Sub(member.LastDirectHeartbeat), 50*time.Second)
		}},
		// Until a kill is detected, callers may be given a dead address; after that all peers agree on the death.
		{"kill", func(t *testing.T, m *mesh) {
			from := m.elapsed()
			m.kill(3)
			m.run(4 * time.Second)
			require.Equal(t, 6, m.count(Dead, from))
			require.True(t, m.converged())
		}},
		// A process is paused, its peers consider it dead, and it resumes unaware that time has passed. It must
		// report how long it was paused, must not consider its peers dead because of its own pause, and must be live
		// again within a second.
		{"freeze and wake", func(t *testing.T, m *mesh) {
			from := m.elapsed()
			m.freeze(3, 10*time.Second)
			m.run(10 * time.Second)
			require.Equal(t, 6, m.count(Dead, from))
			resumedAt := m.elapsed()
			m.run(time.Second)
			require.Equal(t, []int{3}, m.resumed(from, 9*time.Second))
			require.Zero(t, m.count(Dead, resumedAt))
			require.True(t, m.converged())
		}},
		// A switch failure splits the system. Each half keeps serving with its own entries and finds the other again,
		// even after both have forgotten each other, since the configured seeds are probed indefinitely.
		{"partition in two halves and heal", func(t *testing.T, m *mesh) {
			m.partition(3)
			m.run(10 * time.Second)
			require.Equal(t, Live, m.state(0, 2))
			require.Equal(t, Dead, m.state(0, 3))
			require.Equal(t, Live, m.state(5, 3))
			m.run(2 * time.Minute)
			require.Equal(t, Unknown, m.state(0, 3))
			m.heal()
			m.run(3 * time.Second)
			require.True(t, m.converged())
		}},
		// An entry is isolated. It hears nobody, so it can't tell whether it or all others have failed, and declares
		// itself Suspect: it is handed out only if no other entry is available.
		{"alone", func(t *testing.T, m *mesh) {
			m.cutAll(6, true, true)
			m.run(5 * time.Second)
			require.Equal(t, Suspect, m.state(6, 6))
			require.Equal(t, Dead, m.state(0, 6))
			require.Equal(t, Live, m.state(0, 0))
		}},
		// A VM is replaced under the same name. Late reports by peers about the old process have no effect.
		{"restart with a higher incarnation", func(t *testing.T, m *mesh) {
			old := *m.nodes[4].d.Heartbeat(m.now)
			m.kill(4)
			m.run(500 * time.Millisecond)
			m.boot(4, 2)
			m.run(2 * time.Second)
			require.True(t, m.converged())
			require.Empty(t, m.nodes[0].d.Receive(&old, m.now))
			member, _ := m.nodes[0].d.Member(name(4))
			require.Equal(t, uint64(2), member.Incarnation)
		}},
		// A process is paused for so long that its VM is replaced under the same name, and then resumes. Two
		// processes would answer for one name; the older one learns of the newer and declares itself dead.
		{"superseded while frozen", func(t *testing.T, m *mesh) {
			old := m.nodes[4].d
			m.boot(4, 2)
			m.run(2 * time.Second)
			old.Tick(m.now)
			m.nodes[0].d.Receive(old.Heartbeat(m.now), m.now)
			old.Receive(m.nodes[0].d.Heartbeat(m.now), m.now)
			self, _ := old.Member(name(4))
			require.Equal(t, Dead, self.State)
			require.Equal(t, Live, m.state(0, 4))
		}},
		// The VM list lags: it lists a VM that is gone and lacks a live one. Neither affects the membership.
		{"VM list names a gone VM and lacks a live one", func(t *testing.T, m *mesh) {
			from := m.elapsed()
			m.kill(5)
			m.run(10*time.Second, func() { m.nodes[0].d.AddHint(address(5), zone(5), false, m.now) })
			require.Equal(t, Dead, m.state(0, 5))
			require.Equal(t, Live, m.state(0, 6))
			require.Equal(t, 6, m.count(Dead, from))
			require.True(t, m.converged())
		}},
		// The seeds are gone, and a new VM appears only in the VM list: the hint lets it join.
		{"VM list names a new VM", func(t *testing.T, m *mesh) {
			m.kill(0)
			m.kill(1)
			m.kill(6)
			m.run(70 * time.Second)
			m.boot(6, 2)
			m.run(2 * time.Second)
			require.Equal(t, Unknown, m.state(2, 6))
			m.nodes[2].d.AddHint(address(6), zone(6), false, m.now)
			m.run(2 * time.Second)
			require.True(t, m.converged())
		}},
		// Planned stops of all entries, one after another: none may ever look dead or suspect.
		{"all seven restarted one after another", func(t *testing.T, m *mesh) {
			from := m.elapsed()
			for i := range 7 {
				m.nodes[i].d.SetSelf(Stopping, 0, 0)
				m.run(time.Second)
				require.Equal(t, Stopping, m.state((i+1)%7, i))
				m.nodes[i].d.SetSelf(Stopped, 0, 0)
				m.run(meshHeartbeat)
				m.kill(i)
				m.run(5 * time.Second)
				require.Equal(t, Stopped, m.state((i+1)%7, i))
				m.boot(i, 2)
				m.run(time.Second)
				require.True(t, m.converged())
			}
			require.Zero(t, m.count(Dead, from))
			require.Zero(t, m.count(Suspect, from))
		}},
		// The seeds' VMs are long gone when a switch failure splits the rest for a while. The halves still know each
		// other's addresses and probe them, so they find each other without seeds or hints.
		{"partition heals without seeds", func(t *testing.T, m *mesh) {
			m.kill(0)
			m.kill(1)
			m.partition(4)
			m.run(10 * time.Second)
			require.Equal(t, Dead, m.state(2, 6))
			m.heal()
			m.run(3 * time.Second)
			require.True(t, m.converged())
		}},
		// An entry falls silent during its planned stop. It must not become Suspect, since suspects may still be
		// handed out if no other entry is available.
		{"stopping entry falls silent", func(t *testing.T, m *mesh) {
			m.nodes[2].d.SetSelf(Stopping, 0, 0)
			m.run(time.Second)
			m.kill(2)
			from := m.elapsed()
			m.run(5 * time.Second)
			require.Equal(t, Dead, m.state(0, 2))
			require.Zero(t, m.count(Suspect, from))
		}},
		// Peers forget a stopped entry at different times. One that has forgotten it must not learn it again from one
		// that hasn't, or it would keep reporting an entry that is long gone.
		{"stopped entry is forgotten for good", func(t *testing.T, m *mesh) {
			m.nodes[2].d.SetSelf(Stopped, 0, 0)
			m.run(meshHeartbeat)
			m.kill(2)
			m.run(time.Second)
			from := m.elapsed()
			m.run(70 * time.Second)
			require.Equal(t, Unknown, m.state(0, 2))
			require.Zero(t, m.count(Stopped, from))
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for seed := range uint64(4) {
				s.run(t, convergedMesh(t, seed))
			}
		})
	}
}

// resumed returns the entries that reported a pause of at least the given length.
func (m *mesh) resumed(after, least time.Duration) []int {
	var out []int
	for _, s := range m.transitions {
		if s.at > after && s.Resumed() && s.Paused >= least && s.Member.Name == name(s.observer) {
			out = append(out, s.observer)
		}
	}
	return out
}

func TestVMListMarksLeavingMembers(t *testing.T) {
	m := convergedMesh(t, 1)
	d := m.nodes[0].d
	d.AddHint(address(3), zone(3), true, m.now)
	d.AddHint(address(0), zone(0), true, m.now)
	member, _ := d.Member(name(3))
	require.True(t, member.Leaving)
	require.Equal(t, Live, member.State)
	self, _ := d.Member(name(0))
	require.True(t, self.Leaving)
	m.run(d.cfg.ForgetAfter + time.Second)
	member, _ = d.Member(name(3))
	require.False(t, member.Leaving, "a hint that is no longer repeated must expire")
}

// A faulty peer reports an unlimited number of members, or members without a name. Memory use must stay bounded.
func TestMembersAreBounded(t *testing.T) {
	m := convergedMesh(t, 1)
	d := m.nodes[0].d
	for i := range 2 * maxMembers {
		member := carrier.Member{Name: "ghost-" + strconv.Itoa(i), State: uint8(Live), Sequence: 1}
		d.Receive(&carrier.Heartbeat{From: member, Members: []carrier.Member{{State: uint8(Live), Sequence: 1}, member}}, m.now)
	}
	require.Len(t, d.Members(), maxMembers+1)
	_, known := d.Member("")
	require.False(t, known)
}

// Arbitrary faults occur in any order and are then all repaired. No view may ever go back to an earlier process or
// step of a member, and all views must agree a few seconds after the last fault.
func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	steps, faults := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		m := convergedMesh(r, rapid.Uint64().Draw(r, "seed"))
		incarnations := make([]uint64, 7)
		monotonic := newMonotonicCheck(m)
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			faults++
			i := rapid.IntRange(0, 6).Draw(r, "entry")
			switch rapid.SampledFrom([]string{"kill", "boot", "freeze", "cut", "partition", "stop", "heal"}).Draw(r, "fault") {
			case "kill":
				m.kill(i)
			case "boot":
				incarnations[i]++
				m.boot(i, 1+incarnations[i])
			case "freeze":
				m.freeze(i, time.Duration(rapid.IntRange(0, 5000).Draw(r, "ms"))*time.Millisecond)
			case "cut":
				m.cut[[2]int{i, rapid.IntRange(0, 6).Draw(r, "to")}] = true
			case "partition":
				m.partition(i)
			case "stop":
				m.nodes[i].d.SetSelf(Stopping, 0, 0)
			case "heal":
				m.heal()
			}
			m.run(time.Duration(rapid.IntRange(0, 5000).Draw(r, "ms"))*time.Millisecond, func() { monotonic.check(r) })
		}
		m.heal()
		for i := range m.nodes {
			m.nodes[i].d.SetSelf(Live, 0, 0)
		}
		m.run(12*time.Second, func() { monotonic.check(r) })
		require.True(r, m.converged())
		steps += int(m.elapsed() / meshStep)
	})
	t.Logf("%d steps of 7 entries, %d faults", steps, faults)
}

// monotonicCheck holds the latest process and step that each entry has seen of each other one.
type monotonicCheck struct {
	m         *mesh
	last      [][]Member
	detectors []*Detector
}

func newMonotonicCheck(m *mesh) *monotonicCheck {
	c := &monotonicCheck{m: m, detectors: make([]*Detector, len(m.nodes))}
	for range m.nodes {
		c.last = append(c.last, make([]Member, len(m.nodes)))
	}
	return c
}

func (c *monotonicCheck) check(t require.TestingT) {
	for i, n := range c.m.nodes {
		if c.detectors[i] != n.d {
			c.detectors[i] = n.d
			clear(c.last[i])
		}
		for j := range c.m.nodes {
			now, ok := n.d.Member(name(j))
			if !ok {
				continue
			}
			before := c.last[i][j]
			back := now.Incarnation < before.Incarnation ||
				now.Incarnation == before.Incarnation && now.Sequence < before.Sequence
			if back {
				require.Fail(t, "a view went back", "entry %d saw %v after %v", i, now, before)
			}
			c.last[i][j] = now
		}
	}
}
