// Package registrar folds the endpoints' own entries in the platform's store into the list of those that may take
// work. It is pure: the present time is given to it.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumline/locator"
)

// DefaultRecoveryGrace is how long after the store's return an endpoint's missing entry is not yet believed.
// Entries lapse while the store is away although their endpoints live, and living endpoints write theirs again within
// about two seconds of its return. Without the wait an outage would empty the pools of a healthy system.
const DefaultRecoveryGrace = 2200 * time.Millisecond

const (
	// goneTime is how long an endpoint that has left is remembered: an older copy of the store may bring its entry back.
	// Copies are some seconds old.
	goneTime = time.Minute
	// pruneEvery is how often those that left longer ago are forgotten. All endpoints may leave at once.
	pruneEvery = 10 * time.Second
)

// Endpoint is one process that takes calls.
type Endpoint struct {
	// ID names the endpoint. It may start again under the same one.
	ID string
	// Started is when this start of it began, as its entry says; zero where it does not.
	Started time.Time
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining endpoints take no new work.
	Draining bool
	// Region is that of the zone; empty where it is not known.
	Region string
	// ColdUntil is when the endpoint's slow start ends, zero where its entry says that it is over.
	ColdUntil time.Time
}

// Cold tells whether the endpoint is in its slow start: it bears few calls, and holds no prompt parts.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// coldAgain is how much later than known the end of a slow start must be for the endpoint to have become cold anew. It is
// worked out anew from each entry, and differs by the time that the entry was on its way.
const coldAgain = 500 * time.Millisecond

// BecameColdSince tells whether the endpoint has become cold since its earlier entry.
func (e *Endpoint) BecameColdSince(earlier *Endpoint) bool {
	return e.ColdUntil.Sub(earlier.ColdUntil) > coldAgain
}

// SameIncarnation tells whether both are one start of one endpoint. A later start holds nothing that an earlier one held: prompt
// parts, stage results, calls. Work placed by what the earlier one held would wait for what is not there.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	if e.ID != other.ID {
		return false
	}
	return e.Started.IsZero() || other.Started.IsZero() || e.Started.Equal(other.Started)
}

// Change is one record of an endpoint's entry.
type Change struct {
	ID string
	// Position orders the changes.
	Position locator.Position
	// Sequence counts the records of one start of the endpoint; 0 where it is not known.
	Sequence int64
	// Endpoint is nil where the entry was removed or can't be used.
	Endpoint *Endpoint
	// Unusable entries can't be read as an endpoint's: another writer wrote them.
	Unusable bool
}

// Config sets a Registry up.
type Config struct {
	// RecoveryGrace is how long after the store's return missing entries are not believed; 0 takes DefaultRecoveryGrace.
	RecoveryGrace time.Duration
}

// entry is what is known of one endpoint.
type entry struct {
	endpoint Endpoint
	position locator.Position
	sequence int64
	// removedAt is set while the entry is missing but not yet believed to be gone.
	removedAt time.Time
	// unusable entries name no endpoint until a newer record does.
	unusable bool
}

// gone is what is remembered of an endpoint that has left.
type gone struct {
	started  time.Time
	position locator.Position
	sequence int64
	at       time.Time
}

// Registry is the list of endpoints as the store's records tell it.
type Registry struct {
	returnTime time.Duration
	entries    map[string]*entry
	// atAddress are the ids of the entries at each address; usually one.
	atAddress map[string][]string
	// missing are the ids of entries that lack in the store and are not yet believed to be gone.
	missing map[string]bool
	// gone are the endpoints that have left lately, pruned at prunedAt.
	gone     map[string]gone
	prunedAt time.Time
	// next is the position after the newest change, renewed when a list of its era was first read.
	next    locator.Position
	renewed time.Time
	// away is set while the store does not answer; returned is when it last began to answer again.
	away     bool
	returned time.Time
	// heard is when the store was last read, here or by the peer that passed it on.
	heard time.Time
	known bool
	// services are those that the configuration names; nil before it is known.
	services map[string]bool
}

// New makes a registry that knows no endpoint.
func New(cfg Config) *Registry {
	if cfg.RecoveryGrace == 0 {
		cfg.RecoveryGrace = DefaultRecoveryGrace
	}
	return &Registry{
		returnTime: cfg.RecoveryGrace,
		entries:    make(map[string]*entry),
		atAddress:  make(map[string][]string),
		missing:    make(map[string]bool),
		gone:       make(map[string]gone),
	}
}

// Next is the position from which changes are not yet known.
func (r *Registry) Next() locator.Position { return r.next }

// Loaded tells whether a whole list was ever read.
func (r *Registry) Loaded() bool { return r.known }

// Age is how long ago the store was read.
func (r *Registry) Age(now time.Time) time.Duration { return now.Sub(r.heard) }

// StoreUnavailable notes that the store does not answer.
func (r *Registry) StoreUnavailable() { r.away = true }

// StoreAvailable notes that the store has answered.
func (r *Registry) StoreAvailable(now time.Time) {
	if r.away {
		r.returned = now
	}
	r.away = false
	r.heard = now
}

// StoreReadAt notes that a peer passed on what the store had as of a time. It says nothing of the store's return: that the
// entry sees for itself.
func (r *Registry) StoreReadAt(at time.Time) {
	if at.After(r.heard) {
		r.heard = at
	}
}

// Apply takes changes that follow the ones before, up to the position next. Those of another era than the list's are passed
// over: they leave a gap, and only a whole list closes it.
func (r *Registry) Apply(changes []Change, next locator.Position, now time.Time) {
	if next.Era() != r.next.Era() {
		return
	}
	for _, c := range changes {
		r.apply(c, now)
	}
	r.next = locator.Later(r.next, next)
}

// SignificantChanges gives those of the changes that say more than that an endpoint is still there, in their order. Endpoints write their
// entries every second or so with nothing new but a count: told of all endpoints to all peers, those would fill the reading
// entry's link.
func (r *Registry) SignificantChanges(changes []Change) []Change {
	named := make(map[string]bool)
	for _, c := range changes {
		if !r.says(&c) {
			named[c.ID] = true
		}
	}
	var news []Change
	for _, c := range changes {
		if named[c.ID] {
			news = append(news, r.withSequence(c))
		}
	}
	return news
}

// withSequence completes the change of an entry that was removed. The last record that the endpoint wrote itself is known to
// the entry that reads for all only, and tells it from what an older copy of the store brings back.
func (r *Registry) withSequence(c Change) Change {
	if e, known := r.entries[c.ID]; known && c.Endpoint == nil && !c.Unusable {
		c.Sequence = e.sequence
	}
	return c
}

// says tells whether this list says the same as a change, but for its position.
func (r *Registry) says(c *Change) bool {
	e, known := r.entries[c.ID]
	if !known || e.unusable || !e.removedAt.IsZero() || c.Unusable || c.Endpoint == nil {
		return false
	}
	told := *c.Endpoint
	if told.BecameColdSince(&e.endpoint) {
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
func (r *Registry) Replace(all []Change, next locator.Position, now time.Time) {
	if r.known && next.Before(r.next) {
		// The answer is older than what is known: a stale read would bring removed endpoints back.
		return
	}
	newEra := r.known && next.Era() > r.next.Era()
	if newEra {
		r.renewed = now
	}
	named := make(map[string]bool, len(all))
	for _, c := range all {
		named[c.ID] = true
		if newEra && r.outdated(&c) {
			continue
		}
		r.apply(c, now)
	}
	for id, e := range r.entries {
		if !named[id] && e.position.Before(next) {
			r.remove(Change{ID: id, Position: locator.At(next.Era(), next.Offset()-1)}, now)
		}
	}
	r.next = next
	r.known = true
}

// outdated tells whether a change of a new era is one that was known in the era before, or an older one. The first list of an
// era is that of an older copy of the store, but for what was written again so far: taken as it is, it brings back endpoints
// that have left.
func (r *Registry) outdated(c *Change) bool {
	if c.Endpoint == nil {
		return false
	}
	if e, known := r.entries[c.ID]; known && !e.unusable {
		return c.follows(e.endpoint.Started, e.sequence) < 0
	}
	if g, known := r.gone[c.ID]; known {
		return c.follows(g.started, g.sequence) <= 0
	}
	return false
}

// follows compares a change with a record that the endpoint wrote before: below 0 where it is older, 0 where it is the same
// one.
func (c *Change) follows(started time.Time, sequence int64) int {
	own := c.Endpoint.Started
	if !own.IsZero() && !started.IsZero() && !own.Equal(started) {
		return own.Compare(started)
	}
	return cmp.Compare(c.Sequence, sequence)
}

// SetServices takes the names of the services that the configuration has.
func (r *Registry) SetServices(names []string, now time.Time) {
	r.services = make(map[string]bool, len(names))
	for _, name := range names {
		r.services[name] = true
	}
	for _, id := range slices.Collect(maps.Keys(r.entries)) {
		if e, known := r.entries[id]; known {
			r.evict(id, e, now)
		}
	}
}

func (r *Registry) apply(c Change, now time.Time) {
	e, known := r.entries[c.ID]
	g, hasLeft := r.gone[c.ID]
	switch {
	case known && c.Position.Before(e.position), hasLeft && c.Position.Before(g.position):
		return
	case c.Unusable:
		r.set(c.ID, &entry{position: c.Position, unusable: true})
		return
	case c.Endpoint == nil:
		r.remove(c, now)
		return
	case known && c.Endpoint.Started.Before(e.endpoint.Started) && !c.Endpoint.Started.IsZero():
		// A late record of an earlier start under the same id, which says nothing of the present one.
		return
	}
	taken := &entry{endpoint: *c.Endpoint, position: c.Position, sequence: c.Sequence}
	r.set(c.ID, taken)
	r.evict(c.ID, taken, now)
	delete(r.gone, c.ID)
}

// set takes an entry in the place of an earlier one of the id.
func (r *Registry) set(id string, e *entry) {
	r.unset(id)
	r.entries[id] = e
	if !e.unusable {
		r.atAddress[e.endpoint.Address] = append(r.atAddress[e.endpoint.Address], id)
	}
}

// unset takes the entry of an id away, if there is one.
func (r *Registry) unset(id string) {
	e, known := r.entries[id]
	if !known {
		return
	}
	delete(r.entries, id)
	if e.unusable {
		return
	}
	address := e.endpoint.Address
	others := slices.DeleteFunc(r.atAddress[address], func(other string) bool { return other == id })
	if len(others) == 0 {
		delete(r.atAddress, address)
		return
	}
	r.atAddress[address] = others
}

// evict drops older endpoints at an entry's address. Addresses are used again after an endpoint has ended, also by other
// services; its old entry may stay until it lapses, and calls would go to the wrong process. An entry of a service that
// the configuration does not name evicts none: anybody may have written it, and sound endpoints would be lost to it.
func (r *Registry) evict(newerID string, newer *entry, now time.Time) {
	if newer.unusable || r.services != nil && !r.services[newer.endpoint.Service] {
		return
	}
	ids := r.atAddress[newer.endpoint.Address]
	if len(ids) < 2 {
		return
	}
	for _, id := range slices.Clone(ids) {
		if e := r.entries[id]; id != newerID && e.position.Before(newer.position) {
			r.drop(id, e, now)
		}
	}
}

func (r *Registry) remove(c Change, now time.Time) {
	e, known := r.entries[c.ID]
	if !known || c.Position.Before(e.position) {
		return
	}
	e.position = c.Position
	e.sequence = max(e.sequence, c.Sequence)
	if e.unusable || !r.doubtful(now) {
		r.drop(c.ID, e, now)
		return
	}
	if e.removedAt.IsZero() {
		e.removedAt = now
		r.missing[c.ID] = true
	}
}

// drop forgets an endpoint but for what tells its records from later ones.
func (r *Registry) drop(id string, e *entry, now time.Time) {
	r.unset(id)
	if now.Sub(r.prunedAt) >= pruneEvery {
		maps.DeleteFunc(r.gone, func(_ string, g gone) bool { return now.Sub(g.at) >= goneTime })
		r.prunedAt = now
	}
	if !e.unusable {
		r.gone[id] = gone{started: e.endpoint.Started, position: e.position, sequence: e.sequence, at: now}
	}
}

// doubtful tells that a missing entry may belong to an endpoint that lives.
func (r *Registry) doubtful(now time.Time) bool {
	return r.away || r.lately(r.returned, now) || r.lately(r.renewed, now)
}

// lately tells whether a return of the store is so short ago that endpoints may not have written their entries again.
func (r *Registry) lately(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < r.returnTime
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
			r.drop(id, e, now)
			dropped = true
		}
	}
	clear(r.missing)
	return dropped
}

// Contains tells whether an endpoint is known, in the start that began at a time; a zero one is that of any start.
func (r *Registry) Contains(id string, started time.Time) bool {
	e, known := r.entries[id]
	return known && !e.unusable && e.endpoint.SameIncarnation(&Endpoint{ID: id, Started: started})
}

// ServiceOf gives the service of an endpoint, empty where it is not known.
func (r *Registry) ServiceOf(id string) string {
	if e, known := r.entries[id]; known {
		return e.endpoint.Service
	}
	return ""
}

// IDsAt gives the ids of the endpoints at an address; usually one.
func (r *Registry) IDsAt(address string) []string { return r.atAddress[address] }

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
		c := Change{ID: id, Position: e.position, Sequence: e.sequence, Unusable: e.unusable}
		if !e.unusable {
			endpoint := e.endpoint
			c.Endpoint = &endpoint
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return all
}
