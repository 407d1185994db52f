package experimenter

import (
	"fmt"
	"time"

	"geraniumline/collector"
	"geraniumline/ejector"
	"geraniumline/planner"
	"geraniumline/selector"
)

// request is a caller's request with its current attempt.
type request struct {
	sim         *simulation
	kind        *Kind
	stats       *KindResult
	entry       *entry
	id          string
	subject     uint64
	pieceCounts []int
	arrived     time.Time
	plan        *planner.Plan
	parts       []selector.Part
	// refusedBy lists the model engines that have refused the current attempt.
	refusedBy []string
	// attempts counts the caller's attempts. ended is set once the current one has left the stages, refused or sent to the model.
	attempts int
	ended    bool
}

// attempt starts an attempt of the caller at a random running entry.
func (r *request) attempt() {
	r.attempts++
	r.ended = false
	r.refusedBy = nil
	r.entry = r.sim.randomEntry()
	r.id = fmt.Sprintf("%s-%d", r.id, r.attempts)
	r.sim.requests[r.id] = r
	e := r.entry
	r.plan = planner.New(planner.Config{
		Origin:             e.name,
		Request:            r.id,
		Stages:             r.kind.routeStages(),
		PieceCounts:        r.pieceCounts,
		Key:                "key",
		Priority:           int(r.kind.Priority),
		RoutePriority:      int(r.kind.Priority),
		Account:            "account",
		Due:                r.arrived.Add(millis(r.kind.ObjectiveMillis)),
		FirstEventDeadline: r.arrived.Add(millis(r.kind.PatienceMillis)),
		HomeZone:           e.selector.HomeZone(modelPool, r.parts, nil, r.sim.now),
		ModelTime:          e.selector.PredictFirstEvent(modelPool, r.parts),
		Disabled:           r.sim.disabled,
	})
	if service, overloaded := r.plan.Overloaded(e, r.sim.now); overloaded {
		r.refuse(service)
		return
	}
	id := r.id
	r.sim.schedule(r.plan.LatestModelStart().Sub(r.sim.now), func() {
		if r.id == id && !r.ended && !r.plan.Done() {
			r.refuse("")
		}
	})
	r.advance()
}

// advance starts the stages that are ready, or runs the model once all stages are done.
func (r *request) advance() {
	if r.ended {
		return
	}
	if r.plan.Done() {
		r.runModel()
		return
	}
	next, recheck := r.plan.Next(r.entry, r.sim.now)
	for _, stage := range next {
		g := r.plan.StartStage(stage, r.entry, r.sim.now)
		service := r.plan.Service(stage)
		collecting := r.sim.collectorFor(service)
		r.sim.schedule(r.entry.latencyTo(collecting), func() { collecting.reduce(service, collector.GroupArrived{Group: g}) })
	}
	if recheck {
		id := r.id
		r.sim.schedule(planner.RecheckInterval, func() {
			if r.id == id {
				r.advance()
			}
		})
	}
}

// addResult records a piece's result. A failed piece ends the attempt unless its lost inputs can be recomputed.
func (r *request) addResult(d collector.Deliver) {
	switch {
	case d.Result.Handle != "":
		r.sim.releaseResults(r.plan.AddResult(d.ID.Stage, d))
	case d.Result.Reason == collector.InputGone && r.recomputeInputs(d.ID.Stage):
	default:
		r.refuse(r.plan.Service(d.ID.Stage))
		return
	}
	r.advance()
}

func (r *request) recomputeInputs(stage int) bool {
	ended, freed, ok := r.plan.RecomputeInputs(stage)
	if !ok {
		return false
	}
	r.sim.releaseResults(freed)
	for _, i := range ended {
		r.withdrawGroup(i)
	}
	return true
}

func (r *request) withdrawGroup(stage int) {
	service := r.plan.Service(stage)
	id := collector.GroupID{Origin: r.entry.name, Request: r.id, Stage: stage}
	r.sim.collectorFor(service).reduce(service, collector.GroupWithdrawn{ID: id})
}

// runModel chooses a model engine and simulates its answer.
func (r *request) runModel() {
	r.ended = true
	query := selector.Query{Service: modelPool, Parts: r.parts, ZoneBytes: r.plan.InputBytesByZone(), Exclude: r.refusedBy}
	choice, ok := r.entry.selector.Choose(query, r.sim.now)
	if !ok {
		r.stats.Failed++
		return
	}
	r.entry.selector.RecordStart(choice, r.parts, r.sim.now)
	engine := r.sim.engines[choice.Endpoint.ID]
	for zone, bytes := range r.plan.InputBytesByZone() {
		r.sim.recordTransfer(zone, engine.zone, bytes)
	}
	sent := r.sim.now
	latency := r.sim.latency(r.entry.zone, engine.zone)
	e := r.entry
	if engine.down {
		e.selector.RecordEnd(choice, ejector.Down, r.sim.now)
		r.runModel()
		return
	}
	if delay, spaceShort := r.plan.FinalFetchDelay(e); spaceShort {
		r.sim.schedule(latency+delay, func() { r.sim.releaseResults(r.plan.FreeFinalResults()) })
	}
	r.sim.schedule(latency, func() {
		if engine.refuses {
			r.refusedBy = append(r.refusedBy, engine.id)
			e.selector.RecordRefusal(choice, r.sim.now)
			e.regulator.ApplyNotice(&choice.Endpoint, engine.notice, r.sim.now)
			r.runModel()
			return
		}
		engine.start(r, func() {
			e.regulator.ApplyNotice(&choice.Endpoint, engine.notice, r.sim.now)
			e.selector.ObserveFirstEvent(choice, r.sim.now.Sub(sent), r.sim.now)
			e.selector.RecordPromptRead(&choice)
			r.sim.releaseResults(r.plan.FreeFinalResults())
			r.recordFirstEvent()
		}, func() { e.selector.RecordEnd(choice, ejector.Good, r.sim.now) })
	})
}

// recordFirstEvent counts the request as on time or late.
func (r *request) recordFirstEvent() {
	elapsed := r.sim.now.Sub(r.arrived)
	r.stats.record(elapsed)
	if elapsed <= millis(r.kind.ObjectiveMillis) {
		r.stats.OnTime++
		return
	}
	r.stats.Late++
}

// refuse ends the attempt. The caller retries once, if the retry delay is at most a third of the time left
// before it leaves.
func (r *request) refuse(service string) {
	r.ended = true
	r.sim.releaseResults(r.plan.FreeAll())
	for i := range r.kind.Stages {
		r.withdrawGroup(i)
	}
	delay := planner.RetryAfter(r.entry.Load(service, r.plan.Rank()), r.sim.random.Float64())
	remaining := r.arrived.Add(millis(r.kind.PatienceMillis)).Sub(r.sim.now)
	if r.attempts > 1 || delay > remaining/3 {
		r.stats.Refused++
		return
	}
	r.sim.schedule(delay, r.attempt)
}
