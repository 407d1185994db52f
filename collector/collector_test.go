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
	w := newSimulation(defaultStage(), 1)
	for i := range 9 {
		w.arrive(time.Duration(i)*time.Millisecond, fmt.Sprint(i), 1, nil)
	}
	w.run(time.Second)
	require.Len(t, w.delivered, 9)
	require.Len(t, w.calls, 2, "the first piece is sent at once, the other eight together")
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
		{"late with inputs that hold space before on time and less urgent",
			func(g *Group) { late(g); g.HoldsSpace = true }, func(g *Group) { g.Priority = 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newSimulation(defaultStage(), 1)
			w.arrive(0, "busy", 8, nil)
			second := w.arrive(time.Millisecond, "second", 8, tc.second)
			first := w.arrive(2*time.Millisecond, "first", 8, tc.first)
			w.run(2 * time.Second)
			require.True(t, w.deliveredAt[first].Before(w.deliveredAt[second]))
		})
	}
}

// In a burst, groups of six pieces share endpoints with space for 21 results. If calls were filled by due time alone,
// parts of many groups would take all space, no group would be finished, and all results would expire.
func TestStartedGroupsAreFinishedFirst(t *testing.T) {
	stage := defaultStage()
	stage.ResultSpaceBytes = 21 * 60_000
	w := newSimulation(stage, 1)
	w.freeAfter = 400 * time.Millisecond
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
	complete, partial := 0, 0
	for _, id := range ids {
		switch n := w.resultCount(id); {
		case n == 6:
			complete++
		case n > 0:
			partial++
		}
	}
	require.LessOrEqual(t, partial, 2)
	require.GreaterOrEqual(t, complete, 8)
}

// A call that is sent before the call that frees results has ended reaches the endpoint first, and its pieces find no space.
func TestSpaceIsReclaimedAfterTheFreeCallEnds(t *testing.T) {
	stage := defaultStage()
	stage.ResultSpaceBytes = 9 * 8_000
	w := newSimulation(stage, 1)
	w.freeAfter = -1
	w.arrive(0, "a", 8, nil)
	b := w.arrive(time.Millisecond, "b", 8, nil)
	w.run(time.Second)
	require.Equal(t, 0, w.resultCount(b), "no space")
	var results []ResultRef
	for _, d := range w.delivered {
		results = append(results, ResultRef{Handle: d.Result.Handle, Address: d.Address})
	}
	sent := len(w.calls)
	w.reduce(ResultsReleased{Results: results})
	require.Len(t, w.calls, sent)
	w.run(2 * time.Second)
	require.Equal(t, 8, w.resultCount(b))
}

// Little space is left while many pieces wait. A call for two of them would take almost as long as one for seven.
func TestAnEndpointWaitsForSpaceForHalfACall(t *testing.T) {
	stage := defaultStage()
	stage.ResultSpaceBytes = 11 * 8_000
	w := newSimulation(stage, 1)
	w.freeAfter = 40 * time.Millisecond
	w.arrive(0, "a", 8, nil)
	w.arrive(time.Millisecond, "b", 8, nil)
	w.run(2 * time.Second)
	require.GreaterOrEqual(t, len(w.calls[1].Pieces), 4)
	require.LessOrEqual(t, len(w.calls), 3)
}

func TestSpaceOfExpiredResultsIsReclaimed(t *testing.T) {
	stage := defaultStage()
	stage.ResultSpaceBytes = 9 * 8_000
	w := newSimulation(stage, 1)
	w.freeAfter = -1
	w.arrive(0, "a", 8, nil)
	b := w.arrive(time.Millisecond, "b", 8, nil)
	w.run(6 * time.Second)
	require.Equal(t, 8, w.resultCount(b))
}

// One endpoint of three accepts calls and never answers. Its pieces are processed elsewhere within the time of three calls,
// and it receives no further ones while others can take them.
func TestASilentEndpointIsPassedBy(t *testing.T) {
	w := newSimulation(defaultStage(), 3)
	w.silent["e0"] = true
	var ids []GroupID
	for i := range 30 {
		ids = append(ids, w.arrive(time.Duration(i)*100*time.Millisecond, fmt.Sprint(i), 2, nil))
	}
	w.run(8 * time.Second)
	slowest := time.Duration(0)
	for i, id := range ids {
		require.Equal(t, 2, w.resultCount(id))
		slowest = max(slowest, w.deliveredAt[id].Sub(w.at(time.Duration(i)*100*time.Millisecond)))
	}
	require.Less(t, slowest, 1200*time.Millisecond)
	callsToSilent := 0
	for _, c := range w.calls {
		if c.Endpoint.ID == "e0" {
			callsToSilent++
		}
	}
	require.LessOrEqual(t, callsToSilent, 6)
}

func TestRefusedAndUnsentCallsDoNotCountAsTries(t *testing.T) {
	for _, end := range []CallOutcome{Refused, Unreachable, Unanswered} {
		w := newSimulation(defaultStage(), 2)
		w.outcomes["e0"] = end
		id := w.arrive(0, "a", 4, nil)
		w.run(time.Second)
		require.Equal(t, 4, w.resultCount(id))
		require.Empty(t, w.reasons(id))
	}
}

// All endpoints break off every call. The pieces fail after a few tries and are not kept until their deadline.
func TestTriesAreLimited(t *testing.T) {
	w := newSimulation(defaultStage(), 3)
	for _, id := range []string{"e0", "e1", "e2"} {
		w.outcomes[id] = Broken
	}
	id := w.arrive(0, "a", 1, nil)
	w.run(9 * time.Second)
	require.Equal(t, []Reason{Failed}, w.reasons(id))
	require.Len(t, w.calls, maxTries)
}

// A group can no longer be processed before its deadline. It fails while its caller can still retry.
func TestAPieceThatCannotMeetItsDeadlineFailsAtOnce(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	w.arrive(0, "busy", 8, nil)
	id := w.arrive(0, "a", 1, func(g *Group) { g.Priority = 1; g.Deadline = start.Add(400 * time.Millisecond) })
	w.run(time.Second)
	require.Equal(t, []Reason{Late}, w.reasons(id))
	require.Less(t, w.deliveredAt[id].Sub(start), 250*time.Millisecond)
}

// A result that arrives after its request has ended is freed at its endpoint at once.
func TestUnneededResultsAreFreed(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	id := w.arrive(0, "a", 3, nil)
	w.schedule(w.at(50*time.Millisecond), GroupWithdrawn{ID: id})
	w.run(time.Second)
	require.Empty(t, w.delivered)
	require.Len(t, w.freed, 1)
	require.Len(t, w.freed[0].Handles, 3)
}

func TestPiecesOfALostEntryAreDropped(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	w.arrive(0, "busy", 8, func(g *Group) { g.ID.Origin = "other" })
	w.arrive(0, "a", 3, nil)
	w.schedule(w.at(50*time.Millisecond), OriginLost{Origin: "entry"})
	w.run(time.Second)
	require.Len(t, w.calls, 1)
	require.False(t, w.pool.Busy())
}

func TestARepeatedGroupIsProcessedOnce(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
	w.arrive(0, "a", 3, nil)
	w.arrive(5*time.Millisecond, "a", 3, nil)
	w.run(time.Second)
	require.Len(t, w.delivered, 3)
	require.Len(t, w.calls, 1)
}

// A group's large inputs are in one zone. With time to spare, the group waits for an endpoint there; otherwise it uses any.
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
			w := newSimulation(defaultStage(), 2)
			w.arrive(0, "busy", 8, nil)
			id := w.arrive(time.Millisecond, "a", 4, func(g *Group) {
				g.PreferredZone = "z0"
				g.CrossZoneBytes = 3_000_000
				g.Due = start.Add(tc.due)
			})
			w.run(time.Second)
			require.Equal(t, 4, w.resultCount(id))
			for _, d := range w.delivered {
				if d.ID == id {
					require.Equal(t, tc.want, d.Zone)
				}
			}
		})
	}
}

// TestPolicyBurst simulates a burst of 2.5 times the usual load on a pool that is usually half full. In its baseline, each
// of seven entries fills calls on its own.
func TestPolicyBurst(t *testing.T) {
	const entries = 7
	simulate := func(pools int) (float64, float64) {
		rng := rand.New(rand.NewPCG(5, 6))
		simulations := make([]*simulation, pools)
		busy := make(map[string]time.Time)
		for i := range simulations {
			simulations[i] = newSimulation(defaultStage(), 3)
			simulations[i].busyUntil = busy
		}
		type sent struct {
			w  *simulation
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
			w := simulations[rng.IntN(pools)]
			all = append(all, sent{w, w.arrive(at, fmt.Sprint(len(all)), 1+rng.IntN(2), nil), at})
		}
		onTime, calls, pieces := 0, 0, 0
		for step := 10 * time.Millisecond; step < 14*time.Second; step += 10 * time.Millisecond {
			for _, w := range simulations {
				w.run(step)
			}
		}
		for _, w := range simulations {
			for _, c := range w.calls {
				calls++
				pieces += len(c.Pieces)
			}
		}
		for _, s := range all {
			if got, known := s.w.deliveredAt[s.id]; known && got.Sub(s.w.at(s.at)) < 600*time.Millisecond {
				onTime++
			}
		}
		return float64(onTime) / float64(len(all)), float64(pieces) / float64(calls)
	}
	shared, batch := simulate(1)
	separate, separateBatch := simulate(entries)
	t.Logf("one entry collects: %.2f on time, %.1f pieces per call; each entry on its own: %.2f, %.1f", shared, batch, separate, separateBatch)
	require.Greater(t, shared, 0.97)
	require.Less(t, separate, 0.5)
	require.Greater(t, batch, 2.0)
}

// At three times the pool's capacity, urgent work takes all of it. Other groups fail as soon as it is certain that they
// cannot be processed before their deadline, and not when it has passed.
func TestOverloadIsToldBeforeTheDeadline(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
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
	require.Less(t, w.deliveredAt[id].Sub(start), 200*time.Millisecond)
	require.Greater(t, w.pool.PredictedWait(w.now), 5*time.Second)
}

// The collecting entry shuts down while pieces wait. They must be requested elsewhere at once; pieces in a call are still
// delivered by this entry.
func TestWaitingPiecesMoveAwayWhenTheEntryStops(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	inCall := w.arrive(0, "a", 8, nil)
	waiting := w.arrive(time.Millisecond, "b", 3, nil)
	w.schedule(w.at(20*time.Millisecond), Stopping{})
	after := w.arrive(30*time.Millisecond, "c", 2, nil)
	w.run(time.Second)
	require.Equal(t, 8, w.resultCount(inCall))
	require.Equal(t, []Reason{Moved, Moved, Moved}, w.reasons(waiting))
	require.Equal(t, []Reason{Moved, Moved}, w.reasons(after))
	require.Less(t, w.deliveredAt[waiting].Sub(start), 30*time.Millisecond)
	require.False(t, w.pool.Busy())
}

// All zones of a stage's endpoints are evacuated while pieces wait. Calls in progress are completed. Waiting pieces, and
// those that arrive later, fail at once and not at their deadline.
func TestWaitingPiecesFailOnEvacuation(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	inCall := w.arrive(0, "a", 8, nil)
	waiting := w.arrive(time.Millisecond, "b", 3, nil)
	w.schedule(w.at(20*time.Millisecond), EndpointsChanged{Evacuated: true})
	after := w.arrive(30*time.Millisecond, "c", 2, nil)
	w.run(time.Second)
	require.Equal(t, 8, w.resultCount(inCall))
	require.Equal(t, []Reason{Evacuated, Evacuated, Evacuated}, w.reasons(waiting))
	require.Equal(t, []Reason{Evacuated, Evacuated}, w.reasons(after))
	require.Less(t, w.deliveredAt[waiting].Sub(start), 30*time.Millisecond)
}

// The zone of a group's inputs has no endpoint any more. The group must not wait for one there.
func TestAGroupDoesNotWaitForAZoneWithoutEndpoints(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
	id := w.arrive(0, "a", 4, func(g *Group) {
		g.PreferredZone = "evacuated"
		g.CrossZoneBytes = 3_000_000
		g.Due = start.Add(2 * time.Second)
	})
	w.run(time.Second)
	require.Equal(t, 4, w.resultCount(id))
	require.Less(t, w.deliveredAt[id].Sub(start), 300*time.Millisecond)
}

// Pieces that may be processed in only one region wait for an endpoint there, and pieces behind them can overtake.
func TestPiecesStayInTheirRegions(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
	far := []registrar.Endpoint{{ID: "near", Zone: "z0", Region: "home", Address: "near:1"}, {ID: "far", Zone: "z1", Region: "far", Address: "far:1"}}
	w.schedule(start, EndpointsChanged{Endpoints: far})
	var ids []GroupID
	for i := range 4 {
		ids = append(ids, w.arrive(time.Duration(i+1)*time.Millisecond, fmt.Sprint(i), 8, func(g *Group) { g.Regions = []string{"far"} }))
	}
	free := w.arrive(10*time.Millisecond, "free", 8, nil)
	w.run(3 * time.Second)
	for _, id := range ids {
		require.Equal(t, 8, w.resultCount(id))
	}
	for _, d := range w.delivered {
		if d.ID != free {
			require.Equal(t, "z1", d.Zone)
		}
	}
	require.Less(t, w.deliveredAt[free].Sub(start), 400*time.Millisecond)
}

// A growing amount of urgent work takes the whole pool. A less urgent request that is already late fails when half of its
// time is over, so that its caller can use the other half to retry.
func TestALateGroupIsToldByHalfOfItsTime(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
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
	require.InDelta(t, 7.5, w.deliveredAt[id].Sub(start).Seconds(), 0.3)
}

// A long surge is three times the pool's capacity, so groups keep failing. The pool reports for how long this has lasted,
// and stops soon after the last failure.
func TestOverloadDurationIsReported(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
		w.arrive(at, fmt.Sprint("surge", at), 8, func(g *Group) { g.Deadline = w.at(at + time.Second) })
	}
	w.run(200 * time.Millisecond)
	require.Zero(t, w.pool.OverloadedFor(w.now), "no group has failed yet")
	w.run(3 * time.Second)
	early := w.pool.OverloadedFor(w.now)
	w.run(5 * time.Second)
	require.InDelta(t, 2, (w.pool.OverloadedFor(w.now) - early).Seconds(), 0.2)
	w.run(9 * time.Second)
	require.Zero(t, w.pool.OverloadedFor(w.now))
}

// One large account sends ten times as much as each of four small ones; the total is twice the pool's capacity. The surge
// must not affect the small accounts.
func TestPolicySmallAccountsInASurge(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
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
		if got, known := w.deliveredAt[s.id]; known && !got.After(s.due) {
			good[s.small]++
		}
	}
	small, large := good[true]/count[true], good[false]/count[false]
	t.Logf("on time: small accounts %.2f, the large one %.2f", small, large)
	require.Greater(t, small, large+0.2)
}

// An endpoint stays full because another entry collects for it too. Calls must not be repeated as fast as it refuses them.
func TestAFullEndpointIsRetriedWithBackoff(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	w.outcomes["e0"] = Refused
	id := w.arrive(0, "a", 4, nil)
	w.run(4 * time.Second)
	require.LessOrEqual(t, len(w.calls), 10)
	delete(w.outcomes, "e0")
	w.run(6 * time.Second)
	require.Equal(t, 4, w.resultCount(id))
}

// An endpoint whose space is full of results restarts under the same ID and loses them. If they were still counted, the pool
// would send it no call until they expire, four seconds later.
func TestARestartedEndpointHasAllItsSpace(t *testing.T) {
	stage := defaultStage()
	stage.ResultSpaceBytes = 8 * 60_000
	w := newSimulation(stage, 1)
	w.freeAfter = -1
	large := func(g *Group) { g.ResultBytes = 60_000; g.Due = w.at(9 * time.Second) }
	w.arrive(0, "first", 7, large)
	second := w.arrive(300*time.Millisecond, "second", 7, large)
	w.run(time.Second)
	require.Zero(t, w.resultCount(second), "no space is left")
	restarted := w.pool.endpoints[0].Endpoint
	restarted.Started = w.now
	w.reduce(EndpointsChanged{Endpoints: []registrar.Endpoint{restarted}})
	w.run(2 * time.Second)
	require.Equal(t, 7, w.resultCount(second))
}

// In a surge, groups take long at the later stages, and a group of the first stage seems late as soon as it arrives. Its
// pieces are small and later stages process the most urgent groups first, so it must not go after less urgent groups.
func TestAGroupIsLateOnlyIfTheFastestPathIsTooSlow(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	w.arrive(0, "busy", 8, nil)
	w.arrive(time.Millisecond, "less urgent", 8, func(g *Group) { g.Priority = 1 })
	urgent := w.arrive(2*time.Millisecond, "urgent", 8, func(g *Group) {
		g.Due = w.at(100 * time.Millisecond)
		g.LatestDue = w.at(800 * time.Millisecond)
	})
	w.run(2 * time.Second)
	require.Equal(t, 1, w.resultCount(urgent)/8)
	require.Equal(t, "urgent", w.calls[1].Pieces[0].Request)
}
