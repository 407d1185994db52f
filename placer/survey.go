package placer

import (
	"slices"
	"time"

	"geraniumline/publisher"
)

// model is what a survey knows of one model.
type model struct {
	name string
	// placed is the placement's line, nil for a model that engines hold and the placement does not name.
	placed *publisher.PlacedModel
	inUse  bool
	// demand is the smoothed backlog with the part that the weight stands for.
	demand float64
	// copies are the engines that hold the model or go to it; ready those that surely serve it now.
	copies int
	ready  int
}

// least is how many copies the model must have: one at least if a pipeline names it, or its requests could not run.
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

// unserved tells that requests wait for the model and no engine holds it.
func (m *model) unserved() bool { return m.inUse && m.copies == 0 }

// gain is the demand by copy that one more copy would serve.
func (m *model) gain() float64 { return m.demand / float64(m.copies+1) }

// survey is the pool as it stands in one round of decisions, with the moves that were decided in it.
type survey struct {
	cfg    Config
	lease  Lease
	now    time.Time
	models map[string]*model
	// names are the models by name.
	names []string
	// idle are the engines that may be given an order, and taken those that were in this round.
	available []*engine
	assigned  map[*engine]bool
	// pressed are the models that have been due an engine of another for long enough.
	pressured map[string]bool
}

func (p *Placer) survey(placement *publisher.Placement, inUse map[string]bool, lease Lease, now time.Time) *survey {
	s := &survey{cfg: p.cfg, lease: lease, now: now, models: map[string]*model{}, assigned: map[*engine]bool{}, pressured: map[string]bool{}}
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
	// An engine whose number is above this lease's has heard of a newer orderer: this one's time is over, though
	// it has not read so yet.
	if e.current(s.now, s.cfg.StateMaxAge) && !s.now.Before(e.retryAt) && e.state.Fence <= s.lease.Fence {
		s.available = append(s.available, e)
	}
}

// serving tells that an engine surely serves its model now. All idle engines are sure.
func (e *engine) serving() bool { return e.state.Model != "" && !e.state.Loading }

// spare tells whether an engine can be taken from its model without harm: it is not the last one that serves a model
// in use. Copies that are still loading, or were not heard of lately, do not count.
func (s *survey) canSpare(e *engine) bool {
	m := s.models[e.state.Model]
	if m == nil || !e.serving() {
		return m == nil
	}
	return m.ready > 1 || !m.inUse && m.minCopies() == 0
}

// move notes a load that was decided.
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
