package router

import (
	"cmp"
	"slices"
	"time"

	"geraniumline/ejector"
)

// pool is a set of interchangeable endpoints. Its sums and lists are updated with each change of an
// endpoint, so that no decision has to visit all endpoints.
type pool struct {
	name          string
	slots         int
	cachesPrompts bool
	all           []*endpoint
	// ring holds all endpoints, sorted by the hash of their address.
	ring []*endpoint
	// available holds the endpoints that can accept a call now.
	available []*endpoint
	// unhealthy holds the endpoints that are ejected or being probed.
	unhealthy []*endpoint
	// nextEjectionEnd is when the next ejection ends, scannedAt when unhealthy was last scanned.
	nextEjectionEnd time.Time
	scannedAt       time.Time
	health          ejector.Pool
	// usableSlots is the number of slots of all endpoints that are neither leaving nor ejected.
	// probeSlots is the number of those that belong to endpoints being probed.
	usableSlots int
	probeSlots  int
	// calls is the number of calls in flight of all entries.
	calls    int
	reserved int
	// callTime is the mean duration of a call in nanoseconds.
	callTime float64
}

func (p *pool) add(e *endpoint) {
	e.allIndex = len(p.all)
	p.all = append(p.all, e)
	position, _ := slices.BinarySearchFunc(p.ring, e.ringHash, compareRingHash)
	p.ring = slices.Insert(p.ring, position, e)
	p.health.Add()
}

func (p *pool) remove(e *endpoint) {
	last := len(p.all) - 1
	p.all[e.allIndex] = p.all[last]
	p.all[e.allIndex].allIndex = e.allIndex
	p.all[last] = nil
	p.all = p.all[:last]
	p.ring = slices.DeleteFunc(p.ring, func(other *endpoint) bool { return other == e })
	p.health.Remove(&e.health)
	p.updateUnhealthy(e)
}

func compareRingHash(e *endpoint, hash uint64) int { return cmp.Compare(e.ringHash, hash) }

// refresh updates the pool's sums and lists after a change of the endpoint.
func (r *Router) refresh(e *endpoint) {
	p := e.pool
	p.updateAvailable(e, e.hasFreeSlot(r.entries))
	p.updateUnhealthy(e)
	p.usableSlots -= e.usableSlots
	p.probeSlots -= e.probeSlots
	e.countSlots()
	p.usableSlots += e.usableSlots
	p.probeSlots += e.probeSlots
	r.active.set(e, e.inFlight > 0 || e.observedLeaving() || e.health.State() != ejector.InUse)
}

// countSlots computes the endpoint's contribution to the pool's slots. An endpoint that is being
// probed counts: requests for a pool without capacity are refused at admission, so no probe would
// ever be sent.
func (e *endpoint) countSlots() {
	e.usableSlots = 0
	e.probeSlots = 0
	if e.leaving() || e.removed || e.health.State() == ejector.Ejected {
		return
	}
	e.usableSlots = e.capacity()
	if e.health.State() == ejector.Probing {
		e.probeSlots = e.usableSlots
	}
}

func (r *Router) refreshPool(p *pool) {
	for _, e := range p.all {
		r.refresh(e)
	}
}

func (p *pool) updateAvailable(e *endpoint, free bool) {
	switch {
	case free && e.availableIndex < 0:
		e.availableIndex = len(p.available)
		p.available = append(p.available, e)
	case !free && e.availableIndex >= 0:
		last := len(p.available) - 1
		moved := p.available[last]
		p.available[e.availableIndex] = moved
		moved.availableIndex = e.availableIndex
		p.available[last] = nil
		p.available = p.available[:last]
		e.availableIndex = -1
	}
}

func (p *pool) updateUnhealthy(e *endpoint) {
	unhealthy := e.health.State() != ejector.InUse
	switch {
	case unhealthy && e.unhealthyIndex < 0:
		e.unhealthyIndex = len(p.unhealthy)
		p.unhealthy = append(p.unhealthy, e)
	case !unhealthy && e.unhealthyIndex >= 0:
		last := len(p.unhealthy) - 1
		moved := p.unhealthy[last]
		p.unhealthy[e.unhealthyIndex] = moved
		moved.unhealthyIndex = e.unhealthyIndex
		p.unhealthy[last] = nil
		p.unhealthy = p.unhealthy[:last]
		e.unhealthyIndex = -1
	}
	if unhealthy && e.health.State() == ejector.Ejected && (p.nextEjectionEnd.IsZero() || e.health.Until().Before(p.nextEjectionEnd)) {
		p.nextEjectionEnd = e.health.Until()
	}
}

// scanInterval limits how often the unhealthy endpoints are scanned. There may be thousands of
// them, and every decision triggers a scan.
const scanInterval = 10 * time.Millisecond

// advanceEjections moves endpoints whose ejection has ended to probing. It does so early if few
// endpoints of the pool remain in use.
func (r *Router) advanceEjections(p *pool, now time.Time) {
	if len(p.unhealthy) == 0 || now.Sub(p.scannedAt) < scanInterval {
		return
	}
	if p.usableSlots == 0 || 2*len(p.unhealthy) > len(p.all) {
		r.restoreAll(p, now)
		return
	}
	if p.nextEjectionEnd.IsZero() || now.Before(p.nextEjectionEnd) {
		return
	}
	p.scannedAt = now
	p.nextEjectionEnd = time.Time{}
	for _, e := range p.unhealthy {
		p.health.StartDueProbe(&e.health, now)
		r.refresh(e)
	}
}

// restoreAll allows all ejected endpoints to be probed early. A doubtful endpoint is better than
// none, and a pool that was unavailable as a whole recovers as a whole.
func (r *Router) restoreAll(p *pool, now time.Time) {
	p.scannedAt = now
	for _, e := range p.unhealthy {
		p.health.ProbeEarly(&e.health, now)
		r.refresh(e)
	}
}

// HasFree reports whether any endpoint of the pool can accept a call.
func (r *Router) HasFree(name string, now time.Time) bool {
	p, known := r.pools[name]
	if !known {
		return false
	}
	r.advanceEjections(p, now)
	return len(p.available) > 0
}

// Capacity returns the number of the pool's slots available to this entry when the given number of
// live entries share the pool.
func (r *Router) Capacity(name string, entries int, now time.Time) float64 {
	p, known := r.pools[name]
	if !known {
		return 0
	}
	r.advanceEjections(p, now)
	return float64(p.usableSlots) / float64(max(entries, 1))
}

// Load returns the fraction of the pool's slots that is filled by the calls of all entries, or 1 if
// the pool has no usable slots.
func (r *Router) Load(name string) float64 {
	p, known := r.pools[name]
	if !known || p.usableSlots == 0 {
		return 1
	}
	return float64(p.calls) / float64(p.usableSlots)
}

// OverdueAfter returns how long a call may be silent before it counts against its endpoint.
// expected is the usual duration of the call's stage. The result is 0 while the pool's usual call
// duration is unknown.
func (r *Router) OverdueAfter(name string, expected time.Duration) time.Duration {
	p, known := r.pools[name]
	if !known {
		return 0
	}
	return p.health.SilenceTimeout(expected)
}

// activeList holds the endpoints that are reported to peers.
type activeList struct{ all []*endpoint }

func (a *activeList) set(e *endpoint, on bool) {
	switch {
	case on && e.activeIndex < 0:
		e.activeIndex = len(a.all)
		a.all = append(a.all, e)
	case !on && e.activeIndex >= 0:
		last := len(a.all) - 1
		moved := a.all[last]
		a.all[e.activeIndex] = moved
		moved.activeIndex = e.activeIndex
		a.all[last] = nil
		a.all = a.all[:last]
		e.activeIndex = -1
	}
}
