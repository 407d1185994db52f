package selector

import (
	"slices"
	"strings"
	"time"

	"geraniumline/ejector"
	"geraniumline/registrar"
	"geraniumline/regulator"
)

// unreachableReport is a peer's report that an endpoint is unreachable.
type unreachableReport struct {
	peer  string
	until time.Time
}

// avoided reports whether peers have recently failed to reach the endpoint. It is used while no other endpoint is.
func (e *endpoint) avoided(now time.Time) bool { return now.Before(e.report.until) }

// deferred reports whether the endpoint gets calls, or the probe that it is due for, only while no other one is usable.
func (e *endpoint) deferred(now time.Time) bool {
	switch e.health.State() {
	case ejector.InUse:
		return e.backoff.Active(now) || e.avoided(now)
	case ejector.Probing:
		return e.calls == 0 && e.avoided(now)
	case ejector.Ejected:
	}
	return false
}

// recordReachability records whether a call of this entry reached the endpoint.
func (s *Selector) recordReachability(e *endpoint, outcome ejector.Outcome, now time.Time) {
	switch outcome {
	case ejector.Down:
		e.unreachableAt = now
		s.unreachable[e] = true
	case ejector.Good:
		e.report = unreachableReport{}
		delete(s.unreachable, e)
	case ejector.Bad:
	}
}

// RecordUnreachable records that the endpoint of an ended call refuses connections, and reports whether this ejected
// it.
func (s *Selector) RecordUnreachable(choice Choice, now time.Time) bool {
	e, known := s.chosenEndpoint(&choice)
	if !known {
		return false
	}
	s.recordReachability(e, ejector.Down, now)
	return e.pool.health.RecordOutcome(&e.health, ejector.Down, false, now)
}

// RecordProcessEnd records that no process listens any more at the address of an endpoint, as a call of another entry has
// shown.
func (s *Selector) RecordProcessEnd(id string, started, now time.Time) {
	e, known := s.byID[id]
	if known && e.SameIncarnation(&registrar.Endpoint{ID: id, Started: started}) {
		s.recordReachability(e, ejector.Down, now)
		e.pool.health.RecordOutcome(&e.health, ejector.Down, false, now)
	}
}

// Unreachable lists the endpoints that recently refused connections of this entry, sorted by ID. Pools most of which are
// unreachable are left out, since the cause then probably lies with this entry.
func (s *Selector) Unreachable(now time.Time) []Refusal {
	counts := make(map[*pool]int)
	for e := range s.unreachable {
		if now.Sub(e.unreachableAt) >= regulator.PeerReportTTL {
			delete(s.unreachable, e)
			continue
		}
		counts[e.pool]++
	}
	var list []Refusal
	for e := range s.unreachable {
		if regulator.MinorityUnreachable(counts[e.pool], len(e.pool.endpoints)) {
			list = append(list, Refusal{Endpoint: *e.Endpoint, At: e.unreachableAt})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return strings.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return list
}

// RecordPeerUnreachable records a peer's report that an endpoint was unreachable at the given time, and reports whether
// the endpoint is avoided from now on. In a crash of many endpoints, each entry would otherwise send a call to each of
// them.
func (s *Selector) RecordPeerUnreachable(peer, endpoint string, at, now time.Time) bool {
	e, known := s.byID[endpoint]
	until := at.Add(regulator.PeerReportTTL)
	if !known || !now.Before(until) {
		return false
	}
	if !e.pool.reports.Record(peer, endpoint, at, len(e.pool.endpoints), now) {
		for _, other := range e.pool.endpoints {
			if other.report.peer == peer {
				other.report = unreachableReport{}
			}
		}
		return false
	}
	before := e.avoided(now)
	if until.After(e.report.until) {
		e.report = unreachableReport{peer: peer, until: until}
	}
	return !before
}

// AvoidedCounts returns the number of endpoints of each service that peers have recently failed to reach.
func (s *Selector) AvoidedCounts(now time.Time) map[string]int64 {
	counts := make(map[string]int64)
	for service, p := range s.pools {
		p.reports.Prune(now)
		for _, e := range p.endpoints {
			if e.avoided(now) {
				counts[service]++
			}
		}
	}
	return counts
}
