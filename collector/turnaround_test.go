package collector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeline runs two pools in sequence, the second of which has less capacity than the load. The first stores each result
// until the second stage is done, and has space for more than one second of the second pool's work.
type pipeline struct {
	first, second *simulation
	// laterStageTime returns the time that the first stage's due times leave for the second.
	laterStageTime func(second *Pool) time.Duration
	due            map[string]time.Time
	// forwarded holds the requests whose first stage is done, finished those whose second stage is done.
	forwarded map[string]bool
	finished  map[GroupID]bool
}

const (
	pipelineObjective   = 1500 * time.Millisecond
	pipelineResultBytes = 1_000_000
)

func newPipeline(laterStageTime func(second *Pool) time.Duration) *pipeline {
	late := defaultStage()
	late.Batch = 16
	late.PieceTime = 8 * time.Millisecond
	early := defaultStage()
	early.ResultSpaceBytes = 6 * pipelineResultBytes
	first := newSimulation(early, 4)
	first.freeAfter = -1
	return &pipeline{
		first:          first,
		second:         newSimulation(late, 5),
		laterStageTime: laterStageTime,
		due:            make(map[string]time.Time),
		forwarded:      make(map[string]bool),
		finished:       make(map[GroupID]bool),
	}
}

func (p *pipeline) arrive(at time.Duration, request string) {
	p.due[request] = p.first.at(at + pipelineObjective)
	p.first.arrive(at, request, 1, func(g *Group) {
		g.Due = p.due[request].Add(-p.laterStageTime(p.second.pool))
		g.Deadline = p.first.at(at + 4*pipelineObjective)
		g.ResultBytes = pipelineResultBytes * 9 / 10
	})
}

// advance runs both stages up to a time and forwards the first stage's results.
func (p *pipeline) advance(to time.Duration) {
	p.first.run(to)
	for id, at := range p.first.deliveredAt {
		if p.forwarded[id.Request] || p.first.resultCount(id) == 0 {
			continue
		}
		p.forwarded[id.Request] = true
		p.second.arrive(at.Sub(start), id.Request, 16, func(g *Group) {
			g.Due = p.due[id.Request]
			g.Deadline = p.due[id.Request].Add(3 * pipelineObjective)
			g.HoldsSpace = true
		})
	}
	p.second.run(to)
	for id, at := range p.second.deliveredAt {
		if _, open := p.second.pool.groups[id]; !open && !p.finished[id] {
			p.finished[id] = true
			p.first.schedule(at, ResultsReleased{Results: p.firstStageResults(id.Request)})
		}
	}
}

// firstStageResults returns the results of a request's first stage.
func (p *pipeline) firstStageResults(request string) []ResultRef {
	var results []ResultRef
	for _, d := range p.first.delivered {
		if d.ID.Request == request && d.Result.Handle != "" {
			results = append(results, ResultRef{Handle: d.Result.Handle, Address: d.Address})
		}
	}
	return results
}

// TestPolicyDueTimesLeaveTimeForLaterStages simulates a load of four thirds of the second stage's capacity for 12 seconds.
// Its baseline leaves time only for the second stage's own call: every group is then started at the last moment, waits at
// the second stage, and is late after all its work was done.
func TestPolicyDueTimesLeaveTimeForLaterStages(t *testing.T) {
	onTimeShare := func(laterStageTime func(second *Pool) time.Duration) float64 {
		rng := rand.New(rand.NewPCG(7, 8))
		p := newPipeline(laterStageTime)
		n := 0
		next := time.Duration(0)
		for now := time.Duration(0); now < 16*time.Second; now += 10 * time.Millisecond {
			for next <= now && now < 12*time.Second {
				p.arrive(now, fmt.Sprint(n))
				n++
				next += time.Duration(rng.ExpFloat64() / 24 * float64(time.Second))
			}
			p.advance(now + 10*time.Millisecond)
		}
		good := 0
		for id, at := range p.second.deliveredAt {
			if p.second.resultCount(id) == 16 && !at.After(p.due[id.Request]) {
				good++
			}
		}
		return float64(good) / float64(n)
	}
	call := newPipeline(nil).second.pool.cfg.Stage.CallDuration(16)
	ours := onTimeShare(func(second *Pool) time.Duration { return max(call, second.Turnaround()) })
	baseline := onTimeShare(func(*Pool) time.Duration { return call })
	t.Logf("on time with the usual turnaround left: %.2f; with one call left: %.2f", ours, baseline)
	require.Greater(t, ours, 0.78)
	require.Less(t, baseline, 0.72)
}

// A late group's inputs hold much result space. If it went first, as the oldest group, it would make other groups late; if
// it were never processed, its inputs would expire and have to be recomputed. It lets others pass for half of the time that
// results are kept, and then goes first.
func TestALateGroupThatHoldsSpaceLetsOthersPassForAWhile(t *testing.T) {
	stage := defaultStage()
	stage.Batch = 1
	w := newSimulation(stage, 1)
	late := w.arrive(50*time.Millisecond, "late", 1, func(g *Group) {
		g.Due = w.at(-time.Second)
		g.HoldsSpace = true
	})
	var others []GroupID
	for i := range 40 {
		at := time.Duration(i) * 100 * time.Millisecond
		others = append(others, w.arrive(at, fmt.Sprint(i), 1, func(g *Group) { g.Due = w.at(at + time.Second) }))
	}
	w.run(8 * time.Second)
	require.Equal(t, 1, w.resultCount(others[5]))
	require.True(t, w.deliveredAt[others[5]].Before(w.deliveredAt[late]), "groups that can be on time go first")
	require.True(t, w.deliveredAt[late].Before(w.at(stage.ResultTTL)), "its inputs are used before they expire")
}
