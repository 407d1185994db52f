package selector

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
	"geraniumline/registrar"
)

// engineTime returns how long an engine of the usual speed takes to read a number of prompt tokens.
func engineTime(tokens int) time.Duration {
	return 20*time.Millisecond + time.Duration(tokens)*16*time.Microsecond
}

// observe reports first events of calls to all endpoints over 20 seconds, of which those of one endpoint took factor
// times as long as those of the others.
func (s *Selector) observe(slow string, factor float64, from time.Time) {
	ids := s.EndpointIDs("pool")
	for i := range 40 {
		for _, id := range ids {
			c := s.choiceOf(id, 4000)
			took := engineTime(c.Tokens)
			if id == slow {
				took = time.Duration(factor * float64(took))
			}
			s.ObserveFirstEvent(c, took, from.Add(time.Duration(i)*500*time.Millisecond))
		}
	}
}

// Guards against a change of choices in pools whose endpoints are alike: their observed times differ by noise alone.
func TestChoicesAreAsBeforeWhereEndpointsAreAlike(t *testing.T) {
	plain, observing := newSelector(30), newSelector(30)
	rnd := rand.New(rand.NewPCG(5, 6))
	at := now
	measurements := 0
	for i := range 3000 {
		at = at.Add(10 * time.Millisecond)
		parts := prompt(uint64(i%40), uint64(1000+i))
		query := Query{Service: "pool", Parts: parts}
		a, found := plain.Choose(query, at)
		require.True(t, found)
		b, found := observing.Choose(query, at)
		require.True(t, found)
		require.Equal(t, a.Endpoint.ID, b.Endpoint.ID, "choice %d", i)
		require.Equal(t, a.Tokens, b.Tokens)
		plain.RecordStart(a, parts, at)
		observing.RecordStart(b, parts, at)
		noise := 0.7 + 0.6*rnd.Float64()
		if _, measured := observing.ObserveFirstEvent(b, time.Duration(noise*float64(engineTime(b.queued+b.Tokens))), at); measured {
			measurements++
		}
		if i%50 == 0 {
			require.Empty(t, observing.UpdateSpeeds(at))
		}
		if i%3 > 0 {
			plain.RecordEnd(a, ejector.Good, at)
			observing.RecordEnd(b, ejector.Good, at)
		} else {
			plain.RecordCancel(a)
			observing.RecordCancel(b)
		}
	}
	require.Greater(t, measurements, 1000)
	require.Zero(t, observing.SpeedSpread("pool"))
}

func TestSlowEndpointGetsLessWork(t *testing.T) {
	s := newSelector(9)
	s.observe("e1", 2, now)
	at := now.Add(20 * time.Second)
	changes := s.UpdateSpeeds(at)
	require.Len(t, changes, 1)
	require.Equal(t, "e1", changes[0].Endpoint.ID)
	require.True(t, changes[0].Slow)
	counts := make(map[string]int)
	for range 900 {
		choice, found := s.Choose(Query{Service: "pool"}, at)
		require.True(t, found)
		s.RecordStart(choice, nil, at)
		counts[choice.Endpoint.ID]++
	}
	require.Less(t, float64(counts["e1"]), 0.7*float64(counts["e0"]))
	require.Greater(t, counts["e1"], 30, "it still serves its share")
}

// Answers the load of prompts with large shared parts where endpoints differ in speed: with as many homes at each
// endpoint, the slow ones read for longest.
func TestPromptsHaveFewerHomesAtSlowEndpoints(t *testing.T) {
	before, after := newSelector(9), newSelector(9)
	after.observe("e1", 2.5, now)
	after.UpdateSpeeds(now.Add(20 * time.Second))
	homes := make(map[string]int)
	for part := range uint64(3000) {
		query := Query{Service: "pool", Parts: prompt(part, 5000+part)}
		a, _ := before.Choose(query, now)
		b, _ := after.Choose(query, now)
		homes[b.Endpoint.ID]++
		if a.Endpoint.ID != "e1" {
			require.Equal(t, a.Endpoint.ID, b.Endpoint.ID, "only parts at the slow endpoint move")
		}
	}
	require.Less(t, homes["e1"], 220)
	require.Greater(t, homes["e1"], 80)
}

// Guards against leaving an endpoint that reads parts of the prompt which it was believed to have cached.
func TestPredictionWithoutCachedParts(t *testing.T) {
	s := newSelector(9)
	choice, found := s.Choose(Query{Service: "pool", Parts: []Part{{ID: 1, Tokens: 40_000}, {ID: 2, Tokens: 3000}}}, now)
	require.True(t, found)
	require.Equal(t, 40_000, choice.Cached)
	require.Less(t, choice.FirstEvent, 300*time.Millisecond)
	require.Greater(t, choice.UncachedFirstEvent, 43_000*25*time.Microsecond)
}

// Guards against waiting at the home of a prompt, which has become slow, for longer than another endpoint takes to read
// the shared parts again.
func TestPromptLeavesASlowLoadedHome(t *testing.T) {
	s := newSelector(9)
	query := Query{Service: "pool", Parts: prompt(7, 100)}
	home, found := s.Choose(query, now)
	require.True(t, found)
	s.SetPeerWork("peer", map[string]int{home.Endpoint.ID: 12_000})
	stays, _ := s.Choose(query, now)
	require.Equal(t, home.Endpoint.ID, stays.Endpoint.ID, "reading the shared parts again costs more than the wait")
	s.observe(home.Endpoint.ID, 2.5, now)
	s.UpdateSpeeds(now.Add(20 * time.Second))
	leaves, _ := s.Choose(query, now.Add(20*time.Second))
	require.NotEqual(t, home.Endpoint.ID, leaves.Endpoint.ID)
}

// Guards against a restarted endpoint that keeps the slowness of its earlier process, and against late reports about that
// process.
func TestRestartedEndpointHasNoSpeed(t *testing.T) {
	s := newSelector(9)
	before := *s.byID["e0"].Endpoint
	s.observe("e0", 2.5, now)
	at := now.Add(20 * time.Second)
	s.UpdateSpeeds(at)
	require.Greater(t, s.byID["e0"].speed.Factor(), 1.5)
	again := before
	again.Started = at
	all := []*registrar.Endpoint{&again}
	for id, e := range s.byID {
		if id != "e0" {
			all = append(all, e.Endpoint)
		}
	}
	s.SetEndpoints(all)
	require.Equal(t, 1.0, s.byID["e0"].speed.Factor())
	for i := range 20 {
		s.RecordPeerTiming("e0", before.Started, 1, at.Add(time.Duration(i)*time.Second/2))
	}
	s.UpdateSpeeds(at.Add(10 * time.Second))
	require.Equal(t, 1.0, s.byID["e0"].speed.Factor())
}

// Guards against entries of a large fleet that take an endpoint for slow because of work that they don't know.
func TestSpeedsAreNotUsedWhilePeersWorkIsUnknown(t *testing.T) {
	s := newSelector(9)
	s.observe("e0", 2.5, now)
	s.UpdateSpeeds(now.Add(20 * time.Second))
	require.Greater(t, s.speedFactor(s.byID["e0"]), 1.0)
	s.SetPeerWorkUnknown(true)
	require.Equal(t, 1.0, s.speedFactor(s.byID["e0"]))
}

// lateFirstEvents plays prompts at endpoints that take 0.6, 1 or 1.6 times the usual time and returns the share of first
// events that took over a limit.
func lateFirstEvents(seed uint64, limit time.Duration, useSpeeds bool) float64 {
	const (
		endpoints = 30
		perSecond = 120
		seconds   = 40
	)
	rnd := rand.New(rand.NewPCG(seed, 2))
	s := newSelector(endpoints)
	freeAt := make(map[string]time.Time)
	factors := make(map[string]float64)
	for i, e := range plainEndpoints(endpoints) {
		factors[e.ID] = []float64{0.6, 1, 1.6}[i%3]
	}
	type running struct {
		choice Choice
		until  time.Time
	}
	var calls []running
	late, counted := 0, 0
	at := now
	for i := range perSecond * seconds {
		at = at.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / perSecond))
		var left []running
		for _, r := range calls {
			if at.Before(r.until) {
				left = append(left, r)
				continue
			}
			s.RecordEnd(r.choice, ejector.Good, r.until)
		}
		calls = left
		if i%(perSecond/2) == 0 && useSpeeds {
			s.UpdateSpeeds(at)
		}
		parts := []Part{{ID: uint64(rnd.IntN(300)), Tokens: 13_000}, {ID: rnd.Uint64(), Tokens: 500 + int(4000*rnd.ExpFloat64())}}
		choice, _ := s.Choose(Query{Service: "pool", Parts: parts}, at)
		s.RecordStart(choice, parts, at)
		id := choice.Endpoint.ID
		if freeAt[id].Before(at) {
			freeAt[id] = at
		}
		freeAt[id] = freeAt[id].Add(time.Duration(factors[id] * float64(engineTime(choice.Tokens))))
		took := freeAt[id].Sub(at)
		s.ObserveFirstEvent(choice, took, at)
		calls = append(calls, running{choice: choice, until: freeAt[id]})
		if i > perSecond*seconds/2 {
			counted++
			if took > limit {
				late++
			}
		}
	}
	return float64(late) / float64(counted)
}

// Answers the load of a pool whose endpoints differ in speed: placed by work alone, the slow ones make first events late.
func TestFewerFirstEventsAreLateWhereEndpointsDiffer(t *testing.T) {
	without, with := 0.0, 0.0
	for seed := range uint64(5) {
		without += lateFirstEvents(seed, 400*time.Millisecond, false) / 5
		with += lateFirstEvents(seed, 400*time.Millisecond, true) / 5
	}
	t.Logf("late first events: %.3f by work alone, %.3f by predicted time", without, with)
	require.Less(t, with, 0.75*without)
}
