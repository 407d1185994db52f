package placer

import (
	"slices"
	"time"

	"geraniumline/publisher"
)

// model is the state of one model in a survey.
type model struct {
	name string
	// placed is the model's line in the placement. It is nil for a model that engines hold but the placement does not
	// name.
	placed *publisher.PlacedModel
	inUse  bool
	// demand is the smoothed backlog plus the baseline demand for the model's weight.
	demand float64
	// copies counts the engines that hold the model or are changing to it, and ready those that certainly serve it now.
	copies int
	ready  int
}

// minCopies returns the number of copies that the model must have. It is at least one if a pipeline names the model, or
// its requests could not run.
func (m *model) minCopies() int {
	switch {
	case m.placed == nil:
		return 0
	case m.inUse:
		return max(m.placed.MinCopies, 1)
	default:
		return m.placed.MinCopies
	}
}

// unserved reports whether the model is in use and no engine holds it.
func (m *model) unserved() bool { return m.inUse && m.copies == 0 }

// gain returns the demand per copy that one more copy would serve.
func (m *model) gain() float64 { return m.demand / float64(m.copies+1) }

// survey is the state of the pool in one round of decisions, including the loads decided in that round.
type survey struct {
	cfg    Config
	lease  Lease
	now    time.Time
	models map[string]*model
	// names holds the names of the models in sorted order.
	names []string
	// available holds the engines that may be sent an order, and assigned those that were sent one in this round.
	available []*engine
	assigned  map[*engine]bool
	// moveDue holds the models that have been due an engine of another model for long enough.
	moveDue map[string]bool
}

func (p *Placer) survey(placement *publisher.Placement, inUse map[string]bool, lease Lease, now time.Time) *survey {
	s := &survey{cfg: p.cfg, lease: lease, now: now, models: map[string]*model{}, assigned: map[*engine]bool{}, moveDue: map[string]bool{}}
	weights := 0.0
	for i := range placement.Models {
		weights += placement.Models[i].Weight
	}
	for i := range placement.Models {
		placed := &placement.Models[i]
		m := s.model(placed.Model)
		m.placed = placed
		m.demand = p.cfg.BaselineDemand * placed.Weight / weights * float64(len(placement.Models))
	}
	for _, address := range p.addresses {
		s.addEngine(p.engines[address])
	}
	for name, m := range s.models {
		m.demand += p.demand[name]
		m.inUse = inUse[name] || p.demand[name] > p.cfg.BaselineDemand
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	return s
}

func (s *survey) model(name string) *model {
	m, known := s.models[name]
	if !known {
		m = &model{name: name}
		s.models[name] = m
	}
	return m
}

func (s *survey) addEngine(e *engine) {
	state := e.expectedState()
	if state.Model != "" {
		m := s.model(state.Model)
		m.copies++
		if !state.Loading && e.current(s.now, s.cfg.StateMaxAge) {
			m.ready++
		}
	}
	// A fencing token above that of this lease shows that the engine follows a newer orderer: this entry's lease has
	// ended, although the entry does not know it yet.
	if e.current(s.now, s.cfg.StateMaxAge) && !s.now.Before(e.retryAt) && e.state.Fence <= s.lease.Fence {
		s.available = append(s.available, e)
	}
}

// serving reports whether the engine certainly serves its model now. It requires a current state, as all available
// engines have.
func (e *engine) serving() bool { return e.state.Model != "" && !e.state.Loading }

// canSpare reports whether an engine can be taken from its model without harm, that is, whether it is not the last one
// to serve a model in use. Copies that are still loading or were not read recently do not count.
func (s *survey) canSpare(e *engine) bool {
	m := s.models[e.state.Model]
	if m == nil || !e.serving() {
		return m == nil
	}
	return m.ready > 1 || !m.inUse && m.minCopies() == 0
}

// apply records a load that was decided.
func (s *survey) apply(l load) {
	if from := s.models[l.engine.state.Model]; from != nil {
		from.copies--
		if l.engine.serving() {
			from.ready--
		}
	}
	l.model.copies++
	s.assigned[l.engine] = true
}
