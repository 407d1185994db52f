package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
	"geraniumline/meter"
	"geraniumline/registrar"
)

// logCall records metrics and logs a call for pieces of several requests. The lock must be held.
func (f *Forwarder) logCall(service string, p *collector.Pool, e collector.SendCall) {
	f.cfg.Meter.Counter(meter.PieceCalls, service).Inc(1)
	f.cfg.Meter.Histogram(meter.PieceBatch, service).Update(int64(len(e.Pieces)))
	f.logSampled("call for pieces",
		zap.Strings("requests", requestsOf(e)),
		zap.String("service", service),
		zap.Uint64("call", e.Call),
		zap.String("endpoint", e.Endpoint.ID),
		zap.String("zone", e.Endpoint.Zone),
		zap.Int("pieces", len(e.Pieces)),
		zap.Int("waiting", p.WaitingPieces()),
		zap.Int("space", e.RemainingResults))
}

// logCallEnd records metrics and logs the end of a call for pieces.
func (f *Forwarder) logCallEnd(service string, e collector.SendCall, end collector.CallOutcome, results []collector.PieceResult, took time.Duration) {
	f.cfg.Meter.Histogram(meter.PieceCallMicros, service).Update(took.Microseconds())
	reasons := make(map[string]int)
	for _, r := range results {
		if r.Handle == "" {
			reasons[r.Reason.String()]++
			f.cfg.Meter.Counter(meter.PieceFailures, r.Reason.String()).Inc(1)
		}
	}
	fields := []zap.Field{
		zap.Strings("requests", requestsOf(e)),
		zap.String("service", service),
		zap.Uint64("call", e.Call),
		zap.String("endpoint", e.Endpoint.ID),
		zap.Stringer("end", end),
		zap.Any("reasons", reasons),
		zap.Duration("took", took),
	}
	if end == collector.Answered && len(reasons) == 0 {
		f.logSampled("call for pieces ended", fields...)
		return
	}
	f.log.Info("call for pieces ended", fields...)
}

// requestsOf returns the distinct requests that the pieces of a call belong to.
func requestsOf(e collector.SendCall) []string {
	requests := make([]string, 0, len(e.Pieces))
	for _, p := range e.Pieces {
		if !slices.Contains(requests, p.Request) {
			requests = append(requests, p.Request)
		}
	}
	return requests
}

func (f *Forwarder) logCallFailure(service string, e collector.SendCall, err error) {
	f.log.Warn("call for pieces failed",
		zap.Strings("requests", requestsOf(e)),
		zap.String("service", service),
		zap.Uint64("call", e.Call),
		zap.String("endpoint", e.Endpoint.ID),
		zap.Error(err))
}

// logHealthChange logs that an endpoint was ejected or readmitted.
func (f *Forwarder) logHealthChange(service string, e registrar.Endpoint, out bool) {
	outcome := "letBack"
	if out {
		outcome = "out"
	}
	f.cfg.Meter.Counter(meter.EndpointJudgements, outcome).Inc(1)
	f.log.Warn("endpoint health changed",
		zap.String("service", service),
		zap.String("endpoint", e.ID),
		zap.String("address", e.Address),
		zap.Bool("out", out))
}
