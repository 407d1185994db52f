package detector

import (
	"slices"
	"time"

	"geraniumline/hasher"
)

const (
	// defaultFanout is how many entries of the own availability zone get each heartbeat beyond FullMesh: up to five times
	// as many know of a step after each round, a zone of 65 after some three.
	defaultFanout = 4
	// maxForeignZones is how many other zones an entry tells in one round. With more of them it goes round.
	maxForeignZones = 4
	// maxEachZone bounds the members of another zone that one entry tells in a round, so that the few that are left of
	// a zone don't spend their links on a large one.
	maxEachZone = 4
	// directPart is the part of SuspectAfter for which a member of another zone that was heard directly is told on: its
	// news of what it heard of this entry need not come back by its own zone.
	directPart = 3
)

// fullMesh tells whether each heartbeat goes to all members.
func (d *Detector) fullMesh() bool {
	return d.cfg.MaxFullMesh == 0 || len(d.order) < d.cfg.MaxFullMesh
}

// UsesGossip tells whether there are so many members that news of them spread by gossip, and heartbeats go to few.
func (d *Detector) UsesGossip() bool { return !d.fullMesh() }

// suspectAfter and deadAfter are the silences that doubt and end a member. Beyond the full mesh news of a step take some
// rounds, more where frames are lost (TestALargeFleetDoubtsNobody). Judged by the times of a full mesh while news are older,
// live entries flap, and many take one duty at once.
func (d *Detector) suspectAfter() time.Duration {
	if d.fullMesh() {
		return d.cfg.SuspectAfter
	}
	return max(d.cfg.SuspectAfter, d.cfg.GossipSuspectAfter)
}

func (d *Detector) deadAfter() time.Duration {
	if d.fullMesh() {
		return d.cfg.DeadAfter
	}
	return max(d.cfg.DeadAfter, d.cfg.GossipDeadAfter)
}

// told tells whether a heartbeat names the member. Beyond the full mesh each entry tells of its own availability zone, which
// it knows best, and of those of other zones that it has just heard itself. So what is sent grows with the zone and not
// with the fleet.
func (d *Detector) told(r *record, now time.Time) bool {
	if r.member.State == Dead {
		return false
	}
	return d.fullMesh() || r.member.Zone == d.self.Zone || now.Sub(r.member.LastDirectHeartbeat) < d.suspectAfter()/directPart
}

// gossip gives the members that get the next heartbeat in a system too large for a full mesh: a few of the own
// availability zone, and this entry's part of the members of other zones.
func (d *Detector) gossip(now time.Time) []*record {
	d.round++
	round := d.roundAt(now)
	zones, names := d.reachableByZone()
	own := zones[d.self.Zone]
	place, _ := slices.BinarySearchFunc(own, d.self.Name, compareName)
	out := d.neighbours(own, place, round)
	size := len(own) + 1
	for i := range min(len(names), maxForeignZones) {
		foreign := zones[names[(int(round%uint64(len(names)))*maxForeignZones+i)%len(names)]]
		at := (place + int(round%uint64(size))) % size
		for n := 0; at < len(foreign) && n < maxEachZone; n++ {
			out = append(out, foreign[at])
			at += size
		}
	}
	return out
}

// roundAt numbers the rounds of heartbeats by the time of day, so that entries whose clocks agree tell different members
// in the same round, and each member is told by as many as tell it in any other. Where clocks differ some rounds are thin.
func (d *Detector) roundAt(now time.Time) uint64 {
	if d.cfg.HeartbeatInterval <= 0 {
		return d.round + d.phase
	}
	return uint64(now.UnixNano()) / uint64(d.cfg.HeartbeatInterval)
}

// neighbours gives Fanout members of the own zone: those at distances in the order of names that are drawn for the
// round, the same for all. Each is then told by Fanout entries, and who was told tells others than the teller did.
func (d *Detector) neighbours(own []*record, place int, round uint64) []*record {
	if len(own) <= d.cfg.Fanout {
		return slices.Clone(own)
	}
	out := make([]*record, 0, d.cfg.Fanout)
	for i := uint64(0); len(out) < d.cfg.Fanout; i++ {
		distance := int(hasher.Mix(hasher.Mix(round)+i) % uint64(len(own)))
		r := own[(place+distance)%len(own)]
		if !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// reachableByZone gives the members that heartbeats are sent to by their availability zone, and the names of the other zones.
func (d *Detector) reachableByZone() (zones map[string][]*record, others []string) {
	zones = make(map[string][]*record)
	for _, r := range d.reachable() {
		zone := r.member.Zone
		if zones[zone] == nil && zone != d.self.Zone {
			others = append(others, zone)
		}
		zones[zone] = append(zones[zone], r)
	}
	slices.Sort(others)
	return zones, others
}
