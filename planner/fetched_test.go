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
	return cataloger.StagePool{Batch: 8, CallTime: 150 * time.Millisecond, RoomBytes: 46_000_000, LinkBytes: 1_250_000_000}, true
}

func (v shortView) Load(string) Load { return Load{Short: v.short} }

// An engine takes a request whose results are given back while space is short, and breaks off. They are made again for the next
// one, at most twice, by the times that the rest of the answer has.
func TestResultsGivenBackAreMadeAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Request: "r", Stages: []cataloger.Stage{{Service: "images", ResultBytes: 3_000_000}}, Counts: []int{2}, Due: now.Add(time.Second), FirstBy: now.Add(6 * time.Second)})
	made := func() {
		require.Len(t, p.Group(0, shortView{}, now).Segments, 2)
		for n := range 2 {
			p.Took(0, collector.Deliver{Segment: n, Result: collector.PieceResult{Handle: "h"}, Address: "a"})
		}
		require.True(t, p.Done())
	}
	made()
	_, short := p.LastFetched(shortView{})
	require.False(t, short)
	after, short := p.LastFetched(shortView{short: true})
	require.True(t, short)
	require.Less(t, after, 100*time.Millisecond)
	for range maxRemakes {
		require.Len(t, p.FreeLast(), 1)
		require.True(t, p.LastFreed())
		_, _, again := p.RemakeLast(now.Add(time.Second), now.Add(5*time.Second))
		require.True(t, again)
		require.False(t, p.LastFreed())
		require.Equal(t, now.Add(5*time.Second), p.LastStart())
		made()
	}
	p.FreeLast()
	_, _, again := p.RemakeLast(now, now)
	require.False(t, again)
}
