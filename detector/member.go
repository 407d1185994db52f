package detector

import (
	"time"

	"geraniumline/carrier"
)

// Member is what this entry knows of one entry.
type Member struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	// Incarnation tells the processes that had this name apart; a restart has a higher one.
	Incarnation  uint64
	State        State
	ConfigOffset int64
	InFlight     int32
	// Capacity is what the member's VM can carry, in thousandths of a core.
	Capacity int32
	// LastHeard is when the newest step of the member's loop is believed to have been heard, here or by a peer.
	LastHeard time.Time
	// LastDirectHeartbeat is when its newest heartbeat arrived here; zero if none did.
	LastDirectHeartbeat time.Time
	// Sequence is the newest step of the member's loop that this entry knows of.
	Sequence uint64
	// Leaving is set while the VM list says that the member's VM is leaving. It is a hint.
	Leaving bool
}

// Transition is a change of a member's state, or the return of this entry from a pause.
type Transition struct {
	Member Member
	From   State
	To     State
	// Paused is how long this entry's own loop stood still. It is set only on the transition that reports
	// the pause, whose Member is this entry itself.
	Paused time.Duration
	// ConnectionRefused tells that a member is taken for dead since its address refuses connections: its process has ended,
	// and it can't be on the far side of a cut.
	ConnectionRefused bool
}

// Resumed tells that this entry was paused for so long that its peers may have taken it for dead.
// What it held by time alone (leases, cached answers) must be checked again before use.
func (t Transition) Resumed() bool {
	return t.Paused > 0
}

// record is the detector's own state of one other member.
type record struct {
	member Member
	// declared is the state that the member itself gave with its newest sequence.
	declared State
	probedAt time.Time
	// refusedAt is when the member's address last refused a connection.
	refusedAt time.Time
	// id is the pulse id of the member's present process.
	id uint32
	// introductions is how many more heartbeats name the member in full.
	introductions int
}

func (r *record) wire(now time.Time) carrier.Member {
	w := wireMember(&r.member)
	w.State = uint8(r.declared)
	w.AgeMillis = ageMillis(now.Sub(r.member.LastHeard))
	return w
}

// newer tells whether w was said by a later step of the member than the one known.
func (r *record) newer(w *carrier.Member) bool {
	if w.Incarnation != r.member.Incarnation {
		return w.Incarnation > r.member.Incarnation
	}
	return w.Sequence > r.member.Sequence
}

// take copies what the member said at its newest step.
func (r *record) take(w *carrier.Member, heard time.Time) {
	r.member.Zone = w.Zone
	r.member.CallerAddress = w.CallerAddress
	r.member.PeerAddress = w.PeerAddress
	r.member.ConfigOffset = w.ConfigOffset
	r.member.InFlight = w.InFlight
	r.member.Capacity = w.Capacity
	r.advance(w.Sequence, w.State, heard)
}

// advance notes a later step of the same process.
func (r *record) advance(sequence uint64, state uint8, heard time.Time) {
	r.member.Sequence = sequence
	r.declared = declared(state)
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
