package regulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that has lost its network and reports all endpoints of a pool as unreachable.
func TestPeerThatReportsMostOfAPoolIsNotCredible(t *testing.T) {
	const poolSize = 10
	var r PeerReports
	for i := range poolSize {
		require.Equal(t, i < poolSize/2, r.Record("cut off", fmt.Sprint(i), now, poolSize, now))
	}
	require.True(t, r.Record("other", "0", now, poolSize, now))
	require.False(t, r.Record("cut off", "0", now, poolSize, now))
	later := now.Add(PeerReportTTL)
	require.True(t, r.Record("cut off", "0", later, poolSize, later), "its earlier reports no longer count")
}

func TestReportsWithoutEffectAreDiscarded(t *testing.T) {
	var r PeerReports
	require.False(t, r.Record("peer", "a", now.Add(-PeerReportTTL), 10, now), "too old")
	require.Empty(t, r.byPeer)
	require.True(t, r.Record("peer", "a", now, 10, now))
	require.True(t, r.Record("peer", "a", now.Add(-time.Second), 10, now))
	r.Prune(now.Add(PeerReportTTL - 1))
	require.Len(t, r.byPeer, 1, "an older report does not replace a newer one")
	r.Prune(now.Add(PeerReportTTL))
	require.Empty(t, r.byPeer)
}
