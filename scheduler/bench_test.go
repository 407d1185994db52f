package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
	"geraniumline/scheduler"
)

// The sizes of today and of the aim: accounts with waiting items.
var accountCounts = []int{5, 43_000}

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const benchPool = "generate"

// crowd is a pool in which every account has an item waiting.
type crowd struct {
	s     *scheduler.Scheduler
	names []string
	now   time.Time
	id    uint64
}

func newCrowd(accounts int) *crowd {
	c := &crowd{s: scheduler.New(scheduler.Config{}), now: began}
	for i := range accounts {
		c.names = append(c.names, fmt.Sprintf("account%d", i))
		c.push(i)
	}
	return c
}

func (c *crowd) item(account int) scheduler.Item {
	return scheduler.Item{
		ID: c.id, Account: c.names[account], Weight: float64(1 + account%10), Urgency: scheduler.Urgency(account % 3),
		Cost: 100, Deadline: c.now.Add(6 * time.Second),
	}
}

func (c *crowd) push(account int) {
	c.id++
	c.s.Push(benchPool, c.item(account), c.now)
}

// step is one item's way: announced, withdrawn, pushed, and another popped and charged.
func (c *crowd) step() {
	c.now = c.now.Add(50 * time.Microsecond)
	account := int(c.id) % len(c.names)
	item := c.item(account)
	c.s.Announce(benchPool, item)
	c.s.WorkAhead(benchPool, item)
	c.s.Withdraw(benchPool, item)
	c.push(account)
	popped, ok := c.s.Pop(benchPool, c.now)
	if ok {
		c.s.Charge(benchPool, popped.Account, 5)
	}
}

// TestQueueAllocatesNothing holds an item's way through the queue to no allocation once the
// queue has had its size.
func TestQueueAllocatesNothing(t *testing.T) {
	c := newCrowd(100)
	for range 10_000 {
		c.step()
	}
	require.Zero(t, testing.AllocsPerRun(1000, c.step))
}

func BenchmarkItem(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			c := newCrowd(n)
			b.ReportAllocs()
			for b.Loop() {
				c.step()
			}
		})
	}
}

func BenchmarkRemove(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			c := newCrowd(n)
			b.ReportAllocs()
			for b.Loop() {
				c.push(int(c.id) % n)
				c.s.Remove(benchPool, c.id)
			}
		})
	}
}

// BenchmarkMemory is an account with one waiting item in one pool.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 43_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				held := measurer.HeapBytes(func() any { return newCrowd(n).s })
				b.ReportMetric(float64(held)/float64(n), "B/account")
			}
		})
	}
}
