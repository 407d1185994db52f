package detector

import (
	"time"

	"geraniumline/carrier"
)

// pauseDivisor sets the shortest pause of the own loop that is not counted as silence of others: SuspectAfter divided
// by this.
const pauseDivisor = 4

// maxMembers bounds the memory that a faulty peer can make this entry use. It exceeds the 2,400
// entries that the system is designed for.
const maxMembers = 4096

// detectPause detects that this entry's own loop was paused. A paused process reads nothing, so all peers look silent
// when it resumes and it would consider all of them dead at once. The pause is therefore added to the time at which
// each peer was last heard, so that only silence while this entry was running counts. Peers that died during the
// pause are detected SuspectAfter later.
func (d *Detector) detectPause(now time.Time) []Transition {
	last := d.lastCall
	if now.After(last) {
		d.lastCall = now
	}
	if last.IsZero() {
		d.acks.ackedAt = now
		return nil
	}
	pause := now.Sub(last)
	if pause <= d.suspectAfter()/pauseDivisor {
		return nil
	}
	for _, r := range d.sorted {
		r.member.LastHeard = r.member.LastHeard.Add(pause)
	}
	d.acks.ackedAt = d.acks.ackedAt.Add(pause)
	if pause < d.suspectAfter() {
		return nil
	}
	return []Transition{{Member: d.self, From: d.self.State, To: d.self.State, Paused: pause}}
}

// mergeSender merges what the sender of a heartbeat reports about itself.
func (d *Detector) mergeSender(hb *carrier.Heartbeat, now time.Time, out []Transition) []Transition {
	w := &hb.From
	if w.Name == d.self.Name {
		d.mergeSelf(w)
		return out
	}
	r, known := d.members[w.Name]
	if !known && !d.canAdd(w) {
		return out
	}
	if !known || w.Incarnation != r.member.Incarnation {
		// A newer process knows no members yet, and an older one must learn that it was replaced.
		d.sendFull = true
		if !d.describedBy(hb) {
			d.newPeers = append(d.newPeers, newPeer{address: w.PeerAddress, zone: w.Zone})
		}
	}
	if known && !r.newer(w) {
		return out
	}
	out = d.merge(w, now, now, out)
	d.members[w.Name].member.LastDirectHeartbeat = now
	return out
}

// mergeMember merges what a peer relays about another member.
func (d *Detector) mergeMember(w *carrier.Member, now time.Time, out []Transition) []Transition {
	if w.Name == d.self.Name {
		d.mergeSelf(w)
		return out
	}
	r, known := d.members[w.Name]
	if known && !r.newer(w) {
		return out
	}
	age := time.Duration(w.AgeMillis) * time.Millisecond
	if !known && (age > d.deadAfter() || !d.canAdd(w)) {
		return out
	}
	return d.merge(w, now.Add(-age), now, out)
}

// canAdd reports whether an unknown member may be added.
func (d *Detector) canAdd(w *carrier.Member) bool {
	return w.Name != "" && len(d.sorted) < maxMembers
}

// merge merges a step that is newer than the one known for the member, which may be new.
func (d *Detector) merge(w *carrier.Member, heard, now time.Time, out []Transition) []Transition {
	r, known := d.members[w.Name]
	if !known {
		r = d.add(w.Name)
	}
	if !known || w.Incarnation > r.member.Incarnation {
		d.startIncarnation(r, w.Incarnation)
	}
	r.update(w, heard)
	if h, hinted := d.hints[w.PeerAddress]; hinted {
		r.member.Leaving = h.leaving
	}
	return d.updateState(r, now, out)
}

// startIncarnation resets r for a new process with the same name.
func (d *Detector) startIncarnation(r *record, incarnation uint64) {
	d.index.remove(r)
	r.member.Incarnation = incarnation
	r.member.LastDirectHeartbeat = time.Time{}
	r.id = pulseID(r.member.Name, incarnation)
	r.announcements = announcements
	d.index.put(r)
	delete(d.requested, r.id)
}

// mergeSelf processes what a peer reports about this entry: either the latest own step that the peer knows, or that a
// newer process uses this entry's name. Two processes with one name would answer each other's requests, so the older
// one gives way, since it is the only one that can know that it is older.
func (d *Detector) mergeSelf(w *carrier.Member) {
	switch {
	case w.Incarnation > d.self.Incarnation:
		d.superseded = true
	case w.Incarnation == d.self.Incarnation:
		d.acks.recordAck(w.Sequence)
	}
}

// updateState re-evaluates a member's state from what it declared and how long it has been silent.
func (d *Detector) updateState(r *record, now time.Time, out []Transition) []Transition {
	from := r.member.State
	to := d.assess(r, now)
	if from == to {
		return out
	}
	r.member.State = to
	return append(out, Transition{Member: r.member, From: from, To: to, ConnectionRefused: to == Dead && d.processEnded(r, now)})
}

// ConnectionRefused records that a connection to a peer address was refused because no process listens there, and
// returns the resulting state changes.
func (d *Detector) ConnectionRefused(peerAddress string, now time.Time) []Transition {
	var out []Transition
	for _, r := range d.sorted {
		if r.member.PeerAddress != peerAddress {
			continue
		}
		r.refusedAt = now
		out = d.updateState(r, now, out)
	}
	return out
}

// processEnded reports whether a member's process has ended. Silence alone doesn't show that, so two conditions must
// hold: its address refuses connections, and no step has been heard since the refusal nor for half of the suspect
// timeout. A firewall between two entries may refuse connections too; then a third entry still receives the
// member's steps and relays them, which keeps the member alive.
func (d *Detector) processEnded(r *record, now time.Time) bool {
	return r.refusedAt.After(r.member.LastHeard) && now.Sub(r.member.LastHeard) > d.suspectAfter()/2
}

func (d *Detector) assess(r *record, now time.Time) State {
	silence := now.Sub(r.member.LastHeard) - d.extraDelay(r)
	switch {
	case r.declared == Stopped:
		return Stopped
	case silence > d.deadAfter(), d.processEnded(r, now):
		return Dead
	case r.declared == Stopping:
		return Stopping
	case silence > d.suspectAfter():
		return Suspect
	default:
		return r.declared
	}
}

// updateSelf re-evaluates this entry's own state and appends a change to out.
func (d *Detector) updateSelf(now time.Time, out []Transition) []Transition {
	from := d.self.State
	to := d.assessSelf(now)
	if from == to {
		return out
	}
	d.self.State = to
	return append(out, Transition{Member: d.self, From: from, To: to})
}

// assessSelf returns this entry's own state. If no peer reports a recent own step, either no peer receives from this
// entry or it receives from no peer. Either way it can't take part in limits or learn the configuration, although the
// other direction may still work. It declares itself Suspect, so that neither it nor its peers hand it out to
// callers.
func (d *Detector) assessSelf(now time.Time) State {
	switch {
	case d.superseded:
		return Dead
	case d.declared != Live:
		return d.declared
	case d.expectsPeers() && now.Sub(d.acks.ackedAt) > d.suspectAfter():
		return Suspect
	default:
		return Live
	}
}

func (d *Detector) expectsPeers() bool {
	for _, r := range d.sorted {
		if r.declared != Stopped {
			return true
		}
	}
	return false
}
