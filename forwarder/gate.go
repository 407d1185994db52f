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

// FreeAt implements selector.Gate.
func (g *gate) FreeAt(e *registrar.Endpoint, now time.Time) (time.Time, bool) {
	return g.regulator.FreeAt(e.ID, now)
}

// BearsFew implements selector.Gate.
func (g *gate) BearsFew(e *registrar.Endpoint) bool {
	_, limited := g.regulator.Limit(e.ID)
	return limited
}

// Sent implements selector.Gate.
func (g *gate) Sent(e *registrar.Endpoint, coldPerSecond float64, now time.Time) {
	if e.Cold(now) {
		g.warmer.Sent(e.ID, coldPerSecond, now)
	}
	g.regulator.Sent(e.ID, now)
}

// setSendingEntries sets which entries share the limits of cold and limited endpoints. The lock must be held.
func (f *Forwarder) setSendingEntries(members []detector.Member) {
	live := make([]string, 0, len(members))
	for _, m := range members {
		if m.Name == f.cfg.Name || m.State == detector.Live {
			live = append(live, m.Name)
		}
	}
	f.warmer.SetEntries(live, len(members))
	f.regulator.SetEntries(live)
}
