package placer

import (
	"math"
	"slices"
	"time"
)

// Placer makes the decisions for the engines of one pool.
type Placer struct {
	cfg     Config
	engines map[string]*engine
	// addresses holds the addresses of the engines in use in sorted order, so that replays are deterministic.
	addresses []string
	demand    map[string]float64
	demandAt  time.Time
	// moveDueSince holds the time since which a model has been due an engine of another model.
	moveDueSince map[string]time.Time
	loadBucket   bucket
	// granted is the lease under which the last orders were sent.
	granted int64
}

// New returns a placer without engines.
func New(cfg Config) *Placer {
	cfg = cfg.withDefaults()
	return &Placer{
		cfg:          cfg,
		engines:      map[string]*engine{},
		demand:       map[string]float64{},
		moveDueSince: map[string]time.Time{},
		loadBucket:   newBucket(cfg.LoadsPerSecond, cfg.LoadBurst),
	}
}

// SetPoolCount sets the number of pools that load from the weight store. They share its rate, and each pool may have a
// different entry as its orderer.
func (p *Placer) SetPoolCount(pools int) {
	p.loadBucket.setShare(p.cfg.LoadsPerSecond, p.cfg.LoadBurst, max(pools, 1))
}

// SetEngines sets the addresses of the engines that are in use, that is, live and not leaving. Other engines are
// forgotten.
func (p *Placer) SetEngines(addresses []string) {
	p.addresses = slices.Sorted(slices.Values(addresses))
	for address := range p.engines {
		if _, listed := slices.BinarySearch(p.addresses, address); !listed {
			delete(p.engines, address)
		}
	}
	for _, address := range p.addresses {
		if _, known := p.engines[address]; !known {
			p.engines[address] = &engine{address: address}
		}
	}
}

// ObserveDemand adds the current backlog by model, in endpoint milliseconds, to the smoothed demand. Without smoothing,
// a short burst would move engines, although loading one takes longer than the burst.
func (p *Placer) ObserveDemand(backlog map[string]float64, now time.Time) {
	fade := 0.0
	if !p.demandAt.IsZero() {
		fade = math.Exp(-float64(now.Sub(p.demandAt)) / float64(p.cfg.DemandTimeConstant))
	}
	p.demandAt = now
	for model := range p.demand {
		p.demand[model] *= fade
	}
	for model, cost := range backlog {
		p.demand[model] += (1 - fade) * cost
	}
}

// Assignment returns the state that was last read from an engine, or false if none was read yet.
func (p *Placer) Assignment(address string) (Assignment, bool) {
	e, known := p.engines[address]
	if !known || e.readAt.IsZero() {
		return Assignment{}, false
	}
	return e.state, true
}

// ObserveState records an engine's state that was read by a call sent at requestedAt. It ignores a read that was sent
// before the result of the last order was recorded, because the order may have taken effect since.
func (p *Placer) ObserveState(address string, state Assignment, requestedAt, now time.Time) {
	e, known := p.engines[address]
	if !known || requestedAt.Before(e.readAt) {
		return
	}
	if e.pending != nil && (e.resultAt.IsZero() || requestedAt.Before(e.resultAt)) {
		return
	}
	if e.pending != nil {
		e.settle(state, p.cfg.RetryAfter, now)
	}
	e.state = state
	e.readAt = requestedAt
	e.doubtful = false
}

// settle compares an engine's state with its last order.
func (e *engine) settle(state Assignment, retryAfter time.Duration, now time.Time) {
	tookEffect := state.sameWeights(e.pending) && state.Role == e.pending.Role
	fence := e.pending.Fence
	e.pending = nil
	if tookEffect {
		e.confirmedFence = fence
		e.failures = 0
		e.retryAt = time.Time{}
		return
	}
	e.backOff(retryAfter, now)
}

func (e *engine) backOff(first time.Duration, now time.Time) {
	wait := min(first<<min(e.failures, 10), MaxRetryAfter)
	e.failures++
	e.retryAt = now.Add(wait)
}

// Result is the result of an order. The set of results is closed.
type Result interface{ result() }

// Accepted carries the state that the engine returned.
type Accepted struct{ State Assignment }

// Refused means that the engine certainly did not accept the order. RetryAfter is the time to wait, if known.
type Refused struct {
	RetryAfter time.Duration
	// Limited is set if the engine or the weight store accepts no more loads now.
	Limited bool
}

// Uncertain means that the order may have taken effect, which only reading the engine's state shows.
type Uncertain struct{}

func (Accepted) result()  {}
func (Refused) result()   {}
func (Uncertain) result() {}

// RecordResult records the result of an order.
func (p *Placer) RecordResult(address string, result Result, now time.Time) {
	if r, refused := result.(Refused); refused && r.Limited {
		p.loadBucket.block(max(r.RetryAfter, p.cfg.RetryAfter), now)
	}
	e, known := p.engines[address]
	if !known || e.pending == nil {
		return
	}
	switch r := result.(type) {
	case Accepted:
		e.settle(r.State, p.cfg.RetryAfter, now)
		e.state = r.State
		e.readAt = now
	case Refused:
		e.pending = nil
		e.backOff(max(r.RetryAfter, p.cfg.RetryAfter), now)
	case Uncertain:
		e.resultAt = now
	}
}

// Unsettled lists the engines whose last order had an uncertain result. Their state should be read at once.
func (p *Placer) Unsettled() []string {
	var addresses []string
	for _, address := range p.addresses {
		if e := p.engines[address]; e.pending != nil && !e.resultAt.IsZero() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// OrderInFlight reports whether an order to the engine is in flight.
func (p *Placer) OrderInFlight(address string) bool {
	e, known := p.engines[address]
	return known && e.pending != nil && e.resultAt.IsZero()
}

// MarkDoubtful records that an engine failed a call, as an engine does that has been given another model.
func (p *Placer) MarkDoubtful(address string) {
	if e, known := p.engines[address]; known {
		e.doubtful = true
	}
}

// CannotServe reports whether an engine does not serve the model: either its recently read state has another model or
// one that is still loading, or it has failed a call since and must be read again before it gets another one.
func (p *Placer) CannotServe(address, model string, now time.Time) bool {
	e, known := p.engines[address]
	if !known || e.state.Model == "" || now.Sub(e.readAt) > p.cfg.StateMaxAge {
		return false
	}
	return e.doubtful || e.state.Model != model || e.state.Loading
}
