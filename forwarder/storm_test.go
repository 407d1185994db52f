package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/locator"
	"geraniumline/registrar"
)

// In a store outage the lists of endpoints of 60 entries become stale at the same time, and each asks its peers for a
// newer one. If each asked all peers and received whole lists, that would be thousands of lists in each round: they
// fill the links of small VMs, heartbeats are late, and every entry considers the others dead. A few queries per
// entry, answered only by peers with newer data, must be enough.
func TestStoreOutageCausesNoQueryStorm(t *testing.T) {
	const entries = 60
	m := newMesh(t, entries)
	var all []registrar.Change
	for i := range 100 {
		all = append(all, endpointChange(fmt.Sprintf("i-%d", i)))
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 4), time.Now())
		f.RecordStoreResponse(0, time.Now().Add(-maxEndpointsAge-time.Second))
	}
	m.sent = map[string]int{}
	m.sendHeartbeats(1)
	require.LessOrEqual(t, m.sent["*carrier.EndpointsCall"], queriedPeers*entries)
	require.Positive(t, m.sent["*carrier.EndpointsCall"])
	require.Zero(t, m.sent["*carrier.EndpointsReply"], "no peer has newer data")
}

// One entry loses the store while the others still read it. It must learn of a leaving endpoint from a peer, and then
// stop querying while the received list is recent; a peer with the same list confirms only that.
func TestStaleEntryQueriesPeersOnce(t *testing.T) {
	m := newMesh(t, 3)
	stale := m.nodes["entry-2"]
	stale.RecordStoreResponse(0, time.Now().Add(-maxEndpointsAge-time.Second))
	m.cut["entry-2"] = true
	for _, name := range []string{"entry-0", "entry-1"} {
		f := m.nodes[name]
		f.ReplaceEndpoints([]registrar.Change{endpointChange("a")}, locator.At(0, 4), time.Now())
		f.RecordStoreResponse(0, time.Now())
	}
	m.cut["entry-2"] = false
	m.sent = map[string]int{}
	stale.heartbeat(time.Now())
	require.Equal(t, 2, m.sent["*carrier.EndpointsCall"])
	require.Equal(t, locator.At(0, 4), stale.registry.Next())
	require.Less(t, stale.registry.Age(time.Now()), maxEndpointsAge)

	stale.endpointsQueriedAt = time.Time{}
	stale.heartbeat(time.Now())
	require.Equal(t, 2, m.sent["*carrier.EndpointsCall"], "the received list is recent")
}
