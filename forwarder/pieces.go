package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/detector"
	"geraniumline/divider"
	"geraniumline/meter"
	"geraniumline/switcher"
)

const (
	// takenPatience is how long the entry that collects may leave an ask without a word, beside takenFactor times what
	// words have taken lately, where it was not heard lately either. It is some thirty times the way there and back.
	takenPatience = 150 * time.Millisecond
	takenFactor   = 4
	// heardPatience is the same while peers hear it: its words are late since it is loaded, or what is between the two is
	// cut. Asking a second entry under load lets two of them fill the same endpoints, which turn away what they can't
	// hold.
	heardPatience = 600 * time.Millisecond
	// heardLately is how old the newest step of an entry may be that counts as heard: two heartbeats, and one for the way.
	heardLately = 3 * heartbeatEvery
	// takenWeight is the weight of the newest word in what words take.
	takenWeight = 0.1
)

// askID names one stage of one of this entry's requests.
type askID struct {
	request string
	stage   int
}

// ask is what one of this entry's requests waits for.
type ask struct {
	service string
	group   collector.Group
	// left are the segments without a result.
	left map[int]bool
	// owner is the entry that was asked, avoid those that did not answer, or the one that gave the pieces back.
	owner string
	avoid []string
	// kept is set once an entry that was asked left it without a word: the next one keeps the pieces, whoever it takes for
	// the one with the duty. It may not know yet that this one is gone; given back, the pieces would go on to a third entry
	// and from there to a fourth, and dozens would fill the same endpoints at once.
	kept  bool
	sent  time.Time
	taken bool
	// moved is set when the owner stops and gives its pieces back.
	moved bool
	// held is set while this entry does not know its peers yet.
	held bool
	// results takes one Deliver for each segment.
	results chan collector.Deliver
	// read is closed when the inputs of all pieces were fetched.
	read     chan struct{}
	readOnce bool
}

// askPieces asks for the pieces of one stage. The results come on the ask's channel.
func (f *Forwarder) askPieces(service string, g collector.Group) *ask {
	a := newAsk(service, g)
	now := time.Now()
	f.locked(func() []func() { return f.begin(a, now) })
	return a
}

func newAsk(service string, g collector.Group) *ask {
	a := &ask{
		service: service,
		group:   g,
		left:    make(map[int]bool, len(g.Segments)),
		results: make(chan collector.Deliver, len(g.Segments)),
		read:    make(chan struct{}),
	}
	for _, s := range g.Segments {
		a.left[s] = true
	}
	return a
}

// begin places an ask for the first time. The lock is held.
func (f *Forwarder) begin(a *ask, now time.Time) []func() {
	f.asks[askID{a.group.ID.Request, a.group.ID.Stage}] = a
	return f.place(a, now)
}

// place gives an ask to the entry that collects. With no other one left, this entry does it itself. The lock is held.
func (f *Forwarder) place(a *ask, now time.Time) []func() {
	a.held = f.settling(now)
	if a.held {
		a.owner = f.cfg.Name
		return nil
	}
	owner, known := f.owner(a.service, a.avoid)
	if !known || f.cfg.Off.Has(switcher.OneCollector) {
		owner = f.cfg.Name
	}
	a.owner = owner
	a.sent = now
	a.taken = false
	g := a.group
	g.Kept = a.kept
	g.Segments = make([]int, 0, len(a.left))
	for _, s := range a.group.Segments {
		if a.left[s] {
			g.Segments = append(g.Segments, s)
		}
	}
	if owner == f.cfg.Name {
		a.taken = true
		return f.collect(a.service, g, now)
	}
	return []func(){f.sendTo(owner, askMessage(a.service, &g, now))}
}

func askMessage(service string, g *collector.Group, now time.Time) *carrier.PieceAsk {
	m := &carrier.PieceAsk{
		Service:        service,
		Request:        g.ID.Request,
		Stage:          int32(g.ID.Stage),
		Key:            g.Key,
		Inputs:         g.Inputs,
		DueMillis:      g.Due.Sub(now).Milliseconds(),
		LatestMillis:   g.Latest.Sub(now).Milliseconds(),
		DeadlineMillis: g.Deadline.Sub(now).Milliseconds(),
		Priority:       int32(g.Priority),
		Account:        g.Account,
		ResultBytes:    g.ResultBytes,
		Zone:           g.Zone,
		FarBytes:       g.FarBytes,
		Kept:           g.Kept,
		Regions:        g.Regions,
		Holding:        g.Holding,
		InputBytes:     g.InputBytes,
		TellRead:       g.TellRead,
	}
	for _, s := range g.Segments {
		m.Numbers = append(m.Numbers, int32(s))
	}
	return m
}

// checkAsks places asks anew whose collecting entry is silent or gone. The lock is held.
func (f *Forwarder) checkAsks(now time.Time) []func() {
	var todo []func()
	for _, a := range f.asks {
		if a.held {
			todo = append(todo, f.place(a, now)...)
			continue
		}
		switch {
		case a.moved:
			// Those that were silent or stopped before may have the duty again.
			a.moved = false
			a.avoid = []string{a.owner}
		case f.ownerFails(a, now):
			a.kept = true
			a.avoid = append(a.avoid, a.owner)
		default:
			continue
		}
		todo = append(todo, f.place(a, now)...)
	}
	return todo
}

// ownerFails tells whether the entry that collects for an ask is gone, or leaves it without a word. The lock is held.
func (f *Forwarder) ownerFails(a *ask, now time.Time) bool {
	if a.owner == f.cfg.Name {
		return false
	}
	m, known := f.detector.Member(a.owner)
	lost := !known || m.State != detector.Live && m.State != detector.Stopping
	patience := takenPatience + takenFactor*f.takenTime
	if now.Sub(m.LastHeard) < heardLately {
		patience = max(patience, heardPatience)
	}
	silent := !a.taken && now.Sub(a.sent) > patience
	if !lost && !silent {
		return false
	}
	f.cfg.Meter.Counter(meter.PieceMoved).Inc(1)
	f.log.Warn("pieces asked for elsewhere",
		zap.String("request", a.group.ID.Request),
		zap.String("service", a.service),
		zap.String("peer", a.owner),
		zap.Bool("lost", lost))
	return true
}

// ownerOf is the entry that an ask is placed at.
func (f *Forwarder) ownerOf(a *ask) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.owner
}

// endAsk withdraws what is left of an ask.
func (f *Forwarder) endAsk(a *ask) {
	now := time.Now()
	f.locked(func() []func() {
		delete(f.asks, askID{a.group.ID.Request, a.group.ID.Stage})
		if len(a.left) == 0 {
			return nil
		}
		if a.owner != f.cfg.Name {
			m := &carrier.PieceWithdraw{Service: a.service, Request: a.group.ID.Request, Stage: int32(a.group.ID.Stage)}
			return []func(){f.sendTo(a.owner, m)}
		}
		return f.reduce(a.service, collector.Withdrawn{ID: a.group.ID}, now)
	})
}

// freePieces gives the space of results back.
func (f *Forwarder) freePieces(service string, made []collector.Made) {
	if len(made) == 0 {
		return
	}
	now := time.Now()
	f.locked(func() []func() {
		owner, known := f.owner(service, nil)
		if !known || owner == f.cfg.Name {
			return f.reduce(service, collector.Freed{Results: made}, now)
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
	return f.reduce(service, collector.Arrived{Group: g}, now)
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

// takeAsk takes a peer's ask. An entry that does not know the service leaves it unanswered, and the peer asks
// elsewhere. The lock is held.
func (f *Forwarder) takeAsk(from string, m *carrier.PieceAsk, now time.Time) []func() {
	if _, known := f.pool(m.Service, now); !known {
		return nil
	}
	g := collector.Group{
		ID:          collector.GroupID{Origin: from, Request: m.Request, Stage: int(m.Stage)},
		Key:         m.Key,
		Inputs:      m.Inputs,
		Due:         now.Add(time.Duration(m.DueMillis) * time.Millisecond),
		Latest:      now.Add(time.Duration(m.LatestMillis) * time.Millisecond),
		Deadline:    now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
		Priority:    int(m.Priority),
		Account:     m.Account,
		ResultBytes: m.ResultBytes,
		Zone:        m.Zone,
		FarBytes:    m.FarBytes,
		Kept:        m.Kept,
		Regions:     m.Regions,
		Holding:     m.Holding,
		InputBytes:  m.InputBytes,
		TellRead:    m.TellRead,
	}
	for _, n := range m.Numbers {
		g.Segments = append(g.Segments, int(n))
	}
	taken := &carrier.PieceTaken{Service: m.Service, Request: m.Request, Stage: m.Stage}
	return append([]func(){f.sendTo(from, taken)}, f.collect(m.Service, g, now)...)
}

func (f *Forwarder) takeTaken(from string, m *carrier.PieceTaken, now time.Time) {
	a, known := f.asks[askID{m.Request, int(m.Stage)}]
	if !known || a.owner != from || a.taken {
		return
	}
	a.taken = true
	f.takenTime += time.Duration(takenWeight * float64(now.Sub(a.sent)-f.takenTime))
}

// takeRead notes that the inputs of a stage were fetched. The lock is held.
func (f *Forwarder) takeRead(id collector.GroupID) {
	if a, known := f.asks[askID{id.Request, id.Stage}]; known && !a.readOnce {
		a.readOnce = true
		close(a.read)
	}
}

func (f *Forwarder) takeResults(from string, m *carrier.PieceResults) []func() {
	var todo []func()
	for _, r := range m.Results {
		todo = append(todo, f.takeDelivery(m.Service, collector.Deliver{
			ID:      collector.GroupID{Origin: f.cfg.Name, Request: m.Request, Stage: int(m.Stage)},
			Segment: int(r.Number),
			Result:  collector.PieceResult{Handle: r.Handle, Reason: collector.Reason(r.Reason)},
			Address: r.Address,
			Zone:    r.Zone,
		}, from)...)
	}
	return todo
}

func (f *Forwarder) takeWithdraw(from string, m *carrier.PieceWithdraw, now time.Time) []func() {
	if _, known := f.pools[m.Service]; !known {
		return nil
	}
	id := collector.GroupID{Origin: from, Request: m.Request, Stage: int(m.Stage)}
	return f.reduce(m.Service, collector.Withdrawn{ID: id}, now)
}

func (f *Forwarder) takeFree(m *carrier.PieceFree, now time.Time) []func() {
	made := make([]collector.Made, len(m.Results))
	for i, r := range m.Results {
		made[i] = collector.Made{Handle: r.Handle, Address: r.Address}
	}
	return f.reduce(m.Service, collector.Freed{Results: made}, now)
}

// takeDelivery gives a result to the request that waits for it. One that nobody waits for is freed: it came twice, or
// after its request had ended. The lock is held.
func (f *Forwarder) takeDelivery(service string, d collector.Deliver, from string) []func() {
	a, known := f.asks[askID{d.ID.Request, d.ID.Stage}]
	if d.Result.Reason == collector.Moved {
		if known {
			a.moved = true
		}
		return nil
	}
	if known && a.left[d.Segment] {
		delete(a.left, d.Segment)
		a.results <- d
		return nil
	}
	if d.Result.Handle == "" {
		return nil
	}
	made := collector.Made{Handle: d.Result.Handle, Address: d.Address}
	if from != f.cfg.Name {
		free := &carrier.PieceFree{Service: service, Results: []carrier.MadeResult{{Handle: made.Handle, Address: made.Address}}}
		return []func(){f.sendTo(from, free)}
	}
	return f.reduce(service, collector.Freed{Results: []collector.Made{made}}, time.Now())
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
		case collector.InputsRead:
			if e.ID.Origin == f.cfg.Name {
				f.takeRead(e.ID)
				continue
			}
			m := &carrier.PieceRead{Service: service, Request: e.ID.Request, Stage: int32(e.ID.Stage)}
			todo = append(todo, f.sendTo(e.ID.Origin, m))
		case collector.Judged:
			f.logJudged(service, e.Endpoint, e.Out)
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
