package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/detector"
	"geraniumline/meter"
	"geraniumline/switcher"
)

const (
	// acceptPatience is how long the entry that collects may leave a delegation without an answer, beside acceptFactor times
	// what answers have taken lately, where it was not heard lately either. It is some thirty round trips.
	acceptPatience = 150 * time.Millisecond
	acceptFactor   = 4
	// heardPatience is the same while peers hear it: its answers are late since it is loaded, or the link between the two is
	// cut. Delegating to a second entry under load lets two of them fill the same endpoints, which turn away what they can't
	// hold.
	heardPatience = 600 * time.Millisecond
	// heardLately is how old the newest step of an entry may be that counts as heard: two heartbeats, and one for the way.
	heardLately = 3 * heartbeatEvery
	// acceptWeight is the weight of the newest answer in acceptTime.
	acceptWeight = 0.1
)

// delegationID names one stage of one of this entry's requests.
type delegationID struct {
	request string
	stage   int
}

// delegation is the pieces of one stage of one of this entry's requests, which the entry that collects makes.
type delegation struct {
	service string
	group   collector.Group
	// left are the segments without a result.
	left map[int]bool
	// owner is the entry that it is placed at, avoid those that did not answer, or the one that gave the pieces back.
	owner string
	avoid []string
	// kept is set once an entry left it without an answer: the next one keeps the pieces, whoever it takes for the one with
	// the duty. It may not know yet that this one is gone; given back, the pieces would go on to a third entry and from there
	// to a fourth, and dozens would fill the same endpoints at once.
	kept     bool
	sent     time.Time
	accepted bool
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

// delegate has the pieces of one stage made. The results come on the delegation's channel.
func (f *Forwarder) delegate(service string, g collector.Group) *delegation {
	a := newDelegation(service, g)
	now := time.Now()
	f.locked(func() []func() { return f.begin(a, now) })
	return a
}

func newDelegation(service string, g collector.Group) *delegation {
	a := &delegation{
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

// begin places a delegation for the first time. The lock is held.
func (f *Forwarder) begin(a *delegation, now time.Time) []func() {
	f.delegations[delegationID{a.group.ID.Request, a.group.ID.Stage}] = a
	return f.place(a, now)
}

// place gives a delegation to the entry that collects. With no other one left, this entry does it itself. The lock is held.
func (f *Forwarder) place(a *delegation, now time.Time) []func() {
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
	a.accepted = false
	g := a.group
	g.Pinned = a.kept
	g.Segments = make([]int, 0, len(a.left))
	for _, s := range a.group.Segments {
		if a.left[s] {
			g.Segments = append(g.Segments, s)
		}
	}
	if owner == f.cfg.Name {
		a.accepted = true
		return f.collect(a.service, g, now)
	}
	return []func(){f.sendTo(owner, requestMessage(a.service, &g, now))}
}

func requestMessage(service string, g *collector.Group, now time.Time) *carrier.PieceRequest {
	m := &carrier.PieceRequest{
		Service:        service,
		Request:        g.ID.Request,
		Stage:          int32(g.ID.Stage),
		Key:            g.Key,
		Inputs:         g.Inputs,
		DueMillis:      g.Due.Sub(now).Milliseconds(),
		LatestMillis:   g.LatestDue.Sub(now).Milliseconds(),
		DeadlineMillis: g.Deadline.Sub(now).Milliseconds(),
		Priority:       int32(g.Priority),
		Account:        g.Account,
		ResultBytes:    g.ResultBytes,
		Zone:           g.PreferredZone,
		FarBytes:       g.CrossZoneBytes,
		Kept:           g.Pinned,
		Regions:        g.Regions,
		Holding:        g.HoldsSpace,
		InputBytes:     g.InputBytes,
		TellRead:       g.NotifyInputsFetched,
	}
	for _, s := range g.Segments {
		m.Numbers = append(m.Numbers, int32(s))
	}
	return m
}

// checkDelegations places delegations anew whose collecting entry is silent or gone. The lock is held.
func (f *Forwarder) checkDelegations(now time.Time) []func() {
	var todo []func()
	for _, a := range f.delegations {
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

// ownerFails tells whether the entry that collects for a delegation is gone, or leaves it without an answer. The lock is held.
func (f *Forwarder) ownerFails(a *delegation, now time.Time) bool {
	if a.owner == f.cfg.Name {
		return false
	}
	m, known := f.detector.Member(a.owner)
	lost := !known || m.State != detector.Live && m.State != detector.Stopping
	patience := acceptPatience + acceptFactor*f.acceptTime
	if now.Sub(m.LastHeard) < heardLately {
		patience = max(patience, heardPatience)
	}
	silent := !a.accepted && now.Sub(a.sent) > patience
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

// ownerOf is the entry that a delegation is placed at.
func (f *Forwarder) ownerOf(a *delegation) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.owner
}

// endDelegation withdraws what is left of a delegation.
func (f *Forwarder) endDelegation(a *delegation) {
	now := time.Now()
	f.locked(func() []func() {
		delete(f.delegations, delegationID{a.group.ID.Request, a.group.ID.Stage})
		if len(a.left) == 0 {
			return nil
		}
		if a.owner != f.cfg.Name {
			m := &carrier.PieceWithdraw{Service: a.service, Request: a.group.ID.Request, Stage: int32(a.group.ID.Stage)}
			return []func(){f.sendTo(a.owner, m)}
		}
		return f.reduce(a.service, collector.GroupWithdrawn{ID: a.group.ID}, now)
	})
}

func (f *Forwarder) takePieceAccepted(from string, m *carrier.PieceAccepted, now time.Time) {
	a, known := f.delegations[delegationID{m.Request, int(m.Stage)}]
	if !known || a.owner != from || a.accepted {
		return
	}
	a.accepted = true
	f.acceptTime += time.Duration(acceptWeight * float64(now.Sub(a.sent)-f.acceptTime))
}

// takeRead notes that the inputs of a stage were fetched. The lock is held.
func (f *Forwarder) takeRead(id collector.GroupID) {
	if a, known := f.delegations[delegationID{id.Request, id.Stage}]; known && !a.readOnce {
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

// takeDelivery gives a result to the request that waits for it. One that nobody waits for is freed: it came twice, or
// after its request had ended. The lock is held.
func (f *Forwarder) takeDelivery(service string, d collector.Deliver, from string) []func() {
	a, known := f.delegations[delegationID{d.ID.Request, d.ID.Stage}]
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
	made := collector.ResultRef{Handle: d.Result.Handle, Address: d.Address}
	if from != f.cfg.Name {
		free := &carrier.PieceFree{Service: service, Results: []carrier.MadeResult{{Handle: made.Handle, Address: made.Address}}}
		return []func(){f.sendTo(from, free)}
	}
	return f.reduce(service, collector.ResultsReleased{Results: []collector.ResultRef{made}}, time.Now())
}
