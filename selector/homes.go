package selector

import (
	"math"
	"time"

	"geraniumline/ejector"
	"geraniumline/hasher"
	"geraniumline/switcher"
)

const (
	// homeCount is the number of endpoints that cache a prompt's shared parts. The first one takes all calls it can and
	// the second the overflow, so that the prompt does not spread to all endpoints.
	homeCount = 2
	// minHomeTokens is the minimum size of a prompt's shared parts, in tokens, for a home that is worth waiting for.
	minHomeTokens = 1000
)

// homeEndpoints returns the endpoints that cache the prompt's largest shared part, in order of preference. Endpoints
// that accept only some of the calls for the prompt are skipped.
func (s *Selector) homeEndpoints(p *pool, query *Query, keys []uint64, now time.Time) []*endpoint {
	if len(keys) < 2 || s.cfg.Disabled.Has(switcher.PromptHomes) {
		return nil
	}
	key := keys[s.homePart(query.Parts)]
	var home [homeCount]*endpoint
	var ranks [homeCount]float64
	weigh := p.speeds.Spread() > 0 && !s.peerWorkUnknown
	n := 0
	for _, e := range p.endpoints {
		least := -1.0
		if n == homeCount {
			least = ranks[n-1]
		}
		rank, above := homeRank(e, key, weigh, least)
		if !above || !s.mayBeHome(e, query, now) {
			continue
		}
		n = min(n+1, homeCount)
		i := n - 1
		for ; i > 0 && rank > ranks[i-1]; i-- {
			home[i], ranks[i] = home[i-1], ranks[i-1]
		}
		home[i], ranks[i] = e, rank
	}
	return home[:n]
}

// homeRank ranks the endpoint for a prompt part, and reports whether its rank is above least. Weighed by speed, endpoints are homes of as many parts as they read in
// the same time: an entry with a rank for each moves only parts whose home has changed its speed. Speeds are rounded, so
// that entries agree on most homes although each has its own estimate.
func homeRank(e *endpoint, key uint64, weigh bool, least float64) (rank float64, above bool) {
	hash := float64(hasher.Mix(e.hash ^ key))
	if !weigh {
		return hash, hash > least
	}
	u := (hash + 1) / (1 << 64)
	factor := e.speed.RoundedFactor()
	if least*factor*(1-u) >= 1 {
		// The rank is at most 1/(factor*(1-u)), so most endpoints need no logarithm.
		return 0, false
	}
	rank = -1 / (factor * math.Log(u))
	return rank, rank > least
}

func (s *Selector) mayBeHome(e *endpoint, query *Query, now time.Time) bool {
	return e.health.State() == ejector.InUse && !s.lowCapacity(e, now) && query.admits(e.Endpoint)
}

// homePart returns the index of the part that determines the prompt's home endpoints. A part that most prompts of a kind
// begin with attracts more calls than an endpoint can take, and only an entry that knows its peers' work there can send
// the overflow elsewhere. Without that knowledge, the last shared part is used: the fewest prompts have it, and its home
// caches the parts before it too.
func (s *Selector) homePart(parts []Part) int {
	if (s.peerWorkUnknown || s.promptsKnown) && len(parts) > 1 {
		return len(parts) - 2
	}
	return largestSharedPart(parts)
}

// HomeZone returns the zone that caches a prompt's shared parts, or "" if they are too small for stage results to be
// produced there.
func (s *Selector) HomeZone(service string, parts []Part, regions []string, now time.Time) string {
	p, known := s.pools[service]
	if !known || SharedTokens(parts) < minHomeTokens {
		return ""
	}
	call := callOf(&Query{Parts: parts, Regions: regions})
	if s.promptsKnown {
		if e, found := s.holder(p, &call); found {
			return e.Zone
		}
	}
	home := s.homeEndpoints(p, call.Query, call.keys, now)
	if len(home) == 0 {
		return ""
	}
	return home[0].Zone
}
