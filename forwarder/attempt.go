package forwarder

import (
	"errors"
	"time"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/selector"
)

// giveUp tells the truth of a request that no further endpoint is tried for.
func (x *exchange) giveUp(reason string) *FailureError {
	if x.runs > 0 {
		return mayHaveRun(reason)
	}
	return notRun(reason, soon())
}

// noEndpoint ends a request that no endpoint takes now.
func (x *exchange) noEndpoint() *FailureError {
	if x.runs > 0 {
		return mayHaveRun("noEndpoint")
	}
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	held, all := x.f.selector.Throttled(x.service.Name, x.homes, now)
	if !all {
		return notRun("noEndpoint", soon())
	}
	return notRun("endpointsHeldBack", x.f.heldReturn(x.service.Name, held, x.priority, now))
}

// checkHeld refuses a request with stages before they are done whose service takes no call before it would be late.
func (x *exchange) checkHeld() *FailureError {
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	held, all := x.f.selector.Throttled(x.service.Name, x.homes, now)
	if !all || held.Local && held.Until.Before(x.due) {
		return nil
	}
	return notRun("endpointsHeldBack", x.f.heldReturn(x.service.Name, held, x.priority, now))
}

// failed decides what follows an exchange without a whole answer. It tells whether the request has ended.
func (x *exchange) failed(choice selector.Choice, err error) (bool, *FailureError) {
	if x.callerGone() {
		x.cancel(choice)
		return true, mayHaveRun("callerGone")
	}
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		x.endUnsent(choice, unsent)
		x.sends--
		if x.ctx.Err() != nil {
			return true, x.giveUp("timeout")
		}
		return false, nil
	}
	x.runs++
	x.end(choice, ejector.Bad, true)
	x.brokenAt(choice.Endpoint)
	if x.ctx.Err() != nil {
		return true, timedOut()
	}
	if x.againAfterRun() {
		return false, nil
	}
	return true, mayHaveRun("endpointBroke")
}

// againAfterRun tells whether the request may run once more.
func (x *exchange) againAfterRun() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts && x.left(time.Now()) > 0
}

// end gives an endpoint's call back, and logs a change of its state.
func (x *exchange) end(choice selector.Choice, end ejector.Outcome, bad bool) {
	now := time.Now()
	x.f.mu.Lock()
	changed := x.f.selector.RecordEnd(choice, end, now)
	x.f.mu.Unlock()
	if changed {
		x.f.logJudged(x.service.Name, choice.Endpoint, bad)
	}
}

// endRefused gives back a call that its endpoint has refused unrun.
func (x *exchange) endRefused(choice selector.Choice) {
	now := time.Now()
	x.f.mu.Lock()
	changed := x.f.selector.RecordRefusal(choice, now)
	x.f.mu.Unlock()
	if changed {
		x.f.logJudged(x.service.Name, choice.Endpoint, false)
	}
}

// endUnsent judges an endpoint that could not be connected to. Only a refused connection proves that nothing serves
// there: when this VM loses its network, calls to all endpoints come to nothing, and taken for dead they would stay out
// of use for seconds after its return.
func (x *exchange) endUnsent(choice selector.Choice, unsent *connector.UnsentError) {
	end := ejector.Bad
	if unsent.Refused() {
		end = ejector.Down
	}
	x.end(choice, end, true)
}

// endTimed judges an answered call by its time.
func (x *exchange) endTimed(choice selector.Choice, bad bool, took time.Duration) {
	end := ejector.Bad
	if !bad {
		x.f.mu.Lock()
		end = x.f.selector.ClassifyDuration(choice, took, x.route.Objective)
		x.f.mu.Unlock()
	}
	x.end(choice, end, end != ejector.Good)
}

// cancel gives an endpoint's call back that says nothing of the endpoint.
func (x *exchange) cancel(choice selector.Choice) {
	x.f.mu.Lock()
	x.f.selector.RecordCancel(choice)
	x.f.mu.Unlock()
}
