// Package evacuator keeps which availability zones the operator has evacuated: their endpoints get no new work until the
// operator takes that back. It is pure: the present time is given to it.
package evacuator

import (
	"maps"
	"slices"
	"time"
)

// Change is one of the operator's records on an availability zone.
type Change struct {
	Zone string
	// Offset orders the records.
	Offset int64
	// Evacuated is false where the evacuation was taken back.
	Evacuated bool
}

// State is all that the operator's records say up to an offset. Entries tell it to each other.
type State struct {
	// Next is the offset after the newest record that was taken in; 0 where none was.
	Next int64
	// Zones are the evacuated ones in the order of their names.
	Zones []string
}

// Evacuator folds the operator's records. Word from the store and word from peers go by one offset, so that a stale read or
// a peer that has not heard yet never brings back a state that the operator has ended.
type Evacuator struct {
	next  int64
	zones map[string]bool
	// endedAt is when the evacuation of a zone was seen to be taken back.
	endedAt map[string]time.Time
}

// New makes an evacuator that knows no record.
func New() *Evacuator {
	return &Evacuator{zones: make(map[string]bool), endedAt: make(map[string]time.Time)}
}

// State gives what is known.
func (e *Evacuator) State() State {
	return State{Next: e.next, Zones: slices.Sorted(maps.Keys(e.zones))}
}

// Evacuated tells whether the endpoints of a zone get no new work.
func (e *Evacuator) Evacuated(zone string) bool { return e.zones[zone] }

// EndedAt is when the newest evacuation of a zone was seen to be taken back, zero if none was.
func (e *Evacuator) EndedAt(zone string) time.Time { return e.endedAt[zone] }

// Apply takes the records that follow those known, up to the offset next, and tells whether any zone's state changed. Those
// that a peer's word has brought already are passed over.
func (e *Evacuator) Apply(changes []Change, next int64, now time.Time) bool {
	if next <= e.next {
		return false
	}
	zones := maps.Clone(e.zones)
	for _, c := range changes {
		switch {
		case c.Offset < e.next:
		case c.Evacuated:
			zones[c.Zone] = true
		default:
			delete(zones, c.Zone)
		}
	}
	return e.set(zones, next, now)
}

// Take takes a whole state, from the store's newest records or from a peer, and tells whether any zone's state changed. An
// older one than that known is dropped.
func (e *Evacuator) Take(s State, now time.Time) bool {
	if s.Next <= e.next {
		return false
	}
	zones := make(map[string]bool, len(s.Zones))
	for _, zone := range s.Zones {
		zones[zone] = true
	}
	return e.set(zones, s.Next, now)
}

func (e *Evacuator) set(zones map[string]bool, next int64, now time.Time) bool {
	changed := !maps.Equal(e.zones, zones)
	for zone := range e.zones {
		if !zones[zone] {
			e.endedAt[zone] = now
		}
	}
	for zone := range zones {
		delete(e.endedAt, zone)
	}
	e.zones = zones
	e.next = next
	return changed
}
