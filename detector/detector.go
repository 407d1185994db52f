// Package detector decides which entries are alive, from their heartbeats and from what peers pass on.
//
// Evidence of life is a counter that only its owner raises: the sequence, one for each step of the owner's
// loop, ordered within an incarnation. A peer passes on the highest sequence that it knows of each member,
// so a member is silent only when no path brings a higher one. Nobody passes on a belief that another
// member is dead: each entry decides that alone, so a member needs no refutation and one bad path can't
// make the others give a member up.
//
// The package is pure: it takes no clock, starts no goroutine and sends nothing.
package detector

import (
	"slices"
	"strings"
	"time"

	"geraniumline/carrier"
)

// Config holds the times of a Detector.
type Config struct {
	// Self is this entry: name, zone, addresses and incarnation.
	Self carrier.Member
	// Seeds are peer addresses that are tried for as long as no live member is known there.
	Seeds []string
	// SuspectAfter is the silence after which a member is no longer given to callers.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member is taken for dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a member is dropped from memory.
	ForgetAfter time.Duration
	// ProbeEvery is how often dead members, hints and seeds are tried. Zero means SuspectAfter.
	ProbeEvery time.Duration
}

// Detector holds the membership as this entry sees it.
type Detector struct {
	cfg     Config
	self    Member
	members map[string]*record
	hints   map[string]*hint
	// lastStep is the time of the newest call that brought a time; zero before the first.
	lastStep time.Time
	// lastPeer is when any other member was last heard directly.
	lastPeer   time.Time
	declared   State
	superseded bool
}

// New makes a Detector that knows only of itself.
func New(cfg Config) *Detector {
	if cfg.ProbeEvery <= 0 {
		cfg.ProbeEvery = cfg.SuspectAfter
	}
	d := &Detector{
		cfg:      cfg,
		members:  make(map[string]*record),
		hints:    make(map[string]*hint),
		declared: Live,
		self: Member{
			Name:          cfg.Self.Name,
			Zone:          cfg.Self.Zone,
			CallerAddress: cfg.Self.CallerAddress,
			PeerAddress:   cfg.Self.PeerAddress,
			Incarnation:   cfg.Self.Incarnation,
			ConfigOffset:  cfg.Self.ConfigOffset,
			InFlight:      cfg.Self.InFlight,
			State:         Live,
		},
	}
	for _, address := range cfg.Seeds {
		d.hints[address] = &hint{seed: true}
	}
	return d
}

// SetSelf sets what this entry says of itself: Live, Stopping or Stopped, its configuration offset and load.
func (d *Detector) SetSelf(state State, configOffset int64, inFlight int32) {
	d.declared = state
	d.self.ConfigOffset = configOffset
	d.self.InFlight = inFlight
	d.self.State = d.assessSelf(d.lastStep)
}

// Receive takes a heartbeat that arrived from a peer.
func (d *Detector) Receive(hb *carrier.Heartbeat, now time.Time) []Transition {
	out := d.step(now)
	out = d.hearDirect(&hb.From, now, out)
	for i := range hb.Members {
		out = d.hearIndirect(&hb.Members[i], now, out)
	}
	return d.updateSelf(now, out)
}

// Tick is one step of this entry's loop: it raises the own sequence and judges the silence of all members.
// Call it at least once for each heartbeat that is sent.
func (d *Detector) Tick(now time.Time) []Transition {
	out := d.step(now)
	d.self.Sequence++
	d.self.LastHeard = now
	for _, name := range d.names() {
		r := d.members[name]
		out = d.judge(r, now, out)
		if now.Sub(r.member.LastHeard) > d.cfg.ForgetAfter {
			delete(d.members, name)
		}
	}
	d.dropHints(now)
	return d.updateSelf(now, out)
}

// Self gives this entry as it goes into the From of a heartbeat.
func (d *Detector) Self() carrier.Member {
	return wireMember(&d.self)
}

// Heartbeat gives a heartbeat with the membership filled in.
func (d *Detector) Heartbeat(now time.Time) *carrier.Heartbeat {
	return &carrier.Heartbeat{From: d.Self(), Sequence: d.self.Sequence, Members: d.Digest(now)}
}

// Digest gives what this entry knows of the other members that it doesn't take for dead.
// Dead members are left out, so that an entry that has forgotten one can't learn it again from old news.
func (d *Detector) Digest(now time.Time) []carrier.Member {
	out := make([]carrier.Member, 0, len(d.members))
	for _, name := range d.names() {
		if r := d.members[name]; r.member.State != Dead {
			out = append(out, r.wire(now))
		}
	}
	return out
}

// Members gives all known members, this entry included, in the order of their names.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.members)+1)
	out = append(out, d.self)
	for _, r := range d.members {
		out = append(out, r.member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Member gives the member of the name, if it is known.
func (d *Detector) Member(name string) (Member, bool) {
	if name == d.self.Name {
		return d.self, true
	}
	r, ok := d.members[name]
	if !ok {
		return Member{}, false
	}
	return r.member, true
}

func (d *Detector) names() []string {
	out := make([]string, 0, len(d.members))
	for name := range d.members {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
