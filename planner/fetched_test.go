package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/collector"
)

// stubView is a View in which all services are short of space or none is.
type stubView struct{ shortOfSpace bool }

func (v stubView) Pool(string) (cataloger.StagePool, bool) {
	return cataloger.StagePool{Batch: 8, CallOverhead: 150 * time.Millisecond, ResultSpaceBytes: 46_000_000, LinkBytesPerSecond: 1_250_000_000}, true
}

func (v stubView) Load(string, int) Load { return Load{ShortOfSpace: v.shortOfSpace} }

// The input results of a request are freed while space is short, and then its engine breaks off. The results are recomputed for
// the next engine, at most twice, with the due times of the rest of the answer.
func TestFreedFinalResultsAreRecomputed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Request: "r", Stages: []cataloger.Stage{{Service: "images", ResultBytes: 3_000_000}}, PieceCounts: []int{2}, Due: now.Add(time.Second), FirstEventDeadline: now.Add(6 * time.Second)})
	produceResults := func() {
		require.Len(t, p.StartStage(0, stubView{}, now).Segments, 2)
		for n := range 2 {
			p.AddResult(0, collector.Deliver{Segment: n, Result: collector.PieceResult{Handle: "h"}, Address: "a"})
		}
		require.True(t, p.Done())
	}
	produceResults()
	_, shortOfSpace := p.FinalFetchDelay(stubView{})
	require.False(t, shortOfSpace)
	delay, shortOfSpace := p.FinalFetchDelay(stubView{shortOfSpace: true})
	require.True(t, shortOfSpace)
	require.Less(t, delay, 100*time.Millisecond)
	for range maxRecomputes {
		require.Len(t, p.FreeFinalResults(), 1)
		require.True(t, p.FinalResultsFreed())
		_, _, allowed := p.RecomputeFinalResults(now.Add(time.Second), now.Add(5*time.Second))
		require.True(t, allowed)
		require.False(t, p.FinalResultsFreed())
		require.Equal(t, now.Add(5*time.Second), p.LatestModelStart())
		produceResults()
	}
	p.FreeFinalResults()
	_, _, allowed := p.RecomputeFinalResults(now, now)
	require.False(t, allowed)
}
