package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/meter"
)

// ApplyEvacuations applies the operator's records on availability zones after the last applied position, up to next.
func (f *Forwarder) ApplyEvacuations(changes []evacuator.Change, next locator.Position, now time.Time) {
	f.withLock(func() []func() {
		return f.evacuationsChanged(f.evacuator.Apply(changes, next, now), "store", now)
	})
}

// ReplaceEvacuations replaces the state with the operator's newest records on all availability zones.
func (f *Forwarder) ReplaceEvacuations(state evacuator.State, now time.Time) {
	f.withLock(func() []func() {
		return f.evacuationsChanged(f.evacuator.Replace(state, now), "store", now)
	})
}

// applyPeerEvacuations applies the evacuated zones reported by a peer. The lock must be held.
func (f *Forwarder) applyPeerEvacuations(m *carrier.Heartbeat, now time.Time) []func() {
	state := evacuator.State{
		Next:  locator.At(m.EvacuatedEra, m.EvacuatedNext),
		Zones: m.Evacuated,
		Held:  m.EvacuationsHeld,
	}
	return f.evacuationsChanged(f.evacuator.Replace(state, now), m.From.Name, now)
}

// evacuationsChanged puts a change of the evacuated zones in force. The lock must be held.
func (f *Forwarder) evacuationsChanged(changed bool, source string, now time.Time) []func() {
	if !changed {
		return nil
	}
	state := f.evacuator.State()
	f.cfg.Meter.Gauge(meter.ZonesEvacuated).Update(int64(len(state.Zones) + len(state.Held)))
	f.log.Info("evacuated zones changed",
		zap.Strings("zones", state.Zones),
		zap.Strings("held", state.Held),
		zap.Stringer("position", state.Next),
		zap.String("source", source))
	return f.endpointsChanged(now)
}
