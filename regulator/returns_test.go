package regulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRefusedCallersReturnOneByOne(t *testing.T) {
	var r ReturnSchedule
	free := now.Add(time.Second)
	require.Equal(t, time.Second, r.RetryAfter(free, 2, false, now))
	require.Equal(t, 1500*time.Millisecond, r.RetryAfter(free, 2, false, now))
	require.Equal(t, time.Second, r.RetryAfter(free, 2, true, now), "an urgent caller does not queue behind others")
	require.Equal(t, 1500*time.Millisecond, r.RetryAfter(free, 2, true, now))
	require.Equal(t, 2*time.Second, r.RetryAfter(free, 2, false, now), "all others queue behind it")
	for range 100 {
		require.LessOrEqual(t, r.RetryAfter(free, 2, false, now), maxRetryAfter)
	}
	later := now.Add(time.Minute)
	require.Zero(t, r.RetryAfter(later, 2, false, later))
}

func TestCallersReturnQuicklyWithoutALimit(t *testing.T) {
	var r ReturnSchedule
	free := now.Add(3 * time.Second)
	require.Equal(t, 3*time.Second, r.RetryAfter(free, 0, false, now))
	require.Equal(t, 3*time.Second+minReturnSpacing, r.RetryAfter(free, 0, false, now))
}
