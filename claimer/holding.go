package claimer

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// KeyUnverifiableError tells of a key for which this table may have missed a claim.
type KeyUnverifiableError struct {
	CreatedAt time.Time
	// Lapsed tells that it holds for every key, until the process takes a new incarnation.
	Lapsed bool
}

func (e *KeyUnverifiableError) Error() string {
	if e.Lapsed {
		return "records of the claims stream were cut before they were read"
	}
	return fmt.Sprintf("claims from the time of the key, %s, were not all read", e.CreatedAt.UTC().Format(time.RFC3339Nano))
}

// KeyStatus is what the log says of a key.
type KeyStatus struct {
	// Held tells that a claim holds the key; false after its release.
	Held        bool
	Entry       string
	Incarnation uint64
	ClaimID     uint64
	Offset      int64
	Digest      [32]byte
	// OwnerClosed tells that the owner's incarnation was closed. Without an outcome, the outcome is unknown.
	OwnerClosed bool
	// Ended tells that the outcome is recorded.
	Ended   bool
	Outcome RecordedOutcome
}

// RecordedOutcome is a recorded outcome.
type RecordedOutcome struct {
	State   OutcomeState
	Answer  string
	Parts   int
	Code    string
	Message string
	// Offset is where in the log the outcome stands.
	Offset int64
	// AnswerInLog tells that the answer was let go of, with StateAnswerNotKept, and stands in the log at Offset.
	AnswerInLog bool
}

// slot is a Key in the form in which it is held: a number for the account and the key's 16 bytes.
type slot struct {
	account uint32
	id      uuid.UUID
}

// owner is one incarnation of an entry.
type owner struct {
	entry       uint32
	incarnation uint64
}

// claimIdentity names one claim, however often its record was appended.
type claimIdentity struct {
	owner   owner
	claimID uint64
}

// holding is what is kept of one key. Its expiry is by the key's birth, so no time is kept.
type holding struct {
	claim  claimIdentity
	offset int64
	digest [32]byte
	held   bool
	// ending is nil until the outcome is recorded.
	ending *RecordedOutcome
}

func (h *holding) hold(claim claimIdentity, offset int64, digest [32]byte) {
	h.claim = claim
	h.offset = offset
	h.digest = digest
	h.held = true
}

func (h *holding) ended() bool { return h.ending != nil }

func (h *holding) end(offset int64, r Outcome) {
	h.ending = &RecordedOutcome{
		State:   r.State,
		Answer:  r.Answer,
		Parts:   r.Parts,
		Code:    r.Code,
		Message: r.Message,
		Offset:  offset,
	}
}

func (t *Table) view(h *holding) KeyStatus {
	out := KeyStatus{
		Held:        h.held,
		Entry:       t.names.name(h.claim.owner.entry),
		Incarnation: h.claim.owner.incarnation,
		ClaimID:     h.claim.claimID,
		Offset:      h.offset,
		Digest:      h.digest,
		OwnerClosed: t.closed[h.claim.owner],
	}
	if h.ending != nil {
		out.Ended = true
		out.Outcome = *h.ending
	}
	return out
}

// names gives each account and entry a small number, so that a name is held once.
type names struct {
	ids  map[string]uint32
	text []string
}

func newNames() names { return names{ids: make(map[string]uint32)} }

func (n *names) id(name string) uint32 {
	id, ok := n.ids[name]
	if !ok {
		id = uint32(len(n.text))
		n.ids[name] = id
		n.text = append(n.text, name)
	}
	return id
}

func (n *names) find(name string) (uint32, bool) {
	id, ok := n.ids[name]
	return id, ok
}

func (n *names) name(id uint32) string { return n.text[id] }
