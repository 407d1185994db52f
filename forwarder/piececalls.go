package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
	"geraniumline/connector"
	"geraniumline/meter"
)

const (
	// maxPiecesResponse bounds the size in bytes of the response to a call for pieces: 100 bytes for each of some
	// thousand.
	maxPiecesResponse = 1 << 20
	// freeTimeout bounds a call that frees results. Results that are not freed expire.
	freeTimeout = time.Second
)

// callPieces sends a call for pieces and reports its end to the pool.
func (f *Forwarder) callPieces(service string, p *collector.Pool, e collector.SendCall) {
	startTime := time.Now()
	end, results := f.exchangePieces(service, e)
	now := time.Now()
	f.logCallEnd(service, e, end, results, now.Sub(startTime))
	f.withLock(func() []func() {
		return f.performAll(service, p, p.Reduce(collector.CallEnded{Call: e.Call, Outcome: end, Results: results}, now))
	})
}

func (f *Forwarder) exchangePieces(service string, e collector.SendCall) (collector.CallOutcome, []collector.PieceResult) {
	body, err := f.cfg.Wire.EncodePieces(e.Pieces, time.Now())
	if err != nil {
		f.logCallFailure(service, e, err)
		return collector.Broken, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	resp, err := f.send(ctx, fixedCall(f.stageCall(e.Endpoint.Address, f.cfg.Wire.PiecesTarget(), e.Endpoint.ID, body)))
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		f.logCallFailure(service, e, err)
		if unsent.Refused() {
			return collector.Unreachable, nil
		}
		return collector.Unanswered, nil
	}
	if err != nil {
		return f.brokenCall(service, e, err), nil
	}
	info := f.readResponse(&e.Endpoint, resp)
	if info.NotRun {
		f.discardRefusal(&e.Endpoint, resp)
		f.mu.Lock()
		f.regulator.RecordRefusal(e.Endpoint.ID, time.Now())
		f.mu.Unlock()
		return collector.Refused, nil
	}
	var results []collector.PieceResult
	var exchange *connector.ExchangeError
	_, err = resp.ReadChecked(f.budget, maxPiecesResponse, func(data []byte) error {
		if resp.Status() != http.StatusOK {
			return nil
		}
		var err error
		if results, err = f.cfg.Wire.DecodePieces(bytes.TrimSpace(data)); err != nil {
			return err
		}
		return f.claimHandles(e, results)
	})
	if errors.As(err, &exchange) {
		return f.brokenCall(service, e, err), nil
	}
	if err == nil && resp.Status() != http.StatusOK {
		err = &statusError{status: resp.Status()}
	}
	if err != nil {
		f.logCallFailure(service, e, err)
		return collector.Broken, nil
	}
	return collector.Answered, results
}

// stageCall returns a call to an endpoint of a stage. It has an ID of its own, so that a response to another call is recognized
// if the endpoint echoes IDs.
func (f *Forwarder) stageCall(address, target, instance string, body []byte) *connector.Call {
	header := f.cfg.Wire.InstanceHeader(instance)
	header.Set(f.cfg.Wire.EchoHeader(), fmt.Sprintf("%s-%x-%x", f.cfg.Name, f.cfg.Incarnation, f.stageCalls.Add(1)))
	return &connector.Call{
		Address:    address,
		Method:     http.MethodPost,
		Target:     target,
		Host:       address,
		Header:     header,
		Body:       connector.NewBody(body),
		EchoHeader: f.cfg.Wire.EchoHeader(),
	}
}

// ForeignResultError reports a response to a call for pieces that holds another call's result.
type ForeignResultError struct{}

func (*ForeignResultError) Error() string { return "response holds a result of another call" }

// claimHandles records the handles of a response. An endpoint that echoes no IDs is caught by them.
func (f *Forwarder) claimHandles(e collector.SendCall, results []collector.PieceResult) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.handles.Claim(e.Endpoint.Address, e.Pieces, results, time.Now()) {
		return &ForeignResultError{}
	}
	return nil
}

// brokenCall returns the outcome of a call that broke off: whether its endpoint crashed.
func (f *Forwarder) brokenCall(service string, e collector.SendCall, err error) collector.CallOutcome {
	f.logCallFailure(service, e, err)
	time.Sleep(crashCheckDelay)
	if !f.refusesConnections(e.Endpoint.Address) {
		return collector.Broken
	}
	f.cfg.Meter.Counter(meter.ForwardCrashes).Inc(1)
	return collector.Crashed
}

// callFree frees results at the endpoint that made them. After a failure their space counts as occupied until they
// expire, since the endpoint would refuse pieces that do not fit.
func (f *Forwarder) callFree(service string, p *collector.Pool, e collector.FreeResults) {
	f.mu.Lock()
	evacuated, spared := f.evacuatedAt(e.Address), f.sparedAt(e.Address, time.Now())
	f.mu.Unlock()
	if spared {
		// The endpoint accepts few calls, which are reserved for pieces. The space counts as occupied until the
		// results expire.
		return
	}
	// Results at an evacuated endpoint, to which nothing may be sent, expire on their own.
	if !evacuated && !f.exchangeFree(e) {
		return
	}
	freed := make([]collector.ResultRef, len(e.Handles))
	for i, handle := range e.Handles {
		freed[i] = collector.ResultRef{Handle: handle, Address: e.Address}
	}
	now := time.Now()
	f.withLock(func() []func() {
		return f.performAll(service, p, p.Reduce(collector.FreeCallEnded{Results: freed}, now))
	})
}

// exchangeFree sends a call that frees results, and reports whether the endpoint answered it.
func (f *Forwarder) exchangeFree(e collector.FreeResults) bool {
	body, err := f.cfg.Wire.EncodeFree(e.Handles)
	if err != nil {
		f.log.Warn("results not freed", zap.String("address", e.Address), zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	resp, err := f.cfg.Client.Do(ctx, f.stageCall(e.Address, f.cfg.Wire.FreeTarget(), "", body))
	if err == nil {
		_, err = resp.ReadAll(f.budget, maxPiecesResponse)
	}
	if err != nil {
		f.log.Debug("results not freed", zap.String("address", e.Address), zap.Error(err))
	}
	return err == nil
}
