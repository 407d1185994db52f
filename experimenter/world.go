package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/collector"
	"geraniumline/hasher"
	"geraniumline/planner"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/selector"
	"geraniumline/switcher"
)

// settleTime is how long after the last arrival a run goes on, for what is under way to end.
const settleTime = 10 * time.Second

// world is one run of a scenario.
type world struct {
	clock
	scenario *Scenario
	seed     uint64
	off      switcher.Disabled
	random   *rand.Rand
	entries  []*entry
	owners   map[string]*entry
	pools    map[string]*poolModel
	engines  map[string]*engine
	order    []*engine
	requests map[string]*request
	results  map[string]*stored
	result   *Result

	lastHandle  int
	lastRequest int
}

// Run plays a scenario with a seed and without some mechanisms.
func Run(s Scenario, seed uint64, off switcher.Disabled) *Result {
	w := newWorld(s, seed, off)
	for _, e := range w.entries {
		// Entries beat and tick at different times, as processes that start one after the other do.
		w.after(time.Duration(w.random.Int64N(int64(heartbeatEvery))), e.beat)
		w.after(time.Duration(w.random.Int64N(int64(tickEvery))), e.tick)
	}
	for i := range s.Kinds {
		w.after(0, func() { w.arrive(&s.Kinds[i], w.result.Kinds[i]) })
	}
	for i := range s.Faults {
		w.after(millis(s.Faults[i].AtMillis), func() { w.strike(&s.Faults[i]) })
	}
	w.run(origin.Add(time.Duration(s.Seconds)*time.Second + settleTime))
	w.result.finish(&s)
	return w.result
}

func newWorld(s Scenario, seed uint64, off switcher.Disabled) *world {
	w := &world{
		clock:    clock{now: origin},
		scenario: &s,
		seed:     seed,
		off:      off,
		random:   rand.New(rand.NewPCG(seed, 1)),
		owners:   make(map[string]*entry),
		pools:    make(map[string]*poolModel),
		engines:  make(map[string]*engine),
		requests: make(map[string]*request),
		results:  make(map[string]*stored),
		result:   newResult(&s, seed, off),
	}
	for i := range s.Pools {
		w.addPool(&s.Pools[i], w.result.Pools[i])
	}
	for i := range s.Model.Endpoints {
		e := &engine{w: w, id: fmt.Sprintf("engine-%d", i), zone: w.zone(i)}
		w.engines[e.id] = e
		w.order = append(w.order, e)
	}
	for i := range s.Entries {
		name := fmt.Sprintf("entry-%d", i)
		reg := regulator.New(regulator.Config{Self: name})
		w.entries = append(w.entries, &entry{
			w: w, name: name, zone: w.zone(i), selector: newSelector(w, int(i), reg), regulator: reg,
			pools: make(map[string]*collector.Pool), loads: make(map[string]planner.Load),
		})
	}
	w.tellLive()
	return w
}

// tellLive tells all entries which of them live.
func (w *world) tellLive() {
	var live []string
	for _, e := range w.entries {
		if !e.gone {
			live = append(live, e.name)
		}
	}
	slices.Sort(live)
	for _, e := range w.entries {
		e.regulator.SetEntries(live)
	}
}

func (w *world) addPool(cfg *Pool, result *PoolResult) {
	p := &poolModel{cfg: cfg, stage: cfg.stage(), byAddr: make(map[string]*maker), result: result}
	for i := range cfg.Endpoints {
		m := &maker{w: w, pool: p, id: fmt.Sprintf("%s-%d", cfg.Name, i), zone: w.zone(i)}
		p.makers = append(p.makers, m)
		p.byAddr[m.id] = m
	}
	w.pools[cfg.Name] = p
}

func (w *world) zone(n int64) string { return fmt.Sprintf("zone-%d", n%w.scenario.Zones) }

// way is the time from one zone to another.
func (w *world) way(from, to string) time.Duration {
	if from == to {
		return micros(w.scenario.PeerMicros)
	}
	return micros(w.scenario.PeerMicros + w.scenario.ZoneMicros)
}

// cross counts results that cross zones.
func (w *world) cross(from, to string, bytes int64) {
	if from != to {
		w.result.ZoneBytes += bytes
	}
}

// endpointsOf lists the endpoints of a pool as entries know them.
func (w *world) endpointsOf(service string) []registrar.Endpoint {
	var list []registrar.Endpoint
	if service == modelPool {
		for _, e := range w.order {
			list = append(list, registrar.Endpoint{ID: e.id, Service: modelPool, Address: e.id, Zone: e.zone})
		}
		return list
	}
	for _, m := range w.pools[service].makers {
		list = append(list, registrar.Endpoint{ID: m.id, Service: service, Address: m.id, Zone: m.zone})
	}
	return list
}

// arrive begins a request of a kind and plans the next one.
func (w *world) arrive(k *Kind, stats *KindResult) {
	rate := float64(k.PerMinute) / 60
	for _, b := range w.scenario.Bursts {
		since := w.now.Sub(origin) - millis(b.AtMillis)
		if (b.Kind == "" || b.Kind == k.Name) && since >= 0 && since < millis(b.ForMillis) {
			rate *= float64(b.Percent) / 100
		}
	}
	if w.now.Sub(origin) >= time.Duration(w.scenario.Seconds)*time.Second || rate <= 0 {
		return
	}
	w.lastRequest++
	r := &request{
		w: w, kind: k, stats: stats, id: fmt.Sprint(w.lastRequest), began: w.now,
		subject: hasher.Mix(uint64(w.random.Int64N(k.Subjects)) ^ uint64(len(k.Name))<<32 ^ uint64(k.OwnTokens)),
	}
	r.parts = []selector.Part{
		{ID: r.subject, Tokens: int(k.SharedTokens)},
		{ID: hasher.Mix(uint64(w.lastRequest)), Tokens: int(k.OwnTokens)},
	}
	for _, stage := range k.Stages {
		r.counts = append(r.counts, w.pieces(&stage))
	}
	stats.Requests++
	r.attempt()
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(k, stats) })
}

// pieces draws the number of pieces of a stage.
func (w *world) pieces(s *Stage) int {
	if w.random.Int64N(100) >= s.SharePercent {
		return 0
	}
	spread := float64(s.SpreadPercent) / 100
	n := float64(s.Pieces) * (1 + spread*(2*w.random.Float64()-1))
	return max(1, int(n+0.5))
}

func (w *world) anyEntry() *entry {
	live := slices.DeleteFunc(slices.Clone(w.entries), func(e *entry) bool { return e.gone })
	return live[w.random.IntN(len(live))]
}

// deliver hands a piece's result to its request. One that nobody waits for is freed.
func (w *world) deliver(service string, d collector.Deliver) {
	r, known := w.requests[d.ID.Request]
	if known && !r.ended && r.id == d.ID.Request {
		r.took(d)
		return
	}
	if d.Result.Handle != "" {
		w.result.ResultsUnused++
		w.freeAll([]planner.ReleasedResults{{Service: service, Results: []collector.ResultRef{{Handle: d.Result.Handle, Address: d.Address}}}})
	}
}

func (w *world) inputsRead(id collector.GroupID) {
	if r, known := w.requests[id.Request]; known && !r.ended && r.id == id.Request {
		w.freeAll(r.plan.InputsFetched(id.Stage, r.entry))
	}
}

// freeAll gives results back by the entry that collects for their service.
func (w *world) freeAll(freed []planner.ReleasedResults) {
	for _, f := range freed {
		w.owner(f.Service).reduce(f.Service, collector.ResultsReleased{Results: f.Results})
	}
}

// free gives a result's space back.
func (w *world) free(handle string) {
	if r, known := w.results[handle]; known && !r.freed {
		r.freed = true
		r.maker.used -= r.bytes
		delete(w.results, handle)
	}
}

// strike begins a fault and plans its end. One endpoint or entry at least stays sound.
func (w *world) strike(f *Fault) {
	var struck []*condition
	switch {
	case f.Effect == entryGone:
		w.strikeEntries(f)
		return
	case f.Pool == modelPool:
		for _, e := range w.order {
			struck = append(struck, &e.condition)
		}
	default:
		for _, m := range w.pools[f.Pool].makers {
			struck = append(struck, &m.condition)
		}
	}
	w.random.Shuffle(len(struck), func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
	struck = struck[:shareOf(len(struck), f.SharePercent)]
	for _, c := range struck {
		c.strike(f)
	}
	w.after(millis(f.ForMillis), func() {
		for _, c := range struck {
			*c = condition{}
		}
	})
}

// strikeEntries ends entries. What they had under way is lost with them.
func (w *world) strikeEntries(f *Fault) {
	struck := slices.Clone(w.entries)
	w.random.Shuffle(len(struck), func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
	struck = struck[:shareOf(len(struck), f.SharePercent)]
	for _, e := range struck {
		e.gone = true
		clear(e.pools)
	}
	w.tellLive()
	for _, e := range w.entries {
		for _, lost := range struck {
			for _, pool := range w.scenario.Pools {
				if _, collects := e.pools[pool.Name]; collects {
					e.reduce(pool.Name, collector.OriginLost{Origin: lost.name})
				}
			}
		}
	}
	w.after(millis(f.ForMillis), func() {
		for _, e := range struck {
			e.gone = false
		}
		w.tellLive()
		clear(w.owners)
	})
}

// strike has a fault begin.
func (c *condition) strike(f *Fault) {
	switch f.Effect {
	case gone:
		c.gone = true
	case slow:
		c.factor = float64(f.FactorPercent) / 100
	case refusing:
		c.refuses = true
	case resting:
		c.refuses, c.notice.Rest = true, modelRest
	case limited:
		c.notice.Limited, c.notice.PerSecond = true, float64(f.FactorPercent)/100
	}
}

// modelRest is the time of rest that endpoints ask for.
const modelRest = 3 * time.Second

func shareOf(n int, percent int64) int { return max(1, min(n-1, int(int64(n)*percent/100))) }
