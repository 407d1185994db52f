package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/locator"
	"geraniumline/registrar"
)

func (m *mesh) readers(now time.Time) []string {
	var names []string
	for name, f := range m.nodes {
		if _, reads := f.ShouldReadEndpoints(now); reads {
			names = append(names, name)
		}
	}
	return names
}

// The entry that reads the store for all falls silent. The others must read for themselves before an endpoint's
// leaving is two seconds old, and stop when they receive updates again.
func TestOneEntryReadsTheStoreForAll(t *testing.T) {
	m := newMesh(t, 3)
	now := time.Now()
	require.Len(t, m.readers(now), 1, "all entries have just read the list")
	duty, _ := m.nodes["entry-0"].owner(endpointsDuty, nil)
	m.nodes[duty].ApplyEndpoints([]registrar.Change{endpointChange("a")}, locator.At(0, 0), locator.At(0, 4), now)
	require.Equal(t, []string{duty}, m.readers(time.Now()))
	for _, f := range m.nodes {
		require.Equal(t, 1, f.selector.EndpointCount("plain"))
		from, _ := f.ShouldReadEndpoints(now)
		require.Equal(t, locator.At(0, 4), from)
	}
	require.Len(t, m.readers(time.Now().Add(updateTimeout-time.Millisecond)), 1)
	require.Len(t, m.readers(time.Now().Add(updateTimeout+rankDelay)), 2, "the next in rank reads first and informs the others")
	require.Len(t, m.readers(time.Now().Add(updateTimeout+2*rankDelay)), 3)

	m.nodes[duty].ApplyEndpoints([]registrar.Change{{ID: "a", Position: locator.At(0, 9)}}, locator.At(0, 9), locator.At(0, 10), time.Now())
	for name, f := range m.nodes {
		want := 1
		if name == duty {
			want = 0
		}
		require.Equal(t, want, f.selector.EndpointCount("plain"), "updates after a gap are ignored")
	}
}

// The entry that reads for all loses its connection to the store while its peers still hear it. The next one takes up
// the duty, and its updates must keep the others from reading: each additional reader is one more call to a store
// that serves few.
func TestTheNextReaderTellsAll(t *testing.T) {
	m := newMesh(t, 9)
	duty, _ := m.nodes["entry-0"].owner(endpointsDuty, nil)
	later := time.Now().Add(updateTimeout + rankDelay)
	readers := m.readers(later)
	require.Len(t, readers, 2)
	for _, name := range readers {
		if name != duty {
			m.nodes[name].ApplyEndpoints([]registrar.Change{endpointChange("a")}, locator.At(0, 0), locator.At(0, 4), later)
		}
	}
	for name, f := range m.nodes {
		require.Equal(t, 1, f.selector.EndpointCount("plain"), name)
	}
	require.Contains(t, m.readers(time.Now().Add(updateTimeout+rankDelay/2)), duty, "the owner keeps trying")
}

// Twenty entries, of which a few follow the configuration in the store, all lose their connection to it without an
// error while a key is withdrawn. Others must take up the duty one after the other, and the first answer from the
// store must be enough for all.
func TestAFewFollowTheConfiguration(t *testing.T) {
	m := newMesh(t, 20)
	now := time.Now()
	reading := func(now time.Time) (n int) {
		for _, f := range m.nodes {
			if f.ShouldReadConfig(now) {
				n++
			}
		}
		return n
	}
	for _, f := range m.nodes {
		f.RecordConfigRead(now)
	}
	require.Equal(t, configReaders, reading(now))
	silent := now.Add(configReadTimeout)
	require.Equal(t, configReaders+1, reading(silent))
	require.Equal(t, configReaders+3, reading(silent.Add(2*rankDelay)))
	for _, f := range m.nodes {
		if f.rank(configDuty) == configReaders {
			f.RecordConfigRead(now.Add(configReadTimeout))
		}
	}
	m.sendHeartbeats(2)
	require.Equal(t, configReaders, reading(silent.Add(5*rankDelay)), "one read was answered")
}

// Six of 65 entries are on large VMs, which own the duties first. Exactly eight must follow the configuration, so two
// on small VMs are next in rank. When entries on small VMs shared ranks, 43 of them queried the store every four
// seconds, and all of them at once in its outages.
func TestSmallVMsHaveDistinctRanks(t *testing.T) {
	m := newMeshInZones(t, 65, 3, func(name string) int {
		if len(name) == len("entry-0") && name <= "entry-5" {
			return 800
		}
		return 192
	})
	m.simulatedTime, m.now = true, time.Now()
	for range 8 {
		m.sendHeartbeats(1)
	}
	ranks := make(map[int]int)
	for _, f := range m.nodes {
		f.mu.Lock()
		ranks[f.rank(configDuty)]++
		f.mu.Unlock()
	}
	for rank := range 65 {
		require.Equal(t, 1, ranks[rank], "entries of rank %d", rank)
	}
}

// Guards against a stale read that restores an older configuration, with a key that was withdrawn since.
func TestAConfigurationNeverGoesBack(t *testing.T) {
	m := newMesh(t, 1)
	f := m.nodes["entry-0"]
	require.NoError(t, f.ApplyConfig([]byte("7"), "test", time.Now()))
	require.NoError(t, f.ApplyConfig([]byte("5"), "peer", time.Now()))
	require.Equal(t, int64(7), f.Catalog().Version())
	require.Error(t, f.ApplyConfig([]byte("garbage"), "peer", time.Now()))
	require.Equal(t, int64(7), f.Catalog().Version())
}

// Duties go to large VMs while one is live: a small one would delay the work of all entries.
func TestDutiesGoToLargeVMs(t *testing.T) {
	m := newMeshWithCapacity(t, 5, func(name string) int {
		if name == "entry-3" {
			return 800
		}
		return 100
	})
	m.sendHeartbeats(2)
	for _, f := range m.nodes {
		for _, duty := range []string{"a", "b", "c", "d"} {
			owner, known := f.owner(duty, nil)
			require.True(t, known)
			require.Equal(t, "entry-3", owner)
			owner, known = f.owner(duty, []string{"entry-3"})
			require.True(t, known)
			require.NotEqual(t, "entry-3", owner)
		}
	}
	require.Equal(t, 192, CapacityOf(0.192, 10))
	require.Equal(t, 50, CapacityOf(0.8, 1))
}

// Three services on enough VMs. An entry that collects for two of them has twice the work in a burst, and is late
// with both. Each service must have its own collecting entry, the same in the view of every entry. If that one is
// avoided, the next one must not own the others' duties either. With few VMs left, duties are shared.
func TestEachServiceHasItsOwnCollector(t *testing.T) {
	stage := &cataloger.StagePool{Slots: 1, Batch: 8, CallOverhead: time.Hour}
	services := []cataloger.Service{{Name: "a", Stage: stage}, {Name: "b", Stage: stage}, {Name: "c", Stage: stage}}
	catalog := cataloger.New(cataloger.Config{Version: 2, Services: services})
	for _, n := range []int{1, 2, 3, 9} {
		m := newMesh(t, n)
		owners := make(map[string]string)
		for name, f := range m.nodes {
			f.catalog = catalog
			f.duties.reset()
			for _, s := range services {
				owner, known := f.owner(s.Name, nil)
				require.True(t, known)
				if owners[s.Name] == "" {
					owners[s.Name] = owner
				}
				require.Equal(t, owners[s.Name], owner, "as seen by %s", name)
			}
			if n > len(services) {
				next, _ := f.owner("c", []string{owners["c"]})
				require.NotContains(t, []string{owners["a"], owners["b"], owners["c"]}, next)
			}
		}
		different := make(map[string]bool)
		for _, owner := range owners {
			different[owner] = true
		}
		require.Len(t, different, min(n, len(services)))
	}
}
