package forwarder

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/quarantiner"
)

const crashingPart quarantiner.Part = 7

// recordPartCrash records a crash under the part at an entry.
func (m *mesh) recordPartCrash(entry, crash int) {
	f := m.nodes[fmt.Sprintf("entry-%d", entry)]
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts.RecordCrash([]quarantiner.Part{crashingPart}, quarantiner.Process(crash+1), m.now)
}

// holds reports whether an entry quarantines the part.
func (m *mesh) holds(name string) bool {
	f := m.nodes[name]
	f.mu.Lock()
	defer f.mu.Unlock()
	_, free := f.parts.Verdict([]quarantiner.Part{crashingPart}, m.now).(quarantiner.SendFreely)
	return !free
}

// Guards against crashes of which each entry has seen too few, against their loss with the entry that saw them, and against
// an entry that has just started and knows of none.
func TestCrashesUnderAPartAreKnownToAllEntries(t *testing.T) {
	for _, n := range []int{3, 7, 60, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			m := newMesh(t, n)
			m.step(contactTime)
			require.Zero(t, m.sent["*carrier.PartCrashes"], "nothing is sent while no endpoint crashes")
			for crash := range 3 {
				m.recordPartCrash(crash%(n-1)+1, crash)
			}
			m.step(heartbeatInterval)
			m.cut["entry-1"] = true
			m.step(contactTime)
			for name := range m.nodes {
				require.True(t, m.cut[name] || m.holds(name), name)
			}
			newcomer := m.add(1, func(string) int { return 0 })
			m.step(contactTime)
			require.True(t, m.holds(newcomer.cfg.Name))
			m.step(contactTime)
			sent := m.sent["*carrier.PartCrashes"]
			m.step(contactTime)
			require.Equal(t, sent, m.sent["*carrier.PartCrashes"], "nothing is sent once all entries know the same")
		})
	}
}

// Guards against a trial of the same part at each entry.
func TestOneEntryGrantsTheTrialsOfAPart(t *testing.T) {
	for _, n := range []int{1, 7, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			m := newMesh(t, n)
			for crash := range 3 {
				m.recordPartCrash(crash%n, crash)
			}
			m.step(contactTime)
			granted := 0
			for name := range m.nodes {
				x := &exchange{f: m.nodes[name], ctx: t.Context(), parts: []quarantiner.Part{crashingPart}}
				if x.takeTrial(crashingPart, m.now) {
					granted++
				}
			}
			require.Equal(t, 1, granted)
		})
	}
}

// Guards against messages that a peer of an earlier release can't decode, which would end the connection to it.
func TestPartsAreNotSentToEarlierReleases(t *testing.T) {
	m := newMesh(t, 3)
	f := m.nodes["entry-0"]
	f.mu.Lock()
	f.applyPartSum("entry-1", 0, m.now)
	require.Equal(t, []string{"entry-2"}, f.partTargets())
	require.False(t, f.grantsTrials("entry-1"))
	require.True(t, f.grantsTrials("entry-2"))
	f.mu.Unlock()
}
