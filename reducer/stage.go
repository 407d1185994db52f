package reducer

import (
	"strings"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/router"
	"geraniumline/scheduler"
)

const (
	// maxResumes bounds how often a request's cut streams are resumed.
	maxResumes = 4
	// maxReordered bounds the parts of one call that wait for an earlier one.
	maxReordered = 64
)

// call is one attempt of a request's present stage.
type callState struct {
	attempt  int
	address  string
	started  time.Time
	lastPart time.Time
	streamID string
	nextSeq  int
	text     replyText
	// early holds parts that arrived before their predecessor.
	outOfOrder map[int]endpointserver.StagePart
	// resumed tells that the reply is being read on after a cut: the endpoint has acted on the call,
	// whatever is said to the resuming.
	resumed    bool
	hedge      bool
	nextAction silenceAction
}

// enqueue lets the request's present stage wait for an endpoint.
func (c *Core) enqueue(r *request, now time.Time) {
	c.withdrawStage(r, r.stage)
	if c.applyQuarantine(r, now) {
		return
	}
	stage := r.currentStage()
	r.phase = phaseQueued
	r.queuedAt = now
	c.scheduler.Push(stage.Pool, r.schedulerItem(c.expectedStageCost(r.plan, r.stage)), now)
	c.dispatchQueued(stage.Pool, now)
}

// item is the request's present stage as the scheduler sees it.
func (r *request) schedulerItem(cost float64) scheduler.Item {
	return scheduler.Item{
		ID:       r.id,
		Account:  r.key.Account,
		Weight:   r.contract.Weight,
		Urgency:  r.urgency,
		Cost:     cost,
		Deadline: r.deadline,
	}
}

// announce tells the scheduler of the stages to come. Without it all that is admitted while earlier stages
// are under way would see empty queues, and a burst would be let in that can't end in time.
func (c *Core) announceStages(r *request) {
	for i := range r.plan.pipeline.Stages {
		r.announcedCosts[i] = c.expectedStageCost(r.plan, i)
		c.scheduler.Announce(r.plan.pipeline.Stages[i].Pool, r.schedulerItem(r.announcedCosts[i]))
	}
}

// withdraw takes the announcement of a stage back, once.
func (c *Core) withdrawStage(r *request, stage int) {
	if r.announcedCosts[stage] == 0 {
		return
	}
	c.scheduler.Withdraw(r.plan.pipeline.Stages[stage].Pool, r.schedulerItem(r.announcedCosts[stage]))
	r.announcedCosts[stage] = 0
}

// pump hands waiting stages to free endpoints of the pool.
//
// An item whose model no free endpoint holds is set aside and waits on: were it first in line until one is free, it
// would hold up the items of other models while their endpoints idle.
func (c *Core) dispatchQueued(pool string, now time.Time) {
	c.dispatchIsolated(pool, now)
	var deferred deferredItems
	defer c.requeueDeferred(pool, &deferred, now)
	for c.scheduler.Len(pool) > 0 && c.router.HasFree(pool, now) {
		item, ok := c.scheduler.Pop(pool, now)
		if !ok {
			return
		}
		r, running := c.requests[item.ID]
		if !running || c.applyQuarantine(r, now) {
			c.refundCharge(pool, item)
			continue
		}
		c.admitter.ObserveWait(pool, now.Sub(r.queuedAt), now)
		stages := c.pendingStages(r.plan, r.contract, r.stage, now)
		stages[0].WorkAhead = 0 // its turn has come
		if c.admitter.CannotFinish(stages, r.deadline, now) {
			c.refundCharge(pool, item)
			c.fail(r, CodeCannotFinish, "the stages that are left cannot end by the deadline", c.retryAfter(pool), now)
			continue
		}
		address, found := c.chooseEndpoint(r, &deferred, now)
		if !found {
			c.refundCharge(pool, item)
			if !c.deferItem(pool, item, &deferred) {
				return
			}
			continue
		}
		c.dispatch(r, address, false, now)
	}
}

// chargeBack takes the work of an item back that was popped but not run: it would be counted as done by the pool,
// and as served to the account.
func (c *Core) refundCharge(pool string, item scheduler.Item) {
	c.scheduler.Charge(pool, item.Account, -item.Cost)
}

func (c *Core) routerQuery(r *request) router.Query {
	stage := r.currentStage()
	r.prefix = c.promptPrefix(r)
	query := router.Query{Pool: stage.Pool, Prefix: r.prefix, Avoid: r.triedAddresses, NoProbe: !stage.Repeatable}
	if o, placed := c.placedPools[stage.Pool]; placed {
		query.Model = stage.Model
		query.LacksModel = o.cannotServe
	}
	return query
}

// retryAfter tells a caller when the backlog of a pool will have been worked off.
func (c *Core) retryAfter(pool string) time.Duration {
	capacity := max(c.poolCapacity(pool, c.lastTick), 1)
	wait := time.Duration(c.scheduler.Backlog(pool)/capacity) * time.Millisecond
	return max(wait, minRetryAfter)
}

const minRetryAfter = 100 * time.Millisecond

// dispatch sends one attempt of the present stage to an endpoint.
func (c *Core) dispatch(r *request, address string, hedge bool, now time.Time) {
	stage := r.currentStage()
	r.attempts++
	if r.attempts == 1 {
		c.retrier.RecordFirstAttempt(stage.Pool, c.poolBusy(stage.Pool), now)
	}
	r.phase = phaseRunning
	r.possibleRuns++
	r.calls = append(r.calls, callState{attempt: r.attempts, address: address, started: now, lastPart: now, hedge: hedge})
	c.counters.StageCalls++
	c.router.CallStarted(address, &r.prefix, now)
	id := CallID{Request: r.id, Stage: r.stage, Attempt: r.attempts}
	effect := &stageCall{}
	body := &effect.body
	*body = endpointserver.StageCall{
		RequestId:      r.name,
		Stage:          stage.Name,
		Attempt:        r.attempts,
		Account:        r.key.Account,
		Input:          r.input,
		DeadlineMillis: max(r.deadline.Sub(now).Milliseconds(), 1),
		IdempotencyKey: endpointserver.NewOptString(r.key.Key),
		Repeatable:     endpointserver.NewOptBool(stage.Repeatable),
		Priority:       endpointserver.NewOptInt(int(scheduler.Relaxed) - int(r.urgency)),
	}
	if stage.Model != "" {
		body.Model = endpointserver.NewOptString(stage.Model)
	}
	if stage.MaxTokens > 0 {
		body.MaxTokens = endpointserver.NewOptInt(stage.MaxTokens)
	}
	if r.fence > 0 {
		body.Fence = endpointserver.NewOptInt64(r.fence)
	}
	effect.CallStage = CallStage{Call: id, Address: address, Body: body}
	c.emit(&effect.CallStage)
	c.scheduleFirstAction(r, id, now)
}

// stageCall is a CallStage and its body in one piece of memory.
type stageCall struct {
	CallStage
	body endpointserver.StageCall
}

// find gives the request and the index of the call that an id names, if both are still of interest.
func (c *Core) findCall(id CallID) (*request, int) {
	r, running := c.requests[id.Request]
	if !running || r.stage != id.Stage || r.phase != phaseRunning {
		return nil, -1
	}
	at := r.callIndex(id.Attempt)
	if at < 0 {
		return nil, -1
	}
	return r, at
}

// takePart takes one part of a reply.
func (c *Core) handlePart(e *StagePartArrived, now time.Time) {
	r, at := c.findCall(e.Call)
	if r == nil {
		c.counters.PartsLate++
		return
	}
	call := &r.calls[at]
	// A reply that names another request, stage or attempt was handed to the wrong caller by the
	// endpoint. Taking it would show one account another's data, so it is dropped, and the call has
	// failed: its own reply is not going to come on this connection.
	if e.Part.RequestId != r.name || e.Part.Stage != r.currentStage().Name || e.Part.Attempt != call.attempt {
		c.counters.PartsMisdelivered++
		c.handleStageFailed(StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultError, Message: "the reply was another call's"}}, now)
		return
	}
	call.lastPart = now
	call.streamID = e.Part.StreamId
	switch {
	case e.Part.Seq < call.nextSeq:
		c.counters.PartsOverlapping++
	case e.Part.Seq > call.nextSeq:
		c.bufferPart(r, at, e, now)
	default:
		c.acceptPart(r, at, e.Part, now)
	}
}

// holdEarly keeps a part that overtook its predecessor.
func (c *Core) bufferPart(r *request, at int, e *StagePartArrived, now time.Time) {
	c.counters.PartsAfterGap++
	call := &r.calls[at]
	if call.outOfOrder == nil {
		call.outOfOrder = map[int]endpointserver.StagePart{}
	}
	if len(call.outOfOrder) >= maxReordered {
		c.handleStageFailed(StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultConnectionLost, Message: "parts are missing"}}, now)
		return
	}
	call.outOfOrder[e.Part.Seq] = e.Part
}

// takeInOrder takes the next part of a call and those that waited for it.
func (c *Core) acceptPart(r *request, at int, part endpointserver.StagePart, now time.Time) {
	call := &r.calls[at]
	for {
		call.nextSeq++
		call.text.write(part.Text)
		if part.Final {
			c.handleFinalPart(r, at, part, now)
			return
		}
		next, held := call.outOfOrder[call.nextSeq]
		if !held {
			break
		}
		delete(call.outOfOrder, call.nextSeq)
		part = next
	}
	c.forwardText(r, call, now)
}

// forward sends a caller that asked for a stream what it has not got yet of the last stage's text.
// A second attempt may give other text than the first: what was sent can't be taken back, so only
// an attempt whose text begins with it may go on, see endStage.
func (c *Core) forwardText(r *request, call *callState, _ time.Time) {
	if !r.stream || r.callerGone || !r.onLastStage() || call.text.length() <= len(r.sentText) {
		return
	}
	text := call.text.content()
	if !strings.HasPrefix(text, r.sentText) {
		return
	}
	c.emit(SendPart{ID: r.id, Text: text[len(r.sentText):]})
	r.sentText = text
}

// takeFinal takes the last part of a reply.
func (c *Core) handleFinalPart(r *request, at int, part endpointserver.StagePart, now time.Time) {
	call := &r.calls[at]
	id := CallID{Request: r.id, Stage: r.stage, Attempt: call.attempt}
	if part.Error.Value != "" {
		c.handleStageFailed(StageFailed{Call: id, Fault: StageFault{Kind: FaultError, Message: part.Error.Value}}, now)
		return
	}
	if part.Total.Value != call.nextSeq {
		c.handleStageFailed(StageFailed{Call: id, Fault: StageFault{Kind: FaultError, Message: "the reply's total differs from its parts"}}, now)
		return
	}
	text := call.text.content()
	if !strings.HasPrefix(text, r.sentText) {
		c.handleStageFailed(StageFailed{Call: id, Fault: StageFault{Kind: FaultError, Message: "the reply differs from what was sent"}}, now)
		return
	}
	c.forwardText(r, call, now)
	c.completeStage(r, at, text, part, now)
}

// endStage takes a stage's result: the first accepted attempt wins, the others are cancelled.
func (c *Core) completeStage(r *request, at int, text string, part endpointserver.StagePart, now time.Time) {
	call := r.calls[at]
	stage := r.currentStage()
	cost := part.Cost.Value
	mean, _ := c.stageTime(r)
	c.recordCallEnd(call.address, router.CallEnd{Result: router.Succeeded, Duration: now.Sub(call.started), Expected: mean}, now)
	c.admitter.Observe(r.plan.stageNames[r.stage], now.Sub(call.started), cost, now)
	c.scheduler.Charge(stage.Pool, r.key.Account, cost-c.admitter.ExpectedCost(r.plan.stageNames[r.stage], cost))
	c.biller.Work(r.key.Account, stage.Name, cost)
	r.measuredCost += cost
	r.calls = append(r.calls[:at], r.calls[at+1:]...)
	c.cancelCalls(r, now)
	if r.onLastStage() {
		c.answer(r, text, part.Total.Value, now)
		c.dispatchQueued(stage.Pool, now)
		return
	}
	r.stage++
	r.input = text
	r.triedAddresses = r.triedAddresses[:0]
	r.attempts = 0
	r.resumes = 0
	c.enqueue(r, now)
	c.dispatchQueued(stage.Pool, now)
}

// cancelCalls ends the calls that nobody waits for. The work they have done is counted as wasted.
func (c *Core) cancelCalls(r *request, now time.Time) {
	for i := range r.calls {
		call := &r.calls[i]
		c.emit(CancelStage{Call: CallID{Request: r.id, Stage: r.stage, Attempt: call.attempt}, Address: call.address, StreamID: call.streamID})
		c.recordCallEnd(call.address, router.CallEnd{Result: router.Cancelled}, now)
		c.recordWaste(r, call, now)
	}
	r.calls = r.calls[:0]
}

func (c *Core) recordWaste(r *request, call *callState, now time.Time) {
	c.biller.Wasted(r.key.Account, r.currentStage().Name, float64(now.Sub(call.started).Milliseconds()))
}
