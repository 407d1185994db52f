package selector

import (
	"slices"
	"strings"
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
	"geraniumline/regulator"
)

// refusedPauses are how long an endpoint that has refused a call gets none while another one takes them. An endpoint that has
// room again has its share again within the longest one.
var refusedPauses = regulator.BackoffBounds{Initial: 80 * time.Millisecond, Max: time.Second}

// RecordRefusal takes the end of a call that its endpoint has refused unrun, and tells whether the endpoint was let back by it. With
// its calls ended at once it looks idle, and would draw the pool's work.
func (s *Selector) RecordRefusal(choice Choice, now time.Time) bool {
	e, known := s.chosen(&choice)
	if !known {
		return false
	}
	e.backoff.RecordRefusal(refusedPauses, now)
	s.refusing[e] = true
	if e.health.State() != ejector.Probing {
		s.RecordCancel(choice)
		return false
	}
	// It answers, which is what the probe was to find out.
	return s.RecordEnd(choice, ejector.Good, now)
}

// Refusal is an endpoint that refuses calls.
type Refusal struct {
	Endpoint registrar.Endpoint
	// At is when it last refused one.
	At time.Time
}

// persistentRefusals is how many calls in a row an endpoint must have refused for peers to be told: one that is full for a
// moment serves some between.
const persistentRefusals = 3

// Refusals lists the endpoints that have lately refused this entry's calls in a row, in the order of their ids.
func (s *Selector) Refusals(now time.Time) []Refusal {
	var list []Refusal
	for e := range s.refusing {
		if now.Sub(e.backoff.LastRefusal()) >= refusedPauses.Max {
			delete(s.refusing, e)
			continue
		}
		if e.backoff.ConsecutiveRefusals() >= persistentRefusals {
			list = append(list, Refusal{Endpoint: e.Endpoint, At: e.backoff.LastRefusal()})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return list
}

// RecordPeerRefusal notes that an endpoint refuses a peer's calls, as of a time: while others can, it takes none from here either.
func (s *Selector) RecordPeerRefusal(endpoint string, at time.Time) {
	if e, known := s.byID[endpoint]; known {
		e.backoff.RecordPeerRefusal(refusedPauses, at)
	}
}
