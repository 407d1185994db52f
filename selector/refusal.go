package selector

import (
	"slices"
	"strings"
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
	"geraniumline/regulator"
)

// refusalBackoff bounds how long an endpoint that has refused a call gets no calls while another endpoint accepts them.
// An endpoint with free capacity gets its share again within Max.
var refusalBackoff = regulator.BackoffBounds{Initial: 80 * time.Millisecond, Max: time.Second}

// RecordRefusal records that the endpoint refused a call without running it, and reports whether this returned the
// endpoint to use. Without a backoff, an endpoint whose calls end at once looks idle and would attract the work of the
// whole pool.
func (s *Selector) RecordRefusal(choice Choice, now time.Time) bool {
	e, known := s.chosenEndpoint(&choice)
	if !known {
		return false
	}
	e.backoff.RecordRefusal(refusalBackoff, now)
	s.refusing[e] = true
	if e.health.State() != ejector.Probing {
		s.RecordCancel(choice)
		return false
	}
	// The probe only has to show that the endpoint responds, and it did.
	return s.RecordEnd(choice, ejector.Good, now)
}

// Refusal is an endpoint that refuses calls.
type Refusal struct {
	Endpoint registrar.Endpoint
	// At is the time of its last refusal.
	At time.Time
}

// minReportedRefusals is the number of consecutive refusals after which peers are notified. An endpoint that is only
// briefly full serves some calls in between.
const minReportedRefusals = 3

// Refusals lists the endpoints that have recently refused consecutive calls of this entry, sorted by ID.
func (s *Selector) Refusals(now time.Time) []Refusal {
	var list []Refusal
	for e := range s.refusing {
		if now.Sub(e.backoff.LastRefusal()) >= refusalBackoff.Max {
			delete(s.refusing, e)
			continue
		}
		if e.backoff.ConsecutiveRefusals() >= minReportedRefusals {
			list = append(list, Refusal{Endpoint: *e.Endpoint, At: e.backoff.LastRefusal()})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return list
}

// RecordPeerRefusal records that an endpoint refused calls of a peer at the given time. It gets no calls from this
// entry either while other endpoints accept them.
func (s *Selector) RecordPeerRefusal(endpoint string, at time.Time) {
	if e, known := s.byID[endpoint]; known {
		e.backoff.RecordPeerRefusal(refusalBackoff, at)
	}
}
