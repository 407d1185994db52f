package biller_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/biller"
	"geraniumline/measurer"
	"geraniumline/scheduler"
)

var stages = []string{"chat/encode", "chat/retrieve", "chat/rerank", "chat/generate"}

// newBilled returns a Biller with work in each stage for a number of accounts.
func newBilled(accounts int) *biller.Biller {
	b := biller.New()
	for i := range accounts {
		account := fmt.Sprintf("account%d", i)
		for _, stage := range stages {
			b.AddWork(account, stage, 10)
		}
		b.CountOutcome(account, scheduler.Normal, biller.AnsweredInTime)
	}
	return b
}

// TestBillingAllocatesNothing covers the methods that are called for each stage and each request.
func TestBillingAllocatesNothing(t *testing.T) {
	b := newBilled(1)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		b.AddWork("account0", stages[3], 900)
		b.AddWasted("account0", stages[3], 30)
		b.CountOutcome("account0", scheduler.Urgent, biller.AnsweredLate)
	}))
}

func BenchmarkAddWork(b *testing.B) {
	for _, n := range []int{5, 43_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			bills := newBilled(n)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("account%d", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 1) % n
				bills.AddWork(names[i], stages[i%len(stages)], 10)
			}
		})
	}
}

// BenchmarkMemory measures the memory of an account with work in four stages.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 43_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				heapBytes := measurer.HeapBytes(func() any { return newBilled(n) })
				b.ReportMetric(float64(heapBytes)/float64(n), "B/account")
			}
		})
	}
}
