package detector

import (
	"time"

	"geraniumline/carrier"
)

// Member is the state of one entry as known to this entry.
type Member struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Incarnation distinguishes processes that used the same name; a restarted one has a higher value.
	Incarnation  uint64
	State        State
	ConfigOffset int64
	InFlight     int32
	// Capacity is the load that the member's VM can carry, in thousandths of a core.
	Capacity int32
	// LastHeard is the estimated time at which the member's latest step was received, here or by a peer.
	LastHeard time.Time
	// LastDirectHeartbeat is when the member's latest heartbeat arrived here; zero if none did.
	LastDirectHeartbeat time.Time
	// Sequence is the latest known step of the member's loop.
	Sequence uint64
	// Leaving is set while the VM list marks the member's VM as leaving. It is only a hint.
	Leaving bool
}

// Transition is a change of a member's state, or reports that this entry resumed after a pause.
type Transition struct {
	Member Member
	From   State
	To     State
	// Paused is how long this entry's own loop was paused. It is set only on the transition that reports the pause,
	// whose Member is this entry itself.
	Paused time.Duration
	// ConnectionRefused is set if a member is considered dead because its address refuses connections. Its process
	// has then ended, so it can't be on the other side of a network partition.
	ConnectionRefused bool
}

// Resumed reports whether this entry was paused for so long that its peers may have considered it dead. Anything it
// held by time alone (leases, cached answers) must be revalidated before use.
func (t Transition) Resumed() bool {
	return t.Paused > 0
}

// record is the detector's internal state of one other member.
type record struct {
	member Member
	// declared is the state that the member reported about itself with its latest sequence number.
	declared State
	probedAt time.Time
	// refusedAt is when the member's address last refused a connection.
	refusedAt time.Time
	// id is the pulse ID of the member's current process.
	id uint32
	// announcements is the number of further heartbeats that announce the member: they describe it in full, or above
	// MaxFullMesh contain its pulse although it is in another zone.
	announcements int
}

func (r *record) wire(now time.Time) carrier.Member {
	w := wireMember(&r.member)
	w.State = uint8(r.declared)
	w.AgeMillis = ageMillis(now.Sub(r.member.LastHeard))
	return w
}

// newer reports whether w is from a later step of the member than the known one.
func (r *record) newer(w *carrier.Member) bool {
	if w.Incarnation != r.member.Incarnation {
		return w.Incarnation > r.member.Incarnation
	}
	return w.Sequence > r.member.Sequence
}

// update copies what the member reported at its latest step.
func (r *record) update(w *carrier.Member, heard time.Time) {
	r.member.Zone = w.Zone
	r.member.CallerAddress = w.CallerAddress
	r.member.PeerAddress = w.PeerAddress
	r.member.ConfigOffset = w.ConfigOffset
	r.member.InFlight = w.InFlight
	r.member.Capacity = w.Capacity
	r.advance(w.Sequence, w.State, heard)
}

// advance records a later step of the same process.
func (r *record) advance(sequence uint64, state uint8, heard time.Time) {
	r.member.Sequence = sequence
	r.declared = parseDeclared(state)
	if heard.After(r.member.LastHeard) {
		r.member.LastHeard = heard
	}
}

func wireMember(m *Member) carrier.Member {
	return carrier.Member{
		Name:          m.Name,
		Zone:          m.Zone,
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
		Incarnation:   m.Incarnation,
		State:         uint8(m.State),
		ConfigOffset:  m.ConfigOffset,
		InFlight:      m.InFlight,
		Capacity:      m.Capacity,
		Sequence:      m.Sequence,
	}
}

func ageMillis(age time.Duration) uint32 {
	const limit = time.Hour
	age = min(max(age, 0), limit)
	return uint32(age.Milliseconds())
}
