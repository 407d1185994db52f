package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/divider"
)

// freePieces gives the space of results back.
func (f *Forwarder) freePieces(service string, made []collector.ResultRef) {
	if len(made) == 0 {
		return
	}
	now := time.Now()
	f.locked(func() []func() {
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

// collect takes pieces into the pool of this entry. The lock is held.
func (f *Forwarder) collect(service string, g collector.Group, now time.Time) []func() {
	return f.reduce(service, collector.GroupArrived{Group: g}, now)
}

// reduce hands an event to this entry's pool of a service. The lock is held.
func (f *Forwarder) reduce(service string, ev collector.Event, now time.Time) []func() {
	p, known := f.pool(service, now)
	if !known {
		f.log.Warn("pieces of an unknown service", zap.String("service", service))
		return nil
	}
	return f.performAll(service, p, p.Reduce(ev, now))
}

// pool gives this entry's pool of the name, a new one if need be. The lock is held.
func (f *Forwarder) pool(name string, now time.Time) (*collector.Pool, bool) {
	if p, known := f.pools[name]; known {
		return p, true
	}
	s, known := f.stageService(divider.Parse(name).Service)
	if !known {
		return nil, false
	}
	p := collector.New(collector.Config{Service: name, Stage: *s.Stage, Ejector: ejectorConfig(f.cfg.Off), Gate: f.regulator, Off: f.cfg.Off})
	p.Reduce(f.endpointsOf(name, f.usable(now)), now)
	f.pools[name] = p
	return p, true
}

// takePieceRequest takes a peer's request for pieces. An entry that does not know the service leaves it unanswered, and the peer asks
// elsewhere. The lock is held.
func (f *Forwarder) takePieceRequest(from string, m *carrier.PieceRequest, now time.Time) []func() {
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
	taken := &carrier.PieceAccepted{Service: m.Service, Request: m.Request, Stage: m.Stage}
	return append([]func(){f.sendTo(from, taken)}, f.collect(m.Service, g, now)...)
}

func (f *Forwarder) takeWithdraw(from string, m *carrier.PieceWithdraw, now time.Time) []func() {
	if _, known := f.pools[m.Service]; !known {
		return nil
	}
	id := collector.GroupID{Origin: from, Request: m.Request, Stage: int(m.Stage)}
	return f.reduce(m.Service, collector.GroupWithdrawn{ID: id}, now)
}

func (f *Forwarder) takeFree(m *carrier.PieceFree, now time.Time) []func() {
	made := make([]collector.ResultRef, len(m.Results))
	for i, r := range m.Results {
		made[i] = collector.ResultRef{Handle: r.Handle, Address: r.Address}
	}
	return f.reduce(m.Service, collector.ResultsReleased{Results: made}, now)
}

// performAll turns a pool's effects into what is to be done after the lock. The lock is held.
func (f *Forwarder) performAll(service string, p *collector.Pool, effects []collector.Effect) []func() {
	var todo []func()
	away := make(map[collector.GroupID]*carrier.PieceResults)
	for _, effect := range effects {
		switch e := effect.(type) {
		case collector.SendCall:
			f.noteCall(service, p, e)
			todo = append(todo, func() { go f.callPieces(service, p, e) })
		case collector.FreeResults:
			todo = append(todo, func() { go f.callFree(service, p, e) })
		case collector.InputsFetched:
			if e.ID.Origin == f.cfg.Name {
				f.takeRead(e.ID)
				continue
			}
			m := &carrier.PieceRead{Service: service, Request: e.ID.Request, Stage: int32(e.ID.Stage)}
			todo = append(todo, f.sendTo(e.ID.Origin, m))
		case collector.HealthChanged:
			f.logJudged(service, e.Endpoint, e.OutOfUse)
		case collector.Deliver:
			if e.ID.Origin == f.cfg.Name {
				todo = append(todo, f.takeDelivery(service, e, f.cfg.Name)...)
				continue
			}
			m, known := away[e.ID]
			if !known {
				m = &carrier.PieceResults{Service: service, Request: e.ID.Request, Stage: int32(e.ID.Stage)}
				away[e.ID] = m
				todo = append(todo, f.sendTo(e.ID.Origin, m))
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
	return todo
}
