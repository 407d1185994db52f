package router

import (
	"slices"
	"time"

	"geraniumline/ejector"
)

const (
	// maxReservedShare is the greatest part of a pool that is kept for calls that run alone.
	maxReservedShare = 0.3
	// reserveCandidates is how many endpoints are looked at for one that is idle.
	reserveCandidates = 16
)

// Reserve keeps an endpoint for one call that is to run alone, and tells which. It gets no other call of
// this entry until Release; what it has in flight ends first, see Idle. It prefers one that has no call
// of any entry.
func (r *Router) Reserve(name string, avoid []string, now time.Time) (string, bool) {
	p, known := r.pools[name]
	if !known || len(p.all) == 0 {
		return "", false
	}
	r.advance(p, now)
	if p.reserved+1 > max(1, int(maxReservedShare*float64(len(p.all)))) {
		return "", false
	}
	best := r.leastCalls(p, avoid)
	if best == nil && len(avoid) > 0 {
		best = r.leastCalls(p, nil)
	}
	if best == nil {
		return "", false
	}
	best.reserved = true
	p.reserved++
	r.refresh(best)
	return best.address, true
}

func (r *Router) leastCalls(p *pool, avoid []string) *endpoint {
	var best *endpoint
	start := r.cfg.Rand.IntN(len(p.all))
	seen := 0
	for i := range p.all {
		e := p.all[(start+i)%len(p.all)]
		if e.leaving() || e.reserved || e.health.State() != ejector.InUse || slices.Contains(avoid, e.address) {
			continue
		}
		if best == nil || e.calls() < best.calls() {
			best = e
		}
		seen++
		if seen == reserveCandidates || best.calls() == 0 {
			break
		}
	}
	return best
}

// Idle tells whether a reserved endpoint has no call of this entry left, and so can take the call that
// it is kept for; usable is false when it must not be waited for.
func (r *Router) Idle(address string) (idle, usable bool) {
	e, known := r.endpoints[address]
	if !known || e.leaving() || e.health.State() == ejector.Ejected {
		return false, false
	}
	return e.inFlight == 0, true
}

// Release ends Reserve.
func (r *Router) Release(address string) {
	e, known := r.endpoints[address]
	if !known || !e.reserved {
		return
	}
	e.reserved = false
	e.pool.reserved--
	r.refresh(e)
}
