package collector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/registrar"
)

func TestPiecesOfManyRequestsShareCalls(t *testing.T) {
	w := newWorld(usualStage(), 1)
	for i := range 9 {
		w.arrive(time.Duration(i)*time.Millisecond, fmt.Sprint(i), 1, nil)
	}
	w.run(time.Second)
	require.Len(t, w.got, 9)
	require.Len(t, w.calls, 2, "the first piece goes at once, the other eight together")
	require.Len(t, w.calls[1].Pieces, 8)
}

func TestOrderOfWaitingGroups(t *testing.T) {
	late := func(g *Group) { g.Due = start.Add(-time.Second) }
	for _, tc := range []struct {
		name          string
		first, second func(g *Group)
	}{
		{"urgent before less urgent", nil, func(g *Group) { g.Priority = 1 }},
		{"due sooner before due later", func(g *Group) { g.Due = start.Add(time.Second) }, nil},
		{"on time before late", func(g *Group) { g.Priority = 5 }, late},
		{"late but holding space before on time and less urgent",
			func(g *Group) { late(g); g.HoldsSpace = true }, func(g *Group) { g.Priority = 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(usualStage(), 1)
			w.arrive(0, "busy", 8, nil)
			second := w.arrive(time.Millisecond, "second", 8, tc.second)
			first := w.arrive(2*time.Millisecond, "first", 8, tc.first)
			w.run(2 * time.Second)
			require.True(t, w.gotAt[first].Before(w.gotAt[second]))
		})
	}
}

// In a burst, groups of six pieces meet endpoints with space for 21 results. Were each call filled by due time alone,
// parts of many groups would take all space, none would be whole, and all would lapse.
func TestStartedGroupsAreFinishedFirst(t *testing.T) {
	stage := usualStage()
	stage.ResultSpaceBytes = 21 * 60_000
	w := newWorld(stage, 1)
	w.keepFor = 400 * time.Millisecond
	rng := rand.New(rand.NewPCG(3, 4))
	var ids []GroupID
	for i := range 20 {
		due := time.Duration(rng.IntN(2000)) * time.Millisecond
		ids = append(ids, w.arrive(time.Duration(i)*50*time.Millisecond, fmt.Sprint(i), 6, func(g *Group) {
			g.ResultBytes = 60_000
			g.Due = start.Add(due)
		}))
	}
	w.run(3 * time.Second)
	whole, parts := 0, 0
	for _, id := range ids {
		switch n := w.made(id); {
		case n == 6:
			whole++
		case n > 0:
			parts++
		}
	}
	require.LessOrEqual(t, parts, 2)
	require.GreaterOrEqual(t, whole, 8)
}

// A call that is sent while a free is on its way reaches the endpoint first, and its pieces find no space.
func TestSpaceIsFreeOnceTheFreeIsAnswered(t *testing.T) {
	stage := usualStage()
	stage.ResultSpaceBytes = 9 * 8_000
	w := newWorld(stage, 1)
	w.keepFor = -1
	w.arrive(0, "a", 8, nil)
	b := w.arrive(time.Millisecond, "b", 8, nil)
	w.run(time.Second)
	require.Equal(t, 0, w.made(b), "no space")
	var made []ResultRef
	for _, d := range w.got {
		made = append(made, ResultRef{Handle: d.Result.Handle, Address: d.Address})
	}
	sent := len(w.calls)
	w.reduce(ResultsReleased{Results: made})
	require.Len(t, w.calls, sent)
	w.run(2 * time.Second)
	require.Equal(t, 8, w.made(b))
}

// A little space is left while many pieces wait: a call for two of them would take as long as one for seven.
func TestAnEndpointWaitsForSpaceForHalfACall(t *testing.T) {
	stage := usualStage()
	stage.ResultSpaceBytes = 11 * 8_000
	w := newWorld(stage, 1)
	w.keepFor = 40 * time.Millisecond
	w.arrive(0, "a", 8, nil)
	w.arrive(time.Millisecond, "b", 8, nil)
	w.run(2 * time.Second)
	require.GreaterOrEqual(t, len(w.calls[1].Pieces), 4)
	require.LessOrEqual(t, len(w.calls), 3)
}

func TestResultsThatAreNeverFreedGiveTheirSpaceBackWhenTheyLapse(t *testing.T) {
	stage := usualStage()
	stage.ResultSpaceBytes = 9 * 8_000
	w := newWorld(stage, 1)
	w.keepFor = -1
	w.arrive(0, "a", 8, nil)
	b := w.arrive(time.Millisecond, "b", 8, nil)
	w.run(6 * time.Second)
	require.Equal(t, 8, w.made(b))
}

// One endpoint of three takes calls and never answers. Its pieces are made elsewhere within three calls' time, and it
// gets no further ones while others can take them.
func TestASilentEndpointIsPassedBy(t *testing.T) {
	w := newWorld(usualStage(), 3)
	w.silent["e0"] = true
	var ids []GroupID
	for i := range 30 {
		ids = append(ids, w.arrive(time.Duration(i)*100*time.Millisecond, fmt.Sprint(i), 2, nil))
	}
	w.run(8 * time.Second)
	slowest := time.Duration(0)
	for i, id := range ids {
		require.Equal(t, 2, w.made(id))
		slowest = max(slowest, w.gotAt[id].Sub(w.at(time.Duration(i)*100*time.Millisecond)))
	}
	require.Less(t, slowest, 1200*time.Millisecond)
	met := 0
	for _, c := range w.calls {
		if c.Endpoint.ID == "e0" {
			met++
		}
	}
	require.LessOrEqual(t, met, 6)
}

func TestAFullOrUnreachableEndpointCostsNoTry(t *testing.T) {
	for _, end := range []CallOutcome{Refused, Unreachable, Unanswered} {
		w := newWorld(usualStage(), 2)
		w.ends["e0"] = end
		id := w.arrive(0, "a", 4, nil)
		w.run(time.Second)
		require.Equal(t, 4, w.made(id))
		require.Empty(t, w.reasons(id))
	}
}

// All endpoints break each call: the pieces are given up after a few tries and not held until their deadline.
func TestAPieceIsTriedAFewTimes(t *testing.T) {
	w := newWorld(usualStage(), 3)
	for _, id := range []string{"e0", "e1", "e2"} {
		w.ends[id] = Broken
	}
	id := w.arrive(0, "a", 1, nil)
	w.run(9 * time.Second)
	require.Equal(t, []Reason{Failed}, w.reasons(id))
	require.Len(t, w.calls, maxTries)
}

// A group can't be made before its deadline any more. The caller is told while it may still come back.
func TestAPieceThatCannotBeInTimeIsToldAtOnce(t *testing.T) {
	w := newWorld(usualStage(), 1)
	w.arrive(0, "busy", 8, nil)
	id := w.arrive(0, "a", 1, func(g *Group) { g.Priority = 1; g.Deadline = start.Add(400 * time.Millisecond) })
	w.run(time.Second)
	require.Equal(t, []Reason{Late}, w.reasons(id))
	require.Less(t, w.gotAt[id].Sub(start), 250*time.Millisecond)
}

// A result comes after its request has ended, or a second time: it is freed at its maker at once.
func TestResultsForNobodyAreFreed(t *testing.T) {
	w := newWorld(usualStage(), 1)
	id := w.arrive(0, "a", 3, nil)
	w.plan(w.at(50*time.Millisecond), GroupWithdrawn{ID: id})
	w.run(time.Second)
	require.Empty(t, w.got)
	require.Len(t, w.freed, 1)
	require.Len(t, w.freed[0].Handles, 3)
}

func TestPiecesOfALostEntryAreDropped(t *testing.T) {
	w := newWorld(usualStage(), 1)
	w.arrive(0, "busy", 8, func(g *Group) { g.ID.Origin = "other" })
	w.arrive(0, "a", 3, nil)
	w.plan(w.at(50*time.Millisecond), OriginLost{Origin: "entry"})
	w.run(time.Second)
	require.Len(t, w.calls, 1)
	require.False(t, w.pool.Busy())
}

func TestAnAskThatComesTwiceIsMadeOnce(t *testing.T) {
	w := newWorld(usualStage(), 2)
	w.arrive(0, "a", 3, nil)
	w.arrive(5*time.Millisecond, "a", 3, nil)
	w.run(time.Second)
	require.Len(t, w.got, 3)
	require.Len(t, w.calls, 1)
}

// Large inputs lie in one zone. With time to spare the group waits for an endpoint there; with none it takes any.
func TestAGroupWaitsForItsZoneWhileThereIsTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		due  time.Duration
		want string
	}{
		{"time to spare", 2 * time.Second, "z0"},
		{"none", 300 * time.Millisecond, "z1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(usualStage(), 2)
			w.arrive(0, "busy", 8, nil)
			id := w.arrive(time.Millisecond, "a", 4, func(g *Group) {
				g.PreferredZone = "z0"
				g.CrossZoneBytes = 3_000_000
				g.Due = start.Add(tc.due)
			})
			w.run(time.Second)
			require.Equal(t, 4, w.made(id))
			for _, d := range w.got {
				if d.ID == id {
					require.Equal(t, tc.want, d.Zone)
				}
			}
		})
	}
}

// TestPolicyBurst replays a burst of 2.5 times the usual load on a pool that is half full at rest. Its baseline is each
// of seven entries filling calls by itself.
func TestPolicyBurst(t *testing.T) {
	const entries = 7
	inTime := func(pools int) (float64, float64) {
		rng := rand.New(rand.NewPCG(5, 6))
		worlds := make([]*world, pools)
		busy := make(map[string]time.Time)
		for i := range worlds {
			worlds[i] = newWorld(usualStage(), 3)
			worlds[i].busy = busy
		}
		type sent struct {
			w  *world
			id GroupID
			at time.Duration
		}
		var all []sent
		rate := 16.0
		for at := time.Duration(0); at < 10*time.Second; {
			burst := at > 2*time.Second && at < 8*time.Second
			factor := 1.0
			if burst {
				factor = 2.5
			}
			at += time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second))
			w := worlds[rng.IntN(pools)]
			all = append(all, sent{w, w.arrive(at, fmt.Sprint(len(all)), 1+rng.IntN(2), nil), at})
		}
		good, calls, pieces := 0, 0, 0
		for step := 10 * time.Millisecond; step < 14*time.Second; step += 10 * time.Millisecond {
			for _, w := range worlds {
				w.run(step)
			}
		}
		for _, w := range worlds {
			for _, c := range w.calls {
				calls++
				pieces += len(c.Pieces)
			}
		}
		for _, s := range all {
			if got, known := s.w.gotAt[s.id]; known && got.Sub(s.w.at(s.at)) < 600*time.Millisecond {
				good++
			}
		}
		return float64(good) / float64(len(all)), float64(pieces) / float64(calls)
	}
	together, batch := inTime(1)
	alone, aloneBatch := inTime(entries)
	t.Logf("one entry collects: %.2f in time, %.1f pieces a call; each for itself: %.2f, %.1f", together, batch, alone, aloneBatch)
	require.Greater(t, together, 0.97)
	require.Less(t, alone, 0.5)
	require.Greater(t, batch, 2.0)
}

// Under a load of three times the pool, urgent work takes all of it. Callers of the rest are told as soon as it is sure
// that nothing will come before their deadline, and not when it has passed.
func TestOverloadIsToldBeforeTheDeadline(t *testing.T) {
	w := newWorld(usualStage(), 1)
	for i := range 60 {
		w.arrive(0, fmt.Sprint("urgent", i), 8, func(g *Group) { g.Deadline = start.Add(time.Minute) })
	}
	id := w.arrive(100*time.Millisecond, "patient", 8, func(g *Group) {
		g.Priority = 1
		g.Deadline = start.Add(8 * time.Second)
	})
	w.run(9 * time.Second)
	require.Len(t, w.reasons(id), 8)
	require.Equal(t, Overload, w.reasons(id)[0])
	require.Less(t, w.gotAt[id].Sub(start), 200*time.Millisecond)
	require.Greater(t, w.pool.PredictedWait(w.now), 5*time.Second)
}

// The entry that collects is told to stop while pieces wait. They are asked for elsewhere at once; what is in a call is
// still delivered from here.
func TestWaitingPiecesMoveAwayWhenTheEntryStops(t *testing.T) {
	w := newWorld(usualStage(), 1)
	inCall := w.arrive(0, "a", 8, nil)
	waiting := w.arrive(time.Millisecond, "b", 3, nil)
	w.plan(w.at(20*time.Millisecond), Stopping{})
	after := w.arrive(30*time.Millisecond, "c", 2, nil)
	w.run(time.Second)
	require.Equal(t, 8, w.made(inCall))
	require.Equal(t, []Reason{Moved, Moved, Moved}, w.reasons(waiting))
	require.Equal(t, []Reason{Moved, Moved}, w.reasons(after))
	require.Less(t, w.gotAt[waiting].Sub(start), 30*time.Millisecond)
	require.False(t, w.pool.Busy())
}

// All zones of a stage's endpoints are evacuated while pieces wait. What is in a call ends whole; what waits, and what comes
// after, is told at once and not at its deadline.
func TestWaitingPiecesAreToldOfAnEvacuation(t *testing.T) {
	w := newWorld(usualStage(), 1)
	inCall := w.arrive(0, "a", 8, nil)
	waiting := w.arrive(time.Millisecond, "b", 3, nil)
	w.plan(w.at(20*time.Millisecond), EndpointsChanged{Evacuated: true})
	after := w.arrive(30*time.Millisecond, "c", 2, nil)
	w.run(time.Second)
	require.Equal(t, 8, w.made(inCall))
	require.Equal(t, []Reason{Evacuated, Evacuated, Evacuated}, w.reasons(waiting))
	require.Equal(t, []Reason{Evacuated, Evacuated}, w.reasons(after))
	require.Less(t, w.gotAt[waiting].Sub(start), 30*time.Millisecond)
}

// The zone where a group's inputs lie has no endpoint any more. It must not wait for one there.
func TestAGroupDoesNotWaitForAZoneWithoutEndpoints(t *testing.T) {
	w := newWorld(usualStage(), 2)
	id := w.arrive(0, "a", 4, func(g *Group) {
		g.PreferredZone = "evacuated"
		g.CrossZoneBytes = 3_000_000
		g.Due = start.Add(2 * time.Second)
	})
	w.run(time.Second)
	require.Equal(t, 4, w.made(id))
	require.Less(t, w.gotAt[id].Sub(start), 300*time.Millisecond)
}

// Pieces that may be made in one region only wait for an endpoint there, and let those behind them pass.
func TestPiecesStayInTheirRegions(t *testing.T) {
	w := newWorld(usualStage(), 2)
	far := []registrar.Endpoint{{ID: "near", Zone: "z0", Region: "home", Address: "near:1"}, {ID: "far", Zone: "z1", Region: "far", Address: "far:1"}}
	w.plan(start, EndpointsChanged{Endpoints: far})
	var ids []GroupID
	for i := range 4 {
		ids = append(ids, w.arrive(time.Duration(i+1)*time.Millisecond, fmt.Sprint(i), 8, func(g *Group) { g.Regions = []string{"far"} }))
	}
	free := w.arrive(10*time.Millisecond, "free", 8, nil)
	w.run(3 * time.Second)
	for _, id := range ids {
		require.Equal(t, 8, w.made(id))
	}
	for _, d := range w.got {
		if d.ID != free {
			require.Equal(t, "z1", d.Zone)
		}
	}
	require.Less(t, w.gotAt[free].Sub(start), 400*time.Millisecond)
}

// Urgent work keeps taking the whole pool, more of it all the time. A patient request that is late already is told when
// half of its time is over, so that its caller can use the other half.
func TestALateGroupIsToldByHalfOfItsTime(t *testing.T) {
	w := newWorld(usualStage(), 1)
	for at := time.Duration(0); at < 20*time.Second; at += 250 * time.Millisecond {
		w.arrive(at, fmt.Sprint("urgent", at), 8, func(g *Group) { g.Due = w.at(at + 20*time.Second); g.Deadline = w.at(time.Minute) })
	}
	id := w.arrive(100*time.Millisecond, "patient", 8, func(g *Group) {
		g.Priority = 1
		g.Due = w.at(time.Second)
		g.Deadline = w.at(15 * time.Second)
	})
	w.run(16 * time.Second)
	require.Len(t, w.reasons(id), 8)
	require.Equal(t, Overload, w.reasons(id)[0])
	require.InDelta(t, 7.5, w.gotAt[id].Sub(start).Seconds(), 0.3)
}

// A surge is three times what the pool can make and lasts. Groups are given up one after the other; for how long that goes
// on is told to those that are turned away, and is over soon after the last one.
func TestAPoolTellsForHowLongTooMuchComes(t *testing.T) {
	w := newWorld(usualStage(), 1)
	for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
		w.arrive(at, fmt.Sprint("surge", at), 8, func(g *Group) { g.Deadline = w.at(at + time.Second) })
	}
	w.run(200 * time.Millisecond)
	require.Zero(t, w.pool.OverloadedFor(w.now), "nothing is given up yet")
	w.run(3 * time.Second)
	early := w.pool.OverloadedFor(w.now)
	w.run(5 * time.Second)
	require.InDelta(t, 2, (w.pool.OverloadedFor(w.now) - early).Seconds(), 0.2)
	w.run(9 * time.Second)
	require.Zero(t, w.pool.OverloadedFor(w.now))
}

// One large account sends ten times what each of four small ones does, all together twice what the pool can do. The small
// accounts' callers must not pay for the surge.
func TestPolicySmallAccountsInASurge(t *testing.T) {
	w := newWorld(usualStage(), 2)
	rng := rand.New(rand.NewPCG(7, 8))
	type sent struct {
		id    GroupID
		due   time.Time
		small bool
	}
	var all []sent
	for at := time.Duration(0); at < 8*time.Second; {
		at += time.Duration(rng.ExpFloat64() / 40 * float64(time.Second))
		account := "large"
		if n := rng.IntN(14); n < 4 {
			account = fmt.Sprint("small", n)
		}
		due := w.at(at + 800*time.Millisecond)
		id := w.arrive(at, fmt.Sprint(len(all)), 3, func(g *Group) { g.Account = account; g.Due = due })
		all = append(all, sent{id, due, account != "large"})
	}
	w.run(14 * time.Second)
	good, count := map[bool]float64{}, map[bool]float64{}
	for _, s := range all {
		count[s.small]++
		if got, known := w.gotAt[s.id]; known && !got.After(s.due) {
			good[s.small]++
		}
	}
	small, large := good[true]/count[true], good[false]/count[false]
	t.Logf("in time: small accounts %.2f, the large one %.2f", small, large)
	require.Greater(t, small, large+0.2)
}

// An endpoint stays full, since another entry collects for it too. It must not be asked as fast as it refuses.
func TestAFullEndpointIsAskedLessAndLess(t *testing.T) {
	w := newWorld(usualStage(), 1)
	w.ends["e0"] = Refused
	id := w.arrive(0, "a", 4, nil)
	w.run(4 * time.Second)
	require.LessOrEqual(t, len(w.calls), 10)
	delete(w.ends, "e0")
	w.run(6 * time.Second)
	require.Equal(t, 4, w.made(id))
}

// An endpoint whose space is full of results starts again under its id: nothing of them lies there any more. Counted on,
// the pool would send it no call until they lapse, four seconds later.
func TestAnEndpointThatStartsAgainHasAllItsSpace(t *testing.T) {
	stage := usualStage()
	stage.ResultSpaceBytes = 8 * 60_000
	w := newWorld(stage, 1)
	w.keepFor = -1
	large := func(g *Group) { g.ResultBytes = 60_000; g.Due = w.at(9 * time.Second) }
	w.arrive(0, "first", 7, large)
	second := w.arrive(300*time.Millisecond, "second", 7, large)
	w.run(time.Second)
	require.Zero(t, w.made(second), "no space is left")
	again := w.pool.endpoints[0].Endpoint
	again.Started = w.now
	w.reduce(EndpointsChanged{Endpoints: []registrar.Endpoint{again}})
	w.run(2 * time.Second)
	require.Equal(t, 7, w.made(second))
}

// Under a surge groups take long at the later stages, and a group of the first one seems late as soon as it comes. Its
// pieces are small and the later stages take the most urgent first, so it must not go behind groups of less urgency.
func TestAGroupIsLateOnlyIfTheFastestWayIsTooSlow(t *testing.T) {
	w := newWorld(usualStage(), 1)
	w.arrive(0, "busy", 8, nil)
	w.arrive(time.Millisecond, "less urgent", 8, func(g *Group) { g.Priority = 1 })
	urgent := w.arrive(2*time.Millisecond, "urgent", 8, func(g *Group) {
		g.Due = w.at(100 * time.Millisecond)
		g.LatestDue = w.at(800 * time.Millisecond)
	})
	w.run(2 * time.Second)
	require.Equal(t, 1, w.made(urgent)/8)
	require.Equal(t, "urgent", w.calls[1].Pieces[0].Request)
}
