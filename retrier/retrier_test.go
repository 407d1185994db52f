package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/retrier"
)

// A pool is unavailable and every call fails. Retries must stop when the reserve is used up, whatever the load, so that
// the pool is not overloaded by retries when it returns. A busy pool must earn hardly any retries and make no hedged
// calls.
func TestBudget(t *testing.T) {
	r := retrier.New(retrier.Config{})
	now := time.Time{}
	spend := func(calls int, busy bool) (retries, hedges int) {
		for range calls {
			r.RecordFirstAttempt("pool", busy, now)
			if r.TakeHedge("pool", 1, busy, now) {
				hedges++
			}
			if r.TakeRetry("pool", 1, now) {
				retries++
			}
		}
		return retries, hedges
	}
	retries, hedges := spend(1000, false)
	require.LessOrEqual(t, retries+hedges, 10+40)
	require.GreaterOrEqual(t, retries+hedges, 10+30)
	retries, hedges = spend(1000, true)
	require.LessOrEqual(t, retries, 5)
	require.Zero(t, hedges)
	require.False(t, r.TakeRetry("pool", 3, now))
	require.False(t, r.CanRetry("other", 3))
	require.True(t, r.CanRetry("other", 1))
}

// Five entries share the limit, and this one detects the other four. What it accumulated on its own must not be spent.
func TestSetReserveDiscardsExcess(t *testing.T) {
	r := retrier.New(retrier.Config{Ratio: 0.2, Reserve: 10, MaxAttempts: 100})
	require.True(t, r.TakeRetry("a", 1, time.Time{}))
	r.SetReserve(2)
	require.True(t, r.TakeRetry("a", 1, time.Time{}))
	require.True(t, r.TakeRetry("a", 1, time.Time{}))
	require.False(t, r.TakeRetry("a", 1, time.Time{}))
	require.True(t, r.TakeRetry("b", 1, time.Time{}))
	require.True(t, r.TakeRetry("b", 1, time.Time{}))
	require.False(t, r.TakeRetry("b", 1, time.Time{}))
	for range 100 {
		r.RecordFirstAttempt("a", false, time.Time{})
	}
	require.True(t, r.TakeRetry("a", 1, time.Time{}))
	require.True(t, r.TakeRetry("a", 1, time.Time{}))
	require.False(t, r.TakeRetry("a", 1, time.Time{}))
}
