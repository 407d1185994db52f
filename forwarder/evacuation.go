package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/meter"
)

// ApplyEvacuations takes the operator's records on availability zones that follow those known, up to a position.
func (f *Forwarder) ApplyEvacuations(changes []evacuator.Change, next locator.Position, now time.Time) {
	f.locked(func() []func() {
		return f.evacuationsTaken(f.evacuator.Apply(changes, next, now), "store", now)
	})
}

// ReplaceEvacuations takes the newest of the operator's records on all availability zones.
func (f *Forwarder) ReplaceEvacuations(state evacuator.State, now time.Time) {
	f.locked(func() []func() {
		return f.evacuationsTaken(f.evacuator.Replace(state, now), "store", now)
	})
}

// takeEvacuated takes the evacuated zones that a peer tells of. The lock is held.
func (f *Forwarder) takeEvacuated(m *carrier.Heartbeat, now time.Time) []func() {
	state := evacuator.State{
		Next:  locator.At(m.EvacuatedEra, m.EvacuatedNext),
		Zones: m.Evacuated,
		Held:  m.EvacuationsHeld,
	}
	return f.evacuationsTaken(f.evacuator.Replace(state, now), m.From.Name, now)
}

// evacuationsTaken puts a change of the evacuated zones in force. The lock is held.
func (f *Forwarder) evacuationsTaken(changed bool, source string, now time.Time) []func() {
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
