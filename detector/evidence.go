package detector

import (
	"time"

	"geraniumline/carrier"
)

// gapPart is the part of SuspectAfter from which a standstill of the own loop is not counted as silence of others.
const gapPart = 4

// maxMembers bounds the memory that a peer's mistake can take. It is above the 2,400 entries that are designed for.
const maxMembers = 4096

// step notices a standstill of this entry's own loop.
// A paused process reads nothing, so after the pause all peers look silent and it would give up all of them at once.
// The standstill is added to the time that each was last heard, so a peer is judged only by silence that this
// entry was awake to hear; peers that died meanwhile are found SuspectAfter later.
func (d *Detector) step(now time.Time) []Transition {
	last := d.lastStep
	if now.After(last) {
		d.lastStep = now
	}
	if last.IsZero() {
		d.echo.heardAt = now
		return nil
	}
	gap := now.Sub(last)
	if gap <= d.suspectAfter()/gapPart {
		return nil
	}
	for _, r := range d.order {
		r.member.LastHeard = r.member.LastHeard.Add(gap)
	}
	d.echo.heardAt = d.echo.heardAt.Add(gap)
	if gap < d.suspectAfter() {
		return nil
	}
	return []Transition{{Member: d.self, From: d.self.State, To: d.self.State, Paused: gap}}
}

// hearDirect takes what the sender of a heartbeat says of itself.
func (d *Detector) hearDirect(w *carrier.Member, now time.Time, out []Transition) []Transition {
	if w.Name == d.self.Name {
		d.hearSelf(w)
		return out
	}
	r, known := d.members[w.Name]
	if !known && !d.admits(w) {
		return out
	}
	if !known || w.Incarnation != r.member.Incarnation {
		// A newer process knows nobody yet, and an older one must hear that it was replaced.
		d.newcomer = true
		d.greet = append(d.greet, w.PeerAddress)
	}
	if known && !r.newer(w) {
		return out
	}
	out = d.hear(w, now, now, out)
	d.members[w.Name].member.LastDirectHeartbeat = now
	return out
}

// hearIndirect takes what a peer passes on of another member.
func (d *Detector) hearIndirect(w *carrier.Member, now time.Time, out []Transition) []Transition {
	if w.Name == d.self.Name {
		d.hearSelf(w)
		return out
	}
	r, known := d.members[w.Name]
	if known && !r.newer(w) {
		return out
	}
	age := time.Duration(w.AgeMillis) * time.Millisecond
	if !known && (age > d.deadAfter() || !d.admits(w)) {
		return out
	}
	return d.hear(w, now.Add(-age), now, out)
}

// admits tells whether a member that is unknown may be taken up.
func (d *Detector) admits(w *carrier.Member) bool {
	return w.Name != "" && len(d.order) < maxMembers
}

// hear takes a step of a member that is newer than the one known.
func (d *Detector) hear(w *carrier.Member, heard, now time.Time, out []Transition) []Transition {
	r, known := d.members[w.Name]
	if !known {
		r = d.add(w.Name)
	}
	if !known || w.Incarnation > r.member.Incarnation {
		d.renew(r, w.Incarnation)
	}
	r.take(w, heard)
	if h, hinted := d.hints[w.PeerAddress]; hinted {
		r.member.Leaving = h.leaving
	}
	return d.judge(r, now, out)
}

// renew makes r stand for a new process of its name.
func (d *Detector) renew(r *record, incarnation uint64) {
	d.index.remove(r)
	r.member.Incarnation = incarnation
	r.member.LastDirectHeartbeat = time.Time{}
	r.id = pulseID(r.member.Name, incarnation)
	r.introductions = introductions
	d.index.put(r)
}

// hearSelf takes what a peer says of this entry: the newest own step that it knows of, or that a newer process has
// this entry's name. Two processes under one name would answer for each other's requests; the older one gives way,
// since only it can know that it is older.
func (d *Detector) hearSelf(w *carrier.Member) {
	switch {
	case w.Incarnation > d.self.Incarnation:
		d.superseded = true
	case w.Incarnation == d.self.Incarnation:
		d.echo.heard(w.Sequence)
	}
}

// judge sets a member's state from what it said and from its silence.
func (d *Detector) judge(r *record, now time.Time, out []Transition) []Transition {
	from := r.member.State
	to := d.assess(r, now)
	if from == to {
		return out
	}
	r.member.State = to
	return append(out, Transition{Member: r.member, From: from, To: to, ConnectionRefused: to == Dead && d.refused(r, now)})
}

// ConnectionRefused notes that the network says that no process listens at a peer address.
func (d *Detector) ConnectionRefused(peerAddress string, now time.Time) []Transition {
	var out []Transition
	for _, r := range d.order {
		if r.member.PeerAddress != peerAddress {
			continue
		}
		r.refusedAt = now
		out = d.judge(r, now, out)
	}
	return out
}

// refused tells whether a member's process has ended, by two signs that no silence alone gives: its address refuses
// connections, and nobody has heard a step of it since, nor for half of the time that makes it suspect. A firewall
// between two entries may refuse as well; then a third still hears the member, and what it tells keeps it alive.
func (d *Detector) refused(r *record, now time.Time) bool {
	return r.refusedAt.After(r.member.LastHeard) && now.Sub(r.member.LastHeard) > d.suspectAfter()/2
}

func (d *Detector) assess(r *record, now time.Time) State {
	silence := now.Sub(r.member.LastHeard)
	switch {
	case r.declared == Stopped:
		return Stopped
	case silence > d.deadAfter(), d.refused(r, now):
		return Dead
	case r.declared == Stopping:
		return Stopping
	case silence > d.suspectAfter():
		return Suspect
	default:
		return r.declared
	}
}

// updateSelf reports a change of this entry's own state.
func (d *Detector) updateSelf(now time.Time, out []Transition) []Transition {
	from := d.self.State
	to := d.assessSelf(now)
	if from == to {
		return out
	}
	d.self.State = to
	return append(out, Transition{Member: d.self, From: from, To: to})
}

// assessSelf judges this entry. If no peer tells of a recent own step, either no peer hears this entry or it
// hears no peer: it can't take part in limits or learn of configuration, although the other direction may still
// work. It says Suspect of itself, so that neither peers nor it give it to callers.
func (d *Detector) assessSelf(now time.Time) State {
	switch {
	case d.superseded:
		return Dead
	case d.declared != Live:
		return d.declared
	case d.expectsPeers() && now.Sub(d.echo.heardAt) > d.suspectAfter():
		return Suspect
	default:
		return Live
	}
}

func (d *Detector) expectsPeers() bool {
	for _, r := range d.order {
		if r.declared != Stopped {
			return true
		}
	}
	return false
}
