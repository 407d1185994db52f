package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/planner"
	"geraniumline/switcher"
)

// loadOf returns the load of the pool of encode that an entry knows for a priority.
func loadOf(f *Forwarder, priority int, now time.Time) planner.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poolLoad("encode", priority, now)
}

// newMeshWithBacklog returns a mesh whose collecting entry has a backlog of groups of priority 2, and that entry's name.
func newMeshWithBacklog(t *testing.T) (*mesh, string) {
	m := newMesh(t, 6)
	m.now = time.Now()
	m.step(300 * time.Millisecond)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	collecting := m.nodes[owner]
	for i := range 20 {
		g := newGroup(owner, i, m.now)
		g.Priority, g.Deadline = 2, m.now.Add(1000*time.Hour)
		collecting.withLock(func() []func() { return collecting.collectPieces("encode", g, m.now) })
	}
	m.step(600 * time.Millisecond)
	return m, owner
}

func TestEntriesKnowLoadsByPriority(t *testing.T) {
	m, owner := newMeshWithBacklog(t)
	for name, f := range m.nodes {
		require.Zero(t, loadOf(f, 0, m.now).Wait, name)
		require.Zero(t, loadOf(f, 1, m.now).Wait, name)
		require.Equal(t, 5*time.Hour, loadOf(f, 2, m.now).Wait, name)
		require.Equal(t, 5*time.Hour, loadOf(f, 3, m.now).Wait, name)
		require.Equal(t, name == owner, f.pools["encode"] != nil)
	}
}

// Guards against refusing callers for good by the last load of a collecting entry that is dead, frozen, or no longer heard.
func TestLoadsByPriorityExpireWithTheirCollector(t *testing.T) {
	for name, lose := range map[string]func(m *mesh, owner string){
		"dead or frozen": func(m *mesh, owner string) { m.cut[owner] = true },
		"not heard":      func(m *mesh, owner string) { m.nodes[owner].SetSender(deafSender{}) },
	} {
		t.Run(name, func(t *testing.T) {
			m, owner := newMeshWithBacklog(t)
			lose(m, owner)
			m.step(loadTTL + 2*heartbeatInterval)
			for name, f := range m.nodes {
				if name == owner {
					continue
				}
				for priority := range 4 {
					require.Zero(t, loadOf(f, priority, m.now), "%s at priority %d", name, priority)
				}
				f.mu.Lock()
				require.Empty(t, f.stageClasses(m.now), "nobody passes it on")
				f.mu.Unlock()
			}
		})
	}
}

// deafSender sends nothing.
type deafSender struct{}

func (deafSender) Send(string, carrier.Message) {}

// Guards against mixing loads of two reports: an entry of the release before reports or passes on a newer load without those by
// priority, or a list that no release sends.
func TestLoadsByPriorityBelongToTheLoadReportedWithThem(t *testing.T) {
	f := newMesh(t, 2).nodes["entry-0"]
	f.cfg.Name = "a reader"
	now := time.Now()
	wait := func(age uint32) []carrier.StageWait {
		return []carrier.StageWait{{Service: "encode", Millis: 5000, TurnaroundMillis: 3000, OverMillis: 700, AgeMillis: age}}
	}
	classes := func(age uint32) []carrier.StageClassWait {
		return []carrier.StageClassWait{
			{Service: "encode", Priority: int32(collector.Class(2)), Millis: 5000, TurnaroundMillis: 4000, AgeMillis: age},
			{Service: "encode", Priority: 0, TurnaroundMillis: 600, AgeMillis: age},
			{Service: "encode", Priority: 0, Millis: 9000, AgeMillis: age},
			{Service: "encode", Priority: -1, Millis: 9000, AgeMillis: age},
			{Service: "encode", Priority: collector.ClassCount, Millis: 9000, AgeMillis: age},
			{Service: "unknown", Priority: 1, Millis: 9000, AgeMillis: age},
		}
	}
	all := planner.Load{Wait: 5 * time.Second, Turnaround: 3 * time.Second, OverloadedFor: 700 * time.Millisecond}
	f.applyStageClasses(classes(200), now)
	require.Zero(t, loadOf(f, 0, now), "without the pool's load")
	f.applyStageWaits(wait(200), now)
	require.Equal(t, all, loadOf(f, 0, now), "none by priority is known yet")
	f.applyStageClasses(classes(200), now)
	require.Equal(t, planner.Load{Turnaround: 600 * time.Millisecond, Ahead: true}, loadOf(f, 0, now))
	require.Equal(t, planner.Load{Wait: 5 * time.Second, Turnaround: 4 * time.Second, OverloadedFor: 700 * time.Millisecond}, loadOf(f, 2, now))
	require.Len(t, f.stageClasses(now), 2)
	require.NotContains(t, f.reportedLoads, "unknown")
	f.applyStageClasses(classes(100), now)
	require.Zero(t, loadOf(f, 0, now).Wait, "of another report")
	f.applyStageWaits(wait(100), now)
	require.Equal(t, all, loadOf(f, 0, now), "newer, from an entry of the release before")
	require.Zero(t, loadOf(f, 0, now.Add(loadTTL)))

	disabled, err := switcher.Disable(string(switcher.ClassLoads))
	require.NoError(t, err)
	f.cfg.Disabled = disabled
	f.applyStageClasses(classes(100), now)
	require.Equal(t, all, loadOf(f, 0, now), fmt.Sprint(switcher.ClassLoads))
}
