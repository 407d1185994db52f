package collector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spacePipeline is two pools one after the other. The second has time to spare; the first has space for so few results
// that most of them wait there for the second to have done its work.
type spacePipeline struct {
	first, second *world
	due           map[string]time.Time
	made          map[string][]ResultRef
	// early frees the first's results once the second has fetched them, and not only when it is done.
	early bool
}

func newSpacePipeline(early bool) *spacePipeline {
	stage := usualStage()
	stage.Batch = 30
	stage.PieceTime = 6 * time.Millisecond
	stage.LinkBytesPerSecond = 1_000_000_000
	first := stage
	first.ResultSpaceBytes = 36 * 60_000
	p := &spacePipeline{
		first:  newWorld(first, 5),
		second: newWorld(stage, 6),
		due:    make(map[string]time.Time),
		made:   make(map[string][]ResultRef),
		early:  early,
	}
	p.first.keepFor = -1
	return p
}

// passOn asks the second stage for what the first has made.
func (p *spacePipeline) passOn() {
	for _, d := range p.first.got {
		request := d.ID.Request
		if d.Result.Handle == "" {
			continue
		}
		p.made[request] = append(p.made[request], ResultRef{Handle: d.Result.Handle, Address: d.Address})
		if len(p.made[request]) < 6 {
			continue
		}
		p.second.arrive(p.first.now.Sub(start), request, 6, func(g *Group) {
			g.Due = p.due[request]
			g.InputBytes = 6 * 60_000
			g.NotifyInputsFetched = p.early
			g.HoldsSpace = true
		})
	}
	p.first.got = nil
}

// giveBack frees the results of the first stage that are of no more use.
func (p *spacePipeline) giveBack() {
	for _, id := range p.second.read {
		p.first.plan(p.second.now, ResultsReleased{Results: p.made[id.Request]})
	}
	p.second.read = nil
	for id := range p.second.gotAt {
		if _, open := p.second.pool.groups[id]; !open && p.made[id.Request] != nil {
			p.first.plan(p.second.now, ResultsReleased{Results: p.made[id.Request]})
			p.made[id.Request] = nil
		}
	}
}

// inTime plays a burst of 58 requests a second for 8 seconds and gives the share that is on time.
func (p *spacePipeline) inTime() float64 {
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
		p.passOn()
		p.second.run(now + 10*time.Millisecond)
		p.giveBack()
	}
	good := 0
	for id, at := range p.second.gotAt {
		if p.second.made(id) == 6 && !at.After(p.due[id.Request]) {
			good++
		}
	}
	return float64(good) / float64(n)
}

// TestPolicyInputsAreFreedOnceFetched replays a burst in which the space for a stage's results, and not its time, holds it
// back: they lie there for as long as the next stage waits and works. The baseline frees them when the next stage is done.
func TestPolicyInputsAreFreedOnceFetched(t *testing.T) {
	ours, baseline := newSpacePipeline(true).inTime(), newSpacePipeline(false).inTime()
	t.Logf("in time with inputs freed once fetched: %.2f; when the next stage is done: %.2f", ours, baseline)
	require.Greater(t, ours, 0.95)
	require.Less(t, baseline, 0.86)
}

// Inputs are told as fetched only once the call has had the time for it, once for each group, and to those alone that ask.
func TestInputsAreToldAsFetchedOnce(t *testing.T) {
	stage := usualStage()
	stage.LinkBytesPerSecond = 10_000_000
	w := newWorld(stage, 2)
	asked := w.arrive(0, "asks", 4, func(g *Group) { g.NotifyInputsFetched = true; g.InputBytes = 100_000 })
	w.arrive(0, "does not ask", 4, nil)
	w.run(100 * time.Millisecond)
	require.Empty(t, w.read, "four times 100 KB take 120 ms with what others fetch")
	w.run(time.Second)
	require.Equal(t, []GroupID{asked}, w.read)
	require.Equal(t, 4, w.made(asked))
}

// A call that was sent for an earlier ask brings a piece that the new ask does not need: it must not pass for one that is
// still missing, or the group would end without it.
func TestAPieceThatWasNotAskedForDoesNotEndAGroup(t *testing.T) {
	w := newWorld(usualStage(), 1)
	id := w.arrive(0, "r", 3, nil)
	w.run(50 * time.Millisecond)
	w.reduce(GroupWithdrawn{ID: id})
	w.arrive(60*time.Millisecond, "r", 3, func(g *Group) { g.Segments = []int{2} })
	w.run(2 * time.Second)
	require.Equal(t, 1, w.made(id))
	require.Equal(t, 2, w.got[0].Segment)
}

// In a burst all endpoints have a queue, and groups want their results in one of three zones. An endpoint that took the
// first groups of the queue would make two of three in the wrong zone.
func TestAnEndpointTakesGroupsOfItsZoneFirst(t *testing.T) {
	w := newWorld(usualStage(), 3)
	var ids []GroupID
	for i := range 60 {
		ids = append(ids, w.arrive(time.Duration(i)*5*time.Millisecond, fmt.Sprint(i), 3, func(g *Group) {
			g.PreferredZone = fmt.Sprintf("z%d", i%3)
			g.CrossZoneBytes = ZoneAffinityBytes
		}))
	}
	w.run(5 * time.Second)
	near := 0
	for i, id := range ids {
		require.Equal(t, 3, w.made(id))
		for _, d := range w.got {
			if d.ID == id && d.Zone == fmt.Sprintf("z%d", i%3) {
				near++
			}
		}
	}
	require.Greater(t, float64(near)/180, 0.7)
}

// One zone's endpoint is gone or all groups want the same zone: what its next calls can't take goes to other zones at once,
// where endpoints would stand idle beside the queue.
func TestOnlyWhatTheNextCallsTakeWaitsForAZone(t *testing.T) {
	w := newWorld(usualStage(), 3)
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
