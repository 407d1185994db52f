package placer

import (
	"slices"
	"time"
)

// nextLoad gives the load to do next, or false if no engine is to be changed: first one for a model in use that no
// engine holds, then the one that serves the most demand.
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

// short gives an engine to the most pressed model that has fewer copies than it must, or whose only copy can't be
// brought to the version in force while nothing else serves the model.
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

// unused gives an engine without a model of the placement to the most pressed model.
func (s *survey) unusedEngineLoad() load {
	return s.loadOnto(s.neediest(func(*model) bool { return true }), s.freeEngine())
}

func (s *survey) loadOnto(m *model, e *engine) load {
	if m == nil || e == nil {
		return load{}
	}
	return load{engine: e, model: m, servedDemand: m.gain()}
}

// outdated gives an engine the version and adapters in force of the model that it holds.
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

// outdatedLast tells that a model's only copy is of another version or other adapters and can't be spared.
func (s *survey) lastCopyOutdated(m *model) bool {
	want := assignmentOf(m.placed)
	return slices.ContainsFunc(s.available, func(e *engine) bool {
		return e.state.Model == m.name && !e.state.sameWeights(&want) && !s.assigned[e] && !s.canSpare(e)
	})
}

// surge moves an engine from a quiet model to a busy one, if it has been the busier one for long enough.
func (s *survey) rebalanceLoad() load {
	to, from := s.imbalance()
	if to == nil || !s.pressured[to.name] {
		return load{}
	}
	return s.loadOnto(to, s.spareEngine(from))
}

// imbalance names the model that gains most by an engine and the one that loses least, if the first is still by
// MoveRatio the more pressed one after the move. After a move the reverse never holds, so engines do not go to and
// fro between two models under a steady demand.
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

// loss is the demand by copy that is left to the copies of a model when one is taken. For the last one it is the
// whole demand, as much as a model without a copy gains by one: were it nothing, two models would take the same
// engine from each other for ever.
func (m *model) loss() float64 {
	return m.demand / float64(max(m.copies-1, 1))
}

func (m *model) moreUrgent(than *model) bool {
	if m.unserved() != than.unserved() {
		return m.unserved()
	}
	return m.gain() > than.gain()
}

// most gives the model of the placement that gains most by an engine, of those that may.
func (s *survey) neediest(may func(*model) bool) *model {
	var best *model
	for _, name := range s.names {
		m := s.models[name]
		if m.placed == nil || !may(m) {
			continue
		}
		if best == nil || m.moreUrgent(best) {
			best = m
		}
	}
	return best
}

// giver gives the model that loses least by an engine, of those that have one to spare.
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

// from gives an engine that its model can spare. One that is loading is left alone: its load would be wasted.
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

// free gives an engine that holds nothing, or a model that the placement does not name and that can be spared.
func (s *survey) freeEngine() *engine {
	at := slices.IndexFunc(s.available, func(e *engine) bool {
		m := s.models[e.state.Model]
		return !s.assigned[e] && (m == nil || m.placed == nil && e.serving() && s.canSpare(e))
	})
	if at < 0 {
		return nil
	}
	return s.available[at]
}

// notePressed keeps since when which model has been due an engine of another.
func (p *Placer) trackPressure(s *survey, now time.Time) {
	to, _ := s.imbalance()
	for name := range p.pressuredSince {
		if to == nil || name != to.name {
			delete(p.pressuredSince, name)
		}
	}
	if to == nil {
		return
	}
	if _, known := p.pressuredSince[to.name]; !known {
		p.pressuredSince[to.name] = now
	}
	s.pressured[to.name] = now.Sub(p.pressuredSince[to.name]) >= p.cfg.MoveDelay
}
