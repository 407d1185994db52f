package reducer

import (
	"time"

	"geraniumline/quarantiner"
	"geraniumline/router"
)

const (
	// hedgeFactor is the silence, in high quantiles of the stage's time, after which a call is hedged.
	hedgeFactor = 1.2
	// minSilence is the shortest silence that causes an action: a few ticks of the clock.
	minSilence = 50 * time.Millisecond
	// overdueFactor is the least silence, in high quantiles of the stage's time, after which a call is overdue.
	overdueFactor = 1.5
	// giveUpFactor is the silence, in multiples of the overdue time, after which a call is tried elsewhere.
	giveUpFactor = 2
	// busyPoolLoad is the fraction of a pool's slots in use from which the pool has none to spare for hedges.
	busyPoolLoad = 0.9
)

// silenceAction is the next action for a call that remains silent. Each call has one timer at a time.
type silenceAction uint8

const (
	// actionHedge sends a second call beside this one.
	actionHedge silenceAction = iota
	// actionMarkOverdue counts the silence against the endpoint.
	actionMarkOverdue
	// actionTryElsewhere tries the call elsewhere if the retry budget allows it.
	actionTryElsewhere
	// actionTimeOut ends the call after the longest silence that is allowed.
	actionTimeOut
)

// poolBusy reports whether work is queued for the pool or almost all of its slots are in use, so that extra calls
// would displace first attempts.
func (c *Core) poolBusy(pool string) bool {
	return c.scheduler.Len(pool) > 0 || c.router.Load(pool) >= busyPoolLoad
}

// stageTime returns the measured mean and high quantile of the time of a request's current stage.
func (c *Core) stageTime(r *request) (mean, high time.Duration) {
	expected := time.Duration(r.currentStage().ExpectedMillis) * time.Millisecond
	return c.admitter.ServiceTime(r.plan.stageNames[r.stage], expected)
}

// promptPrefix hashes the prefixes of the prompt if a model runs the request's current stage.
func (c *Core) promptPrefix(r *request) router.Prefix {
	if r.currentStage().Model == "" {
		return router.Prefix{}
	}
	return router.PrefixOf(r.input)
}

// scheduleFirstAction sets the timer of a new call, which is the last one in r.calls.
func (c *Core) scheduleFirstAction(r *request, id CallID, now time.Time) {
	call := &r.calls[len(r.calls)-1]
	call.nextAction = actionMarkOverdue
	after := c.overdueAfter(r)
	if r.currentStage().Repeatable && !call.hedge {
		call.nextAction = actionHedge
		after = min(after, c.hedgeAfter(r))
	}
	c.schedule(timer{at: now.Add(after), kind: timerStage, call: id})
}

// hedgeAfter returns the silence after which a second call is more likely to help than to double the work.
func (c *Core) hedgeAfter(r *request) time.Duration {
	_, high := c.stageTime(r)
	return max(time.Duration(hedgeFactor*float64(high)), minSilence)
}

// overdueAfter returns the silence after which a call counts against its endpoint.
func (c *Core) overdueAfter(r *request) time.Duration {
	mean, high := c.stageTime(r)
	silence := c.router.OverdueAfter(r.currentStage().Pool, mean)
	if silence == 0 {
		return c.cfg.StageTimeout
	}
	silence = max(silence, time.Duration(overdueFactor*float64(high)), minSilence)
	return min(silence, c.cfg.StageTimeout)
}

// giveUpAfter returns the silence after which a call is tried elsewhere, early enough for the second attempt to
// end within the stage's part of the deadline.
func (c *Core) giveUpAfter(r *request, started, now time.Time) time.Duration {
	silence := c.overdueAfter(r)
	budget := c.admitter.Budget(c.pendingStages(r.plan, r.contract, r.stage, now), r.deadline, started)
	return min(max(min(giveUpFactor*silence, budget/2), silence), c.cfg.StageTimeout)
}

// handleCallTimer runs the next action of a call. A call that has received a part can only time out.
func (c *Core) handleCallTimer(id CallID, now time.Time) {
	r, index := c.findCall(id)
	if r == nil {
		return
	}
	call := &r.calls[index]
	if call.nextSeq > 0 {
		call.nextAction = actionTimeOut
	}
	switch call.nextAction {
	case actionHedge:
		call.nextAction = actionMarkOverdue
		c.schedule(timer{at: call.lastPart.Add(c.overdueAfter(r)), kind: timerStage, call: id})
		c.hedge(r, now)
	case actionMarkOverdue:
		c.markOverdue(r, call, id, now)
	case actionTryElsewhere:
		c.tryElsewhere(r, call, id, now)
	case actionTimeOut:
		c.timeOutCall(r, call, id, now)
	}
}

// hedge sends a second call beside a silent one that has received no part. Both may run, so the stage
// must be repeatable. The first complete reply wins.
func (c *Core) hedge(r *request, now time.Time) {
	pool := r.currentStage().Pool
	if len(r.calls) > 1 || c.quarantiner.Verdict(r.digest, now) != quarantiner.Clear {
		return
	}
	if !c.router.HasFree(pool, now) || !c.retrier.TakeHedge(pool, r.attempts, c.poolBusy(pool), now) {
		return
	}
	query := c.routerQuery(r)
	query.Avoid = append(query.Avoid, r.calls[0].address)
	query.NoProbe = true
	address, found := c.router.Choose(query, now)
	if !found || address == r.calls[0].address {
		return
	}
	c.counters.StageHedges++
	c.dispatch(r, address, true, now)
}

// markOverdue counts a call's silence against its endpoint, or waits on if it is not overdue yet.
func (c *Core) markOverdue(r *request, call *callState, id CallID, now time.Time) {
	due := call.lastPart.Add(c.overdueAfter(r))
	if now.Before(due) {
		c.schedule(timer{at: due, kind: timerStage, call: id})
		return
	}
	if c.router.CallOverdue(call.address, now) {
		c.recordEjection(call.address)
	}
	call.nextAction = actionTimeOut
	next := c.cfg.StageTimeout
	if r.currentStage().Repeatable {
		call.nextAction = actionTryElsewhere
		next = c.giveUpAfter(r, call.started, now)
	}
	c.schedule(timer{at: call.lastPart.Add(next), kind: timerStage, call: id})
}

// tryElsewhere tries a silent call elsewhere if that is allowed. Otherwise it keeps waiting, which is better than
// ending the call.
func (c *Core) tryElsewhere(r *request, call *callState, id CallID, now time.Time) {
	call.nextAction = actionTimeOut
	if len(r.calls) > 1 || !c.retrier.CanRetry(r.currentStage().Pool, r.attempts) {
		c.schedule(timer{at: call.lastPart.Add(c.cfg.StageTimeout), kind: timerStage, call: id})
		return
	}
	c.handleStageFailed(StageFailed{Call: id, Fault: StageFault{Kind: FaultTimeout, Message: "the endpoint was silent for too long"}}, now)
}

// timeOutCall ends a call that has been silent for too long. A call of a stage that must not be
// repeated may run until its deadline: it can't be tried elsewhere, so ending it early gains nothing.
func (c *Core) timeOutCall(r *request, call *callState, id CallID, now time.Time) {
	due := call.lastPart.Add(c.cfg.StageTimeout)
	if now.Before(due) {
		c.schedule(timer{at: due, kind: timerStage, call: id})
		return
	}
	if !r.currentStage().Repeatable {
		return
	}
	c.handleStageFailed(StageFailed{Call: id, Fault: StageFault{Kind: FaultTimeout, Message: "the endpoint was silent for too long"}}, now)
}
