package placer

import (
	"slices"
	"time"
)

// nextLoad gives the load to do next, or false if no engine is to be changed: first one for a model in use that no
// engine holds, then the one that serves the most demand.
func (s *survey) nextLoad() (load, bool) {
	best := load{}
	for _, candidate := range []load{s.short(), s.unused(), s.outdated(), s.surge()} {
		if candidate.engine != nil && (best.engine == nil || candidate.before(&best)) {
			best = candidate
		}
	}
	return best, best.engine != nil
}

func (l *load) before(other *load) bool {
	if l.model.unserved() != other.model.unserved() {
		return l.model.unserved()
	}
	return l.serves > other.serves
}

// short gives an engine to the most pressed model that has fewer copies than it must, or whose only copy can't be
// brought to the version in force while nothing else serves the model.
func (s *survey) short() load {
	to := s.most(func(m *model) bool {
		return m.copies < m.least() || m.copies == 1 && s.outdatedLast(m)
	})
	if to == nil {
		return load{}
	}
	e := s.free()
	if e == nil {
		e = s.from(s.giver(to))
	}
	return load{engine: e, model: to, serves: to.gain()}
}

// unused gives an engine without a model of the placement to the most pressed model.
func (s *survey) unused() load {
	return s.to(s.most(func(*model) bool { return true }), s.free())
}

func (s *survey) to(m *model, e *engine) load {
	if m == nil || e == nil {
		return load{}
	}
	return load{engine: e, model: m, serves: m.gain()}
}

// outdated gives an engine the version and adapters in force of the model that it holds.
func (s *survey) outdated() load {
	best := load{}
	for _, e := range s.idle {
		m := s.models[e.state.Model]
		if s.taken[e] || m == nil || m.placed == nil {
			continue
		}
		want := wantedOf(m.placed)
		if e.state.sameWeights(&want) || !s.spare(e) {
			continue
		}
		serves := m.demand / float64(max(m.copies, 1))
		if best.engine == nil || serves > best.serves {
			best = load{engine: e, model: m, serves: serves}
		}
	}
	return best
}

// outdatedLast tells that a model's only copy is of another version or other adapters and can't be spared.
func (s *survey) outdatedLast(m *model) bool {
	want := wantedOf(m.placed)
	return slices.ContainsFunc(s.idle, func(e *engine) bool {
		return e.state.Model == m.name && !e.state.sameWeights(&want) && !s.taken[e] && !s.spare(e)
	})
}

// surge moves an engine from a quiet model to a busy one, if it has been the busier one for long enough.
func (s *survey) surge() load {
	to, from := s.imbalance()
	if to == nil || !s.pressed[to.name] {
		return load{}
	}
	return s.to(to, s.from(from))
}

// imbalance names the model that gains most by an engine and the one that loses least, if the first is still by
// MoveRatio the more pressed one after the move. After a move the reverse never holds, so engines do not go to and
// fro between two models under a steady demand.
func (s *survey) imbalance() (to, from *model) {
	to = s.most(func(*model) bool { return true })
	if to == nil {
		return nil, nil
	}
	from = s.giver(to)
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
func (s *survey) most(may func(*model) bool) *model {
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
func (s *survey) giver(to *model) *model {
	var best *model
	for _, name := range s.names {
		m := s.models[name]
		if m == to || m.placed == nil || m.copies <= m.least() || s.from(m) == nil {
			continue
		}
		if best == nil || m.loss() < best.loss() {
			best = m
		}
	}
	return best
}

// from gives an engine that its model can spare. One that is loading is left alone: its load would be wasted.
func (s *survey) from(m *model) *engine {
	if m == nil {
		return nil
	}
	for _, e := range s.idle {
		if e.state.Model == m.name && e.serving() && !s.taken[e] && s.spare(e) {
			return e
		}
	}
	return nil
}

// free gives an engine that holds nothing, or a model that the placement does not name and that can be spared.
func (s *survey) free() *engine {
	at := slices.IndexFunc(s.idle, func(e *engine) bool {
		m := s.models[e.state.Model]
		return !s.taken[e] && (m == nil || m.placed == nil && e.serving() && s.spare(e))
	})
	if at < 0 {
		return nil
	}
	return s.idle[at]
}

// notePressed keeps since when which model has been due an engine of another.
func (p *Placer) notePressed(s *survey, now time.Time) {
	to, _ := s.imbalance()
	for name := range p.pressed {
		if to == nil || name != to.name {
			delete(p.pressed, name)
		}
	}
	if to == nil {
		return
	}
	if _, known := p.pressed[to.name]; !known {
		p.pressed[to.name] = now
	}
	s.pressed[to.name] = now.Sub(p.pressed[to.name]) >= p.cfg.MoveDelay
}
