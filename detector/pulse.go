package detector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/carrier"
	"geraniumline/hasher"
)

const (
	// fullPerHeartbeat is the number of known members that each heartbeat describes in full, in rotation. An entry
	// that missed the first full descriptions of a member eventually learns of it this way.
	fullPerHeartbeat = 1
	// announcements is the number of heartbeats that announce a member after it becomes known.
	announcements = 3
)

// pulseID returns the short ID of one process of a member. It depends on the incarnation, so pulses of an old process
// are never attributed to its successor.
func pulseID(name string, incarnation uint64) uint32 {
	h := xxhash.Sum64String(name)
	return uint32(hasher.Mix(h ^ hasher.Mix(incarnation)))
}

// index maps pulse IDs to members.
type index struct {
	byID map[uint32]*record
	// collisions holds IDs shared by two known members. Pulses with these IDs are ignored and the members are
	// described in full, since steps of one would make the other look alive.
	collisions map[uint32]bool
}

func newIndex() index {
	return index{byID: make(map[uint32]*record), collisions: make(map[uint32]bool)}
}

func (x *index) put(r *record) {
	if other, taken := x.byID[r.id]; taken && other != r {
		x.collisions[r.id] = true
		return
	}
	x.byID[r.id] = r
}

func (x *index) remove(r *record) {
	if x.byID[r.id] == r {
		delete(x.byID, r.id)
	}
}

// Heartbeat builds the heartbeat of one round, to be sent to all Targets. Members that peers already know are sent in
// short form. If a new member has appeared, all members are described in full, unless there are more than MaxFullMesh:
// receivers then ask for those that they don't know.
func (d *Detector) Heartbeat(now time.Time) *carrier.Heartbeat {
	hb := &carrier.Heartbeat{From: d.Self(), Sequence: d.self.Sequence}
	sendFull := d.sendFull && d.usesFullMesh()
	d.sendFull = false
	if sendFull {
		hb.Members = d.Digest(now)
		return hb
	}
	d.heartbeats++
	foreign := 0
	for k := range d.sorted {
		// Starting at another member each time gives all foreign members their turn.
		i := int((d.phase + d.heartbeats + uint64(k)) % uint64(len(d.sorted)))
		r := d.sorted[i]
		if !d.inHeartbeat(r, now) {
			continue
		}
		if !d.usesFullMesh() && r.member.Zone != d.self.Zone {
			if foreign++; foreign > maxForeignMembers {
				continue
			}
		}
		if d.describedInFull(r, i) {
			hb.Members = append(hb.Members, r.wire(now))
		} else {
			hb.Pulses = append(hb.Pulses, r.pulse(now))
		}
	}
	return hb
}

// describedInFull reports whether the member at index i is described in full in this heartbeat.
func (d *Detector) describedInFull(r *record, i int) bool {
	if r.announcements > 0 {
		r.announcements--
		if d.usesFullMesh() {
			return true
		}
	}
	inTurn := (uint64(i)+d.phase+d.heartbeats*fullPerHeartbeat)%uint64(len(d.sorted)) < fullPerHeartbeat
	return inTurn || d.index.collisions[r.id]
}

func (r *record) pulse(now time.Time) carrier.Pulse {
	return carrier.Pulse{
		ID:        r.id,
		Sequence:  r.member.Sequence,
		AgeMillis: ageMillis(now.Sub(r.member.LastHeard)),
		State:     uint8(r.declared),
	}
}

// mergePulse merges the short form of what a peer relays. Pulses of unknown members are ignored.
func (d *Detector) mergePulse(p *carrier.Pulse, now time.Time, out []Transition) []Transition {
	if d.index.collisions[p.ID] {
		return out
	}
	if p.ID == d.id {
		d.acks.recordAck(p.Sequence)
		return out
	}
	r, known := d.index.byID[p.ID]
	if !known || p.Sequence <= r.member.Sequence {
		return out
	}
	r.advance(p.Sequence, p.State, now.Add(-time.Duration(p.AgeMillis)*time.Millisecond))
	return d.updateState(r, now, out)
}
