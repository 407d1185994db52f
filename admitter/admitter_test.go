package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/admitter"
)

// observedAdmitter returns an admitter that has observed two stages of exactly 100 ms and 400 ms.
func observedAdmitter() *admitter.Admitter {
	a := admitter.New(admitter.Config{})
	for range 100 {
		a.Observe("chat/encode", 100*time.Millisecond, 50, start)
		a.Observe("chat/generate", 400*time.Millisecond, 300, start)
	}
	return a
}

func chatStages(ahead, worst float64) []admitter.PendingStage {
	return []admitter.PendingStage{
		{Stage: "chat/encode", Pool: "encode", Expected: time.Second, Capacity: 4},
		{Stage: "chat/generate", Pool: "generate", Expected: time.Second, WorkAhead: ahead, WorstWorkAhead: worst, Capacity: 40},
	}
}

// TestAdmit checks that the wait is limited to a fraction of the slack. A deadline of one second
// and a service time of 0.5 s leave a slack of 0.5 s, of which the expected wait may use 0.2 s and
// the worst-case wait 0.4 s.
func TestAdmit(t *testing.T) {
	scenarios := []struct {
		testName string
		stages   []admitter.PendingStage
		deadline time.Duration
		admitted bool
	}{
		{"nothing waits", chatStages(0, 0), time.Second, true},
		{"a short wait", chatStages(6000, 40000), time.Second, true},
		{"a long wait", chatStages(12000, 40000), time.Second, false},
		{"a long wait within the account's share", chatStages(12000, 13000), time.Second, true},
		{"service alone takes too long", chatStages(0, 0), 400 * time.Millisecond, false},
		{"a pool without capacity", []admitter.PendingStage{{Stage: "chat/encode", Pool: "encode", WorkAhead: 1}}, time.Minute, false},
		{"no stage observed", []admitter.PendingStage{{Stage: "new", Pool: "new", Expected: 2 * time.Second}}, time.Second, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			decision := observedAdmitter().Admit(s.stages, start.Add(s.deadline), start)
			switch decision := decision.(type) {
			case admitter.Admitted:
				require.True(t, s.admitted)
			case admitter.Refused:
				require.False(t, s.admitted)
				require.Positive(t, decision.RetryAfter)
			}
		})
	}
}

// TestRefusedCallersGetSpacedRetryTimes refuses many callers at the same moment.
//
// If all were given just the excess wait, they would all return within milliseconds and be refused
// again, and each attempt costs the entry work. Their retry times must be spaced by the time that
// the pool takes for one of them: 300 ms of work over 40 slots.
func TestRefusedCallersGetSpacedRetryTimes(t *testing.T) {
	a := observedAdmitter()
	const callers = 1000
	var waits []time.Duration
	for range callers {
		refused, ok := a.Admit(chatStages(12000, 40000), start.Add(time.Second), start).(admitter.Refused)
		require.True(t, ok)
		waits = append(waits, refused.RetryAfter)
	}
	require.IsIncreasing(t, []time.Duration{waits[0], waits[callers/4], waits[callers/2], waits[callers-1]})
	require.InEpsilon(t, (callers * 7500 * time.Microsecond).Seconds(), waits[callers-1].Seconds(), 0.2)
	require.LessOrEqual(t, waits[callers-1], admitter.DefaultMaxRetryAfter*12/10)
}

// TestBudgetAndCannotFinish checks both decisions for a request with two stages.
func TestBudgetAndCannotFinish(t *testing.T) {
	a := observedAdmitter()
	stages := chatStages(0, 0)
	after := start.Add
	// The histogram keeps one significant figure.
	require.InDelta(t, 600*time.Millisecond, a.Budget(stages, after(time.Second), start), float64(40*time.Millisecond))
	require.Equal(t, time.Second, a.Budget(stages[1:], after(time.Second), start), "the last stage has all the remaining time")
	require.Zero(t, a.Budget(stages, after(-time.Second), start))
	require.False(t, a.CannotFinish(stages, after(600*time.Millisecond), start))
	require.True(t, a.CannotFinish(stages, after(400*time.Millisecond), start))
}

// TestExpectedCost checks that observed costs replace the fallback and that a single new cost
// changes the mean only a little.
func TestExpectedCost(t *testing.T) {
	a := observedAdmitter()
	require.InDelta(t, 7, a.ExpectedCost("new", 7), 1e-9)
	require.InDelta(t, 300, a.ExpectedCost("chat/generate", 7), 1e-9)
	a.Observe("chat/generate", time.Second, 1300, start)
	require.InDelta(t, 310, a.ExpectedCost("chat/generate", 7), 1)
}
