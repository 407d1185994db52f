package reducer

import (
	"time"

	"geraniumline/addresser"
	"geraniumline/carrier"
	"geraniumline/endpointserver"
	"geraniumline/operatorserver"
	"geraniumline/placer"
)

// Effect is an action that the core requests of its caller. The set of effects is closed.
type Effect interface{ effect() }

// Stream is the name of a stream of the platform's log.
type Stream string

// The streams of the platform's log that the system uses.
const (
	StreamConfig Stream = "config"
	StreamClaims Stream = "claims"
	// StreamLeases holds the leases that decide which entry sends orders to the engines of which pool.
	StreamLeases Stream = "leases"
)

// CallID identifies one attempt of one stage of a request of this process.
type CallID struct {
	Request uint64
	Stage   int
	Attempt int
}

// CallStage requests a run of a stage at an endpoint.
type CallStage struct {
	Call    CallID
	Address string
	Body    *endpointserver.StageCall
	// Timeout ends the call if no part arrives for that long; 0 leaves timeouts to the core.
	Timeout time.Duration
}

// ResumeStage reads the parts of a broken stream from a sequence number on.
type ResumeStage struct {
	Call     CallID
	Address  string
	StreamID string
	From     int
}

// CancelStage cancels a call whose reply is no longer needed.
type CancelStage struct {
	Call     CallID
	Address  string
	StreamID string
}

// SendPart sends a part of the answer to a caller that requested a stream.
type SendPart struct {
	ID   uint64
	Text string
}

// SendAnswer ends a request with its complete answer.
type SendAnswer struct {
	ID uint64
	// Request is the request id that endpoints received; empty if another entry served the request.
	Request string
	Key     string
	Answer  string
	Parts   int
}

// SendFailure ends a caller's request or query without an answer.
type SendFailure struct {
	ID      uint64
	Failure Failure
}

// SendAddresses answers AddressesRequested.
type SendAddresses struct {
	ID     uint64
	Answer addresser.AddressList
}

// SendOutcome answers OutcomeRequested.
type SendOutcome struct {
	ID      uint64
	Key     string
	Outcome Outcome
}

// Append appends a record to a stream of the log.
type Append struct {
	Stream  Stream
	BatchID uint64
	Data    []byte
}

// SendPeer sends a message to another entry without waiting for delivery.
type SendPeer struct {
	Address string
	Message carrier.Message
}

// SendVerdict answers ChangeRequested and OperationRequested.
type SendVerdict struct {
	ID      uint64
	Verdict operatorserver.ConfigVerdict
}

// SendRefusal answers an operator whose change or query is refused.
type SendRefusal struct {
	ID      uint64
	Code    string
	Message string
	Faults  []string
}

// SendConfig answers ConfigRequested.
type SendConfig struct {
	ID   uint64
	View operatorserver.ConfigView
}

// SendHistory answers HistoryRequested.
type SendHistory struct {
	ID      uint64
	History operatorserver.ConfigHistory
}

// SendStatus answers StatusRequested.
type SendStatus struct {
	ID     uint64
	Status operatorserver.Status
}

// SendStop answers StopRequested.
type SendStop struct {
	ID       uint64
	Progress operatorserver.StopProgress
}

// ReadAssignment reads an engine's assignment: the model that it holds. AssignmentRead is the answer.
type ReadAssignment struct {
	Pool    string
	Address string
	// RequestedAt is a time before the read is sent.
	RequestedAt time.Time
}

// OrderEngine orders an engine to a new assignment.
type OrderEngine struct {
	Pool    string
	Address string
	State   placer.Assignment
	// Deadline is when the order must have ended; it lies within this entry's lease on the pool. It is a time and not
	// a duration, since a pause of the process before the order is sent would extend a duration beyond the lease.
	Deadline time.Time
}

// LogChange writes a change of state to this process's log output.
type LogChange struct {
	Message string
	Subject string
	From    string
	To      string
}

// Exit ends the process after a planned stop.
type Exit struct{}

func (*CallStage) effect()     {}
func (ResumeStage) effect()    {}
func (CancelStage) effect()    {}
func (SendPart) effect()       {}
func (SendAnswer) effect()     {}
func (SendFailure) effect()    {}
func (SendAddresses) effect()  {}
func (SendOutcome) effect()    {}
func (Append) effect()         {}
func (SendPeer) effect()       {}
func (SendVerdict) effect()    {}
func (SendRefusal) effect()    {}
func (SendConfig) effect()     {}
func (SendHistory) effect()    {}
func (SendStatus) effect()     {}
func (SendStop) effect()       {}
func (ReadAssignment) effect() {}
func (OrderEngine) effect()    {}
func (LogChange) effect()      {}
func (Exit) effect()           {}
