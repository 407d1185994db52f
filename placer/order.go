package placer

import (
	"time"

	"geraniumline/publisher"
)

// Order is one engine's full desired state, so that an order which comes twice or late does no more than its first.
type Order struct {
	Address string
	State   Assignment
	// Load tells that the engine has to load weights for it.
	Load bool
	// ServedDemand is the demand by copy that the load is for, in endpoint milliseconds.
	ServedDemand float64
}

// Lease is the orderer's right to order.
type Lease struct {
	// Fence is the number of the orders given now.
	Fence int64
	// Granted is the number with which this orderer's time began.
	Granted int64
}

// Orders gives the orders to send now, loads in the order of the demand that they serve. Each engine that is given
// one is left alone until Ended, and Observe where the end was uncertain.
//
// InUse holds the models that a pipeline names: the last copy of one of them that serves is never taken.
func (p *Placer) Orders(placement *publisher.Placement, inUse map[string]bool, lease Lease, now time.Time) []Order {
	if p.granted != lease.Granted {
		p.granted = lease.Granted
		p.loadBucket.reset()
	}
	s := p.survey(placement, inUse, lease, now)
	orders := s.ordersWithoutLoad()
	p.trackPressure(s, now)
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

// settings gives the orders that need no load: another role, and the fencing number of a new orderer.
//
// An engine that has only seen the predecessor's number would take a late order of it. A new orderer so begins with
// an order of the state that the engine is in, under its own number; after that the engine refuses older ones.
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

// load is one engine's change to a model.
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
