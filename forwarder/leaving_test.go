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

// announceLeave delivers a response to an entry in which the endpoint announces that it leaves.
func (m *mesh) announceLeave(entry, endpoint string) {
	m.nodes[entry].applyNotice(endpointChange(endpoint).Endpoint, regulator.Notice{Leaving: true}, m.now)
}

// countChosen returns how often an entry chooses each endpoint in n requests.
func (m *mesh) countChosen(entry string, n int) map[string]int {
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

// setEndpoints sets the list of endpoints of all entries.
func (m *mesh) setEndpoints(ids ...string) {
	all := make([]registrar.Change, len(ids))
	for i, id := range ids {
		all[i] = endpointChange(id)
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 5), m.now)
	}
}

// Guards against requests to an endpoint whose responses announce that it leaves, while the store does not show it.
func TestAnEndpointThatSaysItLeavesGetsNothing(t *testing.T) {
	m, _ := newLossyMesh(t, 3, 8)
	m.setEndpoints("a", "b")
	require.Len(t, m.countChosen("entry-0", 50), 2)
	m.announceLeave("entry-0", "a")
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
	// The store's older record, received from the entry that reads for all, must not restore the endpoint.
	m.nodes["entry-0"].ApplyEndpoints([]registrar.Change{{ID: "a", Position: locator.At(0, 6), Endpoint: endpointChange("a").Endpoint}}, locator.At(0, 5), locator.At(0, 7), m.now)
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
}

// Guards against entries that keep sending requests until each has received the endpoint's announcement itself.
func TestPeersHearOfAnEndpointThatLeaves(t *testing.T) {
	for _, entries := range []int{7, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			m, rnd := newLossyMesh(t, entries, 9)
			m.setEndpoints("a", "b")
			m.announceLeave("entry-0", "a")
			for range 10 {
				m.sendHeartbeats(1)
				m.deliver(0.1, rnd)
			}
			for name := range m.nodes {
				require.Equal(t, map[string]int{"b": 20}, m.countChosen(name, 20), name)
			}
		})
	}
}

// Guards against requests to an endpoint that said that it leaves, once its registration expires and the same process writes
// it again.
func TestAnEndpointThatLeavesGetsNothingWhenItsRegistrationReturns(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 11)
	f := m.nodes["entry-0"]
	change := func(offset int64, registered bool) {
		c := endpointChange("a")
		c.Position, c.Endpoint.Started = locator.At(0, offset), time.UnixMilli(1000)
		if !registered {
			c.Endpoint = nil
		}
		f.ApplyEndpoints([]registrar.Change{c}, locator.At(0, offset), locator.At(0, offset+1), m.now)
	}
	m.setEndpoints("b")
	change(5, true)
	f.applyNotice(&registrar.Endpoint{ID: "a", Service: "plain", Started: time.UnixMilli(1000)}, regulator.Notice{Leaving: true}, m.now)
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
	change(6, false)
	change(7, true)
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
}

// Guards against a late announcement of an earlier process, which would keep its successor out of use.
func TestAStartedEndpointIsUsedThoughItsEarlierProcessLeft(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 10)
	first, second := time.UnixMilli(1000), time.UnixMilli(5000)
	started := func(at time.Time) registrar.Change {
		c := endpointChange("a")
		c.Endpoint.Started = at
		return c
	}
	f := m.nodes["entry-0"]
	f.ReplaceEndpoints([]registrar.Change{started(first)}, locator.At(0, 5), m.now)
	f.applyNotice(started(first).Endpoint, regulator.Notice{Leaving: true}, m.now)
	require.Empty(t, m.countChosen("entry-0", 5))
	again := started(second)
	again.Position = locator.At(0, 8)
	f.ApplyEndpoints([]registrar.Change{again}, locator.At(0, 5), locator.At(0, 9), m.now)
	require.Len(t, m.countChosen("entry-0", 5), 1)
	f.applyNotice(started(first).Endpoint, regulator.Notice{Leaving: true}, m.now)
	f.handleMessage("entry-1", &carrier.Heartbeat{
		From: carrier.Member{Name: "entry-1"}, Leaving: []carrier.EndpointLeave{{ID: "a", StartedMillis: first.UnixMilli()}},
	}, m.now)
	require.Len(t, m.countChosen("entry-0", 5), 1)
}

// Guards against peers' reports that have no effect: compares the requests that reach an endpoint in the second after
// its first announcement, with and without messages between entries.
func TestPeerReportsReduceRequestsToLeavingEndpoint(t *testing.T) {
	for _, entries := range []int{7, 65} {
		const seeds = 5
		arrived := map[float64]int{}
		for _, loss := range []float64{0, 1} {
			for seed := range uint64(seeds) {
				p := newSeededEndpointPool(t, seed, entries, "a", "b")
				p.run(time.Second, 5*float64(entries))
				p.frameLoss = loss
				p.leaves["a"] = true
				before := len(p.arrivals["a"])
				p.run(time.Second, 5*float64(entries))
				arrived[loss] += len(p.arrivals["a"]) - before
			}
		}
		t.Logf("%d entries, %d seeds: %d requests in the first second with peers' reports, %d without", entries, seeds, arrived[0], arrived[1])
		require.Less(t, arrived[0], arrived[1])
	}
}
