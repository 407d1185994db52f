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

// endpoint is one endpoint of the pool.
type endpoint struct {
	registrar.Endpoint
	health ejector.Record
	// calls is how many of this pool's calls are there.
	calls int
	// used is the space that results take there, those of calls under way too.
	used int64
	// backoff keeps calls from an endpoint that has no place or no space.
	backoff regulator.Backoff
	// roomSince is when the endpoint began to wait for space.
	roomSince time.Time
	gone      bool
}

func (e *endpoint) free(slots int, now time.Time) bool {
	return e.calls < slots && !e.backoff.Active(now)
}

// call is one call under way.
type call struct {
	id       uint64
	endpoint *endpoint
	pieces   []member
	bytes    int64
	began    time.Time
	expected time.Duration
	// patience is when the pieces are asked for elsewhere.
	patience time.Time
	overdue  bool
	// fetchedAt is when its inputs lie at the endpoint; fetched is set from then on.
	fetchedAt time.Time
	fetched   bool
}

// member is a piece as part of a call.
type member struct {
	id      GroupID
	segment int
	bytes   int64
}

// result is a result that lies at its maker.
type result struct {
	maker   *endpoint
	bytes   int64
	expires time.Time
}

// sendCalls fills calls to the endpoints that can take one, the fastest first.
func (p *Pool) sendCalls(now time.Time) {
	if len(p.groups) == 0 {
		return
	}
	free := p.freeEndpoints(now)
	if len(free) == 0 {
		return
	}
	waiting := p.ordered(now)
	for _, e := range free {
		waiting = slices.DeleteFunc(waiting, func(g *group) bool { return len(g.waiting) == 0 })
		if len(waiting) == 0 {
			return
		}
		p.fillCall(e, waiting, now)
	}
}

func (p *Pool) freeEndpoints(now time.Time) []*endpoint {
	var free []*endpoint
	p.inZone = make(map[string]int)
	for _, e := range p.endpoints {
		p.health.StartDueProbe(&e.health, now)
		if e.health.State() == ejector.InUse {
			p.inZone[e.Zone]++
		}
		out := e.health.State() == ejector.Ejected || e.health.State() == ejector.Probing && e.calls > 0
		if !out && e.free(p.cfg.Stage.Slots, now) && p.allows(e, now) {
			free = append(free, e)
		}
	}
	slices.SortStableFunc(free, func(a, b *endpoint) int {
		return cmp.Compare(a.health.Slowness(), b.health.Slowness())
	})
	return free
}

func (p *Pool) allows(e *endpoint, now time.Time) bool {
	return p.cfg.Gate == nil || !p.cfg.Gate.SoleNextSendTime(e.ID, now).After(now)
}

// fillCall takes waiting pieces in their order for as long as the call and the endpoint's space have room.
func (p *Pool) fillCall(e *endpoint, waiting []*group, now time.Time) {
	waiting = allowedAt(e, waiting)
	room := int64(roomShare*float64(p.cfg.Stage.ResultSpaceBytes)) - e.used
	if p.waitsForRoom(e, waiting, room, now) {
		return
	}
	e.roomSince = time.Time{}
	c := &call{endpoint: e, began: now}
	var pieces []Piece
	inputBytes := int64(0)
	ahead := make(map[string]int)
	for _, g := range p.nearFirst(e, waiting) {
		before := ahead[g.PreferredZone]
		ahead[g.PreferredZone] += len(g.waiting)
		if p.waitsForZone(g, e, before, now) {
			continue
		}
		late := p.yields(g, now)
		for len(g.waiting) > 0 && len(pieces) < p.cfg.Stage.Batch && g.ResultBytes <= room {
			segment := g.waiting[0]
			g.waiting = g.waiting[1:]
			g.tries[segment]++
			room -= g.ResultBytes
			p.shares.add(g.Account, now)
			if late {
				p.late.add(1, now)
			}
			c.bytes += g.ResultBytes
			inputBytes += g.InputBytes
			c.pieces = append(c.pieces, member{id: g.ID, segment: segment, bytes: g.ResultBytes})
			pieces = append(pieces, g.piece(segment))
			if g.PreferredZone == "" {
				// The group's other pieces should be made beside these.
				g.PreferredZone = e.Zone
			}
		}
		if len(g.waiting) > 0 && len(pieces) < p.cfg.Stage.Batch && g.ResultBytes > room {
			p.shortAt = now
		}
	}
	if len(pieces) == 0 {
		return
	}
	p.lastCall++
	c.id = p.lastCall
	c.expected = p.cfg.Stage.CallDuration(len(pieces))
	c.fetchedAt = p.fetched(inputBytes, now)
	c.patience = now.Add(patienceFactor*c.expected + patienceMargin)
	e.calls++
	e.used += c.bytes
	p.calls[c.id] = c
	left := 0
	if last := c.pieces[len(c.pieces)-1].bytes; last > 0 {
		left = int(room / last)
	}
	if p.cfg.Gate != nil {
		p.cfg.Gate.RecordSoleSend(e.ID, now)
	}
	p.emit(SendCall{Call: c.id, Endpoint: e.Endpoint, Pieces: pieces, Timeout: timeoutFactor * c.expected, RemainingResults: left})
}

// allowedAt leaves the groups whose pieces may be made at the endpoint.
func allowedAt(e *endpoint, waiting []*group) []*group {
	if !slices.ContainsFunc(waiting, func(g *group) bool { return len(g.Regions) > 0 }) {
		return waiting
	}
	return slices.DeleteFunc(slices.Clone(waiting), func(g *group) bool {
		return len(g.Regions) > 0 && !slices.Contains(g.Regions, e.Region)
	})
}

// nearFirst puts those groups first, of the ones that would all be in calls within about a call's time, whose results are
// wanted in the endpoint's zone. While pieces wait, an endpoint that takes the first of the queue makes over half of them in
// another zone, and all inputs cross with them.
func (p *Pool) nearFirst(e *endpoint, waiting []*group) []*group {
	if p.cfg.Off.Has(switcher.NearFirst) {
		return waiting
	}
	window := int(math.Ceil(float64(p.cfg.Stage.Batch) * max(p.capacity(), 1)))
	var near, far []*group
	for i, g := range waiting {
		if window <= 0 {
			far = append(far, waiting[i:]...)
			break
		}
		window -= len(g.waiting)
		if g.started() || g.CrossZoneBytes < ZoneAffinityBytes || g.PreferredZone == "" || g.PreferredZone == e.Zone {
			near = append(near, g)
			continue
		}
		far = append(far, g)
	}
	return append(near, far...)
}

// waitsForRoom tells whether the endpoint should wait for space, since the pieces that find space would fill less than
// half of the call that the waiting ones could fill.
func (p *Pool) waitsForRoom(e *endpoint, waiting []*group, room int64, now time.Time) bool {
	if p.cfg.Off.Has(switcher.RoomWait) {
		return false
	}
	fits, wanted := 0, 0
	for _, g := range waiting {
		wanted += len(g.waiting)
		n := len(g.waiting)
		if g.ResultBytes > 0 {
			n = min(n, int(max(room, 0)/g.ResultBytes))
		}
		fits += n
		room -= int64(n) * g.ResultBytes
		if wanted >= p.cfg.Stage.Batch {
			break
		}
	}
	if 2*fits >= min(wanted, p.cfg.Stage.Batch) {
		return false
	}
	if e.roomSince.IsZero() {
		e.roomSince = now
	}
	return fits == 0 || now.Sub(e.roomSince) < roomWait
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

// takeOverdue asks for the pieces of a silent call elsewhere. A piece may be made again, and the one that comes first
// is used; without this a stalled endpoint would hold its requests until their deadline.
func (p *Pool) takeOverdue(c *call, now time.Time) {
	c.overdue = true
	p.judge(c.endpoint, ejector.Bad, Broken, now)
	for _, m := range c.pieces {
		if g, known := p.groups[m.id]; known {
			p.requeue(g, m.segment, Failed)
		}
	}
}

func (p *Pool) takeEnd(e CallEnded, now time.Time) {
	c, known := p.calls[e.Call]
	if !known {
		return
	}
	delete(p.calls, e.Call)
	c.endpoint.calls--
	c.endpoint.used -= c.bytes
	if e.Outcome == Answered && len(e.Results) == len(c.pieces) {
		p.takeResults(c, e.Results, now)
		return
	}
	p.judgeFailure(c, e.Outcome, now)
	for _, m := range c.pieces {
		if g, known := p.groups[m.id]; known {
			if e.Outcome == Refused || e.Outcome == Unreachable || e.Outcome == Unanswered {
				// The endpoint took no work on, so the try does not count.
				g.tries[m.segment]--
			}
			p.requeue(g, m.segment, Failed)
		}
	}
}

func (p *Pool) judgeFailure(c *call, end CallOutcome, now time.Time) {
	switch end {
	case Refused:
		c.endpoint.backoff.RecordRefusal(refusedPauses, now)
	case Unreachable:
		p.judge(c.endpoint, ejector.Down, end, now)
	default:
		if !c.overdue {
			p.judge(c.endpoint, ejector.Bad, Broken, now)
		}
	}
}

func (p *Pool) judge(e *endpoint, end ejector.Outcome, why CallOutcome, now time.Time) {
	if e.gone {
		return
	}
	if p.health.RecordOutcome(&e.health, end, false, now) {
		p.emit(HealthChanged{Endpoint: e.Endpoint, OutOfUse: e.health.State() != ejector.InUse, Cause: why})
	}
}

func (p *Pool) takeResults(c *call, results []PieceResult, now time.Time) {
	if !c.overdue && !c.endpoint.gone {
		p.judge(c.endpoint, p.health.RecordDuration(&c.endpoint.health, now.Sub(c.began), c.expected), Answered, now)
	}
	if noneFits(results) {
		c.endpoint.backoff.RecordRefusal(refusedPauses, now)
	} else {
		c.endpoint.backoff.RecordSuccess()
	}
	var unused []string
	for i, r := range results {
		m := c.pieces[i]
		g, wanted := p.groups[m.id]
		wanted = wanted && g.wants(m.segment)
		if r.Handle == "" {
			p.takeReason(g, wanted, m.segment, r.Reason)
			continue
		}
		if !wanted {
			unused = append(unused, r.Handle)
			continue
		}
		p.keepResult(c.endpoint, r.Handle, m.bytes, now)
		p.dropWaiting(g, m.segment)
		p.deliver(g, m.segment, r, c.endpoint)
		if _, open := p.groups[m.id]; !open && !g.cameLate {
			p.turnaround.add(now.Sub(g.arrived))
		}
	}
	if len(unused) > 0 {
		p.emit(FreeResults{Address: c.endpoint.Address, Handles: unused})
	}
}

// noneFits tells whether a call found no space for any of its pieces. Another entry's results may lie there that this
// pool knows nothing of.
func noneFits(results []PieceResult) bool {
	for _, r := range results {
		if r.Reason != NoSpace {
			return false
		}
	}
	return true
}

// takeReason decides what becomes of a piece without a result. Only what another call can mend is tried again.
func (p *Pool) takeReason(g *group, wanted bool, segment int, why Reason) {
	if !wanted {
		return
	}
	switch why {
	case InputGone, Late:
		p.dropWaiting(g, segment)
		p.deliver(g, segment, PieceResult{Reason: why}, nil)
	case NoSpace:
		// The endpoint took no work on, so the try does not count.
		g.tries[segment]--
		p.requeue(g, segment, why)
	default:
		p.requeue(g, segment, why)
	}
}

func (p *Pool) dropWaiting(g *group, segment int) {
	g.waiting = slices.DeleteFunc(g.waiting, func(s int) bool { return s == segment })
}

func (p *Pool) keepResult(maker *endpoint, handle string, bytes int64, now time.Time) {
	maker.used += bytes
	p.results[handle] = &result{maker: maker, bytes: bytes, expires: now.Add(p.cfg.Stage.ResultTTL)}
}

// free gives results back, one call for each maker. Results that another entry collected are freed at their maker too:
// after a change of the collecting entry nobody else knows of them.
func (p *Pool) free(made []ResultRef) {
	byMaker := make(map[string][]string)
	var order []string
	for _, m := range made {
		if len(byMaker[m.Address]) == 0 {
			order = append(order, m.Address)
		}
		byMaker[m.Address] = append(byMaker[m.Address], m.Handle)
	}
	for _, address := range order {
		p.emit(FreeResults{Address: address, Handles: byMaker[address]})
	}
}

// takeFreed counts the space of freed results as free, and not before: a call that is sent at the same time as the free
// would reach the endpoint first, and its pieces would find no space.
func (p *Pool) takeFreed(made []ResultRef) {
	for _, m := range made {
		if r, known := p.results[m.Handle]; known {
			r.maker.used -= r.bytes
			delete(p.results, m.Handle)
		}
	}
}
