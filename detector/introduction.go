package detector

import (
	"slices"
	"time"

	"geraniumline/carrier"
)

const (
	// introducedZoneMembers and introducedForeignMembers are how many members of its own zone and of each other zone a
	// new process learns of in an introduction: enough to be found by the others through them.
	introducedZoneMembers    = 12
	introducedForeignMembers = 2
	// maxIntroducedMembers limits an introduction in a system of many zones.
	maxIntroducedMembers = 24
)

// maxRequestedMembers is the largest number of members that one query asks for. An entry that knows nobody hears only
// from the seeds; with a larger number all entries of a starting fleet would load the whole list from these.
const maxRequestedMembers = 64

// MemberQuery returns a query for the descriptions of members of which a heartbeat contains only pulses that are
// unknown here. It returns false if there is nothing to ask for. The heartbeat must have been passed to Receive.
func (d *Detector) MemberQuery(hb *carrier.Heartbeat, now time.Time) (*carrier.MembersCall, bool) {
	query := &carrier.MembersCall{}
	for i := range hb.Pulses {
		if len(query.IDs) == maxRequestedMembers || len(d.sorted)+len(d.requested) >= maxMembers {
			break
		}
		id := hb.Pulses[i].ID
		if _, known := d.index.byID[id]; known || d.index.collisions[id] {
			continue
		}
		if _, asked := d.requested[id]; asked {
			continue
		}
		d.requested[id] = now
		query.IDs = append(query.IDs, id)
	}
	return query, len(query.IDs) > 0
}

// DescribeMembers answers a peer's query with the descriptions of the members that are known here.
func (d *Detector) DescribeMembers(query *carrier.MembersCall, now time.Time) *carrier.MembersReply {
	reply := &carrier.MembersReply{}
	for _, id := range query.IDs[:min(len(query.IDs), maxRequestedMembers)] {
		if r, known := d.index.byID[id]; known && id != d.id && r.member.State != Dead {
			reply.Members = append(reply.Members, r.wire(now))
		}
	}
	return reply
}

// ReceiveMembers processes a peer's answer to a query and returns the resulting state changes.
func (d *Detector) ReceiveMembers(reply *carrier.MembersReply, now time.Time) []Transition {
	out := d.detectPause(now)
	for i := range reply.Members {
		out = d.mergeMember(&reply.Members[i], now, out)
	}
	return d.updateSelf(now, out)
}

// Introduction is a message for a process that may not know this entry and its members yet.
type Introduction struct {
	Address string
	Members *carrier.MembersReply
}

// Introductions returns the introductions to send with the next heartbeat. Up to MaxFullMesh members there are none,
// since the next heartbeat contains all members.
func (d *Detector) Introductions(now time.Time) []Introduction {
	if d.usesFullMesh() {
		return nil
	}
	out := make([]Introduction, 0, len(d.newPeers))
	for _, p := range d.newPeers {
		out = append(out, Introduction{Address: p.address, Members: d.introduce(p.zone, now)})
	}
	d.newPeers = nil
	return out
}

// introduce describes this entry and a few members of each zone, most of them in the given one. Each call continues
// with other members, so that new processes spread over the whole fleet.
func (d *Detector) introduce(zone string, now time.Time) *carrier.MembersReply {
	reply := &carrier.MembersReply{Members: []carrier.Member{d.Self()}}
	// left holds how many more members of each zone are described.
	left := make(map[string]int)
	for range d.sorted {
		d.introduced = (d.introduced + 1) % len(d.sorted)
		r := d.sorted[d.introduced]
		if !r.receivesHeartbeats() {
			continue
		}
		n, counted := left[r.member.Zone]
		if !counted {
			n = introducedForeignMembers
			if r.member.Zone == zone {
				n = introducedZoneMembers
			}
		}
		left[r.member.Zone] = n - 1
		if n > 0 {
			reply.Members = append(reply.Members, r.wire(now))
		}
		if len(reply.Members) == maxIntroducedMembers {
			break
		}
	}
	return reply
}

// expireQueries allows members to be asked for again whose descriptions did not arrive.
func (d *Detector) expireQueries(now time.Time) {
	for id, at := range d.requested {
		if now.Sub(at) >= d.cfg.ProbeInterval {
			delete(d.requested, id)
		}
	}
}

// describedBy reports whether a heartbeat contains this process, so that its sender knows it.
func (d *Detector) describedBy(hb *carrier.Heartbeat) bool {
	return slices.ContainsFunc(hb.Pulses, func(p carrier.Pulse) bool { return p.ID == d.id }) ||
		slices.ContainsFunc(hb.Members, func(m carrier.Member) bool {
			return m.Name == d.self.Name && m.Incarnation == d.self.Incarnation
		})
}
