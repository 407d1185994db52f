package collector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/switcher"
)

// endpoint is an endpoint of the pool with its health and the resources that the pool uses there.
type endpoint struct {
	registrar.Endpoint
	health ejector.Record
	// calls is the number of this pool's calls in progress at the endpoint.
	calls int
	// usedBytes is the space that results occupy at the endpoint, including those of calls in progress.
	usedBytes int64
	// backoff pauses calls to an endpoint that is full or has no result space.
	backoff regulator.Backoff
	// spaceWaitSince is when the endpoint began to wait for space.
	spaceWaitSince time.Time
	// removed is set once the endpoint is no longer in the pool.
	removed bool
}

func (e *endpoint) acceptsCall(slots int, now time.Time) bool {
	return e.calls < slots && !e.backoff.Active(now)
}

// call is a call in progress.
type call struct {
	id       uint64
	endpoint *endpoint
	pieces   []callPiece
	// isolated is set if the pieces belong to a single group since they may crash endpoints.
	isolated bool
	bytes    int64
	sentAt   time.Time
	expected time.Duration
	// overdueAt is when the pieces are queued for another endpoint.
	overdueAt time.Time
	overdue   bool
	// inputsFetchedAt is when the endpoint is expected to have fetched the inputs; inputsFetched is set from then on.
	inputsFetchedAt time.Time
	inputsFetched   bool
}

// callPiece is a piece that is part of a call.
type callPiece struct {
	id      GroupID
	segment int
	bytes   int64
}

// result is a result stored at the endpoint that produced it.
type result struct {
	producer *endpoint
	bytes    int64
	expires  time.Time
}

// sendCalls fills calls to the available endpoints, fastest first.
func (p *Pool) sendCalls(now time.Time) {
	if len(p.groups) == 0 {
		return
	}
	free := p.availableEndpoints(now)
	if len(free) == 0 {
		return
	}
	waiting := p.orderedGroups(now)
	for _, e := range free {
		waiting = slices.DeleteFunc(waiting, func(g *group) bool { return len(g.waiting) == 0 })
		if len(waiting) == 0 {
			return
		}
		p.fillCall(e, waiting, now)
	}
}

func (p *Pool) availableEndpoints(now time.Time) []*endpoint {
	var free []*endpoint
	p.inUseByZone = make(map[string]int)
	for _, e := range p.endpoints {
		p.health.StartDueProbe(&e.health, now)
		if e.health.State() == ejector.InUse {
			p.inUseByZone[e.Zone]++
		}
		blocked := e.health.State() == ejector.Ejected || e.health.State() == ejector.Probing && e.calls > 0
		if !blocked && e.acceptsCall(p.cfg.Stage.Slots, now) && p.gateAllows(e, now) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		free = p.probeEarly(now)
	}
	slices.SortStableFunc(free, func(a, b *endpoint) int {
		return cmp.Compare(a.health.Slowness(), b.health.Slowness())
	})
	return free
}

func (p *Pool) gateAllows(e *endpoint, now time.Time) bool {
	return p.cfg.Gate == nil || !p.cfg.Gate.SoleNextSendTime(e.ID, now).After(now)
}

// fillCall adds waiting pieces in order until the call is full or the endpoint has no space left, and sends the call.
func (p *Pool) fillCall(e *endpoint, waiting []*group, now time.Time) {
	waiting = groupsAllowedAt(e, waiting)
	space := int64(usableSpaceShare*float64(p.cfg.Stage.ResultSpaceBytes)) - e.usedBytes
	if p.waitsForSpace(e, waiting, space, now) {
		return
	}
	e.spaceWaitSince = time.Time{}
	c := &call{endpoint: e, sentAt: now}
	var pieces []Piece
	inputBytes := int64(0)
	queuedByZone := make(map[string]int)
	for _, g := range p.preferZone(e, waiting) {
		queuedAhead := queuedByZone[g.PreferredZone]
		queuedByZone[g.PreferredZone] += len(g.waiting)
		if c.isolated || g.isolated() && len(pieces) > 0 {
			continue
		}
		if p.waitsForZone(g, e, queuedAhead, now) {
			continue
		}
		late := p.deprioritized(g, now)
		before := len(pieces)
		for len(g.waiting) > 0 && len(pieces) < p.cfg.Stage.Batch && g.ResultBytes <= space {
			segment := g.waiting[0]
			g.waiting = g.waiting[1:]
			g.tries[segment]++
			space -= g.ResultBytes
			p.shares.add(g.Account, now)
			p.classes.recordPiece(g.class, now)
			if late {
				p.lateRate.add(1, now)
			}
			c.bytes += g.ResultBytes
			inputBytes += g.InputBytes
			c.pieces = append(c.pieces, callPiece{id: g.ID, segment: segment, bytes: g.ResultBytes})
			pieces = append(pieces, g.piece(segment))
			if g.PreferredZone == "" {
				// The group's other pieces should be processed in the same zone.
				g.PreferredZone = e.Zone
			}
		}
		c.isolated = g.isolated() && len(pieces) > before
		if len(g.waiting) > 0 && len(pieces) < p.cfg.Stage.Batch && g.ResultBytes > space {
			p.lastSpaceShortage = now
		}
	}
	if len(pieces) == 0 {
		return
	}
	p.lastCallID++
	c.id = p.lastCallID
	c.expected = p.cfg.Stage.CallDuration(len(pieces))
	c.inputsFetchedAt = p.inputsFetchedAt(inputBytes, now)
	c.overdueAt = now.Add(overdueFactor*c.expected + overdueMargin)
	e.calls++
	e.usedBytes += c.bytes
	p.calls[c.id] = c
	remaining := 0
	if lastBytes := c.pieces[len(c.pieces)-1].bytes; lastBytes > 0 {
		remaining = int(space / lastBytes)
	}
	if p.cfg.Gate != nil {
		p.cfg.Gate.RecordSoleSend(e.ID, now)
	}
	p.emit(SendCall{Call: c.id, Endpoint: e.Endpoint, Pieces: pieces, Timeout: timeoutFactor * c.expected, RemainingResults: remaining})
}

// groupsAllowedAt returns the groups whose pieces may be processed at the endpoint.
func groupsAllowedAt(e *endpoint, waiting []*group) []*group {
	if !slices.ContainsFunc(waiting, func(g *group) bool { return len(g.Regions) > 0 }) {
		return waiting
	}
	return slices.DeleteFunc(slices.Clone(waiting), func(g *group) bool {
		return len(g.Regions) > 0 && !slices.Contains(g.Regions, e.Region)
	})
}

// preferZone moves groups to the front that would gain nothing from an endpoint in another zone. It reorders only the groups that would all be in
// calls within about one call's duration. In a backlog, an endpoint that always took the head of the queue would process
// over half of the pieces in the wrong zone, and all their inputs would cross zones.
func (p *Pool) preferZone(e *endpoint, waiting []*group) []*group {
	if p.cfg.Disabled.Has(switcher.NearFirst) {
		return waiting
	}
	window := int(math.Ceil(float64(p.cfg.Stage.Batch) * max(p.capacity(), 1)))
	var preferred, others []*group
	for i, g := range waiting {
		if window <= 0 {
			others = append(others, waiting[i:]...)
			break
		}
		window -= len(g.waiting)
		if g.started() || g.CrossZoneBytes < ZoneAffinityBytes || g.PreferredZone == "" || g.PreferredZone == e.Zone {
			preferred = append(preferred, g)
			continue
		}
		others = append(others, g)
	}
	return append(preferred, others...)
}

// waitsForSpace reports whether the endpoint should wait for space because the pieces that fit would fill less than half
// of the call that the waiting pieces could fill.
func (p *Pool) waitsForSpace(e *endpoint, waiting []*group, space int64, now time.Time) bool {
	if p.cfg.Disabled.Has(switcher.RoomWait) {
		return false
	}
	fits, queued := 0, 0
	for _, g := range waiting {
		queued += len(g.waiting)
		n := len(g.waiting)
		if g.ResultBytes > 0 {
			n = min(n, int(max(space, 0)/g.ResultBytes))
		}
		fits += n
		space -= int64(n) * g.ResultBytes
		if queued >= p.cfg.Stage.Batch {
			break
		}
	}
	if 2*fits >= min(queued, p.cfg.Stage.Batch) {
		return false
	}
	if e.spaceWaitSince.IsZero() {
		e.spaceWaitSince = now
	}
	return fits == 0 || now.Sub(e.spaceWaitSince) < maxSpaceWait
}

func (g *group) piece(segment int) Piece {
	return Piece{
		Request:  g.ID.Request,
		Stage:    g.ID.Stage,
		Segment:  segment,
		Key:      g.Key,
		Inputs:   g.Inputs,
		Deadline: g.Deadline,
	}
}

// requeueOverdue queues the pieces of an overdue call for another endpoint. Pieces are safe to repeat, and the first
// result is used. Without this, a stalled endpoint would hold up its requests until their deadline.
func (p *Pool) requeueOverdue(c *call, now time.Time) {
	c.overdue = true
	p.recordHealth(c.endpoint, ejector.Bad, Broken, now)
	for _, m := range c.pieces {
		if g, known := p.groups[m.id]; known {
			p.requeue(g, m.segment, Failed)
		}
	}
}

func (p *Pool) handleCallEnd(e CallEnded, now time.Time) {
	c, known := p.calls[e.Call]
	if !known {
		return
	}
	delete(p.calls, e.Call)
	c.endpoint.calls--
	c.endpoint.usedBytes -= c.bytes
	if e.Outcome == Answered && len(e.Results) == len(c.pieces) {
		p.handleResults(c, e.Results, now)
		return
	}
	p.recordFailure(c, e.Outcome, now)
	if e.Outcome == Crashed {
		p.handleCrash(c)
		return
	}
	for _, m := range c.pieces {
		if g, known := p.groups[m.id]; known {
			if e.Outcome == Refused || e.Outcome == Unreachable || e.Outcome == Unanswered {
				// The endpoint did not start the work, so the try does not count.
				g.tries[m.segment]--
			}
			p.requeue(g, m.segment, Failed)
		}
	}
}

// handleCrash queues the pieces of a call that crashed its endpoint again. A piece that crashes each endpoint would take the
// others of its call with it each time, so groups that were in two such calls go without others; if that crashes the endpoint
// too, they fail.
func (p *Pool) handleCrash(c *call) {
	counted := make(map[GroupID]bool)
	for _, m := range c.pieces {
		g, known := p.groups[m.id]
		switch {
		case !known || !g.wants(m.segment):
		case c.isolated:
			p.removeWaiting(g, m.segment)
			p.deliver(g, m.segment, PieceResult{Reason: CrashesEndpoints}, nil)
		default:
			if !counted[m.id] {
				counted[m.id] = true
				g.crashes++
			}
			p.requeue(g, m.segment, Failed)
		}
	}
}

func (p *Pool) recordFailure(c *call, outcome CallOutcome, now time.Time) {
	switch outcome {
	case Refused:
		c.endpoint.backoff.RecordRefusal(refusalBackoff, now)
	case Unreachable, Crashed:
		p.recordHealth(c.endpoint, ejector.Down, outcome, now)
	default:
		if !c.overdue {
			p.recordHealth(c.endpoint, ejector.Bad, Broken, now)
		}
	}
}

func (p *Pool) recordHealth(e *endpoint, verdict ejector.Outcome, cause CallOutcome, now time.Time) {
	if e.removed {
		return
	}
	if p.health.RecordOutcome(&e.health, verdict, false, now) {
		p.emit(HealthChanged{Endpoint: e.Endpoint, OutOfUse: e.health.State() != ejector.InUse, Cause: cause})
	}
}

func (p *Pool) handleResults(c *call, results []PieceResult, now time.Time) {
	if !c.overdue && !c.endpoint.removed {
		p.recordHealth(c.endpoint, p.health.RecordDuration(&c.endpoint.health, now.Sub(c.sentAt), c.expected), Answered, now)
	}
	if allOutOfSpace(results) {
		c.endpoint.backoff.RecordRefusal(refusalBackoff, now)
	} else {
		c.endpoint.backoff.RecordSuccess()
	}
	var unused []string
	for i, r := range results {
		m := c.pieces[i]
		g, needed := p.groups[m.id]
		needed = needed && g.wants(m.segment)
		if r.Handle == "" {
			p.handleFailedPiece(g, needed, m.segment, r.Reason)
			continue
		}
		if !needed {
			unused = append(unused, r.Handle)
			continue
		}
		p.trackResult(c.endpoint, r.Handle, m.bytes, now)
		p.removeWaiting(g, m.segment)
		p.deliver(g, m.segment, r, c.endpoint)
		if _, open := p.groups[m.id]; !open && !g.arrivedLate {
			p.turnaround.add(now.Sub(g.arrived))
			p.classes.recordTurnaround(g.Priority, now.Sub(g.arrived), now)
		}
	}
	if len(unused) > 0 {
		p.emit(FreeResults{Address: c.endpoint.Address, Handles: unused})
	}
}

// allOutOfSpace reports whether the endpoint had no space for any piece of the call. Its space may be taken by results
// that another entry collected and that this pool does not count.
func allOutOfSpace(results []PieceResult) bool {
	for _, r := range results {
		if r.Reason != NoSpace {
			return false
		}
	}
	return true
}

// handleFailedPiece fails or requeues a piece without a result. It is retried only if another call can succeed.
func (p *Pool) handleFailedPiece(g *group, needed bool, segment int, reason Reason) {
	if !needed {
		return
	}
	switch reason {
	case InputGone, Late:
		p.removeWaiting(g, segment)
		p.deliver(g, segment, PieceResult{Reason: reason}, nil)
	case NoSpace:
		// The endpoint did not start the work, so the try does not count.
		g.tries[segment]--
		p.requeue(g, segment, reason)
	default:
		p.requeue(g, segment, reason)
	}
}

func (p *Pool) removeWaiting(g *group, segment int) {
	g.waiting = slices.DeleteFunc(g.waiting, func(s int) bool { return s == segment })
}

func (p *Pool) trackResult(producer *endpoint, handle string, bytes int64, now time.Time) {
	producer.usedBytes += bytes
	p.results[handle] = &result{producer: producer, bytes: bytes, expires: now.Add(p.cfg.Stage.ResultTTL)}
}

// freeResults frees results with one call to each endpoint that stores some. This includes results that another entry
// collected: after a change of the collecting entry, no other entry has a record of them.
func (p *Pool) freeResults(results []ResultRef) {
	byAddress := make(map[string][]string)
	var order []string
	for _, r := range results {
		if len(byAddress[r.Address]) == 0 {
			order = append(order, r.Address)
		}
		byAddress[r.Address] = append(byAddress[r.Address], r.Handle)
	}
	for _, address := range order {
		p.emit(FreeResults{Address: address, Handles: byAddress[address]})
	}
}

// reclaimSpace counts the space of freed results as available again. This must wait until the call that frees them has
// ended: a call sent at the same time would reach the endpoint first, and its pieces would find no space.
func (p *Pool) reclaimSpace(results []ResultRef) {
	for _, m := range results {
		if r, known := p.results[m.Handle]; known {
			r.producer.usedBytes -= r.bytes
			delete(p.results, m.Handle)
		}
	}
}
