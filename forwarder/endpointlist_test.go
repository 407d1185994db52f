package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/registrar"
)

// maxFrameBytes is the largest frame between entries.
const maxFrameBytes = 1 << 20

// endpointList returns n endpoints with names and addresses of realistic length.
func endpointList(n int) []registrar.Change {
	all := make([]registrar.Change, n)
	for i := range all {
		all[i] = registrar.Change{
			ID:       fmt.Sprintf("i-%010x", i),
			Position: locator.At(0, int64(i)),
			Sequence: 1,
			Endpoint: &registrar.Endpoint{
				ID:      fmt.Sprintf("i-%010x", i),
				Service: "geranium-pool",
				Address: fmt.Sprintf("10.12.%d.%d:8363", i/250, i%250),
				Zone:    "baneshwor-hall",
				Slots:   48,
				Started: time.UnixMilli(1_790_000_000_000),
			},
		}
	}
	return all
}

// Guards against a list of endpoints that is too long for a frame and therefore never reaches any peer: each entry then
// read thousands of records from the store by itself.
func TestALongListOfEndpointsReachesPeersInParts(t *testing.T) {
	const endpoints = 20_000
	m := newMesh(t, 2)
	sender, receiver := m.nodes["entry-0"], m.nodes["entry-1"]
	sender.registry.Replace(endpointList(endpoints), locator.At(0, endpoints), m.now)
	parts := sender.endpointListParts(m.now)
	rand.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	for i, part := range parts {
		body, err := part.MarshalMsg(nil)
		require.NoError(t, err)
		require.Less(t, len(body), maxFrameBytes/2)
		require.NotEqual(t, endpoints, receiver.registry.Len(), "part %d", i)
		receiver.handleMessage("entry-0", part, m.now)
	}
	require.Equal(t, endpoints, receiver.registry.Len())
	require.Equal(t, locator.At(0, endpoints), receiver.registry.Next())
	require.Empty(t, receiver.partialLists)
}

// Guards against memory held for the rest of a list that never arrives, and against parts out of range.
func TestAnIncompleteListIsDiscarded(t *testing.T) {
	m := newMesh(t, 2)
	f := m.nodes["entry-1"]
	for _, part := range []int32{-1, 2, 1 << 30} {
		f.handleMessage("entry-0", &carrier.EndpointsReply{Next: 9, Part: part, Parts: 2}, m.now)
	}
	require.Empty(t, f.partialLists)
	f.handleMessage("entry-0", &carrier.EndpointsReply{Next: 9, Part: 1, Parts: 2}, m.now)
	require.Len(t, f.partialLists, 1)
	f.heartbeat(m.now.Add(partialListTTL))
	require.Empty(t, f.partialLists)
}

// Guards against a fleet of which every entry reads the whole list of endpoints from the store after all processes were
// killed: the store refused most of the calls, and callers waited for half a minute.
func TestAFewReadALongListAfterAKillOfAll(t *testing.T) {
	const (
		entries   = 200
		endpoints = 3000
		// bound is a third of the time in which the largest deployment must serve again.
		bound = 6 * time.Second
	)
	m := newMeshInZones(t, entries, 3, func(string) int { return 192 })
	m.deferDelivery, m.simulatedTime = true, true
	rnd := rand.New(rand.NewPCG(5, 5))
	all := endpointList(endpoints)
	m.now = time.Now()
	for name, f := range m.nodes {
		m.nodes[name] = New(f.cfg, m.now)
		m.nodes[name].SetSender(port{m, name})
	}
	started, reads, loaded := m.now, 0, 0
	for loaded < entries && m.now.Sub(started) < 2*bound {
		m.sendHeartbeats(1)
		m.deliver(0, rnd)
		loaded = 0
		for _, f := range m.nodes {
			if m.now.Sub(started) > storeResponseTime {
				f.ReplaceEvacuations(evacuator.State{Next: locator.At(0, 1)}, m.now)
				require.NoError(t, f.ApplyConfig([]byte("1"), "store", m.now))
			}
			if f.registry.Loaded() {
				loaded++
				continue
			}
			if _, reading := f.ShouldReadEndpoints(m.now); reading && f.ContinueLongRead(m.now) {
				reads++
				f.ReplaceEndpoints(all, locator.At(0, endpoints), m.now)
			}
		}
	}
	t.Logf("%d entries: %d have read the list, all have it after %v", entries, reads, m.now.Sub(started))
	require.Equal(t, entries, loaded)
	require.LessOrEqual(t, m.now.Sub(started), bound)
	require.LessOrEqual(t, reads, 5)
}

// Guards against a whole list for each entry when the store has dropped its history and the entry that reads for all
// must read everything again.
func TestAFullReadIsBroadcastAsChanges(t *testing.T) {
	m := newMesh(t, 3)
	duty, _ := m.nodes["entry-0"].owner(endpointsDuty, nil)
	reader := m.nodes[duty]
	first := endpointChange("gone")
	reader.ApplyEndpoints([]registrar.Change{first, endpointChange("kept")}, locator.At(0, 0), locator.At(0, 4), m.now)
	m.sent = map[string]int{}
	added := endpointChange("added")
	added.Position = locator.At(0, 7)
	reader.ReplaceEndpoints([]registrar.Change{endpointChange("kept"), added}, locator.At(0, 9), m.now)
	require.Equal(t, map[string]int{"*carrier.EndpointsNews": 2}, m.sent)
	for name, f := range m.nodes {
		require.Equal(t, locator.At(0, 9), f.registry.Next(), name)
		require.ElementsMatch(t, []string{"kept", "added"}, f.selector.EndpointIDs("plain"), name)
	}
}
