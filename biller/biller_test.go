package biller_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/biller"
	"geraniumline/scheduler"
)

// TestBills covers the totals of a single entry.
func TestBills(t *testing.T) {
	b := biller.New()
	b.AddWork("wards", "chat/generate", 900)
	b.AddWork("wards", "chat/encode", 10)
	b.AddWork("wards", "chat/encode", 5)
	b.AddWork("wards", "chat/encode", -100)
	b.AddWasted("wards", "chat/generate", 300)
	b.CountOutcome("wards", scheduler.Urgent, biller.AnsweredInTime)
	b.CountOutcome("wards", scheduler.Urgent, biller.AnsweredLate)
	b.CountOutcome("schools", scheduler.Relaxed, biller.NotRun)
	b.CountOutcome("schools", scheduler.Relaxed, biller.Unknown)
	require.Equal(t, []biller.Bill{
		{Account: "schools", Relaxed: biller.Counts{NotRun: 1, Unknown: 1}, Stages: []biller.StageCost{}},
		{Account: "wards", Urgent: biller.Counts{InTime: 1, Late: 1}, Stages: []biller.StageCost{
			{Stage: "chat/encode", Cost: 15},
			{Stage: "chat/generate", Cost: 900, Wasted: 300},
		}},
	}, b.Bills())
	require.InDelta(t, 0.5, b.Bills()[1].Urgent.Attainment(), 1e-9)
}

// TestMergeCountsOnce merges the bills of several entries with several incarnations each, in
// random order and some of them twice.
//
// It guards against billing an account twice when a message is repeated or arrives after a
// later one, and against losing a bill when an entry restarts and counts from 0 again. Each
// incarnation's totals never decrease, so the greatest one received is correct, and the sum
// over incarnations counts all work once.
func TestMergeCountsOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	type message struct {
		entry       string
		incarnation uint64
		bills       []biller.Bill
	}
	const entries, incarnations, reports = 3, 4, 10
	var messages []message
	want := 0.0
	for e := range entries {
		for incarnation := uint64(1); incarnation <= incarnations; incarnation++ {
			b := biller.New()
			for range reports {
				cost := float64(rng.IntN(1000))
				b.AddWork("clubs", "digest/generate", cost)
				b.CountOutcome("clubs", scheduler.Normal, biller.AnsweredInTime)
				want += cost
				messages = append(messages, message{fmt.Sprint(e), incarnation, b.Bills()})
			}
		}
	}
	messages = append(messages, messages[:len(messages)/2]...)
	rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	total := biller.New()
	total.AddWork("clubs", "digest/generate", 7)
	for _, m := range messages {
		total.Merge(m.entry, m.incarnation, m.bills)
	}
	got := total.Total()
	require.Len(t, got, 1)
	require.InDelta(t, want+7, got[0].Stages[0].Cost, 1e-6)
	require.Equal(t, uint64(entries*incarnations*reports), got[0].Normal.InTime)
}

// TestMergeIsBounded merges the bills of far more entries and incarnations than are stored separately, as when VMs are
// replaced.
//
// After an incarnation's bills have been added to the settled total, a late copy of them must
// not be counted again, and the settled total must not be lost.
func TestMergeIsBounded(t *testing.T) {
	const entries, incarnations = 3000, 6
	bill := []biller.Bill{{Account: "clubs", Stages: []biller.StageCost{{Stage: "digest/generate", Cost: 1}}}}
	total := biller.New()
	for e := range entries {
		for incarnation := range uint64(incarnations) {
			total.Merge(fmt.Sprint(e), incarnation, bill)
		}
	}
	for e := range entries {
		total.Merge(fmt.Sprint(e), 0, bill)
	}
	require.InDelta(t, entries*incarnations, total.Total()[0].Stages[0].Cost, 1e-6)
}
