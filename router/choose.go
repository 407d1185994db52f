package router

import (
	"slices"
	"time"

	"geraniumline/ejector"
)

const (
	// homes is how many endpoints on the ring a prompt's prefix may be at home at.
	homes = 2
	// probeCandidates bounds the endpoints that are looked at for one that waits for its probe.
	probeCandidates = 4
	// homeReuse is the reuse that is assumed at a home whose cache is not known to hold the prefix:
	// enough that entries which know nothing send the same prefix to the same endpoint.
	homeReuse = 0.5
)

// Query says what a stage call needs of an endpoint.
type Query struct {
	Pool string
	// Prefix is of the prompt, for pools that cache prompts.
	Prefix Prefix
	// Avoid holds the addresses that were tried already.
	Avoid []string
	// NoProbe keeps the call from an endpoint that is on probe: for a stage that must not be repeated
	// a failed probe would leave the outcome unknown.
	NoProbe bool
	// Model is what the endpoint must hold. Lacks tells that an endpoint surely does not: it would refuse the
	// call. Nil for pools whose endpoints' models are not known.
	Model      string
	LacksModel func(address, model string, now time.Time) bool
}

// lacks tells that the endpoint surely can't serve the call's model.
func (a *Query) lacks(e *endpoint, now time.Time) bool {
	return a.LacksModel != nil && a.Model != "" && a.LacksModel(e.address, a.Model, now)
}

// candidate is the best endpoint seen so far.
type candidate struct {
	endpoint *endpoint
	score    float64
}

// Choose names a free endpoint of the pool, or none if all are full, leaving or ejected.
// An address to avoid is named only when no other is free.
//
// It looks at a few free endpoints at random and at the homes of the prompt's prefix, and takes the
// one with the least load less what its cache is worth. A few at random is what keeps entries that
// all see the same lagging loads from choosing the same endpoint.
func (r *Router) Choose(ask Query, now time.Time) (string, bool) {
	p, known := r.pools[ask.Pool]
	if !known {
		return "", false
	}
	r.advance(p, now)
	if e := r.probe(p, &ask, now); e != nil {
		return e.address, true
	}
	best := r.sample(p, &ask, now)
	if best.endpoint == nil {
		best = r.any(p, &ask, now)
	}
	if best.endpoint == nil {
		return "", false
	}
	return best.endpoint.address, true
}

// probe gives an endpoint that waits for its probe. It goes before better ones, since otherwise a
// quiet pool would never try it again.
func (r *Router) probe(p *pool, ask *Query, now time.Time) *endpoint {
	if ask.NoProbe || len(p.out) == 0 || len(ask.Avoid) > 0 {
		return nil
	}
	n := len(p.out)
	start := r.cfg.Rand.IntN(n)
	for i := range min(n, probeCandidates) {
		e := p.out[(start+i)%n]
		if e.health.State() == ejector.Probing && e.freeIndex >= 0 && !ask.lacks(e, now) {
			return e
		}
	}
	return nil
}

func (r *Router) sample(p *pool, ask *Query, now time.Time) candidate {
	best := candidate{}
	n := len(p.available)
	if n == 0 {
		return best
	}
	for range min(r.cfg.Candidates, n) {
		r.weigh(&best, p.available[r.cfg.Rand.IntN(n)], ask, 0, now)
	}
	if !p.caches || ask.Prefix.count == 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(p.ring, ask.Prefix.home(), byRing)
	for i := range min(homes, len(p.ring)) {
		e := p.ring[(at+i)%len(p.ring)]
		if e.freeIndex >= 0 {
			r.weigh(&best, e, ask, homeReuse/float64(i+1), now)
		}
	}
	return best
}

// weigh takes an endpoint as the best if its score is lower.
func (r *Router) weigh(best *candidate, e *endpoint, ask *Query, assumed float64, now time.Time) {
	if e.health.State() != ejector.InUse || slices.Contains(ask.Avoid, e.address) || ask.lacks(e, now) {
		return
	}
	score := e.load(now)
	if e.pool.caches {
		score -= r.cfg.ReuseWeight * max(ask.Prefix.reuse(e.cache), assumed)
	}
	if best.endpoint == nil || score < best.score {
		*best = candidate{endpoint: e, score: score}
	}
}

// any gives a free endpoint when the sample held none that may be taken: first one that was not tried.
func (r *Router) any(p *pool, ask *Query, now time.Time) candidate {
	var tried, onProbe *endpoint
	n := len(p.available)
	if n == 0 {
		return candidate{}
	}
	start := r.cfg.Rand.IntN(n)
	for i := range n {
		e := p.available[(start+i)%n]
		switch {
		case ask.lacks(e, now):
		case e.health.State() != ejector.InUse:
			onProbe = e
		case slices.Contains(ask.Avoid, e.address):
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
