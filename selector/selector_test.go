package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
	"geraniumline/registrar"
)

var now = time.Unix(1000, 0)

func newSelector(n int) *Selector {
	s := New(Config{Rand: rand.New(rand.NewPCG(1, 2))})
	s.SetEndpoints(plainEndpoints(n))
	return s
}

func plainEndpoints(n int) []*registrar.Endpoint {
	var all []*registrar.Endpoint
	for i := range n {
		all = append(all, &registrar.Endpoint{
			ID:      fmt.Sprintf("e%d", i),
			Service: "pool",
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone:    fmt.Sprintf("z%d", i%3),
			Started: now.Add(-time.Minute),
		})
	}
	return all
}

func prompt(shared uint64, own uint64) []Part {
	return []Part{{ID: shared, Tokens: 13_000}, {ID: own, Tokens: 3_000}}
}

// choiceOf returns a choice of the endpoint with the given ID.
func (s *Selector) choiceOf(id string, tokens int) Choice {
	return Choice{Endpoint: *s.byID[id].Endpoint, Tokens: tokens, generation: s.byID[id].generation}
}

func TestEntriesAgreeOnPromptHome(t *testing.T) {
	a, b := newSelector(9), newSelector(9)
	for shared := range uint64(40) {
		query := Query{Service: "pool", Parts: prompt(shared, 1000+shared)}
		first, found := a.Choose(query, now)
		require.True(t, found)
		second, found := b.Choose(query, now)
		require.True(t, found)
		require.Equal(t, first.Endpoint.ID, second.Endpoint.ID)
		require.Equal(t, first.Endpoint.Zone, a.HomeZone("pool", query.Parts, nil, now))
	}
}

// A third of all requests share one prompt part, more than its home endpoint can take. The overflow must go to one
// other endpoint and not to all of them, since each would have to process the shared part.
func TestHotPromptSpillsToFewEndpoints(t *testing.T) {
	s := newSelector(9)
	used := map[string]int{}
	for own := range uint64(30) {
		choice, found := s.Choose(Query{Service: "pool", Parts: prompt(7, 100+own)}, now)
		require.True(t, found)
		s.RecordStart(choice, prompt(7, 100+own), now)
		used[choice.Endpoint.ID]++
	}
	require.GreaterOrEqual(t, len(used), 2)
	require.LessOrEqual(t, len(used), 4)
}

func TestPeerWorkAffectsChoice(t *testing.T) {
	s := newSelector(3)
	s.SetPeerWork("peer", map[string]int{"e0": 50_000, "e1": 50_000})
	for range 20 {
		choice, found := s.Choose(Query{Service: "pool"}, now)
		require.True(t, found)
		require.Equal(t, "e2", choice.Endpoint.ID)
	}
	s.SetPeerWork("peer", nil)
	seen := map[string]bool{}
	for range 50 {
		choice, _ := s.Choose(Query{Service: "pool"}, now)
		seen[choice.Endpoint.ID] = true
	}
	require.Len(t, seen, 3)
}

func TestPrefersZoneOfStageResults(t *testing.T) {
	s := newSelector(9)
	for range 20 {
		choice, found := s.Choose(Query{Service: "pool", ZoneBytes: map[string]int64{"z1": 9_000_000}}, now)
		require.True(t, found)
		require.Equal(t, "z1", choice.Endpoint.Zone)
	}
}

func TestExcludedEndpointsAreNotChosen(t *testing.T) {
	s := newSelector(2)
	choice, found := s.Choose(Query{Service: "pool", Exclude: []string{"e0"}}, now)
	require.True(t, found)
	require.Equal(t, "e1", choice.Endpoint.ID)
	_, found = s.Choose(Query{Service: "pool", Exclude: []string{"e0", "e1"}}, now)
	require.False(t, found)
	_, found = s.Choose(Query{Service: "unknown"}, now)
	require.False(t, found)
}

// An endpoint refuses connections. It must get no calls before it is probed, and the probe must not be a request that
// may run only once.
func TestEndpointRefusingConnectionsIsSkipped(t *testing.T) {
	s := newSelector(3)
	down := s.choiceOf("e1", 0)
	s.RecordStart(down, nil, now)
	require.True(t, s.RecordEnd(down, ejector.Down, now))
	for range 50 {
		choice, found := s.Choose(Query{Service: "pool", NoProbe: true}, now.Add(2*time.Second))
		require.True(t, found)
		require.NotEqual(t, "e1", choice.Endpoint.ID)
	}
	choice, _ := s.Choose(Query{Service: "pool"}, now.Add(2*time.Second))
	require.Equal(t, "e1", choice.Endpoint.ID, "a request that may run twice serves as the probe")
}

func TestWorkIsReleased(t *testing.T) {
	s := newSelector(1)
	choice, _ := s.Choose(Query{Service: "pool", Parts: prompt(1, 2)}, now)
	s.RecordStart(choice, prompt(1, 2), now)
	require.Equal(t, choice.Tokens, s.OwnWork()["e0"])
	s.RecordPromptRead(&choice)
	require.Equal(t, DefaultCallTokens, s.OwnWork()["e0"])
	s.RecordEnd(choice, ejector.Good, now)
	require.Empty(t, s.OwnWork())
}

func TestPrefixSetIsBounded(t *testing.T) {
	var m prefixSet
	for i := range uint64(10 * maxRememberedPrefixes) {
		m.add([]uint64{i})
	}
	require.Len(t, m.keys, maxRememberedPrefixes)
	require.Len(t, m.order, maxRememberedPrefixes)
}

// The engines are four times as slow as assumed. Predictions must follow the observed calls.
func TestFirstEventPredictionFollowsObservations(t *testing.T) {
	// overhead is the part of the time that does not depend on the prompt.
	const overhead = 40 * time.Millisecond
	s := newSelector(1)
	before := s.PredictFirstEvent("pool", prompt(1, 2))
	choice := s.choiceOf("e0", 10_000)
	for range 60 {
		s.ObserveFirstEvent(choice, time.Second+overhead, now)
	}
	after := s.PredictFirstEvent("pool", prompt(1, 2))
	require.InDelta(t, 4, float64(after-overhead)/float64(before-overhead), 0.2)
	s.ObserveFirstEvent(s.choiceOf("e0", 10), time.Minute, now)
	require.Equal(t, after, s.PredictFirstEvent("pool", prompt(1, 2)), "a short prompt does not change the token time")
}

// An endpoint crashes under load and restarts with the same ID. Calls of its earlier start must not be subtracted from
// the new one: its work would become negative and attract all calls.
func TestRestartedEndpointStartsWithoutState(t *testing.T) {
	s := newSelector(1)
	query := Query{Service: "pool", Parts: prompt(7, 100)}
	before, found := s.Choose(query, now)
	require.True(t, found)
	s.RecordStart(before, query.Parts, now)
	s.SetPeerWork("peer", map[string]int{"e0": 5_000})
	for range 20 {
		s.RecordEnd(before, ejector.Bad, now)
		s.RecordStart(before, query.Parts, now)
	}
	again := before.Endpoint
	again.Started = now.Add(time.Second)
	s.SetEndpoints([]*registrar.Endpoint{&again})
	s.SetEndpoints([]*registrar.Endpoint{&again})
	require.Empty(t, s.OwnWork())
	require.Zero(t, s.byID["e0"].peerTokens)
	require.Equal(t, ejector.InUse, s.byID["e0"].health.State())
	require.Zero(t, s.byID["e0"].cache.heldTokens(prefixKeys(query.Parts), query.Parts))
	require.False(t, s.RecordEnd(before, ejector.Bad, now))
	s.RecordCancel(before)
	s.SetPeerWork("peer", nil)
	require.Zero(t, s.byID["e0"].calls)
	require.Zero(t, s.byID["e0"].peerTokens)
}

// An endpoint's zone is evacuated while the endpoint has calls, and returns before they end. These calls must not be
// subtracted from the returned endpoint: its work would become negative and attract all calls.
func TestCallsFromBeforeRemovalAreNotCounted(t *testing.T) {
	s := newSelector(2)
	all := []*registrar.Endpoint{s.byID["e0"].Endpoint, s.byID["e1"].Endpoint}
	before := s.choiceOf("e0", 1000)
	s.RecordStart(before, nil, now)
	s.SetEndpoints(all[1:])
	require.Zero(t, s.EndpointCount("pool")-1)
	s.SetEndpoints(all)
	s.RecordEnd(before, ejector.Good, now)
	require.Zero(t, s.byID["e0"].calls)
	require.Zero(t, s.byID["e0"].tokens)
}

// gate allows a fixed number of calls to cold endpoints.
type gate struct{ left int }

func (g *gate) Allows(e *registrar.Endpoint, _ float64, now time.Time) bool {
	return !e.Cold(now) || g.left > 0
}

func (g *gate) NextSendTime(*registrar.Endpoint, time.Time) (time.Time, bool) {
	return time.Time{}, true
}

func (g *gate) Limited(*registrar.Endpoint) bool { return false }

func (g *gate) RecordSend(e *registrar.Endpoint, _ float64, now time.Time) {
	if e.Cold(now) {
		g.left--
	}
}

// The home endpoint of a prompt becomes cold: its cache is empty and it accepts few calls. The prompt must move to
// another home, the cold endpoint must get only what the gate allows, and the prompt must return once it is warm.
func TestColdEndpointIsNotAHome(t *testing.T) {
	s := newSelector(9)
	g := &gate{}
	s.cfg.Gate = g
	query := Query{Service: "pool", Parts: prompt(7, 100)}
	first, found := s.Choose(query, now)
	require.True(t, found)
	s.RecordStart(first, query.Parts, now)
	s.RecordEnd(first, ejector.Good, now)
	all := make([]*registrar.Endpoint, 0, 9)
	for _, e := range s.byID {
		all = append(all, e.Endpoint)
	}
	for i := range all {
		if all[i].ID == first.Endpoint.ID {
			cold := first.Endpoint
			cold.ColdUntil = now.Add(3 * time.Second)
			all[i] = &cold
		}
	}
	s.SetEndpoints(all)
	require.Equal(t, 1, s.ColdCount(now))
	require.Zero(t, s.byID[first.Endpoint.ID].cache.heldTokens(prefixKeys(query.Parts), query.Parts))
	second, found := s.Choose(query, now)
	require.True(t, found)
	require.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
	g.left = 1
	for range 40 {
		choice, found := s.Choose(Query{Service: "pool", Parts: prompt(8, 100)}, now)
		require.True(t, found)
		s.RecordStart(choice, nil, now)
	}
	require.Equal(t, 0, g.left, "exactly the allowed calls are sent to the cold endpoint")
	require.Equal(t, 1, s.byID[first.Endpoint.ID].calls)
	warm, found := s.Choose(query, now.Add(3*time.Second))
	require.True(t, found)
	require.Equal(t, first.Endpoint.ID, warm.Endpoint.ID)
}

// A request that may be served in one region only must not leave it.
func TestCallStaysInAllowedRegions(t *testing.T) {
	s := newSelector(2)
	far := *s.byID["e1"].Endpoint
	far.Region = "far"
	s.SetEndpoints([]*registrar.Endpoint{s.byID["e0"].Endpoint, &far})
	for range 10 {
		choice, found := s.Choose(Query{Service: "pool", Regions: []string{"far"}}, now)
		require.True(t, found)
		require.Equal(t, "e1", choice.Endpoint.ID)
	}
	_, found := s.Choose(Query{Service: "pool", Regions: []string{"nowhere"}}, now)
	require.False(t, found)
}

// restGate allows no calls to one endpoint until a given time.
type restGate struct {
	gate
	resting string
	until   time.Time
}

func (g *restGate) NextSendTime(e *registrar.Endpoint, now time.Time) (time.Time, bool) {
	if e.ID == g.resting {
		return g.until, true
	}
	return now, true
}

// Guards against refusing callers for the length of one endpoint's rest although another endpoint is used again within
// seconds: it was ejected for calls that took long.
func TestAServiceIsNotThrottledBeyondAnEjection(t *testing.T) {
	s := newSelector(2)
	s.cfg.Gate = &restGate{resting: "e0", until: now.Add(time.Minute)}
	slow := s.byID["e1"]
	for slow.health.State() == ejector.InUse {
		slow.pool.health.RecordOutcome(&slow.health, ejector.Bad, false, now)
	}
	held, all := s.Throttled(Query{Service: "pool"}, now)
	require.True(t, all)
	require.True(t, held.Local)
	require.Equal(t, slow.health.Until(), held.Until)
}

// Guards against hundreds of entries that send most prompts of a kind to one endpoint, the home of the part that these
// begin with, since none of them knows the others' work there. The load is that of a large fleet: 65 prompts a second
// that begin with one of four parts, one of which is in half of the prompts, followed by one of 850.
func TestPromptsSpreadWhilePeersWorkIsUnknown(t *testing.T) {
	const (
		entries, endpoints = 100, 1000
		perSecond, seconds = 65, 20
		// tokensPerSecond is what an engine reads; at over half of it, first events are late.
		tokensPerSecond = 62_400
	)
	rnd := rand.New(rand.NewPCG(3, 4))
	selectors := make([]*Selector, entries)
	for i := range selectors {
		selectors[i] = newSelector(endpoints)
		selectors[i].SetPeerWorkUnknown(true)
	}
	read := make(map[string]int)
	for range perSecond * seconds {
		s := selectors[rnd.IntN(entries)]
		first := rnd.IntN(8) / 2 * rnd.IntN(2)
		second := rnd.IntN(850)
		parts := []Part{
			{ID: uint64(first + 1), Tokens: 2520},
			{ID: uint64(1000 + second), Tokens: 1500 + 4*second},
			{ID: rnd.Uint64(), Tokens: 2890},
		}
		choice, found := s.Choose(Query{Service: "pool", Parts: parts}, now)
		require.True(t, found)
		s.RecordStart(choice, parts, now)
		read[choice.Endpoint.ID] += 2890 + 2520
	}
	busiest := 0
	for _, tokens := range read {
		busiest = max(busiest, tokens)
	}
	t.Logf("the busiest of %d endpoints reads %d tokens a second", endpoints, busiest/seconds)
	require.Less(t, busiest/seconds, tokensPerSecond/2)
}

// Guards against a new connection for most calls of a large fleet: with 140 endpoints to choose from at random, an entry
// that sends a call now and then never uses a connection twice.
func TestALargeFleetReusesConnections(t *testing.T) {
	const entries, endpoints, calls = 985, 140, 20
	perEndpoint := make(map[string]int)
	for i := range entries {
		s := New(Config{Self: fmt.Sprintf("entry-%d", i), Rand: rand.New(rand.NewPCG(uint64(i), 2))})
		s.SetEndpoints(plainEndpoints(endpoints))
		s.SetPeerWorkUnknown(true)
		used := make(map[string]bool)
		for range calls {
			choice, found := s.Choose(Query{Service: "pool"}, now)
			require.True(t, found)
			s.RecordStart(choice, nil, now)
			s.RecordEnd(choice, ejector.Good, now)
			used[choice.Endpoint.ID] = true
			perEndpoint[choice.Endpoint.ID]++
		}
		require.Len(t, used, 1)
	}
	busiest := 0
	for _, n := range perEndpoint {
		busiest = max(busiest, n)
	}
	require.Less(t, busiest, 3*entries*calls/endpoints, "all entries together use all endpoints")
}

// Guards against streams that go on at another software version: every question about endpoints for a call keeps to the
// version that it names.
func TestOnlyEndpointsOfTheVersionAreChosen(t *testing.T) {
	s := newSelector(6)
	s.cfg.Gate = &restGate{resting: "e4", until: now.Add(time.Minute)}
	all := plainEndpoints(6)
	for i, e := range all {
		e.Version = fmt.Sprintf("v%d", i/4)
	}
	s.SetEndpoints(all)
	v0, v1, gone := "v0", "v1", "v2"
	for i := range uint64(40) {
		query := Query{Service: "pool", Parts: prompt(i, 1000+i), Version: &v1}
		choice, found := s.Choose(query, now)
		require.True(t, found)
		require.Equal(t, v1, choice.Endpoint.Version)
		query.Exclude = []string{"e4", "e5"}
		_, found = s.Choose(query, now)
		require.False(t, found)
		require.False(t, s.HasEndpoint(query, now))
	}
	require.False(t, s.HasEndpoint(Query{Service: "pool", Version: &gone}, now))
	_, all0 := s.Throttled(Query{Service: "pool", Version: &v0}, now)
	require.False(t, all0)
	s.remove(s.byID["e5"])
	_, all1 := s.Throttled(Query{Service: "pool", Version: &v1}, now)
	require.True(t, all1)
}

// Guards against an endpoint that starts again under its ID with another software version and keeps what was known of the
// earlier one.
func TestAnotherVersionIsAnotherIncarnation(t *testing.T) {
	old := &registrar.Endpoint{ID: "e", Version: "v1"}
	require.False(t, old.SameIncarnation(&registrar.Endpoint{ID: "e", Version: "v2"}))
	require.True(t, old.SameIncarnation(&registrar.Endpoint{ID: "e", Version: "v1"}))
	require.True(t, old.SameIncarnation(&registrar.Endpoint{ID: "e"}))
}
