// Package pathfinder decides whether an entry's calls go to endpoints directly or through a peer, which relays them. A
// network partition may separate an entry from the endpoints while its callers and its peers still reach it. The package
// has no clock of its own: callers pass in the current time.
package pathfinder

import (
	"iter"
	"time"
)

const (
	// failureTTL is how long a failed connection counts as evidence of a partition. Entries with few requests make new
	// connections seconds apart.
	failureTTL = 5 * time.Second
	// minFailed is the number of endpoints that must be unreachable for the cause to lie with this entry's links. A
	// single one has more likely ended.
	minFailed = 2
	// probeInterval is the minimum time between two direct probes while calls are relayed.
	probeInterval = 500 * time.Millisecond
	// checkInterval is the minimum time between two checks of suspected links. It is below the interval of heartbeats, as
	// an entry reports ended endpoints to its peers only while it doesn't suspect its links.
	checkInterval = 100 * time.Millisecond
	// provenFor is how long a new connection to an endpoint proves that this entry's links work.
	provenFor = 2 * time.Second
	// relayPause is how long a peer that couldn't relay a call is not asked again, and zonePause how long the others in its
	// availability zone are asked only if there are none elsewhere. A partition often has a whole zone.
	relayPause = 3 * time.Second
	zonePause  = time.Second
	// relayMemory is how long a peer that has relayed a call is preferred, and fewRelays the number of such peers below
	// which others are tried too, so that one peer doesn't get all calls.
	relayMemory = 5 * time.Second
	fewRelays   = 3
	// detourTTL is how long an endpoint without calls keeps its detour.
	detourTTL = 30 * time.Second
	// maxProbed bounds the endpoints that are probed in turn.
	maxProbed = 64
)

// Finder tracks which endpoints this entry reaches directly. Its zero value is not usable.
type Finder struct {
	// failedAt holds the time of the newest failed connection to each endpoint not reached since, by address.
	failedAt map[string]time.Time
	// reachedAt is when this entry last opened a connection to an endpoint.
	reachedAt time.Time
	// detours holds the endpoints that only peers reach, with the time of the last call to each.
	detours map[string]time.Time
	// partitioned is set while no endpoint is considered reachable directly.
	partitioned bool
	// probedAt holds the endpoints to probe, with the time of the last probe of each.
	probedAt  map[string]time.Time
	lastProbe time.Time
	// lastCheck is the time of the last check of suspected links.
	lastCheck time.Time
	// pausedUntil and zonePausedUntil hold the peers that couldn't relay a call and their zones, relayedAt when a peer last
	// relayed one.
	pausedUntil, zonePausedUntil, relayedAt map[string]time.Time
}

// New returns a Finder that sends all calls directly.
func New() *Finder {
	return &Finder{
		failedAt:        make(map[string]time.Time),
		detours:         make(map[string]time.Time),
		probedAt:        make(map[string]time.Time),
		pausedUntil:     make(map[string]time.Time),
		zonePausedUntil: make(map[string]time.Time),
		relayedAt:       make(map[string]time.Time),
	}
}

// Partitioned reports whether this entry is considered partitioned from all endpoints.
func (f *Finder) Partitioned() bool { return f.partitioned }

// Detours returns the number of endpoints that only peers reach.
func (f *Finder) Detours() int { return len(f.detours) }

// HasDetour reports whether only peers reach an endpoint.
func (f *Finder) HasDetour(address string) bool {
	_, detour := f.detours[address]
	return detour
}

// PrefersRelay reports whether a call should be relayed without trying the direct path first.
func (f *Finder) PrefersRelay(address string, now time.Time) bool {
	return f.HasDetour(address) || f.Suspect(now)
}

// Suspect reports whether this entry's links are likely to have failed: several endpoints were unreachable since one was
// last reached.
func (f *Finder) Suspect(now time.Time) bool {
	return f.partitioned || f.recentFailures(now) >= minFailed
}

// Proven reports whether this entry has recently reached an endpoint, so that another one that it can't reach is down.
func (f *Finder) Proven(now time.Time) bool {
	return !f.Suspect(now) && !f.reachedAt.IsZero() && now.Sub(f.reachedAt) < provenFor
}

// recentFailures counts the endpoints that were unreachable since any was last reached.
func (f *Finder) recentFailures(now time.Time) int {
	n := 0
	for address, at := range f.failedAt {
		if now.Sub(at) >= failureTTL {
			delete(f.failedAt, address)
			continue
		}
		if at.After(f.reachedAt) {
			n++
		}
	}
	return n
}

// RecordReached records a new direct connection to an endpoint. It reports whether this ends a partition.
func (f *Finder) RecordReached(address string, now time.Time) bool {
	f.reachedAt = now
	delete(f.failedAt, address)
	delete(f.detours, address)
	delete(f.probedAt, address)
	if !f.partitioned {
		return false
	}
	f.partitioned = false
	for other := range f.probedAt {
		if !f.HasDetour(other) {
			delete(f.probedAt, other)
		}
	}
	return true
}

// RecordAnswered records an answer on an open connection. Such a connection may outlive the ability to open others, so the
// endpoint is only one to probe.
func (f *Finder) RecordAnswered(address string, now time.Time) {
	if f.Suspect(now) {
		f.addProbe(address)
	}
}

// RecordFailed records that a direct connection to an endpoint failed. It reports whether the call should be relayed. A
// peer answers for a refused connection within a round trip; silence is more expensive to check, so it takes more
// evidence: other endpoints, or a second failure.
func (f *Finder) RecordFailed(address string, refused bool, now time.Time) bool {
	before, again := f.failedAt[address]
	again = again && now.Sub(before) < failureTTL
	f.failedAt[address] = now
	return refused || again || f.Suspect(now)
}

// RecordRelayed records that a peer reached an endpoint. It reports whether this starts a partition.
func (f *Finder) RecordRelayed(address, peer string, now time.Time) bool {
	f.relayedAt[peer] = now
	at, failed := f.failedAt[address]
	failed = failed && now.Sub(at) < failureTTL
	if failed || f.HasDetour(address) {
		f.detours[address] = now
	}
	starts := !f.partitioned && f.Suspect(now)
	f.partitioned = f.partitioned || starts
	if f.PrefersRelay(address, now) {
		f.addProbe(address)
	}
	return starts
}

// addProbe adds an endpoint to those that are probed directly.
func (f *Finder) addProbe(address string) {
	if _, known := f.probedAt[address]; !known && len(f.probedAt) < maxProbed {
		f.probedAt[address] = time.Time{}
	}
}

// RecordDown records that a peer that reaches other endpoints doesn't reach this one either: the cause lies with the
// endpoint.
func (f *Finder) RecordDown(address string) {
	delete(f.failedAt, address)
	delete(f.detours, address)
	delete(f.probedAt, address)
}

// DueProbe returns the endpoint to connect to next in order to detect that the direct path works again, if one is due.
func (f *Finder) DueProbe(now time.Time) (address string, due bool) {
	for other, usedAt := range f.detours {
		if now.Sub(usedAt) >= detourTTL {
			f.RecordDown(other)
		}
	}
	if len(f.probedAt) == 0 || now.Sub(f.lastProbe) < probeInterval {
		return "", false
	}
	for other, at := range f.probedAt {
		if !due || at.Before(f.probedAt[address]) || at.Equal(f.probedAt[address]) && other < address {
			address, due = other, true
		}
	}
	f.probedAt[address] = now
	f.lastProbe = now
	return address, true
}

// DueCheck returns the endpoint to connect to next in order to find out whether this entry's links have failed or just the
// endpoints that it couldn't connect to, if a check is due: the first of the addresses that this entry has not recently
// failed to connect to. Answers on open connections don't decide this, since such connections may outlive the ability to
// open others. A confirmed partition is not checked here but by probes.
func (f *Finder) DueCheck(addresses iter.Seq[string], now time.Time) (address string, due bool) {
	if f.partitioned || !f.Suspect(now) || now.Sub(f.lastCheck) < checkInterval {
		return "", false
	}
	for address := range addresses {
		if _, failed := f.failedAt[address]; !failed {
			f.lastCheck = now
			return address, true
		}
	}
	return "", false
}
