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
	// prefillBlock is the work on a block of 64 bytes that the cache does not hold, decode the time of
	// the answer's tokens: a prompt of 60 blocks costs 192 ms cold.
	prefillBlock = 3200 * time.Microsecond
	decode       = 60 * time.Millisecond
	prefixes     = 60
	prefixBlocks = 48
	tailBlocks   = 12
	cacheBlocks  = 1024
	runTime      = 16 * time.Second
	warmUp       = 6 * time.Second
	beat         = 200 * time.Millisecond
	eventDelay   = 500 * time.Millisecond
	gapRate      = 0.02
)

// trial is 7 entries that send to 10 engines with prefix caches, in simulated time. Calls beyond the
// engine's slots wait there.
type trial struct {
	now      time.Time
	rng      *rand.Rand
	events   simHeap
	sequence int
	engines  []*engine
	choosers []chooser
	waiting  [][]*job
	lag      time.Duration
	took     []time.Duration
	work     time.Duration
	done     int
}

// chooser is one entry's way to choose an engine; it gives -1 to let the job wait at the entry.
type chooser interface {
	choose(*job, time.Time) int
	ended(at int, j *job, now time.Time)
	report(at int, r router.LoadReport, now time.Time)
}

type job struct {
	entry  int
	input  string
	hashes []uint64
	sent   time.Time
	began  time.Time
}

func (tr *trial) begin(e *engine) {
	for e.running < slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		hit := e.store(tr, j)
		took := time.Duration(len(j.hashes)-hit)*prefillBlock + time.Duration(float64(decode)*(0.5+0.5*tr.rng.ExpFloat64()))
		tr.after(took, func() {
			e.running--
			tr.end(e, j, took)
			tr.begin(e)
		})
	}
}

func (tr *trial) end(e *engine, j *job, took time.Duration) {
	tr.choosers[j.entry].ended(e.at, j, tr.now)
	if tr.now.Sub(start) > warmUp {
		tr.took = append(tr.took, tr.now.Sub(j.sent))
		tr.work += took
		tr.done++
	}
	tr.drain(j.entry)
}

// drain sends on the jobs that wait at an entry.
func (tr *trial) drain(entry int) {
	for len(tr.waiting[entry]) > 0 {
		j := tr.waiting[entry][0]
		at := tr.choosers[entry].choose(j, tr.now)
		if at < 0 {
			return
		}
		tr.waiting[entry] = tr.waiting[entry][1:]
		j.began = tr.now
		tr.engines[at].queue = append(tr.engines[at].queue, j)
		tr.begin(tr.engines[at])
	}
}

func (tr *trial) after(d time.Duration, run func()) {
	tr.sequence++
	heap.Push(&tr.events, simEvent{at: tr.now.Add(d), sequence: tr.sequence, run: run})
}

func (tr *trial) every(d time.Duration, run func()) {
	tr.after(d, func() {
		run()
		tr.every(d, run)
	})
}

type figures struct {
	p50, p99 float64
	cost     float64
}

func runTrial(newChooser func(entry int) chooser, lag time.Duration, perSecond float64, seed uint64) figures {
	tr := &trial{now: start, rng: rand.New(rand.NewPCG(seed, 3)), lag: lag, waiting: make([][]*job, entryCount)}
	for i := range engines {
		tr.engines = append(tr.engines, newEngine(i))
	}
	for i := range entryCount {
		tr.choosers = append(tr.choosers, newChooser(i))
	}
	tr.every(beat, tr.reports)
	for i, c := range tr.choosers {
		if o, ours := c.(*ours); ours {
			tr.after(beat*time.Duration(i)/entryCount, func() { tr.every(beat, func() { tr.beat(i, o) }) })
		}
	}
	zipf := rand.NewZipf(tr.rng, 1.2, 1, prefixes-1)
	var arrive func()
	serial := 0
	arrive = func() {
		serial++
		j := newJob(tr.rng.IntN(entryCount), int(zipf.Uint64()), serial, tr.now)
		tr.waiting[j.entry] = append(tr.waiting[j.entry], j)
		tr.drain(j.entry)
		tr.after(time.Duration(tr.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for tr.now.Sub(start) < runTime {
		e := heap.Pop(&tr.events).(simEvent)
		tr.now = e.at
		e.run()
	}
	return tr.figures()
}

func (tr *trial) figures() figures {
	took := tr.took
	for _, jobs := range tr.waiting {
		for _, j := range jobs {
			took = append(took, tr.now.Sub(j.sent))
		}
	}
	for _, e := range tr.engines {
		for _, j := range e.queue {
			took = append(took, tr.now.Sub(j.sent))
		}
	}
	slices.Sort(took)
	return figures{
		p50:  float64(took[len(took)/2].Microseconds()) / 1000,
		p99:  float64(took[len(took)*99/100].Microseconds()) / 1000,
		cost: float64(tr.work.Microseconds()) / 1000 / float64(tr.done),
	}
}

// reports brings all entries all engines' loads after the lag.
func (tr *trial) reports() {
	for _, e := range tr.engines {
		r := router.LoadReport{AsOf: tr.now, Running: e.running, Waiting: len(e.queue), Slots: slots}
		tr.after(tr.lag, func() {
			for _, c := range tr.choosers {
				c.report(e.at, r, tr.now)
			}
		})
	}
}

// beat sends one of our entries' heartbeats, and lets it read cache events.
func (tr *trial) beat(i int, o *ours) {
	loads := o.router.LocalLoads(tr.now)
	tr.after(time.Millisecond, func() {
		for k, c := range tr.choosers {
			if k != i {
				c.(*ours).router.UpdatePeerLoads(fmt.Sprint(i), loads, tr.now)
				tr.drain(k)
			}
		}
	})
	for _, e := range tr.engines {
		var events []router.CacheEvent
		next := o.read[e.at]
		for next < len(e.log) && tr.now.Sub(e.log[next].at) > eventDelay {
			if !e.log[next].lost {
				events = append(events, e.log[next].event)
			}
			next++
		}
		o.read[e.at] = next
		o.router.ApplyCacheEvents(address(e.at), events, int64(next), tr.now)
	}
}

var tail = strings.Repeat("x", tailBlocks*64-16)

func newJob(entry, prefix, serial int, now time.Time) *job {
	head := strings.Repeat(fmt.Sprintf("prefix %8d ", prefix), prefixBlocks*4)
	input := head[:prefixBlocks*64] + fmt.Sprintf("%16d", serial) + tail
	j := &job{entry: entry, input: input, sent: now}
	var digest xxhash.Digest
	digest.Reset()
	for k := 0; k+64 <= len(input); k += 64 {
		_, _ = digest.WriteString(input[k : k+64])
		j.hashes = append(j.hashes, digest.Sum64())
	}
	return j
}

func address(at int) string { return fmt.Sprintf("10.0.0.%d:80", at) }

// ours is the router under test.
type ours struct {
	router *router.Router
	read   [engines]int
}

func newOurs(entry int, seed uint64) *ours {
	r := router.New(router.Config{Rand: rand.New(rand.NewPCG(seed, uint64(entry)))})
	r.SetPool("engines", slots, true)
	r.SetEntries(entry, entryCount)
	var vms []router.VM
	for i := range engines {
		vms = append(vms, router.VM{Address: address(i), Pool: "engines"})
	}
	r.UpdateVMs(vms, start)
	return &ours{router: r}
}

func (o *ours) choose(j *job, now time.Time) int {
	prefix := router.PrefixOf(j.input)
	chosen, found := o.router.Choose(router.Query{Pool: "engines", Prefix: prefix}, now)
	if !found {
		return -1
	}
	o.router.CallStarted(chosen, &prefix, now)
	return int(chosen[7] - '0')
}

func (o *ours) ended(at int, j *job, now time.Time) {
	took := now.Sub(j.began)
	o.router.CallEnded(address(at), router.CallEnd{Result: router.Succeeded, Duration: took, Expected: 150 * time.Millisecond}, now)
}

func (o *ours) report(at int, r router.LoadReport, now time.Time) {
	o.router.UpdateLoad(address(at), r, now)
}

// random, roundRobin and leastReported are the baselines.
type random struct{ rng *rand.Rand }

func (c random) choose(*job, time.Time) int             { return c.rng.IntN(engines) }
func (random) ended(int, *job, time.Time)               {}
func (random) report(int, router.LoadReport, time.Time) {}

type roundRobin struct{ next int }

func (c *roundRobin) choose(*job, time.Time) int {
	c.next++
	return c.next % engines
}
func (*roundRobin) ended(int, *job, time.Time)               {}
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
func (*leastReported) ended(int, *job, time.Time) {}
func (c *leastReported) report(at int, r router.LoadReport, _ time.Time) {
	c.loads[at] = r.Running + r.Waiting
}

// check prints a row and holds it to its regression bound.
func check(t *testing.T, row measurer.Row) {
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

// Seven entries send prompts of which most begin with one of a few long prefixes to ten engines. What
// they know of the engines' loads is 0.2 to 5 s old, and cache events are late and have gaps. Entries
// that follow the reports all send to the same engine until the next one; our router corrects them and
// keeps the prefixes at few engines.
func TestPolicyRouting(t *testing.T) {
	t.Parallel()
	// At random choice a call's work is 145 ms, so that this fills 0.8 of 80 slots.
	const perSecond = 435
	seeded := func(i int) *rand.Rand { return rand.New(rand.NewPCG(11, uint64(i))) }
	byChance := runTrial(func(i int) chooser { return random{seeded(i)} }, time.Second, perSecond, 5)
	inTurn := runTrial(func(i int) chooser { return &roundRobin{next: i} }, time.Second, perSecond, 5)
	for _, lag := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			t.Parallel()
			us := runTrial(func(i int) chooser { return newOurs(i, 11) }, lag, perSecond, 5)
			least := runTrial(func(i int) chooser { return &leastReported{rng: seeded(i)} }, lag, perSecond, 5)
			name := "routing.lag" + lag.String()
			check(t, measurer.Row{
				Case: name, Measure: "p99Millis", Ours: us.p99,
				Baselines: []measurer.Baseline{{Name: "leastReported", Value: least.p99}, {Name: "random", Value: byChance.p99}, {Name: "roundRobin", Value: inTurn.p99}},
				Bound:     measurer.Limit{Direction: measurer.AtMost, Value: 340},
			})
			check(t, measurer.Row{
				Case: name, Measure: "costPerAnswerMillis", Ours: us.cost,
				Baselines: []measurer.Baseline{{Name: "random", Value: byChance.cost}, {Name: "leastReported", Value: least.cost}, {Name: "roundRobin", Value: inTurn.cost}},
				Bound:     measurer.Limit{Direction: measurer.AtMost, Value: 117},
			})
			check(t, ratioRow(name, "p99OverLeastReported", us.p99, least.p99, 0.2, 0.6))
			check(t, ratioRow(name, "costOverRandom", us.cost, byChance.cost, 0.8, 0.8))
		})
	}
}
