package router

import (
	"cmp"
	"slices"
	"time"

	"geraniumline/ejector"
)

// pool is the endpoints that can take each other's calls. Its sums and lists are kept up with each
// change of an endpoint, so that no decision has to look at all of them.
type pool struct {
	name   string
	slots  int
	caches bool
	all    []*endpoint
	// ring is all endpoints by the hash of their address.
	ring []*endpoint
	// available are the endpoints that can take a call now.
	available []*endpoint
	// out are the endpoints that are ejected or on probe.
	out []*endpoint
	// advanceAt is when the next ejection ends, scannedAt when out was looked through last.
	advanceAt time.Time
	scannedAt time.Time
	health    ejector.Pool
	// usableSlots are the slots of all endpoints that are neither leaving nor ejected; probeSlots those
	// among them that are on probe.
	usableSlots int
	probeSlots  int
	// calls is the sum of all entries' calls in flight.
	calls    int
	reserved int
	// callTime is the mean time of a call in nanoseconds.
	callTime float64
}

func (p *pool) add(e *endpoint) {
	e.allIndex = len(p.all)
	p.all = append(p.all, e)
	at, _ := slices.BinarySearchFunc(p.ring, e.ring, byRing)
	p.ring = slices.Insert(p.ring, at, e)
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
	p.listOut(e)
}

func byRing(e *endpoint, hash uint64) int { return cmp.Compare(e.ring, hash) }

// refresh brings the pool's sums and lists up to an endpoint's present state.
func (r *Router) refresh(e *endpoint) {
	p := e.pool
	p.listFree(e, e.free(r.entries))
	p.listOut(e)
	p.usableSlots -= e.usableSlots
	p.probeSlots -= e.probeSlots
	e.countSlots()
	p.usableSlots += e.usableSlots
	p.probeSlots += e.probeSlots
	r.active.set(e, e.inFlight > 0 || e.firstHandLeaving() || e.health.State() != ejector.InUse)
}

// countSlots works out what the endpoint is worth to its pool. One on probe counts: the door refuses
// requests for a pool without capacity, and with none let in no probe would ever go out.
func (e *endpoint) countSlots() {
	e.usableSlots = 0
	e.probeSlots = 0
	if e.leaving() || e.forgotten || e.health.State() == ejector.Ejected {
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

func (p *pool) listFree(e *endpoint, free bool) {
	switch {
	case free && e.freeIndex < 0:
		e.freeIndex = len(p.available)
		p.available = append(p.available, e)
	case !free && e.freeIndex >= 0:
		last := len(p.available) - 1
		moved := p.available[last]
		p.available[e.freeIndex] = moved
		moved.freeIndex = e.freeIndex
		p.available[last] = nil
		p.available = p.available[:last]
		e.freeIndex = -1
	}
}

func (p *pool) listOut(e *endpoint) {
	out := e.health.State() != ejector.InUse
	switch {
	case out && e.outIndex < 0:
		e.outIndex = len(p.out)
		p.out = append(p.out, e)
	case !out && e.outIndex >= 0:
		last := len(p.out) - 1
		moved := p.out[last]
		p.out[e.outIndex] = moved
		moved.outIndex = e.outIndex
		p.out[last] = nil
		p.out = p.out[:last]
		e.outIndex = -1
	}
	if out && e.health.State() == ejector.Ejected && (p.advanceAt.IsZero() || e.health.Until().Before(p.advanceAt)) {
		p.advanceAt = e.health.Until()
	}
}

// scanEvery bounds how often the endpoints that are out are looked through: they may be thousands, and
// each decision asks for it.
const scanEvery = 10 * time.Millisecond

// advance lets ejections end in probes when their time has come, or early when little else is left.
func (r *Router) advance(p *pool, now time.Time) {
	if len(p.out) == 0 || now.Sub(p.scannedAt) < scanEvery {
		return
	}
	if p.usableSlots == 0 || 2*len(p.out) > len(p.all) {
		r.restoreAll(p, now)
		return
	}
	if p.advanceAt.IsZero() || now.Before(p.advanceAt) {
		return
	}
	p.scannedAt = now
	p.advanceAt = time.Time{}
	for _, e := range p.out {
		p.health.StartDueProbe(&e.health, now)
		r.refresh(e)
	}
}

// restoreAll lets the ejected endpoints be probed early: a doubtful endpoint is better than none, and a
// pool that was away as a whole comes back as a whole.
func (r *Router) restoreAll(p *pool, now time.Time) {
	p.scannedAt = now
	for _, e := range p.out {
		p.health.ProbeEarly(&e.health, now)
		r.refresh(e)
	}
}

// HasFree tells whether any endpoint of the pool can take a call.
func (r *Router) HasFree(name string, now time.Time) bool {
	p, known := r.pools[name]
	if !known {
		return false
	}
	r.advance(p, now)
	return len(p.available) > 0
}

// Capacity is the count of slots of the pool that this entry may count on when entries live entries share it.
func (r *Router) Capacity(name string, entries int, now time.Time) float64 {
	p, known := r.pools[name]
	if !known {
		return 0
	}
	r.advance(p, now)
	return float64(p.usableSlots) / float64(max(entries, 1))
}

// Load is the part of the pool's slots that all entries' calls fill.
func (r *Router) Load(name string) float64 {
	p, known := r.pools[name]
	if !known || p.usableSlots == 0 {
		return 1
	}
	return float64(p.calls) / float64(p.usableSlots)
}

// OverdueAfter is the time after which a silent call of a stage, which usually takes expected, counts
// against its endpoint; 0 while the pool's usual time is not known.
func (r *Router) OverdueAfter(name string, expected time.Duration) time.Duration {
	p, known := r.pools[name]
	if !known {
		return 0
	}
	return p.health.SilenceTimeout(expected)
}

// active is the list of endpoints that peers are told of.
type active struct{ all []*endpoint }

func (a *active) set(e *endpoint, on bool) {
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
