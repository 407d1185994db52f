package claimer

// Decision is what the log has settled: Won, Lost, Voided, Unproved, ForeignOutcome, Freed, ClosedOwner or Landed.
type Decision interface {
	decision()
}

// Won tells that the own claim is the first valid one for its key: this incarnation, and no other ever, may
// dispatch. Offset is the claim's, and serves as fencing number. An owner that has already given its caller an
// answer must release instead; so must one that no longer knows the claim, which may be a late second copy.
type Won struct {
	Key     Key
	ClaimID uint64
	Offset  int64
}

// Lost tells that the key belongs to another claim.
type Lost struct {
	Key     Key
	ClaimID uint64
	Holder  KeyStatus
	// SameDigest tells that the holder's request has the same body; if not, the key was used for two requests.
	SameDigest bool
}

// VoidReason tells why no reader takes a claim.
type VoidReason uint8

// Why a claim is void.
const (
	// VoidClosed is for a claim after its own incarnation was closed.
	VoidClosed VoidReason = iota + 1
	// VoidTooOld is for a claim that landed after its key's horizon.
	VoidTooOld
	// VoidFromFuture is for a claim whose key is born later than clocks may differ.
	VoidFromFuture
	// VoidBadKey is for a claim whose key is not a UUIDv7.
	VoidBadKey
)

// Voided tells that the own claim holds nothing, for anyone: the request did not run under it.
type Voided struct {
	Key     Key
	ClaimID uint64
	Reason  VoidReason
}

// Unverified tells that the own claim is the first one this table knows, but that it may have missed earlier ones.
// It must not be dispatched, nor released: others may take it for the holder or may not.
type Unverified struct {
	Key     Key
	ClaimID uint64
}

// ForeignOutcome tells that a request of another claim ended.
type ForeignOutcome struct {
	Key    Key
	Status KeyStatus
}

// Released tells that a claim was released: nothing ran under the key, and it may be claimed again.
type Released struct {
	Key Key
}

// IncarnationClosed tells that an incarnation was closed: its claims without outcome are of unknown outcome.
type IncarnationClosed struct {
	Entry       string
	Incarnation uint64
}

// BatchCommitted tells that an own batch is in the log.
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
