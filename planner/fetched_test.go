package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/collector"
)

// shortView is a service whose space is short or not.
type shortView struct{ short bool }

func (v shortView) Pool(string) (cataloger.StagePool, bool) {
	return cataloger.StagePool{Batch: 8, CallOverhead: 150 * time.Millisecond, ResultSpaceBytes: 46_000_000, LinkBytesPerSecond: 1_250_000_000}, true
}

func (v shortView) Load(string) Load { return Load{ShortOfSpace: v.short} }

// An engine takes a request whose results are given back while space is short, and breaks off. They are made again for the next
// one, at most twice, by the times that the rest of the answer has.
func TestResultsGivenBackAreMadeAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Request: "r", Stages: []cataloger.Stage{{Service: "images", ResultBytes: 3_000_000}}, PieceCounts: []int{2}, Due: now.Add(time.Second), FirstEventDeadline: now.Add(6 * time.Second)})
	made := func() {
		require.Len(t, p.StartStage(0, shortView{}, now).Segments, 2)
		for n := range 2 {
			p.AddResult(0, collector.Deliver{Segment: n, Result: collector.PieceResult{Handle: "h"}, Address: "a"})
		}
		require.True(t, p.Done())
	}
	made()
	_, short := p.FinalFetchDelay(shortView{})
	require.False(t, short)
	after, short := p.FinalFetchDelay(shortView{short: true})
	require.True(t, short)
	require.Less(t, after, 100*time.Millisecond)
	for range maxRemakes {
		require.Len(t, p.FreeFinalResults(), 1)
		require.True(t, p.FinalResultsFreed())
		_, _, again := p.RecomputeFinalResults(now.Add(time.Second), now.Add(5*time.Second))
		require.True(t, again)
		require.False(t, p.FinalResultsFreed())
		require.Equal(t, now.Add(5*time.Second), p.LatestModelStart())
		made()
	}
	p.FreeFinalResults()
	_, _, again := p.RecomputeFinalResults(now, now)
	require.False(t, again)
}
