package forwarder

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/selector"
	"geraniumline/switcher"
)

const (
	// maxPlainResponse bounds the size in bytes of a response that is read completely before it is forwarded, so that
	// the request can be repeated if the response is interrupted. Longer ones are refused.
	maxPlainResponse = 8 << 20
	// hedgeShare is the part of the objective after which a request is sent to another endpoint if the first is
	// silent and the request may run twice.
	hedgeShare = 0.7
	// minHedgeDelay keeps requests with short objectives from being sent twice because of normal delays.
	minHedgeDelay = 50 * time.Millisecond
)

// servePlain forwards a request whose response is a single body.
func (x *exchange) servePlain() *FailureError {
	for {
		if !x.allowAttempt() {
			return x.giveUp("noEndpointTook")
		}
		if failure := x.allowParts(); failure != nil {
			return failure
		}
		choice, found := x.awaitEndpoint(selector.Query{})
		if !found {
			return x.noEndpoint()
		}
		done, failure := x.attemptPlain(choice)
		if done {
			return failure
		}
	}
}

// attemptPlain sends the request to one endpoint. It reports whether the request has ended, with a response or a
// failure.
func (x *exchange) attemptPlain(choice selector.Choice) (bool, *FailureError) {
	startTime := time.Now()
	x.attempts++
	x.tried = append(x.tried, choice.Endpoint.ID)
	ctx, cancel := x.hedgeContext()
	defer cancel()
	resp, info, body, err := x.exchangePlain(ctx, choice)
	if err != nil {
		x.f.log.Info("exchange broken",
			zap.String("request", x.req.ID),
			zap.String("endpoint", choice.Endpoint.ID),
			zap.Bool("callerGone", x.callerGone()),
			zap.Error(err))
		return x.handleFailure(choice, err)
	}
	if info.NotRun {
		x.endRefusedCall(choice)
		return false, nil
	}
	x.runs++
	bad := resp.Status() >= http.StatusInternalServerError
	if bad && x.mayRetryAfterRun() {
		x.endCall(choice, ejector.Bad, true)
		return false, nil
	}
	x.endTimedCall(choice, bad, time.Since(startTime))
	x.recordContentServed()
	if isSuccess(resp.Status()) {
		x.recordPartsAnswered(time.Now())
	}
	x.writeResponse(resp, body)
	return true, nil
}

// hedgeContext returns a context that bounds the wait for an endpoint if the request may be sent to another one
// afterwards. If no other one accepts it by then, because all rest or are limited, or too little of the retry budget is
// left, the silent endpoint may still answer.
func (x *exchange) hedgeContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(x.ctx)
	if x.f.cfg.Disabled.Has(switcher.Hedging) || !x.route.Repeatable() || x.runs+1 >= x.route.MaxAttempts {
		return ctx, cancel
	}
	wait := max(minHedgeDelay, time.Duration(hedgeShare*float64(x.route.Objective)))
	query := x.endpointQuery(selector.Query{})
	timer := time.AfterFunc(wait, func() {
		now := time.Now()
		if x.f.hasEndpoint(query, now) && x.f.allowsHedge(x.service.Name, now) {
			cancel()
		}
	})
	return ctx, func() { timer.Stop(); cancel() }
}

func (x *exchange) exchangePlain(ctx context.Context, choice selector.Choice) (*connector.Response, ResponseInfo, connector.Body, error) {
	resp, err := x.f.send(ctx, func(now time.Time) *connector.Call {
		return x.call(choice, x.callInfo(choice.Endpoint, now))
	})
	if err != nil {
		return nil, ResponseInfo{}, nil, err
	}
	x.untilClose = resp.UntilClose()
	info := x.f.readResponse(&choice.Endpoint, resp)
	if info.NotRun {
		x.f.discardRefusal(&choice.Endpoint, resp)
		return resp, info, nil, nil
	}
	body, err := x.readResponseBody(resp)
	return resp, info, body, err
}

// call returns the request in the form in which it is sent to an endpoint.
func (x *exchange) call(choice selector.Choice, info CallInfo) *connector.Call {
	return &connector.Call{
		Address:    choice.Endpoint.Address,
		Method:     x.in.Method,
		Target:     x.in.RequestURI,
		Host:       x.in.Host,
		Header:     x.f.cfg.Wire.CallHeader(x.in.Header, info),
		Body:       x.body,
		EchoHeader: x.f.cfg.Wire.EchoHeader(),
	}
}

// readResponseBody reads the body of a response, which stays counted among the responses of endpoints.
func (x *exchange) readResponseBody(resp *connector.Response) (connector.Body, error) {
	x.releaseAnswer()
	x.answerHold = x.f.budget.Hold(resp.Address())
	return resp.ReadBody(x.answerHold, maxPlainResponse)
}

func (x *exchange) copyHeader(from http.Header) {
	h := x.w.Header()
	for name, values := range x.f.cfg.Wire.ResponseHeader(from) {
		h[name] = values
	}
}

// isSuccess reports whether a status says that the request was answered. An endpoint may fail a request without beginning
// to work on it.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
