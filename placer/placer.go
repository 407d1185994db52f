package placer

import (
	"math"
	"slices"
	"time"
)

// Placer decides about one pool's engines.
type Placer struct {
	cfg     Config
	engines map[string]*engine
	// addresses are the engines in use by address, so that a replay goes the same way.
	addresses []string
	demand    map[string]float64
	demandAt  time.Time
	// pressed tells since when a model has been due an engine of another.
	pressuredSince map[string]time.Time
	loadBucket     bucket
	// granted is the lease under which the last orders were given.
	granted int64
}

// New makes a placer that knows no engine yet.
func New(cfg Config) *Placer {
	cfg = cfg.withDefaults()
	return &Placer{
		cfg:            cfg,
		engines:        map[string]*engine{},
		demand:         map[string]float64{},
		pressuredSince: map[string]time.Time{},
		loadBucket:     newBucket(cfg.LoadsPerSecond, cfg.LoadBurst),
	}
}

// SetPoolCount tells how many pools load from the weight store: its rate is for all of them together, and each pool's
// orderer may be another entry.
func (p *Placer) SetPoolCount(pools int) {
	p.loadBucket.setShare(p.cfg.LoadsPerSecond, p.cfg.LoadBurst, max(pools, 1))
}

// SetEngines takes the addresses of the engines that are in use: live and not leaving. Others are forgotten.
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

// ObserveDemand takes the present backlog by model in endpoint milliseconds, and smooths it: a burst of a moment must not
// move an engine, whose load takes longer than the burst.
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

// Assignment gives what an engine was last read to hold; false if it was not read yet.
func (p *Placer) Assignment(address string) (Assignment, bool) {
	e, known := p.engines[address]
	if !known || e.readAt.IsZero() {
		return Assignment{}, false
	}
	return e.state, true
}

// ObserveState takes an engine's state, read by a call that was sent at asked. One that was asked for before the last
// order's end may be from before the order took effect, and says nothing.
func (p *Placer) ObserveState(address string, state Assignment, asked, now time.Time) {
	e, known := p.engines[address]
	if !known || asked.Before(e.readAt) {
		return
	}
	if e.pending != nil && (e.resultAt.IsZero() || asked.Before(e.resultAt)) {
		return
	}
	if e.pending != nil {
		e.settle(state, p.cfg.RetryAfter, now)
	}
	e.state = state
	e.readAt = asked
	e.doubtful = false
}

// settle compares an engine's state with its last order.
func (e *engine) settle(state Assignment, retryAfter time.Duration, now time.Time) {
	taken := state.sameWeights(e.pending) && state.Role == e.pending.Role
	fence := e.pending.Fence
	e.pending = nil
	if taken {
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

// Result tells how an order ended. The set of results is closed.
type Result interface{ result() }

// Accepted carries the state that the engine answered.
type Accepted struct{ State Assignment }

// Refused means that the engine surely did not take the order, for RetryAfter if that is known.
type Refused struct {
	RetryAfter time.Duration
	// Limited means that it or the weight store takes no more loads now.
	Limited bool
}

// Uncertain means that the order may have taken effect. Only reading the engine back tells.
type Uncertain struct{}

func (Accepted) result()  {}
func (Refused) result()   {}
func (Uncertain) result() {}

// RecordResult takes the end of an order.
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

// Unsettled lists the engines whose last order's end is uncertain: they should be read back at once.
func (p *Placer) Unsettled() []string {
	var addresses []string
	for _, address := range p.addresses {
		if e := p.engines[address]; e.pending != nil && !e.resultAt.IsZero() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// OrderInFlight tells that an order to the engine is under way.
func (p *Placer) OrderInFlight(address string) bool {
	e, known := p.engines[address]
	return known && e.pending != nil && e.resultAt.IsZero()
}

// MarkDoubtful tells that an engine failed a call, as one does that was given another model.
func (p *Placer) MarkDoubtful(address string) {
	if e, known := p.engines[address]; known {
		e.doubtful = true
	}
}

// CannotServe tells that an engine does not serve a model: its state was read a short time ago, and is another model or one
// that it is still loading; or it failed a call since, and is to be read before it gets another.
func (p *Placer) CannotServe(address, model string, now time.Time) bool {
	e, known := p.engines[address]
	if !known || e.state.Model == "" || now.Sub(e.readAt) > p.cfg.StateMaxAge {
		return false
	}
	return e.doubtful || e.state.Model != model || e.state.Loading
}
