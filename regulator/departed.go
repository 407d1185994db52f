package regulator

import "time"

const (
	// departedTTL is how long what an endpoint asked for is kept once its registration is gone. Registrations of live
	// endpoints expire while the store is unavailable.
	departedTTL = 5 * time.Minute
	// maxDeparted bounds the endpoints that are kept; the oldest are dropped first.
	maxDeparted = 1024
)

// departed is what an endpoint process without a registration has asked for.
type departed struct {
	started time.Time
	since   time.Time
	leaving bool
	rest    *rest
	limit   *statement
	fragile *statement
}

// stash keeps what unregistered endpoints have asked for, until the same processes are registered again. Processes whose
// start is not known can't be told from later ones.
func (r *Regulator) stash(listed func(endpoint string, started time.Time) bool, now time.Time) {
	keep := func(id string, started time.Time) *departed {
		if started.IsZero() || listed(id, time.Time{}) {
			return &departed{}
		}
		d := r.departed[id]
		if d == nil || !d.started.Equal(started) {
			r.dropOldestDeparted()
			d = &departed{started: started, since: now}
			r.departed[id] = d
		}
		return d
	}
	for id, started := range r.leaving {
		if !listed(id, started) {
			keep(id, started).leaving = true
		}
	}
	for id, current := range r.rests {
		if !listed(id, current.started) {
			keep(id, current.started).rest = &current
		}
	}
	for id, stated := range r.limits {
		if !listed(id, stated.started) {
			keep(id, stated.started).limit = stated
		}
	}
	for id, stated := range r.fragile {
		if !listed(id, stated.started) {
			keep(id, stated.started).fragile = stated
		}
	}
}

// restore applies again what endpoints asked for whose registration has returned, and drops what is out of date.
func (r *Regulator) restore(listed func(endpoint string, started time.Time) bool, now time.Time) {
	for id, d := range r.departed {
		switch {
		case listed(id, d.started):
			delete(r.departed, id)
			r.apply(id, d)
		case now.Sub(d.since) >= departedTTL || listed(id, time.Time{}):
			delete(r.departed, id)
		}
	}
}

func (r *Regulator) apply(id string, d *departed) {
	if d.leaving {
		r.MarkLeaving(LeavingEndpoint{Endpoint: id, Started: d.started})
	}
	if d.rest != nil && d.rest.until.After(r.rests[id].until) {
		r.rests[id] = *d.rest
	}
	if d.limit != nil && r.limits[id] == nil {
		r.limits[id] = d.limit
	}
	if d.fragile != nil && r.fragile[id] == nil {
		r.fragile[id] = d.fragile
	}
}

func (r *Regulator) dropOldestDeparted() {
	if len(r.departed) < maxDeparted {
		return
	}
	oldest := ""
	for id, d := range r.departed {
		if oldest == "" || d.since.Before(r.departed[oldest].since) {
			oldest = id
		}
	}
	delete(r.departed, oldest)
}
