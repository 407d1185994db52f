package performer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/placer"
	"geraniumline/reducer"
)

// assignmentTimeout limits one request for an engine's assignment.
const assignmentTimeout = 2 * time.Second

// orderSender sends orders to engines and reads their assignments.
type orderSender struct {
	client *http.Client
	post   func(reducer.Event)
	ctx    context.Context
}

func newOrderSender(cfg Config, post func(reducer.Event)) *orderSender {
	return &orderSender{client: cfg.Endpoints, post: post}
}

func assignmentURL(address string) string { return "http://" + address + "/v1/assignment" }

// read requests an engine's assignment and posts it. Without a valid answer it posts nothing, and the core asks again.
func (o *orderSender) read(e reducer.ReadAssignment) {
	ctx, cancel := context.WithTimeout(o.ctx, assignmentTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, assignmentURL(e.Address), nil)
	if err != nil {
		return
	}
	response, err := o.client.Do(request)
	if err != nil {
		return
	}
	defer drain(response)
	if state, ok := readAssignment(response); ok {
		o.post(reducer.AssignmentRead{Pool: e.Pool, Address: e.Address, RequestedAt: e.RequestedAt, State: state})
	}
}

// readAssignment decodes an assignment. It returns false if the response isn't a valid one.
func readAssignment(response *http.Response) (placer.Assignment, bool) {
	var decoded endpointserver.Assignment
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &decoded) != nil {
		return placer.Assignment{}, false
	}
	return placer.Assignment{
		Model:    decoded.Model,
		Version:  decoded.Version,
		Adapters: decoded.Adapters,
		Role:     string(decoded.Role),
		Loading:  decoded.Loading,
		Fence:    decoded.Fence,
	}, true
}

// order sends one order and posts its result.
func (o *orderSender) order(e reducer.OrderEngine) {
	o.post(reducer.OrderEnded{Pool: e.Pool, Address: e.Address, Result: o.send(e)})
}

// send sends one order and returns its result.
func (o *orderSender) send(e reducer.OrderEngine) placer.Result {
	if expired(e.Deadline, time.Now()) {
		return placer.Refused{}
	}
	body, err := encodeOrder(&e.State)
	if err != nil {
		return placer.Refused{}
	}
	ctx, cancel := context.WithDeadline(o.ctx, e.Deadline)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, assignmentURL(e.Address), bytes.NewReader(body))
	if err != nil {
		return placer.Refused{}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	switch {
	case err != nil && !connected:
		return placer.Refused{}
	case err != nil:
		return placer.Uncertain{}
	}
	defer drain(response)
	return orderResult(response)
}

// expired reports whether an order's deadline has passed. The process may have been paused since the core's decision.
// If the whole VM was frozen, its monotonic clock stopped too, so the wall clock is checked as well.
func expired(until, now time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// orderResult returns the result of an order from the engine's response. If the response can't be decoded, the result
// is uncertain.
func orderResult(response *http.Response) placer.Result {
	if response.StatusCode == http.StatusOK {
		if state, ok := readAssignment(response); ok {
			return placer.Accepted{State: state}
		}
		return placer.Uncertain{}
	}
	var refusal endpointserver.Refusal
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	if err != nil || json.Unmarshal(body, &refusal) != nil {
		return placer.Uncertain{}
	}
	if refusal.Code == endpointserver.RefusalCodeFailed {
		return placer.Uncertain{}
	}
	return placer.Refused{
		RetryAfter: time.Duration(refusal.RetryAfterMillis.Value) * time.Millisecond,
		Limited:    refusal.Code == endpointserver.RefusalCodeRateLimited || response.StatusCode == http.StatusTooManyRequests,
	}
}

func encodeOrder(state *placer.Assignment) ([]byte, error) {
	return json.Marshal(&endpointserver.AssignmentOrder{
		Fence:    state.Fence,
		Model:    state.Model,
		Version:  state.Version,
		Adapters: state.Adapters,
		Role:     endpointserver.AssignmentOrderRole(state.Role),
	})
}
