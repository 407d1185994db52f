package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/admitter"
)

// observed is an admitter that knows two stages of exactly 100 ms and 400 ms.
func observed() *admitter.Admitter {
	a := admitter.New(admitter.Config{})
	for range 100 {
		a.Observe("chat/encode", 100*time.Millisecond, 50, began)
		a.Observe("chat/generate", 400*time.Millisecond, 300, began)
	}
	return a
}

func chat(ahead, worst float64) []admitter.PendingStage {
	return []admitter.PendingStage{
		{Stage: "chat/encode", Pool: "encode", Expected: time.Second, Capacity: 4},
		{Stage: "chat/generate", Pool: "generate", Expected: time.Second, WorkAhead: ahead, WorstWorkAhead: worst, Capacity: 40},
	}
}

// TestAdmit holds the wait to a part of the slack: a second of deadline beyond 0.5 s of
// service leaves 0.5 s, of which 0.2 s may be waited for and 0.4 s at worst.
func TestAdmit(t *testing.T) {
	scenarios := []struct {
		testName string
		asks     []admitter.PendingStage
		deadline time.Duration
		admitted bool
	}{
		{"nothing waits", chat(0, 0), time.Second, true},
		{"a short wait", chat(6000, 40000), time.Second, true},
		{"a long wait", chat(12000, 40000), time.Second, false},
		{"a long wait within the account's share", chat(12000, 13000), time.Second, true},
		{"service alone takes too long", chat(0, 0), 400 * time.Millisecond, false},
		{"a pool without capacity", []admitter.PendingStage{{Stage: "chat/encode", Pool: "encode", WorkAhead: 1}}, time.Minute, false},
		{"no stage observed", []admitter.PendingStage{{Stage: "new", Pool: "new", Expected: 2 * time.Second}}, time.Second, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			verdict := observed().Admit(s.asks, began.Add(s.deadline), began)
			switch verdict := verdict.(type) {
			case admitter.Admitted:
				require.True(t, s.admitted)
			case admitter.Refused:
				require.False(t, s.admitted)
				require.Positive(t, verdict.RetryAfter)
			}
		})
	}
}

// TestRefusedCallersReturnInTurn refuses a crowd in one moment.
//
// Told just the excess wait, all would come back together within milliseconds and be
// refused again, and each try costs the entry work. They are told times that are as far
// apart as the pool takes for one of them: 300 ms of work over 40 slots.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	a := observed()
	const crowd = 1000
	var waits []time.Duration
	for range crowd {
		refused, ok := a.Admit(chat(12000, 40000), began.Add(time.Second), began).(admitter.Refused)
		require.True(t, ok)
		waits = append(waits, refused.RetryAfter)
	}
	require.IsIncreasing(t, []time.Duration{waits[0], waits[crowd/4], waits[crowd/2], waits[crowd-1]})
	require.InEpsilon(t, (crowd * 7500 * time.Microsecond).Seconds(), waits[crowd-1].Seconds(), 0.2)
	require.LessOrEqual(t, waits[crowd-1], admitter.DefaultMaxRetryAfter*12/10)
}

// TestBudgetAndHopeless follow a request through its stages.
func TestBudgetAndHopeless(t *testing.T) {
	a := observed()
	asks := chat(0, 0)
	left := began.Add
	// The histogram keeps one significant figure.
	require.InDelta(t, 600*time.Millisecond, a.Budget(asks, left(time.Second), began), float64(40*time.Millisecond))
	require.Equal(t, time.Second, a.Budget(asks[1:], left(time.Second), began), "the last stage has all that is left")
	require.Zero(t, a.Budget(asks, left(-time.Second), began))
	require.False(t, a.CannotFinish(asks, left(600*time.Millisecond), began))
	require.True(t, a.CannotFinish(asks, left(400*time.Millisecond), began))
}

// TestExpectedCost forgets nothing at once and prefers what was observed.
func TestExpectedCost(t *testing.T) {
	a := observed()
	require.InDelta(t, 7, a.ExpectedCost("new", 7), 1e-9)
	require.InDelta(t, 300, a.ExpectedCost("chat/generate", 7), 1e-9)
	a.Observe("chat/generate", time.Second, 1300, began)
	require.InDelta(t, 310, a.ExpectedCost("chat/generate", 7), 1)
}
