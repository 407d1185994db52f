package selector

import (
	"slices"
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
)

// unreportedShare is the part of a prompt's shared parts that its home is assumed to have cached although no entry has
// reported to have sent it there: peers report some tenths of a second late. With it, entries that get a new prompt at the
// same time send it to the same endpoint unless that one is loaded.
const unreportedShare = 0.25

const (
	// smallPool is the largest pool whose endpoints are all compared for each call.
	smallPool = 16
	// randomCandidates is the number of random endpoints that are compared in a larger pool, and nearCandidates that of
	// further ones in the zone of the call's inputs.
	randomCandidates = 3
	nearCandidates   = 3
)

// SetPromptsKnown sets whether peers report to this entry where they send prompts. If they do, a prompt is taken for cached
// where an entry has sent it, and otherwise at its home, where every entry sends it first.
func (s *Selector) SetPromptsKnown(known bool) { s.promptsKnown = known }

// PromptsKnown reports whether peers report to this entry where they send prompts.
func (s *Selector) PromptsKnown() bool { return s.promptsKnown }

// SharedPrefixes returns the keys of the prefixes of a prompt that other prompts may share, from the shortest to the longest.
func SharedPrefixes(parts []Part) []uint64 {
	keys := prefixKeys(parts)
	return keys[:max(len(keys)-1, 0)]
}

// RecordPeerPrompt records that a peer has sent a prompt with the given prefixes to an endpoint process. It is dropped if
// another process has taken the endpoint's place.
func (s *Selector) RecordPeerPrompt(id string, started time.Time, prefixes []uint64) {
	e, known := s.byID[id]
	if !known || !e.SameIncarnation(&registrar.Endpoint{ID: id, Started: started}) {
		return
	}
	e.cache.add(prefixes)
}

// cachedTokens returns how many of a prompt's shared tokens the endpoint has most likely cached, and how many it is taken to
// have cached for the choice between endpoints. rank is the endpoint's rank among the prompt's homes, or below 0.
func (s *Selector) cachedTokens(e *endpoint, c *call, rank int) (cached, assumed int) {
	cached = min(e.cache.heldTokens(c.keys, c.Parts), c.shared)
	if s.promptsKnown {
		if cached == c.shared {
			return cached, cached
		}
		if rank < 0 {
			return cached, 0
		}
		return cached, int(unreportedShare * float64(c.shared>>rank))
	}
	if rank >= 0 {
		// This entry may not have sent the parts here yet, but every entry sends them here first.
		cached = max(cached, c.shared>>rank)
	}
	return cached, cached
}

// sample decides which endpoints of a large pool are compared for one call: those that have cached the prompt, its homes, and
// a few random ones, some of them where most of the call's inputs are. If each entry compared all endpoints by loads that are
// some tenths of a second old, all entries would send to the same few endpoints at once.
type sample struct {
	call *call
	home []*endpoint
	// nearZone is the zone of most inputs, empty if there are none.
	nearZone string
	// random and near are the numbers of endpoints that may still be compared by chance.
	random, near int
}

func newSample(c *call, home []*endpoint) sample {
	return sample{call: c, home: home, nearZone: c.largestInputZone(), random: randomCandidates, near: nearCandidates}
}

// includes reports whether the endpoint is compared. It must be called with the endpoints from a random one on.
func (m *sample) includes(e *endpoint) bool {
	switch {
	case slices.Contains(m.home, e), m.call.shared > 0 && e.cache.heldTokens(m.call.keys, m.call.Parts) >= m.call.shared:
		return true
	case m.random > 0:
		m.random--
		return true
	case m.near > 0 && m.nearZone != "" && e.Zone == m.nearZone:
		m.near--
		return true
	default:
		return false
	}
}

// largestInputZone returns the zone that stores most of the call's inputs, or an empty string without inputs.
func (c *call) largestInputZone() string {
	zone, most := "", int64(0)
	for z, n := range c.ZoneBytes {
		if n > most || n == most && z < zone {
			zone, most = z, n
		}
	}
	return zone
}

// holder returns the endpoint in use with the least work that has cached all shared parts of a prompt.
func (s *Selector) holder(p *pool, c *call) (*endpoint, bool) {
	var best *endpoint
	for _, e := range p.endpoints {
		if e.health.State() != ejector.InUse || e.cache.heldTokens(c.keys, c.Parts) < c.shared {
			continue
		}
		if c.Regions != nil && !slices.Contains(c.Regions, e.Region) {
			continue
		}
		if best == nil || e.tokens+e.peerTokens < best.tokens+best.peerTokens {
			best = e
		}
	}
	return best, best != nil
}
