// Package selector chooses the endpoint of a service for each call, by the work queued at each endpoint and the prompt
// parts that each one is likely to have cached. It has no clock or random source of its own: callers pass in the
// current time and the random source.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/ejector"
	"geraniumline/estimator"
	"geraniumline/hasher"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/switcher"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultCallTokens is the work of a call in addition to its prompt, in prompt tokens. A call delays the tokens of
	// all concurrent calls about as much as this many prompt tokens, at an engine step of 5 ms and 40 prompt tokens a
	// millisecond.
	DefaultCallTokens = 400
	// DefaultCrossZoneTokens is the cost of moving a megabyte of stage results between availability zones, in prompt
	// tokens. The users' sheets price such a transfer like the processing of some 450 tokens.
	DefaultCrossZoneTokens = 450
	// rereadWeight is the cost of processing a shared token again, relative to a queued token. With it, a prompt of
	// 13,000 shared tokens goes to the endpoint that holds it until some 30,000 tokens, less than a second of work, are
	// queued there.
	rereadWeight = 2.5
	// maxRememberedPrefixes limits the prompt prefixes remembered per endpoint.
	maxRememberedPrefixes = 512
)

// Part is one part of a prompt. Endpoints cache the parts that several requests share.
type Part struct {
	ID     uint64
	Tokens int
}

// Query describes what a call requires.
type Query struct {
	Service string
	// Parts are the parts of the prompt in order. It is empty for plain calls.
	Parts []Part
	// Exclude lists the IDs of endpoints that were already tried.
	Exclude []string
	// NoProbe keeps the call away from endpoints on probe. It is set for calls that must not be repeated, since a
	// failed probe would reach the caller.
	NoProbe bool
	// Regions are the regions that the call may go to. Nil allows all regions.
	Regions []string
	// Version is the only version of endpoints' software that the call may go to. Nil allows all versions.
	Version *string
	// ZoneBytes is the size of the stage results that the endpoint will fetch, by the zone that stores them.
	ZoneBytes map[string]int64
}

// admits reports whether the call may go to endpoints of e's region and version.
func (q *Query) admits(e *registrar.Endpoint) bool {
	if q.Version != nil && *q.Version != e.Version {
		return false
	}
	return q.Regions == nil || slices.Contains(q.Regions, e.Region)
}

// Choice is the endpoint chosen for a call.
type Choice struct {
	Endpoint registrar.Endpoint
	// Tokens is the work that the call adds at the endpoint. It is subtracted again when the call ends.
	Tokens int
	// Cached is the number of prompt tokens that the endpoint is believed to have cached.
	Cached int
	// FirstEvent is the predicted time to the first event, with the work that is queued at the endpoint.
	FirstEvent time.Duration
	// UncachedFirstEvent is the same for the case that the endpoint has nothing of the prompt cached, although that is
	// believed.
	UncachedFirstEvent time.Duration
	// Deviation is the mean absolute deviation of such predictions.
	Deviation time.Duration
	// queued is the work that was known to be at the endpoint, in tokens.
	queued int
	// generation is that of the endpoint when it was chosen, and refusals the number of calls that it had refused by
	// then.
	generation uint64
	refusals   int
}

// Config configures a Selector. Zero fields take the defaults above.
type Config struct {
	// Self is the name of this entry.
	Self string
	// Gate limits the calls to endpoints that accept only a few. Nil sends to them like to any other endpoint.
	Gate            Gate
	Rand            *rand.Rand
	CallTokens      int
	CrossZoneTokens int
	Ejector         ejector.Config
	// Disabled are the mechanisms that are switched off.
	Disabled switcher.Disabled
}

// Selector tracks the endpoints of all services and the outstanding work at each of them.
type Selector struct {
	cfg         Config
	pools       map[string]*pool
	byID        map[string]*endpoint
	peerWork    map[string]map[string]int
	generations uint64
	// listings counts the calls of SetEndpoints.
	listings uint64
	selfHash uint64
	// peerWorkUnknown is set if peers don't report their work to this entry.
	peerWorkUnknown bool
	// promptsKnown is set if peers report to this entry where they send prompts.
	promptsKnown bool
	// busy holds the endpoints with work from this entry, and refusing those that may have refused consecutive calls.
	busy     map[*endpoint]bool
	refusing map[*endpoint]bool
	// unreachable holds the endpoints that may recently have refused a connection of this entry.
	unreachable map[*endpoint]bool
}

type pool struct {
	endpoints []*endpoint
	lists     candidateLists
	health    ejector.Pool
	// fit predicts the usual time to the first event, and speeds compares the endpoints by it.
	fit    estimator.Fit
	speeds estimator.Speeds
	// coldPerSecond is the number of calls a second that a cold endpoint accepts.
	coldPerSecond float64
	// reports holds the endpoints that peers have reported as unreachable.
	reports regulator.PeerReports
}

type endpoint struct {
	*registrar.Endpoint
	// The fields up to report are read for each choice; they are close to each other since there may be thousands of
	// endpoints.
	hash uint64
	// tokens is this entry's own work at the endpoint, and peerTokens is that of all peers.
	tokens     int
	peerTokens int
	cache      prefixSet
	health     ejector.Record
	speed      estimator.Speed
	// backoff diverts calls to other endpoints for a while after refusals.
	backoff regulator.Backoff
	// report is the latest report of a peer that the endpoint is unreachable.
	report unreachableReport
	pool   *pool
	// calls is the number of this entry's own calls at the endpoint.
	calls int
	// generation distinguishes this endpoint from earlier ones with the same ID that were removed.
	generation uint64
	// listing is the latest call of SetEndpoints that contained the endpoint.
	listing uint64
	// unreachableAt is when the endpoint's address last refused a connection of this entry.
	unreachableAt time.Time
}

// New returns a selector without endpoints.
func New(cfg Config) *Selector {
	if cfg.CallTokens == 0 {
		cfg.CallTokens = DefaultCallTokens
	}
	if cfg.CrossZoneTokens == 0 {
		cfg.CrossZoneTokens = DefaultCrossZoneTokens
	}
	return &Selector{
		cfg:      cfg,
		pools:    make(map[string]*pool),
		byID:     make(map[string]*endpoint),
		peerWork: make(map[string]map[string]int),
		selfHash: xxhash.Sum64String(cfg.Self),
		busy:     make(map[*endpoint]bool),

		refusing:    make(map[*endpoint]bool),
		unreachable: make(map[*endpoint]bool),
	}
}

// SetEndpoints replaces the set of endpoints that may get work.
// The endpoints must not be changed afterwards.
func (s *Selector) SetEndpoints(all []*registrar.Endpoint) {
	s.listings++
	for _, e := range all {
		known, ok := s.byID[e.ID]
		if ok && known.SameIncarnation(e) {
			if e.BecameColdSince(known.Endpoint) {
				known.cache = prefixSet{}
			}
			known.Endpoint = e
			known.listing = s.listings
			continue
		}
		if ok {
			s.removeRestarted(known)
		}
		s.add(e)
	}
	for _, e := range s.byID {
		if e.listing != s.listings {
			s.remove(e)
		}
	}
}

// SetColdRate sets the number of calls a second that a cold endpoint of the service accepts.
func (s *Selector) SetColdRate(service string, perSecond float64) {
	s.pool(service).coldPerSecond = perSecond
}

func (s *Selector) pool(service string) *pool {
	p, known := s.pools[service]
	if !known {
		p = &pool{health: ejector.NewPool(s.cfg.Ejector)}
		s.pools[service] = p
	}
	return p
}

func (s *Selector) add(e *registrar.Endpoint) {
	p := s.pool(e.Service)
	s.generations++
	added := &endpoint{Endpoint: e, listing: s.listings, hash: xxhash.Sum64String(e.ID), generation: s.generations, pool: p}
	for _, tokens := range s.peerWork {
		added.peerTokens += tokens[e.ID]
	}
	p.endpoints = append(p.endpoints, added)
	p.health.Add()
	s.byID[e.ID] = added
}

func (s *Selector) remove(e *endpoint) {
	delete(s.busy, e)
	delete(s.refusing, e)
	delete(s.unreachable, e)
	e.pool.health.Remove(&e.health)
	e.pool.endpoints = slices.DeleteFunc(e.pool.endpoints, func(other *endpoint) bool { return other == e })
	delete(s.byID, e.ID)
}

// removeRestarted removes an endpoint that has restarted, together with the work that peers reported for its earlier
// start.
func (s *Selector) removeRestarted(e *endpoint) {
	s.remove(e)
	for _, work := range s.peerWork {
		delete(work, e.ID)
	}
}

// chosenEndpoint returns the endpoint of a choice. It returns false if the endpoint has since ended, restarted or been
// removed for a while: calls from before that are no longer counted and must not be subtracted.
func (s *Selector) chosenEndpoint(choice *Choice) (*endpoint, bool) {
	e, known := s.byID[choice.Endpoint.ID]
	if !known || e.generation != choice.generation {
		return nil, false
	}
	return e, true
}

// EndpointCount returns the number of endpoints of the service that may get work.
func (s *Selector) EndpointCount(service string) int {
	p, known := s.pools[service]
	if !known {
		return 0
	}
	return len(p.endpoints)
}

// EndpointIDs lists the IDs of the service's endpoints that may get work.
func (s *Selector) EndpointIDs(service string) []string {
	p, known := s.pools[service]
	if !known {
		return nil
	}
	ids := make([]string, len(p.endpoints))
	for i, e := range p.endpoints {
		ids[i] = e.ID
	}
	return ids
}

// InterchangeableIDs lists the IDs of the service's endpoints that are in use or on probe, in sorted order, for each
// region.
func (s *Selector) InterchangeableIDs(service string, now time.Time) [][]string {
	p, known := s.pools[service]
	if !known {
		return nil
	}
	byRegion := make(map[string][]string)
	for _, e := range p.endpoints {
		if e.health.State() != ejector.Ejected || !now.Before(e.health.Until()) {
			byRegion[e.Region] = append(byRegion[e.Region], e.ID)
		}
	}
	var groups [][]string
	for _, ids := range byRegion {
		slices.Sort(ids)
		groups = append(groups, ids)
	}
	return groups
}

// ColdCount returns the number of endpoints in slow start.
func (s *Selector) ColdCount(now time.Time) (n int) {
	for _, e := range s.byID {
		if e.Cold(now) {
			n++
		}
	}
	return n
}

// Choose returns the endpoint with the least predicted time. It returns false if the service is unknown or no endpoint
// is eligible.
func (s *Selector) Choose(query Query, now time.Time) (Choice, bool) {
	p, known := s.pools[query.Service]
	if !known {
		return Choice{}, false
	}
	candidates := p.candidates(&query, s.cfg.Gate, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	call := callOf(&query)
	home := s.homeEndpoints(p, &query, call.keys, now)
	var chosen *endpoint
	bestScore, bestCached := 0.0, 0
	sampled, sample := s.promptsKnown && len(candidates) > smallPool, newSample(&call, home)
	start := s.cfg.Rand.IntN(len(candidates))
	for i := range candidates {
		at := start + i
		if at >= len(candidates) {
			at -= len(candidates)
		}
		e := candidates[at]
		if sampled && !sample.includes(e) {
			continue
		}
		cached, score := s.score(e, &call, home)
		if chosen == nil || score < bestScore || score == bestScore && s.preferred(e, chosen) {
			chosen, bestScore, bestCached = e, score, cached
		}
	}
	best := Choice{
		Endpoint:   *chosen.Endpoint,
		Tokens:     call.prompt - bestCached + s.cfg.CallTokens,
		Cached:     bestCached,
		queued:     chosen.tokens + chosen.peerTokens,
		generation: chosen.generation,
		refusals:   chosen.backoff.TotalRefusals(),
	}
	best.Deviation = p.fit.Deviation()
	factor := chosen.health.Slowness() * s.speedFactor(chosen)
	best.FirstEvent = time.Duration(factor * float64(p.fit.Predict(best.work())))
	best.UncachedFirstEvent = time.Duration(factor * float64(p.fit.Predict(best.uncachedWork())))
	return best, true
}

// HasEndpoint reports whether an endpoint is eligible for the call.
func (s *Selector) HasEndpoint(query Query, now time.Time) bool {
	p, known := s.pools[query.Service]
	return known && len(p.candidates(&query, s.cfg.Gate, now)) > 0
}

// Lists reports whether the service has an endpoint of a region and version that the query allows, whether or not it takes
// calls at present.
func (s *Selector) Lists(query Query) bool {
	p, known := s.pools[query.Service]
	return known && slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return query.admits(e.Endpoint) })
}

// preferred reports whether this entry sends to e rather than to another endpoint with as little work. While peers' work
// is unknown, each entry has an order of preference of its own, so that it uses a few endpoints over connections that
// are open already and all entries together use all endpoints. Otherwise the choice is random.
func (s *Selector) preferred(e, other *endpoint) bool {
	return s.peerWorkUnknown && hasher.Mix(s.selfHash^e.hash) > hasher.Mix(s.selfHash^other.hash)
}

// allowed reports whether the call may go to the endpoint at all.
func (p *pool) allowed(e *endpoint, query *Query, gate Gate, now time.Time) bool {
	if slices.Contains(query.Exclude, e.ID) || !query.admits(e.Endpoint) {
		return false
	}
	return gate == nil || gate.Allows(e.Endpoint, p.coldPerSecond, now)
}

// candidates returns the endpoints that may take the call: either those that are in use, have not just refused a call
// and are reachable to peers, or one that is due for a probe. The result is valid until the next call.
func (p *pool) candidates(query *Query, gate Gate, now time.Time) []*endpoint {
	l := &p.lists
	l.reset()
	for _, e := range p.endpoints {
		p.health.StartDueProbe(&e.health, now)
		if !p.allowed(e, query, gate, now) {
			continue
		}
		switch {
		case e.deferred(now):
			l.refusing = append(l.refusing, e)
		case e.health.State() == ejector.InUse:
			l.usable = append(l.usable, e)
		case e.health.State() == ejector.Probing && e.calls == 0:
			l.probing = append(l.probing, e)
		default:
			l.unavailable = append(l.unavailable, e)
		}
	}
	switch {
	case len(l.probing) > 0 && !query.NoProbe && len(query.Exclude) == 0:
		// If healthy endpoints always went first, an idle pool would never probe this one.
		return l.probing[:1]
	case len(l.usable) > 0:
		return l.usable
	case len(l.refusing) > 0:
		return l.refusing
	case len(l.probing) > 0:
		return l.probing
	default:
		return l.unavailable
	}
}

// candidateLists are the endpoints of a pool by their availability for a call. They are kept to reuse their memory.
type candidateLists struct {
	usable, refusing, probing, unavailable []*endpoint
}

func (l *candidateLists) reset() {
	for _, list := range []*[]*endpoint{&l.usable, &l.refusing, &l.probing, &l.unavailable} {
		clear(*list)
		*list = (*list)[:0]
	}
}

// call is a query with what is the same for all endpoints.
type call struct {
	*Query
	keys []uint64
	// prompt and shared are the sizes of the whole prompt and of the parts that other requests may share, in tokens.
	prompt, shared int
}

func callOf(query *Query) call {
	return call{Query: query, keys: prefixKeys(query.Parts), prompt: promptTokens(query.Parts), shared: SharedTokens(query.Parts)}
}

// score returns the work before the call's first token at the endpoint, in prompt tokens of an endpoint of the usual
// speed, and the number of prompt tokens that it is believed to have cached. A prompt leaves a home that is slow or loaded
// once reading its shared parts elsewhere takes less, weighed with rereadWeight.
func (s *Selector) score(e *endpoint, c *call, home []*endpoint) (cached int, score float64) {
	cached, assumed := s.cachedTokens(e, c, slices.Index(home, e))
	own := c.prompt - assumed + s.cfg.CallTokens
	score = float64(e.tokens+e.peerTokens+own) + (rereadWeight-1)*float64(c.shared-assumed)
	score *= e.health.Slowness() * s.speedFactor(e)
	if len(c.ZoneBytes) == 0 {
		return cached, score
	}
	for zone, n := range c.ZoneBytes {
		if zone != e.Zone && !s.cfg.Disabled.Has(switcher.NearResults) {
			score += float64(n) / 1e6 * float64(s.cfg.CrossZoneTokens)
		}
	}
	return cached, score
}
