package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/selector"
	"geraniumline/switcher"
)

const (
	// maxPlainAnswer bounds an answer that is read whole before it is passed on, so that one which breaks off can
	// be asked for again. Longer ones are refused.
	maxPlainAnswer = 8 << 20
	// patienceShare is the part of the objective after which a silent endpoint's request, if it may run twice, is
	// sent to another one.
	patienceShare = 0.7
	// leastPatience keeps short objectives from being asked for twice by usual delays.
	leastPatience = 50 * time.Millisecond
)

// servePlain passes a request on whose answer is one body.
func (x *exchange) servePlain() *FailureError {
	for {
		if !x.mayTryAgain() {
			return x.giveUp("noEndpointTook")
		}
		choice, found := x.choose(selector.Query{})
		if !found {
			return x.noEndpoint()
		}
		done, failure := x.tryPlain(choice)
		if done {
			return failure
		}
	}
}

// tryPlain sends the request to one endpoint. It tells whether the caller has its answer or its failure.
func (x *exchange) tryPlain(choice selector.Choice) (bool, *FailureError) {
	began := time.Now()
	x.sends++
	x.tried = append(x.tried, choice.Endpoint.ID)
	ctx, cancel := x.patience(began)
	defer cancel()
	answer, info, body, err := x.exchangePlain(ctx, choice, began)
	if err != nil {
		return x.failed(choice, err)
	}
	if info.NotRun {
		x.endRefused(choice)
		return false, nil
	}
	x.runs++
	bad := answer.Status() >= http.StatusInternalServerError
	if bad && x.againAfterRun() {
		x.end(choice, ejector.Bad, true)
		return false, nil
	}
	x.endTimed(choice, bad, time.Since(began))
	x.clearContent()
	x.sendWhole(answer, body)
	return true, nil
}

// patience bounds the wait for an endpoint, if the request may be sent to another one after it.
func (x *exchange) patience(now time.Time) (context.Context, context.CancelFunc) {
	if x.f.cfg.Off.Has(switcher.Hedging) || !x.route.Repeatable() || x.runs+1 >= x.route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	wait := max(leastPatience, time.Duration(patienceShare*float64(x.route.Objective)))
	return context.WithDeadline(x.ctx, now.Add(wait))
}

func (x *exchange) exchangePlain(ctx context.Context, choice selector.Choice, now time.Time) (*connector.Answer, ResponseInfo, []byte, error) {
	answer, err := x.f.cfg.Client.Do(ctx, x.call(choice, x.callInfo(choice.Endpoint, now)))
	if err != nil {
		return nil, ResponseInfo{}, nil, err
	}
	info := x.f.readAnswer(&choice.Endpoint, answer)
	body, err := answer.ReadWhole(maxPlainAnswer)
	return answer, info, body, err
}

// call is the request as it goes to an endpoint.
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

// sendWhole passes an endpoint's whole answer on.
func (x *exchange) sendWhole(answer *connector.Answer, body []byte) {
	x.copyHeader(answer.Header())
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.headed = true
	x.status = answer.Status()
	x.w.WriteHeader(answer.Status())
	// An error means that the caller has gone.
	_, _ = x.w.Write(body)
}

func (x *exchange) copyHeader(from http.Header) {
	h := x.w.Header()
	for name, values := range x.f.cfg.Wire.ResponseHeader(from) {
		h[name] = values
	}
}
