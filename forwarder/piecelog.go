package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
	"geraniumline/meter"
	"geraniumline/registrar"
)

// noteCall writes a line on a call for pieces of several requests. The lock is held.
func (f *Forwarder) noteCall(service string, p *collector.Pool, e collector.SendCall) {
	f.cfg.Meter.Counter(meter.PieceCalls, service).Inc(1)
	f.cfg.Meter.Histogram(meter.PieceBatch, service).Update(int64(len(e.Pieces)))
	f.note("call for pieces",
		zap.Strings("requests", requestsOf(e)),
		zap.String("service", service),
		zap.Uint64("call", e.Call),
		zap.String("endpoint", e.Endpoint.ID),
		zap.String("zone", e.Endpoint.Zone),
		zap.Int("pieces", len(e.Pieces)),
		zap.Int("waiting", p.WaitingPieces()),
		zap.Int("space", e.RemainingResults))
}

// noteCallEnd writes a line on the end of a call.
func (f *Forwarder) noteCallEnd(service string, e collector.SendCall, end collector.CallOutcome, results []collector.PieceResult, took time.Duration) {
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
		f.note("call for pieces ended", fields...)
		return
	}
	f.log.Info("call for pieces ended", fields...)
}

// requestsOf lists the requests of a call's pieces.
func requestsOf(e collector.SendCall) []string {
	requests := make([]string, 0, len(e.Pieces))
	for _, p := range e.Pieces {
		if !slices.Contains(requests, p.Request) {
			requests = append(requests, p.Request)
		}
	}
	return requests
}

func (f *Forwarder) logPieces(service string, e collector.SendCall, err error) {
	f.log.Warn("call for pieces failed",
		zap.Strings("requests", requestsOf(e)),
		zap.String("service", service),
		zap.Uint64("call", e.Call),
		zap.String("endpoint", e.Endpoint.ID),
		zap.Error(err))
}

// logJudged writes that an endpoint was taken out of use or let back.
func (f *Forwarder) logJudged(service string, e registrar.Endpoint, out bool) {
	outcome := "letBack"
	if out {
		outcome = "out"
	}
	f.cfg.Meter.Counter(meter.EndpointJudgements, outcome).Inc(1)
	f.log.Warn("endpoint judged",
		zap.String("service", service),
		zap.String("endpoint", e.ID),
		zap.String("address", e.Address),
		zap.Bool("out", out))
}
