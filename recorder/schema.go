// Package recorder holds the records that entries keep in the platform's log.
// This file is the schema; schema_gen.go is generated from it by scripts/generate.sh.
// Limits bound lists and byte fields. The generator has none for strings, which the record's own size bounds.
package recorder

//go:generate msgp -file schema.go -o schema_gen.go -tests=false

//msgp:tuple Claim Release Outcome Closed Change Object Verdict Lease
//msgp:ignore Record

// Record is one record of a log stream, as the log gave it out.
type Record struct {
	Offset int64
	// AtMillis is the log's own time of the append, in Unix milliseconds.
	AtMillis int64
	Data     []byte
}

// Claim says that one incarnation of an entry wants to be the only one that dispatches a key's request.
type Claim struct {
	Account string
	Key     string
	// Digest is the SHA-256 of the request's body.
	Digest  [32]byte
	ClaimID uint64
}

// Release says that the claim's owner dispatched nothing under it and never will.
type Release struct {
	Account string
	Key     string
	ClaimID uint64
}

// Outcome says how the request of a claim ended.
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

// Closed says that later claims of an entry's incarnation are void.
type Closed struct {
	Entry       string
	Incarnation uint64
}

// ClaimBatch is one append to the claims stream. A reader takes the releases first,
// then the outcomes, the closed incarnations and the claims.
type ClaimBatch struct {
	Entry       string    `msg:"entry"`
	Incarnation uint64    `msg:"incarnation"`
	BatchID     uint64    `msg:"batchId"`
	Releases    []Release `msg:"releases,limit=8192,omitempty"`
	Outcomes    []Outcome `msg:"outcomes,limit=8192,omitempty"`
	Closed      []Closed  `msg:"closed,limit=8192,omitempty"`
	Claims      []Claim   `msg:"claims,limit=8192,omitempty"`
	// EraMark is the era of the log that the writer knew of when it appended the batch to mark that era's beginning; else 0.
	EraMark int64 `msg:"eraMark,omitempty"`
}

// Change is one operator's change of one configuration object.
type Change struct {
	OperationID string
	Operator    string
	Kind        string
	Name        string
	BaseVersion int64
	Remove      bool
	// Body is the object as JSON.
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

// Verdict is the fold's decision on one change.
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

// SnapshotPart is one of the records that together hold the whole configuration.
type SnapshotPart struct {
	// SnapshotID is the same in all parts of one snapshot.
	SnapshotID string `msg:"snapshotId"`
	Part       int    `msg:"part"`
	Parts      int    `msg:"parts"`
	// ThroughOffset is the offset up to which changes are in the snapshot. It is below the part's own offset,
	// and changes of others may lie between the two.
	ThroughOffset int64     `msg:"throughOffset"`
	Objects       []Object  `msg:"objects,limit=8192"`
	Verdicts      []Verdict `msg:"verdicts,limit=2048"`
}

// ConfigRecord is one append to the configuration stream: a change or a part of a snapshot.
type ConfigRecord struct {
	Change   *Change       `msg:"change,omitempty"`
	Snapshot *SnapshotPart `msg:"snapshot,omitempty"`
}

// Lease is one append to the leases stream: an incarnation of an entry wants to be the one orderer of a pool, or to
// stay it. The record's offset is the fencing number of the orders given under it.
type Lease struct {
	Pool        string
	Entry       string
	Incarnation uint64
	// LeaseID is unique within the incarnation.
	LeaseID uint64
	// Millis is how long the lease lasts from the log's own time of the append.
	Millis int64
	// Base is the offset of the pool's newest valid record that the sender knew of, 0 for none. It decides nothing,
	// but proves that record's validity to a reader that has not the ones before it.
	Base int64
}
