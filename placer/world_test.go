package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/publisher"
)

const (
	stepTime = 100 * time.Millisecond
	loadTime = 2 * time.Second
)

// simEngine simulates an engine, which loads models and either honours or ignores fencing tokens.
type simEngine struct {
	state       Assignment
	loadedAt    time.Time
	ignoreFence bool
	loads       int
	orders      int
}

func (e *simEngine) accept(state Assignment, now time.Time) bool {
	if !e.ignoreFence && state.Fence < e.state.Fence {
		return false
	}
	e.orders++
	same := e.state.sameWeights(&state)
	loading := e.state.Loading
	e.state = state
	e.state.Loading = loading
	if !same {
		e.loads++
		e.state.Loading = true
		e.loadedAt = now.Add(loadTime)
	}
	return true
}

// simulation is a pool whose engines are read and sent orders in each step.
type simulation struct {
	t         *testing.T
	now       time.Time
	placer    *Placer
	placed    *publisher.Placement
	engines   map[string]*simEngine
	addresses []string
	demand    map[string]float64
	inUse     map[string]bool
	lease     Lease
	// loads holds the times at which loads began.
	loads []time.Time
	// minServing is the smallest number of engines that served each model in use.
	minServing map[string]int
	// deliver determines the result of an order if a test sets it, and reports whether the engine receives the order.
	deliver func(o Order) (Result, bool)
}

func placement(models ...publisher.PlacedModel) *publisher.Placement {
	return &publisher.Placement{Name: "engines", Pool: "engines", Models: models}
}

func placed(name string, least int, weight float64) publisher.PlacedModel {
	return publisher.PlacedModel{Model: name, Version: "1", Role: publisher.RoleBoth, MinCopies: least, Weight: weight}
}

// newSimulation returns a pool with engines that hold the given models, in this order. An empty name is an engine
// without a model.
func newSimulation(t *testing.T, p *publisher.Placement, holds ...string) *simulation {
	w := &simulation{
		t: t, now: time.UnixMilli(1_800_000_000_000), placer: New(Config{LoadsPerSecond: 1, LoadBurst: 2}), placed: p,
		engines: map[string]*simEngine{}, demand: map[string]float64{}, inUse: map[string]bool{},
		lease: Lease{Fence: 7, Granted: 7}, minServing: map[string]int{},
	}
	for i, name := range holds {
		address := fmt.Sprintf("e%02d", i)
		w.addresses = append(w.addresses, address)
		w.engines[address] = &simEngine{state: Assignment{Model: name, Version: "1", Role: publisher.RoleBoth}}
		if name != "" {
			w.inUse[name] = true
			w.minServing[name] = len(holds)
		}
	}
	return w
}

func (w *simulation) count(model string, serving bool) int {
	n := 0
	for _, e := range w.engines {
		if e.state.Model == model && (!serving || !e.state.Loading) {
			n++
		}
	}
	return n
}

func (w *simulation) step() {
	w.now = w.now.Add(stepTime)
	for _, address := range w.addresses {
		e := w.engines[address]
		if e.state.Loading && !w.now.Before(e.loadedAt) {
			e.state.Loading = false
		}
	}
	w.placer.SetEngines(w.addresses)
	w.placer.ObserveDemand(w.demand, w.now)
	for _, address := range w.addresses {
		w.placer.ObserveState(address, w.engines[address].state, w.now, w.now)
	}
	for _, o := range w.placer.Orders(w.placed, w.inUse, w.lease, w.now) {
		w.execute(o)
	}
	for model, least := range w.minServing {
		w.minServing[model] = min(least, w.count(model, true))
	}
}

func (w *simulation) execute(o Order) {
	e := w.engines[o.Address]
	before := e.loads
	var result Result
	arrives := true
	if w.deliver != nil {
		result, arrives = w.deliver(o)
	}
	if arrives && !e.accept(o.State, w.now) && result == nil {
		result = Refused{}
	}
	if e.loads > before {
		w.loads = append(w.loads, w.now)
	}
	if result == nil {
		result = Accepted{State: e.state}
	}
	w.placer.RecordResult(o.Address, result, w.now)
}

func (w *simulation) run(d time.Duration) {
	for range int(d / stepTime) {
		w.step()
	}
}

// requireLoadLimit checks that no period had more loads than the weight store allows.
func (w *simulation) requireLoadLimit(rate float64, burst int) {
	w.t.Helper()
	for i := range w.loads {
		for j := i; j < len(w.loads); j++ {
			allowed := float64(burst) + rate*w.loads[j].Sub(w.loads[i]).Seconds()
			require.LessOrEqual(w.t, float64(j-i+1), allowed+1e-6)
		}
	}
}

func (w *simulation) copies(models ...string) []int {
	var counts []int
	for _, model := range models {
		counts = append(counts, w.count(model, true))
	}
	return counts
}

func repeat(name string, n int) []string { return slices.Repeat([]string{name}, n) }
