package reducer

import (
	"strings"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/router"
	"geraniumline/scheduler"
)

const (
	// maxResumes bounds how often the broken streams of a stage are resumed.
	maxResumes = 4
	// maxReordered bounds the parts of one call that are buffered until an earlier one arrives.
	maxReordered = 64
)

// callState is the state of one attempt of a request's current stage.
type callState struct {
	attempt  int
	address  string
	started  time.Time
	lastPart time.Time
	streamID string
	nextSeq  int
	text     replyText
	// outOfOrder holds the parts that arrived before their predecessor, by sequence number.
	outOfOrder map[int]endpointserver.StagePart
	// resumed is set if the reply was resumed after a lost connection. The endpoint has then acted on the call,
	// whatever the result of resuming is.
	resumed    bool
	hedge      bool
	nextAction silenceAction
}

// enqueue queues the request's current stage for an endpoint of its pool.
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

// schedulerItem returns the scheduler's item for one of the request's stages.
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

// announceStages announces all of the request's stages to the scheduler. Otherwise, requests that are admitted while
// earlier stages run would see empty queues, and a burst that can't finish in time would be admitted.
func (c *Core) announceStages(r *request) {
	for i := range r.plan.pipeline.Stages {
		r.announcedCosts[i] = c.expectedStageCost(r.plan, i)
		c.scheduler.Announce(r.plan.pipeline.Stages[i].Pool, r.schedulerItem(r.announcedCosts[i]))
	}
}

// withdrawStage withdraws the announcement of a stage. Further calls for the stage do nothing.
func (c *Core) withdrawStage(r *request, stage int) {
	if r.announcedCosts[stage] == 0 {
		return
	}
	c.scheduler.Withdraw(r.plan.pipeline.Stages[stage].Pool, r.schedulerItem(r.announcedCosts[stage]))
	r.announcedCosts[stage] = 0
}

// dispatchQueued dispatches queued stages to free endpoints of the pool.
//
// An item whose model no free endpoint holds is deferred. If it stayed at the head of the queue until such an
// endpoint is free, it would block the items of other models while their endpoints are idle.
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
		stages[0].WorkAhead = 0 // the item is at the head of the queue
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

// refundCharge reverses the charge for an item that was popped but not run. Its work would otherwise be counted as
// done by the pool and as served to the account.
func (c *Core) refundCharge(pool string, item scheduler.Item) {
	c.scheduler.Charge(pool, item.Account, -item.Cost)
}

// routerQuery returns the query for an endpoint for the request's current stage.
func (c *Core) routerQuery(r *request) router.Query {
	stage := r.currentStage()
	r.prefix = c.promptPrefix(r)
	query := router.Query{Pool: stage.Pool, Prefix: r.prefix, Avoid: r.triedAddresses, NoProbe: !stage.Repeatable}
	if p, placed := c.placedPools[stage.Pool]; placed {
		query.Model = stage.Model
		query.LacksModel = p.cannotServe
	}
	return query
}

// retryAfter estimates when the backlog of a pool will be cleared; it is at least minRetryAfter.
func (c *Core) retryAfter(pool string) time.Duration {
	capacity := max(c.poolCapacity(pool, c.lastTick), 1)
	wait := time.Duration(c.scheduler.Backlog(pool)/capacity) * time.Millisecond
	return max(wait, minRetryAfter)
}

const minRetryAfter = 100 * time.Millisecond

// dispatch sends one attempt of the current stage to an endpoint.
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

// stageCall holds a CallStage and its body in a single allocation.
type stageCall struct {
	CallStage
	body endpointserver.StageCall
}

// findCall returns the request and the index of the call with an id. The request is nil if it or the call has ended.
func (c *Core) findCall(id CallID) (*request, int) {
	r, running := c.requests[id.Request]
	if !running || r.stage != id.Stage || r.phase != phaseRunning {
		return nil, -1
	}
	index := r.callIndex(id.Attempt)
	if index < 0 {
		return nil, -1
	}
	return r, index
}

// handlePart handles one part of a reply.
func (c *Core) handlePart(e *StagePartArrived, now time.Time) {
	r, index := c.findCall(e.Call)
	if r == nil {
		c.counters.PartsLate++
		return
	}
	call := &r.calls[index]
	// A reply that names another request, stage or attempt was sent to the wrong caller by the
	// endpoint. Accepting it would disclose one account's data to another, so it is dropped. The
	// call fails, since its own reply is not going to arrive on this connection.
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
		c.bufferPart(r, index, e, now)
	default:
		c.acceptPart(r, index, e.Part, now)
	}
}

// bufferPart keeps a part that arrived before its predecessor.
func (c *Core) bufferPart(r *request, index int, e *StagePartArrived, now time.Time) {
	c.counters.PartsAfterGap++
	call := &r.calls[index]
	if call.outOfOrder == nil {
		call.outOfOrder = map[int]endpointserver.StagePart{}
	}
	if len(call.outOfOrder) >= maxReordered {
		c.handleStageFailed(StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultConnectionLost, Message: "parts are missing"}}, now)
		return
	}
	call.outOfOrder[e.Part.Seq] = e.Part
}

// acceptPart appends the next part of a call and the buffered parts that follow it.
func (c *Core) acceptPart(r *request, index int, part endpointserver.StagePart, now time.Time) {
	call := &r.calls[index]
	if call.nextSeq == 0 {
		c.recordPartAnswer(r, now)
	}
	for {
		call.nextSeq++
		call.text.write(part.Text)
		if part.Final {
			c.handleFinalPart(r, index, part, now)
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

// forwardText sends a caller that requested a stream the part of the last stage's text that it has not received yet.
// A second attempt may produce other text than the first. What was sent can't be retracted, so only
// an attempt whose text begins with it may continue; see handleFinalPart.
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

// handleFinalPart handles the last part of a reply: it fails the call if the reply is an error, incomplete or
// inconsistent with what was sent to the caller, and otherwise completes the stage.
func (c *Core) handleFinalPart(r *request, index int, part endpointserver.StagePart, now time.Time) {
	call := &r.calls[index]
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
	c.completeStage(r, index, text, part, now)
}

// completeStage ends a stage with the result of one attempt, cancels the other attempts, and starts the next stage or
// answers the request.
func (c *Core) completeStage(r *request, index int, text string, part endpointserver.StagePart, now time.Time) {
	call := r.calls[index]
	stage := r.currentStage()
	cost := part.Cost.Value
	mean, _ := c.stageTime(r)
	c.recordCallEnd(call.address, router.CallEnd{Result: router.Succeeded, Duration: now.Sub(call.started), Expected: mean}, now)
	c.admitter.Observe(r.plan.stageNames[r.stage], now.Sub(call.started), cost, now)
	c.scheduler.Charge(stage.Pool, r.key.Account, cost-c.admitter.ExpectedCost(r.plan.stageNames[r.stage], cost))
	c.biller.AddWork(r.key.Account, stage.Name, cost)
	r.measuredCost += cost
	r.calls = append(r.calls[:index], r.calls[index+1:]...)
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

// cancelCalls cancels all calls of the request's current stage and counts their work as wasted.
func (c *Core) cancelCalls(r *request, now time.Time) {
	for i := range r.calls {
		call := &r.calls[i]
		c.emit(CancelStage{Call: CallID{Request: r.id, Stage: r.stage, Attempt: call.attempt}, Address: call.address, StreamID: call.streamID})
		c.recordCallEnd(call.address, router.CallEnd{Result: router.Cancelled}, now)
		c.recordWaste(r, call, now)
	}
	r.calls = r.calls[:0]
}

// recordWaste bills the time of a call as wasted work.
func (c *Core) recordWaste(r *request, call *callState, now time.Time) {
	c.biller.AddWasted(r.key.Account, r.currentStage().Name, float64(now.Sub(call.started).Milliseconds()))
}
