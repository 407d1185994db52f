package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/publisher"
)

func modelsAB(least int) *publisher.Placement {
	return placement(placed("a", least, 1), placed("b", least, 1))
}

// The backlog of one model surges while the other is idle. Engines must move to it at the weight store's rate, never
// taking the idle model's last one, and return after the surge. No engine may move under a steady demand.
func TestSurgeMovesEnginesAndBack(t *testing.T) {
	w := newSimulation(t, modelsAB(1), append(repeat("a", 5), repeat("b", 5)...)...)
	w.run(time.Minute)
	require.Equal(t, []int{5, 5}, w.copies("a", "b"))
	require.Empty(t, w.loads, "an idle pool does not change")

	w.demand["b"] = 50_000
	w.run(DefaultMoveDelay)
	require.Empty(t, w.loads, "a short burst moves no engine")
	w.run(time.Minute)
	require.Equal(t, []int{1, 9}, w.copies("a", "b"))
	moved := len(w.loads)
	w.run(10 * time.Minute)
	require.Len(t, w.loads, moved, "a steady demand moves no engine")
	require.Equal(t, 1, w.minServing["a"])

	w.demand["b"] = 0
	w.run(2 * time.Minute)
	require.Equal(t, []int{4, 6}, w.copies("a", "b"), "back to within MoveRatio")
	w.requireLoadLimit(1, 2)
}

// For any demand, placement and engines: a model in use that had a serving engine always has one, the weight store is
// never asked for more than its rate, and a steady demand leads to a state without further loads.
func TestInvariants(t *testing.T) {
	names := []string{"a", "b", "c", ""}
	rapid.Check(t, func(r *rapid.T) {
		holds := rapid.SliceOfN(rapid.SampledFrom(names), 1, 12).Draw(r, "holds")
		var models []publisher.PlacedModel
		for _, name := range names[:rapid.IntRange(1, 3).Draw(r, "models")] {
			model := placed(name, rapid.IntRange(0, 4).Draw(r, "least"), float64(rapid.IntRange(1, 9).Draw(r, "weight")))
			model.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(r, "version")
			models = append(models, model)
		}
		w := newSimulation(t, placement(models...), holds...)
		for range 4 {
			for _, name := range names[:3] {
				w.demand[name] = float64(rapid.IntRange(0, 100_000).Draw(r, "demand"))
			}
			w.run(rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second}).Draw(r, "span"))
		}
		w.run(2 * time.Minute)
		before := len(w.loads)
		w.run(2 * time.Minute)
		if len(w.loads) != before {
			r.Fatalf("%d loads under a steady demand", len(w.loads)-before)
		}
		for name, least := range w.minServing {
			if least < 1 {
				r.Fatalf("nothing served %s", name)
			}
		}
		w.requireLoadLimit(1, 2)
	})
}

// A new orderer finds an empty pool with two models in demand. Each must get a first copy, and the other engines must
// be loaded in order of the demand served: one at once and then one a second, since the previous orderer may have spent
// the store's burst.
func TestLoadsAreOrderedByDemand(t *testing.T) {
	w := newSimulation(t, modelsAB(0), repeat("", 6)...)
	w.demand["a"], w.demand["b"] = 1_000, 20_000
	w.inUse["a"], w.inUse["b"] = true, true
	var served []string
	w.deliver = func(o Order) (Result, bool) {
		served = append(served, o.State.Model)
		require.True(t, o.Load)
		return nil, true
	}
	w.run(stepTime)
	require.Equal(t, []string{"b"}, served)
	w.run(10 * time.Second)
	require.Equal(t, []string{"b", "a", "b", "b", "b", "b"}, served)
	w.requireLoadLimit(1, 2)
}

// The weight store reports that it is at its limit. No load of the pool may be ordered before the retry time that it
// stated.
func TestNoLoadsWhileStoreIsLimited(t *testing.T) {
	w := newSimulation(t, modelsAB(1), repeat("", 4)...)
	orders := 0
	w.deliver = func(Order) (Result, bool) {
		orders++
		return Refused{RetryAfter: 30 * time.Second, Limited: true}, false
	}
	w.run(29 * time.Second)
	require.Equal(t, 1, orders)
	w.deliver = nil
	w.run(30 * time.Second)
	require.Equal(t, []int{2, 2}, w.copies("a", "b"))
}

// Orders fail. In each case the pool must end up as the placement says, with no more loads than engines, since an order that
// took effect must not be repeated.
func TestFailedOrders(t *testing.T) {
	scenarios := []struct {
		testName string
		result   Result
		arrives  bool
	}{
		{"reply lost after the order took effect", Uncertain{}, true},
		{"order lost in transit", Uncertain{}, false},
		{"refused", Refused{}, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w := newSimulation(t, modelsAB(2), repeat("", 4)...)
			failures := 3
			w.deliver = func(Order) (Result, bool) {
				if failures--; failures < 0 {
					return nil, true
				}
				return s.result, s.arrives
			}
			w.run(time.Minute)
			require.Equal(t, []int{2, 2}, w.copies("a", "b"))
			require.Len(t, w.loads, 4)
		})
	}
}

// An orderer is paused with an order in transit, and its successor puts another model on the engine before the order
// arrives. An engine that honours fencing tokens must refuse it, even if the successor had no change for that engine.
// An engine that ignores them loads the wrong model, and the successor must read this and correct it.
func TestLateOrderOfPreviousOrderer(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		t.Run(map[bool]string{false: "honours", true: "ignores"}[ignores], func(t *testing.T) {
			w := newSimulation(t, modelsAB(2), "a", "a", "b", "b")
			for _, e := range w.engines {
				e.ignoreFence = ignores
				e.state.Fence = 3
			}
			w.run(time.Second)
			late := Assignment{Model: "b", Version: "1", Role: publisher.RoleBoth, Fence: 5}
			require.Equal(t, ignores, w.engines["e00"].accept(late, w.now))
			w.run(time.Minute)
			require.Equal(t, []int{2, 2}, w.copies("a", "b"))
			if !ignores {
				require.Equal(t, int64(7), w.engines["e00"].state.Fence, "sent the token without a change")
				require.Empty(t, w.loads)
			}
		})
	}
}

// This entry's lease has ended, but the entry does not know it yet. An engine's fencing token shows that a newer
// orderer is active.
func TestNoOrdersToEnginesOfNewerOrderer(t *testing.T) {
	w := newSimulation(t, modelsAB(2), "a", "a", "a", "a")
	for _, e := range w.engines {
		e.state.Fence = 8
	}
	w.deliver = func(Order) (Result, bool) {
		require.Fail(t, "an order was sent")
		return nil, false
	}
	w.run(time.Minute)
}

// An order is in flight, or its reply was lost. Reads sent before its result show the previous state. If they counted
// as a failure of the order, the same weights would be loaded once more.
func TestOnlyLaterReadSettlesOrder(t *testing.T) {
	w := newSimulation(t, placement(placed("a", 1, 1)), "")
	old := w.engines["e00"].state
	w.placer.SetEngines(w.addresses)
	w.placer.ObserveState("e00", old, w.now, w.now)
	orders := func() []Order { return w.placer.Orders(w.placed, w.inUse, w.lease, w.now) }
	sent := orders()
	require.Len(t, sent, 1)
	requestedAt := w.now.Add(time.Second)
	w.now = w.now.Add(2 * time.Second)
	w.placer.ObserveState("e00", old, requestedAt, w.now)
	require.Empty(t, orders(), "in flight")
	w.placer.RecordResult("e00", Uncertain{}, w.now)
	w.placer.ObserveState("e00", old, requestedAt, w.now)
	require.Empty(t, orders(), "not read since")
	require.Equal(t, []string{"e00"}, w.placer.Unsettled())
	w.now = w.now.Add(time.Second)
	w.placer.ObserveState("e00", sent[0].State, w.now, w.now)
	require.Empty(t, orders(), "it took effect")
	require.Empty(t, w.placer.Unsettled())
}

// The only copy of a model in use has an old version. It must keep serving until another engine serves the new one.
func TestOnlyCopyIsUpgradedAfterAnotherServes(t *testing.T) {
	p := placement(placed("a", 1, 1), placed("b", 1, 1))
	p.Models[0].Version = "2"
	w := newSimulation(t, p, "a", "b", "b")
	w.run(time.Minute)
	require.Equal(t, 1, w.minServing["a"])
	require.Equal(t, 1, w.minServing["b"])
	for _, e := range w.engines {
		if e.state.Model == "a" {
			require.Equal(t, "2", e.state.Version)
		}
	}
}

// A role change must not load weights.
func TestRoleChangeNeedsNoLoad(t *testing.T) {
	p := modelsAB(1)
	p.Models[0].Role = publisher.RolePrefill
	w := newSimulation(t, p, "a", "b")
	w.run(time.Second)
	require.Equal(t, publisher.RolePrefill, w.engines["e00"].state.Role)
	require.Empty(t, w.loads)
}

// An engine has not been read for a while and may be gone. The other engine is then the last copy and must not be
// taken.
func TestStaleCopyDoesNotCount(t *testing.T) {
	w := newSimulation(t, modelsAB(0), "a", "a", "b")
	w.run(time.Second)
	lastRead := w.now
	for range 600 {
		if w.now.Sub(lastRead) > DefaultStateMaxAge-DefaultMoveDelay {
			w.demand["b"] = 100_000
		}
		w.now = w.now.Add(stepTime)
		w.placer.ObserveDemand(w.demand, w.now)
		for _, address := range []string{"e01", "e02"} {
			w.placer.ObserveState(address, w.engines[address].state, w.now, w.now)
		}
		require.Empty(t, w.placer.Orders(w.placed, w.inUse, w.lease, w.now))
	}
}
