package forwarder

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/locator"
	"geraniumline/quarantiner"
	"geraniumline/registrar"
)

// Guards against crashes that count twice, or for requests that had nothing to do with them, when peers report the end of
// an endpoint.
func TestEndsReportedByPeersCountForBrokenExchanges(t *testing.T) {
	change, restarted := endpointChange("e1"), endpointChange("e1")
	change.Endpoint.Started = time.UnixMilli(1000)
	restarted.Endpoint.Started = time.UnixMilli(2000)
	tests := []struct {
		testName string
		// reportAge is the age of the peer's observation, reportedAfter when its heartbeat arrives after the exchange broke.
		reportAge, reportedAfter time.Duration
		// listed is what the registry lists by then.
		listed []registrar.Change
		want   int
	}{
		{"after the exchange broke", 20 * time.Millisecond, 100 * time.Millisecond, []registrar.Change{change}, 1},
		{"long before the exchange broke", 2 * time.Second, 100 * time.Millisecond, []registrar.Change{change}, 0},
		{"long after the exchange broke", 0, 4 * time.Second, []registrar.Change{change}, 0},
		{"after the registration was removed", 20 * time.Millisecond, 100 * time.Millisecond, nil, 1},
		{"after the endpoint started again", 20 * time.Millisecond, 100 * time.Millisecond, []registrar.Change{restarted}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			m := newMesh(t, 2)
			f, broke := m.nodes["entry-0"], m.now
			f.ReplaceEndpoints([]registrar.Change{change}, locator.At(0, 5), broke)
			f.mu.Lock()
			f.broken.add(&brokenExchange{endpoint: *change.Endpoint, parts: []quarantiner.Part{crashingPart}, at: broke})
			f.mu.Unlock()
			now := broke.Add(tt.reportedAfter)
			f.ReplaceEndpoints(tt.listed, locator.At(0, 6), now)
			f.mu.Lock()
			f.partChanges(now)
			report := []carrier.EndpointRefusal{refusalMessage("e1", change.Endpoint.Started, tt.reportAge)}
			f.applyUnreachable(report, "entry-1", now)
			f.applyUnreachable(report, "entry-1", now)
			_, suspected := f.parts.Counts()
			f.mu.Unlock()
			require.Equal(t, tt.want, suspected)
		})
	}
}

// Guards against an entry that has lost its links to endpoints and takes all of them for crashed.
func TestRefusedConnectionsBehindAPartitionCountForNothing(t *testing.T) {
	m := newMesh(t, 2)
	f := m.nodes["entry-0"]
	change := endpointChange("e1")
	f.mu.Lock()
	f.paths.RecordFailed(change.Endpoint.Address, true, m.now)
	f.paths.RecordRelayed(change.Endpoint.Address, "entry-1", m.now)
	f.broken.add(&brokenExchange{endpoint: *change.Endpoint, parts: []quarantiner.Part{crashingPart}, at: m.now})
	f.mu.Unlock()
	f.recordRefusedConnection(change.Endpoint)
	f.mu.Lock()
	defer f.mu.Unlock()
	_, suspected := f.parts.Counts()
	require.Zero(t, suspected)
}

// Guards against an entry that tells peers of no endpoint that has ended, since it takes two of them for a failure of its own
// links.
func TestEndedEndpointsAreReportedWhileOthersAreReached(t *testing.T) {
	m := newMesh(t, 1)
	f := m.nodes["entry-0"]
	var changes []registrar.Change
	var ended []string
	var listeners []net.Listener
	for i := range 5 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		change := endpointChange(fmt.Sprint("e", i))
		change.Endpoint.Address = listener.Addr().String()
		changes = append(changes, change)
		if i < 2 {
			ended = append(ended, change.ID)
			listeners = append(listeners, listener)
		}
	}
	for _, listener := range listeners {
		require.NoError(t, listener.Close())
	}
	f.ReplaceEndpoints(changes, locator.At(0, 5), m.now)
	for _, change := range changes[:2] {
		_, err := f.send(t.Context(), fixedCall(&connector.Call{Address: change.Endpoint.Address}))
		require.Error(t, err)
		f.selector.RecordProcessEnd(change.ID, change.Endpoint.Started, time.Now())
	}
	failedAt := time.Now()
	reported := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		var ids []string
		for _, r := range f.unreachable(failedAt) {
			ids = append(ids, r.ID)
		}
		slices.Sort(ids)
		return slices.Equal(ended, ids)
	}
	require.Eventually(t, reported, time.Minute, time.Millisecond)
}

// Guards against two crashes that count once since the second process had the address of the first.
func TestCrashesOfTwoProcessesAtOneAddressCountTwice(t *testing.T) {
	m := newMesh(t, 2)
	f, content := m.nodes["entry-0"], quarantiner.Digest{1}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range []string{"e1", "e2"} {
		e := registrar.Endpoint{ID: id, Service: "plain", Address: "10.0.0.1:80"}
		f.broken.add(&brokenExchange{endpoint: e, content: content, at: m.now})
		f.recordProcessEnd(id, e.Started, m.now)
	}
	require.Equal(t, quarantiner.Quarantined, f.quarantiner.Verdict(content, m.now))
}
