// Package registrar folds the endpoints' own entries in the platform's store into the list of those that may take
// work. It is pure: the present time is given to it.
package registrar

import (
	"slices"
	"strings"
	"time"
)

// DefaultReturnTime is how long after the store's return an endpoint's missing entry is not yet believed.
// Entries lapse while the store is away although their endpoints live, and living endpoints write theirs again within
// about two seconds of its return. Without the wait an outage would empty the pools of a healthy system.
const DefaultReturnTime = 2200 * time.Millisecond

// Endpoint is one process that takes calls.
type Endpoint struct {
	// ID names the endpoint. It may start again under the same one.
	ID string
	// Started is when this start of it began, by its own word; zero where it does not say.
	Started time.Time
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining endpoints take no new work.
	Draining bool
	// Region is that of the zone; empty where it is not known.
	Region string
	// ColdUntil is when the endpoint's slow start ends, zero where its own word is that it is over.
	ColdUntil time.Time
}

// Cold tells whether the endpoint is in its slow start: it bears few calls, and holds no prompt parts.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// coldAgain is how much later than known the end of a slow start must be for the endpoint to have become cold anew. It is
// worked out anew from each entry, and differs by the time that the entry was on its way.
const coldAgain = 500 * time.Millisecond

// ColderThan tells whether the endpoint has become cold since its earlier word.
func (e *Endpoint) ColderThan(earlier *Endpoint) bool {
	return e.ColdUntil.Sub(earlier.ColdUntil) > coldAgain
}

// SameStart tells whether both are one start of one endpoint. A later start holds nothing that an earlier one held: prompt
// parts, stage results, calls. Work placed by what the earlier one held would wait for what is not there.
func (e *Endpoint) SameStart(other *Endpoint) bool {
	if e.ID != other.ID {
		return false
	}
	return e.Started.IsZero() || other.Started.IsZero() || e.Started.Equal(other.Started)
}

// Change is one record of an endpoint's entry.
type Change struct {
	ID string
	// Offset orders the changes.
	Offset int64
	// Endpoint is nil where the entry was removed or can't be used.
	Endpoint *Endpoint
	// Unusable entries can't be read as an endpoint's: another writer wrote them.
	Unusable bool
}

// Config sets a Registry up.
type Config struct {
	// ReturnTime is how long after the store's return missing entries are not believed; 0 takes DefaultReturnTime.
	ReturnTime time.Duration
}

// entry is what is known of one endpoint.
type entry struct {
	endpoint Endpoint
	offset   int64
	// removedAt is set while the entry is missing but not yet believed to be gone.
	removedAt time.Time
	// unusable entries name no endpoint until a newer record does.
	unusable bool
}

// Registry is the list of endpoints as the store's records tell it.
type Registry struct {
	returnTime time.Duration
	entries    map[string]*entry
	// missing are the ids of entries that lack in the store and are not yet believed to be gone.
	missing map[string]bool
	// next is the offset after the newest change.
	next int64
	// away is set while the store does not answer; returned is when it last began to answer again.
	away     bool
	returned time.Time
	// heard is when the store's word was last read, here or by the peer that passed it on.
	heard time.Time
	known bool
	// services are those that the configuration names; nil before it is known.
	services map[string]bool
}

// New makes a registry that knows no endpoint.
func New(cfg Config) *Registry {
	if cfg.ReturnTime == 0 {
		cfg.ReturnTime = DefaultReturnTime
	}
	return &Registry{returnTime: cfg.ReturnTime, entries: make(map[string]*entry), missing: make(map[string]bool)}
}

// Next is the offset from which changes are not yet known.
func (r *Registry) Next() int64 { return r.next }

// Known tells whether a whole list was ever read.
func (r *Registry) Known() bool { return r.known }

// Age is how long ago the store's word was read.
func (r *Registry) Age(now time.Time) time.Duration { return now.Sub(r.heard) }

// Lost notes that the store does not answer.
func (r *Registry) Lost() { r.away = true }

// Heard notes that the store has answered.
func (r *Registry) Heard(now time.Time) {
	if r.away {
		r.returned = now
	}
	r.away = false
	r.heard = now
}

// HeardAt notes that a peer passed on the store's word as of a time. It says nothing of the store's return: that the
// entry sees for itself.
func (r *Registry) HeardAt(at time.Time) {
	if at.After(r.heard) {
		r.heard = at
	}
}

// Apply takes changes that follow the ones before, up to the offset next.
func (r *Registry) Apply(changes []Change, next int64, now time.Time) {
	for _, c := range changes {
		r.apply(c, now)
	}
	r.next = max(r.next, next)
}

// News gives those of the changes that say more than that an endpoint is still there, in their order. Endpoints write their
// entries every second or so with nothing new but a count: told of all endpoints to all peers, those would fill the reading
// entry's link.
func (r *Registry) News(changes []Change) []Change {
	named := make(map[string]bool)
	for _, c := range changes {
		if !r.says(&c) {
			named[c.ID] = true
		}
	}
	var news []Change
	for _, c := range changes {
		if named[c.ID] {
			news = append(news, c)
		}
	}
	return news
}

// says tells whether this list says the same as a change, but for its offset.
func (r *Registry) says(c *Change) bool {
	e, known := r.entries[c.ID]
	if !known || e.unusable || !e.removedAt.IsZero() || c.Unusable || c.Endpoint == nil {
		return false
	}
	told := *c.Endpoint
	if told.ColderThan(&e.endpoint) {
		return false
	}
	told.ColdUntil = e.endpoint.ColdUntil
	if !told.Started.Equal(e.endpoint.Started) {
		return false
	}
	// Equal times may be of different forms.
	told.Started = e.endpoint.Started
	return told == e.endpoint
}

// Replace takes the newest change of every endpoint. One that it lacks has been removed, unless its change is
// newer than the list's end.
func (r *Registry) Replace(all []Change, next int64, now time.Time) {
	if next < r.next {
		// The answer is older than what is known: a stale read would bring removed endpoints back.
		return
	}
	named := make(map[string]bool, len(all))
	for _, c := range all {
		named[c.ID] = true
		r.apply(c, now)
	}
	for id, e := range r.entries {
		if !named[id] && e.offset < next {
			r.remove(id, next-1, now)
		}
	}
	r.next = next
	r.known = true
}

// SetServices takes the names of the services that the configuration has.
func (r *Registry) SetServices(names []string) {
	r.services = make(map[string]bool, len(names))
	for _, name := range names {
		r.services[name] = true
	}
	for id, e := range r.entries {
		r.evict(id, e)
	}
}

func (r *Registry) apply(c Change, now time.Time) {
	e, known := r.entries[c.ID]
	switch {
	case known && c.Offset < e.offset:
		return
	case c.Unusable:
		r.entries[c.ID] = &entry{offset: c.Offset, unusable: true}
		return
	case c.Endpoint == nil:
		r.remove(c.ID, c.Offset, now)
		return
	case known && c.Endpoint.Started.Before(e.endpoint.Started) && !c.Endpoint.Started.IsZero():
		// The late word of an earlier start under the same id, which says nothing of the present one.
		return
	}
	taken := &entry{endpoint: *c.Endpoint, offset: c.Offset}
	r.evict(c.ID, taken)
	r.entries[c.ID] = taken
}

// evict drops older endpoints at an entry's address. Addresses are used again after an endpoint has ended, also by other
// services; its old entry may stay until it lapses, and calls would go to the wrong process. An entry of a service that
// the configuration does not name evicts none: anybody may have written it, and sound endpoints would be lost to it.
func (r *Registry) evict(newerID string, newer *entry) {
	if newer.unusable || r.services != nil && !r.services[newer.endpoint.Service] {
		return
	}
	for id, e := range r.entries {
		if id != newerID && e.endpoint.Address == newer.endpoint.Address && e.offset < newer.offset {
			delete(r.entries, id)
		}
	}
}

func (r *Registry) remove(id string, offset int64, now time.Time) {
	e, known := r.entries[id]
	if !known || offset < e.offset {
		return
	}
	e.offset = offset
	if e.unusable || !r.doubtful(now) {
		delete(r.entries, id)
		return
	}
	if e.removedAt.IsZero() {
		e.removedAt = now
		r.missing[id] = true
	}
}

// doubtful tells that a missing entry may belong to an endpoint that lives.
func (r *Registry) doubtful(now time.Time) bool {
	return r.away || !r.returned.IsZero() && now.Sub(r.returned) < r.returnTime
}

// Tick drops the endpoints whose removal is no longer in doubt, and tells whether there were any. It looks at the missing ones
// only: it is called a hundred times a second, and with thousands of endpoints a walk over all is half of an entry's work.
func (r *Registry) Tick(now time.Time) bool {
	if len(r.missing) == 0 || r.doubtful(now) {
		return false
	}
	dropped := false
	for id := range r.missing {
		if e, known := r.entries[id]; known && !e.removedAt.IsZero() {
			delete(r.entries, id)
			dropped = true
		}
	}
	clear(r.missing)
	return dropped
}

// Usable lists the endpoints that may take work, in the order of their ids.
func (r *Registry) Usable() []Endpoint {
	usable := make([]Endpoint, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.unusable && !e.endpoint.Draining {
			usable = append(usable, e.endpoint)
		}
	}
	slices.SortFunc(usable, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return usable
}

// Changes lists the newest change of every endpoint, for a peer that can't reach the store. Endpoints whose removal
// is in doubt are among them; the peer judges that by its own sight of the store.
func (r *Registry) Changes() []Change {
	all := make([]Change, 0, len(r.entries))
	for id, e := range r.entries {
		c := Change{ID: id, Offset: e.offset, Unusable: e.unusable}
		if !e.unusable {
			endpoint := e.endpoint
			c.Endpoint = &endpoint
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return all
}
