package reducer

import (
	"slices"
	"time"

	"geraniumline/router"
)

// takeFault takes the failure of one call and decides what becomes of its stage.
func (c *Core) handleStageFailed(e StageFailed, now time.Time) {
	r, at := c.findCall(e.Call)
	if r == nil {
		return
	}
	call := &r.calls[at]
	if c.resumeStream(r, call, e, now) {
		return
	}
	address := call.address
	result := routerResult(e.Fault.Kind)
	if call.resumed {
		// The endpoint took the call before it was cut. That it is unreachable, or does not know the
		// stream, when the reply is read on must not pass for "not run": a stage that must not be
		// repeated would be run again. It is what a cut without resuming is.
		e.Fault.Kind = FaultConnectionLost
	}
	if e.Fault.Kind == FaultConnectionLost && c.recordCrash(r, address, now) {
		return
	}
	hedgesLeft := len(r.calls) > 1
	if certainlyNotRun(e.Fault.Kind) {
		r.possibleRuns--
	} else {
		c.recordWaste(r, call, now)
	}
	if e.Fault.Kind == FaultTimeout {
		c.emit(CancelStage{Call: e.Call, Address: address, StreamID: call.streamID})
	}
	c.recordCallEnd(address, router.CallEnd{Result: result}, now)
	r.calls = slices.Delete(r.calls, at, at+1)
	r.triedAddresses = append(r.triedAddresses, address)
	pool := r.currentStage().Pool
	if e.Fault.Kind == FaultError {
		c.rereadAssignments(pool, address, now)
	}
	if !hedgesLeft {
		c.retryOrFail(r, e.Fault, now)
	}
	c.dispatchQueued(pool, now)
}

// resume reads the rest of a cut stream at its endpoint. It runs nothing again, so it may be done
// for stages that must not be repeated too.
func (c *Core) resumeStream(r *request, call *callState, e StageFailed, now time.Time) bool {
	if e.Fault.Kind != FaultConnectionLost || call.streamID == "" || r.resumes >= maxResumes {
		return false
	}
	r.resumes++
	call.resumed = true
	c.counters.StageResumes++
	clear(call.outOfOrder)
	call.lastPart = now
	c.emit(ResumeStage{Call: e.Call, Address: call.address, StreamID: call.streamID, From: call.nextSeq})
	return true
}

// surelyNotRun tells whether the endpoint certainly did not act on the call.
func certainlyNotRun(kind FaultKind) bool {
	switch kind {
	case FaultNotSent, FaultLeaving, FaultBusy, FaultStaleFence, FaultInvalidCall:
		return true
	default:
		return false
	}
}

func routerResult(kind FaultKind) router.Result {
	switch kind {
	case FaultLeaving:
		return router.RefusedLeaving
	case FaultNotSent:
		return router.Unreachable
	case FaultBusy:
		return router.RefusedBusy
	case FaultStaleFence, FaultInvalidCall:
		return router.Cancelled
	default:
		return router.Failed
	}
}

// decideAfterFault tries the stage again where that is allowed, and else ends the request at once.
func (c *Core) retryOrFail(r *request, fault StageFault, now time.Time) {
	stage := r.currentStage()
	switch {
	case fault.Kind == FaultInvalidCall || fault.Kind == FaultStaleFence:
		c.fail(r, CodeStageFailed, "an endpoint refused the call: "+fault.Message, 0, now)
	case !certainlyNotRun(fault.Kind) && !stage.Repeatable:
		// The endpoint may have acted, and a second call might act twice.
		c.fail(r, CodeStageFailed, "the outcome of a stage that must not be repeated is not known", 0, now)
	case (fault.Kind == FaultLeaving || fault.Kind == FaultNotSent) && len(r.triedAddresses) < maxUnchargedAttempts:
		// A leaving endpoint's refusal is no sign of trouble in the pool, so it costs no retry. Nor does a
		// refused connection: it is no work for the pool, and the endpoint is out of use after it.
		c.enqueue(r, now)
	case fault.Kind == FaultConnectionLost && r.attempts < maxIsolatedAttempts:
		// The next try runs alone, and few at a time do, so it needs no budget against a storm.
		c.counters.StageRetries++
		c.enqueue(r, now)
	case c.retrier.TakeRetry(stage.Pool, r.attempts, now):
		c.counters.StageRetries++
		c.enqueue(r, now)
	default:
		c.fail(r, CodeStageFailed, "no endpoint ran the stage: "+fault.Message, c.retryAfter(stage.Pool), now)
	}
}

const (
	// maxFreeTries bounds the tries of a stage that are no work for the pool.
	maxUnchargedAttempts = 8
	// maxLoneTries bounds the attempts of a stage whose calls were cut.
	maxIsolatedAttempts = 3
)

// endCall tells the router of a call's end.
func (c *Core) recordCallEnd(address string, end router.CallEnd, now time.Time) {
	if c.router.CallEnded(address, end, now) {
		c.recordEjection(address)
	}
}

// takeEndpointRefused takes a sign that an endpoint is down which no call of a request had to find out.
func (c *Core) handleEndpointConnectionRefused(e EndpointConnectionRefused, now time.Time) {
	if c.router.MarkUnreachable(e.Address, now) {
		c.recordEjection(e.Address)
	}
}

func (c *Core) recordEjection(address string) {
	c.counters.EndpointsEjected++
	c.emit(LogChange{Message: "endpoint", Subject: address, From: "live", To: "ejected"})
}
