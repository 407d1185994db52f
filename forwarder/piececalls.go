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
)

const (
	// maxPiecesAnswer bounds the answer to a call for pieces: 100 bytes for each of some thousand.
	maxPiecesAnswer = 1 << 20
	// freeTimeout bounds a call that frees results, which lapse by themselves.
	freeTimeout = time.Second
)

// callPieces makes a call for pieces and tells the pool how it ended.
func (f *Forwarder) callPieces(service string, p *collector.Pool, e collector.SendCall) {
	began := time.Now()
	end, results := f.exchangePieces(service, e)
	now := time.Now()
	f.noteCallEnd(service, e, end, results, now.Sub(began))
	f.locked(func() []func() {
		return f.performAll(service, p, p.Reduce(collector.CallEnded{Call: e.Call, Outcome: end, Results: results}, now))
	})
}

func (f *Forwarder) exchangePieces(service string, e collector.SendCall) (collector.CallOutcome, []collector.PieceResult) {
	body, err := f.cfg.Wire.EncodePieces(e.Pieces, time.Now())
	if err != nil {
		f.logPieces(service, e, err)
		return collector.Broken, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	answer, err := f.cfg.Client.Do(ctx, &connector.Call{
		Address: e.Endpoint.Address,
		Method:  http.MethodPost,
		Target:  f.cfg.Wire.PiecesTarget(),
		Host:    e.Endpoint.Address,
		Header:  f.cfg.Wire.InstanceHeader(e.Endpoint.ID),
		Body:    body,
	})
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		f.logPieces(service, e, err)
		if unsent.Refused() {
			return collector.Unreachable, nil
		}
		return collector.Unanswered, nil
	}
	if err != nil {
		f.logPieces(service, e, err)
		return collector.Broken, nil
	}
	info := f.readAnswer(&e.Endpoint, answer)
	data, err := answer.ReadWhole(maxPiecesAnswer)
	if err != nil {
		f.logPieces(service, e, err)
		return collector.Broken, nil
	}
	if info.NotRun {
		return collector.Refused, nil
	}
	if answer.Status() != http.StatusOK {
		f.logPieces(service, e, &statusError{status: answer.Status()})
		return collector.Broken, nil
	}
	results, err := f.cfg.Wire.DecodePieces(bytes.TrimSpace(data))
	if err != nil {
		f.logPieces(service, e, err)
		return collector.Broken, nil
	}
	return collector.Answered, results
}

// callFree gives results back at their maker. After a failure their space is taken until they lapse, which the endpoint
// tells by refusing pieces.
func (f *Forwarder) callFree(service string, p *collector.Pool, e collector.FreeResults) {
	f.mu.Lock()
	evacuated, spared := f.evacuatedAt(e.Address), f.sparedAt(e.Address, time.Now())
	f.mu.Unlock()
	if spared {
		// The few calls that the endpoint takes are for pieces. Its space counts as taken until the results lapse.
		return
	}
	if !evacuated {
		// Where nothing more may be sent, results lapse by themselves.
		f.exchangeFree(e)
	}
	freed := make([]collector.ResultRef, len(e.Handles))
	for i, handle := range e.Handles {
		freed[i] = collector.ResultRef{Handle: handle, Address: e.Address}
	}
	now := time.Now()
	f.locked(func() []func() {
		return f.performAll(service, p, p.Reduce(collector.FreeCallEnded{Results: freed}, now))
	})
}

func (f *Forwarder) exchangeFree(e collector.FreeResults) {
	body, err := f.cfg.Wire.EncodeFree(e.Handles)
	if err != nil {
		f.log.Warn("results not freed", zap.String("address", e.Address), zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	answer, err := f.cfg.Client.Do(ctx, &connector.Call{
		Address: e.Address,
		Method:  http.MethodPost,
		Target:  f.cfg.Wire.FreeTarget(),
		Host:    e.Address,
		Header:  f.cfg.Wire.InstanceHeader(""),
		Body:    body,
	})
	if err == nil {
		_, err = answer.ReadWhole(maxPiecesAnswer)
	}
	if err != nil {
		f.log.Debug("results not freed", zap.String("address", e.Address), zap.Error(err))
	}
}
