// Package collector batches the pieces of many requests into calls to the endpoints of one stage service. One entry
// collects for all entries: a call has a high fixed cost, so partly filled calls from each entry would waste most of
// the pool's capacity.
//
// Pieces are queued here and not at endpoints, where more urgent pieces could not overtake them. They are ordered by
// whether they can still be on time, by priority, and by due time. The package is pure: it receives events and the
// current time, and returns effects.
package collector

import (
	"maps"
	"slices"
	"time"

	"geraniumline/cataloger"
	"geraniumline/ejector"
	"geraniumline/registrar"
	"geraniumline/regulator"
	"geraniumline/switcher"
)

const (
	// maxTries is the maximum number of calls that include the same piece.
	maxTries = 4
	// isolateAfterCrashes is the number of calls that crashed their endpoints after which a group's pieces go without others.
	// Endpoints also crash by chance, and each further call costs its overhead.
	isolateAfterCrashes = 2
	// overdueFactor is the multiple of a call's expected duration after which its pieces are queued for another
	// endpoint. The slowest healthy endpoints take 1.6 times as long as the fastest.
	overdueFactor = 2
	// timeoutFactor is the multiple of a call's expected duration after which its connection is closed.
	timeoutFactor = 6
	// overdueMargin covers the network round trip and the fetching of inputs.
	overdueMargin = 60 * time.Millisecond
	// usableSpaceShare is the share of an endpoint's result space that calls may fill: result sizes are approximate,
	// and a piece that finds no space is processed one call later than the rest of its group.
	usableSpaceShare = 0.95
	// maxSpaceWait limits how long an idle endpoint waits for space for half a call. Because of a call's fixed cost, a
	// call with only the few pieces that fit would cost more of the endpoint's time than the wait.
	maxSpaceWait = 100 * time.Millisecond
	// ZoneAffinityBytes is the minimum number of bytes that would cross zones for a group to wait for an endpoint in
	// its preferred zone.
	ZoneAffinityBytes = 500_000
	// zoneWaitSlack is the number of calls that must fit before a group's due time for it to wait for an endpoint in
	// its preferred zone. Waiting for the next free endpoint usually takes half a call, and the call itself takes one.
	zoneWaitSlack = 2.5
	// expiryInterval is the minimum time between checks for groups that cannot be processed in time while there are more
	// than backlogThreshold groups: a tenth of a call. Smaller queues are checked at every tick. Sorting a backlog that
	// often takes so much CPU time that the collecting entry answers late, and its peers send the pieces to other entries.
	expiryInterval   = 30 * time.Millisecond
	backlogThreshold = 50
	// overloadExpiry is how long the pool counts as overloaded after a group last failed with Overload: three calls.
	overloadExpiry = time.Second
	// zoneQueueShare is the share of a zone's next calls that groups waiting for that zone may fill. Further groups go to
	// other zones, whose endpoints would otherwise be idle while pieces are queued.
	zoneQueueShare = 0.5
)

// refusalBackoff sets the pauses after an endpoint refused a call because it was full; the first is about half of a usual
// call. Two entries may collect for the same endpoints for a while. If both retried at once after each refusal, they would
// keep each other out.
var refusalBackoff = regulator.BackoffBounds{Initial: 80 * time.Millisecond, Max: 640 * time.Millisecond}

// Gate limits calls to endpoints that have requested a pause or a lower rate.
type Gate interface {
	// SoleNextSendTime returns the earliest time for the next call to an endpoint that only this entry sends calls to.
	SoleNextSendTime(endpoint string, now time.Time) time.Time
	// Limit returns the rate limit that an endpoint has requested, in calls per second, if any.
	Limit(endpoint string) (perSecond float64, limited bool)
	// RecordSoleSend records a call to an endpoint that only this entry sends calls to.
	RecordSoleSend(endpoint string, now time.Time)
}

// Config configures a Pool.
type Config struct {
	Service string
	Stage   cataloger.StagePool
	Ejector ejector.Config
	// Gate limits calls to endpoints that have requested it. If it is nil, such requests are ignored.
	Gate Gate
	// Disabled holds the policy mechanisms that are switched off.
	Disabled switcher.Disabled
}

// Pool queues the pieces of one stage service and assigns them to calls.
type Pool struct {
	cfg        Config
	health     ejector.Pool
	endpoints  []*endpoint
	groups     map[GroupID]*group
	calls      map[uint64]*call
	results    map[string]*result
	lastCallID uint64
	// stopping is set once this entry begins to shut down.
	stopping bool
	// evacuated is set while an operator's evacuation keeps all of the service's endpoints from new work.
	evacuated bool
	// waitingPieces is the number of pieces in no call when the current event arrived.
	waitingPieces int
	// lastSpaceShortage is when a call could last not be filled for lack of result space.
	lastSpaceShortage time.Time
	// lastExpiryCheck is when the pool last looked for groups that cannot be processed in time.
	lastExpiryCheck time.Time
	// overloadSince is when groups began to fail with Overload, lastOverload when one last did.
	overloadSince time.Time
	lastOverload  time.Time
	// turnaround is the recent mean time from arrival to last result of groups that did not arrive late.
	turnaround turnaround
	// classes holds the recent use by priority.
	classes classes
	// lateRate is the recent rate at which pieces of late groups were added to calls.
	lateRate recentRate
	// shares holds the recent usage of each client account.
	shares shares
	// inUseByZone is the number of endpoints in use in each zone.
	inUseByZone map[string]int
	effects     []Effect
}

// New returns a pool without endpoints.
func New(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg,
		health:  ejector.NewPool(cfg.Ejector),
		groups:  make(map[GroupID]*group),
		calls:   make(map[uint64]*call),
		results: make(map[string]*result),
	}
}

// SetStage applies the service's settings from a newer configuration.
func (p *Pool) SetStage(stage cataloger.StagePool) { p.cfg.Stage = stage }

// Reduce applies an event and returns the effects to perform.
func (p *Pool) Reduce(ev Event, now time.Time) []Effect {
	p.effects = nil
	p.waitingPieces = p.WaitingPieces()
	switch e := ev.(type) {
	case GroupArrived:
		p.addGroup(e.Group, now)
		if p.evacuated {
			p.failWaitingIf(Evacuated, everyGroup, now)
		}
	case GroupWithdrawn:
		p.withdraw(func(id GroupID) bool { return id == e.ID })
	case OriginLost:
		p.withdraw(func(id GroupID) bool { return id.Origin == e.Origin })
	case CallEnded:
		p.handleCallEnd(e, now)
	case ResultsReleased:
		p.freeResults(e.Results)
	case FreeCallEnded:
		p.reclaimSpace(e.Results)
	case EndpointsChanged:
		p.setEndpoints(e.Endpoints)
		p.evacuated = e.Evacuated
		if p.evacuated {
			p.failWaitingIf(Evacuated, everyGroup, now)
		}
	case Stopping:
		p.stopping = true
	case Reassigned:
		p.failWaitingIf(Moved, notPinned, now)
	case Ticked:
		p.tick(now)
	}
	if p.stopping {
		p.failWaitingIf(Moved, everyGroup, now)
	}
	p.sendCalls(now)
	return p.effects
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

// WaitingPieces returns the number of pieces that are in no call.
func (p *Pool) WaitingPieces() int {
	n := 0
	for _, g := range p.groups {
		n += len(g.waiting)
	}
	return n
}

// PredictedWait estimates how long a piece that arrives now, no more urgent than others, would wait for its call to begin.
func (p *Pool) PredictedWait(now time.Time) time.Duration {
	return p.waitBehind(p.WaitingPieces(), now)
}

// waitBehind estimates how long a piece that arrives now would wait behind the given number of pieces.
func (p *Pool) waitBehind(pieces int, now time.Time) time.Duration {
	return max(p.queueTime(pieces, p.capacity()), p.throttledUntil(now).Sub(now))
}

// OverloadedFor returns how long groups have been failing because others go before them. It returns zero once none has
// failed for overloadExpiry.
func (p *Pool) OverloadedFor(now time.Time) time.Duration {
	if p.lastOverload.IsZero() || now.Sub(p.lastOverload) >= overloadExpiry {
		return 0
	}
	return now.Sub(p.overloadSince)
}

// Turnaround returns the recent mean time from a group's arrival to its last result, or 0 before the first group is done.
func (p *Pool) Turnaround() time.Duration { return p.turnaround.mean }

func (p *Pool) setEndpoints(all []registrar.Endpoint) {
	known := make(map[string]*endpoint, len(p.endpoints))
	for _, e := range p.endpoints {
		known[e.ID] = e
	}
	list := make([]*endpoint, 0, len(all))
	for _, e := range all {
		// A restarted endpoint is treated as a new one: the results and calls of its previous process are lost.
		if old, ok := known[e.ID]; ok && old.SameIncarnation(&e) {
			old.Endpoint = e
			list = append(list, old)
			delete(known, e.ID)
			continue
		}
		p.health.Add()
		list = append(list, &endpoint{Endpoint: e})
	}
	for _, e := range known {
		p.health.Remove(&e.health)
		e.removed = true
	}
	p.endpoints = list
}

// tick requeues the pieces of overdue calls, fails groups that cannot be processed in time, and reclaims the space of
// expired results.
func (p *Pool) tick(now time.Time) {
	for _, c := range p.callsInOrder() {
		if !c.overdue && now.After(c.overdueAt) {
			p.requeueOverdue(c, now)
		}
	}
	p.reportFetched(now)
	p.expireGroups(now)
	for handle, r := range p.results {
		if now.After(r.expires) {
			r.producer.usedBytes -= r.bytes
			delete(p.results, handle)
		}
	}
}

// callsInOrder returns the calls in progress in the order in which they were sent, so that the same events always produce
// the same effects in the same order.
func (p *Pool) callsInOrder() []*call {
	list := make([]*call, 0, len(p.calls))
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		list = append(list, p.calls[id])
	}
	return list
}

// Busy reports whether the pool has any groups.
func (p *Pool) Busy() bool { return len(p.groups) > 0 }
