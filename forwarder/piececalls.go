package forwarder

import (
	"bytes"
	"context"
	"errors"
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
	resp, err := f.send(ctx, fixedCall(&connector.Call{
		Address: e.Endpoint.Address,
		Method:  http.MethodPost,
		Target:  f.cfg.Wire.PiecesTarget(),
		Host:    e.Endpoint.Address,
		Header:  f.cfg.Wire.InstanceHeader(e.Endpoint.ID),
		Body:    connector.NewBody(body),
	}))
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
	data, err := resp.ReadAll(f.budget, maxPiecesResponse)
	if err != nil {
		return f.brokenCall(service, e, err), nil
	}
	if resp.Status() != http.StatusOK {
		f.logCallFailure(service, e, &statusError{status: resp.Status()})
		return collector.Broken, nil
	}
	results, err := f.cfg.Wire.DecodePieces(bytes.TrimSpace(data))
	if err != nil {
		f.logCallFailure(service, e, err)
		return collector.Broken, nil
	}
	return collector.Answered, results
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
	resp, err := f.cfg.Client.Do(ctx, &connector.Call{
		Address: e.Address,
		Method:  http.MethodPost,
		Target:  f.cfg.Wire.FreeTarget(),
		Host:    e.Address,
		Header:  f.cfg.Wire.InstanceHeader(""),
		Body:    connector.NewBody(body),
	})
	if err == nil {
		_, err = resp.ReadAll(f.budget, maxPiecesResponse)
	}
	if err != nil {
		f.log.Debug("results not freed", zap.String("address", e.Address), zap.Error(err))
	}
	return err == nil
}
