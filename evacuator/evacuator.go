// Package evacuator tracks which availability zones the operator has evacuated: their endpoints receive no new work
// until the operator ends the evacuation. It is pure: callers pass in the current time.
package evacuator

import (
	"maps"
	"slices"
	"time"

	"geraniumline/locator"
)

// HoldTime is how long an evacuation that is missing from an older copy of the store stays in force. The operator
// writes it again within about two seconds of the store's recovery.
const HoldTime = 5 * time.Second

// Change is one record by the operator about an availability zone.
type Change struct {
	Zone string
	// Position is the position of the record in the store, which orders the changes.
	Position locator.Position
	// Evacuated is false if the record ends the evacuation.
	Evacuated bool
}

// State is the combined effect of the operator's records up to a position. Entries exchange it.
type State struct {
	// Next is the position after the newest applied record; zero if there is none.
	Next locator.Position
	// Zones are the evacuated zones, sorted by name.
	Zones []string
	// Held are further zones that were evacuated in the previous era and that the store doesn't mention in this one.
	Held []string
}

// Evacuator applies the operator's records. Updates from the store and from peers are ordered by the same position,
// so a stale read or a peer that lags behind never restores a state that the operator has ended.
type Evacuator struct {
	next  locator.Position
	zones map[string]bool
	// held maps zones whose evacuation is missing from an older copy of the store to when their hold ends.
	held map[string]time.Time
	// endedAt is when the end of a zone's evacuation was observed.
	endedAt map[string]time.Time
}

// New returns an Evacuator without any records.
func New() *Evacuator {
	return &Evacuator{
		zones:   make(map[string]bool),
		held:    make(map[string]time.Time),
		endedAt: make(map[string]time.Time),
	}
}

// Loaded reports whether the operator's records have been read, here or by a peer. No zone counts as evacuated before, which
// doesn't mean that none is.
func (e *Evacuator) Loaded() bool { return locator.Position{}.Before(e.next) }

// State returns the current state.
func (e *Evacuator) State() State {
	return State{Next: e.next, Zones: slices.Sorted(maps.Keys(e.zones)), Held: slices.Sorted(maps.Keys(e.held))}
}

// Evacuated reports whether the endpoints of a zone receive no new work.
func (e *Evacuator) Evacuated(zone string) bool {
	_, held := e.held[zone]
	return held || e.zones[zone]
}

// evacuatedZones returns the zones whose endpoints receive no new work.
func (e *Evacuator) evacuatedZones() map[string]bool {
	zones := maps.Clone(e.zones)
	for zone := range e.held {
		zones[zone] = true
	}
	return zones
}

// EndedAt returns when the end of a zone's latest evacuation was observed. It is zero if none has ended or the zone
// is evacuated.
func (e *Evacuator) EndedAt(zone string) time.Time { return e.endedAt[zone] }

// Apply applies the records that follow the known ones, up to position next, and reports whether any zone's state
// changed. Records that were already received through a peer are skipped. Records of another era are ignored, since
// they leave a gap.
func (e *Evacuator) Apply(changes []Change, next locator.Position, now time.Time) bool {
	if !e.next.Before(next) || next.Era() != e.next.Era() {
		return false
	}
	before := e.evacuatedZones()
	for _, c := range changes {
		if c.Position.Before(e.next) {
			continue
		}
		delete(e.held, c.Zone)
		if c.Evacuated {
			e.zones[c.Zone] = true
		} else {
			delete(e.zones, c.Zone)
		}
	}
	e.next = next
	return e.recordChanges(before, now)
}

// Replace replaces the state by one built from the newest records in the store or received from a peer, and reports
// whether any zone's state changed. A state older than the current one is ignored. If a new era has begun, zones
// evacuated in the previous era are held, since the store may have been restored from a copy older than the
// operator's record.
func (e *Evacuator) Replace(s State, now time.Time) bool {
	if !e.next.Before(s.Next) {
		return false
	}
	before := e.evacuatedZones()
	if s.Next.Era() > e.next.Era() {
		e.hold(slices.Collect(maps.Keys(e.zones)), now)
	}
	e.hold(s.Held, now)
	e.zones = make(map[string]bool, len(s.Zones))
	for _, zone := range s.Zones {
		e.zones[zone] = true
		delete(e.held, zone)
	}
	e.next = s.Next
	return e.recordChanges(before, now)
}

func (e *Evacuator) hold(zones []string, now time.Time) {
	for _, zone := range zones {
		if _, held := e.held[zone]; !held {
			e.held[zone] = now.Add(HoldTime)
		}
	}
}

// Tick releases held zones whose hold has expired, and reports whether any zone's state changed.
func (e *Evacuator) Tick(now time.Time) bool {
	if len(e.held) == 0 {
		return false
	}
	before := e.evacuatedZones()
	maps.DeleteFunc(e.held, func(_ string, until time.Time) bool { return !now.Before(until) })
	return e.recordChanges(before, now)
}

// recordChanges records which zones' evacuation has ended since before, and reports whether any zone's state changed.
func (e *Evacuator) recordChanges(before map[string]bool, now time.Time) bool {
	after := e.evacuatedZones()
	for zone := range before {
		if !after[zone] {
			e.endedAt[zone] = now
		}
	}
	for zone := range after {
		delete(e.endedAt, zone)
	}
	return !maps.Equal(before, after)
}
