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
	// FreeAt tells from when on a call may go to an endpoint by what the endpoint has asked for. Where this entry sends none,
	// it is about when others may.
	FreeAt(e *registrar.Endpoint, now time.Time) (at time.Time, sends bool)
	// BearsFew tells whether an endpoint takes only a few of the calls that would come for the prompt parts that it holds, cold
	// or not.
	BearsFew(e *registrar.Endpoint) bool
	// Sent notes a call to an endpoint that bears so many calls a second while it is cold.
	Sent(e *registrar.Endpoint, coldPerSecond float64, now time.Time)
}

func (s *Selector) bearsFew(e *endpoint, now time.Time) bool {
	return e.Cold(now) || s.cfg.Gate != nil && s.cfg.Gate.BearsFew(&e.Endpoint)
}

// Held tells of a service whose endpoints have all asked for fewer calls.
type Held struct {
	// Until is about when the first of them takes a call again, Here whether from this entry.
	Until time.Time
	Here  bool
}

// HeldBack tells whether all endpoints in use that a call may go to take none now, by what they have asked for.
func (s *Selector) HeldBack(service string, regions []string, now time.Time) (Held, bool) {
	p, known := s.pools[service]
	if !known || s.cfg.Gate == nil {
		return Held{}, false
	}
	var first Held
	for _, e := range p.endpoints {
		if e.health.State() != ejector.InUse || regions != nil && !slices.Contains(regions, e.Region) {
			continue
		}
		at, sends := s.cfg.Gate.FreeAt(&e.Endpoint, now)
		if sends && !at.After(now) {
			return Held{}, false
		}
		if first.Until.IsZero() || sends && !first.Here || sends == first.Here && at.Before(first.Until) {
			first = Held{Until: at, Here: sends}
		}
	}
	return first, !first.Until.IsZero()
}
