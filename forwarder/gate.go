package forwarder

import (
	"time"

	"geraniumline/detector"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/warmer"
)

// gate combines the limits on the calls to an endpoint: its slow start, and the limits in its notices.
type gate struct {
	warmer    *warmer.Warmer
	regulator *regulator.Regulator
}

// Allows implements selector.Gate.
func (g *gate) Allows(e *registrar.Endpoint, coldPerSecond float64, now time.Time) bool {
	if e.Cold(now) && !g.warmer.Allows(e.ID, coldPerSecond, now) {
		return false
	}
	return g.regulator.Allows(e.ID, now)
}

// NextSendTime implements selector.Gate.
func (g *gate) NextSendTime(e *registrar.Endpoint, now time.Time) (time.Time, bool) {
	return g.regulator.NextSendTime(e.ID, now)
}

// Limited implements selector.Gate.
func (g *gate) Limited(e *registrar.Endpoint) bool {
	_, limited := g.regulator.Limit(e.ID)
	return limited || !g.regulator.SendsTo(e.ID)
}

// RecordSend implements selector.Gate.
func (g *gate) RecordSend(e *registrar.Endpoint, coldPerSecond float64, now time.Time) {
	if e.Cold(now) {
		g.warmer.RecordSend(e.ID, coldPerSecond, now)
	}
	g.regulator.RecordSend(e.ID, now)
}

// setSendingEntries sets which entries share the limits of cold and limited endpoints. The lock must be held.
func (f *Forwarder) setSendingEntries() {
	var live []string
	known := 0
	for m := range f.detector.All() {
		known++
		if m.Name == f.cfg.Name || m.State == detector.Live {
			live = append(live, m.Name)
		}
	}
	f.warmer.SetEntries(live, known)
	f.regulator.SetEntries(live)
}
