package reducer

import (
	"time"

	"geraniumline/quarantiner"
	"geraniumline/router"
)

const (
	// hedgeOver is how far over the stage's high quantile a silent call must be to be hedged.
	hedgeOver = 1.2
	// minWatch is the shortest silence that is acted on: a few ticks of the clock.
	minWatch = 50 * time.Millisecond
	// patienceOver is the least patience with a silent call, in high quantiles of its stage.
	patienceOver = 1.5
	// giveUpOver is how much longer than the patience a call may be silent before it is tried elsewhere.
	giveUpOver = 2
	// busyLoad is the part of a pool's slots in use from which it has none to spare for hedges.
	busyLoad = 0.9
)

// watch is what the core waits for in a call that is silent. Each call has one timer at a time.
type watch uint8

const (
	// watchHedge waits until a second call may go beside this one.
	watchHedge watch = iota
	// watchOverdue waits until the silence counts against the endpoint.
	watchOverdue
	// watchGiveUp waits until the call is tried elsewhere, if the retries' budget allows it.
	watchGiveUp
	// watchTimeout waits for the greatest silence that is allowed at all.
	watchTimeout
)

// busy tells whether work waits for the pool, or nearly: extra calls would take the place of first ones.
func (c *Core) busy(pool string) bool {
	return c.scheduler.Len(pool) > 0 || c.router.Load(pool) >= busyLoad
}

// usual gives the measured mean and high quantile of the time of a request's present stage.
func (c *Core) usual(r *request) (mean, high time.Duration) {
	expected := time.Duration(r.stageConfig().ExpectedMillis) * time.Millisecond
	return c.admitter.ServiceTime(r.plan.stageNames[r.stage], expected)
}

// prefixOf hashes the beginnings of a prompt, for stages that models run.
func (c *Core) prefixOf(r *request) router.Prefix {
	if r.stageConfig().Model == "" {
		return router.Prefix{}
	}
	return router.PrefixOf(r.input)
}

// watchCall begins to watch a new call.
func (c *Core) watchCall(r *request, id CallID, now time.Time) {
	k := &r.calls[len(r.calls)-1]
	k.watch = watchOverdue
	after := c.patience(r)
	if r.stageConfig().Repeatable && !k.hedge {
		k.watch = watchHedge
		after = min(after, c.hedgeAfter(r))
	}
	c.schedule(timer{at: now.Add(after), kind: timerStage, call: id})
}

// hedgeAfter is the silence after which a second call is likelier to help than to double the work.
func (c *Core) hedgeAfter(r *request) time.Duration {
	_, high := c.usual(r)
	return max(time.Duration(hedgeOver*float64(high)), minWatch)
}

// patience is the silence after which a call counts against its endpoint.
func (c *Core) patience(r *request) time.Duration {
	mean, high := c.usual(r)
	patience := c.router.OverdueAfter(r.stageConfig().Pool, mean)
	if patience == 0 {
		return c.cfg.StageTimeout
	}
	patience = max(patience, time.Duration(patienceOver*float64(high)), minWatch)
	return min(patience, c.cfg.StageTimeout)
}

// giveUpAfter is the silence after which a call is tried elsewhere, early enough for the second try to
// end within the stage's part of the deadline.
func (c *Core) giveUpAfter(r *request, started, now time.Time) time.Duration {
	patience := c.patience(r)
	budget := c.admitter.Budget(c.asks(r.plan, r.contract, r.stage, now), r.deadline, started)
	return min(max(min(giveUpOver*patience, budget/2), patience), c.cfg.StageTimeout)
}

// passWatch acts on a call that may have been silent for too long.
func (c *Core) passWatch(id CallID, now time.Time) {
	r, at := c.find(id)
	if r == nil {
		return
	}
	k := &r.calls[at]
	if k.nextSeq > 0 {
		k.watch = watchTimeout
	}
	switch k.watch {
	case watchHedge:
		k.watch = watchOverdue
		c.schedule(timer{at: k.lastPart.Add(c.patience(r)), kind: timerStage, call: id})
		c.hedge(r, now)
	case watchOverdue:
		c.passOverdue(r, k, id, now)
	case watchGiveUp:
		c.passGiveUp(r, k, id, now)
	case watchTimeout:
		c.passTimeout(r, k, id, now)
	}
}

// hedge sends a second call beside a silent one that no part has come of. Both may run, so the stage
// must be repeatable; the first whole reply wins.
func (c *Core) hedge(r *request, now time.Time) {
	pool := r.stageConfig().Pool
	if len(r.calls) > 1 || c.quarantiner.Verdict(r.digest, now) != quarantiner.Clear {
		return
	}
	if !c.router.HasFree(pool, now) || !c.retrier.TakeHedge(pool, r.attempts, c.busy(pool), now) {
		return
	}
	ask := c.askOf(r)
	ask.Avoid = append(ask.Avoid, r.calls[0].address)
	ask.NoProbe = true
	address, found := c.router.Choose(ask, now)
	if !found || address == r.calls[0].address {
		return
	}
	c.counters.StageHedges++
	c.dispatch(r, address, true, now)
}

func (c *Core) passOverdue(r *request, k *call, id CallID, now time.Time) {
	due := k.lastPart.Add(c.patience(r))
	if now.Before(due) {
		c.schedule(timer{at: due, kind: timerStage, call: id})
		return
	}
	if c.router.CallOverdue(k.address, now) {
		c.noteEjected(k.address)
	}
	k.watch = watchTimeout
	next := c.cfg.StageTimeout
	if r.stageConfig().Repeatable {
		k.watch = watchGiveUp
		next = c.giveUpAfter(r, k.started, now)
	}
	c.schedule(timer{at: k.lastPart.Add(next), kind: timerStage, call: id})
}

// passGiveUp tries a silent call elsewhere if that is allowed; else waiting on is better than ending it.
func (c *Core) passGiveUp(r *request, k *call, id CallID, now time.Time) {
	k.watch = watchTimeout
	if len(r.calls) > 1 || !c.retrier.CanRetry(r.stageConfig().Pool, r.attempts) {
		c.schedule(timer{at: k.lastPart.Add(c.cfg.StageTimeout), kind: timerStage, call: id})
		return
	}
	c.takeFault(StageFailed{Call: id, Fault: StageFault{Kind: FaultTimeout, Message: "the endpoint was silent for too long"}}, now)
}

// passTimeout ends a call that has been silent for too long. A call of a stage that must not be
// repeated is left to its deadline, since ending it early gains nothing: it can't be tried elsewhere.
func (c *Core) passTimeout(r *request, k *call, id CallID, now time.Time) {
	due := k.lastPart.Add(c.cfg.StageTimeout)
	if now.Before(due) {
		c.schedule(timer{at: due, kind: timerStage, call: id})
		return
	}
	if !r.stageConfig().Repeatable {
		return
	}
	c.takeFault(StageFailed{Call: id, Fault: StageFault{Kind: FaultTimeout, Message: "the endpoint was silent for too long"}}, now)
}
