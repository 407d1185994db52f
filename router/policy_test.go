package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
	"geraniumline/router"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	engines    = 10
	slots      = 8
	entryCount = 7
	// prefillPerBlock is the time to process a block of 64 bytes that is not cached, and decodeTime
	// the time to generate the answer's tokens. A prompt of 60 blocks costs 192 ms with an empty
	// cache.
	prefillPerBlock = 3200 * time.Microsecond
	decodeTime      = 60 * time.Millisecond
	prefixes        = 60
	prefixBlocks    = 48
	tailBlocks      = 12
	cacheBlocks     = 1024
	runTime         = 16 * time.Second
	warmUp          = 6 * time.Second
	heartbeat       = 200 * time.Millisecond
	eventDelay      = 500 * time.Millisecond
	gapRate         = 0.02
)

// simulation runs 7 entries that send to 10 engines with prefix caches, in simulated time. Calls
// that exceed an engine's slots wait at the engine.
type simulation struct {
	now       time.Time
	rng       *rand.Rand
	events    simHeap
	sequence  int
	engines   []*engine
	choosers  []chooser
	waiting   [][]*job
	reportLag time.Duration
	latencies []time.Duration
	totalWork time.Duration
	completed int
}

// chooser is the method by which one entry chooses an engine. choose returns -1 to keep the job
// waiting at the entry.
type chooser interface {
	choose(*job, time.Time) int
	jobEnded(index int, j *job, now time.Time)
	report(index int, r router.LoadReport, now time.Time)
}

type job struct {
	entry     int
	input     string
	hashes    []uint64
	arrivedAt time.Time
	startedAt time.Time
}

func (sim *simulation) startJobs(e *engine) {
	for e.running < slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		cachedBlocks := e.store(sim, j)
		took := time.Duration(len(j.hashes)-cachedBlocks)*prefillPerBlock + time.Duration(float64(decodeTime)*(0.5+0.5*sim.rng.ExpFloat64()))
		sim.after(took, func() {
			e.running--
			sim.finish(e, j, took)
			sim.startJobs(e)
		})
	}
}

func (sim *simulation) finish(e *engine, j *job, took time.Duration) {
	sim.choosers[j.entry].jobEnded(e.index, j, sim.now)
	if sim.now.Sub(start) > warmUp {
		sim.latencies = append(sim.latencies, sim.now.Sub(j.arrivedAt))
		sim.totalWork += took
		sim.completed++
	}
	sim.dispatchWaiting(j.entry)
}

// dispatchWaiting sends the jobs that wait at an entry to engines.
func (sim *simulation) dispatchWaiting(entry int) {
	for len(sim.waiting[entry]) > 0 {
		j := sim.waiting[entry][0]
		chosen := sim.choosers[entry].choose(j, sim.now)
		if chosen < 0 {
			return
		}
		sim.waiting[entry] = sim.waiting[entry][1:]
		j.startedAt = sim.now
		sim.engines[chosen].queue = append(sim.engines[chosen].queue, j)
		sim.startJobs(sim.engines[chosen])
	}
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

func (sim *simulation) every(d time.Duration, run func()) {
	sim.after(d, func() {
		run()
		sim.every(d, run)
	})
}

type results struct {
	p50, p99 float64
	cost     float64
}

func runSimulation(newChooser func(entry int) chooser, lag time.Duration, perSecond float64, seed uint64) results {
	sim := &simulation{now: start, rng: rand.New(rand.NewPCG(seed, 3)), reportLag: lag, waiting: make([][]*job, entryCount)}
	for i := range engines {
		sim.engines = append(sim.engines, newEngine(i))
	}
	for i := range entryCount {
		sim.choosers = append(sim.choosers, newChooser(i))
	}
	sim.every(heartbeat, sim.sendReports)
	for i, c := range sim.choosers {
		if rc, isRouter := c.(*routerChooser); isRouter {
			sim.after(heartbeat*time.Duration(i)/entryCount, func() { sim.every(heartbeat, func() { sim.sendHeartbeat(i, rc) }) })
		}
	}
	zipf := rand.NewZipf(sim.rng, 1.2, 1, prefixes-1)
	var arrive func()
	serial := 0
	arrive = func() {
		serial++
		j := newJob(sim.rng.IntN(entryCount), int(zipf.Uint64()), serial, sim.now)
		sim.waiting[j.entry] = append(sim.waiting[j.entry], j)
		sim.dispatchWaiting(j.entry)
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for sim.now.Sub(start) < runTime {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.run()
	}
	return sim.results()
}

func (sim *simulation) results() results {
	latencies := sim.latencies
	for _, jobs := range sim.waiting {
		for _, j := range jobs {
			latencies = append(latencies, sim.now.Sub(j.arrivedAt))
		}
	}
	for _, e := range sim.engines {
		for _, j := range e.queue {
			latencies = append(latencies, sim.now.Sub(j.arrivedAt))
		}
	}
	slices.Sort(latencies)
	return results{
		p50:  float64(latencies[len(latencies)/2].Microseconds()) / 1000,
		p99:  float64(latencies[len(latencies)*99/100].Microseconds()) / 1000,
		cost: float64(sim.totalWork.Microseconds()) / 1000 / float64(sim.completed),
	}
}

// sendReports delivers the loads of all engines to all entries after the report lag.
func (sim *simulation) sendReports() {
	for _, e := range sim.engines {
		r := router.LoadReport{AsOf: sim.now, Running: e.running, Waiting: len(e.queue), Slots: slots}
		sim.after(sim.reportLag, func() {
			for _, c := range sim.choosers {
				c.report(e.index, r, sim.now)
			}
		})
	}
}

// sendHeartbeat sends the heartbeat of an entry that uses the router, and delivers cache events to
// it.
func (sim *simulation) sendHeartbeat(i int, rc *routerChooser) {
	loads := rc.router.LocalLoads(sim.now)
	sim.after(time.Millisecond, func() {
		for k, c := range sim.choosers {
			if k != i {
				c.(*routerChooser).router.UpdatePeerLoads(fmt.Sprint(i), loads, sim.now)
				sim.dispatchWaiting(k)
			}
		}
	})
	for _, e := range sim.engines {
		var events []router.CacheEvent
		next := rc.nextEvent[e.index]
		for next < len(e.log) && sim.now.Sub(e.log[next].at) > eventDelay {
			if !e.log[next].lost {
				events = append(events, e.log[next].event)
			}
			next++
		}
		rc.nextEvent[e.index] = next
		rc.router.ApplyCacheEvents(address(e.index), events, int64(next), sim.now)
	}
}

var tail = strings.Repeat("x", tailBlocks*64-16)

func newJob(entry, prefix, serial int, now time.Time) *job {
	head := strings.Repeat(fmt.Sprintf("prefix %8d ", prefix), prefixBlocks*4)
	input := head[:prefixBlocks*64] + fmt.Sprintf("%16d", serial) + tail
	j := &job{entry: entry, input: input, arrivedAt: now}
	var digest xxhash.Digest
	digest.Reset()
	for k := 0; k+64 <= len(input); k += 64 {
		_, _ = digest.WriteString(input[k : k+64])
		j.hashes = append(j.hashes, digest.Sum64())
	}
	return j
}

func address(index int) string { return fmt.Sprintf("10.0.0.%d:80", index) }

// routerChooser is the router under test.
type routerChooser struct {
	router    *router.Router
	nextEvent [engines]int
}

func newRouterChooser(entry int, seed uint64) *routerChooser {
	r := router.New(router.Config{Rand: rand.New(rand.NewPCG(seed, uint64(entry)))})
	r.SetPool("engines", slots, true)
	r.SetEntries(entry, entryCount)
	var vms []router.VM
	for i := range engines {
		vms = append(vms, router.VM{Address: address(i), Pool: "engines"})
	}
	r.UpdateVMs(vms, start)
	return &routerChooser{router: r}
}

func (rc *routerChooser) choose(j *job, now time.Time) int {
	prefix := router.PrefixOf(j.input)
	chosen, found := rc.router.Choose(router.Query{Pool: "engines", Prefix: prefix}, now)
	if !found {
		return -1
	}
	rc.router.CallStarted(chosen, &prefix, now)
	return int(chosen[7] - '0')
}

func (rc *routerChooser) jobEnded(index int, j *job, now time.Time) {
	took := now.Sub(j.startedAt)
	rc.router.CallEnded(address(index), router.CallEnd{Result: router.Succeeded, Duration: took, Expected: 150 * time.Millisecond}, now)
}

func (rc *routerChooser) report(index int, r router.LoadReport, now time.Time) {
	rc.router.UpdateLoad(address(index), r, now)
}

// random, roundRobin and leastReported are the baselines.
type random struct{ rng *rand.Rand }

func (c random) choose(*job, time.Time) int             { return c.rng.IntN(engines) }
func (random) jobEnded(int, *job, time.Time)            {}
func (random) report(int, router.LoadReport, time.Time) {}

type roundRobin struct{ next int }

func (c *roundRobin) choose(*job, time.Time) int {
	c.next++
	return c.next % engines
}
func (*roundRobin) jobEnded(int, *job, time.Time)            {}
func (*roundRobin) report(int, router.LoadReport, time.Time) {}

type leastReported struct {
	rng   *rand.Rand
	loads [engines]int
}

func (c *leastReported) choose(*job, time.Time) int {
	best := c.rng.IntN(engines)
	for i := range engines {
		if c.loads[i] < c.loads[best] {
			best = i
		}
	}
	return best
}
func (*leastReported) jobEnded(int, *job, time.Time) {}
func (c *leastReported) report(index int, r router.LoadReport, _ time.Time) {
	c.loads[index] = r.Running + r.Waiting
}

// checkRow logs a row and checks it against its regression bound.
func checkRow(t *testing.T, row measurer.Row) {
	t.Helper()
	t.Log(row.String())
	require.True(t, row.Bound.Holds(row.Ours), row.String())
}

func ratioRow(name, measure string, ours, baseline, bound, goal float64) measurer.Row {
	return measurer.Row{
		Case: name, Measure: measure, Ours: ours / baseline,
		Bound: measurer.Limit{Direction: measurer.AtMost, Value: bound},
		Goal:  &measurer.Limit{Direction: measurer.AtMost, Value: goal},
	}
}

// Seven entries send prompts to ten engines, and most prompts begin with one of a few long
// prefixes. Load reports are 0.2 to 5 s old, and cache events are late and have gaps. Entries that
// follow the reports all send to the same engine until the next report. The router corrects the
// reports and keeps each prefix at few engines.
func TestPolicyRouting(t *testing.T) {
	t.Parallel()
	// With random choice a call takes 145 ms of work, so this rate fills 0.8 of the 80 slots.
	const perSecond = 435
	newRand := func(i int) *rand.Rand { return rand.New(rand.NewPCG(11, uint64(i))) }
	randomResult := runSimulation(func(i int) chooser { return random{newRand(i)} }, time.Second, perSecond, 5)
	roundRobinResult := runSimulation(func(i int) chooser { return &roundRobin{next: i} }, time.Second, perSecond, 5)
	for _, lag := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			t.Parallel()
			routerResult := runSimulation(func(i int) chooser { return newRouterChooser(i, 11) }, lag, perSecond, 5)
			leastReportedResult := runSimulation(func(i int) chooser { return &leastReported{rng: newRand(i)} }, lag, perSecond, 5)
			name := "routing.lag" + lag.String()
			checkRow(t, measurer.Row{
				Case: name, Measure: "p99Millis", Ours: routerResult.p99,
				Baselines: []measurer.Baseline{{Name: "leastReported", Value: leastReportedResult.p99}, {Name: "random", Value: randomResult.p99}, {Name: "roundRobin", Value: roundRobinResult.p99}},
				Bound:     measurer.Limit{Direction: measurer.AtMost, Value: 340},
			})
			checkRow(t, measurer.Row{
				Case: name, Measure: "costPerAnswerMillis", Ours: routerResult.cost,
				Baselines: []measurer.Baseline{{Name: "random", Value: randomResult.cost}, {Name: "leastReported", Value: leastReportedResult.cost}, {Name: "roundRobin", Value: roundRobinResult.cost}},
				Bound:     measurer.Limit{Direction: measurer.AtMost, Value: 117},
			})
			checkRow(t, ratioRow(name, "p99OverLeastReported", routerResult.p99, leastReportedResult.p99, 0.2, 0.6))
			checkRow(t, ratioRow(name, "costOverRandom", routerResult.cost, randomResult.cost, 0.8, 0.8))
		})
	}
}
