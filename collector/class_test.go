package collector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/switcher"
)

func withoutClassLoads(t *testing.T) switcher.Disabled {
	disabled, err := switcher.Disable(string(switcher.ClassLoads))
	require.NoError(t, err)
	return disabled
}

// Guards against refusing urgent callers, and calling them late, because of a backlog that goes behind them.
func TestUrgentPiecesWaitOnlyBehindUrgentOnes(t *testing.T) {
	stage := defaultStage()
	call := stage.CallDuration(stage.Batch)
	w := newSimulation(stage, 2)
	for i := range 20 {
		w.arrive(0, fmt.Sprint("hint", i), 8, func(g *Group) { g.Priority = 2 })
	}
	for i := range 4 {
		w.arrive(0, fmt.Sprint("question", i), 8, func(g *Group) { g.Priority = 1 })
	}
	w.run(10 * time.Millisecond)
	require.Equal(t, 11*call, w.pool.PredictedWait(w.now))
	for priority, want := range map[int]time.Duration{-1: 0, 0: 0, 1: 2 * call, 2: 11 * call, 7: 11 * call, 1000: 11 * call} {
		require.Equal(t, want, w.pool.PredictedWaitOf(priority, w.now), priority)
	}
	loads := w.pool.ClassLoads(w.now)
	require.Len(t, loads, 3)
	for i, want := range []time.Duration{0, 2 * call, 11 * call} {
		require.Equal(t, Class(i), loads[i].Class)
		require.Equal(t, want, loads[i].Wait)
	}
	w.pool.cfg.Disabled = withoutClassLoads(t)
	require.Equal(t, 11*call, w.pool.PredictedWaitOf(0, w.now))
	require.Nil(t, w.pool.ClassLoads(w.now))
}

func TestTurnaroundByPriority(t *testing.T) {
	const short, long = time.Second, 3 * time.Second
	now := start
	p := New(Config{Stage: defaultStage()})
	record := func(priority int, took time.Duration) {
		p.turnaround.add(took)
		p.classes.recordTurnaround(priority, took, now)
		p.classes.recordArrival(priority, now)
	}
	record(2, long)
	require.Equal(t, long, p.TurnaroundOf(2, now), "a single priority has the pool's own")
	require.Equal(t, long, p.TurnaroundOf(0, now))
	record(0, short)
	p.turnaround.mean = 2 * time.Second
	free := p.freeTurnaround()
	require.Equal(t, free, p.TurnaroundOf(0, now), "nothing waits any more")
	require.Equal(t, short, p.classes.turnaroundOf(Class(0), p.Turnaround(), now))
	require.Equal(t, long, p.classes.turnaroundOf(Class(2), p.Turnaround(), now))
	require.Equal(t, 2*time.Second, p.classes.turnaroundOf(Class(1), p.Turnaround(), now), "it has none of its own")
	record(0, 2*long)
	p.classes[0].turnaround.mean = 2 * long
	require.Equal(t, long, p.classes.turnaroundOf(Class(0), p.Turnaround(), now), "at most that of a less urgent one")
	now = now.Add(classExpiry)
	require.Equal(t, p.Turnaround(), p.TurnaroundOf(0, now), "none is recent")
}

// randomSurge schedules groups of the given number of priorities for six seconds, with a surge in the middle.
func randomSurge(w *simulation, priorities int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for at, n := time.Duration(0), 0; at < 6*time.Second; n++ {
		w.arrive(at, fmt.Sprint(n), 1+rng.IntN(8), func(g *Group) {
			g.Priority = rng.IntN(priorities)
			g.Account = fmt.Sprint(rng.IntN(4))
			g.Due = w.at(at + time.Duration(300+rng.IntN(1500))*time.Millisecond)
			g.Deadline = w.at(at + 5*time.Second)
		})
		mean := 40.0
		if at > 2*time.Second && at < 4*time.Second {
			mean = 8
		}
		at += time.Duration(rng.ExpFloat64() * mean * float64(time.Millisecond))
	}
}

// Where all requests have one priority, the mechanism must change nothing: the same events have the same effects and loads.
func TestClassLoadsChangeNothingForASinglePriority(t *testing.T) {
	for seed := range uint64(5) {
		with, without := newSimulation(defaultStage(), 5), newSimulation(defaultStage(), 5)
		without.pool.cfg.Disabled = withoutClassLoads(t)
		randomSurge(with, 1, seed)
		randomSurge(without, 1, seed)
		for at := time.Duration(0); at < 9*time.Second; at += 50 * time.Millisecond {
			with.run(at)
			without.run(at)
			require.Equal(t, without.calls, with.calls)
			require.Equal(t, without.delivered, with.delivered)
			require.Equal(t, without.freed, with.freed)
			for priority := range 3 {
				require.Equal(t, without.pool.TurnaroundOf(priority, without.now), with.pool.TurnaroundOf(priority, with.now))
			}
			require.Equal(t, without.pool.PredictedWaitOf(0, without.now), with.pool.PredictedWaitOf(0, with.now))
		}
		require.NotEmpty(t, with.delivered)
	}
}

// The wait decides on refusal at the door. While an endpoint is idle, no priority may count as waiting; a less urgent priority
// waits at least as long as a more urgent one, and the least urgent one for all.
func TestNoPriorityWaitsWhileAnEndpointIsIdle(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(defaultStage(), 5)
		randomSurge(w, 4, seed)
		idle, queued := 0, 0
		for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
			w.run(at)
			anyIdle := len(w.pool.availableEndpoints(w.now)) > 0
			previous := time.Duration(0)
			for priority := range MaxPriority + 1 {
				wait := w.pool.PredictedWaitOf(priority, w.now)
				require.GreaterOrEqual(t, wait, previous)
				previous = wait
				if anyIdle {
					require.Zero(t, wait)
				}
			}
			require.Equal(t, w.pool.PredictedWait(w.now), previous)
			if anyIdle {
				idle++
			}
			if previous > 0 {
				queued++
			}
		}
		require.Positive(t, idle)
		require.Positive(t, queued)
	}
}

// Guards against a load by priority that stays after its last use, as when all of a priority's callers were refused.
func TestClassLoadsExpire(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	for i := range 30 {
		w.arrive(0, fmt.Sprint(i), 8, func(g *Group) {
			g.Priority = i % 2
			g.Due, g.Deadline = w.at(4*time.Second), w.at(4*time.Second)
		})
	}
	w.run(2 * time.Second)
	require.NotEmpty(t, w.pool.ClassLoads(w.now))
	w.run(5*time.Second + classExpiry)
	require.Empty(t, w.pool.ClassLoads(w.now))
	for priority := range 3 {
		require.Zero(t, w.pool.PredictedWaitOf(priority, w.now))
		require.Equal(t, w.pool.Turnaround(), w.pool.TurnaroundOf(priority, w.now))
	}
}

// Guards against starving a route or a client account in a lasting overload: with four thirds of the capacity asked for, of which
// the urgent route needs half, each is served at least a quarter as often as all, and the urgent route on time.
func TestNoneStarvesInALastingOverload(t *testing.T) {
	const accounts, seconds = 8, 12
	w := newSimulation(defaultStage(), 6)
	perSecond := 6 / w.pool.cfg.Stage.CallDuration(8).Seconds()
	rng := rand.New(rand.NewPCG(3, 4))
	type origin struct {
		account string
		urgent  bool
		due     time.Time
	}
	groups := make(map[GroupID]origin)
	for at, n := time.Duration(0), 0; at < seconds*time.Second; n++ {
		o := origin{account: fmt.Sprint(min(rng.IntN(accounts), rng.IntN(accounts))), urgent: rng.IntN(8) < 3, due: w.at(at + 1500*time.Millisecond)}
		id := w.arrive(at, fmt.Sprint(n), 8, func(g *Group) {
			g.Account, g.Priority = o.account, Rank(1, 2)
			if o.urgent {
				g.Priority = Rank(1, 0)
			}
			g.Due, g.Deadline = o.due, w.at(at+4*time.Second)
		})
		groups[id] = o
		at += time.Duration(rng.ExpFloat64() / (perSecond * 4 / 3) * float64(time.Second))
	}
	w.run((seconds + 4) * time.Second)
	served := make(map[string]float64)
	asked := make(map[string]float64)
	late := 0
	for id, o := range groups {
		done := w.resultCount(id) == 8
		for _, name := range []string{"all", "account " + o.account, fmt.Sprint("urgent ", o.urgent)} {
			asked[name]++
			if done {
				served[name]++
			}
		}
		if o.urgent && (!done || w.deliveredAt[id].After(o.due)) {
			late++
		}
	}
	mean := served["all"] / asked["all"]
	require.Less(t, mean, 0.95, "it is an overload")
	require.Len(t, asked, accounts+3)
	for name := range asked {
		require.Greater(t, 4*served[name]/asked[name], mean, name)
	}
	require.Less(t, float64(late)/asked["urgent true"], 0.02)
}

// Late urgent groups must not make groups late that can be on time, and go before other late ones.
func TestLateUrgentGroupsGoBehindThoseThatCanBeOnTime(t *testing.T) {
	stage := defaultStage()
	stage.Batch = 1
	w := newSimulation(stage, 1)
	w.arrive(0, "running", 1, nil)
	order := []struct {
		priority int
		due      time.Duration
	}{{0, 5 * time.Second}, {2, 5 * time.Second}, {0, -time.Second}, {2, -2 * time.Second}}
	var ids []GroupID
	for i, o := range order {
		ids = append(ids, w.arrive(10*time.Millisecond, fmt.Sprint(i), 1, func(g *Group) { g.Priority, g.Due = o.priority, w.at(o.due) }))
	}
	w.run(2 * time.Second)
	for i := 1; i < len(ids); i++ {
		require.True(t, w.deliveredAt[ids[i-1]].Before(w.deliveredAt[ids[i]]), i)
	}
}
