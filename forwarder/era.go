package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
)

// applyEra records an era of the store, received from the store or a peer. The lock must be held.
func (f *Forwarder) applyEra(era int64, source string) {
	if !f.eraKnown {
		// The first known era does not show that the store was restored.
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

// queryNewerEra asks a peer for its list of endpoints if that is from a newer era of the store than this entry's
// list. Entries ask the sender of a heartbeat, so that they don't all query the store or its reader at once. The lock
// must be held.
func (f *Forwarder) queryNewerEra(peer string, era int64, now time.Time) []func() {
	if !f.registry.Loaded() || era <= f.registry.Next().Era() || now.Sub(f.endpointsQueriedAt) < queryInterval {
		return nil
	}
	f.endpointsQueriedAt = now
	return []func(){f.sendTo(peer, f.endpointsCall(now))}
}
