package detector

import (
	"math"
	"slices"
	"time"

	"geraniumline/hasher"
)

const (
	// defaultFanout is the number of entries in the own availability zone that receive each heartbeat above
	// MaxFullMesh, unless the zone is so large that a step would take more than spreadRounds rounds to reach it.
	defaultFanout = 4
	spreadRounds  = 3
	// zoneRounds is the number of rounds after which an entry sends to the same members of its zone again. A step
	// reaches a zone of several hundred within as many.
	zoneRounds = 5
	// maxForeignZones is the number of other zones that an entry sends to in one round. If there are more, it rotates
	// through them.
	maxForeignZones = 4
	// maxEachZone limits how many members of another zone one entry sends to in a round, so that the few remaining
	// entries of a zone don't spend their bandwidth on a large one.
	maxEachZone = 4
	// foreignPartners is the number of members of another zone between which an entry alternates. With several, the loss
	// of one entry does not isolate its partners from its whole zone.
	foreignPartners = 4
	// maxForeignMembers limits the members of other zones in one heartbeat. A seed hears all entries directly when a whole
	// fleet starts.
	maxForeignMembers = 128
	// directRelayDivisor sets for how long a member of another zone is relayed after a direct heartbeat: SuspectAfter
	// divided by this. The member then learns which of its own steps arrived without a detour through its own zone.
	directRelayDivisor = 3
)

// usesFullMesh reports whether each heartbeat goes to all members.
func (d *Detector) usesFullMesh() bool {
	return d.cfg.MaxFullMesh == 0 || len(d.sorted) < d.cfg.MaxFullMesh
}

// UsesGossip reports whether there are so many members that state spreads by gossip and each heartbeat goes to only a
// few.
func (d *Detector) UsesGossip() bool { return !d.usesFullMesh() }

// suspectAfter and deadAfter return the timeouts in effect. Above MaxFullMesh a step takes several rounds to spread,
// and more if frames are lost (TestALargeFleetDoubtsNobody). With the full-mesh timeouts, live entries would flap
// between states and many would take over the same duty at once.
func (d *Detector) suspectAfter() time.Duration {
	if d.usesFullMesh() {
		return d.cfg.SuspectAfter
	}
	return max(d.cfg.SuspectAfter, d.cfg.GossipSuspectAfter)
}

func (d *Detector) deadAfter() time.Duration {
	if d.usesFullMesh() {
		return d.cfg.DeadAfter
	}
	return max(d.cfg.DeadAfter, d.cfg.GossipDeadAfter)
}

// extraDelay returns how much longer than usual the steps of a member may take to arrive: in large zones, each round
// brings the steps of another zone from a single entry there, so that a lost frame delays them by a round.
func (d *Detector) extraDelay(r *record) time.Duration {
	if d.usesFullMesh() || r.member.Zone == d.self.Zone || d.fanout(d.zoneSize) == d.cfg.Fanout {
		return 0
	}
	return d.cfg.HeartbeatInterval
}

// inHeartbeat reports whether heartbeats include the member. Above MaxFullMesh each entry reports the members of its
// own availability zone, which it knows best, and those of other zones that it has just heard directly or learned of.
// The traffic thus grows with the size of the zone rather than of the fleet.
func (d *Detector) inHeartbeat(r *record, now time.Time) bool {
	if r.member.State == Dead {
		return false
	}
	return d.usesFullMesh() || r.member.Zone == d.self.Zone || r.announcements > 0 || now.Sub(r.member.LastDirectHeartbeat) < d.suspectAfter()/directRelayDivisor
}

// gossipTargets returns the members that receive the next heartbeat in a system too large for a full mesh: a few of
// the own availability zone, and this entry's share of the members of other zones.
func (d *Detector) gossipTargets(now time.Time) []*record {
	d.gossipRound++
	round := d.roundNumber(now)
	zones, names := d.reachableByZone()
	own := zones[d.self.Zone]
	d.zoneSize = len(own) + 1
	ownIndex, _ := slices.BinarySearchFunc(own, d.self.Name, compareName)
	out := d.zoneTargets(own, ownIndex, round)
	size := len(own) + 1
	for i := range min(len(names), maxForeignZones) {
		foreign := zones[names[(int(round%uint64(len(names)))*maxForeignZones+i)%len(names)]]
		at := (ownIndex + int(round%foreignPartners)) % size
		for n := 0; at < len(foreign) && n < maxEachZone; n++ {
			out = append(out, foreign[at])
			at += size
		}
	}
	return out
}

// roundNumber derives the number of the round from the time of day, so that entries with synchronized clocks choose
// different members in the same round and each member receives equally many heartbeats in every round. If clocks
// differ, some rounds deliver fewer.
func (d *Detector) roundNumber(now time.Time) uint64 {
	if d.cfg.HeartbeatInterval <= 0 {
		return d.gossipRound + d.phase
	}
	return uint64(now.UnixNano()) / uint64(d.cfg.HeartbeatInterval)
}

// fanout returns the number of entries of the own zone that receive each heartbeat: as many that a step reaches a zone
// of the given size within spreadRounds rounds, if each round multiplies the entries that know it by one more than that.
// With a fixed number, steps in a larger zone would be older on arrival, and lost frames would delay them too long.
func (d *Detector) fanout(size int) int {
	return max(d.cfg.Fanout, int(math.Ceil(math.Pow(float64(size), 1.0/spreadRounds)))-1)
}

// zoneTargets returns some members of the own zone. They are chosen by distance in name order; the distances are
// drawn from the round number and so are the same for all entries. Each entry thus receives from as many others, and
// passes a step on to different entries than its sender did. The distances repeat after zoneRounds rounds, so that the
// number of connections does not grow with the zone.
func (d *Detector) zoneTargets(own []*record, ownIndex int, round uint64) []*record {
	fanout := d.fanout(len(own) + 1)
	if len(own) <= fanout {
		return slices.Clone(own)
	}
	out := make([]*record, 0, fanout)
	for i := uint64(0); len(out) < fanout; i++ {
		distance := int(hasher.Mix(hasher.Mix(round%zoneRounds)+i) % uint64(len(own)))
		r := own[(ownIndex+distance)%len(own)]
		if !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// reachableByZone returns the members that receive heartbeats, grouped by availability zone, and the sorted names of
// the other zones.
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
