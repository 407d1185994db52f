package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/scheduler"
)

// popCounts pops n items and returns the number of items per account.
func popCounts(s *scheduler.Scheduler, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		item, ok := s.Pop(benchPool, start)
		if !ok {
			break
		}
		counts[item.Account]++
	}
	return counts
}

func pushItems(s *scheduler.Scheduler, from uint64, n int, item scheduler.Item) {
	item.Deadline = start.Add(time.Minute)
	for i := range n {
		item.ID = from + uint64(i)
		s.Push(benchPool, item, start)
	}
}

// TestPopSharesWorkByWeight lets two accounts compete, each with more items waiting than are
// served.
func TestPopSharesWorkByWeight(t *testing.T) {
	scenarios := []struct {
		testName string
		a, b     scheduler.Item
		want     map[string]int
	}{
		{"by weight",
			scheduler.Item{Account: "a", Weight: 3, Cost: 10}, scheduler.Item{Account: "b", Weight: 1, Cost: 10},
			map[string]int{"a": 30, "b": 10}},
		{"by work, not by requests",
			scheduler.Item{Account: "a", Weight: 1, Cost: 30}, scheduler.Item{Account: "b", Weight: 1, Cost: 10},
			map[string]int{"a": 10, "b": 30}},
		{"urgent first, with a guarantee for normal",
			scheduler.Item{Account: "a", Weight: 1, Cost: 10, Urgency: scheduler.Urgent}, scheduler.Item{Account: "b", Weight: 1, Cost: 10, Urgency: scheduler.Normal},
			map[string]int{"a": 32, "b": 8}},
		{"urgent first, with a guarantee for relaxed",
			scheduler.Item{Account: "a", Weight: 1, Cost: 10, Urgency: scheduler.Urgent}, scheduler.Item{Account: "b", Weight: 1, Cost: 10, Urgency: scheduler.Relaxed},
			map[string]int{"a": 38, "b": 2}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			queue := scheduler.New(scheduler.Config{})
			pushItems(queue, 0, 100, s.a)
			pushItems(queue, 1000, 100, s.b)
			got := popCounts(queue, 40)
			for account, want := range s.want {
				require.InDelta(t, want, got[account], 2, account)
			}
		})
	}
}

// TestChargeSetsActualCost checks that actual costs are charged.
//
// The items of one account cost three times what was expected. If only expected costs counted, the
// other account would get a quarter of the work, and callers with cheap requests would wait behind
// long ones. Charged with the difference, the account falls behind as if the cost had been known.
func TestChargeSetsActualCost(t *testing.T) {
	queue := scheduler.New(scheduler.Config{})
	pushItems(queue, 0, 100, scheduler.Item{Account: "long", Weight: 1, Cost: 10})
	pushItems(queue, 1000, 100, scheduler.Item{Account: "short", Weight: 1, Cost: 10})
	counts := map[string]int{}
	for range 40 {
		item, ok := queue.Pop(benchPool, start)
		require.True(t, ok)
		counts[item.Account]++
		if item.Account == "long" {
			queue.Charge(benchPool, "long", 20)
		}
	}
	require.InDelta(t, 10, counts["long"], 2)
}

// TestIdleAccountsAreRemoved checks that memory follows the accounts that wait and not all that
// were ever seen. Many accounts, such as an app's users, send one item each, beside one account
// that stays.
func TestIdleAccountsAreRemoved(t *testing.T) {
	queue := scheduler.New(scheduler.Config{})
	now := start
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		for k, name := range []string{"steady", fmt.Sprintf("once%d", i)} {
			queue.Push(benchPool, scheduler.Item{ID: uint64(2*i + k), Account: name, Weight: 1, Cost: 10, Deadline: now.Add(time.Minute)}, now)
		}
		queue.Pop(benchPool, now)
		queue.Pop(benchPool, now)
	}
	require.Less(t, queue.AccountCount(benchPool), 100)
}

// TestEveryItemIsRemovedOnce runs random sequences of calls and compares the queue with a simple
// model.
func TestEveryItemIsRemovedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := scheduler.New(scheduler.Config{})
		waiting := map[uint64]scheduler.Item{}
		now, id := start, uint64(0)
		expectRemoved := func(t *rapid.T, item scheduler.Item) {
			require.Contains(t, waiting, item.ID)
			require.Equal(t, waiting[item.ID], item)
			delete(waiting, item.ID)
		}
		accounts := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				id++
				item := scheduler.Item{
					ID: id, Account: accounts.Draw(t, "account"),
					Weight:   rapid.Float64Range(0.1, 10).Draw(t, "weight"),
					Urgency:  scheduler.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
					Cost:     rapid.Float64Range(0, 1000).Draw(t, "cost"),
					Deadline: now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(t, "millis")) * time.Millisecond),
				}
				queue.Announce(benchPool, item)
				if rapid.Bool().Draw(t, "withdrawn") {
					queue.Withdraw(benchPool, item)
				}
				queue.Push(benchPool, item, now)
				queue.Push(benchPool, item, now)
				waiting[id] = item
			},
			"pop": func(t *rapid.T) {
				item, ok := queue.Pop(benchPool, now)
				require.Equal(t, len(waiting) > 0, ok)
				if ok {
					expectRemoved(t, item)
				}
			},
			"popExpired": func(t *rapid.T) {
				if item, ok := queue.PopExpired(benchPool, now); ok {
					require.False(t, item.Deadline.After(now))
					expectRemoved(t, item)
					return
				}
				for _, item := range waiting {
					require.True(t, item.Deadline.After(now))
				}
			},
			"remove": func(t *rapid.T) {
				removed := rapid.Uint64Range(0, id).Draw(t, "id")
				_, queued := waiting[removed]
				require.Equal(t, queued, queue.Remove(benchPool, removed))
				delete(waiting, removed)
			},
			"charge": func(t *rapid.T) {
				queue.Charge(benchPool, accounts.Draw(t, "account"), rapid.Float64Range(-1000, 1000).Draw(t, "extra"))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				total, byAccount := 0.0, map[string]int{}
				for _, item := range waiting {
					total += item.Cost
					byAccount[item.Account]++
				}
				require.Equal(t, len(waiting), queue.Len(benchPool))
				require.InDelta(t, total, queue.Backlog(benchPool), 1e-6)
				for _, account := range []string{"a", "b", "c", "d"} {
					require.Equal(t, byAccount[account], queue.AccountBacklog(account))
				}
				ahead := queue.WorkAhead(benchPool, scheduler.Item{Account: "a", Weight: 1, Urgency: scheduler.Normal})
				require.GreaterOrEqual(t, ahead.Current, 0.0)
				require.GreaterOrEqual(t, ahead.WorstCase, ahead.Current)
			},
		})
	})
}
