package forwarder

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/registrar"
)

// Guards against a burst of reads, and against entries with outdated data, when the store begins a new era.
func TestANewEraIsKnownEverywhereFromTheWordOfAFew(t *testing.T) {
	// Entries on a platform of each size must meet their bounds again after the recovery time.
	for n, recovery := range map[int]time.Duration{7: 3 * time.Second, 65: 4 * time.Second, 300: 5 * time.Second} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			m, rnd := newLossyMesh(t, n, 2)
			for _, f := range m.nodes {
				f.RecordStoreResponse(0, m.now)
				f.ReplaceEndpoints([]registrar.Change{endpointChange("a")}, locator.At(0, 9), m.now)
			}
			duty, _ := m.nodes["entry-0"].owner(endpointsDuty, nil)
			reader := m.nodes[duty]
			fresh := endpointChange("b")
			fresh.Position = locator.At(1, 4)
			reader.RecordStoreResponse(1, m.now)
			reader.ReplaceEndpoints([]registrar.Change{fresh}, locator.At(1, 5), m.now)
			reader.ReplaceEvacuations(evacuator.State{Next: locator.At(1, 2), Zones: []string{"z0"}}, m.now)
			behind := func() (list []string) {
				for name, f := range m.nodes {
					if f.registry.Next().Era() != 1 || f.storeEra != 1 || !f.evacuator.Evacuated("z0") {
						list = append(list, name)
					}
				}
				return list
			}
			rounds, readings := 0, 0
			for ; len(behind()) > 0; rounds++ {
				require.Less(t, rounds, 40, "behind: %v", behind())
				for _, name := range behind() {
					if _, reads := m.nodes[name].ShouldReadEndpoints(m.now); reads {
						readings++
					}
				}
				m.sendHeartbeats(1)
				m.deliver(0.1, rnd)
			}
			t.Logf("%d entries: all after %v, %d reads", n, time.Duration(rounds)*heartbeatInterval, readings)
			require.LessOrEqual(t, time.Duration(rounds)*heartbeatInterval, recovery)
			for name, f := range m.nodes {
				ids := []string{}
				for _, e := range f.registry.Usable() {
					ids = append(ids, e.ID)
				}
				require.True(t, slices.Contains(ids, "a"), "%s dropped an endpoint that may register again", name)
				require.True(t, slices.Contains(ids, "b"), name)
			}
		})
	}
}

// Guards against an evacuation that ends at an entry which starts while the store lacks its record.
func TestNewEntryKeepsEvacuationLostByStore(t *testing.T) {
	m := newMesh(t, 2)
	older, newer := m.nodes["entry-0"], m.nodes["entry-1"]
	older.ReplaceEvacuations(evacuator.State{Next: locator.At(0, 9), Zones: []string{"z0"}}, m.now)
	older.ReplaceEvacuations(evacuator.State{Next: locator.At(1, 3)}, m.now)
	m.sendHeartbeats(1)
	require.True(t, newer.evacuator.Evacuated("z0"))
	later := m.now.Add(2 * evacuator.HoldTime)
	newer.tick(later)
	require.False(t, newer.evacuator.Evacuated("z0"), "the operator has not renewed it")
}
