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

	"github.com/cespare/xxhash/v2"

	"geraniumline/carrier"
	"geraniumline/hasher"
)

// phaseShift keeps the phase small, so that sums with it don't overflow.
const phaseShift = 32

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
	// ProbeInterval is how often dead members, hints and seeds are tried. Zero means SuspectAfter.
	ProbeInterval time.Duration
	// MaxFullMesh is up to how many entries each sends its heartbeats to all others. Beyond it they spread by gossip. What
	// else a heartbeat carries then reaches only its targets, and must be told on by them. Zero means always.
	MaxFullMesh int
	// GossipSuspectAfter and SpreadDeadAfter stand for SuspectAfter and DeadAfter beyond FullMesh, where they are longer:
	// news of a step take some rounds of heartbeats.
	GossipSuspectAfter time.Duration
	GossipDeadAfter    time.Duration
	// HeartbeatInterval is the time between heartbeats, by which entries agree on the number of a round beyond FullMesh.
	// Zero: each counts its own.
	HeartbeatInterval time.Duration
	// Fanout is how many entries of the own availability zone get each heartbeat beyond FullMesh. Zero means 4.
	Fanout int
}

// Detector holds the membership as this entry sees it.
type Detector struct {
	cfg     Config
	self    Member
	members map[string]*record
	// order holds the members in the order of their names.
	order []*record
	index index
	hints map[string]*hint
	// id is this entry's own pulse id.
	id uint32
	// newcomer is set when a heartbeat came from a member that was unknown: the next heartbeat tells it all.
	newcomer bool
	// greet holds the addresses of newcomers, which get the next heartbeat in any case.
	greet []string
	// turn counts heartbeats, and phase sets entries apart in whom they name in full.
	turn, phase uint64
	// round counts the choices of targets beyond FullMesh.
	round uint64
	// lastStep is the time of the newest call that brought a time; zero before the first.
	lastStep time.Time
	echo     echo
	// declared is what SetSelf set.
	declared State
	// superseded is set once a newer process with this entry's name was heard of.
	superseded bool
}

// New makes a Detector that knows only of itself.
func New(cfg Config) *Detector {
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = cfg.SuspectAfter
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = defaultFanout
	}
	d := &Detector{
		cfg:      cfg,
		members:  make(map[string]*record),
		index:    newIndex(),
		id:       pulseID(cfg.Self.Name, cfg.Self.Incarnation),
		phase:    hasher.Mix(xxhash.Sum64String(cfg.Self.Name)) >> phaseShift,
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
			Capacity:      cfg.Self.Capacity,
			State:         Live,
		},
	}
	d.index.put(&record{id: d.id})
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
	for i := range hb.Pulses {
		out = d.hearPulse(&hb.Pulses[i], now, out)
	}
	return d.updateSelf(now, out)
}

// Tick is one step of this entry's loop: it raises the own sequence and judges the silence of all members.
// Call it at least once for each heartbeat that is sent.
func (d *Detector) Tick(now time.Time) []Transition {
	out := d.step(now)
	d.self.Sequence++
	d.self.LastHeard = now
	d.echo.made(d.self.Sequence, now)
	for _, r := range d.order {
		out = d.judge(r, now, out)
	}
	d.forget(now)
	d.dropHints(now)
	return d.updateSelf(now, out)
}

// Self gives this entry as it goes into the From of a heartbeat.
func (d *Detector) Self() carrier.Member {
	return wireMember(&d.self)
}

// Digest gives what this entry knows of the other members. Dead ones are left out: there is no news of them.
func (d *Detector) Digest(now time.Time) []carrier.Member {
	out := make([]carrier.Member, 0, len(d.order))
	for _, r := range d.order {
		if r.member.State != Dead {
			out = append(out, r.wire(now))
		}
	}
	return out
}

// Members gives all known members, this entry included, in the order of their names.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.order)+1)
	own, _ := d.find(d.self.Name)
	for _, r := range d.order[:own] {
		out = append(out, r.member)
	}
	out = append(out, d.self)
	for _, r := range d.order[own:] {
		out = append(out, r.member)
	}
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

// find gives the place of a name in the order, and whether it is there.
func (d *Detector) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.order, name, compareName)
}

func compareName(r *record, name string) int {
	return strings.Compare(r.member.Name, name)
}

// add makes the record of a member that is unknown.
func (d *Detector) add(name string) *record {
	r := &record{member: Member{Name: name}}
	at, _ := d.find(name)
	d.order = slices.Insert(d.order, at, r)
	d.members[name] = r
	return r
}

// forget drops the members that have been silent for ForgetAfter.
func (d *Detector) forget(now time.Time) {
	d.order = slices.DeleteFunc(d.order, func(r *record) bool {
		silent := now.Sub(r.member.LastHeard) > d.cfg.ForgetAfter
		if silent {
			delete(d.members, r.member.Name)
			d.index.remove(r)
		}
		return silent
	})
}
