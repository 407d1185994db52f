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
	var next *attempt
	defer func() { x.dropAttempt(next) }()
	for {
		a := next
		next = nil
		if a == nil {
			var failure *FailureError
			if a, failure = x.choosePlainAttempt(); failure != nil {
				return failure
			}
		}
		var done bool
		var failure *FailureError
		if next, done, failure = x.attemptPlain(a); done {
			return failure
		}
	}
}

// choosePlainAttempt chooses the endpoint of the next attempt.
func (x *exchange) choosePlainAttempt() (*attempt, *FailureError) {
	if !x.allowAttempt() {
		return nil, x.giveUp("noEndpointTook")
	}
	if failure := x.allowParts(); failure != nil {
		return nil, failure
	}
	choice, found := x.awaitEndpoint(selector.Query{})
	if !found {
		return nil, x.noEndpoint()
	}
	x.attempts++
	x.tried = append(x.tried, choice.Endpoint.ID)
	return &attempt{choice: choice, sentAt: time.Now()}, nil
}

// attemptPlain sends the request to one endpoint. It reports whether the request has ended, with a response or a failure, and
// returns the call to another endpoint that has taken the request, or nil.
func (x *exchange) attemptPlain(a *attempt) (next *attempt, done bool, failure *FailureError) {
	choice := a.choice
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	watch := x.watchPlain(cancel)
	resp, info, body, err := x.exchangePlain(ctx, a, watch)
	if err != nil || info.NotRun {
		next = watch.handOver()
	} else {
		next = watch.stop()
	}
	if err != nil {
		x.f.log.Info("exchange broken",
			zap.String("request", x.req.ID),
			zap.String("endpoint", choice.Endpoint.ID),
			zap.Bool("callerGone", x.callerGone()),
			zap.Error(err))
		done, failure = x.handleFailure(choice, err)
		return next, done, failure
	}
	if info.NotRun {
		x.endRefusedCall(choice)
		return next, false, nil
	}
	x.runs++
	bad := resp.Status() >= http.StatusInternalServerError
	if bad && (next != nil || x.mayRetryAfterRun()) {
		x.endCall(choice, ejector.Bad, true)
		return next, false, nil
	}
	x.endTimedCall(choice, bad, time.Since(a.sentAt))
	x.recordContentServed()
	if isSuccess(resp.Status()) {
		x.recordPartsAnswered(time.Now())
	}
	x.writeResponse(resp, body)
	return next, true, nil
}

// watchPlain has another endpoint take the request if its endpoint is slow and the request may run twice. If no other one
// accepts it by then, because all rest or are limited, or too little of the retry budget is left, the silent endpoint may still
// answer.
func (x *exchange) watchPlain(leave context.CancelFunc) *takeover {
	if x.f.cfg.Disabled.Has(switcher.Hedging) || !x.mayRunAgain() {
		return nil
	}
	return x.watchSilence(takeoverConfig{
		leave:    leave,
		silence:  max(minHedgeDelay, time.Duration(hedgeShare*float64(x.route.Objective))),
		mayLeave: x.mayHedge,
		query:    func() selector.Query { return selector.Query{} },
		call: func(choice selector.Choice) callBuilder {
			return func(now time.Time) *connector.Call { return x.call(choice, x.callInfo(choice.Endpoint, now)) }
		},
		reason: func() string { return stalledBeforeResponse },
	}, time.Now())
}

func (x *exchange) mayHedge(now time.Time) bool {
	return x.f.hasEndpoint(x.endpointQuery(selector.Query{}), now) && x.f.allowsHedge(x.service.Name, now)
}

func (x *exchange) exchangePlain(ctx context.Context, a *attempt, watch *takeover) (*connector.Response, ResponseInfo, connector.Body, error) {
	choice := a.choice
	resp, err := x.f.sendAttempt(ctx, a, func(now time.Time) *connector.Call {
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
	if !watch.receiving() {
		resp.Close()
		return nil, ResponseInfo{}, nil, &connector.ExchangeError{Address: resp.Address(), Err: context.Canceled}
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
