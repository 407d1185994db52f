package regulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/rationer"
	"geraniumline/registrar"
)

var now = time.Unix(1_000_000, 0)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("entry-%03d", i)
	}
	return list
}

func newRegulator(self string, live []string) *Regulator {
	r := New(Config{Self: self})
	r.SetEntries(live)
	return r
}

// senders returns the number of entries that may send to a limited endpoint when each has just received its limit.
func senders(n int, perSecond float64, at time.Time) (count int) {
	live := names(n)
	for _, name := range live {
		r := newRegulator(name, live)
		r.ApplyPeerLimit(Limit{Endpoint: "a", PerSecond: perSecond, At: now})
		if r.Allows("a", at) {
			count++
		}
	}
	return count
}

func TestSomeEntriesShareALimit(t *testing.T) {
	require.Equal(t, 4, senders(300, 0.5, now))
	require.Equal(t, 5, senders(300, 1, now))
	require.Equal(t, 23, senders(300, 10, now))
	require.Equal(t, 7, senders(7, 10, now))
	require.Equal(t, 1, senders(1, 1, now))
}

// Guards against a limit that is never found to have ended because no entry that may send has a call for the endpoint.
func TestMoreEntriesSendWithoutRecentAnswers(t *testing.T) {
	late := now.Add(staleAfter + staleAfterCalls*time.Second)
	require.Equal(t, 5, senders(300, 1, late))
	require.Equal(t, 6, senders(300, 1, late.Add(addSenderEvery/2)))
	require.Equal(t, 15, senders(300, 1, late.Add(9*addSenderEvery+addSenderEvery/2)))
}

// Guards against an endpoint that gets no calls because its limit overflows the number of senders.
func TestHugeLimitAllowsEverything(t *testing.T) {
	r := newRegulator("entry-001", names(300))
	r.ApplyPeerLimit(Limit{Endpoint: "a", PerSecond: 1e6, At: now})
	for range 1000 {
		require.True(t, r.Allows("a", now))
		r.RecordSend("a", now)
	}
}

func TestSenderKeepsToItsQuota(t *testing.T) {
	e := &registrar.Endpoint{ID: "a"}
	r := newRegulator("entry", []string{"entry"})
	require.True(t, r.ApplyNotice(e, Notice{Limited: true, PerSecond: 2}, now).Limit)
	require.False(t, r.ApplyNotice(e, Notice{Limited: true, PerSecond: 2}, now).Limit, "unchanged")
	for _, tt := range []struct {
		name  string
		free  func() time.Time
		sent  func(string, time.Time)
		burst int
	}{
		{"shared", func() time.Time { at, _ := r.NextSendTime("a", now); return at }, r.RecordSend, 3},
		{"sole", func() time.Time { return r.SoleNextSendTime("a", now) }, r.RecordSoleSend, 4},
	} {
		now := now.Add(time.Minute)
		for range tt.burst {
			at, sends := r.NextSendTime("a", now)
			require.True(t, sends)
			require.False(t, at.After(now), tt.name)
			tt.sent("a", now)
		}
		require.False(t, r.Allows("a", now.Add(400*time.Millisecond)), tt.name)
		require.True(t, r.Allows("a", now.Add(500*time.Millisecond)), tt.name)
		require.Equal(t, now.Add(500*time.Millisecond), r.SoleNextSendTime("a", now), tt.name)
		r.rationer = rationer.New("entry")
	}
	require.True(t, r.Allows("b", now), "an endpoint without a limit")
	require.False(t, r.SoleNextSendTime("b", now).After(now))
}

func TestEndOfLimit(t *testing.T) {
	started := time.UnixMilli(1000)
	limited := func() *Regulator {
		r := newRegulator("entry-001", names(300))
		require.True(t, r.ApplyNotice(&registrar.Endpoint{ID: "a", Started: started}, Notice{Limited: true, PerSecond: 1}, now).Limit)
		require.Len(t, r.LimitedEndpoints(), 1)
		return r
	}
	t.Run("answer without limit", func(t *testing.T) {
		r := limited()
		require.True(t, r.ApplyNotice(&registrar.Endpoint{ID: "a", Started: started}, Notice{}, now.Add(time.Second)).Limit)
		require.Empty(t, r.LimitedEndpoints())
		require.True(t, r.Allows("a", now.Add(time.Second)))
	})
	t.Run("peer's report of such an answer", func(t *testing.T) {
		r := limited()
		require.True(t, r.ApplyPeerLimit(Limit{Endpoint: "a", Started: started, At: now.Add(time.Second)}))
		require.Empty(t, r.LimitedEndpoints())
	})
	t.Run("not an older report", func(t *testing.T) {
		r := limited()
		require.False(t, r.ApplyPeerLimit(Limit{Endpoint: "a", Started: started, At: now.Add(-time.Second)}))
		require.Len(t, r.LimitedEndpoints(), 1)
	})
	t.Run("not the report of an earlier start", func(t *testing.T) {
		r := limited()
		require.False(t, r.ApplyPeerLimit(Limit{Endpoint: "a", Started: started.Add(-time.Hour), At: now.Add(time.Second)}))
		require.Len(t, r.LimitedEndpoints(), 1)
	})
	t.Run("restart", func(t *testing.T) {
		r := limited()
		r.Retain(listOf("a", started), now)
		require.Len(t, r.LimitedEndpoints(), 1)
		r.Retain(listOf("a", started.Add(time.Second)), now)
		require.Empty(t, r.LimitedEndpoints())
	})
	t.Run("end of the endpoint", func(t *testing.T) {
		r := limited()
		r.Retain(listOf("b", started), now)
		require.Empty(t, r.LimitedEndpoints())
	})
}

// listOf returns a filter for Retain that lists a single endpoint.
func listOf(id string, started time.Time) func(string, time.Time) bool {
	return func(otherID string, at time.Time) bool {
		return (&registrar.Endpoint{ID: id, Started: started}).SameIncarnation(&registrar.Endpoint{ID: otherID, Started: at})
	}
}

// Guards against peers that keep reporting a limit which has ended: they must be notified, but not forever.
func TestPeersAreNotifiedOfEndedLimit(t *testing.T) {
	r := newRegulator("entry", []string{"entry"})
	require.Empty(t, r.Limits(now))
	e := &registrar.Endpoint{ID: "a"}
	r.ApplyNotice(e, Notice{Limited: true, PerSecond: 1}, now)
	require.Equal(t, []Limit{{Endpoint: "a", PerSecond: 1, At: now}}, r.Limits(now.Add(time.Minute)))
	r.ApplyNotice(e, Notice{}, now)
	require.Equal(t, []Limit{{Endpoint: "a", At: now}}, r.Limits(now.Add(endedLimitTTL-1)))
	require.Empty(t, r.Limits(now.Add(endedLimitTTL)))
}
