package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/selector"
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
		choice, found := x.choose(selector.Ask{})
		if !found {
			return x.giveUp("noEndpoint")
		}
		done, failure := x.tryPlain(choice)
		if done {
			return failure
		}
	}
}

// giveUp tells the truth of a request that no further endpoint is tried for.
func (x *exchange) giveUp(reason string) *FailureError {
	if x.runs > 0 {
		return mayHaveRun(reason)
	}
	return notRun(reason, soon())
}

// tryPlain sends the request to one endpoint. It tells whether the caller has its answer or its failure.
func (x *exchange) tryPlain(choice selector.Choice) (bool, *FailureError) {
	began := time.Now()
	x.sends++
	x.tried = append(x.tried, choice.Endpoint.ID)
	ctx, cancel := x.patience(began)
	defer cancel()
	answer, body, err := x.exchangePlain(ctx, choice, began)
	if err != nil {
		return x.failedPlain(choice, err)
	}
	info := x.f.cfg.Wire.ReadAnswer(answer.Status(), answer.Header())
	if info.NotRun {
		x.end(choice, ejector.Good, false)
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
	if !x.route.Repeatable() || x.runs+1 >= x.route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	wait := max(leastPatience, time.Duration(patienceShare*float64(x.route.Objective)))
	return context.WithDeadline(x.ctx, now.Add(wait))
}

func (x *exchange) exchangePlain(ctx context.Context, choice selector.Choice, now time.Time) (*connector.Answer, []byte, error) {
	answer, err := x.f.cfg.Client.Do(ctx, x.call(choice, x.callInfo(choice.Endpoint, now)))
	if err != nil {
		return nil, nil, err
	}
	body, err := answer.ReadWhole(maxPlainAnswer)
	return answer, body, err
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

// failedPlain decides what follows an exchange without a whole answer.
func (x *exchange) failedPlain(choice selector.Choice, err error) (bool, *FailureError) {
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
func (x *exchange) end(choice selector.Choice, end ejector.End, bad bool) {
	now := time.Now()
	x.f.mu.Lock()
	changed := x.f.selector.Ended(choice, end, now)
	x.f.mu.Unlock()
	if changed {
		x.f.logJudged(x.service.Name, choice.Endpoint, bad)
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
		end = x.f.selector.Judge(choice.Endpoint.ID, took, x.route.Objective)
		x.f.mu.Unlock()
	}
	x.end(choice, end, end != ejector.Good)
}

// cancel gives an endpoint's call back that says nothing of the endpoint.
func (x *exchange) cancel(choice selector.Choice) {
	x.f.mu.Lock()
	x.f.selector.Cancelled(choice)
	x.f.mu.Unlock()
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
	for name, values := range x.f.cfg.Wire.AnswerHeader(from) {
		h[name] = values
	}
}
