package collector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeline is two pools one after the other, the second of which has less capacity than the load. The first keeps each
// result until the second stage is done, and has space for over a second's work of the second.
type pipeline struct {
	first, second *world
	// leave gives the time that the first stage's due times leave for the second.
	leave func(second *Pool) time.Duration
	due   map[string]time.Time
	// passedOn are the requests whose first stage is done, ended those whose second is.
	passedOn map[string]bool
	ended    map[GroupID]bool
}

const (
	pipelineObjective = 1500 * time.Millisecond
	pipelineResult    = 1_000_000
)

func newPipeline(leave func(second *Pool) time.Duration) *pipeline {
	late := usualStage()
	late.Batch = 16
	late.PieceTime = 8 * time.Millisecond
	early := usualStage()
	early.ResultSpaceBytes = 6 * pipelineResult
	first := newWorld(early, 4)
	first.keepFor = -1
	return &pipeline{
		first:    first,
		second:   newWorld(late, 5),
		leave:    leave,
		due:      make(map[string]time.Time),
		passedOn: make(map[string]bool),
		ended:    make(map[GroupID]bool),
	}
}

func (p *pipeline) arrive(at time.Duration, request string) {
	p.due[request] = p.first.at(at + pipelineObjective)
	p.first.arrive(at, request, 1, func(g *Group) {
		g.Due = p.due[request].Add(-p.leave(p.second.pool))
		g.Deadline = p.first.at(at + 4*pipelineObjective)
		g.ResultBytes = pipelineResult * 9 / 10
	})
}

// step lets both stages run up to a time and passes on what the first has made.
func (p *pipeline) step(to time.Duration) {
	p.first.run(to)
	for id, at := range p.first.gotAt {
		if p.passedOn[id.Request] || p.first.made(id) == 0 {
			continue
		}
		p.passedOn[id.Request] = true
		p.second.arrive(at.Sub(start), id.Request, 16, func(g *Group) {
			g.Due = p.due[id.Request]
			g.Deadline = p.due[id.Request].Add(3 * pipelineObjective)
			g.HoldsSpace = true
		})
	}
	p.second.run(to)
	for id, at := range p.second.gotAt {
		if _, open := p.second.pool.groups[id]; !open && !p.ended[id] {
			p.ended[id] = true
			p.first.plan(at, ResultsReleased{Results: p.madeFirst(id.Request)})
		}
	}
}

// madeFirst gives the results of a request's first stage.
func (p *pipeline) madeFirst(request string) []ResultRef {
	var made []ResultRef
	for _, d := range p.first.got {
		if d.ID.Request == request && d.Result.Handle != "" {
			made = append(made, ResultRef{Handle: d.Result.Handle, Address: d.Address})
		}
	}
	return made
}

// TestPolicyDueTimesLeaveTimeForLaterStages replays a load of four thirds of what the second stage can take, for 12
// seconds. Its baseline leaves only the second stage's own call: every group is then begun at its last moment, waits at
// the second stage, and is late there, after all work on it is done.
func TestPolicyDueTimesLeaveTimeForLaterStages(t *testing.T) {
	inTime := func(leave func(second *Pool) time.Duration) float64 {
		rng := rand.New(rand.NewPCG(7, 8))
		p := newPipeline(leave)
		n := 0
		next := time.Duration(0)
		for now := time.Duration(0); now < 16*time.Second; now += 10 * time.Millisecond {
			for next <= now && now < 12*time.Second {
				p.arrive(now, fmt.Sprint(n))
				n++
				next += time.Duration(rng.ExpFloat64() / 24 * float64(time.Second))
			}
			p.step(now + 10*time.Millisecond)
		}
		good := 0
		for id, at := range p.second.gotAt {
			if p.second.made(id) == 16 && !at.After(p.due[id.Request]) {
				good++
			}
		}
		return float64(good) / float64(n)
	}
	call := newPipeline(nil).second.pool.cfg.Stage.CallDuration(16)
	ours := inTime(func(second *Pool) time.Duration { return max(call, second.Turnaround()) })
	baseline := inTime(func(*Pool) time.Duration { return call })
	t.Logf("in time with the usual turnaround left: %.2f; with a call left: %.2f", ours, baseline)
	require.Greater(t, ours, 0.78)
	require.Less(t, baseline, 0.72)
}

// A late group holds much of its makers' space. First among all, as the oldest, it would make the group late that comes
// with it; never taken, its inputs would lapse, and all work on them be done again. It lets others pass for half of the
// time that results live, and then goes first.
func TestALateGroupThatHoldsSpaceLetsOthersPassForAWhile(t *testing.T) {
	stage := usualStage()
	stage.Batch = 1
	w := newWorld(stage, 1)
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
	require.Equal(t, 1, w.made(others[5]))
	require.True(t, w.gotAt[others[5]].Before(w.gotAt[late]), "what can be on time goes first")
	require.True(t, w.gotAt[late].Before(w.at(stage.ResultTTL)), "its inputs are used before they lapse")
}
