package claimer

// Decision is a fact settled by the log: Won, Lost, Voided, Unverified, ForeignOutcome, Released,
// IncarnationClosed or BatchCommitted.
type Decision interface {
	decision()
}

// Won reports that this incarnation's claim is the first valid one for its key, so that it alone may dispatch
// the request. Offset is the offset of the claim and serves as the fencing token. An owner that has already
// answered its caller must release the claim instead, and so must one that no longer has the claim, which may
// be a late second copy.
type Won struct {
	Key     Key
	ClaimID uint64
	Offset  int64
}

// Lost reports that the key is held by another claim.
type Lost struct {
	Key     Key
	ClaimID uint64
	Holder  KeyStatus
	// SameDigest reports whether the holder's request has the same body. If not, the key was used for two
	// requests.
	SameDigest bool
}

// VoidReason is the reason why every reader ignores a claim.
type VoidReason uint8

// Reasons for a void claim.
const (
	// VoidClosed means that the claim follows the closing of its own incarnation.
	VoidClosed VoidReason = iota + 1
	// VoidTooOld means that the claim was appended after its key's horizon.
	VoidTooOld
	// VoidFromFuture means that the key's time is ahead of the log's time by more than MaxSkew.
	VoidFromFuture
	// VoidBadKey means that the key is not a UUIDv7.
	VoidBadKey
)

// Voided reports that this incarnation's claim is void at every entry: the request did not run under it.
type Voided struct {
	Key     Key
	ClaimID uint64
	Reason  VoidReason
}

// Unverified reports that this incarnation's claim is the first one in this table, but that the table may have
// missed earlier ones. The claim must be neither dispatched nor released, because other entries may or may not
// regard it as the holder.
type Unverified struct {
	Key     Key
	ClaimID uint64
}

// ForeignOutcome reports the outcome of a request that another incarnation claimed.
type ForeignOutcome struct {
	Key    Key
	Status KeyStatus
}

// Released reports that a claim was released: nothing ran under the key, and it can be claimed again.
type Released struct {
	Key Key
}

// IncarnationClosed reports that an incarnation was closed. The outcome of its claims without a recorded
// outcome is unknown.
type IncarnationClosed struct {
	Entry       string
	Incarnation uint64
}

// BatchCommitted reports that a batch of this incarnation is in the log.
type BatchCommitted struct {
	BatchID uint64
}

func (Won) decision()               {}
func (Lost) decision()              {}
func (Voided) decision()            {}
func (Unverified) decision()        {}
func (ForeignOutcome) decision()    {}
func (Released) decision()          {}
func (IncarnationClosed) decision() {}
func (BatchCommitted) decision()    {}
