package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
)

// takeEra notes an era of the store, told by the store or a peer. The lock is held.
func (f *Forwarder) takeEra(era int64, source string) {
	if !f.eraKnown {
		// The first era that an entry hears of says nothing of a return.
		f.eraKnown = true
		f.storeEra = era
		return
	}
	if era <= f.storeEra {
		return
	}
	before := f.storeEra
	f.storeEra = era
	f.cfg.Meter.Counter(meter.StoreReturns).Inc(era - before)
	f.log.Warn("store has returned from an older copy; what was written since may be lost",
		zap.Int64("era", era),
		zap.Int64("before", before),
		zap.String("source", source),
		zap.Int64("version", f.version()),
		zap.Stringer("endpoints", f.registry.Next()),
		zap.Stringer("evacuations", f.evacuator.State().Next))
}

// askForEra asks a peer for its list of endpoints where that is of a newer era of the store than the own one. Those that a
// heartbeat reaches ask its sender, so that neither the store nor the entry that reads it is asked by all at once. The lock
// is held.
func (f *Forwarder) askForEra(peer string, era int64, now time.Time) []func() {
	if !f.registry.Loaded() || era <= f.registry.Next().Era() || now.Sub(f.askedEndpoints) < askEvery {
		return nil
	}
	f.askedEndpoints = now
	return []func(){f.sendTo(peer, f.endpointsCall(now))}
}
