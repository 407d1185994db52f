package claimer

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// KeyUnverifiableError reports a key for which this table may have missed a claim.
type KeyUnverifiableError struct {
	CreatedAt time.Time
	// Lapsed reports that this applies to every key until the process starts a new incarnation.
	Lapsed bool
}

func (e *KeyUnverifiableError) Error() string {
	if e.Lapsed {
		return "records of the claims stream were cut before they were read"
	}
	return fmt.Sprintf("claims from the time of the key, %s, were not all read", e.CreatedAt.UTC().Format(time.RFC3339Nano))
}

// KeyStatus is the state of a key according to the log.
type KeyStatus struct {
	// Held reports whether a claim holds the key; it is false after the claim's release.
	Held        bool
	Entry       string
	Incarnation uint64
	ClaimID     uint64
	Offset      int64
	Digest      [32]byte
	// OwnerClosed reports whether the owner's incarnation was closed. If it was and no outcome is recorded, the
	// outcome is unknown.
	OwnerClosed bool
	// Ended reports whether an outcome is recorded.
	Ended   bool
	Outcome RecordedOutcome
}

// RecordedOutcome is an outcome read from the log.
type RecordedOutcome struct {
	State   OutcomeState
	Answer  string
	Parts   int
	Code    string
	Message string
	// Offset is the log offset of the outcome.
	Offset int64
	// AnswerInLog reports that the answer was dropped from memory, with StateAnswerNotKept, and can be read
	// from the log at Offset.
	AnswerInLog bool
}

// keyID is the compact form of a Key: a number for the account and the key's 16 bytes.
type keyID struct {
	account uint32
	id      uuid.UUID
}

// owner identifies one incarnation of an entry.
type owner struct {
	entry       uint32
	incarnation uint64
}

// claimIdentity identifies a claim, however often its record was appended.
type claimIdentity struct {
	owner   owner
	claimID uint64
}

// keyState is the state stored for one key. Its expiry follows from the key's own time, so no time is stored.
type keyState struct {
	claim  claimIdentity
	offset int64
	digest [32]byte
	held   bool
	// outcome is nil until an outcome is recorded.
	outcome *RecordedOutcome
}

func (s *keyState) assign(claim claimIdentity, offset int64, digest [32]byte) {
	s.claim = claim
	s.offset = offset
	s.digest = digest
	s.held = true
}

func (s *keyState) ended() bool { return s.outcome != nil }

func (s *keyState) recordOutcome(offset int64, r Outcome) {
	s.outcome = &RecordedOutcome{
		State:   r.State,
		Answer:  r.Answer,
		Parts:   r.Parts,
		Code:    r.Code,
		Message: r.Message,
		Offset:  offset,
	}
}

func (t *Table) status(s *keyState) KeyStatus {
	out := KeyStatus{
		Held:        s.held,
		Entry:       t.names.name(s.claim.owner.entry),
		Incarnation: s.claim.owner.incarnation,
		ClaimID:     s.claim.claimID,
		Offset:      s.offset,
		Digest:      s.digest,
		OwnerClosed: t.closed[s.claim.owner],
	}
	if s.outcome != nil {
		out.Ended = true
		out.Outcome = *s.outcome
	}
	return out
}

// nameTable assigns a number to each account and entry, so that each name is stored once.
type nameTable struct {
	ids  map[string]uint32
	text []string
}

func newNameTable() nameTable { return nameTable{ids: make(map[string]uint32)} }

func (n *nameTable) intern(name string) uint32 {
	id, ok := n.ids[name]
	if !ok {
		id = uint32(len(n.text))
		n.ids[name] = id
		n.text = append(n.text, name)
	}
	return id
}

func (n *nameTable) find(name string) (uint32, bool) {
	id, ok := n.ids[name]
	return id, ok
}

func (n *nameTable) name(id uint32) string { return n.text[id] }
