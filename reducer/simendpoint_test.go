package reducer_test

import (
	"strings"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/reducer"
	"geraniumline/router"
)

// simEndpoint is a simulated endpoint that serves calls in order of arrival on a fixed number of slots.
type simEndpoint struct {
	system     *system
	address    string
	pool       string
	service    time.Duration
	slots      int
	slowFactor float64
	// A failing endpoint answers errors at once; a hanging one accepts calls and does not answer.
	failing bool
	hanging bool
	dead    bool
	crashes int
	running int
	queue   []*simCall
	calls   []*simCall
	// reports are the load reports that have not been delivered yet, oldest first.
	reports []router.LoadReport
}

type simCall struct {
	entry     *simEntry
	stage     reducer.CallStage
	started   bool
	cancelled bool
}

func (p *simEndpoint) sendFault(e *simEntry, id reducer.CallID, kind reducer.FaultKind) {
	p.system.after(hopDelay, func() {
		p.system.deliver(e, reducer.StageFailed{Call: id, Fault: reducer.StageFault{Kind: kind}})
	})
}

func (p *simEndpoint) receiveCall(e *simEntry, stage reducer.CallStage) {
	switch {
	case p.dead:
		p.sendFault(e, stage.Call, reducer.FaultNotSent)
		return
	case p.failing:
		p.sendFault(e, stage.Call, reducer.FaultError)
		return
	}
	call := &simCall{entry: e, stage: stage}
	p.calls = append(p.calls, call)
	p.queue = append(p.queue, call)
	p.run()
}

// run starts waiting calls while there are free slots.
func (p *simEndpoint) run() {
	for !p.hanging && !p.dead && p.running < p.slots && len(p.queue) > 0 {
		call := p.queue[0]
		p.queue = p.queue[1:]
		if call.cancelled {
			continue
		}
		call.started = true
		p.running++
		duration := time.Duration(float64(p.service) * p.slowFactor * (0.6 + 0.4*p.system.rng.ExpFloat64()))
		if strings.Contains(call.stage.Body.Input, crashInput) {
			p.system.after(p.service/2, func() {
				if !call.cancelled {
					p.crash()
				}
			})
			continue
		}
		p.system.after(duration, func() { p.finishCall(call, duration) })
	}
}

func (p *simEndpoint) finishCall(call *simCall, duration time.Duration) {
	if call.cancelled {
		return
	}
	p.removeCall(call)
	body := call.stage.Body
	part := endpointserver.StagePart{
		RequestId: body.RequestId, Stage: body.Stage, Attempt: body.Attempt, StreamId: body.RequestId,
		Text: body.Input, Final: true, Total: endpointserver.NewOptInt(1),
		Cost: endpointserver.NewOptFloat64(float64(duration.Milliseconds())),
	}
	p.system.after(hopDelay, func() {
		p.system.deliver(call.entry, &reducer.StagePartArrived{Call: call.stage.Call, Part: part})
	})
	p.run()
}

// removeCall removes a call and frees its slot.
func (p *simEndpoint) removeCall(call *simCall) {
	call.cancelled = true
	if call.started {
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
			p.removeCall(call)
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
	p.sendFault(e, f.Call, kind)
}

// crash ends the endpoint's process and all its calls.
func (p *simEndpoint) crash() {
	if p.dead {
		return
	}
	p.dead = true
	p.crashes++
	lost := p.calls
	p.calls, p.queue, p.running = nil, nil, 0
	for _, call := range lost {
		call.cancelled = true
		p.sendFault(call.entry, call.stage.Call, reducer.FaultConnectionLost)
	}
}
