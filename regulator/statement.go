package regulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumline/registrar"
)

// statement is a rate per second that an endpoint has stated in an answer.
type statement struct {
	started time.Time
	// value is 0 once an answer no longer states the rate.
	value float64
	// reportedAt is the time of the answer.
	reportedAt time.Time
}

// statements holds the newest statement of each endpoint, by ID.
type statements map[string]*statement

// update applies an answer of an endpoint and reports whether it changes the rate.
func (s statements) update(e *registrar.Endpoint, stated bool, value float64, now time.Time) bool {
	if known := s[e.ID]; !stated && (known == nil || known.value == 0) {
		return false
	}
	return s.store(Limit{Endpoint: e.ID, Started: e.Started, PerSecond: value, At: now})
}

// applyPeer records a rate received from a peer and reports whether it changes the known one.
func (s statements) applyPeer(m Limit) bool {
	known := s[m.Endpoint]
	if known != nil && (!m.At.After(known.reportedAt) || !sameStart(m.Started, known.started)) {
		return false
	}
	return s.store(m)
}

func (s statements) store(m Limit) bool {
	before, _ := s.value(m.Endpoint)
	s[m.Endpoint] = &statement{started: m.Started, value: m.PerSecond, reportedAt: m.At}
	return before != m.PerSecond
}

// value returns the rate that an endpoint has stated, and whether it states one.
func (s statements) value(endpoint string) (perSecond float64, stated bool) {
	known := s[endpoint]
	if known == nil || known.value == 0 {
		return 0, false
	}
	return known.value, true
}

// list lists the rates to send to peers, including those that have recently ended, sorted by endpoint ID.
func (s statements) list(now time.Time) []Limit {
	list := make([]Limit, 0, len(s))
	for id, known := range s {
		if known.value == 0 && now.Sub(known.reportedAt) >= endedLimitTTL {
			delete(s, id)
			continue
		}
		list = append(list, Limit{Endpoint: id, Started: known.started, PerSecond: known.value, At: known.reportedAt})
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// endpoints lists the endpoints that state a rate.
func (s statements) endpoints() []string {
	var ids []string
	for id, known := range s {
		if known.value > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// retain discards the statements of endpoints for which listed returns false.
func (s statements) retain(listed func(endpoint string, started time.Time) bool) {
	maps.DeleteFunc(s, func(id string, known *statement) bool { return !listed(id, known.started) })
}
