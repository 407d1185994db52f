// Package switcher names the mechanisms of policy that can be switched off one by one, to measure what each is worth. All
// are on by default. None guards a promise to callers: those have no switch.
package switcher

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one mechanism of policy.
type Mechanism string

// The mechanisms.
const (
	// StartedFirst has pieces of groups of which a part is made go first.
	StartedFirst Mechanism = "startedFirst"
	// LateLast puts groups last that can no longer be on time.
	LateLast Mechanism = "lateLast"
	// LatePatience lets others pass a late group that holds space for half of the time that its inputs live.
	LatePatience Mechanism = "latePatience"
	// LateGivenUp tells late groups by half of their time that they will most likely not be made.
	LateGivenUp Mechanism = "lateGivenUp"
	// FairShare has client accounts yield that had more than their share lately.
	FairShare Mechanism = "fairShare"
	// RoomWait has a free endpoint wait for space for half a call.
	RoomWait Mechanism = "roomWait"
	// NearFirst has an endpoint take groups of its own availability zone first.
	NearFirst Mechanism = "nearFirst"
	// ZoneWait has groups wait for an endpoint of their availability zone.
	ZoneWait Mechanism = "zoneWait"
	// FetchedFreed frees a stage's inputs once they are fetched, while space is short.
	FetchedFreed Mechanism = "fetchedFreed"
	// PassageLeft has due times leave what groups take at the later stages at present.
	PassageLeft Mechanism = "passageLeft"
	// LargeLate makes large results that no stage takes when the other stages are nearly done.
	LargeLate Mechanism = "largeLate"
	// OverloadRefused refuses at once what can't be served before its caller leaves, by what waits at the stages.
	OverloadRefused Mechanism = "overloadRefused"
	// OneCollector has one entry collect for each stage's service.
	OneCollector Mechanism = "oneCollector"
	// SettledDuty has a new entry hear its peers before it gives duties to anybody.
	SettledDuty Mechanism = "settledDuty"
	// DutyFollowed gives waiting pieces back once another entry has the duty.
	DutyFollowed Mechanism = "dutyFollowed"
	// PromptHomes keeps a prompt's shared parts at one or two model engines.
	PromptHomes Mechanism = "promptHomes"
	// NearResults weighs results that must cross availability zones when a model engine is chosen.
	NearResults Mechanism = "nearResults"
	// Ejection takes endpoints out of use that fail or are slow.
	Ejection Mechanism = "ejection"
	// Hedging sends a silent request that may run twice to another endpoint before its objective is over.
	Hedging Mechanism = "hedging"
)

// All lists the mechanisms in the order in which a request meets them.
func All() []Mechanism {
	return []Mechanism{
		OverloadRefused, OneCollector, SettledDuty, DutyFollowed, PassageLeft, LargeLate, StartedFirst, LateLast,
		LatePatience, LateGivenUp, FairShare, RoomWait, NearFirst, ZoneWait, FetchedFreed, PromptHomes, NearResults,
		Ejection, Hedging,
	}
}

// UnknownMechanismError tells of a name that is no mechanism's.
type UnknownMechanismError struct{ Name string }

func (e *UnknownMechanismError) Error() string {
	names := make([]string, 0, len(All()))
	for _, m := range All() {
		names = append(names, string(m))
	}
	return fmt.Sprintf("no mechanism is named %q; there are %s", e.Name, strings.Join(names, ", "))
}

// Disabled holds the mechanisms that are switched off. The zero value has all on.
type Disabled struct{ names map[Mechanism]bool }

// Disable switches the named mechanisms off. It fails with an *UnknownError.
func Disable(names ...string) (Disabled, error) {
	off := Disabled{names: make(map[Mechanism]bool, len(names))}
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return Disabled{}, &UnknownMechanismError{Name: name}
		}
		off.names[Mechanism(name)] = true
	}
	return off, nil
}

// Has tells whether a mechanism is switched off.
func (o Disabled) Has(m Mechanism) bool { return o.names[m] }

// Names lists what is switched off.
func (o Disabled) Names() []string {
	names := make([]string, 0, len(o.names))
	for _, m := range All() {
		if o.Has(m) {
			names = append(names, string(m))
		}
	}
	return names
}
