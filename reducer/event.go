package reducer

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/endpointserver"
	"geraniumline/placer"
	"geraniumline/publisher"
	"geraniumline/recorder"
	"geraniumline/router"
)

// Event is something that happened outside the core. The set of events is closed.
type Event interface{ event() }

// Credentials are what a caller proves its client account by.
type Credentials struct {
	Account string
	// Hash is the credential's SHA-256 in hex, so that no credential enters the core.
	Hash string
}

// RequestArrived is a caller's new request.
type RequestArrived struct {
	ID          uint64
	Credentials Credentials
	Pipeline    string
	Key         string
	Input       string
	// Digest is the SHA-256 of pipeline and input: the same key with another digest is refused.
	Digest   [32]byte
	Deadline time.Duration
	Stream   bool
}

// CallerGone tells that the caller of a request has closed its connection.
type CallerDisconnected struct{ ID uint64 }

// AddressesAsked is a caller's question which entries to use.
type AddressesRequested struct {
	ID          uint64
	Credentials Credentials
}

// OutcomeAsked is a caller's question for the outcome of a request by its key.
type OutcomeRequested struct {
	ID          uint64
	Credentials Credentials
	Key         string
}

// StagePartArrived is one part of an endpoint's reply to the call that CallStage named.
type StagePartArrived struct {
	Call CallID
	Part endpointserver.StagePart
}

// StageFailed tells that a call ended without its final part.
type StageFailed struct {
	Call  CallID
	Fault StageFault
}

// FaultKind says how a stage call failed.
type FaultKind uint8

// The ways in which a stage call fails.
const (
	// FaultNotSent means that the endpoint surely did not act on the call.
	FaultNotSent FaultKind = iota
	// FaultLeaving means that the endpoint refused because it is leaving.
	FaultLeaving
	// FaultBusy means that the endpoint refused because it is overloaded.
	FaultBusy
	// FaultStaleFence means that the endpoint refused because it saw a newer claim.
	FaultStaleFence
	// FaultBadCall means that the endpoint refuses the call wherever it is sent.
	FaultInvalidCall
	// FaultFailed means that the endpoint may have acted on the call and answered an error.
	FaultError
	// FaultCut means that the connection ended after the call was sent.
	FaultConnectionLost
	// FaultTimeout means that the endpoint did not answer within the stage's budget.
	FaultTimeout
)

// StageFault tells how a stage call failed.
type StageFault struct {
	Kind       FaultKind
	Message    string
	RetryAfter time.Duration
}

// LogRead carries records of a stream of the platform's log.
type LogRead struct {
	Stream  Stream
	Records []recorder.Record
	// First is the oldest offset that the log still keeps, Next the one to read next.
	First int64
	Next  int64
	// Era counts the returns of the log from an older copy. The first page of a new era is from the stream's beginning.
	Era int64
	// AtEnd tells that there was nothing more to read.
	AtEnd bool
}

// LogFailed tells that a stream could not be read.
type LogFailed struct {
	Stream Stream
	Reason string
}

// Appended tells how an append ended.
type Appended struct {
	Stream Stream
	// BatchID is the one that the Append effect carried.
	BatchID uint64
	Result  claimer.AppendResult
}

// PeerMessageArrived is a message from another entry.
type PeerMessageArrived struct {
	// From is the sender's name, proved by the shared key.
	From    string
	Message carrier.Message
}

// VMsListed is the platform's lagging list of VMs.
type VMsListed struct {
	Endpoints []router.VM
	Entries   []EntryHint
}

// EntryHint is a line of the VM list that names an entry.
type EntryHint struct {
	PeerAddress string
	Zone        string
	Leaving     bool
}

// LoadReported is an endpoint's report of its load.
type LoadReported struct {
	Address string
	Report  router.LoadReport
}

// CacheEventsRead is a page of an endpoint's cache events; Next is the number that follows it.
type CacheEventsRead struct {
	Address string
	Events  []router.CacheEvent
	Next    int64
}

// PeerRefused tells that no process listens at a peer address.
type PeerConnectionRefused struct{ Address string }

// EndpointRefused tells that nothing serves at an endpoint's address: it refused the question for its load.
type EndpointConnectionRefused struct{ Address string }

// ChangeAsked is an operator's change of configuration.
type ChangeRequested struct {
	ID     uint64
	Change publisher.Change
}

// OperationAsked is an operator's question for the verdict on an earlier change.
type OperationRequested struct {
	ID          uint64
	OperationID string
}

// ConfigAsked is an operator's question for the objects in force.
type ConfigRequested struct {
	ID         uint64
	ObjectKind string
	Name       string
}

// HistoryAsked is an operator's question for recent changes.
type HistoryRequested struct {
	ID    uint64
	Limit int
}

// StatusAsked is an operator's question for the system as this entry sees it.
type StatusRequested struct{ ID uint64 }

// StopAsked starts a planned stop, or only asks for its progress.
type StopRequested struct {
	ID    uint64
	Begin bool
}

// StopSignalled is the process's signal to stop as planned.
type StopSignalReceived struct{}

// AssignmentRead is what an engine of a placed pool holds.
type AssignmentRead struct {
	Pool    string
	Address string
	// Asked is that of the effect ReadAssignment.
	RequestedAt time.Time
	State       placer.Assignment
}

// OrderEnded tells how an order to an engine ended.
type OrderEnded struct {
	Pool    string
	Address string
	Result  placer.Result
}

// Ticked lets time pass.
type Ticked struct{}

func (*RequestArrived) event()           {}
func (CallerDisconnected) event()        {}
func (AddressesRequested) event()        {}
func (OutcomeRequested) event()          {}
func (*StagePartArrived) event()         {}
func (StageFailed) event()               {}
func (LogRead) event()                   {}
func (LogFailed) event()                 {}
func (Appended) event()                  {}
func (PeerMessageArrived) event()        {}
func (VMsListed) event()                 {}
func (PeerConnectionRefused) event()     {}
func (EndpointConnectionRefused) event() {}
func (LoadReported) event()              {}
func (CacheEventsRead) event()           {}
func (ChangeRequested) event()           {}
func (OperationRequested) event()        {}
func (ConfigRequested) event()           {}
func (HistoryRequested) event()          {}
func (StatusRequested) event()           {}
func (StopRequested) event()             {}
func (StopSignalReceived) event()        {}
func (AssignmentRead) event()            {}
func (OrderEnded) event()                {}
func (Ticked) event()                    {}
