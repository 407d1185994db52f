// Package ejector finds the endpoints of a pool that serve worse than their peers, takes them out of
// use for a while and lets them back after a probe. It is pure: the present time is given to it.
//
// An endpoint is judged by comparison only. Each call's end is good or bad: bad is an error, a silence
// past the patience of the stage, or a time far over the pool's own median. A pool whose endpoints are
// all slow or all failing has another cause than one endpoint, and ejecting would only make it smaller.
package ejector

import "time"

// Defaults of Config.
const (
	defaultMaxShare    = 1.0 / 3
	defaultEjection    = time.Second
	defaultMaxEjection = 16 * time.Second
)

const (
	// recordWeight is the weight of the newest end in an endpoint's share of bad ends: three bad
	// ends in a row pass ejectAt.
	endpointWeight = 0.3
	ejectThreshold = 0.6
	// ejectDoubtedAt is the bound when peers have ejected the endpoint already: one bad end passes it.
	peerEjectedThreshold = 0.25
	// poolWeight is the weight of the newest end in the pool's share of bad ends.
	poolWeight = 0.02
	// worseBy is how much worse than its pool an endpoint must be.
	minExcessOverPool = 0.3
	// afterProbe is the share of bad ends that an endpoint begins with after a good probe: the next
	// two bad ends eject it again.
	badShareAfterProbe = 0.3
	// forgiveAfter is how long an endpoint must stay in use for its earlier ejections to be forgotten.
	resetEjectionsAfter = time.Minute
	// restoreAfter is the least time out of use.
	minEjection = 50 * time.Millisecond
)

// Config sets a Pool up. Zero fields take the defaults above.
type Config struct {
	// MaxEjectedShare is the greatest part of a pool that may be out of use at once for serving badly; one
	// endpoint always may, if the pool has another; below 0 none may. Endpoints that refuse connections
	// are out besides.
	MaxEjectedShare float64
	// BaseEjection is how long the first ejection lasts; each further one doubles it, up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
}

// Pool is what is known of a pool as a whole.
type Pool struct {
	cfg  Config
	size int
	out  int
	// down is how many of those out of use refused a connection last.
	down         int
	badShare     float64
	relativeTime median
}

// NewPool makes a pool without endpoints.
func NewPool(cfg Config) Pool {
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = defaultMaxShare
	}
	if cfg.BaseEjection == 0 {
		cfg.BaseEjection = defaultEjection
	}
	if cfg.MaxEjection == 0 {
		cfg.MaxEjection = defaultMaxEjection
	}
	return Pool{cfg: cfg}
}

// State tells whether an endpoint is in use.
type State uint8

// The states of an endpoint.
const (
	// InUse is an endpoint like any other.
	InUse State = iota
	// Ejected gets no calls.
	Ejected
	// Probing gets one call at a time, whose end decides.
	Probing
)

// Record is what is known of one endpoint. Its zero value is an endpoint in use with no past.
type Record struct {
	state        State
	badShare     float64
	slowdown     float64
	excess       float64
	ejectedAt    time.Time
	ejectedUntil time.Time
	ejections    int
	down         bool
}

// State is the endpoint's state as of the last call of Advance.
func (r *Record) State() State { return r.state }

// Until is when an ejection ends.
func (r *Record) Until() time.Time { return r.ejectedUntil }

// Add counts a new endpoint of the pool.
func (p *Pool) Add() { p.size++ }

// Remove forgets an endpoint of the pool.
func (p *Pool) Remove(r *Record) {
	p.size--
	if r.state != InUse {
		p.out--
	}
	p.setDown(r, false)
	*r = Record{}
}

// OutCount is how many endpoints are ejected or on probe.
func (p *Pool) OutCount() int { return p.out }

// StartDueProbe lets an ejection end in a probe when its time has come, and tells whether it did.
func (p *Pool) StartDueProbe(r *Record, now time.Time) bool {
	if r.state != Ejected || now.Before(r.ejectedUntil) {
		return false
	}
	r.state = Probing
	return true
}

// ProbeEarly lets an ejection end in a probe early, since no other endpoint is left. It is not ended at
// once: a pool that refuses all connections would be tried as fast as it refuses.
func (p *Pool) ProbeEarly(r *Record, now time.Time) {
	if r.state == Ejected && now.Sub(r.ejectedAt) >= minEjection {
		r.state = Probing
	}
}

// RecordAlive notes a sign of life from the endpoint itself. One that refused connections is probed at once after it,
// and not only when its ejection ends, and tells whether it is.
func (p *Pool) RecordAlive(r *Record) bool {
	if r.state != Ejected || !r.down {
		return false
	}
	r.state = Probing
	return true
}

func (p *Pool) setDown(r *Record, down bool) {
	if r.down == down {
		return
	}
	r.down = down
	if down {
		p.down++
		return
	}
	p.down--
}

// Outcome is how a call ended, as far as it tells something of the endpoint.
type Outcome uint8

// The ends of calls.
const (
	Good Outcome = iota
	Bad
	// Down is a refused connection: nothing serves at the address, so one is enough.
	Down
)

// RecordOutcome takes a call's end and tells whether the endpoint's state has changed by it.
// doubted tells that a peer has ejected the endpoint.
func (p *Pool) RecordOutcome(r *Record, end Outcome, doubted bool, now time.Time) bool {
	badness := 1.0
	if end == Good {
		badness = 0
	}
	p.badShare += poolWeight * (badness - p.badShare)
	r.badShare += endpointWeight * (badness - r.badShare)
	if end == Down {
		r.badShare = max(r.badShare, ejectThreshold)
	}
	switch r.state {
	case Probing:
		return p.endProbe(r, end, now)
	case Ejected:
		return false
	}
	bound := ejectThreshold
	if doubted {
		bound = peerEjectedThreshold
	}
	if end != Down && (r.badShare < bound || r.badShare < p.badShare+minExcessOverPool || !p.canEject()) {
		return false
	}
	p.setDown(r, end == Down)
	p.out++
	p.eject(r, now)
	return true
}

// mayEject bounds what is out of use for serving badly: ejecting most of a pool would turn slow answers
// into none. An endpoint that refuses connections gives no answers at all, so its ejection has no bound.
func (p *Pool) canEject() bool {
	up := p.size - p.down
	if p.cfg.MaxEjectedShare < 0 {
		return false
	}
	return p.out-p.down+1 <= max(1, int(p.cfg.MaxEjectedShare*float64(up))) && up > 1
}

func (p *Pool) eject(r *Record, now time.Time) {
	if now.Sub(r.ejectedUntil) > resetEjectionsAfter {
		r.ejections = 0
	}
	length := p.cfg.BaseEjection << min(r.ejections, 16)
	r.ejectedAt = now
	r.ejectedUntil = now.Add(min(length, p.cfg.MaxEjection))
	r.ejections++
	r.state = Ejected
}

func (p *Pool) endProbe(r *Record, end Outcome, now time.Time) bool {
	p.setDown(r, end == Down)
	if end != Good {
		p.eject(r, now)
		return true
	}
	r.state = InUse
	r.badShare = badShareAfterProbe
	r.setSlowdown(0)
	p.out--
	return true
}
