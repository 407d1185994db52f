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

// assignmentTimeout bounds one reading of what an engine holds.
const assignmentTimeout = 2 * time.Second

// orders gives orders to engines and reads them back.
type orders struct {
	client *http.Client
	post   func(reducer.Event)
	ctx    context.Context
}

func newOrders(cfg Config, post func(reducer.Event)) *orders {
	return &orders{client: cfg.Endpoints, post: post}
}

func assignmentURL(address string) string { return "http://" + address + "/v1/assignment" }

// read asks an engine what it holds. Without an answer nothing is told: the core asks again.
func (o *orders) read(e reducer.ReadAssignment) {
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

func readAssignment(response *http.Response) (placer.Assignment, bool) {
	var wire endpointserver.Assignment
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &wire) != nil {
		return placer.Assignment{}, false
	}
	return placer.Assignment{
		Model:    wire.Model,
		Version:  wire.Version,
		Adapters: wire.Adapters,
		Role:     string(wire.Role),
		Loading:  wire.Loading,
		Fence:    wire.Fence,
	}, true
}

// order sends one order and tells how it ended.
func (o *orders) order(e reducer.OrderEngine) {
	o.post(reducer.OrderEnded{Pool: e.Pool, Address: e.Address, Result: o.send(e)})
}

func (o *orders) send(e reducer.OrderEngine) placer.Result {
	if lapsed(e.Deadline, time.Now()) {
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

// lapsed tells that an order's time is over. The process may have been paused since the core decided on it, and the
// whole VM frozen, with its monotonic clock: the clock of the day is asked too.
func lapsed(until, now time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

// orderResult reads how an engine answered an order. An answer that can't be read says nothing of the order.
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
