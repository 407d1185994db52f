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
	// settleTime is the longest that an entry waits after its start to hear its peers before it gives duties to anybody:
	// four tries to reach a VM that is down. calmTime is how long no peer may have become live for it to give them sooner,
	// two heartbeats. After a loss of all power each entry would else collect for itself: calls find endpoints full, and the
	// others hold a piece or two each.
	settleTime = time.Second
	calmTime   = 300 * time.Millisecond
	// handBackAfter is how long another entry must have had a duty before this one gives its waiting pieces back: a peer
	// that is suspected for a moment comes back within it.
	handBackAfter = 250 * time.Millisecond
)

// settling tells whether this entry has begun so lately that it may not know its peers yet, and none that it hears has
// been there for longer: such a one tells of all others. The lock is held.
func (f *Forwarder) settling(now time.Time) bool {
	if f.cfg.Off.Has(switcher.SettledDuty) {
		return false
	}
	if now.Sub(f.began) >= settleTime || !f.peerLiveAt.IsZero() && now.Sub(f.peerLiveAt) >= calmTime {
		return false
	}
	for _, m := range f.detector.Members() {
		if m.Name != f.cfg.Name && m.State == detector.Live && m.Incarnation+uint64(settleTime) < f.cfg.Incarnation {
			return false
		}
	}
	return true
}

// handBack gives the pieces that wait here back to their entries once another one has the duty of collecting them. Two
// that fill the same endpoints keep each other's calls short and their space full. The lock is held.
func (f *Forwarder) handBack(now time.Time) []func() {
	if f.cfg.Off.Has(switcher.DutyFollowed) || f.cfg.Off.Has(switcher.OneCollector) {
		return nil
	}
	var todo []func()
	for service, p := range f.pools {
		owner, known := f.owner(service, nil)
		if !known || owner == f.cfg.Name {
			delete(f.otherSince, service)
			continue
		}
		since, noted := f.otherSince[service]
		if !noted {
			f.otherSince[service] = now
			continue
		}
		if now.Sub(since) >= handBackAfter && p.WaitingPieces() > 0 {
			todo = append(todo, f.performAll(service, p, p.Reduce(collector.Reassigned{}, now))...)
		}
	}
	return todo
}

// linkWeight is the capacity that a Mbit/s of a VM's link counts for. A collecting entry's frames and calls take some
// 5 Mbit/s at a processor's quarter core.
const linkWeight = 50

// CapacityOf puts a VM's processor, in cores, and its link into one figure, in thousandths of a core: what it can carry is
// bound by the lesser.
func CapacityOf(cores, linkMbps float64) int {
	return int(min(1000*cores, linkWeight*linkMbps))
}

// owner gives the entry that a duty falls to: of the live ones on large VMs the one with the highest rank. VMs of under
// half the largest one's capacity get duties only if no other is left: a duty's work does not shrink with its VM. The lock
// is held.
func (f *Forwarder) owner(duty string, avoid []string) (string, bool) {
	if len(avoid) > 0 {
		able, _ := f.able(avoid)
		return hasher.Owner(duty, without(f.inZoneOf(duty, able), f.busyFor(duty)))
	}
	if f.duties.owners == nil {
		f.duties.owners = make(map[string]string)
		f.duties.ranks = make(map[string]int)
		f.duties.able, f.duties.small = f.able(nil)
	}
	if owner, found := f.duties.owners[duty]; found {
		return owner, owner != ""
	}
	owner, found := hasher.Owner(duty, without(f.inZoneOf(duty, f.duties.able), f.busyFor(duty)))
	f.duties.owners[duty] = owner
	return owner, found
}

// busyFor names the entries that collect for the stages' services before this one in the order of their names. Each service
// gets a collecting entry of its own: one that collected for two of three services in a burst stood still for half a second
// at a time on its half a core, and entries that waited for its answer delegated to others. The lock is held.
func (f *Forwarder) busyFor(duty string) []string {
	if f.catalog == nil {
		return nil
	}
	var busy []string
	for _, service := range f.catalog.StageServices() {
		for _, pool := range f.divider.Pools(service) {
			if pool.String() == duty {
				return busy
			}
			if owner, known := f.owner(pool.String(), nil); known {
				busy = append(busy, owner)
			}
		}
	}
	return nil
}

// inZoneOf leaves the entries in the zone whose endpoints a duty collects for, if there are any: calls and frees stay in the
// zone, and a zone that is lost takes no other zone's collecting entry with it. The lock is held.
func (f *Forwarder) inZoneOf(duty string, names []string) []string {
	zone := divider.Parse(duty).Zone
	if zone == "" {
		return names
	}
	near := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		m, known := f.detector.Member(name)
		return !known || m.Zone != zone
	})
	if len(near) == 0 {
		return names
	}
	return near
}

// without leaves names out, if any other is left.
func without(names, out []string) []string {
	rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(out, name) })
	if len(rest) == 0 {
		return names
	}
	return rest
}

// rank tells how many live entries a duty falls to before this one. Those on small VMs come after all others. The lock is
// held.
func (f *Forwarder) rank(duty string) int {
	owner, known := f.owner(duty, nil)
	if !known || owner == f.cfg.Name {
		return 0
	}
	if rank, found := f.duties.ranks[duty]; found {
		return rank
	}
	rank := hasher.Rank(duty, f.duties.able, f.cfg.Name)
	if !slices.Contains(f.duties.able, f.cfg.Name) {
		// Ranked among the large VMs' entries, dozens of small ones would have the same rank and take a duty up together.
		rank = len(f.duties.able) + hasher.Rank(duty, f.duties.small, f.cfg.Name)
	}
	f.duties.ranks[duty] = rank
	return rank
}

// duties remembers which entries can have duties and who has which, until something that decides it changes: it is asked
// for each delegation, each freed result and each tick of each pool.
type duties struct {
	// able are on large VMs, small are all others that live.
	able   []string
	small  []string
	owners map[string]string
	ranks  map[string]int
}

// forget has everything worked out anew.
func (d *duties) forget() { *d = duties{} }

// canHaveDuty tells whether a duty may fall to an entry. Until this one knows a configuration, those that know none count
// too: at a start of all nobody is live yet, and each would else take itself for the only one. The lock is held.
func (f *Forwarder) canHaveDuty(m *detector.Member) bool {
	return m.State == detector.Live || f.catalog == nil && m.State == detector.Suspect
}

// able names the live entries on large VMs, but for those to avoid, and those on small ones. The lock is held.
func (f *Forwarder) able(avoid []string) (large, small []string) {
	var live []detector.Member
	largest := int32(0)
	for _, m := range f.detector.Members() {
		if !f.canHaveDuty(&m) || slices.Contains(avoid, m.Name) {
			continue
		}
		live = append(live, m)
		largest = max(largest, m.Capacity)
	}
	for _, m := range live {
		if 2*m.Capacity >= largest {
			large = append(large, m.Name)
		} else {
			small = append(small, m.Name)
		}
	}
	return large, small
}
