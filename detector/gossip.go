package detector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumline/hasher"
)

const (
	defaultFanout = 3
	defaultRelays = 2
)

// fullMesh tells whether each heartbeat goes to all members.
func (d *Detector) fullMesh() bool {
	return d.cfg.FullMesh == 0 || len(d.order) < d.cfg.FullMesh
}

// gossip gives the members that get the next heartbeat in a system too large for a full mesh: a few of the own
// availability zone, and from the zone's relays one relay of another zone. Steps reach all others through them.
func (d *Detector) gossip() []*record {
	d.round++
	var own []*record
	foreign := make(map[string][]*record)
	for _, r := range d.reachable() {
		if r.member.Zone == d.self.Zone {
			own = append(own, r)
			continue
		}
		foreign[r.member.Zone] = append(foreign[r.member.Zone], r)
	}
	out := d.window(own)
	if r := d.foreignRelay(own, foreign); r != nil {
		out = append(out, r)
	}
	return out
}

// window gives the next Fanout members in an order that differs from entry to entry. Going round rather than
// drawing at random has each pair of entries meet in every len(own)/Fanout rounds.
func (d *Detector) window(own []*record) []*record {
	if len(own) <= d.cfg.Fanout {
		return own
	}
	self := xxhash.Sum64String(d.self.Name)
	ranked := slices.Clone(own)
	slices.SortFunc(ranked, func(x, y *record) int { return cmp.Compare(hasher.Mix(self^x.hash), hasher.Mix(self^y.hash)) })
	out := make([]*record, d.cfg.Fanout)
	for i := range out {
		out[i] = ranked[(d.round*uint64(d.cfg.Fanout)+uint64(i))%uint64(len(ranked))]
	}
	return out
}

// foreignRelay gives the relay of another zone whose turn it is, if this entry is a relay of its own zone.
func (d *Detector) foreignRelay(own []*record, foreign map[string][]*record) *record {
	self := &record{member: d.self, hash: xxhash.Sum64String(d.self.Name)}
	if !slices.Contains(d.relays(append(slices.Clone(own), self)), self) {
		return nil
	}
	zones := make([]string, 0, len(foreign))
	for zone := range foreign {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var relays []*record
	for _, zone := range zones {
		relays = append(relays, d.relays(foreign[zone])...)
	}
	if len(relays) == 0 {
		return nil
	}
	return relays[(d.phase+d.round)%uint64(len(relays))]
}

// relays gives a zone's relays by rendezvous hash. Entries may disagree for a moment, while one is lost or new; then
// a zone has a relay more or less, and steps go on spreading through the others.
func (d *Detector) relays(members []*record) []*record {
	live := slices.DeleteFunc(slices.Clone(members), func(r *record) bool { return r.member.State != Live })
	slices.SortFunc(live, func(x, y *record) int { return cmp.Compare(hasher.Mix(x.hash), hasher.Mix(y.hash)) })
	return live[:min(len(live), d.cfg.Relays)]
}
