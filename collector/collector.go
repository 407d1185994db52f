// Package collector makes calls of many requests' pieces to the endpoints of one stage's service. One entry collects
// for all: a call takes long before its first piece, so calls that each entry fills alone waste most of the pool.
//
// Pieces wait here and not at endpoints, where nothing could be put before them. They are ordered by whether they can
// still be on time, by priority, and by when they are due. The package is pure: events and the present time go in,
// effects come out.
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
	// maxTries is how many calls one piece may be part of.
	maxTries = 4
	// patienceFactor is how much longer than usual a call may take before its pieces are asked for elsewhere. The
	// slowest sound endpoints take 1.6 times as long as the fastest.
	patienceFactor = 2
	// timeoutFactor is how much longer than usual a call may take before its connection is closed.
	timeoutFactor = 6
	// patienceMargin covers the way there and back and the fetching of inputs.
	patienceMargin = 60 * time.Millisecond
	// roomShare is the part of an endpoint's space that is planned for: the sizes of results are approximate, and a
	// piece that finds no space is made a call later than the others of its group.
	roomShare = 0.95
	// roomWait is how long a free endpoint may wait for space for half a call. A call takes long before its first
	// piece: one that is sent with the few pieces that find space costs more of the endpoint than the wait.
	roomWait = 100 * time.Millisecond
	// ZoneAffinityBytes is what must cross zones for a group to wait for an endpoint of its own zone.
	ZoneAffinityBytes = 500_000
	// zoneSlack is how many calls must fit before the results are due for a group to wait for an endpoint of its
	// zone: the wait for the next free one takes half a call at most times, and one is for the call itself.
	zoneSlack = 2.5
	// expireEvery is how often groups are looked for that can't be made while more than backlogGroups wait, a tenth of a
	// call; else it is at each tick. Ordered that often, a backlog takes so much of a collecting entry's processor that its
	// answers come late, and others get the pieces in its place.
	expireEvery   = 30 * time.Millisecond
	backlogGroups = 50
	// overLife is how long after a group was last given up more is still believed to come than can be made: three calls.
	overLife = time.Second
	// zoneCalls is how much of each of a zone's next calls groups may fill that wait for them. What would wait for longer
	// goes to other zones: endpoints there would stand idle beside a queue.
	zoneCalls = 0.5
)

// refusedPauses are how long an endpoint that was full gets no call; the first one is about half of a usual call. Another entry
// may collect for the same endpoints for a while, and two that ask again as fast as they are refused keep each other out.
var refusedPauses = regulator.BackoffBounds{Initial: 80 * time.Millisecond, Max: 640 * time.Millisecond}

// Gate says which calls may go to endpoints that ask for few.
type Gate interface {
	// SoleNextSendTime tells from when on a call may go to an endpoint that no other entry sends to.
	SoleNextSendTime(endpoint string, now time.Time) time.Time
	// Limit gives the calls a second that an endpoint takes, if it has named a limit.
	Limit(endpoint string) (perSecond float64, limited bool)
	// RecordSoleSend notes a call to such an endpoint.
	RecordSoleSend(endpoint string, now time.Time)
}

// Config sets a Pool up.
type Config struct {
	Service string
	Stage   cataloger.StagePool
	Ejector ejector.Config
	// Gate bounds the calls to endpoints that ask for few; nil sends to them as to any other.
	Gate Gate
	// Off are the mechanisms that are switched off.
	Off switcher.Disabled
}

// Pool is the state of one stage service.
type Pool struct {
	cfg       Config
	health    ejector.Pool
	endpoints []*endpoint
	groups    map[GroupID]*group
	calls     map[uint64]*call
	results   map[string]*result
	lastCall  uint64
	// closing is set once this entry stops.
	closing bool
	// evacuated is set while none of the service's endpoints may get new work, by the operator's order.
	evacuated bool
	// waiting is how many pieces were in no call when the present event came.
	waiting int
	// shortAt is when a call was last kept from being full by space.
	shortAt time.Time
	// expiredAt is when groups were last looked for that can't be made.
	expiredAt time.Time
	// overSince is when groups began to be given up since others go before them, overAt when one last was.
	overSince time.Time
	overAt    time.Time
	// turnaround is how long groups that came in time took lately.
	turnaround turnaround
	// late counts the pieces of late groups that calls took lately.
	late pastRate
	// shares are what client accounts have had lately.
	shares shares
	// inZone counts the endpoints in use by zone.
	inZone  map[string]int
	effects []Effect
}

// New makes a pool without endpoints.
func New(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg,
		health:  ejector.NewPool(cfg.Ejector),
		groups:  make(map[GroupID]*group),
		calls:   make(map[uint64]*call),
		results: make(map[string]*result),
	}
}

// SetStage takes what a newer configuration says of the service.
func (p *Pool) SetStage(stage cataloger.StagePool) { p.cfg.Stage = stage }

// Reduce takes an event and gives what is to be done.
func (p *Pool) Reduce(ev Event, now time.Time) []Effect {
	p.effects = nil
	p.waiting = p.WaitingPieces()
	switch e := ev.(type) {
	case GroupArrived:
		p.takeGroup(e.Group, now)
		if p.evacuated {
			p.giveUpAll(Evacuated, everyGroup, now)
		}
	case GroupWithdrawn:
		p.withdraw(func(id GroupID) bool { return id == e.ID })
	case OriginLost:
		p.withdraw(func(id GroupID) bool { return id.Origin == e.Origin })
	case CallEnded:
		p.takeEnd(e, now)
	case ResultsReleased:
		p.free(e.Results)
	case FreeCallEnded:
		p.takeFreed(e.Results)
	case EndpointsChanged:
		p.setEndpoints(e.Endpoints)
		p.evacuated = e.Evacuated
		if p.evacuated {
			p.giveUpAll(Evacuated, everyGroup, now)
		}
	case Stopping:
		p.closing = true
	case Reassigned:
		p.giveUpAll(Moved, notKept, now)
	case Ticked:
		p.tick(now)
	}
	if p.closing {
		p.giveUpAll(Moved, everyGroup, now)
	}
	p.sendCalls(now)
	return p.effects
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

// WaitingPieces is how many pieces are in no call.
func (p *Pool) WaitingPieces() int {
	n := 0
	for _, g := range p.groups {
		n += len(g.waiting)
	}
	return n
}

// PredictedWait predicts how long a piece that comes now, no more urgent than others, would wait for its call to begin.
func (p *Pool) PredictedWait(now time.Time) time.Duration {
	return max(p.queueTime(p.WaitingPieces(), p.capacity()), p.heldUntil(now).Sub(now))
}

// OverloadedFor tells for how long more has come than can be made: groups were given up since others went before them. It is zero
// once none has been for a while.
func (p *Pool) OverloadedFor(now time.Time) time.Duration {
	if p.overAt.IsZero() || now.Sub(p.overAt) >= overLife {
		return 0
	}
	return now.Sub(p.overSince)
}

// Turnaround is how long a group takes from its arrival to its last result, as seen lately; 0 before any was seen.
func (p *Pool) Turnaround() time.Duration { return p.turnaround.mean }

func (p *Pool) setEndpoints(all []registrar.Endpoint) {
	known := make(map[string]*endpoint, len(p.endpoints))
	for _, e := range p.endpoints {
		known[e.ID] = e
	}
	list := make([]*endpoint, 0, len(all))
	for _, e := range all {
		// One that has started again is another endpoint: the space and the calls of its earlier start are gone.
		if old, ok := known[e.ID]; ok && old.SameIncarnation(&e) {
			old.Endpoint = e
			list = append(list, old)
			delete(known, e.ID)
			continue
		}
		p.health.Add()
		list = append(list, &endpoint{Endpoint: e})
	}
	for _, gone := range known {
		p.health.Remove(&gone.health)
		gone.gone = true
	}
	p.endpoints = list
}

// tick ends what has waited too long, and gives back the space of results that have lapsed.
func (p *Pool) tick(now time.Time) {
	for _, c := range p.callsInOrder() {
		if !c.overdue && now.After(c.patience) {
			p.takeOverdue(c, now)
		}
	}
	p.tellRead(now)
	p.expireGroups(now)
	for handle, r := range p.results {
		if now.After(r.expires) {
			r.maker.used -= r.bytes
			delete(p.results, handle)
		}
	}
}

// callsInOrder lists the calls under way in the order in which they were sent, so that the same events give the same effects
// in the same order.
func (p *Pool) callsInOrder() []*call {
	list := make([]*call, 0, len(p.calls))
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		list = append(list, p.calls[id])
	}
	return list
}

// Busy tells whether any piece is wanted.
func (p *Pool) Busy() bool { return len(p.groups) > 0 }
