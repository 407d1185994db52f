package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/divider"
)

// freePieces frees the space of results.
func (f *Forwarder) freePieces(service string, made []collector.ResultRef) {
	if len(made) == 0 {
		return
	}
	now := time.Now()
	f.withLock(func() []func() {
		owner, known := f.owner(service, nil)
		if !known || owner == f.cfg.Name {
			return f.reduce(service, collector.ResultsReleased{Results: made}, now)
		}
		m := &carrier.PieceFree{Service: service}
		for _, r := range made {
			m.Results = append(m.Results, carrier.MadeResult{Handle: r.Handle, Address: r.Address})
		}
		return []func(){f.sendTo(owner, m)}
	})
}

// collectPieces adds a group of pieces to a pool of this entry. The lock must be held.
func (f *Forwarder) collectPieces(service string, g collector.Group, now time.Time) []func() {
	return f.reduce(service, collector.GroupArrived{Group: g}, now)
}

// reduce applies an event to this entry's pool for a service. The lock must be held.
func (f *Forwarder) reduce(service string, ev collector.Event, now time.Time) []func() {
	p, known := f.pool(service, now)
	if !known {
		f.log.Warn("no pool for unknown service", zap.String("service", service))
		return nil
	}
	return f.performAll(service, p, p.Reduce(ev, now))
}

// pool returns this entry's pool of the given name and creates it if necessary. It reports false if the service is
// unknown. The lock must be held.
func (f *Forwarder) pool(name string, now time.Time) (*collector.Pool, bool) {
	if p, known := f.pools[name]; known {
		return p, true
	}
	s, known := f.stageService(divider.Parse(name).Service)
	if !known {
		return nil, false
	}
	p := collector.New(collector.Config{Service: name, Stage: *s.Stage, Ejector: ejectorConfig(f.cfg.Disabled), Gate: f.regulator, Disabled: f.cfg.Disabled})
	p.Reduce(f.endpointsOf(name, f.usable(now)), now)
	f.pools[name] = p
	return p, true
}

// handlePieceRequest handles a peer's request for pieces. An entry that does not know the service sends no
// acknowledgement, so that the peer asks another entry. The lock must be held.
func (f *Forwarder) handlePieceRequest(from string, m *carrier.PieceRequest, now time.Time) []func() {
	if _, known := f.pool(m.Service, now); !known {
		return nil
	}
	g := collector.Group{
		ID:                  collector.GroupID{Origin: from, Request: m.Request, Stage: int(m.Stage)},
		Key:                 m.Key,
		Inputs:              m.Inputs,
		Due:                 now.Add(time.Duration(m.DueMillis) * time.Millisecond),
		LatestDue:           now.Add(time.Duration(m.LatestMillis) * time.Millisecond),
		Deadline:            now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
		Priority:            int(m.Priority),
		Account:             m.Account,
		ResultBytes:         m.ResultBytes,
		PreferredZone:       m.Zone,
		CrossZoneBytes:      m.FarBytes,
		Pinned:              m.Kept,
		Regions:             m.Regions,
		HoldsSpace:          m.Holding,
		InputBytes:          m.InputBytes,
		NotifyInputsFetched: m.TellRead,
	}
	for _, n := range m.Numbers {
		g.Segments = append(g.Segments, int(n))
	}
	accepted := &carrier.PieceAccepted{Service: m.Service, Request: m.Request, Stage: m.Stage}
	return append([]func(){f.sendTo(from, accepted)}, f.collectPieces(m.Service, g, now)...)
}

func (f *Forwarder) handleWithdraw(from string, m *carrier.PieceWithdraw, now time.Time) []func() {
	if _, known := f.pools[m.Service]; !known {
		return nil
	}
	id := collector.GroupID{Origin: from, Request: m.Request, Stage: int(m.Stage)}
	return f.reduce(m.Service, collector.GroupWithdrawn{ID: id}, now)
}

func (f *Forwarder) handleFree(m *carrier.PieceFree, now time.Time) []func() {
	made := make([]collector.ResultRef, len(m.Results))
	for i, r := range m.Results {
		made[i] = collector.ResultRef{Handle: r.Handle, Address: r.Address}
	}
	return f.reduce(m.Service, collector.ResultsReleased{Results: made}, now)
}

// performAll converts a pool's effects to actions to run after the lock is released. The lock must be held.
func (f *Forwarder) performAll(service string, p *collector.Pool, effects []collector.Effect) []func() {
	var actions []func()
	remote := make(map[collector.GroupID]*carrier.PieceResults)
	for _, effect := range effects {
		switch e := effect.(type) {
		case collector.SendCall:
			f.logCall(service, p, e)
			actions = append(actions, func() { go f.callPieces(service, p, e) })
		case collector.FreeResults:
			actions = append(actions, func() { go f.callFree(service, p, e) })
		case collector.InputsFetched:
			if e.ID.Origin == f.cfg.Name {
				f.markInputsRead(e.ID)
				continue
			}
			m := &carrier.PieceRead{Service: service, Request: e.ID.Request, Stage: int32(e.ID.Stage)}
			actions = append(actions, f.sendTo(e.ID.Origin, m))
		case collector.HealthChanged:
			f.logHealthChange(service, e.Endpoint, e.OutOfUse)
		case collector.Deliver:
			if e.ID.Origin == f.cfg.Name {
				actions = append(actions, f.deliverResult(service, e, f.cfg.Name)...)
				continue
			}
			m, known := remote[e.ID]
			if !known {
				m = &carrier.PieceResults{Service: service, Request: e.ID.Request, Stage: int32(e.ID.Stage)}
				remote[e.ID] = m
				actions = append(actions, f.sendTo(e.ID.Origin, m))
			}
			m.Results = append(m.Results, carrier.PieceResult{
				Number:  int32(e.Segment),
				Reason:  uint8(e.Result.Reason),
				Handle:  e.Result.Handle,
				Address: e.Address,
				Zone:    e.Zone,
			})
		}
	}
	return actions
}
