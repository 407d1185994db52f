// Package evacuator keeps which availability zones the operator has evacuated: their endpoints get no new work until the
// operator takes that back. It is pure: the present time is given to it.
package evacuator

import (
	"maps"
	"slices"
	"time"

	"geraniumline/locator"
)

// HoldTime is how long an evacuation that an older copy of the store lacks stays in force. The operator writes it again within
// about two seconds of the store's return.
const HoldTime = 5 * time.Second

// Change is one of the operator's records on an availability zone.
type Change struct {
	Zone string
	// Position orders the records.
	Position locator.Position
	// Evacuated is false where the evacuation was taken back.
	Evacuated bool
}

// State is all that the operator's records say up to a position. Entries tell it to each other.
type State struct {
	// Next is the position after the newest record that was taken in; zero where none was.
	Next locator.Position
	// Zones are the evacuated ones in the order of their names.
	Zones []string
	// Held are further zones, evacuated in the era before, of which the store says nothing in this one.
	Held []string
}

// Evacuator folds the operator's records. What the store and what peers tell go by one position, so that a stale read or
// a peer that has not heard yet never brings back a state that the operator has ended.
type Evacuator struct {
	next  locator.Position
	zones map[string]bool
	// held gives until when zones are held that an older copy of the store lacks.
	held map[string]time.Time
	// endedAt is when the evacuation of a zone was seen to be taken back.
	endedAt map[string]time.Time
}

// New makes an evacuator that knows no record.
func New() *Evacuator {
	return &Evacuator{
		zones:   make(map[string]bool),
		held:    make(map[string]time.Time),
		endedAt: make(map[string]time.Time),
	}
}

// State gives what is known.
func (e *Evacuator) State() State {
	return State{Next: e.next, Zones: slices.Sorted(maps.Keys(e.zones)), Held: slices.Sorted(maps.Keys(e.held))}
}

// Evacuated tells whether the endpoints of a zone get no new work.
func (e *Evacuator) Evacuated(zone string) bool {
	_, held := e.held[zone]
	return held || e.zones[zone]
}

// all gives the zones whose endpoints get no new work.
func (e *Evacuator) all() map[string]bool {
	all := maps.Clone(e.zones)
	for zone := range e.held {
		all[zone] = true
	}
	return all
}

// EndedAt is when the newest evacuation of a zone was seen to be taken back, zero if none was.
func (e *Evacuator) EndedAt(zone string) time.Time { return e.endedAt[zone] }

// Apply takes the records that follow those known, up to the position next, and tells whether any zone's state changed. Those
// that a peer has told already are passed over, and so are those of another era: they leave a gap.
func (e *Evacuator) Apply(changes []Change, next locator.Position, now time.Time) bool {
	if !e.next.Before(next) || next.Era() != e.next.Era() {
		return false
	}
	before := e.all()
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
	return e.changed(before, now)
}

// Replace takes a whole state, from the store's newest records or from a peer, and tells whether any zone's state changed. An
// older one than that known is dropped. Of a new era, what was evacuated in the era before is held: the store may have
// returned from a copy that is older than the operator's record.
func (e *Evacuator) Replace(s State, now time.Time) bool {
	if !e.next.Before(s.Next) {
		return false
	}
	before := e.all()
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
	return e.changed(before, now)
}

func (e *Evacuator) hold(zones []string, now time.Time) {
	for _, zone := range zones {
		if _, held := e.held[zone]; !held {
			e.held[zone] = now.Add(HoldTime)
		}
	}
}

// Tick ends the holding of zones that the operator has not named again, and tells whether there were any.
func (e *Evacuator) Tick(now time.Time) bool {
	if len(e.held) == 0 {
		return false
	}
	before := e.all()
	maps.DeleteFunc(e.held, func(_ string, until time.Time) bool { return !now.Before(until) })
	return e.changed(before, now)
}

// changed notes which zones' evacuation has ended, and tells whether any zone's state is another than before.
func (e *Evacuator) changed(before map[string]bool, now time.Time) bool {
	after := e.all()
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
