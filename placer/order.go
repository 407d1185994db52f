package placer

import (
	"time"

	"geraniumline/publisher"
)

// Order is the full desired state of one engine, so that an order which arrives twice or late has no further effect.
type Order struct {
	Address string
	State   Assignment
	// Load is set if the engine must load weights to carry out the order.
	Load bool
	// ServedDemand is the demand per copy that the load serves, in endpoint milliseconds.
	ServedDemand float64
}

// Lease is the right of an orderer to send orders.
type Lease struct {
	// Fence is the fencing token of orders sent now.
	Fence int64
	// Granted is the fencing token with which this orderer's lease began.
	Granted int64
}

// Orders returns the orders to send now, with loads sorted by the demand that they serve. An engine that is sent an
// order gets no other one until RecordResult, and if the result was uncertain until ObserveState.
//
// inUse holds the models that a pipeline names. The last serving copy of such a model is never taken.
func (p *Placer) Orders(placement *publisher.Placement, inUse map[string]bool, lease Lease, now time.Time) []Order {
	if p.granted != lease.Granted {
		p.granted = lease.Granted
		p.loadBucket.reset()
	}
	s := p.survey(placement, inUse, lease, now)
	orders := s.ordersWithoutLoad()
	p.trackDueMoves(s, now)
	p.loadBucket.refill(now)
	for p.loadBucket.ready(now) {
		best, found := s.nextLoad()
		if !found {
			break
		}
		p.loadBucket.spend()
		s.apply(best)
		orders = append(orders, best.order(lease.Fence))
	}
	for i := range orders {
		p.engines[orders[i].Address].order(orders[i].State)
	}
	return orders
}

func (e *engine) order(state Assignment) {
	e.pending = &state
	e.resultAt = time.Time{}
}

// ordersWithoutLoad returns the orders that need no load: role changes, and the fencing token of a new orderer.
//
// An engine that has only seen the previous orderer's token would accept a late order from it. A new orderer therefore
// starts by ordering the state that the engine is already in, under its own token. After that the engine refuses older
// orders.
func (s *survey) ordersWithoutLoad() []Order {
	var orders []Order
	for _, e := range s.available {
		if e.state.Model == "" {
			continue
		}
		state := e.state
		state.Loading = false
		if m := s.models[e.state.Model]; m != nil && m.placed != nil {
			state.Role = m.placed.Role
		}
		if state.Role == e.state.Role && max(e.state.Fence, e.confirmedFence) >= s.lease.Granted {
			continue
		}
		state.Fence = s.lease.Fence
		s.assigned[e] = true
		orders = append(orders, Order{Address: e.address, State: state})
	}
	return orders
}

// load is the change of one engine to a model.
type load struct {
	engine       *engine
	model        *model
	servedDemand float64
}

func (l *load) order(fence int64) Order {
	state := assignmentOf(l.model.placed)
	state.Fence = fence
	return Order{Address: l.engine.address, State: state, Load: true, ServedDemand: l.servedDemand}
}
