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
	for _, pause := range []time.Duration{100, 200, 400, 500, 500} {
		b.Refused(p, now)
		require.True(t, b.Holds(now.Add(pause*time.Millisecond-1)))
		require.False(t, b.Holds(now.Add(pause*time.Millisecond)))
	}
	b.Served()
	b.Refused(p, now)
	require.False(t, b.Holds(now.Add(p.First)))
}
