// Package regulator keeps what endpoints say in their answers of the work that they take. It is pure: the present time is
// given to it.
package regulator

import "time"

// Regulator holds the newest notice of each endpoint that asks for less work.
type Regulator struct {
	limits map[string]limit
}

// limit is a limit that an endpoint has named.
type limit struct {
	perSecond float64
	// at is when the endpoint last named it.
	at time.Time
}

// New makes a regulator that knows of no limit.
func New() *Regulator { return &Regulator{limits: make(map[string]limit)} }

// Heard takes the notice of an endpoint's answer and tells whether it changes what was known.
func (r *Regulator) Heard(endpoint string, n Notice, now time.Time) bool {
	known, limited := r.limits[endpoint]
	if !n.Limited {
		delete(r.limits, endpoint)
		return limited
	}
	r.limits[endpoint] = limit{perSecond: n.PerSecond, at: now}
	return !limited || known.perSecond != n.PerSecond
}

// Limited counts the endpoints that name a limit.
func (r *Regulator) Limited() int { return len(r.limits) }

// Keep forgets all endpoints but those of the ids.
func (r *Regulator) Keep(ids map[string]bool) {
	for id := range r.limits {
		if !ids[id] {
			delete(r.limits, id)
		}
	}
}
