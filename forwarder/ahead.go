package forwarder

import (
	"context"
	"errors"
	"time"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/selector"
)

// attempt is one call of a request to an endpoint. A takeover sends it ahead, while the call before is still under way.
type attempt struct {
	choice selector.Choice
	// sentAt is when the call was sent.
	sentAt time.Time
	// result receives the result of a call that is sent ahead of the end of the one before; nil for other calls. sent is closed
	// once it has been sent.
	result chan sendResult
	sent   chan struct{}
	// cancel ends a call that is sent ahead.
	cancel context.CancelFunc
}

// sendResult is the result of Forwarder.send.
type sendResult struct {
	resp *connector.Response
	err  error
}

// awaitRefusal waits until an endpoint can have refused the call, and returns the call's result if it has ended by then. A call
// that can't be sent is ended.
func (a *attempt) awaitRefusal(ctx context.Context) (result sendResult, ended bool) {
	timer := time.NewTimer(takeoverConnectTime)
	defer timer.Stop()
	sent := a.sent
	for {
		select {
		case <-sent:
			sent = nil
			timer.Reset(takeoverOverlap)
		case <-timer.C:
			if sent == nil {
				return sendResult{}, false
			}
			a.cancel()
			return <-a.result, true
		case <-ctx.Done():
			return sendResult{}, false
		case result := <-a.result:
			return result, true
		}
	}
}

// endAhead records the end of a call that was sent ahead and is not needed, or has failed.
func (x *exchange) endAhead(a *attempt, result sendResult) {
	defer a.cancel()
	var unsent *connector.UnsentError
	switch {
	case errors.As(result.err, &unsent):
		x.attempts--
		if errors.Is(unsent, context.Canceled) {
			x.cancelCall(a.choice)
		} else {
			x.endUnsentCall(a.choice, unsent)
		}
		return
	case result.err != nil && isCancellation(result.err):
		x.cancelCall(a.choice)
	case result.err != nil:
		x.endCall(a.choice, ejector.Bad, true)
		x.checkCrash(a.choice, false)
	default:
		info := x.f.readResponse(&a.choice.Endpoint, result.resp)
		result.resp.Close()
		if info.NotRun {
			x.endRefusedCall(a.choice)
			// The retry is used up, but the refusal doesn't count against the endpoints that the request may still be sent to.
			x.attempts--
			x.paidRetries--
			x.tried = x.tried[:len(x.tried)-1]
			return
		}
		x.endCall(a.choice, outcomeOf(result.resp.Status()), !isSuccess(result.resp.Status()))
	}
	x.runs++
}

// outcomeOf judges an endpoint by the status of its response.
func outcomeOf(status int) ejector.Outcome {
	if isSuccess(status) {
		return ejector.Good
	}
	return ejector.Bad
}

// dropAttempt ends a call that was sent ahead and is not needed; nil is none.
func (x *exchange) dropAttempt(a *attempt) {
	if a == nil {
		return
	}
	a.cancel()
	x.endAhead(a, <-a.result)
}

// sendAttempt sends the call of an attempt, unless it is under way already.
func (f *Forwarder) sendAttempt(ctx context.Context, a *attempt, build callBuilder) (*connector.Response, error) {
	if a.result == nil {
		return f.send(ctx, build)
	}
	return a.awaitResult(ctx)
}

// awaitResult returns the result of a call that was sent ahead. The call ends with ctx.
func (a *attempt) awaitResult(ctx context.Context) (*connector.Response, error) {
	context.AfterFunc(ctx, a.cancel)
	result := <-a.result
	return result.resp, result.err
}
