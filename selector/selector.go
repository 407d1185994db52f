// Package selector chooses the endpoint of a service that a call goes to, by the work that waits at each and by the
// prompt parts that each is likely to hold. It is pure: the present time and the random source are given to it.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/ejector"
	"geraniumline/hasher"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/switcher"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultCallTokens is what a call counts beside its prompt: it delays the tokens of all calls beside it
	// about as much as this many prompt tokens, at a step of 5 ms and 40 prompt tokens a millisecond.
	DefaultCallTokens = 400
	// DefaultCrossZoneTokens is what a megabyte of stage results that must cross availability zones counts, in prompt
	// tokens: the users' sheets price the crossing of a megabyte like the reading of some 450 tokens.
	DefaultCrossZoneTokens = 450
	// rereadWeight is what the reading of a shared token counts more than a token that waits: a prompt of 13,000
	// shared tokens goes to the endpoint that holds it until some 30,000 tokens, under a second, wait there.
	rereadWeight = 2.5
	// homes is how many endpoints a prompt's shared parts are kept at: the first takes all while it can, the second
	// what the first can't, so that it does not spread over all endpoints.
	homes = 2
	// homeShared is the size of shared parts from which a prompt has a home worth waiting for.
	homeShared = 1000
	// maxRemembered bounds the prompt parts that are remembered of one endpoint.
	maxRemembered = 512
)

// Part is one part of a prompt; endpoints keep parts that several requests share.
type Part struct {
	ID     uint64
	Tokens int
}

// Query says what a call needs.
type Query struct {
	Service string
	// Parts are the prompt's parts in order; empty for plain calls.
	Parts []Part
	// Exclude are the endpoints that were tried already.
	Exclude []string
	// NoProbe keeps the call from an endpoint on probe: the failure of a call that must not be repeated would
	// reach its caller.
	NoProbe bool
	// Regions are those that the call may go to; nil where all are.
	Regions []string
	// ZoneBytes are the stage results that the endpoint will fetch, by the zone in which they lie.
	ZoneBytes map[string]int64
}

// Choice is the endpoint chosen.
type Choice struct {
	Endpoint registrar.Endpoint
	// Tokens is the work that the call adds there, to be given back when it has ended.
	Tokens int
	// Cached is how much of the prompt the endpoint is believed to hold.
	Cached int
	// turn is that of the endpoint's presence, refusals how many calls it had refused.
	turn     uint64
	refusals int
}

// Config sets a Selector up. Zero fields take the defaults above.
type Config struct {
	// Gate bounds the calls to endpoints that bear few; nil sends to them as to any other.
	Gate            Gate
	Rand            *rand.Rand
	CallTokens      int
	CrossZoneTokens int
	Ejector         ejector.Config
	// Disabled are the mechanisms that are switched off.
	Disabled switcher.Disabled
}

// Selector knows the endpoints of all services and the work under way at each.
type Selector struct {
	cfg   Config
	pools map[string]*pool
	byID  map[string]*endpoint
	peers map[string]map[string]int
	turns uint64
	// busy are the endpoints where this entry has work, refusing those that may have refused calls in a row.
	busy     map[*endpoint]bool
	refusing map[*endpoint]bool
}

type pool struct {
	endpoints []*endpoint
	health    ejector.Pool
	// pace is the time for a prompt token, as seen, in nanoseconds.
	pace float64
	// coldPerSecond is how many calls a second a cold endpoint bears.
	coldPerSecond float64
}

type endpoint struct {
	registrar.Endpoint
	hash uint64
	// turn tells this presence of the endpoint from earlier ones.
	turn   uint64
	pool   *pool
	health ejector.Record
	// calls and tokens are this entry's own work there; peerTokens is that of the others.
	calls      int
	tokens     int
	peerTokens int
	cache      memory
	// backoff has calls go elsewhere for a while after refusals.
	backoff regulator.Backoff
}

// New makes a selector that knows no endpoint.
func New(cfg Config) *Selector {
	if cfg.CallTokens == 0 {
		cfg.CallTokens = DefaultCallTokens
	}
	if cfg.CrossZoneTokens == 0 {
		cfg.CrossZoneTokens = DefaultCrossZoneTokens
	}
	return &Selector{
		cfg:   cfg,
		pools: make(map[string]*pool),
		byID:  make(map[string]*endpoint),
		peers: make(map[string]map[string]int),
		busy:  make(map[*endpoint]bool),

		refusing: make(map[*endpoint]bool),
	}
}

// SetEndpoints takes all endpoints that may get work.
func (s *Selector) SetEndpoints(all []registrar.Endpoint) {
	named := make(map[string]bool, len(all))
	for _, e := range all {
		named[e.ID] = true
		known, ok := s.byID[e.ID]
		if ok && known.SameIncarnation(&e) {
			if e.BecameColdSince(&known.Endpoint) {
				known.cache = memory{}
			}
			known.Endpoint = e
			continue
		}
		if ok {
			s.forget(known)
		}
		s.add(e)
	}
	for id, e := range s.byID {
		if !named[id] {
			s.remove(e)
		}
	}
}

// SetColdRate takes how many calls a second a cold endpoint of the service bears.
func (s *Selector) SetColdRate(service string, perSecond float64) {
	s.pool(service).coldPerSecond = perSecond
}

func (s *Selector) pool(service string) *pool {
	p, known := s.pools[service]
	if !known {
		p = &pool{health: ejector.NewPool(s.cfg.Ejector), pace: float64(usualPace)}
		s.pools[service] = p
	}
	return p
}

func (s *Selector) add(e registrar.Endpoint) {
	p := s.pool(e.Service)
	s.turns++
	added := &endpoint{Endpoint: e, hash: xxhash.Sum64String(e.ID), turn: s.turns, pool: p}
	for _, tokens := range s.peers {
		added.peerTokens += tokens[e.ID]
	}
	p.endpoints = append(p.endpoints, added)
	p.health.Add()
	s.byID[e.ID] = added
}

func (s *Selector) remove(e *endpoint) {
	delete(s.busy, e)
	delete(s.refusing, e)
	e.pool.health.Remove(&e.health)
	e.pool.endpoints = slices.DeleteFunc(e.pool.endpoints, func(other *endpoint) bool { return other == e })
	delete(s.byID, e.ID)
}

// forget drops an endpoint that has started again, with what peers said of their work at its earlier start.
func (s *Selector) forget(e *endpoint) {
	s.remove(e)
	for _, work := range s.peers {
		delete(work, e.ID)
	}
}

// chosen gives the endpoint that a choice named, unless it has ended, started again or been out of use as a whole since: its
// calls of before are not counted any more then, and must not be taken off.
func (s *Selector) chosen(choice *Choice) (*endpoint, bool) {
	e, known := s.byID[choice.Endpoint.ID]
	if !known || e.turn != choice.turn {
		return nil, false
	}
	return e, true
}

// EndpointCount tells how many endpoints of the service may get work.
func (s *Selector) EndpointCount(service string) int {
	p, known := s.pools[service]
	if !known {
		return 0
	}
	return len(p.endpoints)
}

// EndpointIDs lists the ids of the service's endpoints that may get work.
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

// ColdCount counts the endpoints that are in their slow start.
func (s *Selector) ColdCount(now time.Time) (n int) {
	for _, e := range s.byID {
		if e.Cold(now) {
			n++
		}
	}
	return n
}

// Choose names the endpoint with the least predicted work, or none if all were tried or are ejected.
func (s *Selector) Choose(query Query, now time.Time) (Choice, bool) {
	p, known := s.pools[query.Service]
	if !known {
		return Choice{}, false
	}
	candidates := p.candidates(&query, s.cfg.Gate, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	keys := chainKeys(query.Parts)
	home := s.homesOf(p, &query, keys, now)
	best, bestScore := Choice{}, 0.0
	start := s.cfg.Rand.IntN(len(candidates))
	for i := range candidates {
		e := candidates[(start+i)%len(candidates)]
		choice, score := s.weigh(e, &query, keys, home)
		if best.Endpoint.ID == "" || score < bestScore {
			best, bestScore = choice, score
		}
	}
	return best, true
}

// allowed tells whether the call may go to the endpoint at all.
func (p *pool) allowed(e *endpoint, query *Query, gate Gate, now time.Time) bool {
	if slices.Contains(query.Exclude, e.ID) || query.Regions != nil && !slices.Contains(query.Regions, e.Region) {
		return false
	}
	return gate == nil || gate.Allows(&e.Endpoint, p.coldPerSecond, now)
}

// candidates are the endpoints that may take the call: those in use that have not just refused one, or one whose probe is due.
func (p *pool) candidates(query *Query, gate Gate, now time.Time) []*endpoint {
	var usable, refusing, probing, out []*endpoint
	for _, e := range p.endpoints {
		p.health.StartDueProbe(&e.health, now)
		if !p.allowed(e, query, gate, now) {
			continue
		}
		switch {
		case e.health.State() == ejector.InUse && e.backoff.Active(now):
			refusing = append(refusing, e)
		case e.health.State() == ejector.InUse:
			usable = append(usable, e)
		case e.health.State() == ejector.Probing && e.calls == 0:
			probing = append(probing, e)
		default:
			out = append(out, e)
		}
	}
	switch {
	case len(probing) > 0 && !query.NoProbe && len(query.Exclude) == 0:
		// A quiet pool would never try it again if better ones always went first.
		return probing[:1]
	case len(usable) > 0:
		return usable
	case len(refusing) > 0:
		return refusing
	case len(probing) > 0:
		return probing
	default:
		return out
	}
}

// weigh gives the work that waits before the call's first token at the endpoint, in prompt tokens.
func (s *Selector) weigh(e *endpoint, query *Query, keys []uint64, home []*endpoint) (Choice, float64) {
	prompt := 0
	for _, part := range query.Parts {
		prompt += part.Tokens
	}
	shared := sharedTokens(query.Parts)
	cached := min(e.cache.held(keys, query.Parts), shared)
	for rank, h := range home {
		if h == e {
			// This entry may not have sent the parts here yet, but all entries send them here first.
			cached = max(cached, shared>>rank)
		}
	}
	own := prompt - cached + s.cfg.CallTokens
	score := float64(e.tokens+e.peerTokens+own) + (rereadWeight-1)*float64(shared-cached)
	score *= e.health.Slowness()
	for zone, n := range query.ZoneBytes {
		if zone != e.Zone && !s.cfg.Disabled.Has(switcher.NearResults) {
			score += float64(n) / 1e6 * float64(s.cfg.CrossZoneTokens)
		}
	}
	return Choice{Endpoint: e.Endpoint, Tokens: own, Cached: cached, turn: e.turn, refusals: e.backoff.TotalRefusals()}, score
}

// homesOf gives the endpoints at which the prompt's largest shared beginning is kept, in their order. An endpoint that bears
// few of the calls that would come for the parts is none.
func (s *Selector) homesOf(p *pool, query *Query, keys []uint64, now time.Time) []*endpoint {
	if len(keys) < 2 || s.cfg.Disabled.Has(switcher.PromptHomes) {
		return nil
	}
	key := keys[largestShared(query.Parts)]
	home := make([]*endpoint, 0, homes)
	for len(home) < homes && len(home) < len(p.endpoints) {
		var best *endpoint
		for _, e := range p.endpoints {
			if slices.Contains(home, e) || e.health.State() != ejector.InUse || s.bearsFew(e, now) {
				continue
			}
			if query.Regions != nil && !slices.Contains(query.Regions, e.Region) {
				continue
			}
			if best == nil || hasher.Mix(e.hash^key) > hasher.Mix(best.hash^key) {
				best = e
			}
		}
		if best == nil {
			break
		}
		home = append(home, best)
	}
	return home
}

// HomeZone gives the zone where a prompt's shared parts are kept, if they are large enough for stage results to be
// made there.
func (s *Selector) HomeZone(service string, parts []Part, regions []string, now time.Time) string {
	p, known := s.pools[service]
	if !known || sharedTokens(parts) < homeShared {
		return ""
	}
	home := s.homesOf(p, &Query{Parts: parts, Regions: regions}, chainKeys(parts), now)
	if len(home) == 0 {
		return ""
	}
	return home[0].Zone
}

// RecordStart counts a call at an endpoint, and takes its prompt parts as held there from now on.
func (s *Selector) RecordStart(choice Choice, parts []Part, now time.Time) {
	e, known := s.chosen(&choice)
	if !known {
		return
	}
	if s.cfg.Gate != nil {
		s.cfg.Gate.RecordSend(&e.Endpoint, e.pool.coldPerSecond, now)
	}
	e.calls++
	s.addWork(e, choice.Tokens)
	e.cache.remember(chainKeys(parts))
}

// RecordPromptRead notes that the call's prompt has been read: only its own running is still work.
func (s *Selector) RecordPromptRead(choice *Choice) {
	e, known := s.chosen(choice)
	left := min(choice.Tokens, s.cfg.CallTokens)
	if known {
		s.addWork(e, left-choice.Tokens)
	}
	choice.Tokens = left
}

// RecordEnd takes a call's end and tells whether the endpoint was ejected, or let back, by it.
func (s *Selector) RecordEnd(choice Choice, end ejector.Outcome, now time.Time) bool {
	e, known := s.chosen(&choice)
	if !known {
		return false
	}
	if choice.refusals == e.backoff.TotalRefusals() {
		// It has refused nothing since the call was sent.
		e.backoff.RecordSuccess()
	}
	e.calls--
	s.addWork(e, -choice.Tokens)
	return e.pool.health.RecordOutcome(&e.health, end, false, now)
}

// RecordCancel takes the end of a call that says nothing of its endpoint.
func (s *Selector) RecordCancel(choice Choice) {
	if e, known := s.chosen(&choice); known {
		e.calls--
		s.addWork(e, -choice.Tokens)
	}
}

// ClassifyDuration compares the time of a good call with its pool's.
func (s *Selector) ClassifyDuration(choice Choice, took, expected time.Duration) ejector.Outcome {
	e, known := s.chosen(&choice)
	if !known {
		return ejector.Good
	}
	return e.pool.health.RecordDuration(&e.health, took, expected)
}

// OwnWork gives the tokens of this entry's calls by endpoint, for peers.
func (s *Selector) OwnWork() map[string]int {
	work := make(map[string]int, len(s.busy))
	for e := range s.busy {
		work[e.ID] = e.tokens
	}
	return work
}

// addWork counts this entry's own work at an endpoint. The busy ones are kept apart: they are told several times a second, and
// are few of the thousands that an entry may know.
func (s *Selector) addWork(e *endpoint, tokens int) {
	e.tokens += tokens
	if e.tokens > 0 {
		s.busy[e] = true
	} else {
		delete(s.busy, e)
	}
}

// SetPeerWork takes the work that a peer has under way. A peer that has ended has none.
func (s *Selector) SetPeerWork(peer string, work map[string]int) {
	for id, tokens := range s.peers[peer] {
		if e, known := s.byID[id]; known {
			e.peerTokens -= tokens
		}
	}
	delete(s.peers, peer)
	if len(work) == 0 {
		return
	}
	s.peers[peer] = work
	for id, tokens := range work {
		if e, known := s.byID[id]; known {
			e.peerTokens += tokens
		}
	}
}
