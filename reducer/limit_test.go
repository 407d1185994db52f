package reducer_test

import (
	"testing"
	"time"

	"geraniumline/measurer"
	"geraniumline/publisher"
	"geraniumline/reducer"
)

const (
	limitedRate = 200
	limitedCut  = 20 * time.Second
)

// answeredPart is what was answered of the requests sent in a span, as a part of what the contract allows in it.
func answeredPart(asks []*ask, from, to time.Time) float64 {
	answered := 0
	for _, a := range asks {
		if !a.sent.Before(from) && a.sent.Before(to) && a.answered() {
			answered++
		}
	}
	return float64(answered) / limitedRate / to.Sub(from).Seconds()
}

// TestPolicyLimitOverCut cuts 7 entries in two for longer than the silence after which an entry is taken for dead.
//
// Each side hears nothing of the other and finds it dead, as if its processes had ended; both go on serving callers.
// Were the silent entries' parts of a contract taken up, the account would get the whole contract on each side, twice
// in all. Their parts are kept for them until the platform's list of VMs no longer names them, which here it does; when
// it names them no more, as after their death, all of the contract is usable again.
func TestPolicyLimitOverCut(t *testing.T) {
	s := newSystem(t, simConfig{
		entries: 7, pools: []string{"a", "b", "c"}, perPool: 10, service: testService, seed: 3,
		contract: func(c *publisher.Contract) { c.RatePerSecond, c.Burst = limitedRate, 20 },
	})
	named := s.entryHints()
	sent := s.load(2*limitedRate, 2*limitedCut+10*time.Second, 2*time.Second)
	lists := func(hints []reducer.EntryHint, of []int) {
		for _, i := range of {
			s.give(s.entries[i], reducer.VMsListed{Endpoints: s.list(), Entries: hints})
		}
	}
	all := []int{0, 1, 2, 3, 4, 5, 6}
	s.runFor(10 * time.Second)
	cut := s.now
	s.side = map[int]int{4: 1, 5: 1, 6: 1}
	for range 10 {
		lists(named, all)
		s.runFor(limitedCut / 10)
	}
	// One side of the cut ends: its VMs are gone from the list, and its callers come no more.
	gone := s.now
	s.entries = s.entries[:4]
	for range 10 {
		lists(named[:4], all[:4])
		s.runFor(limitedCut / 10)
	}
	over, usable := atMost(0.05), atLeast(0.9)
	during := answeredPart(*sent, cut, gone)
	check(t, measurer.Row{Case: "limits/cutTakenForDeath", Measure: "over", Ours: max(0, during-1), Bound: atMost(0.05), Goal: &over})
	check(t, measurer.Row{Case: "limits/cutTakenForDeath", Measure: "usable", Ours: during, Bound: atLeast(0.9), Goal: &usable})
	after := answeredPart(*sent, gone.Add(2*time.Second), s.now.Add(-2*time.Second))
	check(t, measurer.Row{Case: "limits/goneFromList", Measure: "usable", Ours: after, Bound: atLeast(0.9), Goal: &usable})
}
