package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/locator"
	"geraniumline/registrar"
)

// The store goes down, and the list of endpoints of each of 60 entries grows old at the same time. Each asks its peers
// for a newer one. Asked of all, with whole lists as answers, that is thousands of lists in each round: it fills the
// links of small VMs, heartbeats are late, and callers see a system in which every entry takes the others for dead. A
// few peerQueries an entry, answered only by who has news, are enough: there is nothing to be learnt.
func TestAStoreOutageStartsNoStormOfQuestions(t *testing.T) {
	const entries = 60
	m := newMesh(t, entries)
	var all []registrar.Change
	for i := range 100 {
		all = append(all, endpointAt(fmt.Sprintf("i-%d", i)))
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 4), time.Now())
		f.RecordStoreResponse(0, time.Now().Add(-maxEndpointsAge-time.Second))
	}
	m.sent = map[string]int{}
	m.beat(1)
	require.LessOrEqual(t, m.sent["*carrier.EndpointsCall"], queriedPeers*entries)
	require.Positive(t, m.sent["*carrier.EndpointsCall"])
	require.Zero(t, m.sent["*carrier.EndpointsReply"], "nobody knows more than another")
}

// One entry is cut from the store while the others read it. It must still learn of a leaving endpoint from a peer, and
// then stop asking as long as what it was told is fresh; a peer whose list is the same tells just that.
func TestAStaleEntryIsToldOnce(t *testing.T) {
	m := newMesh(t, 3)
	stale := m.nodes["entry-2"]
	stale.RecordStoreResponse(0, time.Now().Add(-maxEndpointsAge-time.Second))
	for _, name := range []string{"entry-0", "entry-1"} {
		f := m.nodes[name]
		f.ReplaceEndpoints([]registrar.Change{endpointAt("a")}, locator.At(0, 4), time.Now())
		f.RecordStoreResponse(0, time.Now())
	}
	m.sent = map[string]int{}
	stale.heartbeat(time.Now())
	require.Equal(t, 2, m.sent["*carrier.EndpointsCall"])
	require.Equal(t, locator.At(0, 4), stale.registry.Next())
	require.Less(t, stale.registry.Age(time.Now()), maxEndpointsAge)

	stale.endpointsQueriedAt = time.Time{}
	stale.heartbeat(time.Now())
	require.Equal(t, 2, m.sent["*carrier.EndpointsCall"], "what was told is fresh")
}
