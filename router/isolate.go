package router

import (
	"slices"
	"time"

	"geraniumline/ejector"
)

// Reserve keeps an endpoint for one call that is to run alone, and tells which. It gets no other call of
// this entry until Release; what it has in flight ends first, see Idle.
//
// The call may end its endpoint's process. When one was lost, all entries that had calls there choose at
// the same moment: each takes from its own part of the pool, so that an innocent call of one is not lost
// with the guilty call of another. A pool with fewer endpoints than entries needs turns besides, see Turn.
func (r *Router) Reserve(ask Query, now time.Time) (string, bool) {
	p, known := r.pools[ask.Pool]
	if !known {
		return "", false
	}
	r.advance(p, now)
	best := r.leastCalls(p, &ask, now)
	if best == nil || best.reserved {
		return "", false
	}
	best.reserved = true
	p.reserved++
	r.refresh(best)
	return best.address, true
}

// leastCalls gives the endpoint of this entry's part of the pool that suits a lone call best.
func (r *Router) leastCalls(p *pool, ask *Query, now time.Time) *endpoint {
	n := 0
	for _, e := range p.ring {
		if e.suitsLone(ask, now) {
			n++
		}
	}
	var best *endpoint
	place := 0
	for _, e := range p.ring {
		if !e.suitsLone(ask, now) {
			continue
		}
		mine := place%r.entries == r.index%min(n, r.entries)
		place++
		if mine && (best == nil || best.reserved || !e.reserved && e.calls() < best.calls()) {
			best = e
		}
	}
	return best
}

func (e *endpoint) suitsLone(ask *Query, now time.Time) bool {
	return !e.leaving() && e.health.State() == ejector.InUse && !slices.Contains(ask.Avoid, e.address) && !ask.lacks(e, now)
}

// IsolationTurn is how many other entries use the same part of the pool for lone calls before this one.
func (r *Router) IsolationTurn(name string) int {
	p, known := r.pools[name]
	if !known || len(p.all) < 2 {
		return 0
	}
	return r.index / (len(p.all) - 1)
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
