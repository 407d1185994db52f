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
type call struct {
	attempt  int
	address  string
	started  time.Time
	lastPart time.Time
	streamID string
	nextSeq  int
	text     partsText
	// early holds parts that arrived before their predecessor.
	early map[int]endpointserver.StagePart
	// resumed tells that the reply is being read on after a cut: the endpoint has acted on the call,
	// whatever is said to the resuming.
	resumed bool
	hedge   bool
	watch   watch
}

// enqueue lets the request's present stage wait for an endpoint.
func (c *Core) enqueue(r *request, now time.Time) {
	c.withdraw(r, r.stage)
	if c.divert(r, now) {
		return
	}
	stage := r.stageConfig()
	r.phase = phaseQueued
	r.queuedAt = now
	c.scheduler.Push(stage.Pool, r.item(c.expectedStageCost(r.plan, r.stage)), now)
	c.pump(stage.Pool, now)
}

// item is the request's present stage as the scheduler sees it.
func (r *request) item(cost float64) scheduler.Item {
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
func (c *Core) announce(r *request) {
	for i := range r.plan.pipeline.Stages {
		r.announced[i] = c.expectedStageCost(r.plan, i)
		c.scheduler.Announce(r.plan.pipeline.Stages[i].Pool, r.item(r.announced[i]))
	}
}

// withdraw takes the announcement of a stage back, once.
func (c *Core) withdraw(r *request, stage int) {
	if r.announced[stage] == 0 {
		return
	}
	c.scheduler.Withdraw(r.plan.pipeline.Stages[stage].Pool, r.item(r.announced[stage]))
	r.announced[stage] = 0
}

// pump hands waiting stages to free endpoints of the pool.
//
// An item whose model no free endpoint holds is set aside and waits on: were it first in line until one is free, it
// would hold up the items of other models while their endpoints idle.
func (c *Core) pump(pool string, now time.Time) {
	c.pumpLone(pool, now)
	var aside setAside
	defer c.putBack(pool, &aside, now)
	for c.scheduler.Len(pool) > 0 && c.router.HasFree(pool, now) {
		item, ok := c.scheduler.Pop(pool, now)
		if !ok {
			return
		}
		r, running := c.requests[item.ID]
		if !running || c.divert(r, now) {
			c.chargeBack(pool, item)
			continue
		}
		c.admitter.ObserveWait(pool, now.Sub(r.queuedAt), now)
		asks := c.asks(r.plan, r.contract, r.stage, now)
		asks[0].WorkAhead = 0 // its turn has come
		if c.admitter.CannotFinish(asks, r.deadline, now) {
			c.chargeBack(pool, item)
			c.fail(r, CodeCannotFinish, "the stages that are left cannot end by the deadline", c.retryAfter(pool), now)
			continue
		}
		address, found := c.choose(r, &aside, now)
		if !found {
			c.chargeBack(pool, item)
			if !c.setAside(pool, item, &aside) {
				return
			}
			continue
		}
		c.dispatch(r, address, false, now)
	}
}

// chargeBack takes the work of an item back that was popped but not run: it would be counted as done by the pool,
// and as served to the account.
func (c *Core) chargeBack(pool string, item scheduler.Item) {
	c.scheduler.Charge(pool, item.Account, -item.Cost)
}

func (c *Core) askOf(r *request) router.Query {
	stage := r.stageConfig()
	r.prefix = c.prefixOf(r)
	ask := router.Query{Pool: stage.Pool, Prefix: r.prefix, Avoid: r.tried, NoProbe: !stage.Repeatable}
	if o, placed := c.orderings[stage.Pool]; placed {
		ask.Model = stage.Model
		ask.LacksModel = o.lacks
	}
	return ask
}

// retryAfter tells a caller when the backlog of a pool will have been worked off.
func (c *Core) retryAfter(pool string) time.Duration {
	capacity := max(c.capacity(pool, c.lastTick), 1)
	wait := time.Duration(c.scheduler.Backlog(pool)/capacity) * time.Millisecond
	return max(wait, minRetryAfter)
}

const minRetryAfter = 100 * time.Millisecond

// dispatch sends one attempt of the present stage to an endpoint.
func (c *Core) dispatch(r *request, address string, hedge bool, now time.Time) {
	stage := r.stageConfig()
	r.attempts++
	if r.attempts == 1 {
		c.retrier.RecordFirstAttempt(stage.Pool, c.busy(stage.Pool), now)
	}
	r.phase = phaseRunning
	r.possible++
	r.calls = append(r.calls, call{attempt: r.attempts, address: address, started: now, lastPart: now, hedge: hedge})
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
	c.watchCall(r, id, now)
}

// stageCall is a CallStage and its body in one piece of memory.
type stageCall struct {
	CallStage
	body endpointserver.StageCall
}

// find gives the request and the index of the call that an id names, if both are still of interest.
func (c *Core) find(id CallID) (*request, int) {
	r, running := c.requests[id.Request]
	if !running || r.stage != id.Stage || r.phase != phaseRunning {
		return nil, -1
	}
	at := r.callOf(id.Attempt)
	if at < 0 {
		return nil, -1
	}
	return r, at
}

// takePart takes one part of a reply.
func (c *Core) takePart(e *StagePartArrived, now time.Time) {
	r, at := c.find(e.Call)
	if r == nil {
		c.counters.PartsLate++
		return
	}
	k := &r.calls[at]
	// A reply that names another request, stage or attempt was handed to the wrong caller by the
	// endpoint. Taking it would show one account another's data, so it is dropped, and the call has
	// failed: its own reply is not going to come on this connection.
	if e.Part.RequestId != r.name || e.Part.Stage != r.stageConfig().Name || e.Part.Attempt != k.attempt {
		c.counters.PartsForeign++
		c.takeFault(StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultFailed, Message: "the reply was another call's"}}, now)
		return
	}
	k.lastPart = now
	k.streamID = e.Part.StreamId
	switch {
	case e.Part.Seq < k.nextSeq:
		c.counters.PartsOverlapping++
	case e.Part.Seq > k.nextSeq:
		c.holdEarly(r, at, e, now)
	default:
		c.takeInOrder(r, at, e.Part, now)
	}
}

// holdEarly keeps a part that overtook its predecessor.
func (c *Core) holdEarly(r *request, at int, e *StagePartArrived, now time.Time) {
	c.counters.PartsAfterGap++
	k := &r.calls[at]
	if k.early == nil {
		k.early = map[int]endpointserver.StagePart{}
	}
	if len(k.early) >= maxReordered {
		c.takeFault(StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultCut, Message: "parts are missing"}}, now)
		return
	}
	k.early[e.Part.Seq] = e.Part
}

// takeInOrder takes the next part of a call and those that waited for it.
func (c *Core) takeInOrder(r *request, at int, part endpointserver.StagePart, now time.Time) {
	k := &r.calls[at]
	for {
		k.nextSeq++
		k.text.write(part.Text)
		if part.Final {
			c.takeFinal(r, at, part, now)
			return
		}
		next, held := k.early[k.nextSeq]
		if !held {
			break
		}
		delete(k.early, k.nextSeq)
		part = next
	}
	c.forward(r, k, now)
}

// forward sends a caller that asked for a stream what it has not got yet of the last stage's text.
// A second attempt may give other text than the first: what was sent can't be taken back, so only
// an attempt whose text begins with it may go on, see endStage.
func (c *Core) forward(r *request, k *call, _ time.Time) {
	if !r.stream || r.callerGone || !r.last() || k.text.size() <= len(r.sent) {
		return
	}
	text := k.text.whole()
	if !strings.HasPrefix(text, r.sent) {
		return
	}
	c.emit(SendPart{ID: r.id, Text: text[len(r.sent):]})
	r.sent = text
}

// takeFinal takes the last part of a reply.
func (c *Core) takeFinal(r *request, at int, part endpointserver.StagePart, now time.Time) {
	k := &r.calls[at]
	id := CallID{Request: r.id, Stage: r.stage, Attempt: k.attempt}
	if part.Error.Value != "" {
		c.takeFault(StageFailed{Call: id, Fault: StageFault{Kind: FaultFailed, Message: part.Error.Value}}, now)
		return
	}
	if part.Total.Value != k.nextSeq {
		c.takeFault(StageFailed{Call: id, Fault: StageFault{Kind: FaultFailed, Message: "the reply's total differs from its parts"}}, now)
		return
	}
	text := k.text.whole()
	if !strings.HasPrefix(text, r.sent) {
		c.takeFault(StageFailed{Call: id, Fault: StageFault{Kind: FaultFailed, Message: "the reply differs from what was sent"}}, now)
		return
	}
	c.forward(r, k, now)
	c.endStage(r, at, text, part, now)
}

// endStage takes a stage's result: the first accepted attempt wins, the others are cancelled.
func (c *Core) endStage(r *request, at int, text string, part endpointserver.StagePart, now time.Time) {
	k := r.calls[at]
	stage := r.stageConfig()
	cost := part.Cost.Value
	usual, _ := c.usual(r)
	c.endCall(k.address, router.CallEnd{Result: router.Succeeded, Duration: now.Sub(k.started), Expected: usual}, now)
	c.admitter.Observe(r.plan.stageNames[r.stage], now.Sub(k.started), cost, now)
	c.scheduler.Charge(stage.Pool, r.key.Account, cost-c.admitter.ExpectedCost(r.plan.stageNames[r.stage], cost))
	c.biller.AddWork(r.key.Account, stage.Name, cost)
	r.cost += cost
	r.calls = append(r.calls[:at], r.calls[at+1:]...)
	c.cancelCalls(r, now)
	if r.last() {
		c.answer(r, text, part.Total.Value, now)
		c.pump(stage.Pool, now)
		return
	}
	r.stage++
	r.input = text
	r.tried = r.tried[:0]
	r.attempts = 0
	r.resumes = 0
	c.enqueue(r, now)
	c.pump(stage.Pool, now)
}

// cancelCalls ends the calls that nobody waits for. The work they have done is counted as wasted.
func (c *Core) cancelCalls(r *request, now time.Time) {
	for i := range r.calls {
		k := &r.calls[i]
		c.emit(CancelStage{Call: CallID{Request: r.id, Stage: r.stage, Attempt: k.attempt}, Address: k.address, StreamID: k.streamID})
		c.endCall(k.address, router.CallEnd{Result: router.Cancelled}, now)
		c.waste(r, k, now)
	}
	r.calls = r.calls[:0]
}

func (c *Core) waste(r *request, k *call, now time.Time) {
	c.biller.AddWasted(r.key.Account, r.stageConfig().Name, float64(now.Sub(k.started).Milliseconds()))
}
