package selector

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
	"geraniumline/regulator"
)

// chosenIDs returns how often each endpoint is chosen for n calls.
func (s *Selector) chosenIDs(query Query, n int, now time.Time) map[string]int {
	chosen := make(map[string]int)
	for range n {
		if choice, found := s.Choose(query, now); found {
			chosen[choice.Endpoint.ID]++
		}
	}
	return chosen
}

// Guards against peers' reports that take endpoints out of use: they must only make others preferred, and for a while.
func TestReportedEndpointIsUsedIfNoOtherIs(t *testing.T) {
	s := newSelector(3)
	query := Query{Service: "pool"}
	require.True(t, s.RecordPeerUnreachable("peer", "e0", now, now))
	require.False(t, s.RecordPeerUnreachable("peer", "e0", now.Add(-time.Second), now), "already avoided")
	require.Zero(t, s.chosenIDs(query, 50, now)["e0"])
	require.Equal(t, map[string]int64{"pool": 1}, s.AvoidedCounts(now))
	require.Equal(t, map[string]int{"e0": 50}, s.chosenIDs(Query{Service: "pool", Exclude: []string{"e1", "e2"}}, 50, now))
	require.Len(t, s.chosenIDs(query, 50, now.Add(regulator.PeerReportTTL)), 3)
	require.Empty(t, s.AvoidedCounts(now.Add(regulator.PeerReportTTL)))
}

// Guards against entries that each probe an endpoint whose address still refuses their peers' connections.
func TestNoProbeWhilePeersCannotReachTheEndpoint(t *testing.T) {
	s := newSelector(3)
	down := s.choiceOf("e0", 0)
	s.RecordStart(down, nil, now)
	s.RecordEnd(down, ejector.Down, now)
	due := now.Add(2 * time.Second)
	s.RecordPeerUnreachable("peer", "e0", due, due)
	require.Zero(t, s.chosenIDs(Query{Service: "pool"}, 50, due)["e0"])
	require.Equal(t, 1, s.chosenIDs(Query{Service: "pool"}, 1, due.Add(regulator.PeerReportTTL))["e0"], "probed once the report is old")
}

// Guards against a report that holds back an endpoint which has answered since.
func TestAnswerEndsPeersReport(t *testing.T) {
	s := newSelector(2)
	s.RecordPeerUnreachable("peer", "e0", now, now)
	choice := s.choiceOf("e0", 0)
	s.RecordStart(choice, nil, now)
	s.RecordEnd(choice, ejector.Good, now)
	require.Len(t, s.chosenIDs(Query{Service: "pool"}, 50, now), 2)
}

// Guards against an entry without a network that has its peers avoid most of a pool.
func TestReportsAboutMostOfAPoolAreIgnored(t *testing.T) {
	s := newSelector(9)
	for i := range 9 {
		s.RecordPeerUnreachable("cut off", fmt.Sprint("e", i), now, now)
	}
	require.Empty(t, s.AvoidedCounts(now), "those from before it was noticed included")
	for i := range 9 {
		choice := s.choiceOf(fmt.Sprint("e", i), 0)
		s.RecordStart(choice, nil, now)
		s.RecordEnd(choice, ejector.Down, now)
		require.Len(t, s.Unreachable(now), (i+1)*map[bool]int{true: 1}[i < 4], "it does not report them either")
	}
}

func TestUnreachableEndpointsAreReportedForAWhile(t *testing.T) {
	s := newSelector(3)
	require.Empty(t, s.Unreachable(now))
	choice := s.choiceOf("e0", 0)
	s.RecordStart(choice, nil, now)
	require.True(t, s.RecordEnd(choice, ejector.Down, now))
	require.Equal(t, []Refusal{{Endpoint: choice.Endpoint, At: now}}, s.Unreachable(now.Add(regulator.PeerReportTTL-1)))
	require.Empty(t, s.Unreachable(now.Add(regulator.PeerReportTTL)))
	require.False(t, s.RecordUnreachable(choice, now), "already ejected")
	require.Len(t, s.Unreachable(now), 1)
	s.SetEndpoints(plainEndpoints(3)[1:])
	require.Empty(t, s.Unreachable(now))
}
