package reducer_test

import (
	"testing"
	"time"

	"geraniumline/measurer"
	"geraniumline/publisher"
	"geraniumline/reducer"
)

const (
	limitedRate   = 200
	partitionTime = 20 * time.Second
)

// answeredShare returns the answered requests among those sent from one time to another, as a share of what the
// contract allows in that span.
func answeredShare(requests []*simRequest, from, to time.Time) float64 {
	answered := 0
	for _, a := range requests {
		if !a.sent.Before(from) && a.sent.Before(to) && a.answered() {
			answered++
		}
	}
	return float64(answered) / limitedRate / to.Sub(from).Seconds()
}

// TestPolicyLimitOverCut partitions 7 entries in two for longer than the silence after which an entry is declared
// dead.
//
// Neither side receives messages of the other, so each declares the other dead, as if its processes had ended;
// both continue to serve callers. If the silent entries' shares of a contract were taken over, the account would
// get the whole contract on each side, twice in total. Their shares are reserved for as long as the platform's
// list of VMs names them, as it does here; once the list no longer names them, as after their death, all of the
// contract is usable again.
func TestPolicyLimitOverCut(t *testing.T) {
	s := newSystem(t, simConfig{
		entries: 7, pools: []string{"a", "b", "c"}, perPool: 10, service: testService, seed: 3,
		contract: func(c *publisher.Contract) { c.RatePerSecond, c.Burst = limitedRate, 20 },
	})
	hints := s.entryHints()
	sent := s.load(2*limitedRate, 2*partitionTime+10*time.Second, 2*time.Second)
	deliverVMLists := func(listed []reducer.EntryHint, of []int) {
		for _, i := range of {
			s.deliver(s.entries[i], reducer.VMsListed{Endpoints: s.vmList(), Entries: listed})
		}
	}
	all := []int{0, 1, 2, 3, 4, 5, 6}
	s.runFor(10 * time.Second)
	partitioned := s.now
	s.partition = map[int]int{4: 1, 5: 1, 6: 1}
	for range 10 {
		deliverVMLists(hints, all)
		s.runFor(partitionTime / 10)
	}
	// One side of the partition ends: its VMs are removed from the list, and its callers send nothing more.
	sideEnded := s.now
	s.entries = s.entries[:4]
	for range 10 {
		deliverVMLists(hints[:4], all[:4])
		s.runFor(partitionTime / 10)
	}
	overGoal, usableGoal := atMost(0.05), atLeast(0.9)
	during := answeredShare(*sent, partitioned, sideEnded)
	check(t, measurer.Row{Case: "limits/cutTakenForDeath", Measure: "over", Ours: max(0, during-1), Bound: atMost(0.05), Goal: &overGoal})
	check(t, measurer.Row{Case: "limits/cutTakenForDeath", Measure: "usable", Ours: during, Bound: atLeast(0.9), Goal: &usableGoal})
	after := answeredShare(*sent, sideEnded.Add(2*time.Second), s.now.Add(-2*time.Second))
	check(t, measurer.Row{Case: "limits/goneFromList", Measure: "usable", Ours: after, Bound: atLeast(0.9), Goal: &usableGoal})
}
