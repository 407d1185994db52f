package regulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachRefusalInARowDoublesThePause(t *testing.T) {
	p := Pauses{First: 100 * time.Millisecond, Longest: 500 * time.Millisecond}
	var b Backoff
	require.False(t, b.Holds(now))
	for _, millis := range []int{100, 200, 400, 500, 500} {
		end := now.Add(time.Duration(millis) * time.Millisecond)
		b.Refused(p, now)
		require.True(t, b.Holds(end.Add(-1)))
		require.False(t, b.Holds(end))
	}
	b.Served()
	b.Refused(p, now)
	require.False(t, b.Holds(now.Add(p.First)))
}

func TestAPeersWordHoldsForTheLongestPause(t *testing.T) {
	p := Pauses{First: 100 * time.Millisecond, Longest: 500 * time.Millisecond}
	var b Backoff
	b.Told(p, now)
	b.Told(p, now.Add(-time.Minute))
	require.True(t, b.Holds(now.Add(p.Longest-1)))
	require.False(t, b.Holds(now.Add(p.Longest)))
	require.Zero(t, b.InRow())
}
