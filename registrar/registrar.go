// Package registrar builds the list of endpoints that may receive work from the registrations that endpoints write to
// the platform's store. It is pure: callers pass in the current time.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumline/locator"
)

// DefaultRecoveryGrace is how long after the store recovers a missing registration is still kept. Registrations
// expire while the store is unavailable although their endpoints are alive, and live endpoints write theirs again
// within about two seconds of the recovery. Without this grace period an outage would empty the pools of a healthy
// system.
const DefaultRecoveryGrace = 2200 * time.Millisecond

const (
	// departureMemory is how long a departed endpoint is remembered, since an older copy of the store may restore its
	// registration. Copies are a few seconds old.
	departureMemory = time.Minute
	// pruneInterval is the time between removals of departures older than departureMemory. All endpoints may depart
	// at once.
	pruneInterval = 10 * time.Second
)

// Endpoint is a process that accepts calls.
type Endpoint struct {
	// ID identifies the endpoint. A restarted endpoint may reuse it.
	ID string
	// Started is when this incarnation of the endpoint started, as stated in its registration; zero if not stated.
	Started time.Time
	Service string
	// Version is the version of the endpoint's software; empty if not stated.
	Version string
	Address string
	Zone    string
	Slots   int
	// Draining endpoints accept no new work.
	Draining bool
	// Region is the region of the zone; empty if unknown.
	Region string
	// ColdUntil is when the endpoint's slow start ends; zero if its registration says that it is over.
	ColdUntil time.Time
}

// Cold reports whether the endpoint is in its slow start: it can handle only a few calls and holds no prompt parts.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// coldTolerance is how much later than known a slow start must end for the endpoint to count as cold again. The end
// is recomputed from each registration and varies with its transit time.
const coldTolerance = 500 * time.Millisecond

// BecameColdSince reports whether the endpoint has become cold since its earlier registration.
func (e *Endpoint) BecameColdSince(earlier *Endpoint) bool {
	return e.ColdUntil.Sub(earlier.ColdUntil) > coldTolerance
}

// SameIncarnation reports whether both are the same incarnation of one endpoint, which has one version. A later incarnation holds none of
// the prompt parts, stage results and calls of an earlier one, so work placed according to those would wait for data
// that no longer exists.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	if e.ID != other.ID || e.Version != other.Version && e.Version != "" && other.Version != "" {
		return false
	}
	return e.Started.IsZero() || other.Started.IsZero() || e.Started.Equal(other.Started)
}

// Change is one record of an endpoint's registration.
type Change struct {
	ID string
	// Position is the position of the record in the store, which orders the changes.
	Position locator.Position
	// Sequence counts the records of one incarnation of the endpoint; 0 if unknown.
	Sequence int64
	// Endpoint is nil if the registration was removed or is unusable.
	Endpoint *Endpoint
	// Unusable is set if the record can't be read as a registration because another writer wrote it.
	Unusable bool
}

// Config configures a Registry.
type Config struct {
	// RecoveryGrace is how long after the store recovers missing registrations are kept; 0 means
	// DefaultRecoveryGrace.
	RecoveryGrace time.Duration
	// Regions maps each availability zone to its region.
	Regions map[string]string
}

// registration is the known state of one endpoint's registration.
type registration struct {
	endpoint Endpoint
	position locator.Position
	sequence int64
	// removedAt is when the registration was first found missing; zero unless its removal is uncertain.
	removedAt time.Time
	// unusable registrations describe no endpoint until a newer record arrives.
	unusable bool
}

// departure is what is remembered of a departed endpoint.
type departure struct {
	started  time.Time
	position locator.Position
	sequence int64
	at       time.Time
}

// Registry is the list of endpoints according to the store's records.
type Registry struct {
	recoveryGrace time.Duration
	regions       map[string]string
	registrations map[string]*registration
	// usable is the result of Usable, or nil if registrations have changed since.
	usable []*Endpoint
	// idsByAddress maps each address to the IDs registered there; usually one.
	idsByAddress map[string][]string
	// missing holds the IDs of registrations that are missing from the store but whose removal is still uncertain.
	missing map[string]bool
	// departed holds recently departed endpoints, last pruned at prunedAt.
	departed map[string]departure
	prunedAt time.Time
	// next is the position after the newest change. eraChangedAt is when a list of the current era was first read.
	next         locator.Position
	eraChangedAt time.Time
	// unavailable is set while the store doesn't answer. recoveredAt is when it last began to answer again.
	unavailable bool
	recoveredAt time.Time
	// lastRead is when the store was last read, by this entry or by the peer that relayed the data.
	lastRead time.Time
	loaded   bool
	// services holds the configured services; nil until the configuration is known.
	services map[string]bool
}

// New returns a Registry without endpoints.
func New(cfg Config) *Registry {
	if cfg.RecoveryGrace == 0 {
		cfg.RecoveryGrace = DefaultRecoveryGrace
	}
	return &Registry{
		recoveryGrace: cfg.RecoveryGrace,
		regions:       cfg.Regions,
		registrations: make(map[string]*registration),
		idsByAddress:  make(map[string][]string),
		missing:       make(map[string]bool),
		departed:      make(map[string]departure),
	}
}

// Next returns the position up to which changes are known.
func (r *Registry) Next() locator.Position { return r.next }

// Loaded reports whether a complete list has been read.
func (r *Registry) Loaded() bool { return r.loaded }

// Len returns the number of known registrations, usable or not.
func (r *Registry) Len() int { return len(r.registrations) }

// Age returns the time since the store was last read.
func (r *Registry) Age(now time.Time) time.Duration { return now.Sub(r.lastRead) }

// StoreUnavailable records that the store doesn't answer.
func (r *Registry) StoreUnavailable() { r.unavailable = true }

// StoreAvailable records that the store has answered.
func (r *Registry) StoreAvailable(now time.Time) {
	if r.unavailable {
		r.recoveredAt = now
	}
	r.unavailable = false
	r.lastRead = now
}

// StoreReadAt records that a peer relayed data read from the store at the given time. It doesn't affect the detection
// of the store's recovery, which relies on this entry's own reads.
func (r *Registry) StoreReadAt(at time.Time) {
	if at.After(r.lastRead) {
		r.lastRead = at
	}
}

// Apply applies changes that follow the known ones, up to position next. Changes of another era are ignored: they
// leave a gap that only a complete list can close.
func (r *Registry) Apply(changes []Change, next locator.Position, now time.Time) {
	if next.Era() != r.next.Era() {
		return
	}
	for _, c := range changes {
		r.apply(c, now)
	}
	r.next = locator.Later(r.next, next)
}

// SignificantChanges returns, in order, the changes that do more than confirm that an endpoint still exists.
// Endpoints write their registrations every second or so with only a new count. Relaying those of all endpoints to
// all peers would saturate the link of the reading entry.
func (r *Registry) SignificantChanges(changes []Change) []Change {
	changed := make(map[string]bool)
	for _, c := range changes {
		if !r.matches(&c) {
			changed[c.ID] = true
		}
	}
	var significant []Change
	for _, c := range changes {
		if changed[c.ID] {
			significant = append(significant, r.withSequence(c))
		}
	}
	return significant
}

// Differences returns, in the order of their IDs, the changes that turn the known registrations into the complete list
// up to position next: those that do more than confirm that an endpoint still exists, and the removals of endpoints that
// are missing from it.
func (r *Registry) Differences(all []Change, next locator.Position) []Change {
	differences := r.SignificantChanges(all)
	for _, c := range r.removals(all, next) {
		differences = append(differences, r.withSequence(c))
	}
	slices.SortFunc(differences, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return differences
}

// removals returns changes that remove the endpoints missing from the complete list up to position next, unless their
// known change is newer.
func (r *Registry) removals(all []Change, next locator.Position) []Change {
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.ID] = true
	}
	var removals []Change
	for id, reg := range r.registrations {
		if !listed[id] && reg.position.Before(next) {
			removals = append(removals, Change{ID: id, Position: locator.At(next.Era(), next.Offset()-1)})
		}
	}
	return removals
}

// withSequence adds the sequence number to the change of a removed registration. Only the entry that reads the store
// for all others knows the last record written by the endpoint itself, which distinguishes the removal from records
// restored by an older copy of the store.
func (r *Registry) withSequence(c Change) Change {
	if reg, known := r.registrations[c.ID]; known && c.Endpoint == nil && !c.Unusable {
		c.Sequence = reg.sequence
	}
	return c
}

// matches reports whether the registry already holds the contents of a change, regardless of its position.
func (r *Registry) matches(c *Change) bool {
	reg, known := r.registrations[c.ID]
	if !known || reg.unusable || !reg.removedAt.IsZero() || c.Unusable || c.Endpoint == nil {
		return false
	}
	updated := *c.Endpoint
	if updated.BecameColdSince(&reg.endpoint) {
		return false
	}
	updated.ColdUntil = reg.endpoint.ColdUntil
	if !updated.Started.Equal(reg.endpoint.Started) {
		return false
	}
	// Equal times may have different representations.
	updated.Started = reg.endpoint.Started
	updated.Region = reg.endpoint.Region
	return updated == reg.endpoint
}

// Replace applies a complete list with the newest change of every endpoint. Endpoints missing from it have been
// removed, unless their known change is newer than the end of the list.
func (r *Registry) Replace(all []Change, next locator.Position, now time.Time) {
	if r.loaded && next.Before(r.next) {
		// The list is older than the known state: a stale read would restore removed endpoints.
		return
	}
	eraChanged := r.loaded && next.Era() > r.next.Era()
	if eraChanged {
		r.eraChangedAt = now
	}
	for _, c := range all {
		if eraChanged && r.outdated(&c) {
			continue
		}
		r.apply(c, now)
	}
	for _, c := range r.removals(all, next) {
		r.remove(c, now)
	}
	r.next = next
	r.loaded = true
}

// outdated reports whether a change of a new era was already known in the previous era, or is older. The first list
// of an era comes from an older copy of the store plus what has been written again so far. Applying it unfiltered
// would restore endpoints that have departed.
func (r *Registry) outdated(c *Change) bool {
	if c.Endpoint == nil {
		return false
	}
	if reg, known := r.registrations[c.ID]; known && !reg.unusable {
		return c.compareTo(reg.endpoint.Started, reg.sequence) < 0
	}
	if d, known := r.departed[c.ID]; known {
		return c.compareTo(d.started, d.sequence) <= 0
	}
	return false
}

// compareTo compares a change with an earlier record by the same endpoint: the result is below 0 if the change is
// older, and 0 if both are the same record.
func (c *Change) compareTo(started time.Time, sequence int64) int {
	own := c.Endpoint.Started
	if !own.IsZero() && !started.IsZero() && !own.Equal(started) {
		return own.Compare(started)
	}
	return cmp.Compare(c.Sequence, sequence)
}

// SetServices sets the names of the configured services.
func (r *Registry) SetServices(names []string, now time.Time) {
	r.services = make(map[string]bool, len(names))
	for _, name := range names {
		r.services[name] = true
	}
	for _, id := range slices.Collect(maps.Keys(r.registrations)) {
		if reg, known := r.registrations[id]; known {
			r.evict(id, reg, now)
		}
	}
}

func (r *Registry) apply(c Change, now time.Time) {
	reg, known := r.registrations[c.ID]
	d, left := r.departed[c.ID]
	switch {
	case known && c.Position.Before(reg.position), left && c.Position.Before(d.position):
		return
	case c.Unusable:
		r.set(c.ID, &registration{position: c.Position, unusable: true})
		return
	case c.Endpoint == nil:
		r.remove(c, now)
		return
	case known && c.Endpoint.Started.Before(reg.endpoint.Started) && !c.Endpoint.Started.IsZero():
		// A late record of an earlier incarnation with the same ID doesn't describe the current one.
		return
	}
	added := &registration{endpoint: *c.Endpoint, position: c.Position, sequence: c.Sequence}
	added.endpoint.Region = r.regions[added.endpoint.Zone]
	r.set(c.ID, added)
	r.evict(c.ID, added, now)
	delete(r.departed, c.ID)
}

// set stores a registration, replacing any earlier one with this ID.
func (r *Registry) set(id string, reg *registration) {
	r.unset(id)
	r.usable = nil
	r.registrations[id] = reg
	if !reg.unusable {
		r.idsByAddress[reg.endpoint.Address] = append(r.idsByAddress[reg.endpoint.Address], id)
	}
}

// unset deletes the registration with this ID, if any.
func (r *Registry) unset(id string) {
	reg, known := r.registrations[id]
	if !known {
		return
	}
	delete(r.registrations, id)
	r.usable = nil
	if reg.unusable {
		return
	}
	address := reg.endpoint.Address
	others := slices.DeleteFunc(r.idsByAddress[address], func(other string) bool { return other == id })
	if len(others) == 0 {
		delete(r.idsByAddress, address)
		return
	}
	r.idsByAddress[address] = others
}

// evict drops older endpoints at a registration's address. Addresses are reused after an endpoint has ended, also by
// other services. The old registration may remain until it expires, and calls would go to the wrong process. A
// registration of a service that isn't configured evicts none: anyone may have written it, and healthy endpoints
// would be lost.
func (r *Registry) evict(newerID string, newer *registration, now time.Time) {
	if newer.unusable || r.services != nil && !r.services[newer.endpoint.Service] {
		return
	}
	ids := r.idsByAddress[newer.endpoint.Address]
	if len(ids) < 2 {
		return
	}
	for _, id := range slices.Clone(ids) {
		if reg := r.registrations[id]; id != newerID && reg.position.Before(newer.position) {
			r.drop(id, reg, now)
		}
	}
}

func (r *Registry) remove(c Change, now time.Time) {
	reg, known := r.registrations[c.ID]
	if !known || c.Position.Before(reg.position) {
		return
	}
	reg.position = c.Position
	reg.sequence = max(reg.sequence, c.Sequence)
	if reg.unusable || !r.removalUncertain(now) {
		r.drop(c.ID, reg, now)
		return
	}
	if reg.removedAt.IsZero() {
		reg.removedAt = now
		r.missing[c.ID] = true
	}
}

// drop removes an endpoint and remembers only what distinguishes its records from later ones.
func (r *Registry) drop(id string, reg *registration, now time.Time) {
	r.unset(id)
	if now.Sub(r.prunedAt) >= pruneInterval {
		maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.at) >= departureMemory })
		r.prunedAt = now
	}
	if !reg.unusable {
		r.departed[id] = departure{started: reg.endpoint.Started, position: reg.position, sequence: reg.sequence, at: now}
	}
}

// removalUncertain reports whether a missing registration may belong to a live endpoint.
func (r *Registry) removalUncertain(now time.Time) bool {
	return r.unavailable || r.inRecoveryGrace(r.recoveredAt, now) || r.inRecoveryGrace(r.eraChangedAt, now)
}

// inRecoveryGrace reports whether the store recovered so recently that endpoints may not have registered again.
func (r *Registry) inRecoveryGrace(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < r.recoveryGrace
}

// Tick drops endpoints whose removal is no longer uncertain and reports whether there were any. It is called a
// hundred times a second, so it visits only missing registrations: with thousands of endpoints, visiting all would
// take half of an entry's work.
func (r *Registry) Tick(now time.Time) bool {
	if len(r.missing) == 0 || r.removalUncertain(now) {
		return false
	}
	dropped := false
	for id := range r.missing {
		if reg, known := r.registrations[id]; known && !reg.removedAt.IsZero() {
			r.drop(id, reg, now)
			dropped = true
		}
	}
	clear(r.missing)
	return dropped
}

// Contains reports whether the registry contains an endpoint in the incarnation that began at started. A zero time
// matches any incarnation.
func (r *Registry) Contains(id string, started time.Time) bool {
	reg, known := r.registrations[id]
	return known && !reg.unusable && reg.endpoint.SameIncarnation(&Endpoint{ID: id, Started: started})
}
