package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/selector"
)

// leave has an entry get an answer that says that the endpoint leaves.
func (m *mesh) leave(entry, endpoint string) {
	m.nodes[entry].applyNotice(endpointAt(endpoint).Endpoint, regulator.Notice{Leaving: true}, m.now)
}

// chosenAt counts which endpoints an entry chooses for so many requests.
func (m *mesh) chosenAt(entry string, n int) map[string]int {
	f := m.nodes[entry]
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen := map[string]int{}
	for range n {
		if choice, found := f.selector.Choose(selector.Query{Service: "plain"}, m.now); found {
			chosen[choice.Endpoint.ID]++
		}
	}
	return chosen
}

// listEverywhere has all entries know the endpoints.
func (m *mesh) listEverywhere(ids ...string) {
	all := make([]registrar.Change, len(ids))
	for i, id := range ids {
		all[i] = endpointAt(id)
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 5), m.now)
	}
}

// Guards against requests to an endpoint whose answers say that it leaves, while the store does not know so.
func TestAnEndpointThatSaysItLeavesGetsNothing(t *testing.T) {
	m, _ := newLossyMesh(t, 3, 8)
	m.listEverywhere("a", "b")
	require.Len(t, m.chosenAt("entry-0", 50), 2)
	m.leave("entry-0", "a")
	require.Equal(t, map[string]int{"b": 50}, m.chosenAt("entry-0", 50))
	// The store's older word on it, told by the entry that reads for all, changes nothing.
	m.nodes["entry-0"].ApplyEndpoints([]registrar.Change{{ID: "a", Position: locator.At(0, 6), Endpoint: endpointAt("a").Endpoint}}, locator.At(0, 5), locator.At(0, 7), m.now)
	require.Equal(t, map[string]int{"b": 50}, m.chosenAt("entry-0", 50))
}

// Guards against each entry sending requests until it has its own answer that says so.
func TestPeersHearOfAnEndpointThatLeaves(t *testing.T) {
	for _, entries := range []int{7, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			m, rnd := newLossyMesh(t, entries, 9)
			m.listEverywhere("a", "b")
			m.leave("entry-0", "a")
			for range 10 {
				m.beat(1)
				m.deliver(0.1, rnd)
			}
			for name := range m.nodes {
				require.Equal(t, map[string]int{"b": 20}, m.chosenAt(name, 20), name)
			}
		})
	}
}

// Guards against the late word of an earlier process, which would keep a new one out of use.
func TestAStartedEndpointIsUsedThoughItsEarlierProcessLeft(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 10)
	first, second := time.UnixMilli(1000), time.UnixMilli(5000)
	started := func(at time.Time) registrar.Change {
		c := endpointAt("a")
		c.Endpoint.Started = at
		return c
	}
	f := m.nodes["entry-0"]
	f.ReplaceEndpoints([]registrar.Change{started(first)}, locator.At(0, 5), m.now)
	f.applyNotice(started(first).Endpoint, regulator.Notice{Leaving: true}, m.now)
	require.Empty(t, m.chosenAt("entry-0", 5))
	again := started(second)
	again.Position = locator.At(0, 8)
	f.ApplyEndpoints([]registrar.Change{again}, locator.At(0, 5), locator.At(0, 9), m.now)
	require.Len(t, m.chosenAt("entry-0", 5), 1)
	f.applyNotice(started(first).Endpoint, regulator.Notice{Leaving: true}, m.now)
	f.handleMessage("entry-1", &carrier.Heartbeat{
		From: carrier.Member{Name: "entry-1"}, Leaving: []carrier.EndpointLeave{{ID: "a", StartedMillis: first.UnixMilli()}},
	}, m.now)
	require.Len(t, m.chosenAt("entry-0", 5), 1)
}

// Guards against a peer's word that spares a leaving endpoint nothing: the requests in the second after it first says so, with the
// words between entries and exclude.
func TestPeersWordSparesALeavingEndpoint(t *testing.T) {
	for _, entries := range []int{7, 65} {
		const seeds = 5
		arrived := map[float64]int{}
		for _, loss := range []float64{0, 1} {
			for seed := range uint64(seeds) {
				p := newSeededPool(t, seed, entries, "a", "b")
				p.run(time.Second, 5*float64(entries))
				p.loss = loss
				p.leaves["a"] = true
				before := len(p.arrived["a"])
				p.run(time.Second, 5*float64(entries))
				arrived[loss] += len(p.arrived["a"]) - before
			}
		}
		t.Logf("%d entries, %d seeds: %d requests in the first second with peers' words, %d without", entries, seeds, arrived[0], arrived[1])
		require.Less(t, arrived[0], arrived[1])
	}
}
