package reducer_test

import (
	"testing"
	"time"

	"geraniumline/measurer"
	"geraniumline/reducer"
)

// extraShare returns the share of the stage calls between two readings that were hedges or retries.
func extraShare(before, after reducer.Counters) float64 {
	extra := after.StageHedges + after.StageRetries - before.StageHedges - before.StageRetries
	return float64(extra) / float64(after.StageCalls-before.StageCalls)
}

// Extra calls help while a pool has free slots. In a surge each of them takes the slot of a first call and so
// lengthens the wait that caused it: the budget for them must fall to nearly zero.
func TestPolicyHedgeBudget(t *testing.T) {
	t.Parallel()
	tests := []struct {
		testName string
		rate     float64
		goal     measurer.Limit
		bound    measurer.Limit
	}{
		{"quiet", quietRate, atMost(0.05), atMost(0.025)},
		{"surge3x", 6 * quietRate, atMost(0.01), atMost(0.002)},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, threePools(2))
			s.load(quietRate, 5*time.Second, testDeadline)
			s.runFor(5 * time.Second)
			before := s.counters()
			s.load(tt.rate, 5*time.Second, testDeadline)
			s.runFor(6 * time.Second)
			check(t, measurer.Row{Case: "hedge." + tt.testName, Measure: "extraCallShare", Ours: extraShare(before, s.counters()), Bound: tt.bound, Goal: &tt.goal})
		})
	}
}

// A whole pool is down for 3 s and comes back. All requests of that time fail and would be retried at once, so the
// pool would face a retry storm; the budget must limit retries to a small share of the calls.
func TestPolicyPoolReturns(t *testing.T) {
	t.Parallel()
	s := newSystem(t, threePools(3))
	sent := s.load(quietRate, 13*time.Second, testDeadline)
	s.runFor(5 * time.Second)
	for _, e := range s.endpointList[10:20] {
		e.crash()
	}
	s.runFor(3 * time.Second)
	for _, e := range s.endpointList[10:20] {
		e.dead = false
	}
	before := s.counters()
	back := s.now
	s.runFor(6 * time.Second)
	check(t, measurer.Row{Case: "poolReturns", Measure: "extraCallShare", Ours: extraShare(before, s.counters()), Bound: atMost(0.025)})
	settled := back.Add(150 * time.Millisecond)
	check(t, measurer.Row{
		Case: "poolReturns", Measure: "attainmentAfter150Millis",
		Ours: attainment(*sent, settled, settled.Add(2*time.Second), testDeadline), Bound: atLeast(0.99),
	})
	check(t, measurer.Row{
		Case: "poolReturns", Measure: "attainmentFirstSecond",
		Ours: attainment(*sent, back, back.Add(time.Second), testDeadline), Bound: atLeast(0.98),
	})
}
