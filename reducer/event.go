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

// Event is an occurrence outside the core. The set of events is closed.
type Event interface{ event() }

// Credentials authenticate a caller's client account.
type Credentials struct {
	Account string
	// Hash is the SHA-256 of the credential in hex, so that the core never holds the credential itself.
	Hash string
}

// RequestArrived is a caller's new request.
type RequestArrived struct {
	ID          uint64
	Credentials Credentials
	Pipeline    string
	Key         string
	Input       string
	// Digest is the SHA-256 of pipeline and input. A key that is reused with another digest is refused.
	Digest   [32]byte
	Deadline time.Duration
	Stream   bool
}

// CallerDisconnected reports that the caller of a request has closed its connection.
type CallerDisconnected struct{ ID uint64 }

// AddressesRequested is a caller's query for the entries that it should use.
type AddressesRequested struct {
	ID          uint64
	Credentials Credentials
}

// OutcomeRequested is a caller's query for the outcome of a request by its key.
type OutcomeRequested struct {
	ID          uint64
	Credentials Credentials
	Key         string
}

// StagePartArrived is one part of an endpoint's reply to a CallStage.
type StagePartArrived struct {
	Call CallID
	Part endpointserver.StagePart
}

// StageFailed reports that a call ended without its final part.
type StageFailed struct {
	Call  CallID
	Fault StageFault
}

// FaultKind is the way in which a stage call failed.
type FaultKind uint8

// The kinds of stage call failures.
const (
	// FaultNotSent means that the endpoint certainly did not act on the call.
	FaultNotSent FaultKind = iota
	// FaultLeaving means that the endpoint refused because it is leaving.
	FaultLeaving
	// FaultBusy means that the endpoint refused because it is overloaded.
	FaultBusy
	// FaultStaleFence means that the endpoint refused because it saw a newer claim.
	FaultStaleFence
	// FaultInvalidCall means that the call is invalid: every endpoint would refuse it.
	FaultInvalidCall
	// FaultError means that the endpoint may have acted on the call and answered with an error.
	FaultError
	// FaultConnectionLost means that the connection ended after the call was sent.
	FaultConnectionLost
	// FaultTimeout means that the endpoint did not answer within the time allowed for the stage.
	FaultTimeout
)

// StageFault describes the failure of a stage call.
type StageFault struct {
	Kind       FaultKind
	Message    string
	RetryAfter time.Duration
}

// LogRead carries records of a stream of the platform's log.
type LogRead struct {
	Stream  Stream
	Records []recorder.Record
	// First is the oldest offset that the log still keeps, and Next the offset to read next.
	First int64
	Next  int64
	// Era counts how often the log was restored from an older copy. The first page of a new era starts at the
	// beginning of the stream.
	Era int64
	// AtEnd is set if the page ends at the end of the stream.
	AtEnd bool
}

// LogFailed reports that a stream could not be read.
type LogFailed struct {
	Stream Stream
	Reason string
}

// Appended reports the result of an Append.
type Appended struct {
	Stream Stream
	// BatchID is that of the Append effect.
	BatchID uint64
	Result  claimer.AppendResult
}

// PeerMessageArrived is a message from another entry.
type PeerMessageArrived struct {
	// From is the sender's name, authenticated by the shared key.
	From    string
	Message carrier.Message
}

// VMsListed is the platform's list of VMs, which lags behind their actual state.
type VMsListed struct {
	Endpoints []router.VM
	Entries   []EntryHint
}

// EntryHint is an entry's item of the VM list.
type EntryHint struct {
	PeerAddress string
	Zone        string
	Leaving     bool
}

// LoadReported is a load report of an endpoint.
type LoadReported struct {
	Address string
	Report  router.LoadReport
}

// CacheEventsRead is a page of an endpoint's cache events. Next is the sequence number after the page.
type CacheEventsRead struct {
	Address string
	Events  []router.CacheEvent
	Next    int64
}

// PeerConnectionRefused reports that no process listens at a peer address.
type PeerConnectionRefused struct{ Address string }

// EndpointConnectionRefused reports that no process serves at an endpoint's address: it refused the connection of a
// load query.
type EndpointConnectionRefused struct{ Address string }

// ChangeRequested is an operator's change of configuration.
type ChangeRequested struct {
	ID     uint64
	Change publisher.Change
}

// OperationRequested is an operator's query for the verdict on an earlier change.
type OperationRequested struct {
	ID          uint64
	OperationID string
}

// ConfigRequested is an operator's query for the configuration objects in force.
type ConfigRequested struct {
	ID         uint64
	ObjectKind string
	Name       string
}

// HistoryRequested is an operator's query for recent changes.
type HistoryRequested struct {
	ID    uint64
	Limit int
}

// StatusRequested is an operator's query for the system's status as this entry sees it.
type StatusRequested struct{ ID uint64 }

// StopRequested starts a planned stop if Begin is set, and otherwise only queries its progress.
type StopRequested struct {
	ID    uint64
	Begin bool
}

// StopSignalReceived reports that the process received a signal to stop as planned.
type StopSignalReceived struct{}

// AssignmentRead is the assignment of an engine of a pool with a placement.
type AssignmentRead struct {
	Pool    string
	Address string
	// RequestedAt is that of the ReadAssignment effect.
	RequestedAt time.Time
	State       placer.Assignment
}

// OrderEnded reports the result of an OrderEngine.
type OrderEnded struct {
	Pool    string
	Address string
	Result  placer.Result
}

// Ticked advances the core's time.
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
