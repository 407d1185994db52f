package forwarder

import (
	"slices"
	"time"

	"geraniumline/collector"
	"geraniumline/detector"
	"geraniumline/divider"
	"geraniumline/hasher"
	"geraniumline/switcher"
)

const (
	// settleTime is the longest time after its start that an entry waits to discover its peers before it assigns
	// duties: four attempts to reach a VM that is down. stableTime is how long no peer may have become live for it to
	// assign them earlier: two heartbeats. After a power loss of the whole system, each entry would otherwise collect
	// for itself: calls find full endpoints, while the other entries hold a piece or two each.
	settleTime = time.Second
	stableTime = 300 * time.Millisecond
	// returnPiecesAfter is how long another entry must have owned a duty before this one returns its waiting pieces.
	// A peer that is only briefly suspected recovers within this time.
	returnPiecesAfter = 250 * time.Millisecond
)

// settling reports whether this entry started so recently that it may not know its peers yet, and has detected
// no live peer that has been running for longer, which would report all others. The lock must be held.
func (f *Forwarder) settling(now time.Time) bool {
	if f.cfg.Disabled.Has(switcher.SettledDuty) {
		return false
	}
	if now.Sub(f.startTime) >= settleTime || !f.peerLiveAt.IsZero() && now.Sub(f.peerLiveAt) >= stableTime {
		return false
	}
	for m := range f.detector.All() {
		if m.Name != f.cfg.Name && m.State == detector.Live && m.Incarnation+uint64(settleTime) < f.cfg.Incarnation {
			return false
		}
	}
	return true
}

// returnWaitingPieces returns the pieces that wait here to their entries once another entry owns the duty of
// collecting them. Two entries that fill the same endpoints keep each other's calls small and their space full. The
// lock must be held.
func (f *Forwarder) returnWaitingPieces(now time.Time) []func() {
	if f.cfg.Disabled.Has(switcher.DutyFollowed) || f.cfg.Disabled.Has(switcher.OneCollector) {
		return nil
	}
	var actions []func()
	for service, p := range f.pools {
		owner, known := f.owner(service, nil)
		if !known || owner == f.cfg.Name {
			delete(f.otherOwnerSince, service)
			continue
		}
		since, noted := f.otherOwnerSince[service]
		if !noted {
			f.otherOwnerSince[service] = now
			continue
		}
		if now.Sub(since) >= returnPiecesAfter && p.WaitingPieces() > 0 {
			actions = append(actions, f.performAll(service, p, p.Reduce(collector.Reassigned{}, now))...)
		}
	}
	return actions
}

// linkWeight is the capacity, in thousandths of a core, that counts for a Mbit/s of a VM's link. The frames and calls
// of a collecting entry take some 5 Mbit/s at a quarter of a core.
const linkWeight = 50

// CapacityOf combines a VM's processor, in cores, and its link, in Mbit/s, in one figure in thousandths of a core.
// The lesser of the two bounds the work that the VM can handle.
func CapacityOf(cores, linkMbps float64) int {
	return int(min(1000*cores, linkWeight*linkMbps))
}

// owner returns the entry that owns a duty: the one with the highest rank among the live entries on large VMs. VMs
// with under half the capacity of the largest one own duties only if no other is left, since the work of a duty does
// not shrink with its VM. The lock must be held.
func (f *Forwarder) owner(duty string, avoid []string) (string, bool) {
	if len(avoid) > 0 {
		large, _ := f.eligibleEntries(avoid)
		return hasher.Owner(duty, exclude(f.filterByZone(duty, large), f.earlierOwners(duty)))
	}
	if f.duties.owners == nil {
		f.duties.owners = make(map[string]string)
		f.duties.ranks = make(map[string]int)
		f.duties.large, f.duties.small = f.eligibleEntries(nil)
	}
	if owner, found := f.duties.owners[duty]; found {
		return owner, owner != ""
	}
	owner, found := hasher.Owner(duty, exclude(f.filterByZone(duty, f.duties.large), f.earlierOwners(duty)))
	f.duties.owners[duty] = owner
	return owner, found
}

// earlierOwners returns the entries that collect for the stage services before this one in name order. Each service
// gets a collecting entry of its own: one that collected for two of three services in a burst on half a core stalled
// for half a second at a time, and entries that waited for its response delegated to others. The lock must be held.
func (f *Forwarder) earlierOwners(duty string) []string {
	if f.catalog == nil {
		return nil
	}
	var owners []string
	for _, service := range f.catalog.StageServices() {
		for _, pool := range f.divider.Pools(service) {
			if pool.String() == duty {
				return owners
			}
			if owner, known := f.owner(pool.String(), nil); known {
				owners = append(owners, owner)
			}
		}
	}
	return nil
}

// filterByZone returns the entries in the zone of the endpoints that a duty collects for, or all if there are none.
// Calls and frees then stay in the zone, and the loss of a zone takes no other zone's collecting entry with it. The
// lock must be held.
func (f *Forwarder) filterByZone(duty string, names []string) []string {
	zone := divider.Parse(duty).Zone
	if zone == "" {
		return names
	}
	inZone := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		m, known := f.detector.Member(name)
		return !known || m.Zone != zone
	})
	if len(inZone) == 0 {
		return names
	}
	return inZone
}

// exclude returns names without those in excluded, or all names if none would be left.
func exclude(names, excluded []string) []string {
	remaining := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(excluded, name) })
	if len(remaining) == 0 {
		return names
	}
	return remaining
}

// rank returns the number of live entries that come before this one in the order for a duty. Entries on small VMs
// come after all others. The lock must be held.
func (f *Forwarder) rank(duty string) int {
	owner, known := f.owner(duty, nil)
	if !known || owner == f.cfg.Name {
		return 0
	}
	if rank, found := f.duties.ranks[duty]; found {
		return rank
	}
	rank := hasher.Rank(duty, f.duties.large, f.cfg.Name)
	if !slices.Contains(f.duties.large, f.cfg.Name) {
		// If small VMs' entries were ranked among those on large VMs, dozens would have the same rank and take up a
		// duty together.
		rank = len(f.duties.large) + hasher.Rank(duty, f.duties.small, f.cfg.Name)
	}
	f.duties.ranks[duty] = rank
	return rank
}

// duties caches which entries are eligible for duties and which one owns each, until an input of that decision
// changes. It is queried for each delegation, each freed result and each tick of each pool.
type duties struct {
	// large holds the live entries on large VMs, small all other live ones.
	large  []string
	small  []string
	owners map[string]string
	ranks  map[string]int
}

// reset clears the cache.
func (d *duties) reset() { *d = duties{} }

// eligibleForDuty reports whether an entry may own a duty. Until this entry has loaded what it needs,
// peers that have not count too: when all entries start together none is live yet, and each would otherwise
// consider itself the only one. The lock must be held.
func (f *Forwarder) eligibleForDuty(m *detector.Member) bool {
	starting := !f.loaded()
	return m.State == detector.Live || starting && m.State == detector.Suspect
}

// eligibleEntries returns the live entries on large and on small VMs, except those to avoid. The lock must be held.
func (f *Forwarder) eligibleEntries(avoid []string) (large, small []string) {
	largest := int32(0)
	for m := range f.detector.All() {
		if f.eligibleForDuty(m) && !slices.Contains(avoid, m.Name) {
			largest = max(largest, m.Capacity)
		}
	}
	for m := range f.detector.All() {
		switch {
		case !f.eligibleForDuty(m) || slices.Contains(avoid, m.Name):
		case 2*m.Capacity >= largest:
			large = append(large, m.Name)
		default:
			small = append(small, m.Name)
		}
	}
	return large, small
}
