// Package ejector detects the endpoints of a pool that serve worse than their peers, takes them out of use for a while
// and returns them to use after a probe. It has no clock of its own: callers pass in the current time.
//
// Endpoints are only compared with each other. Each call has a good or a bad outcome: an error, a silence beyond the
// timeout of the stage, or a duration far above the pool's own median is bad. If all endpoints of a pool are slow or
// failing, the cause is not a single endpoint, and ejecting endpoints would only shrink the pool.
package ejector

import "time"

// Defaults of Config.
const (
	defaultMaxEjectedShare = 1.0 / 3
	defaultBaseEjection    = time.Second
	defaultMaxEjection     = 16 * time.Second
)

const (
	// endpointWeight is the weight of the newest outcome in an endpoint's share of bad outcomes. Three bad outcomes in
	// a row exceed ejectThreshold.
	endpointWeight = 0.3
	ejectThreshold = 0.6
	// peerEjectedThreshold applies if peers have already ejected the endpoint. One bad outcome exceeds it.
	peerEjectedThreshold = 0.25
	// poolWeight is the weight of the newest outcome in the pool's share of bad outcomes.
	poolWeight = 0.02
	// minExcessOverPool is how much an endpoint's share of bad outcomes must exceed that of its pool.
	minExcessOverPool = 0.3
	// badShareAfterProbe is the share of bad outcomes of an endpoint after a successful probe. The next two bad
	// outcomes eject it again.
	badShareAfterProbe = 0.3
	// resetEjectionsAfter is how long an endpoint must stay in use before its earlier ejections are disregarded.
	resetEjectionsAfter = time.Minute
	// minEjection is the minimum time out of use.
	minEjection = 50 * time.Millisecond
)

// Config configures a Pool. Zero fields take the defaults above.
type Config struct {
	// MaxEjectedShare is the largest part of a pool that may be ejected at once for serving badly. One endpoint always
	// may be, if the pool has another. A value below 0 disables these ejections. Endpoints that refuse connections are
	// ejected regardless of it.
	MaxEjectedShare float64
	// BaseEjection is the duration of the first ejection. Each further one doubles it, up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// DownEjection is the duration of the first ejection of an endpoint that refused a connection: its process has
	// ended, and most processes that are started at its address are other endpoints. 0 means BaseEjection.
	DownEjection time.Duration
}

// Pool holds the statistics of all endpoints of a pool.
type Pool struct {
	cfg  Config
	size int
	out  int
	// down is the number of ejected or probed endpoints that last refused a connection.
	down         int
	badShare     float64
	relativeTime median
}

// NewPool returns a pool without endpoints.
func NewPool(cfg Config) Pool {
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = defaultMaxEjectedShare
	}
	if cfg.BaseEjection == 0 {
		cfg.BaseEjection = defaultBaseEjection
	}
	if cfg.MaxEjection == 0 {
		cfg.MaxEjection = defaultMaxEjection
	}
	if cfg.DownEjection == 0 {
		cfg.DownEjection = cfg.BaseEjection
	}
	return Pool{cfg: cfg}
}

// State is the availability of an endpoint for calls.
type State uint8

// The states of an endpoint.
const (
	// InUse means that the endpoint gets calls normally.
	InUse State = iota
	// Ejected means that the endpoint gets no calls.
	Ejected
	// Probing means that the endpoint gets one call at a time, whose outcome decides on its next state.
	Probing
)

// Record holds the statistics of one endpoint. Its zero value is an endpoint in use without history.
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

// State returns the endpoint's state as of the last call of StartDueProbe.
func (r *Record) State() State { return r.state }

// Until returns the time at which the ejection ends.
func (r *Record) Until() time.Time { return r.ejectedUntil }

// Down reports whether the endpoint is ejected or on probe because it refused a connection.
func (r *Record) Down() bool { return r.down }

// Add counts a new endpoint in the pool.
func (p *Pool) Add() { p.size++ }

// Remove removes an endpoint from the pool and resets its record.
func (p *Pool) Remove(r *Record) {
	p.size--
	if r.state != InUse {
		p.out--
	}
	p.setDown(r, false)
	*r = Record{}
}

// OutCount returns the number of endpoints that are ejected or on probe.
func (p *Pool) OutCount() int { return p.out }

// StartDueProbe moves an endpoint whose ejection has ended to Probing, and reports whether it did.
func (p *Pool) StartDueProbe(r *Record, now time.Time) bool {
	if r.state != Ejected || now.Before(r.ejectedUntil) {
		return false
	}
	r.state = Probing
	return true
}

// ProbeEarly ends an ejection early with a probe, because no other endpoint is left. It does nothing within
// minEjection: a pool that refuses all connections would otherwise be retried as fast as it refuses.
func (p *Pool) ProbeEarly(r *Record, now time.Time) {
	if r.state == Ejected && now.Sub(r.ejectedAt) >= minEjection {
		r.state = Probing
	}
}

// RecordAlive records a sign of life from the endpoint itself. An endpoint that refused connections is probed at once
// instead of after its ejection. RecordAlive reports whether this is the case.
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

// Outcome is the outcome of a call, as far as it indicates the health of the endpoint.
type Outcome uint8

// The outcomes of calls.
const (
	Good Outcome = iota
	Bad
	// Down is a refused connection. Nothing serves at the address, so one is enough to eject the endpoint.
	Down
)

// RecordOutcome records the outcome of a call and reports whether it changes the endpoint's state. peerEjected states
// that a peer has ejected the endpoint.
func (p *Pool) RecordOutcome(r *Record, outcome Outcome, peerEjected bool, now time.Time) bool {
	badness := 1.0
	if outcome == Good {
		badness = 0
	}
	p.badShare += poolWeight * (badness - p.badShare)
	r.badShare += endpointWeight * (badness - r.badShare)
	if outcome == Down {
		r.badShare = max(r.badShare, ejectThreshold)
	}
	switch r.state {
	case Probing:
		return p.endProbe(r, outcome, now)
	case Ejected:
		return false
	}
	threshold := ejectThreshold
	if peerEjected {
		threshold = peerEjectedThreshold
	}
	if outcome != Down && (r.badShare < threshold || r.badShare < p.badShare+minExcessOverPool || !p.canEject()) {
		return false
	}
	p.setDown(r, outcome == Down)
	p.out++
	p.eject(r, now)
	return true
}

// canEject limits how many endpoints are ejected for serving badly, since ejecting most of a pool would replace slow
// answers by none. An endpoint that refuses connections gives no answers at all, so its ejection is not limited.
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
	first := p.cfg.BaseEjection
	if r.down {
		first = p.cfg.DownEjection
	}
	length := first << min(r.ejections, 16)
	r.ejectedAt = now
	r.ejectedUntil = now.Add(min(length, p.cfg.MaxEjection))
	r.ejections++
	r.state = Ejected
}

func (p *Pool) endProbe(r *Record, outcome Outcome, now time.Time) bool {
	p.setDown(r, outcome == Down)
	if outcome != Good {
		p.eject(r, now)
		return true
	}
	r.state = InUse
	r.badShare = badShareAfterProbe
	r.setSlowdown(0)
	p.out--
	return true
}
