package router

import (
	"slices"
	"time"

	"geraniumline/ejector"
)

const (
	// homesPerPrefix is the number of endpoints on the hash ring that are preferred for a prompt
	// prefix.
	homesPerPrefix = 2
	// probeCandidates limits how many unhealthy endpoints are checked when looking for one to
	// probe.
	probeCandidates = 4
	// assumedHomeReuse is the cached fraction that is assumed at a home endpoint whose cache is not
	// known to hold the prefix. It is high enough that entries without cache information send the
	// same prefix to the same endpoint.
	assumedHomeReuse = 0.5
)

// Query describes what a stage call requires of an endpoint.
type Query struct {
	Pool string
	// Prefix identifies the prompt, for pools that cache prompts.
	Prefix Prefix
	// Avoid lists the addresses that were already tried.
	Avoid []string
	// NoProbe excludes endpoints that are being probed. A stage that must not be repeated sets it,
	// since a failed probe would leave its outcome unknown.
	NoProbe bool
	// Model is the model that the endpoint must hold. LacksModel reports whether an endpoint is
	// known not to hold it and would refuse the call; it is nil for pools whose models are unknown.
	Model      string
	LacksModel func(address, model string, now time.Time) bool
}

// lacksModel reports whether the endpoint is known not to hold the model of the call.
func (q *Query) lacksModel(e *endpoint, now time.Time) bool {
	return q.LacksModel != nil && q.Model != "" && q.LacksModel(e.address, q.Model, now)
}

// candidate is the best endpoint found so far.
type candidate struct {
	endpoint *endpoint
	score    float64
}

// Choose returns the address of a free endpoint of the pool, or false if all are full, leaving or
// ejected. An address in Avoid is returned only if no other endpoint is free.
//
// It scores a few random free endpoints and the home endpoints of the prompt's prefix, and returns
// the one with the lowest load minus the value of its cache. Random sampling keeps entries that all
// see the same outdated loads from choosing the same endpoint.
func (r *Router) Choose(query Query, now time.Time) (string, bool) {
	p, known := r.pools[query.Pool]
	if !known {
		return "", false
	}
	r.advanceEjections(p, now)
	if e := r.endpointToProbe(p, &query, now); e != nil {
		return e.address, true
	}
	best := r.bestOfSample(p, &query, now)
	if best.endpoint == nil {
		best = r.anyFree(p, &query, now)
	}
	if best.endpoint == nil {
		return "", false
	}
	return best.endpoint.address, true
}

// endpointToProbe returns an endpoint that is due for a probe, or nil. It takes precedence over
// healthy endpoints, because a pool with little traffic would otherwise never retry it.
func (r *Router) endpointToProbe(p *pool, query *Query, now time.Time) *endpoint {
	if query.NoProbe || len(p.unhealthy) == 0 || len(query.Avoid) > 0 {
		return nil
	}
	n := len(p.unhealthy)
	start := r.cfg.Rand.IntN(n)
	for i := range min(n, probeCandidates) {
		e := p.unhealthy[(start+i)%n]
		if e.health.State() == ejector.Probing && e.availableIndex >= 0 && !query.lacksModel(e, now) {
			return e
		}
	}
	return nil
}

func (r *Router) bestOfSample(p *pool, query *Query, now time.Time) candidate {
	best := candidate{}
	n := len(p.available)
	if n == 0 {
		return best
	}
	for range min(r.cfg.Candidates, n) {
		r.consider(&best, p.available[r.cfg.Rand.IntN(n)], query, 0, now)
	}
	if !p.cachesPrompts || query.Prefix.count == 0 {
		return best
	}
	first, _ := slices.BinarySearchFunc(p.ring, query.Prefix.homeHash(), compareRingHash)
	for i := range min(homesPerPrefix, len(p.ring)) {
		e := p.ring[(first+i)%len(p.ring)]
		if e.availableIndex >= 0 {
			r.consider(&best, e, query, assumedHomeReuse/float64(i+1), now)
		}
	}
	return best
}

// consider replaces best with the endpoint if the endpoint's score is lower.
func (r *Router) consider(best *candidate, e *endpoint, query *Query, assumed float64, now time.Time) {
	if e.health.State() != ejector.InUse || slices.Contains(query.Avoid, e.address) || query.lacksModel(e, now) {
		return
	}
	score := e.load(now)
	if e.pool.cachesPrompts {
		score -= r.cfg.ReuseWeight * max(query.Prefix.cachedFraction(e.cache), assumed)
	}
	if best.endpoint == nil || score < best.score {
		*best = candidate{endpoint: e, score: score}
	}
}

// anyFree returns a free endpoint when the sample held no usable one. It prefers endpoints that
// were not tried.
func (r *Router) anyFree(p *pool, query *Query, now time.Time) candidate {
	var tried, onProbe *endpoint
	n := len(p.available)
	if n == 0 {
		return candidate{}
	}
	start := r.cfg.Rand.IntN(n)
	for i := range n {
		e := p.available[(start+i)%n]
		switch {
		case query.lacksModel(e, now):
		case e.health.State() != ejector.InUse:
			onProbe = e
		case slices.Contains(query.Avoid, e.address):
			tried = e
		default:
			return candidate{endpoint: e}
		}
	}
	if tried == nil && p.usableSlots == p.probeSlots {
		return candidate{endpoint: onProbe}
	}
	return candidate{endpoint: tried}
}
