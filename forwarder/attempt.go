package forwarder

import (
	"context"
	"errors"
	"net"
	"time"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/selector"
)

// giveUp returns the failure for a request that is not sent to any further endpoint. It promises that the request has
// not run only if that is certain.
func (x *exchange) giveUp(reason string) *FailureError {
	if x.runs > 0 {
		return mayHaveRun(reason)
	}
	return notRun(reason, shortRetryDelay())
}

// noEndpoint returns the failure for a request that no endpoint accepts at present.
func (x *exchange) noEndpoint() *FailureError {
	if x.runs > 0 {
		return mayHaveRun("noEndpoint")
	}
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	held, all := x.f.selector.Throttled(x.endpointQuery(selector.Query{}), now)
	if !all {
		return notRun("noEndpoint", shortRetryDelay())
	}
	return notRun("endpointsHeldBack", x.f.heldBackRetryDelay(x.service.Name, held, x.priority, now))
}

// checkHeldBack refuses a request before its stages run if the endpoints of its service accept no call before it is
// due.
func (x *exchange) checkHeldBack() *FailureError {
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	held, all := x.f.selector.Throttled(x.endpointQuery(selector.Query{}), now)
	if !all || held.Local && held.Until.Before(x.due) {
		return nil
	}
	return notRun("endpointsHeldBack", x.f.heldBackRetryDelay(x.service.Name, held, x.priority, now))
}

// handleFailure handles an exchange without a complete response. It reports whether the request has ended.
func (x *exchange) handleFailure(choice selector.Choice, err error) (bool, *FailureError) {
	if x.callerGone() {
		x.cancelCall(choice)
		return true, mayHaveRun("callerGone")
	}
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		x.endUnsentCall(choice, unsent)
		x.attempts--
		if x.ctx.Err() != nil {
			return true, x.giveUp("timeout")
		}
		return false, nil
	}
	x.runs++
	x.endCall(choice, ejector.Bad, true)
	if !isCancellation(err) {
		x.checkCrash(choice, x.answerBegan)
	}
	if x.ctx.Err() != nil {
		return true, x.cutShort(time.Now())
	}
	if x.mayRetryAfterRun() {
		return false, nil
	}
	return true, mayHaveRun("endpointBroke")
}

// isCancellation reports whether an exchange broke since this entry gave it up.
func isCancellation(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// mayRetryAfterRun reports whether the request may run once more.
func (x *exchange) mayRetryAfterRun() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts && x.remaining(time.Now()) > 0
}

// mayRunAgain reports whether the request may be sent to another endpoint while the present one still has it.
func (x *exchange) mayRunAgain() bool {
	return x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts && !x.trial
}

// endCall records the end of a call with the selector, and logs a change of the endpoint's health.
func (x *exchange) endCall(choice selector.Choice, end ejector.Outcome, bad bool) {
	now := time.Now()
	x.f.mu.Lock()
	changed := x.f.selector.RecordEnd(choice, end, now)
	x.f.mu.Unlock()
	if changed {
		x.f.logHealthChange(x.service.Name, choice.Endpoint, bad)
	}
}

// endRefusedCall records a call that the endpoint refused without running it.
func (x *exchange) endRefusedCall(choice selector.Choice) {
	now := time.Now()
	x.f.mu.Lock()
	x.f.regulator.RecordRefusal(choice.Endpoint.ID, now)
	changed := x.f.selector.RecordRefusal(choice, now)
	x.f.mu.Unlock()
	if changed {
		x.f.logHealthChange(x.service.Name, choice.Endpoint, false)
	}
}

// endUnsentCall records a call to an endpoint that could not be connected to. Only a refused connection proves that
// no process listens there. When this VM loses its network, calls to all endpoints fail, and if they were considered
// down they would stay out of use for seconds after the network returns.
func (x *exchange) endUnsentCall(choice selector.Choice, unsent *connector.UnsentError) {
	end := ejector.Bad
	if unsent.Refused() {
		end = ejector.Down
		x.f.recordRefusedConnection(&choice.Endpoint)
	}
	x.endCall(choice, end, true)
}

// endpointQuery completes the query for the request's next endpoint.
func (x *exchange) endpointQuery(query selector.Query) selector.Query {
	query.Service = x.service.Name
	query.Exclude = x.tried
	query.Regions = x.allowedRegions
	query.Version = x.streamVersion.Load()
	query.NoProbe = !x.route.Repeatable()
	return query
}

// hasEndpoint reports whether an endpoint accepts a request now.
func (f *Forwarder) hasEndpoint(query selector.Query, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.HasEndpoint(query, now)
}

// recordUnreachable records that an endpoint refuses connections.
func (f *Forwarder) recordUnreachable(choice selector.Choice, now time.Time) {
	f.mu.Lock()
	changed := f.selector.RecordUnreachable(choice, now)
	f.mu.Unlock()
	if changed {
		f.logHealthChange(choice.Endpoint.Service, choice.Endpoint, true)
	}
}

// endTimedCall records a completed call, judged by its duration.
func (x *exchange) endTimedCall(choice selector.Choice, bad bool, took time.Duration) {
	end := ejector.Bad
	if !bad {
		x.f.mu.Lock()
		end = x.f.selector.ClassifyDuration(choice, took, x.route.Objective)
		x.f.mu.Unlock()
	}
	x.endCall(choice, end, end != ejector.Good)
}

// cancelCall releases a call whose outcome says nothing about the endpoint.
func (x *exchange) cancelCall(choice selector.Choice) {
	x.f.mu.Lock()
	x.f.selector.RecordCancel(choice)
	x.f.mu.Unlock()
}
