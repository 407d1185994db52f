package router

import (
	"time"

	"geraniumline/ejector"
)

// Result is the outcome of a call to an endpoint.
type Result uint8

// The possible outcomes of a call.
const (
	Succeeded Result = iota
	Failed
	// Unreachable means that the connection to the endpoint was refused.
	Unreachable
	Cancelled
	RefusedBusy
	RefusedLeaving
)

// CallEnd describes a finished call.
type CallEnd struct {
	Result Result
	// Duration is how long the call took and Expected how long its stage usually takes. Both are
	// used only if the call succeeded.
	Duration time.Duration
	Expected time.Duration
}

// CallStarted counts a new call to the endpoint as in flight. prefix may be nil.
func (r *Router) CallStarted(address string, prefix *Prefix, now time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	e.smoothPeerCalls(now)
	e.inFlight++
	e.pool.calls++
	e.history.record(e.calls(), now)
	r.refresh(e)
	if prefix != nil {
		r.predictCache(e, prefix)
	}
}

// CallEnded records the end of a call. It reports whether this ejected the endpoint.
func (r *Router) CallEnded(address string, end CallEnd, now time.Time) bool {
	e, known := r.endpoints[address]
	if !known {
		return false
	}
	e.smoothPeerCalls(now)
	if e.inFlight > 0 {
		e.inFlight--
		e.pool.calls--
	}
	e.history.record(e.calls(), now)
	ejected := r.recordHealth(e, end, now)
	r.refresh(e)
	return ejected
}

func (r *Router) recordHealth(e *endpoint, end CallEnd, now time.Time) bool {
	ejectedByPeer := e.peerEjected > 0
	var healthEnd ejector.Outcome
	switch end.Result {
	case Succeeded:
		e.succeededAt = now
		e.pool.observeCallTime(end.Duration)
		healthEnd = e.pool.health.RecordDuration(&e.health, end.Duration, end.Expected)
	case Failed:
		healthEnd = ejector.Bad
	case Unreachable:
		healthEnd = ejector.Down
	case RefusedLeaving:
		e.selfLeaving = true
		e.selfLeavingAt = now
		return false
	default:
		return false
	}
	changed := e.pool.health.RecordOutcome(&e.health, healthEnd, ejectedByPeer, now)
	return changed && e.health.State() == ejector.Ejected
}

// callTimeWeight is the weight of the newest call in a pool's moving average of call times.
const callTimeWeight = 0.02

func (p *pool) observeCallTime(duration time.Duration) {
	if p.callTime == 0 {
		p.callTime = float64(duration)
	}
	p.callTime += callTimeWeight * (float64(duration) - p.callTime)
}

// CallOverdue records that a call has been silent for longer than OverdueAfter. It reports whether
// this ejected the endpoint. Without it, an endpoint that accepts calls and never answers would
// stay in use until the first deadline passes.
func (r *Router) CallOverdue(address string, now time.Time) bool {
	e, known := r.endpoints[address]
	if !known {
		return false
	}
	changed := e.pool.health.RecordOutcome(&e.health, ejector.Bad, e.peerEjected > 0, now)
	r.refresh(e)
	return changed && e.health.State() == ejector.Ejected
}
