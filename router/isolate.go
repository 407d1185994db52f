package router

import (
	"slices"
	"time"

	"geraniumline/ejector"
)

// Reserve reserves an endpoint for one call that must run alone, and returns its address. The
// endpoint receives no other call from this entry until Release; calls already in flight finish
// first, see Idle.
//
// The call may crash the endpoint's process. When an endpoint was lost, all entries that had calls
// there reserve another one at the same moment. Each chooses from its own part of the pool, so that
// the harmless call of one entry is not lost with the harmful call of another. A pool with fewer
// endpoints than entries also needs turns, see IsolationTurn.
func (r *Router) Reserve(query Query, now time.Time) (string, bool) {
	p, known := r.pools[query.Pool]
	if !known {
		return "", false
	}
	r.advanceEjections(p, now)
	best := r.leastLoadedOfPart(p, &query, now)
	if best == nil || best.reserved {
		return "", false
	}
	best.reserved = true
	p.reserved++
	r.refresh(best)
	return best.address, true
}

// leastLoadedOfPart returns the endpoint with the fewest calls in this entry's part of the pool, or
// nil. It prefers endpoints that are not reserved.
func (r *Router) leastLoadedOfPart(p *pool, query *Query, now time.Time) *endpoint {
	n := 0
	for _, e := range p.ring {
		if e.canIsolate(query, now) {
			n++
		}
	}
	var best *endpoint
	position := 0
	for _, e := range p.ring {
		if !e.canIsolate(query, now) {
			continue
		}
		inOwnPart := position%r.entries == r.index%min(n, r.entries)
		position++
		if inOwnPart && (best == nil || best.reserved || !e.reserved && e.calls() < best.calls()) {
			best = e
		}
	}
	return best
}

func (e *endpoint) canIsolate(query *Query, now time.Time) bool {
	return !e.leaving() && e.health.State() == ejector.InUse && !slices.Contains(query.Avoid, e.address) && !query.lacksModel(e, now)
}

// IsolationTurn returns the number of other entries that run isolated calls in the same part of the
// pool before this entry does.
func (r *Router) IsolationTurn(name string) int {
	p, known := r.pools[name]
	if !known || len(p.all) < 2 {
		return 0
	}
	return r.index / (len(p.all) - 1)
}

// Idle reports whether a reserved endpoint has no calls of this entry left, so that the isolated
// call can start. usable is false if the endpoint is no longer worth waiting for.
func (r *Router) Idle(address string) (idle, usable bool) {
	e, known := r.endpoints[address]
	if !known || e.leaving() || e.health.State() == ejector.Ejected {
		return false, false
	}
	return e.inFlight == 0, true
}

// Release ends the reservation of an endpoint.
func (r *Router) Release(address string) {
	e, known := r.endpoints[address]
	if !known || !e.reserved {
		return
	}
	e.reserved = false
	e.pool.reserved--
	r.refresh(e)
}
