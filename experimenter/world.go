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

// settleTime is how long a run continues after the last arrival so that requests in progress can end.
const settleTime = 10 * time.Second

// simulation is one run of a scenario.
type simulation struct {
	clock
	scenario   *Scenario
	seed       uint64
	disabled   switcher.Disabled
	random     *rand.Rand
	entries    []*entry
	collectors map[string]*entry
	pools      map[string]*poolModel
	engines    map[string]*engine
	engineList []*engine
	requests   map[string]*request
	results    map[string]*storedResult
	result     *Result

	lastHandle  int
	lastRequest int
}

// Run simulates a scenario with a seed. The mechanisms in disabled are switched off.
func Run(s Scenario, seed uint64, disabled switcher.Disabled) *Result {
	sim := newSimulation(s, seed, disabled)
	for _, e := range sim.entries {
		// The heartbeats and ticks of entries are staggered, as those of processes that start one after the other.
		sim.schedule(time.Duration(sim.random.Int64N(int64(heartbeatInterval))), e.sendHeartbeat)
		sim.schedule(time.Duration(sim.random.Int64N(int64(tickInterval))), e.tick)
	}
	for i := range s.Kinds {
		sim.schedule(0, func() { sim.startRequest(&s.Kinds[i], sim.result.Kinds[i]) })
	}
	for i := range s.Faults {
		sim.schedule(millis(s.Faults[i].AtMillis), func() { sim.applyFault(&s.Faults[i]) })
	}
	sim.runUntil(origin.Add(time.Duration(s.Seconds)*time.Second + settleTime))
	sim.result.finish(&s)
	return sim.result
}

func newSimulation(s Scenario, seed uint64, disabled switcher.Disabled) *simulation {
	sim := &simulation{
		clock:      clock{now: origin},
		scenario:   &s,
		seed:       seed,
		disabled:   disabled,
		random:     rand.New(rand.NewPCG(seed, 1)),
		collectors: make(map[string]*entry),
		pools:      make(map[string]*poolModel),
		engines:    make(map[string]*engine),
		requests:   make(map[string]*request),
		results:    make(map[string]*storedResult),
		result:     newResult(&s, seed, disabled),
	}
	for i := range s.Pools {
		sim.addPool(&s.Pools[i], sim.result.Pools[i])
	}
	for i := range s.Model.Endpoints {
		e := &engine{sim: sim, id: fmt.Sprintf("engine-%d", i), zone: sim.zone(i)}
		sim.engines[e.id] = e
		sim.engineList = append(sim.engineList, e)
	}
	for i := range s.Entries {
		name := fmt.Sprintf("entry-%d", i)
		reg := regulator.New(regulator.Config{Self: name})
		sim.entries = append(sim.entries, &entry{
			sim: sim, name: name, zone: sim.zone(i), selector: newSelector(sim, int(i), reg), regulator: reg,
			pools: make(map[string]*collector.Pool), loads: make(map[string]poolLoad),
		})
	}
	sim.updateLiveEntries()
	return sim
}

// updateLiveEntries passes the names of the running entries to all entries.
func (sim *simulation) updateLiveEntries() {
	var live []string
	for _, e := range sim.entries {
		if !e.down {
			live = append(live, e.name)
		}
	}
	slices.Sort(live)
	for _, e := range sim.entries {
		e.regulator.SetEntries(live)
	}
}

func (sim *simulation) addPool(cfg *Pool, result *PoolResult) {
	p := &poolModel{cfg: cfg, stage: cfg.stagePool(), byAddr: make(map[string]*stageEndpoint), result: result}
	for i := range cfg.Endpoints {
		m := &stageEndpoint{sim: sim, pool: p, id: fmt.Sprintf("%s-%d", cfg.Name, i), zone: sim.zone(i)}
		p.endpoints = append(p.endpoints, m)
		p.byAddr[m.id] = m
	}
	sim.pools[cfg.Name] = p
}

func (sim *simulation) zone(n int64) string { return fmt.Sprintf("zone-%d", n%sim.scenario.Zones) }

// latency returns the one-way latency from one zone to another, or within a zone.
func (sim *simulation) latency(from, to string) time.Duration {
	if from == to {
		return micros(sim.scenario.PeerMicros)
	}
	return micros(sim.scenario.PeerMicros + sim.scenario.ZoneMicros)
}

// recordTransfer counts bytes of results that are transferred between zones.
func (sim *simulation) recordTransfer(from, to string, bytes int64) {
	if from != to {
		sim.result.ZoneBytes += bytes
	}
}

// endpointsOf returns the endpoints of a service in the form that entries use.
func (sim *simulation) endpointsOf(service string) []registrar.Endpoint {
	var list []registrar.Endpoint
	if service == modelPool {
		for _, e := range sim.engineList {
			list = append(list, registrar.Endpoint{ID: e.id, Service: modelPool, Address: e.id, Zone: e.zone})
		}
		return list
	}
	for _, m := range sim.pools[service].endpoints {
		list = append(list, registrar.Endpoint{ID: m.id, Service: service, Address: m.id, Zone: m.zone})
	}
	return list
}

// startRequest starts a request of a kind and schedules the next one.
func (sim *simulation) startRequest(k *Kind, stats *KindResult) {
	rate := float64(k.PerMinute) / 60
	for _, b := range sim.scenario.Bursts {
		elapsed := sim.now.Sub(origin) - millis(b.AtMillis)
		if (b.Kind == "" || b.Kind == k.Name) && elapsed >= 0 && elapsed < millis(b.ForMillis) {
			rate *= float64(b.Percent) / 100
		}
	}
	if sim.now.Sub(origin) >= time.Duration(sim.scenario.Seconds)*time.Second || rate <= 0 {
		return
	}
	sim.lastRequest++
	r := &request{
		sim: sim, kind: k, stats: stats, id: fmt.Sprint(sim.lastRequest), arrived: sim.now,
		subject: hasher.Mix(uint64(sim.random.Int64N(k.Subjects)) ^ uint64(len(k.Name))<<32 ^ uint64(k.OwnTokens)),
	}
	r.parts = []selector.Part{
		{ID: r.subject, Tokens: int(k.SharedTokens)},
		{ID: hasher.Mix(uint64(sim.lastRequest)), Tokens: int(k.OwnTokens)},
	}
	for _, stage := range k.Stages {
		r.pieceCounts = append(r.pieceCounts, sim.drawPieceCount(&stage))
	}
	stats.Requests++
	r.attempt()
	sim.schedule(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() { sim.startRequest(k, stats) })
}

// drawPieceCount returns a random number of pieces for a stage.
func (sim *simulation) drawPieceCount(s *Stage) int {
	if sim.random.Int64N(100) >= s.SharePercent {
		return 0
	}
	spread := float64(s.SpreadPercent) / 100
	n := float64(s.Pieces) * (1 + spread*(2*sim.random.Float64()-1))
	return max(1, int(n+0.5))
}

func (sim *simulation) randomEntry() *entry {
	live := slices.DeleteFunc(slices.Clone(sim.entries), func(e *entry) bool { return e.down })
	return live[sim.random.IntN(len(live))]
}

// deliver passes a piece's result to its request. The result is released if the request has ended.
func (sim *simulation) deliver(service string, d collector.Deliver) {
	r, ok := sim.requests[d.ID.Request]
	if ok && !r.ended && r.id == d.ID.Request {
		r.addResult(d)
		return
	}
	if d.Result.Handle != "" {
		sim.result.ResultsUnused++
		sim.releaseResults([]planner.ReleasedResults{{Service: service, Results: []collector.ResultRef{{Handle: d.Result.Handle, Address: d.Address}}}})
	}
}

func (sim *simulation) inputsFetched(id collector.GroupID) {
	if r, ok := sim.requests[id.Request]; ok && !r.ended && r.id == id.Request {
		sim.releaseResults(r.plan.InputsFetched(id.Stage, r.entry))
	}
}

// releaseResults releases results through the entries that collect for their services.
func (sim *simulation) releaseResults(freed []planner.ReleasedResults) {
	for _, f := range freed {
		sim.collectorFor(f.Service).reduce(f.Service, collector.ResultsReleased{Results: f.Results})
	}
}

// freeResult frees the space of a result.
func (sim *simulation) freeResult(handle string) {
	if r, ok := sim.results[handle]; ok && !r.freed {
		r.freed = true
		r.endpoint.usedBytes -= r.bytes
		delete(sim.results, handle)
	}
}

// applyFault starts a fault and schedules its end. At least one endpoint or entry is not affected if there are several.
func (sim *simulation) applyFault(f *Fault) {
	var affected []*faultState
	switch {
	case f.Effect == faultEntryLost:
		sim.failEntries(f)
		return
	case f.Pool == modelPool:
		for _, e := range sim.engineList {
			affected = append(affected, &e.faultState)
		}
	default:
		for _, m := range sim.pools[f.Pool].endpoints {
			affected = append(affected, &m.faultState)
		}
	}
	sim.random.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	affected = affected[:affectedCount(len(affected), f.SharePercent)]
	for _, c := range affected {
		c.apply(f)
	}
	sim.schedule(millis(f.ForMillis), func() {
		for _, c := range affected {
			*c = faultState{}
		}
	})
}

// failEntries stops a share of the entries until the fault ends. Their work in progress is lost.
func (sim *simulation) failEntries(f *Fault) {
	affected := slices.Clone(sim.entries)
	sim.random.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	affected = affected[:affectedCount(len(affected), f.SharePercent)]
	for _, e := range affected {
		e.down = true
		clear(e.pools)
	}
	sim.updateLiveEntries()
	for _, e := range sim.entries {
		for _, lost := range affected {
			for _, pool := range sim.scenario.Pools {
				if _, ok := e.pools[pool.Name]; ok {
					e.reduce(pool.Name, collector.OriginLost{Origin: lost.name})
				}
			}
		}
	}
	sim.schedule(millis(f.ForMillis), func() {
		for _, e := range affected {
			e.down = false
		}
		sim.updateLiveEntries()
		clear(sim.collectors)
	})
}

// apply sets the state that a fault causes.
func (c *faultState) apply(f *Fault) {
	switch f.Effect {
	case faultUnreachable:
		c.down = true
	case faultSlow:
		c.slowFactor = float64(f.FactorPercent) / 100
	case faultRefusing:
		c.refuses = true
	case faultResting:
		c.refuses, c.notice.Rest = true, restTime
	case faultLimited:
		c.notice.Limited, c.notice.PerSecond = true, float64(f.FactorPercent)/100
	}
}

// restTime is how long resting endpoints ask not to be called.
const restTime = 3 * time.Second

func affectedCount(n int, percent int64) int { return max(1, min(n-1, int(int64(n)*percent/100))) }
