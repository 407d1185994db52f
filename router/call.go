package router

import (
	"time"

	"geraniumline/ejector"
)

// Result tells how a call to an endpoint ended.
type Result uint8

// The ways in which a call ends.
const (
	Succeeded Result = iota
	Failed
	// Unreachable means that nothing took the connection.
	Unreachable
	Cancelled
	RefusedBusy
	RefusedLeaving
)

// CallEnd is a call's end.
type CallEnd struct {
	Result Result
	// Duration is the call's time, Expected the usual time of its stage; both are used when it succeeded.
	Duration time.Duration
	Expected time.Duration
}

// CallStarted counts a call as in flight.
func (r *Router) CallStarted(address string, prefix *Prefix, now time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	e.settle(now)
	e.inFlight++
	e.pool.calls++
	e.past.note(e.calls(), now)
	r.refresh(e)
	if prefix != nil {
		r.predict(e, prefix)
	}
}

// CallEnded takes a call's end, and tells whether the endpoint was ejected by it.
func (r *Router) CallEnded(address string, end CallEnd, now time.Time) bool {
	e, known := r.endpoints[address]
	if !known {
		return false
	}
	e.settle(now)
	if e.inFlight > 0 {
		e.inFlight--
		e.pool.calls--
	}
	e.past.note(e.calls(), now)
	ejected := r.judge(e, end, now)
	r.refresh(e)
	return ejected
}

func (r *Router) judge(e *endpoint, end CallEnd, now time.Time) bool {
	doubted := e.peerEjected > 0
	var verdict ejector.Outcome
	switch end.Result {
	case Succeeded:
		e.succeeded = now
		e.pool.observe(end.Duration)
		verdict = e.pool.health.RecordDuration(&e.health, end.Duration, end.Expected)
	case Failed:
		verdict = ejector.Bad
	case Unreachable:
		verdict = ejector.Down
	case RefusedLeaving:
		e.selfLeaving = true
		e.selfLeavingAt = now
		return false
	default:
		return false
	}
	changed := e.pool.health.RecordOutcome(&e.health, verdict, doubted, now)
	return changed && e.health.State() == ejector.Ejected
}

// callTimeWeight is the weight of the newest call in the mean time of a pool's calls.
const callTimeWeight = 0.02

func (p *pool) observe(took time.Duration) {
	if p.callTime == 0 {
		p.callTime = float64(took)
	}
	p.callTime += callTimeWeight * (float64(took) - p.callTime)
}

// CallOverdue notes that a call is silent for longer than the pool's patience, and tells whether its
// endpoint was ejected by it. Waiting for the call's end would give an endpoint that takes calls and
// never answers all the time until the first deadline.
func (r *Router) CallOverdue(address string, now time.Time) bool {
	e, known := r.endpoints[address]
	if !known {
		return false
	}
	changed := e.pool.health.RecordOutcome(&e.health, ejector.Bad, e.peerEjected > 0, now)
	r.refresh(e)
	return changed && e.health.State() == ejector.Ejected
}
