package evacuator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/locator"
)

// at returns a position in a store that reports no era.
func at(offset int64) locator.Position { return locator.At(0, offset) }

func TestEvacuateAndRestoreZones(t *testing.T) {
	e := New()
	now := time.Unix(1000, 0)
	require.True(t, e.Apply([]Change{{Zone: "a", Position: at(3), Evacuated: true}}, at(4), now))
	require.True(t, e.Evacuated("a"))
	require.False(t, e.Evacuated("b"))
	require.True(t, e.Apply([]Change{{Zone: "b", Position: at(4), Evacuated: true}, {Zone: "a", Position: at(5)}}, at(6), now.Add(time.Second)))
	require.Equal(t, State{Next: at(6), Zones: []string{"b"}}, e.State())
	require.Equal(t, now.Add(time.Second), e.EndedAt("a"))
	require.Zero(t, e.EndedAt("b"))
	require.True(t, e.Apply([]Change{{Zone: "a", Position: at(6), Evacuated: true}}, at(7), now.Add(2*time.Second)))
	require.Zero(t, e.EndedAt("a"))
}

// The operator ends an evacuation and begins another. A stale read of the store, a reader that is far behind and a
// peer that lags deliver the first one again. If they were applied, endpoints that must receive no work would receive
// requests.
func TestOlderStateIsIgnored(t *testing.T) {
	e := New()
	now := time.Unix(1000, 0)
	records := []Change{{Zone: "a", Position: at(1), Evacuated: true}, {Zone: "a", Position: at(2)}, {Zone: "b", Position: at(3), Evacuated: true}}
	require.True(t, e.Apply(records, at(4), now))
	want := State{Next: at(4), Zones: []string{"b"}}
	require.False(t, e.Replace(State{Next: at(2), Zones: []string{"a"}}, now))
	require.False(t, e.Apply(records[:1], at(2), now))
	require.Equal(t, want, e.State())
	require.True(t, e.Replace(State{Next: at(9), Zones: []string{"b", "c"}}, now))
	require.True(t, e.Apply([]Change{{Zone: "c", Position: at(5), Evacuated: true}, {Zone: "c", Position: at(9)}}, at(10), now))
	require.Equal(t, State{Next: at(10), Zones: []string{"b"}}, e.State())
}

// The store has compacted its history since an evacuation was ended: only the newest records are left, and the
// deleted one is not among them.
func TestDeletedRecordEndsEvacuation(t *testing.T) {
	e := New()
	now := time.Unix(1000, 0)
	require.True(t, e.Replace(State{Next: at(4), Zones: []string{"a", "b"}}, now))
	require.True(t, e.Replace(State{Next: at(8), Zones: []string{"b"}}, now))
	require.False(t, e.Evacuated("a"))
	require.Equal(t, now, e.EndedAt("a"))
}

// Entries that received any updates in any order agree as soon as they have received the newest one.
func TestEntriesAgreeOnTheNewestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(1, 20).Draw(t, "records")
		records := make([]Change, n)
		states := make([]State, n+1)
		whole := New()
		for i := range records {
			records[i] = Change{
				Zone:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Position:  at(int64(i)),
				Evacuated: rapid.Bool().Draw(t, "evacuated"),
			}
			whole.Apply(records[i:i+1], at(int64(i)+1), now)
			states[i+1] = whole.State()
		}
		e := New()
		for range rapid.IntRange(0, 10).Draw(t, "words") {
			if to := rapid.IntRange(0, n).Draw(t, "to"); rapid.Bool().Draw(t, "peer") {
				e.Replace(states[to], now)
			} else {
				from := rapid.IntRange(0, min(to, int(e.next.Offset()))).Draw(t, "from")
				e.Apply(records[from:to], at(int64(to)), now)
			}
			require.Equal(t, states[e.next.Offset()].Zones, e.State().Zones)
		}
		e.Apply(records, at(int64(n)), now)
		require.Equal(t, whole.State(), e.State())
	})
}
