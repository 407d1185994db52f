package collector

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"geraniumline/ejector"
	"geraniumline/switcher"
)

// group is a Group with the progress of its pieces.
type group struct {
	Group
	// waiting holds the segments that are in no call.
	waiting []int
	// delivered holds the segments whose result, or the reason why there is none, was delivered.
	delivered map[int]bool
	// inputsFetched holds the segments whose inputs an endpoint has fetched. fetchReported is set once that was reported
	// for all of them.
	inputsFetched map[int]bool
	fetchReported bool
	// tries is the number of calls that included each segment.
	tries map[int]int
	// crashes is the number of calls with pieces of the group that crashed their endpoints.
	crashes int
	arrived time.Time
	// class is the class of the group's priority.
	class int
	// arrivedLate is set for groups that were deprioritized on arrival.
	arrivedLate bool
}

func (p *Pool) addGroup(g Group, now time.Time) {
	if _, known := p.groups[g.ID]; known {
		// The origin repeats the request because it missed the answer to the first one.
		return
	}
	added := &group{
		Group:         g,
		waiting:       slices.Clone(g.Segments),
		delivered:     make(map[int]bool, len(g.Segments)),
		inputsFetched: make(map[int]bool, len(g.Segments)),
		tries:         make(map[int]int, len(g.Segments)),
		arrived:       now,
		class:         Class(g.Priority),
	}
	added.arrivedLate = p.deprioritized(added, now)
	p.classes.recordArrival(g.Priority, now)
	p.groups[g.ID] = added
}

func (p *Pool) withdraw(matches func(GroupID) bool) {
	for id := range p.groups {
		if matches(id) {
			delete(p.groups, id)
		}
	}
}

// deliver emits a piece's result and removes the group after its last one.
func (p *Pool) deliver(g *group, segment int, r PieceResult, producer *endpoint) {
	g.delivered[segment] = true
	d := Deliver{ID: g.ID, Segment: segment, Result: r}
	if producer != nil {
		d.Address = producer.Address
		d.Zone = producer.Zone
	}
	p.emit(d)
	if len(g.delivered) == len(g.Segments) {
		delete(p.groups, g.ID)
	}
}

// requeue queues a piece again after a call without a result. Once its tries are used up, it fails with the last reason, but not
// while a call may still return its result: its endpoint may only be silent for a moment.
func (p *Pool) requeue(g *group, segment int, reason Reason) {
	if !g.wants(segment) || slices.Contains(g.waiting, segment) {
		return
	}
	if g.tries[segment] >= maxTries {
		if p.isCalled(g.ID, segment) {
			return
		}
		p.deliver(g, segment, PieceResult{Reason: reason}, nil)
		return
	}
	g.waiting = append(g.waiting, segment)
}

// isCalled reports whether a piece is part of a call in progress.
func (p *Pool) isCalled(id GroupID, segment int) bool {
	for _, c := range p.calls {
		if slices.ContainsFunc(c.pieces, func(piece callPiece) bool { return piece.id == id && piece.segment == segment }) {
			return true
		}
	}
	return false
}

// expireGroups fails the pieces that cannot be processed before their deadline: too little time is left for a call, or
// the pieces ahead of them take longer even in full calls. Failing them early lets the caller retry sooner.
func (p *Pool) expireGroups(now time.Time) {
	if len(p.groups) > backlogThreshold && now.Sub(p.lastExpiryCheck) < expiryInterval {
		return
	}
	p.lastExpiryCheck = now
	capacity, throttled := p.capacity(), p.throttledUntil(now)
	ahead, late := 0, 0
	for _, g := range p.orderedGroups(now) {
		n := len(g.waiting)
		ahead += n
		callTime := p.cfg.Stage.CallDuration(min(n, p.cfg.Stage.Batch))
		switch {
		case g.Deadline.Before(now.Add(p.cfg.Stage.CallDuration(1))):
			p.failWaiting(g, Late)
			ahead -= n
		case throttled.After(now) && g.Deadline.Before(throttled.Add(p.cfg.Stage.CallDuration(1))):
			p.failWaiting(g, Throttled)
			ahead -= n
		case !g.started() && capacity > 0 && g.Deadline.Before(now.Add(p.queueTime(ahead-n, capacity)+callTime)):
			p.failOverloaded(g, now)
			ahead -= n
		case p.deprioritized(g, now):
			late += n
			if p.unlikelyBeforeDeadline(g, late, now) {
				p.failOverloaded(g, now)
				ahead -= n
				late -= n
			}
		}
	}
}

// unlikelyBeforeDeadline reports whether a late group will probably not be processed: half of its time is over, and at the
// recent rate of late groups, its turn comes after its deadline. Its caller can still retry in the other half.
func (p *Pool) unlikelyBeforeDeadline(g *group, lateAhead int, now time.Time) bool {
	if p.cfg.Disabled.Has(switcher.LateGivenUp) || g.started() || now.Sub(g.arrived) < g.Deadline.Sub(now) {
		return false
	}
	rate := p.lateRate.perSecond(now)
	return float64(lateAhead) > rate*g.Deadline.Sub(now).Seconds()
}

// failWaitingIf fails the waiting pieces of all matching groups. If this entry stops or another one collects, their origins
// request them from the other entry; kept here, they would delay the shutdown or be lost with it. If no endpoint may receive
// work, their callers are answered at once and not at their deadline.
func (p *Pool) failWaitingIf(reason Reason, matches func(*group) bool, now time.Time) {
	for _, g := range p.orderedGroups(now) {
		if matches(g) {
			p.failWaiting(g, reason)
		}
	}
}

func everyGroup(*group) bool { return true }

func notPinned(g *group) bool { return !g.Pinned }

// failOverloaded fails a group's waiting pieces because others go before them.
func (p *Pool) failOverloaded(g *group, now time.Time) {
	if p.OverloadedFor(now) == 0 {
		p.overloadSince = now
	}
	p.lastOverload = now
	p.failWaiting(g, Overload)
}

// failWaiting fails a group's waiting pieces with the given reason.
func (p *Pool) failWaiting(g *group, reason Reason) {
	waiting := g.waiting
	g.waiting = nil
	for _, segment := range waiting {
		p.deliver(g, segment, PieceResult{Reason: reason}, nil)
	}
}

// queueTime returns the minimum time in which endpoints of the given total capacity process the given number of pieces.
func (p *Pool) queueTime(pieces int, capacity float64) time.Duration {
	if capacity <= 0 {
		capacity = 1
	}
	calls := pieces / p.cfg.Stage.Batch
	rounds := math.Floor(float64(calls) / (capacity * float64(p.cfg.Stage.Slots)))
	return time.Duration(rounds) * p.cfg.Stage.CallDuration(p.cfg.Stage.Batch)
}

// capacity returns the number of endpoints in use. An endpoint with a rate limit counts as the fraction of its time that
// its calls take.
func (p *Pool) capacity() float64 {
	n := 0.0
	for _, e := range p.endpoints {
		if e.health.State() == ejector.InUse {
			n += p.usableShare(e)
		}
	}
	return n
}

func (p *Pool) usableShare(e *endpoint) float64 {
	if p.cfg.Gate == nil {
		return 1
	}
	perSecond, limited := p.cfg.Gate.Limit(e.ID)
	if !limited {
		return 1
	}
	return min(1, perSecond*p.cfg.Stage.CallDuration(p.cfg.Stage.Batch).Seconds()/float64(p.cfg.Stage.Slots))
}

// throttledUntil returns the earliest time when an endpoint accepts calls again if all endpoints in use have asked for a
// pause: when one of the pauses ends, or an ejected endpoint is probed, which is at once if it served badly. It returns
// zero if one of those in use accepts calls now, or none is in use.
func (p *Pool) throttledUntil(now time.Time) time.Time {
	if p.cfg.Gate == nil {
		return time.Time{}
	}
	var inUse, others time.Time
	for _, e := range p.endpoints {
		at := p.cfg.Gate.SoleNextSendTime(e.ID, now)
		if e.health.State() != ejector.InUse {
			probed := now
			if e.health.Down() {
				probed = later(now, e.health.Until())
			}
			others = earlier(others, later(at, probed))
			continue
		}
		if !at.After(now) {
			return time.Time{}
		}
		inUse = earlier(inUse, at)
	}
	if inUse.IsZero() {
		return time.Time{}
	}
	return earlier(inUse, others)
}

// earlier returns the earlier of two times, or the other one if one is zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// orderedGroups returns the groups with waiting pieces, most urgent first.
//
// Groups that can no longer be on time go last. In a surge, ordering by arrival or due time alone makes every answer late,
// because each call then serves groups that have just become too late. Groups whose inputs hold much result space are
// never put last: the endpoints that produced the inputs would have no space for new results and be idle, and the inputs
// would expire before they are used. Partly processed groups go first for the same reason: a pool whose space is full of
// parts of many groups finishes none of them. Client accounts that recently had more than their fair share are delayed by
// a fraction of an objective.
func (p *Pool) orderedGroups(now time.Time) []*group {
	keys := make([]sortKey, 0, len(p.groups))
	var delays map[string]time.Duration
	if !p.cfg.Disabled.Has(switcher.FairShare) {
		delays = p.shares.delays(now)
	}
	order := p.classes.order(now)
	for _, g := range p.groups {
		if len(g.waiting) > 0 {
			keys = append(keys, p.sortKeyOf(g, &order, delays[g.Account], now))
		}
	}
	slices.SortFunc(keys, sortKey.compare)
	list := make([]*group, len(keys))
	for i := range keys {
		list[i] = keys[i].group
	}
	return list
}

// sortKey is the key by which groups are sorted. It is computed once for each group and not in each comparison, because a
// loaded collecting entry sorts a backlog of hundreds of groups dozens of times a second.
type sortKey struct {
	group *group
	// rank puts partly processed groups before the rest, and within each, deprioritized groups after others.
	rank int
	// class is the position of the group's class.
	class int
	// due is in Unix nanoseconds, which compare faster than times.
	due int64
}

func (p *Pool) sortKeyOf(g *group, order *[ClassCount]int, delay time.Duration, now time.Time) sortKey {
	rank := 0
	if !g.started() && !p.cfg.Disabled.Has(switcher.StartedFirst) {
		rank = startedRanks
	}
	if p.deprioritized(g, now) {
		rank++
	}
	return sortKey{group: g, rank: rank, class: order[g.class], due: p.effectiveDue(g, now).Add(delay).UnixNano()}
}

// startedRanks is the number of ranks of partly processed groups: on time and late.
const startedRanks = 2

func (a sortKey) compare(b sortKey) int {
	switch {
	case a.rank != b.rank:
		return a.rank - b.rank
	case a.class != b.class:
		return a.class - b.class
	case a.due != b.due:
		return cmp.Compare(a.due, b.due)
	default:
		return strings.Compare(a.group.ID.Request, b.group.ID.Request)
	}
}

// effectiveDue returns the due time by which a group is sorted within its rank. A late group that holds space is not put
// last, but lets others pass for half of the time that results are kept. If late groups went first, as the oldest ones,
// they would make groups late that can still be on time.
func (p *Pool) effectiveDue(g *group, now time.Time) time.Time {
	delayedDue := g.arrived.Add(p.cfg.Stage.ResultTTL / 2)
	if !p.cfg.Disabled.Has(switcher.LatePatience) && p.cannotBeOnTime(g, now) && delayedDue.After(g.Due) {
		return delayedDue
	}
	return g.Due
}

// wants reports whether a piece still needs a result. A call sent for an earlier group of the same request may return
// pieces that are not part of this group.
func (g *group) wants(segment int) bool {
	return !g.delivered[segment] && slices.Contains(g.Segments, segment)
}

// isolated reports whether the group's pieces go in calls without others, since they may crash endpoints.
func (g *group) isolated() bool { return g.crashes >= isolateAfterCrashes }

// started reports whether any piece of the group is done or in a call.
func (g *group) started() bool { return len(g.waiting) < len(g.Segments) }

// deprioritized reports whether a group goes after those that can be on time.
func (p *Pool) deprioritized(g *group, now time.Time) bool {
	return !g.HoldsSpace && !p.cfg.Disabled.Has(switcher.LateLast) && p.cannotBeOnTime(g, now)
}

func (p *Pool) cannotBeOnTime(g *group, now time.Time) bool {
	latest := g.LatestDue
	if latest.IsZero() {
		latest = g.Due
	}
	return latest.Before(now.Add(p.predictedCallTime(len(g.waiting))))
}

// predictedCallTime estimates the duration of the call that processes the given number of pieces. While other pieces wait,
// they fill up the call; a group started at the last moment for a call with its pieces alone would then be late.
func (p *Pool) predictedCallTime(pieces int) time.Duration {
	return p.cfg.Stage.CallDuration(min(max(pieces, p.waitingPieces), p.cfg.Stage.Batch))
}

// waitsForZone reports whether the group should wait for an endpoint in its preferred zone, given the number of pieces
// queued there ahead of it. The first group of a zone may wait regardless of its size: if calls are small, it fills one by
// itself.
func (p *Pool) waitsForZone(g *group, e *endpoint, queuedAhead int, now time.Time) bool {
	if p.cfg.Disabled.Has(switcher.ZoneWait) || g.PreferredZone == "" || g.PreferredZone == e.Zone || g.CrossZoneBytes < ZoneAffinityBytes {
		return false
	}
	if p.inUseByZone[g.PreferredZone] == 0 {
		return false
	}
	maxQueued := zoneQueueShare * float64(p.inUseByZone[g.PreferredZone]*p.cfg.Stage.Batch)
	if queuedAhead > 0 && float64(queuedAhead+len(g.waiting)) > maxQueued {
		return false
	}
	slack := time.Duration(zoneWaitSlack * float64(p.cfg.Stage.CallDuration(len(g.Segments))))
	return now.Add(slack).Before(g.Due)
}
