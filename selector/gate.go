package selector

import (
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
)

// Gate limits the calls to endpoints that accept only a few.
type Gate interface {
	// Allows reports whether a call may be sent to e now. coldPerSecond is the number of calls a second that e accepts
	// while it is cold.
	Allows(e *registrar.Endpoint, coldPerSecond float64, now time.Time) bool
	// NextSendTime returns the earliest time at which a call may be sent to e, given the limits and rests that e has
	// asked for. If sends is false, this entry sends no calls to e, and at is about when other entries may.
	NextSendTime(e *registrar.Endpoint, now time.Time) (at time.Time, sends bool)
	// Limited reports whether e accepts only some of the calls that its cached prompt parts would attract, whether or
	// not it is cold.
	Limited(e *registrar.Endpoint) bool
	// RecordSend records a call to e. coldPerSecond is the number of calls a second that e accepts while it is cold.
	RecordSend(e *registrar.Endpoint, coldPerSecond float64, now time.Time)
}

// lowCapacity reports whether e takes only some of the calls that its cached prompt parts would attract, or none.
func (s *Selector) lowCapacity(e *endpoint, now time.Time) bool {
	return e.Cold(now) || e.avoided(now) || s.cfg.Gate != nil && s.cfg.Gate.Limited(e.Endpoint)
}

// Throttle describes a service whose endpoints have all asked for fewer calls.
type Throttle struct {
	// Until is about when the first endpoint accepts a call again. Local reports whether it accepts one from this
	// entry.
	Until time.Time
	Local bool
}

// Throttled reports whether every endpoint that is in use, and of a region and version that the query allows, has asked for
// no calls at this time. An ejected endpoint counts as one that accepts calls from the end of its ejection on.
func (s *Selector) Throttled(query Query, now time.Time) (Throttle, bool) {
	p, known := s.pools[query.Service]
	if !known || s.cfg.Gate == nil {
		return Throttle{}, false
	}
	var first Throttle
	inUse := false
	for _, e := range p.endpoints {
		if !query.admits(e.Endpoint) {
			continue
		}
		at, sends := s.cfg.Gate.NextSendTime(e.Endpoint, now)
		if e.health.State() == ejector.InUse {
			inUse = true
			if sends && !at.After(now) {
				return Throttle{}, false
			}
		} else if until := e.health.Until(); until.After(at) {
			at = until
		}
		if first.Until.IsZero() || sends && !first.Local || sends == first.Local && at.Before(first.Until) {
			first = Throttle{Until: at, Local: sends}
		}
	}
	return first, inUse && !first.Until.IsZero()
}
