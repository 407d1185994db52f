package placer

import (
	"slices"
	"time"
)

// nextLoad returns the load to perform next, or false if no engine should change. Loads for models in use that no
// engine holds come first, followed by the load that serves the most demand.
func (s *survey) nextLoad() (load, bool) {
	best := load{}
	for _, candidate := range []load{s.shortageLoad(), s.unusedEngineLoad(), s.upgradeLoad(), s.rebalanceLoad()} {
		if candidate.engine != nil && (best.engine == nil || candidate.precedes(&best)) {
			best = candidate
		}
	}
	return best, best.engine != nil
}

func (l *load) precedes(other *load) bool {
	if l.model.unserved() != other.model.unserved() {
		return l.model.unserved()
	}
	return l.servedDemand > other.servedDemand
}

// shortageLoad assigns an engine to the neediest model that has fewer copies than required, or whose only copy cannot
// be upgraded to the version in force because nothing else serves the model.
func (s *survey) shortageLoad() load {
	to := s.neediest(func(m *model) bool {
		return m.copies < m.minCopies() || m.copies == 1 && s.lastCopyOutdated(m)
	})
	if to == nil {
		return load{}
	}
	e := s.freeEngine()
	if e == nil {
		e = s.spareEngine(s.donor(to))
	}
	return load{engine: e, model: to, servedDemand: to.gain()}
}

// unusedEngineLoad assigns an engine that holds no model of the placement to the neediest model.
func (s *survey) unusedEngineLoad() load {
	return s.loadOnto(s.neediest(func(*model) bool { return true }), s.freeEngine())
}

func (s *survey) loadOnto(m *model, e *engine) load {
	if m == nil || e == nil {
		return load{}
	}
	return load{engine: e, model: m, servedDemand: m.gain()}
}

// upgradeLoad updates an engine to the version and adapters in force of the model that it holds.
func (s *survey) upgradeLoad() load {
	best := load{}
	for _, e := range s.available {
		m := s.models[e.state.Model]
		if s.assigned[e] || m == nil || m.placed == nil {
			continue
		}
		want := assignmentOf(m.placed)
		if e.state.sameWeights(&want) || !s.canSpare(e) {
			continue
		}
		serves := m.demand / float64(max(m.copies, 1))
		if best.engine == nil || serves > best.servedDemand {
			best = load{engine: e, model: m, servedDemand: serves}
		}
	}
	return best
}

// lastCopyOutdated reports whether the model's only copy has another version or other adapters and cannot be spared.
func (s *survey) lastCopyOutdated(m *model) bool {
	want := assignmentOf(m.placed)
	return slices.ContainsFunc(s.available, func(e *engine) bool {
		return e.state.Model == m.name && !e.state.sameWeights(&want) && !s.assigned[e] && !s.canSpare(e)
	})
}

// rebalanceLoad moves an engine from a quiet model to a busy one if this move has been due for long enough.
func (s *survey) rebalanceLoad() load {
	to, from := s.imbalance()
	if to == nil || !s.moveDue[to.name] {
		return load{}
	}
	return s.loadOnto(to, s.spareEngine(from))
}

// imbalance returns the model that gains most from an engine and the model that loses least by giving one, if the first
// would still have MoveRatio times the demand per copy of the second after the move. After a move the reverse never
// holds, so engines do not oscillate between two models under a steady demand.
func (s *survey) imbalance() (to, from *model) {
	to = s.neediest(func(*model) bool { return true })
	if to == nil {
		return nil, nil
	}
	from = s.donor(to)
	if from == nil || to.gain() <= s.cfg.MoveRatio*from.loss() {
		return nil, nil
	}
	return to, from
}

// loss returns the demand per copy of the remaining copies when one is taken from the model. For the last copy it is
// the whole demand, which is also what a model without a copy gains from its first one. If it were zero, two models
// would take the same engine from each other forever.
func (m *model) loss() float64 {
	return m.demand / float64(max(m.copies-1, 1))
}

func (m *model) moreUrgent(than *model) bool {
	if m.unserved() != than.unserved() {
		return m.unserved()
	}
	return m.gain() > than.gain()
}

// neediest returns the eligible model of the placement that gains most from an engine.
func (s *survey) neediest(eligible func(*model) bool) *model {
	var best *model
	for _, name := range s.names {
		m := s.models[name]
		if m.placed == nil || !eligible(m) {
			continue
		}
		if best == nil || m.moreUrgent(best) {
			best = m
		}
	}
	return best
}

// donor returns the model that loses least by giving an engine, of the models that can spare one.
func (s *survey) donor(to *model) *model {
	var best *model
	for _, name := range s.names {
		m := s.models[name]
		if m == to || m.placed == nil || m.copies <= m.minCopies() || s.spareEngine(m) == nil {
			continue
		}
		if best == nil || m.loss() < best.loss() {
			best = m
		}
	}
	return best
}

// spareEngine returns an engine that its model can spare. It skips engines that are loading, since their load would be
// wasted.
func (s *survey) spareEngine(m *model) *engine {
	if m == nil {
		return nil
	}
	for _, e := range s.available {
		if e.state.Model == m.name && e.serving() && !s.assigned[e] && s.canSpare(e) {
			return e
		}
	}
	return nil
}

// freeEngine returns an engine that holds nothing, or a model that is not in the placement and can be spared.
func (s *survey) freeEngine() *engine {
	i := slices.IndexFunc(s.available, func(e *engine) bool {
		m := s.models[e.state.Model]
		return !s.assigned[e] && (m == nil || m.placed == nil && e.serving() && s.canSpare(e))
	})
	if i < 0 {
		return nil
	}
	return s.available[i]
}

// trackDueMoves records since when a model has been due an engine of another model.
func (p *Placer) trackDueMoves(s *survey, now time.Time) {
	to, _ := s.imbalance()
	for name := range p.moveDueSince {
		if to == nil || name != to.name {
			delete(p.moveDueSince, name)
		}
	}
	if to == nil {
		return
	}
	if _, known := p.moveDueSince[to.name]; !known {
		p.moveDueSince[to.name] = now
	}
	s.moveDue[to.name] = now.Sub(p.moveDueSince[to.name]) >= p.cfg.MoveDelay
}
