package reducer

import (
	"slices"
	"time"

	"geraniumline/router"
)

// handleStageFailed handles the failure of one call: it resumes the stream, retries the stage or fails the request.
func (c *Core) handleStageFailed(e StageFailed, now time.Time) {
	r, index := c.findCall(e.Call)
	if r == nil {
		return
	}
	call := &r.calls[index]
	if c.resumeStream(r, call, e, now) {
		return
	}
	address := call.address
	result := routerResult(e.Fault.Kind)
	if call.resumed {
		// The endpoint accepted the call before the connection was lost. If it is unreachable or does not
		// know the stream when the reply is resumed, that must not count as "not run", or a stage that must
		// not be repeated would run again. The failure is handled like a lost connection without resuming.
		e.Fault.Kind = FaultConnectionLost
	}
	if e.Fault.Kind == FaultConnectionLost {
		c.recordPartCrash(r, call, now)
		if c.recordCrash(r, address, now) {
			return
		}
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
	r.calls = slices.Delete(r.calls, index, index+1)
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

// resumeStream reads the rest of a broken stream from its endpoint and reports whether it does so. Nothing runs
// again, so stages that must not be repeated are resumed too.
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

// certainlyNotRun reports whether the endpoint certainly did not act on a call that failed in this way.
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

// retryOrFail tries the stage again if that is allowed, and otherwise fails the request.
func (c *Core) retryOrFail(r *request, fault StageFault, now time.Time) {
	stage := r.currentStage()
	switch {
	case fault.Kind == FaultInvalidCall || fault.Kind == FaultStaleFence:
		c.fail(r, CodeStageFailed, "an endpoint refused the call: "+fault.Message, 0, now)
	case !certainlyNotRun(fault.Kind) && !stage.Repeatable:
		// The endpoint may have acted, so a second call might act twice.
		c.fail(r, CodeStageFailed, "the outcome of a stage that must not be repeated is not known", 0, now)
	case (fault.Kind == FaultLeaving || fault.Kind == FaultNotSent) && len(r.triedAddresses) < maxUnchargedAttempts:
		// A leaving endpoint's refusal does not indicate a problem of the pool, so it takes no retry from the
		// budget. Nor does a refused connection: it causes no work in the pool, and the endpoint is not used after it.
		c.enqueue(r, now)
	case fault.Kind == FaultConnectionLost && r.attempts < maxIsolatedAttempts:
		// The next attempt runs isolated, and only few do so at a time, so no retry budget is needed to
		// prevent a retry storm.
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
	// maxUnchargedAttempts bounds the attempts of a stage that take no retry because they cause no work in the pool.
	maxUnchargedAttempts = 8
	// maxIsolatedAttempts bounds the attempts of a stage whose calls lost their connections.
	maxIsolatedAttempts = 3
)

// recordCallEnd reports a call's end to the router.
func (c *Core) recordCallEnd(address string, end router.CallEnd, now time.Time) {
	if c.router.CallEnded(address, end, now) {
		c.recordEjection(address)
	}
}

// handleEndpointConnectionRefused marks an endpoint as unreachable before any call of a request fails there.
func (c *Core) handleEndpointConnectionRefused(e EndpointConnectionRefused, now time.Time) {
	if c.router.MarkUnreachable(e.Address, now) {
		c.recordEjection(e.Address)
	}
}

// recordEjection counts and logs the ejection of an endpoint.
func (c *Core) recordEjection(address string) {
	c.counters.EndpointsEjected++
	c.emit(LogChange{Message: "endpoint", Subject: address, From: "live", To: "ejected"})
}
