package experimenter

import (
	"fmt"
	"time"

	"geraniumline/collector"
	"geraniumline/ejector"
	"geraniumline/planner"
	"geraniumline/selector"
)

// request is one request of a caller, with the attempt that is under way.
type request struct {
	w       *world
	kind    *Kind
	stats   *KindResult
	entry   *entry
	id      string
	subject uint64
	counts  []int
	began   time.Time
	plan    *planner.Plan
	parts   []selector.Part
	// refusedBy are the model engines that have refused the present try.
	refusedBy []string
	// attempts counts the caller's tries; ended is set once the present one is over.
	attempts int
	ended    bool
}

// attempt begins a try of the caller at an entry that lives.
func (r *request) attempt() {
	r.attempts++
	r.ended = false
	r.refusedBy = nil
	r.entry = r.w.anyEntry()
	r.id = fmt.Sprintf("%s-%d", r.id, r.attempts)
	r.w.requests[r.id] = r
	e := r.entry
	r.plan = planner.New(planner.Config{
		Origin:             e.name,
		Request:            r.id,
		Stages:             r.kind.stages(),
		PieceCounts:        r.counts,
		Key:                "key",
		Priority:           int(r.kind.Priority),
		Account:            "account",
		Due:                r.began.Add(millis(r.kind.ObjectiveMillis)),
		FirstEventDeadline: r.began.Add(millis(r.kind.PatienceMillis)),
		HomeZone:           e.selector.HomeZone(modelPool, r.parts, nil, r.w.now),
		ModelTime:          e.selector.PredictFirstEvent(modelPool, r.parts),
		Off:                r.w.off,
	})
	if service, over := r.plan.Overloaded(e, r.w.now); over {
		r.refuse(service)
		return
	}
	id := r.id
	r.w.after(r.plan.LatestModelStart().Sub(r.w.now), func() {
		if r.id == id && !r.ended && !r.plan.Done() {
			r.refuse("")
		}
	})
	r.goOn()
}

// goOn asks for the stages whose turn it is, or has the model run the request.
func (r *request) goOn() {
	if r.ended {
		return
	}
	if r.plan.Done() {
		r.run()
		return
	}
	next, again := r.plan.Next(r.entry, r.w.now)
	for _, stage := range next {
		g := r.plan.StartStage(stage, r.entry, r.w.now)
		service := r.plan.Service(stage)
		collecting := r.w.owner(service)
		r.w.after(r.entry.wayTo(collecting), func() { collecting.reduce(service, collector.GroupArrived{Group: g}) })
	}
	if again {
		id := r.id
		r.w.after(planner.RecheckInterval, func() {
			if r.id == id {
				r.goOn()
			}
		})
	}
}

// took takes a piece's result, or the reason why there is none.
func (r *request) took(d collector.Deliver) {
	switch {
	case d.Result.Handle != "":
		r.w.freeAll(r.plan.AddResult(d.ID.Stage, d))
	case d.Result.Reason == collector.InputGone && r.remake(d.ID.Stage):
	default:
		r.refuse(r.plan.Service(d.ID.Stage))
		return
	}
	r.goOn()
}

func (r *request) remake(stage int) bool {
	ended, freed, again := r.plan.RecomputeInputs(stage)
	if !again {
		return false
	}
	r.w.freeAll(freed)
	for _, i := range ended {
		r.withdraw(i)
	}
	return true
}

func (r *request) withdraw(stage int) {
	service := r.plan.Service(stage)
	id := collector.GroupID{Origin: r.entry.name, Request: r.id, Stage: stage}
	r.w.owner(service).reduce(service, collector.GroupWithdrawn{ID: id})
}

// run chooses a model engine and follows its answer.
func (r *request) run() {
	r.ended = true
	ask := selector.Query{Service: modelPool, Parts: r.parts, ZoneBytes: r.plan.InputBytesByZone(), Exclude: r.refusedBy}
	choice, found := r.entry.selector.Choose(ask, r.w.now)
	if !found {
		r.stats.Failed++
		return
	}
	r.entry.selector.RecordStart(choice, r.parts, r.w.now)
	engine := r.w.engines[choice.Endpoint.ID]
	for zone, bytes := range r.plan.InputBytesByZone() {
		r.w.cross(zone, engine.zone, bytes)
	}
	sent := r.w.now
	way := r.w.way(r.entry.zone, engine.zone)
	e := r.entry
	if engine.gone {
		e.selector.RecordEnd(choice, ejector.Down, r.w.now)
		r.run()
		return
	}
	if after, short := r.plan.FinalFetchDelay(e); short {
		r.w.after(way+after, func() { r.w.freeAll(r.plan.FreeFinalResults()) })
	}
	r.w.after(way, func() {
		if engine.refuses {
			r.refusedBy = append(r.refusedBy, engine.id)
			e.selector.RecordRefusal(choice, r.w.now)
			e.regulator.ApplyNotice(&choice.Endpoint, engine.notice, r.w.now)
			r.run()
			return
		}
		engine.take(r, func() {
			e.regulator.ApplyNotice(&choice.Endpoint, engine.notice, r.w.now)
			e.selector.ObserveFirstEvent(choice, r.w.now.Sub(sent))
			e.selector.RecordPromptRead(&choice)
			r.w.freeAll(r.plan.FreeFinalResults())
			r.answered()
		}, func() { e.selector.RecordEnd(choice, ejector.Good, r.w.now) })
	})
}

// answered counts the first event.
func (r *request) answered() {
	took := r.w.now.Sub(r.began)
	r.stats.record(took)
	if took <= millis(r.kind.ObjectiveMillis) {
		r.stats.OnTime++
		return
	}
	r.stats.Late++
}

// refuse ends the try. The caller comes back once, if a third of its patience lasts for that.
func (r *request) refuse(service string) {
	r.ended = true
	r.w.freeAll(r.plan.FreeAll())
	for i := range r.kind.Stages {
		r.withdraw(i)
	}
	after := planner.RetryAfter(r.entry.Load(service), r.w.random.Float64())
	left := r.began.Add(millis(r.kind.PatienceMillis)).Sub(r.w.now)
	if r.attempts > 1 || after > left/3 {
		r.stats.Refused++
		return
	}
	r.w.after(after, r.attempt)
}
