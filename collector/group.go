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

// group is a Group with how far its pieces are.
type group struct {
	Group
	// waiting are the segments in no call.
	waiting []int
	// made are the segments whose result was delivered.
	made map[int]bool
	// read are the segments whose inputs an endpoint has fetched, readTold is set once that was told of all.
	read     map[int]bool
	readTold bool
	// tries counts the calls of each segment.
	tries   map[int]int
	arrived time.Time
	// cameLate is set for groups that yielded to others from the start.
	cameLate bool
}

func (p *Pool) takeGroup(g Group, now time.Time) {
	if _, known := p.groups[g.ID]; known {
		// The entry sends it again since it missed the answer to the first time.
		return
	}
	taken := &group{
		Group:   g,
		waiting: slices.Clone(g.Segments),
		made:    make(map[int]bool, len(g.Segments)),
		read:    make(map[int]bool, len(g.Segments)),
		tries:   make(map[int]int, len(g.Segments)),
		arrived: now,
	}
	taken.cameLate = p.yields(taken, now)
	p.groups[g.ID] = taken
}

func (p *Pool) withdraw(matches func(GroupID) bool) {
	for id := range p.groups {
		if matches(id) {
			delete(p.groups, id)
		}
	}
}

// deliver hands over a piece's result and drops the group with its last one.
func (p *Pool) deliver(g *group, segment int, r PieceResult, maker *endpoint) {
	g.made[segment] = true
	d := Deliver{ID: g.ID, Segment: segment, Result: r}
	if maker != nil {
		d.Address = maker.Address
		d.Zone = maker.Zone
	}
	p.emit(d)
	if len(g.made) == len(g.Segments) {
		delete(p.groups, g.ID)
	}
}

// requeue lets a piece wait again after a call that did not make it. The last reason is told when its tries are used
// up.
func (p *Pool) requeue(g *group, segment int, why Reason) {
	if !g.wants(segment) || slices.Contains(g.waiting, segment) {
		return
	}
	if g.tries[segment] >= maxTries {
		p.deliver(g, segment, PieceResult{Reason: why}, nil)
		return
	}
	g.waiting = append(g.waiting, segment)
}

// expireGroups tells the pieces that can't be made before their deadline: too little time is left for a call, or what
// goes before them takes longer even in full calls. Held until then they would only keep the caller from coming back.
func (p *Pool) expireGroups(now time.Time) {
	if len(p.groups) > backlogGroups && now.Sub(p.expiredAt) < expireEvery {
		return
	}
	p.expiredAt = now
	capacity, held := p.capacity(), p.heldUntil(now)
	before, late := 0, 0
	for _, g := range p.ordered(now) {
		n := len(g.waiting)
		before += n
		call := p.cfg.Stage.CallDuration(min(n, p.cfg.Stage.Batch))
		switch {
		case g.Deadline.Before(now.Add(p.cfg.Stage.CallDuration(1))):
			p.giveUp(g, Late)
			before -= n
		case held.After(now) && g.Deadline.Before(held.Add(p.cfg.Stage.CallDuration(1))):
			p.giveUp(g, Throttled)
			before -= n
		case !g.started() && capacity > 0 && g.Deadline.Before(now.Add(p.queueTime(before-n, capacity)+call)):
			p.giveUpOver(g, now)
			before -= n
		case p.yields(g, now):
			late += n
			if p.hopeless(g, late, now) {
				p.giveUpOver(g, now)
				before -= n
				late -= n
			}
		}
	}
}

// hopeless tells whether a late group will most likely not be made: half of its time is over, and at the rate at which
// late groups were made lately its turn comes after its deadline. Its caller can still come back in the other half.
func (p *Pool) hopeless(g *group, late int, now time.Time) bool {
	if p.cfg.Off.Has(switcher.LateGivenUp) || g.started() || now.Sub(g.arrived) < g.Deadline.Sub(now) {
		return false
	}
	rate := p.late.perSecond(now)
	return float64(late) > rate*g.Deadline.Sub(now).Seconds()
}

// giveUpAll hands the pieces that are in no call back to their entries. Where this entry stops or another one collects, they
// ask that one: held here, they would keep this entry from stopping, or be lost with it. Where no endpoint may get work,
// their callers are told so at once and not at their deadline.
func (p *Pool) giveUpAll(why Reason, which func(*group) bool, now time.Time) {
	for _, g := range p.ordered(now) {
		if which(g) {
			p.giveUp(g, why)
		}
	}
}

func everyGroup(*group) bool { return true }

func notKept(g *group) bool { return !g.Pinned }

// giveUpOver tells that a group's waiting pieces are not made since others go before them.
func (p *Pool) giveUpOver(g *group, now time.Time) {
	if p.OverloadedFor(now) == 0 {
		p.overSince = now
	}
	p.overAt = now
	p.giveUp(g, Overload)
}

// giveUp tells that a group's waiting pieces are not made.
func (p *Pool) giveUp(g *group, why Reason) {
	waiting := g.waiting
	g.waiting = nil
	for _, segment := range waiting {
		p.deliver(g, segment, PieceResult{Reason: why}, nil)
	}
}

// queueTime is the least time in which so many pieces are made by endpoints of a capacity.
func (p *Pool) queueTime(pieces int, capacity float64) time.Duration {
	if capacity <= 0 {
		capacity = 1
	}
	calls := pieces / p.cfg.Stage.Batch
	rounds := math.Floor(float64(calls) / (capacity * float64(p.cfg.Stage.Slots)))
	return time.Duration(rounds) * p.cfg.Stage.CallDuration(p.cfg.Stage.Batch)
}

// capacity is how many endpoints are in use. One that has named a limit counts for the part of its time that its calls take.
func (p *Pool) capacity() float64 {
	n := 0.0
	for _, e := range p.endpoints {
		if e.health.State() == ejector.InUse {
			n += p.busyShare(e)
		}
	}
	return n
}

func (p *Pool) busyShare(e *endpoint) float64 {
	if p.cfg.Gate == nil {
		return 1
	}
	perSecond, limited := p.cfg.Gate.Limit(e.ID)
	if !limited {
		return 1
	}
	return min(1, perSecond*p.cfg.Stage.CallDuration(p.cfg.Stage.Batch).Seconds()/float64(p.cfg.Stage.Slots))
}

// heldUntil is when the first of the endpoints in use takes a call again, by what they have asked for; zero where one takes
// calls now or none is in use.
func (p *Pool) heldUntil(now time.Time) time.Time {
	if p.cfg.Gate == nil {
		return time.Time{}
	}
	var first time.Time
	for _, e := range p.endpoints {
		if e.health.State() != ejector.InUse {
			continue
		}
		at := p.cfg.Gate.SoleNextSendTime(e.ID, now)
		if !at.After(now) {
			return time.Time{}
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// ordered lists the groups that wait, first what should be made first.
//
// Groups that can no longer be on time go last: under a surge, work in the order of arrival or of due times alone makes
// every answer late, since each call then serves what is just too late already. Groups that hold much of their makers'
// space are never put last: the makers would have no room for new results, stand idle, and the held results would
// lapse before they are used. Groups of which a part is made go first for the same reason: a pool whose space is full
// of parts of many groups finishes none of them. Accounts that had more than their fair share lately yield by a part of
// an objective.
func (p *Pool) ordered(now time.Time) []*group {
	places := make([]place, 0, len(p.groups))
	var delays map[string]time.Duration
	if !p.cfg.Off.Has(switcher.FairShare) {
		delays = p.shares.delays(now)
	}
	for _, g := range p.groups {
		if len(g.waiting) > 0 {
			places = append(places, p.placeOf(g, delays[g.Account], now))
		}
	}
	slices.SortFunc(places, place.compare)
	list := make([]*group, len(places))
	for i := range places {
		list[i] = places[i].group
	}
	return list
}

// place is what a group is ordered by. It is worked out once for each and not in each comparison: a loaded collecting entry
// orders a backlog of hundreds of groups dozens of times a second.
type place struct {
	group *group
	// rank puts groups of which a part is made before others, and among each those that yield behind those that don't.
	rank int
	// due is in nanoseconds, which compare faster than times.
	due int64
}

func (p *Pool) placeOf(g *group, delay time.Duration, now time.Time) place {
	rank := 0
	if !g.started() && !p.cfg.Off.Has(switcher.StartedFirst) {
		rank = ranksOfStarted
	}
	if p.yields(g, now) {
		rank++
	}
	return place{group: g, rank: rank, due: p.turn(g, now).Add(delay).UnixNano()}
}

// ranksOfStarted is how many ranks groups have of which a part is made: on time, and late.
const ranksOfStarted = 2

func (a place) compare(b place) int {
	switch {
	case a.rank != b.rank:
		return a.rank - b.rank
	case a.group.Priority != b.group.Priority:
		return a.group.Priority - b.group.Priority
	case a.due != b.due:
		return cmp.Compare(a.due, b.due)
	default:
		return strings.Compare(a.group.ID.Request, b.group.ID.Request)
	}
}

// turn is when a group is due among those of its rank. A late group that holds space is not put last, but lets others pass
// for half of the time that its inputs live: put first, as the oldest of all, the late ones make those late too that could
// still be on time.
func (p *Pool) turn(g *group, now time.Time) time.Time {
	patient := g.arrived.Add(p.cfg.Stage.ResultTTL / 2)
	if !p.cfg.Off.Has(switcher.LatePatience) && p.cannotBeInTime(g, now) && patient.After(g.Due) {
		return patient
	}
	return g.Due
}

// wants tells whether a piece is still to be made. A call that was sent for an earlier ask of the same request may bring
// pieces that this one does not ask for.
func (g *group) wants(segment int) bool {
	return !g.made[segment] && slices.Contains(g.Segments, segment)
}

// started tells whether a part of the group is made or in a call.
func (g *group) started() bool { return len(g.waiting) < len(g.Segments) }

// yields tells whether a group goes behind those that can be on time.
func (p *Pool) yields(g *group, now time.Time) bool {
	return !g.HoldsSpace && !p.cfg.Off.Has(switcher.LateLast) && p.cannotBeInTime(g, now)
}

func (p *Pool) cannotBeInTime(g *group, now time.Time) bool {
	latest := g.LatestDue
	if latest.IsZero() {
		latest = g.Due
	}
	return latest.Before(now.Add(p.callTime(len(g.waiting))))
}

// callTime predicts the call that takes so many pieces: while others wait too, calls are filled up with theirs. Taken for
// as short as the pieces alone would make it, a group that is begun at its last moment is late by the rest of the call.
func (p *Pool) callTime(pieces int) time.Duration {
	return p.cfg.Stage.CallDuration(min(max(pieces, p.waiting), p.cfg.Stage.Batch))
}

// waitsForZone tells whether the group should wait for an endpoint of its own zone, where so many pieces go before its own.
// The first group of a zone may wait whatever its size: where calls are small, it fills one by itself.
func (p *Pool) waitsForZone(g *group, e *endpoint, before int, now time.Time) bool {
	if p.cfg.Off.Has(switcher.ZoneWait) || g.PreferredZone == "" || g.PreferredZone == e.Zone || g.CrossZoneBytes < ZoneAffinityBytes {
		return false
	}
	if p.inZone[g.PreferredZone] == 0 {
		return false
	}
	next := zoneCalls * float64(p.inZone[g.PreferredZone]*p.cfg.Stage.Batch)
	if before > 0 && float64(before+len(g.waiting)) > next {
		return false
	}
	slack := time.Duration(zoneSlack * float64(p.cfg.Stage.CallDuration(len(g.Segments))))
	return now.Add(slack).Before(g.Due)
}
