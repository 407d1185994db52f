// Package switcher names the policy mechanisms that can be disabled one by one to measure their effect. All are
// enabled by default. Mechanisms that guard a promise to callers can't be disabled and are not listed.
package switcher

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of a policy mechanism.
type Mechanism string

// The policy mechanisms.
const (
	// StartedFirst schedules pieces of partly completed groups first.
	StartedFirst Mechanism = "startedFirst"
	// LateLast schedules groups last that can no longer finish on time.
	LateLast Mechanism = "lateLast"
	// LatePatience lets other groups overtake a late group that holds space, for half of the lifetime of its inputs.
	LatePatience Mechanism = "latePatience"
	// LateGivenUp reports to late groups, once half of their time is over, that they will most likely not be
	// completed.
	LateGivenUp Mechanism = "lateGivenUp"
	// FairShare delays client accounts that recently used more than their share.
	FairShare Mechanism = "fairShare"
	// RoomWait makes a free endpoint wait until there is space for half a call.
	RoomWait Mechanism = "roomWait"
	// NearFirst makes an endpoint prefer groups of its own availability zone.
	NearFirst Mechanism = "nearFirst"
	// ZoneWait makes groups wait for an endpoint of their availability zone.
	ZoneWait Mechanism = "zoneWait"
	// FetchedFreed frees a stage's inputs as soon as they are fetched while space is short.
	FetchedFreed Mechanism = "fetchedFreed"
	// PassageLeft reserves the current turnaround of the later stages in due times.
	PassageLeft Mechanism = "passageLeft"
	// ClassLoads predicts the waits and turnarounds of stages by priority.
	ClassLoads Mechanism = "classLoads"
	// RouteRank puts requests of more urgent routes first among those whose client accounts have the same priority.
	RouteRank Mechanism = "routeRank"
	// LargeLate delays large results that no stage consumes until the other stages are nearly done.
	LargeLate Mechanism = "largeLate"
	// OverloadRefused refuses requests immediately if, given the queues at the stages, they can't be served before
	// their callers leave.
	OverloadRefused Mechanism = "overloadRefused"
	// OneCollector makes one entry collect the pieces for each stage's service.
	OneCollector Mechanism = "oneCollector"
	// SettledDuty makes a new entry wait until it has heard its peers before it assigns duties.
	SettledDuty Mechanism = "settledDuty"
	// DutyFollowed returns waiting pieces once another entry has taken over the duty.
	DutyFollowed Mechanism = "dutyFollowed"
	// PromptHomes keeps the shared parts of a prompt at one or two model engines.
	PromptHomes Mechanism = "promptHomes"
	// PromptReports places prompts where peers report to have sent them.
	PromptReports Mechanism = "promptReports"
	// EndpointSpeeds compares endpoints by their estimated speeds.
	EndpointSpeeds Mechanism = "endpointSpeeds"
	// NearResults considers results that must cross availability zones when choosing a model engine.
	NearResults Mechanism = "nearResults"
	// Ejection stops using endpoints that fail or are slow.
	Ejection Mechanism = "ejection"
	// Hedging sends a request that is still unanswered, and that may run twice, to another endpoint before its
	// objective has passed.
	Hedging Mechanism = "hedging"
)

// All returns the mechanisms in the order in which a request encounters them.
func All() []Mechanism {
	return []Mechanism{
		OverloadRefused, OneCollector, SettledDuty, DutyFollowed, PassageLeft, ClassLoads, RouteRank, LargeLate,
		StartedFirst, LateLast, LatePatience, LateGivenUp, FairShare, RoomWait, NearFirst, ZoneWait, FetchedFreed,
		PromptHomes, PromptReports, EndpointSpeeds, NearResults, Ejection, Hedging,
	}
}

// UnknownMechanismError reports a name that doesn't belong to any mechanism.
type UnknownMechanismError struct{ Name string }

func (e *UnknownMechanismError) Error() string {
	names := make([]string, 0, len(All()))
	for _, m := range All() {
		names = append(names, string(m))
	}
	return fmt.Sprintf("unknown mechanism %q; known mechanisms: %s", e.Name, strings.Join(names, ", "))
}

// Disabled is a set of disabled mechanisms. The zero value disables none.
type Disabled struct{ names map[Mechanism]bool }

// Disable returns the set of the named mechanisms. It returns an *UnknownMechanismError if a name is unknown.
func Disable(names ...string) (Disabled, error) {
	disabled := Disabled{names: make(map[Mechanism]bool, len(names))}
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return Disabled{}, &UnknownMechanismError{Name: name}
		}
		disabled.names[Mechanism(name)] = true
	}
	return disabled, nil
}

// Has reports whether a mechanism is disabled.
func (d Disabled) Has(m Mechanism) bool { return d.names[m] }

// Names returns the names of the disabled mechanisms, in the order of All.
func (d Disabled) Names() []string {
	names := make([]string, 0, len(d.names))
	for _, m := range All() {
		if d.Has(m) {
			names = append(names, string(m))
		}
	}
	return names
}
