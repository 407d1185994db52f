package regulator

import (
	"cmp"
	"slices"
	"time"

	"geraniumline/locator"
	"geraniumline/registrar"
)

// endedTTL is how long an endpoint whose process has ended gets no calls if the list of endpoints does not change
// meanwhile. Registrations of ended processes expire sooner while the store is available, so it only matters to a
// process that wrongly rejects calls as not its own.
const endedTTL = 5 * time.Second

// EndedEndpoint is an endpoint whose process has ended, as the answer of another process at its address shows.
type EndedEndpoint struct {
	Endpoint string
	// Started is the start time of the process that has ended; zero if the endpoint does not report one.
	Started time.Time
	// At is the time of the answer.
	At time.Time
}

// ended is what is known of the end of a process.
type ended struct {
	started time.Time
	at      time.Time
	// listedUpTo is the position up to which the list of endpoints was known at the time of the answer.
	listedUpTo locator.Position
}

// MarkEnded records an answer which shows that an endpoint's process has ended, and reports whether this is new. The
// list of endpoints may name the process for seconds after its end, and each call to it is rejected by its successor.
// The position is that up to which the list is known.
func (r *Regulator) MarkEnded(e *registrar.Endpoint, listedUpTo locator.Position, now time.Time) bool {
	_, known := r.ended[e.ID]
	r.ended[e.ID] = ended{started: e.Started, at: now, listedUpTo: listedUpTo}
	return !known
}

// HasEnded reports whether an endpoint's process has ended.
func (r *Regulator) HasEnded(endpoint string) bool {
	_, known := r.ended[endpoint]
	return known
}

// EndedCount returns the number of listed endpoints whose process has ended.
func (r *Regulator) EndedCount() int { return len(r.ended) }

// EndedEndpoints lists the endpoints whose process has ended, sorted by ID.
func (r *Regulator) EndedEndpoints() []EndedEndpoint {
	list := make([]EndedEndpoint, 0, len(r.ended))
	for id, m := range r.ended {
		list = append(list, EndedEndpoint{Endpoint: id, Started: m.started, At: m.at})
	}
	slices.SortFunc(list, func(a, b EndedEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// ReturnEnded returns the endpoints that get calls again although they were found to have ended: those with a
// registration that is newer than the answer, and those whose time is over. position returns the position of an
// endpoint's registration.
func (r *Regulator) ReturnEnded(position func(endpoint string) (locator.Position, bool), now time.Time) []string {
	if len(r.ended) == 0 {
		return nil
	}
	var ids []string
	for id, m := range r.ended {
		registered, known := position(id)
		if now.Sub(m.at) < endedTTL && (!known || registered.Before(m.listedUpTo)) {
			continue
		}
		delete(r.ended, id)
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
