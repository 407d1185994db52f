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
	// acceptTimeout is how long a collecting entry may leave a delegation unacknowledged, in addition to acceptFactor
	// times the recent mean, if it was not heard recently. It is about thirty round trips.
	acceptTimeout = 150 * time.Millisecond
	acceptFactor  = 4
	// liveAcceptTimeout is the same limit while peers still hear the entry: it is slow under load, or the link
	// between the two is broken. If a second entry is used under load, both fill the same endpoints, which refuse the
	// excess calls.
	liveAcceptTimeout = 600 * time.Millisecond
	// recentlyHeard is the maximum age of an entry's newest heartbeat for it to count as heard: two heartbeats, and
	// one for the transit.
	recentlyHeard = 3 * heartbeatInterval
	// acceptWeight is the weight of the newest acknowledgement in meanAcceptTime.
	acceptWeight = 0.1
)

// delegationID identifies one stage of one of this entry's requests.
type delegationID struct {
	request string
	stage   int
}

// delegation is the set of pieces of one stage of one of this entry's requests, which a collecting entry runs.
type delegation struct {
	service string
	group   collector.Group
	// pending holds the segments without a result.
	pending map[int]bool
	// owner is the entry that the delegation is placed with. avoid lists the entries that did not respond, or the one
	// that returned the pieces.
	owner string
	avoid []string
	// kept is set once an entry failed to respond: the next one must keep the pieces even if it considers another
	// entry the owner, as it may not know yet that the first one is gone. If it returned them, the pieces would move
	// to a third entry and from there to a fourth, and dozens would fill the same endpoints at once.
	kept     bool
	sent     time.Time
	accepted bool
	// moved is set when the owner stops and returns its pieces.
	moved bool
	// deferred is set while this entry does not know its peers yet.
	deferred bool
	// results receives one Deliver for each segment.
	results chan collector.Deliver
	// inputsRead is closed when the inputs of all pieces were fetched.
	inputsRead       chan struct{}
	inputsReadClosed bool
}

// delegate delegates the pieces of one stage. The results arrive on the delegation's channel.
func (f *Forwarder) delegate(service string, g collector.Group) *delegation {
	a := newDelegation(service, g)
	now := time.Now()
	f.withLock(func() []func() { return f.startDelegation(a, now) })
	return a
}

func newDelegation(service string, g collector.Group) *delegation {
	a := &delegation{
		service:    service,
		group:      g,
		pending:    make(map[int]bool, len(g.Segments)),
		results:    make(chan collector.Deliver, len(g.Segments)),
		inputsRead: make(chan struct{}),
	}
	for _, s := range g.Segments {
		a.pending[s] = true
	}
	return a
}

// startDelegation places a delegation for the first time. The lock must be held.
func (f *Forwarder) startDelegation(a *delegation, now time.Time) []func() {
	f.delegations[delegationID{a.group.ID.Request, a.group.ID.Stage}] = a
	return f.placeDelegation(a, now)
}

// placeDelegation sends a delegation to the collecting entry. If no other entry is available, this entry collects the
// pieces itself. The lock must be held.
func (f *Forwarder) placeDelegation(a *delegation, now time.Time) []func() {
	a.deferred = f.settling(now)
	if a.deferred {
		a.owner = f.cfg.Name
		return nil
	}
	owner, known := f.owner(a.service, a.avoid)
	if !known || f.cfg.Disabled.Has(switcher.OneCollector) {
		owner = f.cfg.Name
	}
	a.owner = owner
	a.sent = now
	a.accepted = false
	g := a.group
	g.Pinned = a.kept
	g.Segments = make([]int, 0, len(a.pending))
	for _, s := range a.group.Segments {
		if a.pending[s] {
			g.Segments = append(g.Segments, s)
		}
	}
	if owner == f.cfg.Name {
		a.accepted = true
		return f.collectPieces(a.service, g, now)
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

// checkDelegations moves the delegations whose collecting entry is silent, gone or has returned them. The lock must
// be held.
func (f *Forwarder) checkDelegations(now time.Time) []func() {
	var actions []func()
	for _, a := range f.delegations {
		if a.deferred {
			actions = append(actions, f.placeDelegation(a, now)...)
			continue
		}
		switch {
		case a.moved:
			// Entries that were silent or stopped before may own the duty again.
			a.moved = false
			a.avoid = []string{a.owner}
		case f.ownerUnresponsive(a, now):
			a.kept = true
			a.avoid = append(a.avoid, a.owner)
		default:
			continue
		}
		actions = append(actions, f.placeDelegation(a, now)...)
	}
	return actions
}

// ownerUnresponsive reports whether the collecting entry of a delegation is gone or has not acknowledged it in time.
// The lock must be held.
func (f *Forwarder) ownerUnresponsive(a *delegation, now time.Time) bool {
	if a.owner == f.cfg.Name {
		return false
	}
	m, known := f.detector.Member(a.owner)
	lost := !known || m.State != detector.Live && m.State != detector.Stopping
	timeout := acceptTimeout + acceptFactor*f.meanAcceptTime
	if now.Sub(m.LastHeard) < recentlyHeard {
		timeout = max(timeout, liveAcceptTimeout)
	}
	silent := !a.accepted && now.Sub(a.sent) > timeout
	if !lost && !silent {
		return false
	}
	f.cfg.Meter.Counter(meter.PieceAsksMoved).Inc(1)
	f.log.Warn("moving delegation to another entry",
		zap.String("request", a.group.ID.Request),
		zap.String("service", a.service),
		zap.String("peer", a.owner),
		zap.Bool("lost", lost))
	return true
}

// ownerOf returns the entry that a delegation is placed with.
func (f *Forwarder) ownerOf(a *delegation) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.owner
}

// endDelegation withdraws the pending pieces of a delegation.
func (f *Forwarder) endDelegation(a *delegation) {
	now := time.Now()
	f.withLock(func() []func() {
		delete(f.delegations, delegationID{a.group.ID.Request, a.group.ID.Stage})
		if len(a.pending) == 0 {
			return nil
		}
		if a.owner != f.cfg.Name {
			m := &carrier.PieceWithdraw{Service: a.service, Request: a.group.ID.Request, Stage: int32(a.group.ID.Stage)}
			return []func(){f.sendTo(a.owner, m)}
		}
		return f.reduce(a.service, collector.GroupWithdrawn{ID: a.group.ID}, now)
	})
}

func (f *Forwarder) handlePieceAccepted(from string, m *carrier.PieceAccepted, now time.Time) {
	a, known := f.delegations[delegationID{m.Request, int(m.Stage)}]
	if !known || a.owner != from || a.accepted {
		return
	}
	a.accepted = true
	f.meanAcceptTime += time.Duration(acceptWeight * float64(now.Sub(a.sent)-f.meanAcceptTime))
}

// markInputsRead records that the inputs of a stage were fetched. The lock must be held.
func (f *Forwarder) markInputsRead(id collector.GroupID) {
	if a, known := f.delegations[delegationID{id.Request, id.Stage}]; known && !a.inputsReadClosed {
		a.inputsReadClosed = true
		close(a.inputsRead)
	}
}

func (f *Forwarder) handleResults(from string, m *carrier.PieceResults) []func() {
	var actions []func()
	for _, r := range m.Results {
		actions = append(actions, f.deliverResult(m.Service, collector.Deliver{
			ID:      collector.GroupID{Origin: f.cfg.Name, Request: m.Request, Stage: int(m.Stage)},
			Segment: int(r.Number),
			Result:  collector.PieceResult{Handle: r.Handle, Reason: collector.Reason(r.Reason)},
			Address: r.Address,
			Zone:    r.Zone,
		}, from)...)
	}
	return actions
}

// deliverResult passes a result to the request that waits for it. A result without a waiting request is freed: it
// arrived twice, or its request has ended. The lock must be held.
func (f *Forwarder) deliverResult(service string, d collector.Deliver, from string) []func() {
	a, known := f.delegations[delegationID{d.ID.Request, d.ID.Stage}]
	if d.Result.Reason == collector.Moved {
		if known {
			a.moved = true
		}
		return nil
	}
	if known && a.pending[d.Segment] {
		delete(a.pending, d.Segment)
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
