package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/registrar"
)

func TestPromptGoesWhereAPeerSentIt(t *testing.T) {
	s := newSelector(9)
	s.SetPromptsKnown(true)
	parts := prompt(7, 100)
	home, found := s.Choose(Query{Service: "pool", Parts: parts}, now)
	require.True(t, found)
	for _, e := range plainEndpoints(9) {
		if e.ID == home.Endpoint.ID {
			continue
		}
		s.RecordPeerPrompt(e.ID, e.Started, SharedPrefixes(parts))
		choice, found := s.Choose(Query{Service: "pool", Parts: prompt(7, 101)}, now)
		require.True(t, found)
		require.Equal(t, e.ID, choice.Endpoint.ID)
		require.Equal(t, 13_000, choice.Cached)
		require.Equal(t, 3_000+DefaultCallTokens, choice.Tokens)
		return
	}
}

// Guards against counting a prompt that nobody has read yet as cached at its home, which hides most of the work there from
// all entries.
func TestNewPromptCountsAsUncachedAtItsHome(t *testing.T) {
	s := newSelector(9)
	s.SetPromptsKnown(true)
	choice, found := s.Choose(Query{Service: "pool", Parts: prompt(7, 100)}, now)
	require.True(t, found)
	require.Zero(t, choice.Cached)
	require.Equal(t, 16_000+DefaultCallTokens, choice.Tokens)
}

// Guards against reports about an earlier process of an endpoint: its cache has ended with it.
func TestReportsOnAnEarlierProcessAreDropped(t *testing.T) {
	s := newSelector(9)
	s.SetPromptsKnown(true)
	parts := prompt(7, 100)
	for i := range 9 {
		s.RecordPeerPrompt(fmt.Sprintf("e%d", i), now.Add(-time.Hour), SharedPrefixes(parts))
	}
	choice, found := s.Choose(Query{Service: "pool", Parts: parts}, now)
	require.True(t, found)
	require.Zero(t, choice.Cached)
}

// crowd simulates entries that each send calls to one pool between two load reports of their peers, and returns the largest
// work at an endpoint relative to the mean.
func crowd(t *testing.T, promptsKnown bool, seed uint64) float64 {
	t.Helper()
	const entries, endpoints, callsPerEntry, rounds = 60, 140, 6, 3
	rnd := rand.New(rand.NewPCG(seed, 3))
	selectors := make([]*Selector, entries)
	for i := range selectors {
		selectors[i] = New(Config{Self: fmt.Sprint(i), Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		selectors[i].SetEndpoints(plainEndpoints(endpoints))
		selectors[i].SetPromptsKnown(promptsKnown)
	}
	// placements holds the prompts of a round, which the peers hear of in the next one.
	type placement struct {
		endpoint registrar.Endpoint
		parts    []Part
	}
	work, total := make(map[string]int), 0
	for range rounds {
		var placements []placement
		for range callsPerEntry {
			for _, s := range selectors {
				// Four instructions begin all prompts, and the sessions that follow them are mostly new.
				parts := []Part{{ID: rnd.Uint64N(4), Tokens: 4000}, {ID: 1000 + rnd.Uint64N(800), Tokens: 3000}, {ID: rnd.Uint64(), Tokens: 3000}}
				choice, found := s.Choose(Query{Service: "pool", Parts: parts}, now)
				require.True(t, found)
				s.RecordStart(choice, parts, now)
				work[choice.Endpoint.ID] += choice.Tokens
				total += choice.Tokens
				placements = append(placements, placement{choice.Endpoint, parts})
			}
		}
		for _, s := range selectors {
			for i, peer := range selectors {
				if peer != s {
					s.SetPeerWork(fmt.Sprint(i), peer.OwnWork())
				}
			}
			for _, p := range placements {
				s.RecordPeerPrompt(p.endpoint.ID, p.endpoint.Started, SharedPrefixes(p.parts))
			}
		}
	}
	most := 0
	for _, tokens := range work {
		most = max(most, tokens)
	}
	return float64(most) * endpoints / float64(total)
}

// Load: a surge of prompts that begin with one of a few instructions, at many entries whose knowledge of each other is some
// tenths of a second old. The calls must not crowd at the endpoints that have cached the instructions, nor at those that
// were idle at the last report.
func TestSurgeOfNewSessionsSpreadsOverThePool(t *testing.T) {
	for seed := range uint64(4) {
		require.Less(t, crowd(t, true, seed), 3.0)
	}
}

// Where entries don't know their peers' prompts, choices are those without this knowledge.
func TestUnknownPromptsLeaveChoicesAsTheyAre(t *testing.T) {
	a, b := newSelector(40), newSelector(40)
	b.SetPromptsKnown(true)
	b.SetPromptsKnown(false)
	for own := range uint64(200) {
		parts := prompt(own%20, 1000+own)
		query := Query{Service: "pool", Parts: parts}
		first, found := a.Choose(query, now)
		require.True(t, found)
		second, _ := b.Choose(query, now)
		require.Equal(t, first, second)
		a.RecordStart(first, parts, now)
		b.RecordStart(second, parts, now)
	}
}

func TestPredictionCountsReadingAPromptThatNobodySent(t *testing.T) {
	s := newSelector(40)
	s.SetPromptsKnown(true)
	parts := prompt(7, 100)
	require.Equal(t, s.PredictUncached("pool", parts), s.PredictFirstEvent("pool", parts))
	s.RecordPeerPrompt("e3", now.Add(-time.Minute), SharedPrefixes(parts))
	require.Less(t, s.PredictFirstEvent("pool", parts), s.PredictUncached("pool", parts))
}

// Stage results are made in the zone of the endpoint that has cached the prompt, which then fetches them within its zone.
func TestHomeZoneIsThatOfTheEndpointThatCachedThePrompt(t *testing.T) {
	s := newSelector(40)
	s.SetPromptsKnown(true)
	parts := prompt(7, 100)
	for i := range 3 {
		e := s.byID[fmt.Sprintf("e%d", 10+i)]
		s.RecordPeerPrompt(e.ID, e.Started, SharedPrefixes(parts))
		require.Equal(t, e.Zone, s.HomeZone("pool", parts, nil, now))
		e.cache = prefixSet{}
	}
}
