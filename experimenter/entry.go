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
	// heartbeatEvery and tickEvery are those of the product's entries.
	heartbeatEvery = 150 * time.Millisecond
	tickEvery      = 10 * time.Millisecond
)

// entry is one entry: what it knows, as old as heartbeats make it.
type entry struct {
	w        *world
	name     string
	zone     string
	selector *selector.Selector
	// regulator keeps to what endpoints ask for in their answers.
	regulator *regulator.Regulator
	pools     map[string]*collector.Pool
	loads     map[string]planner.Load
	gone      bool
}

// Pool implements planner.View.
func (e *entry) Pool(service string) (cataloger.StagePool, bool) {
	p, known := e.w.pools[service]
	if !known {
		return cataloger.StagePool{}, false
	}
	return p.stage, true
}

// Load implements planner.View.
func (e *entry) Load(service string) planner.Load {
	if p, collects := e.pools[service]; collects && e.w.owner(service) == e {
		return planner.LoadOf(p, e.w.now)
	}
	return e.loads[service]
}

// beat tells the other entries of this one's work and pools.
func (e *entry) beat() {
	if !e.gone {
		work, limits, refusals := e.selector.OwnWork(), e.regulator.Limits(e.w.now), e.selector.Refusals(e.w.now)
		for _, other := range e.w.entries {
			if other != e && !other.gone {
				e.w.after(e.w.way(e.zone, other.zone), func() {
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
		for _, pool := range e.w.scenario.Pools {
			if e.w.owner(pool.Name) == e {
				load := e.Load(pool.Name)
				for _, other := range e.w.entries {
					e.w.after(e.w.way(e.zone, other.zone), func() { other.loads[pool.Name] = load })
				}
			}
		}
	}
	e.w.after(heartbeatEvery, e.beat)
}

// tick lets time pass for the pools that this entry has.
func (e *entry) tick() {
	for _, pool := range e.w.scenario.Pools {
		if p, collects := e.pools[pool.Name]; collects && !e.gone {
			e.perform(pool.Name, p.Reduce(collector.Ticked{}, e.w.now))
		}
	}
	e.w.after(tickEvery, e.tick)
}

// reduce hands an event to this entry's pool of a service.
func (e *entry) reduce(service string, ev collector.Event) {
	if e.gone {
		return
	}
	p, known := e.pools[service]
	if !known {
		p = collector.New(collector.Config{Service: service, Stage: e.w.pools[service].stage, Gate: e.regulator, Off: e.w.off})
		p.Reduce(collector.EndpointsChanged{Endpoints: e.w.endpointsOf(service)}, e.w.now)
		e.pools[service] = p
	}
	e.perform(service, p.Reduce(ev, e.w.now))
}

// perform carries a pool's effects out.
func (e *entry) perform(service string, effects []collector.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case collector.SendCall:
			e.send(service, f)
		case collector.Deliver:
			e.w.after(e.wayToOrigin(f.ID), func() { e.w.deliver(service, f) })
		case collector.InputsFetched:
			e.w.after(e.wayToOrigin(f.ID), func() { e.w.inputsRead(f.ID) })
		case collector.FreeResults:
			e.freeResults(service, f)
		case collector.HealthChanged:
		}
	}
}

// wayToOrigin is the time to the entry that has a group's request; none where the request is forgotten.
func (e *entry) wayToOrigin(id collector.GroupID) time.Duration {
	r, known := e.w.requests[id.Request]
	if !known {
		return 0
	}
	return e.wayTo(r.entry)
}

// wayTo is the time to another entry.
func (e *entry) wayTo(other *entry) time.Duration {
	if other == e {
		return 0
	}
	return e.w.way(e.zone, other.zone)
}

func (e *entry) send(service string, call collector.SendCall) {
	m := e.w.pools[service].byAddr[call.Endpoint.Address]
	way := e.w.way(e.zone, m.zone)
	e.w.after(way, func() {
		m.call(call, func(end collector.CallOutcome, results []collector.PieceResult) {
			notice := m.notice
			e.w.after(way, func() {
				e.regulator.ApplyNotice(&call.Endpoint, notice, e.w.now)
				e.reduce(service, collector.CallEnded{Call: call.Call, Outcome: end, Results: results})
			})
		})
	})
}

func (e *entry) freeResults(service string, f collector.FreeResults) {
	m := e.w.pools[service].byAddr[f.Address]
	way := e.w.way(e.zone, m.zone)
	made := make([]collector.ResultRef, len(f.Handles))
	for i, handle := range f.Handles {
		made[i] = collector.ResultRef{Handle: handle, Address: f.Address}
	}
	e.w.after(way, func() {
		for _, handle := range f.Handles {
			e.w.free(handle)
		}
		e.w.after(way, func() { e.reduce(service, collector.FreeCallEnded{Results: made}) })
	})
}

// owner is the entry that collects for a service.
func (w *world) owner(service string) *entry {
	if e, known := w.owners[service]; known && !e.gone {
		return e
	}
	names := make([]string, 0, len(w.entries))
	for _, e := range w.entries {
		if !e.gone {
			names = append(names, e.name)
		}
	}
	name, _ := hasher.Owner(service, names)
	for _, e := range w.entries {
		if e.name == name {
			w.owners[service] = e
			return e
		}
	}
	return nil
}

// gate implements selector.Gate by what endpoints ask for. Endpoints of the model are never cold.
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

// newSelector makes an entry's selector with a random source of its own.
func newSelector(w *world, n int, reg *regulator.Regulator) *selector.Selector {
	s := selector.New(selector.Config{Rand: rand.New(rand.NewPCG(w.seed, uint64(n))), Gate: gate{reg}, Disabled: w.off})
	s.SetEndpoints(w.endpointsOf(modelPool))
	return s
}
