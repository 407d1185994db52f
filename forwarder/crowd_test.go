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
	// noticeBytes is what endpoints' notices may add to a heartbeat, however many endpoints there are: as much as the
	// members of some tens of entries.
	noticeBytes = 4 << 10
	// crowdTold is how long it may take until all entries know all notices of crowd endpoints.
	crowdTold = 10 * time.Second
	crowd     = 500
)

// crowdedMesh has one entry hear from a crowd of endpoints that each ask for less in every way.
func crowdedMesh(t *testing.T, entries, endpoints int) (*mesh, *rand.Rand) {
	t.Helper()
	m, rnd := newLossyMesh(t, entries, 11)
	all := make([]registrar.Change, endpoints)
	for i := range all {
		all[i] = endpointAt(fmt.Sprintf("endpoint-%d", i))
	}
	for _, f := range m.nodes {
		f.ReplaceEndpoints(all, locator.At(0, 5), m.now)
	}
	f := m.nodes["entry-0"]
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range all {
		f.regulator.Heard(all[i].Endpoint, regulator.Notice{Limited: true, PerSecond: 2, Leaving: true}, m.now)
	}
	return m, rnd
}

// heartbeatBytes is the largest heartbeat that the entry sends in so many rounds.
func (m *mesh) heartbeatBytes(entry string, rounds int) (most int) {
	f := m.nodes[entry]
	for range rounds {
		f.mu.Lock()
		beat := carrier.Heartbeat{Limits: f.limits(m.now), Leaving: f.leaving(), Refusing: f.refusals(m.now)}
		f.mu.Unlock()
		encoded, err := beat.MarshalMsg(nil)
		require.NoError(m.t, err)
		most = max(most, len(encoded))
	}
	return most
}

// Guards against heartbeats that grow with the endpoints which ask for less, until they come late or do not fit in a frame.
func TestHeartbeatsDoNotGrowWithEndpointsNotices(t *testing.T) {
	for _, endpoints := range []int{1, crowd, 10_000} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			m, _ := crowdedMesh(t, 3, endpoints)
			require.Less(t, m.heartbeatBytes("entry-0", 20), noticeBytes)
		})
	}
}

// Guards against a notice that is never told since others go before it.
func TestAllNoticesOfACrowdAreTold(t *testing.T) {
	for _, entries := range []int{3, 65} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			m, rnd := crowdedMesh(t, entries, crowd)
			for end := m.now.Add(crowdTold); m.now.Before(end); {
				m.beat(1)
				m.deliver(0.1, rnd)
			}
			for name, f := range m.nodes {
				require.Len(t, f.regulator.Limited(), crowd, name)
				require.Len(t, f.regulator.Leaves(), crowd, name)
			}
		})
	}
}

// Guards against further entries that send to a limited endpoint since its answers come late to them, one notice among many.
func TestLateNoticesDrawNoFurtherSenders(t *testing.T) {
	const (
		entries   = 20
		endpoints = 1500
		// senders is how many entries share the limit that crowdedMesh has endpoints name.
		senders    = 7
		callEvery  = time.Second
		settleTime = 20 * time.Second
	)
	m, rnd := crowdedMesh(t, entries, endpoints)
	startTime, called, most := m.now, m.now, 0
	for m.now.Sub(startTime) < settleTime {
		m.beat(1)
		m.deliver(0.1, rnd)
		if m.now.Sub(called) < callEvery {
			continue
		}
		called = m.now
		for i := range endpoints {
			n := m.callFromSenders(endpointAt(fmt.Sprintf("endpoint-%d", i)).Endpoint)
			if m.now.Sub(startTime) > 2*callEvery {
				most = max(most, n)
			}
		}
	}
	require.LessOrEqual(t, most, senders)
}

// callFromSenders has all entries that may send to a limited endpoint do so, and counts them.
func (m *mesh) callFromSenders(e *registrar.Endpoint) (n int) {
	for _, f := range m.nodes {
		f.mu.Lock()
		if _, sends := f.regulator.FreeAt(e.ID, m.now); sends {
			f.regulator.Heard(e, regulator.Notice{Limited: true, PerSecond: 2}, m.now)
			n++
		}
		f.mu.Unlock()
	}
	return n
}
