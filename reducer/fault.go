package reducer

import (
	"slices"
	"time"

	"geraniumline/router"
)

// takeFault takes the failure of one call and decides what becomes of its stage.
func (c *Core) takeFault(e StageFailed, now time.Time) {
	r, at := c.find(e.Call)
	if r == nil {
		return
	}
	k := &r.calls[at]
	if c.resume(r, k, e, now) {
		return
	}
	address := k.address
	hedgesLeft := len(r.calls) > 1
	result := resultOf(e.Fault.Kind)
	if k.begun() && surelyNotRun(e.Fault.Kind) {
		// The call was acted on, whatever became of reading the rest of its stream. Taking a resumption
		// that could not be sent for a call that was not sent would run a side effect again.
		e.Fault.Kind = FaultFailed
	}
	if surelyNotRun(e.Fault.Kind) {
		r.possible--
	} else {
		c.waste(r, k, now)
	}
	if e.Fault.Kind == FaultTimeout {
		c.emit(CancelStage{Call: e.Call, Address: address, StreamID: k.streamID})
	}
	c.router.Ended(address, result, now)
	r.calls = slices.Delete(r.calls, at, at+1)
	r.tried = append(r.tried, address)
	pool := r.stageConfig().Pool
	if !hedgesLeft {
		c.decideAfterFault(r, e.Fault, now)
	}
	c.pump(pool, now)
}

// resume reads the rest of a cut stream at its endpoint. It runs nothing again, so it may be done
// for stages that must not be repeated too.
func (c *Core) resume(r *request, k *call, e StageFailed, now time.Time) bool {
	if e.Fault.Kind != FaultCut || k.streamID == "" || r.resumes >= maxResumes {
		return false
	}
	r.resumes++
	c.counters.StageResumes++
	clear(k.early)
	k.lastPart = now
	c.emit(ResumeStage{Call: e.Call, Address: k.address, StreamID: k.streamID, From: k.nextSeq})
	return true
}

// begun tells whether a part of the call's stream has arrived.
func (k *call) begun() bool { return k.streamID != "" }

// surelyNotRun tells whether the endpoint certainly did not act on the call.
func surelyNotRun(kind FaultKind) bool {
	switch kind {
	case FaultNotSent, FaultLeaving, FaultBusy, FaultStaleFence, FaultBadCall:
		return true
	default:
		return false
	}
}

func resultOf(kind FaultKind) router.Result {
	switch kind {
	case FaultLeaving:
		return router.RefusedLeaving
	case FaultBusy:
		return router.RefusedBusy
	case FaultStaleFence, FaultBadCall:
		return router.Cancelled
	default:
		return router.Failed
	}
}

// decideAfterFault tries the stage again where that is allowed, and else ends the request at once.
func (c *Core) decideAfterFault(r *request, fault StageFault, now time.Time) {
	stage := r.stageConfig()
	switch {
	case fault.Kind == FaultBadCall || fault.Kind == FaultStaleFence:
		c.fail(r, CodeStageFailed, "an endpoint refused the call: "+fault.Message, 0, now)
	case !surelyNotRun(fault.Kind) && !stage.Repeatable:
		// The endpoint may have acted, and a second call might act twice.
		c.fail(r, CodeStageFailed, "the outcome of a stage that must not be repeated is not known", 0, now)
	case fault.Kind == FaultLeaving && len(r.tried) < maxLeavingTries:
		// A leaving endpoint's refusal is no sign of trouble in the pool, so it costs no retry.
		c.enqueue(r, now)
	case c.retrier.Retry(stage.Pool, r.attempts, now):
		c.counters.StageRetries++
		c.enqueue(r, now)
	default:
		c.fail(r, CodeStageFailed, "no endpoint ran the stage: "+fault.Message, c.retryAfter(stage.Pool), now)
	}
}

const maxLeavingTries = 8

// passStageTimeout ends a call that has been silent for too long. A call of a stage that must not be
// repeated is left to its deadline, since ending it early gains nothing: it can't be tried elsewhere.
func (c *Core) passStageTimeout(id CallID, now time.Time) {
	r, at := c.find(id)
	if r == nil {
		return
	}
	k := &r.calls[at]
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
