package collector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spacePipeline runs two pools in sequence. The second has spare capacity; the first has space for so few results that
// most of it is taken by results that wait for the second pool to finish.
type spacePipeline struct {
	first, second *simulation
	due           map[string]time.Time
	results       map[string][]ResultRef
	// freeOnFetch frees the first pool's results as soon as the second has fetched them, instead of when it is done.
	freeOnFetch bool
}

func newSpacePipeline(early bool) *spacePipeline {
	stage := defaultStage()
	stage.Batch = 30
	stage.PieceTime = 6 * time.Millisecond
	stage.LinkBytesPerSecond = 1_000_000_000
	first := stage
	first.ResultSpaceBytes = 36 * 60_000
	p := &spacePipeline{
		first:       newSimulation(first, 5),
		second:      newSimulation(stage, 6),
		due:         make(map[string]time.Time),
		results:     make(map[string][]ResultRef),
		freeOnFetch: early,
	}
	p.first.freeAfter = -1
	return p
}

// forwardResults requests the second stage for results of the first.
func (p *spacePipeline) forwardResults() {
	for _, d := range p.first.delivered {
		request := d.ID.Request
		if d.Result.Handle == "" {
			continue
		}
		p.results[request] = append(p.results[request], ResultRef{Handle: d.Result.Handle, Address: d.Address})
		if len(p.results[request]) < 6 {
			continue
		}
		p.second.arrive(p.first.now.Sub(start), request, 6, func(g *Group) {
			g.Due = p.due[request]
			g.InputBytes = 6 * 60_000
			g.NotifyInputsFetched = p.freeOnFetch
			g.HoldsSpace = true
		})
	}
	p.first.delivered = nil
}

// freeUsed frees results of the first stage that are no longer needed.
func (p *spacePipeline) freeUsed() {
	for _, id := range p.second.fetched {
		p.first.schedule(p.second.now, ResultsReleased{Results: p.results[id.Request]})
	}
	p.second.fetched = nil
	for id := range p.second.deliveredAt {
		if _, open := p.second.pool.groups[id]; !open && p.results[id.Request] != nil {
			p.first.schedule(p.second.now, ResultsReleased{Results: p.results[id.Request]})
			p.results[id.Request] = nil
		}
	}
}

// onTimeShare simulates a burst of 58 requests per second for 8 seconds and returns the share of requests that are on time.
func (p *spacePipeline) onTimeShare() float64 {
	rng := rand.New(rand.NewPCG(5, 6))
	n, next := 0, time.Duration(0)
	for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
		for ; next <= now && now < 8*time.Second; n++ {
			request := fmt.Sprint(n)
			p.due[request] = p.first.at(now + 1500*time.Millisecond)
			p.first.arrive(now, request, 6, func(g *Group) {
				g.Due = p.due[request].Add(-400 * time.Millisecond)
				g.ResultBytes = 60_000
			})
			next += time.Duration(rng.ExpFloat64() / 58 * float64(time.Second))
		}
		p.first.run(now + 10*time.Millisecond)
		p.forwardResults()
		p.second.run(now + 10*time.Millisecond)
		p.freeUsed()
	}
	good := 0
	for id, at := range p.second.deliveredAt {
		if p.second.resultCount(id) == 6 && !at.After(p.due[id.Request]) {
			good++
		}
	}
	return float64(good) / float64(n)
}

// TestPolicyInputsAreFreedOnceFetched simulates a burst in which a stage is limited by the space for its results and not by
// processing time: results are stored while the next stage waits and runs. The baseline frees them when the next stage is
// done.
func TestPolicyInputsAreFreedOnceFetched(t *testing.T) {
	ours, baseline := newSpacePipeline(true).onTimeShare(), newSpacePipeline(false).onTimeShare()
	t.Logf("on time with inputs freed once fetched: %.2f; when the next stage is done: %.2f", ours, baseline)
	require.Greater(t, ours, 0.95)
	require.Less(t, baseline, 0.86)
}

// Fetched inputs are reported only after the call has had time to fetch them, once for each group, and only for groups that
// request it.
func TestFetchedInputsAreReportedOnce(t *testing.T) {
	stage := defaultStage()
	stage.LinkBytesPerSecond = 10_000_000
	w := newSimulation(stage, 2)
	notified := w.arrive(0, "asks", 4, func(g *Group) { g.NotifyInputsFetched = true; g.InputBytes = 100_000 })
	w.arrive(0, "does not ask", 4, nil)
	w.run(100 * time.Millisecond)
	require.Empty(t, w.fetched, "fetching four times 100 KB takes 120 ms while others fetch too")
	w.run(time.Second)
	require.Equal(t, []GroupID{notified}, w.fetched)
	require.Equal(t, 4, w.resultCount(notified))
}

// A call sent for an earlier group of the same request returns a piece that the new group does not include. It must not be
// counted as the missing piece, or the group would end without that piece.
func TestAnUnrequestedPieceDoesNotEndAGroup(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	id := w.arrive(0, "r", 3, nil)
	w.run(50 * time.Millisecond)
	w.reduce(GroupWithdrawn{ID: id})
	w.arrive(60*time.Millisecond, "r", 3, func(g *Group) { g.Segments = []int{2} })
	w.run(2 * time.Second)
	require.Equal(t, 1, w.resultCount(id))
	require.Equal(t, 2, w.delivered[0].Segment)
}

// In a burst with a backlog, each group prefers one of three zones. If endpoints always took the head of the queue, two of
// three groups would be processed in the wrong zone.
func TestAnEndpointPrefersGroupsOfItsZone(t *testing.T) {
	w := newSimulation(defaultStage(), 3)
	var ids []GroupID
	for i := range 60 {
		ids = append(ids, w.arrive(time.Duration(i)*5*time.Millisecond, fmt.Sprint(i), 3, func(g *Group) {
			g.PreferredZone = fmt.Sprintf("z%d", i%3)
			g.CrossZoneBytes = ZoneAffinityBytes
		}))
	}
	w.run(5 * time.Second)
	inPreferredZone := 0
	for i, id := range ids {
		require.Equal(t, 3, w.resultCount(id))
		for _, d := range w.delivered {
			if d.ID == id && d.Zone == fmt.Sprintf("z%d", i%3) {
				inPreferredZone++
			}
		}
	}
	require.Greater(t, float64(inPreferredZone)/180, 0.7)
}

// A zone's endpoint is lost, or all groups prefer the same zone. Groups that do not fit in that zone's next calls go to
// other zones at once, whose endpoints would otherwise be idle.
func TestWaitingForAZoneIsLimitedToItsNextCalls(t *testing.T) {
	w := newSimulation(defaultStage(), 3)
	for i := range 6 {
		w.arrive(0, fmt.Sprint(i), 4, func(g *Group) {
			g.PreferredZone = "z0"
			g.CrossZoneBytes = ZoneAffinityBytes
			g.Due = w.at(time.Minute)
		})
	}
	w.run(20 * time.Millisecond)
	used := make(map[string]bool)
	for _, c := range w.calls {
		used[c.Endpoint.Zone] = true
	}
	require.Len(t, used, 3)
}
