package detector

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/carrier"
	"geraniumline/hasher"
)

const (
	// introducedPerBeat is how many known members each heartbeat names in full, in turn. It lets an entry that
	// missed an introduction learn of the member in the end.
	introducedPerBeat = 1
	// introductions is how many heartbeats name a member in full after it was learned.
	introductions = 3
)

// pulseID gives the short name of one process of a member. It changes with the incarnation, so an old process's
// pulses are never taken for its successor's.
func pulseID(name string, incarnation uint64) uint32 {
	h := xxhash.Sum64String(name)
	return uint32(hasher.Mix(h ^ hasher.Mix(incarnation)))
}

// index finds members by their pulse id.
type index struct {
	byID map[uint32]*record
	// shared holds ids that two known members have. Their pulses are not read and they are named in full, since
	// the steps of one would make the other look alive.
	shared map[uint32]bool
}

func newIndex() index {
	return index{byID: make(map[uint32]*record), shared: make(map[uint32]bool)}
}

func (x *index) put(r *record) {
	if other, taken := x.byID[r.id]; taken && other != r {
		x.shared[r.id] = true
		return
	}
	x.byID[r.id] = r
}

func (x *index) remove(r *record) {
	if x.byID[r.id] == r {
		delete(x.byID, r.id)
	}
}

// Heartbeat gives the heartbeat of one round, with the membership filled in; the same one is for all Targets.
// Members that peers know are told in their short form. All are told in full to somebody who has just come.
func (d *Detector) Heartbeat(now time.Time) *carrier.Heartbeat {
	hb := &carrier.Heartbeat{From: d.Self(), Sequence: d.self.Sequence}
	if d.newcomer {
		d.newcomer = false
		hb.Members = d.Digest(now)
		return hb
	}
	d.turn++
	for i, r := range d.order {
		switch {
		case !d.told(r, now):
		case d.named(r, i):
			hb.Members = append(hb.Members, r.wire(now))
		default:
			hb.Pulses = append(hb.Pulses, r.pulse(now))
		}
	}
	return hb
}

// named tells whether the member at place i is named in full this time.
func (d *Detector) named(r *record, i int) bool {
	if r.introductions > 0 {
		r.introductions--
		return true
	}
	inTurn := (uint64(i)+d.phase+d.turn*introducedPerBeat)%uint64(len(d.order)) < introducedPerBeat
	return inTurn || d.index.shared[r.id]
}

func (r *record) pulse(now time.Time) carrier.Pulse {
	return carrier.Pulse{
		ID:        r.id,
		Sequence:  r.member.Sequence,
		AgeMillis: ageMillis(now.Sub(r.member.LastHeard)),
		State:     uint8(r.declared),
	}
}

// hearPulse takes the short form of what a peer passes on. It says nothing of members that are unknown here.
func (d *Detector) hearPulse(p *carrier.Pulse, now time.Time, out []Transition) []Transition {
	if d.index.shared[p.ID] {
		return out
	}
	if p.ID == d.id {
		d.echo.heard(p.Sequence)
		return out
	}
	r, known := d.index.byID[p.ID]
	if !known || p.Sequence <= r.member.Sequence {
		return out
	}
	r.advance(p.Sequence, p.State, now.Add(-time.Duration(p.AgeMillis)*time.Millisecond))
	return d.judge(r, now, out)
}
