package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
	"geraniumline/scheduler"
)

// accountCounts are the numbers of accounts with waiting items: a current size and the target size.
var accountCounts = []int{5, 43_000}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const benchPool = "generate"

// benchQueue is a pool in which every account has an item waiting.
type benchQueue struct {
	s     *scheduler.Scheduler
	names []string
	now   time.Time
	id    uint64
}

func newBenchQueue(accounts int) *benchQueue {
	q := &benchQueue{s: scheduler.New(scheduler.Config{}), now: start}
	for i := range accounts {
		q.names = append(q.names, fmt.Sprintf("account%d", i))
		q.push(i)
	}
	return q
}

func (q *benchQueue) item(account int) scheduler.Item {
	return scheduler.Item{
		ID: q.id, Account: q.names[account], Weight: float64(1 + account%10), Urgency: scheduler.Urgency(account % 3),
		Cost: 100, Deadline: q.now.Add(6 * time.Second),
	}
}

func (q *benchQueue) push(account int) {
	q.id++
	q.s.Push(benchPool, q.item(account), q.now)
}

// step announces, withdraws and pushes one item, then pops and charges another.
func (q *benchQueue) step() {
	q.now = q.now.Add(50 * time.Microsecond)
	account := int(q.id) % len(q.names)
	item := q.item(account)
	q.s.Announce(benchPool, item)
	q.s.WorkAhead(benchPool, item)
	q.s.Withdraw(benchPool, item)
	q.push(account)
	popped, ok := q.s.Pop(benchPool, q.now)
	if ok {
		q.s.Charge(benchPool, popped.Account, 5)
	}
}

// TestQueueDoesNotAllocate checks that passing an item through the queue does not allocate once the
// queue has reached its size.
func TestQueueDoesNotAllocate(t *testing.T) {
	q := newBenchQueue(100)
	for range 10_000 {
		q.step()
	}
	require.Zero(t, testing.AllocsPerRun(1000, q.step))
}

func BenchmarkItem(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q := newBenchQueue(n)
			b.ReportAllocs()
			for b.Loop() {
				q.step()
			}
		})
	}
}

func BenchmarkRemove(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q := newBenchQueue(n)
			b.ReportAllocs()
			for b.Loop() {
				q.push(int(q.id) % n)
				q.s.Remove(benchPool, q.id)
			}
		})
	}
}

// BenchmarkMemory measures the memory of an account with one waiting item in one pool.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 43_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				bytes := measurer.HeapBytes(func() any { return newBenchQueue(n).s })
				b.ReportMetric(float64(bytes)/float64(n), "B/account")
			}
		})
	}
}
