// Package recorder defines the records that entries store in the platform's log.
// This file is the schema; schema_gen.go is generated from it by scripts/generate.sh.
// Limits bound lists and byte fields. The generator supports none for strings, which are bounded by the record's size.
package recorder

//go:generate msgp -file schema.go -o schema_gen.go -tests=false

//msgp:tuple Claim Release Outcome Closed Change Object Verdict Lease
//msgp:ignore Record

// Record is one record of a log stream, as the log returned it.
type Record struct {
	Offset int64
	// AtMillis is the time of the append by the log's clock, in Unix milliseconds.
	AtMillis int64
	Data     []byte
}

// Claim states that one incarnation of an entry wants to be the only one that dispatches the request of a key.
type Claim struct {
	Account string
	Key     string
	// Digest is the SHA-256 of the request's body.
	Digest  [32]byte
	ClaimID uint64
}

// Release states that the claim's owner dispatched nothing under it and never will.
type Release struct {
	Account string
	Key     string
	ClaimID uint64
}

// Outcome states how the request of a claim ended.
type Outcome struct {
	Account string
	Key     string
	ClaimID uint64
	State   uint8
	Answer  string
	Parts   int32
	Code    string
	Message string
}

// Closed states that claims of an entry's incarnation that come later in the log are void.
type Closed struct {
	Entry       string
	Incarnation uint64
}

// ClaimBatch is one append to the claims stream. A reader applies the releases first, then the outcomes, the closed
// incarnations and the claims.
type ClaimBatch struct {
	Entry       string    `msg:"entry"`
	Incarnation uint64    `msg:"incarnation"`
	BatchID     uint64    `msg:"batchId"`
	Releases    []Release `msg:"releases,limit=8192,omitempty"`
	Outcomes    []Outcome `msg:"outcomes,limit=8192,omitempty"`
	Closed      []Closed  `msg:"closed,limit=8192,omitempty"`
	Claims      []Claim   `msg:"claims,limit=8192,omitempty"`
	// EraMark is the era of the log known to the writer, if it appended the batch to mark the beginning of that era; 0
	// otherwise.
	EraMark int64 `msg:"eraMark,omitempty"`
}

// Change is an operator's change of one configuration object.
type Change struct {
	OperationID string
	Operator    string
	Kind        string
	Name        string
	BaseVersion int64
	Remove      bool
	// Body is the object encoded as JSON.
	Body     []byte `msg:",limit=262144"`
	AtMillis int64
}

// Object is a configuration object in force; its version is the offset of the change that put it in force.
type Object struct {
	Kind    string
	Name    string
	Version int64
	Body    []byte `msg:",limit=262144"`
}

// Verdict is the decision on one change, made when the change is applied to the configuration.
type Verdict struct {
	OperationID string
	Operator    string
	Kind        string
	Name        string
	State       uint8
	Version     int64
	Message     string
	AtMillis    int64
}

// SnapshotPart is one of the records that together contain the whole configuration.
type SnapshotPart struct {
	// SnapshotID is the same in all parts of one snapshot.
	SnapshotID string `msg:"snapshotId"`
	Part       int    `msg:"part"`
	Parts      int    `msg:"parts"`
	// ThroughOffset is the offset up to which the snapshot includes changes. It is lower than the part's own offset, and
	// changes by other entries may lie between the two.
	ThroughOffset int64     `msg:"throughOffset"`
	Objects       []Object  `msg:"objects,limit=8192"`
	Verdicts      []Verdict `msg:"verdicts,limit=2048"`
}

// ConfigRecord is one append to the configuration stream: a change or a part of a snapshot.
type ConfigRecord struct {
	Change   *Change       `msg:"change,omitempty"`
	Snapshot *SnapshotPart `msg:"snapshot,omitempty"`
}

// Lease is one append to the leases stream: an incarnation of an entry wants to become or remain the only orderer of a
// pool. The record's offset is the fencing token of the orders issued under it.
type Lease struct {
	Pool        string
	Entry       string
	Incarnation uint64
	// LeaseID is unique within the incarnation.
	LeaseID uint64
	// Millis is the duration of the lease, counted from the time of the append by the log's clock.
	Millis int64
	// Base is the offset of the pool's newest valid record known to the sender, 0 if there is none. It does not affect who
	// holds the lease, but proves that record's validity to a reader that lacks the records before it.
	Base int64
}
