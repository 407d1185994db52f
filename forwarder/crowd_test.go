package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/regulator"
)

const (
	// maxNoticeBytes is the size that endpoints' notices may add to a heartbeat, however many endpoints there are: as
	// much as the members of some tens of entries.
	maxNoticeBytes = 4 << 10
	// spreadTimeout is how long it may take until all entries know the notices of manyEndpoints endpoints.
	spreadTimeout = 10 * time.Second
	manyEndpoints = 500
)

// newMeshWithNotices returns a mesh in which one entry has received notices of every kind from many endpoints.
func newMeshWithNotices(t *testing.T, entries, endpoints int) (*mesh, *rand.Rand) {
	t.Helper()
	m, rnd := newLossyMesh(t, entries, 11)
	all := make([]registrar.Change, endpoints)
	for i := range all {
		all[i] = endpointChange(fmt.Sprintf("endpoint-%d", i))
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 5), m.now)
	}
	f := m.nodes["entry-0"]
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range all {
		f.regulator.ApplyNotice(all[i].Endpoint, regulator.Notice{Limited: true, PerSecond: 2, Leaving: true}, m.now)
		f.regulator.MarkEnded(all[i].Endpoint, locator.At(0, 5), m.now)
	}
	return m, rnd
}

// heartbeatBytes returns the size of the notices in the largest heartbeat of an entry over the given rounds.
func (m *mesh) heartbeatBytes(entry string, rounds int) (most int) {
	f := m.nodes[entry]
	for range rounds {
		f.mu.Lock()
		heartbeat := carrier.Heartbeat{Limits: f.limits(m.now), Leaving: f.leaving(), Refusing: f.refusals(m.now), Unreachable: f.unreachable(m.now)}
		f.mu.Unlock()
		encoded, err := heartbeat.MarshalMsg(nil)
		require.NoError(m.t, err)
		most = max(most, len(encoded))
	}
	return most
}

// Guards against heartbeats that grow with the number of endpoints which ask for less, until they arrive late or do
// not fit in a frame.
func TestHeartbeatsDoNotGrowWithEndpointsNotices(t *testing.T) {
	for _, endpoints := range []int{1, manyEndpoints, 10_000} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			m, _ := newMeshWithNotices(t, 3, endpoints)
			require.Less(t, m.heartbeatBytes("entry-0", 20), maxNoticeBytes)
		})
	}
}

// Guards against a notice that is never sent because others are always sent first.
func TestAllNoticesReachAllEntries(t *testing.T) {
	for _, entries := range []int{3, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			m, rnd := newMeshWithNotices(t, entries, manyEndpoints)
			for end := m.now.Add(spreadTimeout); m.now.Before(end); {
				m.sendHeartbeats(1)
				m.deliver(0.1, rnd)
			}
			for name, f := range m.nodes {
				require.Len(t, f.regulator.LimitedEndpoints(), manyEndpoints, name)
				require.Len(t, f.regulator.LeavingEndpoints(), manyEndpoints, name)
			}
		})
	}
}

// Guards against additional entries that send to a limited endpoint because its notice, one among many, reaches them
// late.
func TestLateNoticesAddNoSenders(t *testing.T) {
	const (
		entries   = 20
		endpoints = 1500
		// senders is how many entries share the limit in the notices of newMeshWithNotices.
		senders    = 7
		callEvery  = time.Second
		settleTime = 20 * time.Second
	)
	m, rnd := newMeshWithNotices(t, entries, endpoints)
	startTime, called, most := m.now, m.now, 0
	for m.now.Sub(startTime) < settleTime {
		m.sendHeartbeats(1)
		m.deliver(0.1, rnd)
		if m.now.Sub(called) < callEvery {
			continue
		}
		called = m.now
		for i := range endpoints {
			n := m.callFromSenders(endpointChange(fmt.Sprintf("endpoint-%d", i)).Endpoint)
			if m.now.Sub(startTime) > 2*callEvery {
				most = max(most, n)
			}
		}
	}
	require.LessOrEqual(t, most, senders)
}

// callFromSenders simulates a call from each entry that may send to a limited endpoint, and returns their number.
func (m *mesh) callFromSenders(e *registrar.Endpoint) (n int) {
	for _, f := range m.nodes {
		f.mu.Lock()
		if _, sends := f.regulator.NextSendTime(e.ID, m.now); sends {
			f.regulator.ApplyNotice(e, regulator.Notice{Limited: true, PerSecond: 2}, m.now)
			n++
		}
		f.mu.Unlock()
	}
	return n
}
