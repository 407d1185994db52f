package experimenter

import (
	"math/rand/v2"
	"time"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/hasher"
	"geraniumline/planner"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/selector"
)

const (
	// heartbeatInterval and tickInterval match those of the product's entries.
	heartbeatInterval = 150 * time.Millisecond
	tickInterval      = 10 * time.Millisecond
)

// entry is a simulated entry. Its view of other entries is as recent as their last heartbeats.
type entry struct {
	sim      *simulation
	name     string
	zone     string
	selector *selector.Selector
	// regulator enforces the limits and rests that endpoints request in their answers.
	regulator *regulator.Regulator
	pools     map[string]*collector.Pool
	loads     map[string]poolLoad
	down      bool
}

// Pool implements planner.View.
func (e *entry) Pool(service string) (cataloger.StagePool, bool) {
	p, ok := e.sim.pools[service]
	if !ok {
		return cataloger.StagePool{}, false
	}
	return p.stage, true
}

// poolLoad is the load of a pool, also by priority.
type poolLoad struct {
	all     planner.Load
	classes []collector.ClassLoad
}

// Load implements planner.View.
func (e *entry) Load(service string, priority int) planner.Load {
	if p, ok := e.pools[service]; ok && e.sim.collectorFor(service) == e {
		return planner.LoadFor(p, priority, e.sim.now)
	}
	load := e.loads[service]
	return planner.ClassOf(load.all, load.classes, priority)
}

// sendHeartbeat sends this entry's work, limits, refusals and pool loads to the other entries.
func (e *entry) sendHeartbeat() {
	if !e.down {
		work, limits, refusals := e.selector.OwnWork(), e.regulator.Limits(e.sim.now), e.selector.Refusals(e.sim.now)
		for _, other := range e.sim.entries {
			if other != e && !other.down {
				e.sim.schedule(e.sim.latency(e.zone, other.zone), func() {
					other.selector.SetPeerWork(e.name, work)
					for _, l := range limits {
						other.regulator.ApplyPeerLimit(l)
					}
					for _, r := range refusals {
						other.selector.RecordPeerRefusal(r.Endpoint.ID, r.At)
					}
				})
			}
		}
		for _, pool := range e.sim.scenario.Pools {
			if e.sim.collectorFor(pool.Name) == e {
				var load poolLoad
				if p, ok := e.pools[pool.Name]; ok {
					load = poolLoad{all: planner.LoadOf(p, e.sim.now), classes: p.ClassLoads(e.sim.now)}
				}
				for _, other := range e.sim.entries {
					e.sim.schedule(e.sim.latency(e.zone, other.zone), func() { other.loads[pool.Name] = load })
				}
			}
		}
	}
	e.sim.schedule(heartbeatInterval, e.sendHeartbeat)
}

// tick passes the current time to this entry's pools.
func (e *entry) tick() {
	for _, pool := range e.sim.scenario.Pools {
		if p, ok := e.pools[pool.Name]; ok && !e.down {
			e.perform(pool.Name, p.Reduce(collector.Ticked{}, e.sim.now))
		}
	}
	e.sim.schedule(tickInterval, e.tick)
}

// reduce passes an event to this entry's pool of a service. It creates the pool if necessary.
func (e *entry) reduce(service string, ev collector.Event) {
	if e.down {
		return
	}
	p, ok := e.pools[service]
	if !ok {
		p = collector.New(collector.Config{Service: service, Stage: e.sim.pools[service].stage, Gate: e.regulator, Disabled: e.sim.disabled})
		p.Reduce(collector.EndpointsChanged{Endpoints: e.sim.endpointsOf(service)}, e.sim.now)
		e.pools[service] = p
	}
	e.perform(service, p.Reduce(ev, e.sim.now))
}

// perform executes the effects that a pool has returned.
func (e *entry) perform(service string, effects []collector.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case collector.SendCall:
			e.send(service, f)
		case collector.Deliver:
			e.sim.schedule(e.latencyToOrigin(f.ID), func() { e.sim.deliver(service, f) })
		case collector.InputsFetched:
			e.sim.schedule(e.latencyToOrigin(f.ID), func() { e.sim.inputsFetched(f.ID) })
		case collector.FreeResults:
			e.freeResults(service, f)
		case collector.HealthChanged:
		}
	}
}

// latencyToOrigin returns the latency to the entry that handles a group's request, or 0 if the request is unknown.
func (e *entry) latencyToOrigin(id collector.GroupID) time.Duration {
	r, ok := e.sim.requests[id.Request]
	if !ok {
		return 0
	}
	return e.latencyTo(r.entry)
}

// latencyTo returns the one-way latency to an entry, which is 0 for the entry itself.
func (e *entry) latencyTo(other *entry) time.Duration {
	if other == e {
		return 0
	}
	return e.sim.latency(e.zone, other.zone)
}

func (e *entry) send(service string, call collector.SendCall) {
	endpoint := e.sim.pools[service].byAddr[call.Endpoint.Address]
	latency := e.sim.latency(e.zone, endpoint.zone)
	e.sim.schedule(latency, func() {
		endpoint.call(call, func(outcome collector.CallOutcome, results []collector.PieceResult) {
			notice := endpoint.notice
			e.sim.schedule(latency, func() {
				e.regulator.ApplyNotice(&call.Endpoint, notice, e.sim.now)
				e.reduce(service, collector.CallEnded{Call: call.Call, Outcome: outcome, Results: results})
			})
		})
	})
}

func (e *entry) freeResults(service string, f collector.FreeResults) {
	endpoint := e.sim.pools[service].byAddr[f.Address]
	latency := e.sim.latency(e.zone, endpoint.zone)
	refs := make([]collector.ResultRef, len(f.Handles))
	for i, handle := range f.Handles {
		refs[i] = collector.ResultRef{Handle: handle, Address: f.Address}
	}
	e.sim.schedule(latency, func() {
		for _, handle := range f.Handles {
			e.sim.freeResult(handle)
		}
		e.sim.schedule(latency, func() { e.reduce(service, collector.FreeCallEnded{Results: refs}) })
	})
}

// collectorFor returns the running entry that collects pieces for a service.
func (sim *simulation) collectorFor(service string) *entry {
	if e, ok := sim.collectors[service]; ok && !e.down {
		return e
	}
	names := make([]string, 0, len(sim.entries))
	for _, e := range sim.entries {
		if !e.down {
			names = append(names, e.name)
		}
	}
	name, _ := hasher.Owner(service, names)
	for _, e := range sim.entries {
		if e.name == name {
			sim.collectors[service] = e
			return e
		}
	}
	return nil
}

// gate implements selector.Gate with the limits and rests that endpoints request. Simulated endpoints are never cold.
type gate struct{ regulator *regulator.Regulator }

func (g gate) Allows(e *registrar.Endpoint, _ float64, now time.Time) bool {
	return g.regulator.Allows(e.ID, now)
}

func (g gate) NextSendTime(e *registrar.Endpoint, now time.Time) (time.Time, bool) {
	return g.regulator.NextSendTime(e.ID, now)
}

func (g gate) Limited(e *registrar.Endpoint) bool {
	_, limited := g.regulator.Limit(e.ID)
	return limited
}

func (g gate) RecordSend(e *registrar.Endpoint, _ float64, now time.Time) {
	g.regulator.RecordSend(e.ID, now)
}

// newSelector returns a selector for entry n with its own random source.
func newSelector(sim *simulation, n int, reg *regulator.Regulator) *selector.Selector {
	s := selector.New(selector.Config{Rand: rand.New(rand.NewPCG(sim.seed, uint64(n))), Gate: gate{reg}, Disabled: sim.disabled})
	var endpoints []*registrar.Endpoint
	for _, e := range sim.endpointsOf(modelPool) {
		endpoints = append(endpoints, &e)
	}
	s.SetEndpoints(endpoints)
	return s
}
