package regulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEachConsecutiveRefusalDoublesThePause(t *testing.T) {
	p := BackoffBounds{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond}
	var b Backoff
	require.False(t, b.Active(now))
	for _, millis := range []int{100, 200, 400, 500, 500} {
		end := now.Add(time.Duration(millis) * time.Millisecond)
		b.RecordRefusal(p, now)
		require.True(t, b.Active(end.Add(-1)))
		require.False(t, b.Active(end))
	}
	b.RecordSuccess()
	b.RecordRefusal(p, now)
	require.False(t, b.Active(now.Add(p.Initial)))
}

func TestPeerRefusalStartsTheLongestPause(t *testing.T) {
	p := BackoffBounds{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond}
	var b Backoff
	b.RecordPeerRefusal(p, now)
	b.RecordPeerRefusal(p, now.Add(-time.Minute))
	require.True(t, b.Active(now.Add(p.Max-1)))
	require.False(t, b.Active(now.Add(p.Max)))
	require.Zero(t, b.ConsecutiveRefusals())
}
