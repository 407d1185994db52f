package reducer_test

import (
	"strings"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/reducer"
	"geraniumline/router"
)

// simEndpoint serves calls in order of arrival at a number of slots.
type simEndpoint struct {
	system  *system
	address string
	pool    string
	service time.Duration
	slots   int
	slow    float64
	// failing answers errors at once, hanging takes calls and does not answer.
	failing bool
	hanging bool
	dead    bool
	losses  int
	running int
	queue   []*simCall
	calls   []*simCall
	// reports are the loads that were not read yet, the oldest first.
	reports []router.LoadReport
}

type simCall struct {
	entry *simEntry
	stage reducer.CallStage
	began bool
	gone  bool
}

func (p *simEndpoint) fault(e *simEntry, id reducer.CallID, kind reducer.FaultKind) {
	p.system.after(hop, func() {
		p.system.give(e, reducer.StageFailed{Call: id, Fault: reducer.StageFault{Kind: kind}})
	})
}

func (p *simEndpoint) take(e *simEntry, stage reducer.CallStage) {
	switch {
	case p.dead:
		p.fault(e, stage.Call, reducer.FaultNotSent)
		return
	case p.failing:
		p.fault(e, stage.Call, reducer.FaultError)
		return
	}
	call := &simCall{entry: e, stage: stage}
	p.calls = append(p.calls, call)
	p.queue = append(p.queue, call)
	p.run()
}

// run begins the calls that wait, as far as there are slots.
func (p *simEndpoint) run() {
	for !p.hanging && !p.dead && p.running < p.slots && len(p.queue) > 0 {
		call := p.queue[0]
		p.queue = p.queue[1:]
		if call.gone {
			continue
		}
		call.began = true
		p.running++
		took := time.Duration(float64(p.service) * p.slow * (0.6 + 0.4*p.system.rng.ExpFloat64()))
		if strings.Contains(call.stage.Body.Input, poison) {
			p.system.after(p.service/2, func() {
				if !call.gone {
					p.lose()
				}
			})
			continue
		}
		p.system.after(took, func() { p.end(call, took) })
	}
}

func (p *simEndpoint) end(call *simCall, took time.Duration) {
	if call.gone {
		return
	}
	p.drop(call)
	body := call.stage.Body
	part := endpointserver.StagePart{
		RequestId: body.RequestId, Stage: body.Stage, Attempt: body.Attempt, StreamId: body.RequestId,
		Text: body.Input, Final: true, Total: endpointserver.NewOptInt(1),
		Cost: endpointserver.NewOptFloat64(float64(took.Milliseconds())),
	}
	p.system.after(hop, func() {
		p.system.give(call.entry, &reducer.StagePartArrived{Call: call.stage.Call, Part: part})
	})
	p.run()
}

// drop ends a call and frees its slot.
func (p *simEndpoint) drop(call *simCall) {
	call.gone = true
	if call.began {
		p.running--
	}
	for i, other := range p.calls {
		if other == call {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}

func (p *simEndpoint) cancel(e *simEntry, id reducer.CallID) {
	for _, call := range p.calls {
		if call.entry == e && call.stage.Call == id {
			p.drop(call)
			p.run()
			return
		}
	}
}

func (p *simEndpoint) resume(e *simEntry, f reducer.ResumeStage) {
	kind := reducer.FaultError
	if p.dead {
		kind = reducer.FaultNotSent
	}
	p.fault(e, f.Call, kind)
}

// lose ends the endpoint's process with all that it has.
func (p *simEndpoint) lose() {
	if p.dead {
		return
	}
	p.dead = true
	p.losses++
	lost := p.calls
	p.calls, p.queue, p.running = nil, nil, 0
	for _, call := range lost {
		call.gone = true
		p.fault(call.entry, call.stage.Call, reducer.FaultConnectionLost)
	}
}
