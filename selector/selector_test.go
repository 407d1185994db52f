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
	var all []registrar.Endpoint
	for i := range n {
		all = append(all, registrar.Endpoint{
			ID:      fmt.Sprintf("e%d", i),
			Service: "pool",
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone:    fmt.Sprintf("z%d", i%3),
			Started: now.Add(-time.Minute),
		})
	}
	s.SetEndpoints(all)
	return s
}

func prompt(shared uint64, own uint64) []Part {
	return []Part{{ID: shared, Tokens: 13_000}, {ID: own, Tokens: 3_000}}
}

// callTo is a call to the endpoint of the id.
func (s *Selector) callTo(id string, tokens int) Choice {
	return Choice{Endpoint: s.byID[id].Endpoint, Tokens: tokens, turn: s.byID[id].turn}
}

func TestEntriesAgreeOnAPromptsHome(t *testing.T) {
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

// A third of all requests is about one subject: its home is full, and what it can't take goes to one other endpoint
// and not to all of them, which would each read the shared part.
func TestAHotPromptSpillsToFewEndpoints(t *testing.T) {
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

func TestPeersWorkCounts(t *testing.T) {
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

func TestResultsThatLieInAZoneDrawTheCallThere(t *testing.T) {
	s := newSelector(9)
	for range 20 {
		choice, found := s.Choose(Query{Service: "pool", ZoneBytes: map[string]int64{"z1": 9_000_000}}, now)
		require.True(t, found)
		require.Equal(t, "z1", choice.Endpoint.Zone)
	}
}

func TestTriedEndpointsAreAvoided(t *testing.T) {
	s := newSelector(2)
	choice, found := s.Choose(Query{Service: "pool", Exclude: []string{"e0"}}, now)
	require.True(t, found)
	require.Equal(t, "e1", choice.Endpoint.ID)
	_, found = s.Choose(Query{Service: "pool", Exclude: []string{"e0", "e1"}}, now)
	require.False(t, found)
	_, found = s.Choose(Query{Service: "unknown"}, now)
	require.False(t, found)
}

// An endpoint refuses connections: callers must not meet it again before it is probed, and not with a request that
// may run only once.
func TestARefusingEndpointIsPassedOver(t *testing.T) {
	s := newSelector(3)
	down := s.callTo("e1", 0)
	s.RecordStart(down, nil, now)
	require.True(t, s.RecordEnd(down, ejector.Down, now))
	for range 50 {
		choice, found := s.Choose(Query{Service: "pool", NoProbe: true}, now.Add(2*time.Second))
		require.True(t, found)
		require.NotEqual(t, "e1", choice.Endpoint.ID)
	}
	choice, _ := s.Choose(Query{Service: "pool"}, now.Add(2*time.Second))
	require.Equal(t, "e1", choice.Endpoint.ID, "a request that may run twice is the probe")
}

func TestWorkIsGivenBack(t *testing.T) {
	s := newSelector(1)
	choice, _ := s.Choose(Query{Service: "pool", Parts: prompt(1, 2)}, now)
	s.RecordStart(choice, prompt(1, 2), now)
	require.Equal(t, choice.Tokens, s.OwnWork()["e0"])
	s.RecordPromptRead(&choice)
	require.Equal(t, DefaultCallTokens, s.OwnWork()["e0"])
	s.RecordEnd(choice, ejector.Good, now)
	require.Empty(t, s.OwnWork())
}

func TestMemoryIsBounded(t *testing.T) {
	var m memory
	for i := range uint64(10 * maxRemembered) {
		m.remember([]uint64{i})
	}
	require.Len(t, m.keys, maxRemembered)
	require.Len(t, m.order, maxRemembered)
}

// The engines are four times as slow as assumed: predictions follow what calls have shown.
func TestFirstEventFollowsThePace(t *testing.T) {
	s := newSelector(1)
	before := s.PredictFirstEvent("pool", prompt(1, 2))
	choice := s.callTo("e0", 10_000)
	for range 60 {
		s.ObserveFirstEvent(choice, time.Second+firstStep)
	}
	after := s.PredictFirstEvent("pool", prompt(1, 2))
	require.InDelta(t, 4, float64(after-firstStep)/float64(before-firstStep), 0.2)
	s.ObserveFirstEvent(s.callTo("e0", 10), time.Minute)
	require.Equal(t, after, s.PredictFirstEvent("pool", prompt(1, 2)), "a short prompt tells nothing of the pace")
}

// An endpoint crashes under load and starts again under the same id. It holds no prompt parts and has no calls; what ends
// of its earlier start must not count for the new one, or its work would fall below none and draw all calls there.
func TestAnEndpointThatStartsAgainBeginsAnew(t *testing.T) {
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
	s.SetEndpoints([]registrar.Endpoint{again})
	s.SetEndpoints([]registrar.Endpoint{again})
	require.Empty(t, s.OwnWork())
	require.Zero(t, s.byID["e0"].peerTokens)
	require.Equal(t, ejector.InUse, s.byID["e0"].health.State())
	require.Zero(t, s.byID["e0"].cache.held(chainKeys(query.Parts), query.Parts))
	require.False(t, s.RecordEnd(before, ejector.Bad, now))
	s.RecordCancel(before)
	s.SetPeerWork("peer", nil)
	require.Zero(t, s.byID["e0"].calls)
	require.Zero(t, s.byID["e0"].peerTokens)
}

// An endpoint's zone is evacuated while it has calls, and taken back before they end. What ends then was not counted at its
// new presence: taken off there, its work would fall below none and draw all calls.
func TestCallsOfBeforeAnAbsenceDoNotCount(t *testing.T) {
	s := newSelector(2)
	all := []registrar.Endpoint{s.byID["e0"].Endpoint, s.byID["e1"].Endpoint}
	before := s.callTo("e0", 1000)
	s.RecordStart(before, nil, now)
	s.SetEndpoints(all[1:])
	require.Zero(t, s.EndpointCount("pool")-1)
	s.SetEndpoints(all)
	s.RecordEnd(before, ejector.Good, now)
	require.Zero(t, s.byID["e0"].calls)
	require.Zero(t, s.byID["e0"].tokens)
}

// gate lets so many calls go to cold endpoints.
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

// A prompt's home becomes cold: it holds nothing any more and bears few calls. The prompt goes to another home meanwhile, the
// cold endpoint takes only what the gate allows, and it has its prompts back once it is warm.
func TestAColdEndpointIsNoHome(t *testing.T) {
	s := newSelector(9)
	g := &gate{}
	s.cfg.Gate = g
	query := Query{Service: "pool", Parts: prompt(7, 100)}
	first, found := s.Choose(query, now)
	require.True(t, found)
	s.RecordStart(first, query.Parts, now)
	s.RecordEnd(first, ejector.Good, now)
	all := make([]registrar.Endpoint, 0, 9)
	for _, e := range s.byID {
		all = append(all, e.Endpoint)
	}
	for i := range all {
		if all[i].ID == first.Endpoint.ID {
			all[i].ColdUntil = now.Add(3 * time.Second)
		}
	}
	s.SetEndpoints(all)
	require.Equal(t, 1, s.ColdCount(now))
	require.Zero(t, s.byID[first.Endpoint.ID].cache.held(chainKeys(query.Parts), query.Parts))
	second, found := s.Choose(query, now)
	require.True(t, found)
	require.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
	g.left = 1
	for range 40 {
		choice, found := s.Choose(Query{Service: "pool", Parts: prompt(8, 100)}, now)
		require.True(t, found)
		s.RecordStart(choice, nil, now)
	}
	require.Equal(t, 0, g.left, "what the gate allows is used, and no more")
	require.Equal(t, 1, s.byID[first.Endpoint.ID].calls)
	warm, found := s.Choose(query, now.Add(3*time.Second))
	require.True(t, found)
	require.Equal(t, first.Endpoint.ID, warm.Endpoint.ID)
}

// A request may be served in one region only.
func TestACallStaysInItsRegions(t *testing.T) {
	s := newSelector(2)
	far := s.byID["e1"].Endpoint
	far.Region = "far"
	s.SetEndpoints([]registrar.Endpoint{s.byID["e0"].Endpoint, far})
	for range 10 {
		choice, found := s.Choose(Query{Service: "pool", Regions: []string{"far"}}, now)
		require.True(t, found)
		require.Equal(t, "e1", choice.Endpoint.ID)
	}
	_, found := s.Choose(Query{Service: "pool", Regions: []string{"nowhere"}}, now)
	require.False(t, found)
}
