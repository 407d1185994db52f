package reducer

import (
	"time"

	"geraniumline/quarantiner"
	"geraniumline/router"
)

const (
	// hedgeOver is how far over the stage's high quantile a silent call must be to be hedged.
	hedgeFactor = 1.2
	// minWatch is the shortest silence that is acted on: a few ticks of the clock.
	minSilence = 50 * time.Millisecond
	// patienceOver is the least patience with a silent call, in high quantiles of its stage.
	overdueFactor = 1.5
	// giveUpOver is how much longer than the patience a call may be silent before it is tried elsewhere.
	giveUpFactor = 2
	// busyLoad is the part of a pool's slots in use from which it has none to spare for hedges.
	busyPoolLoad = 0.9
)

// watch is what the core waits for in a call that is silent. Each call has one timer at a time.
type silenceAction uint8

const (
	// watchHedge waits until a second call may go beside this one.
	actionHedge silenceAction = iota
	// watchOverdue waits until the silence counts against the endpoint.
	actionMarkOverdue
	// watchGiveUp waits until the call is tried elsewhere, if the retries' budget allows it.
	actionTryElsewhere
	// watchTimeout waits for the greatest silence that is allowed at all.
	actionTimeOut
)

// busy tells whether work waits for the pool, or nearly: extra calls would take the place of first ones.
func (c *Core) poolBusy(pool string) bool {
	return c.scheduler.Len(pool) > 0 || c.router.Load(pool) >= busyPoolLoad
}

// usual gives the measured mean and high quantile of the time of a request's present stage.
func (c *Core) stageTime(r *request) (mean, high time.Duration) {
	expected := time.Duration(r.currentStage().ExpectedMillis) * time.Millisecond
	return c.admitter.ServiceTime(r.plan.stageNames[r.stage], expected)
}

// prefixOf hashes the beginnings of a prompt, for stages that models run.
func (c *Core) promptPrefix(r *request) router.Prefix {
	if r.currentStage().Model == "" {
		return router.Prefix{}
	}
	return router.PrefixOf(r.input)
}

// watchCall begins to watch a new call.
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

// hedgeAfter is the silence after which a second call is likelier to help than to double the work.
func (c *Core) hedgeAfter(r *request) time.Duration {
	_, high := c.stageTime(r)
	return max(time.Duration(hedgeFactor*float64(high)), minSilence)
}

// patience is the silence after which a call counts against its endpoint.
func (c *Core) overdueAfter(r *request) time.Duration {
	mean, high := c.stageTime(r)
	silence := c.router.OverdueAfter(r.currentStage().Pool, mean)
	if silence == 0 {
		return c.cfg.StageTimeout
	}
	silence = max(silence, time.Duration(overdueFactor*float64(high)), minSilence)
	return min(silence, c.cfg.StageTimeout)
}

// giveUpAfter is the silence after which a call is tried elsewhere, early enough for the second try to
// end within the stage's part of the deadline.
func (c *Core) giveUpAfter(r *request, started, now time.Time) time.Duration {
	silence := c.overdueAfter(r)
	budget := c.admitter.Budget(c.pendingStages(r.plan, r.contract, r.stage, now), r.deadline, started)
	return min(max(min(giveUpFactor*silence, budget/2), silence), c.cfg.StageTimeout)
}

// passWatch acts on a call that may have been silent for too long.
func (c *Core) handleCallTimer(id CallID, now time.Time) {
	r, at := c.findCall(id)
	if r == nil {
		return
	}
	call := &r.calls[at]
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

// hedge sends a second call beside a silent one that no part has come of. Both may run, so the stage
// must be repeatable; the first whole reply wins.
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

// passGiveUp tries a silent call elsewhere if that is allowed; else waiting on is better than ending it.
func (c *Core) tryElsewhere(r *request, call *callState, id CallID, now time.Time) {
	call.nextAction = actionTimeOut
	if len(r.calls) > 1 || !c.retrier.CanRetry(r.currentStage().Pool, r.attempts) {
		c.schedule(timer{at: call.lastPart.Add(c.cfg.StageTimeout), kind: timerStage, call: id})
		return
	}
	c.handleStageFailed(StageFailed{Call: id, Fault: StageFault{Kind: FaultTimeout, Message: "the endpoint was silent for too long"}}, now)
}

// passTimeout ends a call that has been silent for too long. A call of a stage that must not be
// repeated is left to its deadline, since ending it early gains nothing: it can't be tried elsewhere.
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
