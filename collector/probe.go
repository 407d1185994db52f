package collector

import (
	"time"

	"geraniumline/ejector"
)

// probeEarly returns the endpoints that were ejected for serving badly and are probed before the end of their ejection,
// because none that is in use accepts calls from this entry. Ejections compare the endpoints of a pool; while all others
// rest, one that is slower than before would be out of use with nothing to replace it, and all callers be refused.
func (p *Pool) probeEarly(now time.Time) []*endpoint {
	for _, e := range p.endpoints {
		if e.health.State() == ejector.InUse && p.gateAllows(e, now) {
			return nil
		}
	}
	var probed []*endpoint
	for _, e := range p.endpoints {
		if e.health.Down() || e.calls > 0 || !e.acceptsCall(p.cfg.Stage.Slots, now) || !p.gateAllows(e, now) {
			continue
		}
		p.health.ProbeEarly(&e.health, now)
		if e.health.State() == ejector.Probing {
			probed = append(probed, e)
		}
	}
	return probed
}
