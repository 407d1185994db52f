package selector

import (
	"slices"
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
)

// Gate says which calls may go to endpoints that bear few.
type Gate interface {
	// Allows tells whether a call may go now to an endpoint that bears so many calls a second while it is cold.
	Allows(e *registrar.Endpoint, coldPerSecond float64, now time.Time) bool
	// NextSendTime tells from when on a call may go to an endpoint by what the endpoint has asked for. Where this entry sends none,
	// it is about when others may.
	NextSendTime(e *registrar.Endpoint, now time.Time) (at time.Time, sends bool)
	// Limited tells whether an endpoint takes only a few of the calls that would come for the prompt parts that it holds, cold
	// or not.
	Limited(e *registrar.Endpoint) bool
	// RecordSend notes a call to an endpoint that bears so many calls a second while it is cold.
	RecordSend(e *registrar.Endpoint, coldPerSecond float64, now time.Time)
}

func (s *Selector) bearsFew(e *endpoint, now time.Time) bool {
	return e.Cold(now) || s.cfg.Gate != nil && s.cfg.Gate.Limited(&e.Endpoint)
}

// Throttle tells of a service whose endpoints have all asked for fewer calls.
type Throttle struct {
	// Until is about when the first of them takes a call again, Here whether from this entry.
	Until time.Time
	Local bool
}

// Throttled tells whether all endpoints in use that a call may go to take none now, by what they have asked for.
func (s *Selector) Throttled(service string, regions []string, now time.Time) (Throttle, bool) {
	p, known := s.pools[service]
	if !known || s.cfg.Gate == nil {
		return Throttle{}, false
	}
	var first Throttle
	for _, e := range p.endpoints {
		if e.health.State() != ejector.InUse || regions != nil && !slices.Contains(regions, e.Region) {
			continue
		}
		at, sends := s.cfg.Gate.NextSendTime(&e.Endpoint, now)
		if sends && !at.After(now) {
			return Throttle{}, false
		}
		if first.Until.IsZero() || sends && !first.Local || sends == first.Local && at.Before(first.Until) {
			first = Throttle{Until: at, Local: sends}
		}
	}
	return first, !first.Until.IsZero()
}
