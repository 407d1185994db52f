// Package detector implements failure detection between entries, based on their heartbeats and on the state that
// peers relay.
//
// Liveness is proven by a sequence number that only its owner increments, once for each iteration of the owner's
// loop, and that is ordered within an incarnation. Peers relay the highest sequence that they know for each member,
// so a member counts as silent only if no path delivers a higher one. Suspicion is never relayed: each entry decides
// on its own that another member is dead. A member therefore has nothing to refute, and one bad path can't make other
// entries give up a member.
//
// The package is pure: it reads no clock, starts no goroutine and sends nothing.
package detector

import (
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/carrier"
	"geraniumline/hasher"
)

// phaseShift keeps the phase small, so that sums with it don't overflow.
const phaseShift = 32

// Config holds the identity, timeouts and limits of a Detector.
type Config struct {
	// Self is this entry: name, zone, addresses and incarnation.
	Self carrier.Member
	// Seeds are peer addresses that are probed for as long as no live member is known there.
	Seeds []string
	// SuspectAfter is the silence after which a member is no longer handed out to callers.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member is considered dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a member is removed from the membership.
	ForgetAfter time.Duration
	// ProbeInterval is the time between probes of dead members, hints and seeds. Zero means SuspectAfter.
	ProbeInterval time.Duration
	// MaxFullMesh is the largest number of entries for which each entry sends its heartbeats to all others. In larger
	// systems heartbeats spread by gossip: other contents of a heartbeat then reach only its targets, which must
	// relay them. Zero means no limit.
	MaxFullMesh int
	// GossipSuspectAfter and GossipDeadAfter replace SuspectAfter and DeadAfter above MaxFullMesh if they are longer:
	// a new sequence number takes several rounds of heartbeats to spread.
	GossipSuspectAfter time.Duration
	GossipDeadAfter    time.Duration
	// HeartbeatInterval is the time between heartbeats, from which entries derive a common round number above
	// MaxFullMesh. If zero, each entry counts its own rounds.
	HeartbeatInterval time.Duration
	// Fanout is the number of entries in the own availability zone that receive each heartbeat above MaxFullMesh.
	// Zero means 4.
	Fanout int
}

// Detector holds the membership as seen by this entry.
type Detector struct {
	cfg     Config
	self    Member
	members map[string]*record
	// sorted holds the members ordered by name.
	sorted []*record
	index  index
	hints  map[string]*hint
	// id is the pulse ID of this entry.
	id uint32
	// sendFull is set when a heartbeat arrives from an unknown process: up to MaxFullMesh members, the next heartbeat
	// describes all of them in full.
	sendFull bool
	// newPeers are the processes that may not know this entry yet. They receive the next heartbeat, or above
	// MaxFullMesh an introduction.
	newPeers []newPeer
	// introduced is the index of the member up to which introductions have gone through d.sorted.
	introduced int
	// requested holds the pulse IDs of unknown members whose descriptions were requested from a peer, and when.
	requested map[uint32]time.Time
	// heartbeats counts the heartbeats built. phase staggers entries so that they describe different members in full.
	heartbeats, phase uint64
	// gossipRound counts the target selections above MaxFullMesh.
	gossipRound uint64
	// zoneSize is the number of entries of the own zone that receive heartbeats, including this one, as of the latest
	// target selection above MaxFullMesh.
	zoneSize int
	// lastCall is the latest time passed to any call; zero before the first.
	lastCall time.Time
	acks     ackTracker
	// declared is the state set by SetSelf.
	declared State
	// superseded is set once a newer process with this entry's name is known.
	superseded bool
}

// newPeer is a process that may not know this entry yet.
type newPeer struct {
	address, zone string
}

// New returns a Detector that knows only its own entry.
func New(cfg Config) *Detector {
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = cfg.SuspectAfter
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = defaultFanout
	}
	d := &Detector{
		cfg:       cfg,
		members:   make(map[string]*record),
		index:     newIndex(),
		id:        pulseID(cfg.Self.Name, cfg.Self.Incarnation),
		phase:     hasher.Mix(xxhash.Sum64String(cfg.Self.Name)) >> phaseShift,
		hints:     make(map[string]*hint),
		requested: make(map[uint32]time.Time),
		declared:  Live,
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

// SetSelf sets what this entry announces about itself: its state (Live, Stopping or Stopped), its configuration
// offset and its load.
func (d *Detector) SetSelf(state State, configOffset int64, inFlight int32) {
	d.declared = state
	d.self.ConfigOffset = configOffset
	d.self.InFlight = inFlight
	d.self.State = d.assessSelf(d.lastCall)
}

// Receive processes a heartbeat from a peer and returns the resulting state changes.
func (d *Detector) Receive(hb *carrier.Heartbeat, now time.Time) []Transition {
	out := d.detectPause(now)
	out = d.mergeSender(hb, now, out)
	for i := range hb.Members {
		out = d.mergeMember(&hb.Members[i], now, out)
	}
	for i := range hb.Pulses {
		out = d.mergePulse(&hb.Pulses[i], now, out)
	}
	return d.updateSelf(now, out)
}

// Tick runs one iteration of this entry's loop: it increments the own sequence number, re-evaluates all members and
// returns the resulting state changes. It must be called at least once for each heartbeat that is sent.
func (d *Detector) Tick(now time.Time) []Transition {
	out := d.detectPause(now)
	d.self.Sequence++
	d.self.LastHeard = now
	d.acks.recordStep(d.self.Sequence, now)
	for _, r := range d.sorted {
		out = d.updateState(r, now, out)
	}
	d.forget(now)
	d.dropHints(now)
	d.expireQueries(now)
	return d.updateSelf(now, out)
}

// Self returns this entry as it is sent in the From field of a heartbeat.
func (d *Detector) Self() carrier.Member {
	return wireMember(&d.self)
}

// Digest returns the known state of all other members except dead ones, for which there is nothing new to relay.
func (d *Detector) Digest(now time.Time) []carrier.Member {
	out := make([]carrier.Member, 0, len(d.sorted))
	for _, r := range d.sorted {
		if r.member.State != Dead {
			out = append(out, r.wire(now))
		}
	}
	return out
}

// All iterates over all known members, including this entry, in the order of their names. The members must not be
// changed, and are valid only until the next call of another method.
func (d *Detector) All() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		own, _ := d.find(d.self.Name)
		for _, r := range d.sorted[:own] {
			if !yield(&r.member) {
				return
			}
		}
		if !yield(&d.self) {
			return
		}
		for _, r := range d.sorted[own:] {
			if !yield(&r.member) {
				return
			}
		}
	}
}

// Members returns copies of all known members, including this entry, ordered by name.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.sorted)+1)
	for m := range d.All() {
		out = append(out, *m)
	}
	return out
}

// Member returns the member with the given name and whether it is known.
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

// find returns the index of name in d.sorted, or where it would be inserted, and whether it is present.
func (d *Detector) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.sorted, name, compareName)
}

func compareName(r *record, name string) int {
	return strings.Compare(r.member.Name, name)
}

// add inserts a record for an unknown member.
func (d *Detector) add(name string) *record {
	r := &record{member: Member{Name: name}}
	at, _ := d.find(name)
	d.sorted = slices.Insert(d.sorted, at, r)
	d.members[name] = r
	return r
}

// forget removes members that have been silent for longer than ForgetAfter.
func (d *Detector) forget(now time.Time) {
	d.sorted = slices.DeleteFunc(d.sorted, func(r *record) bool {
		silent := now.Sub(r.member.LastHeard) > d.cfg.ForgetAfter
		if silent {
			delete(d.members, r.member.Name)
			d.index.remove(r)
		}
		return silent
	})
}
