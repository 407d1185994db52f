package reducer

import (
	"time"

	"geraniumline/addresser"
	"geraniumline/carrier"
	"geraniumline/endpointserver"
	"geraniumline/operatorserver"
	"geraniumline/placer"
)

// Effect is something that the core wants done. The set of effects is closed.
type Effect interface{ effect() }

// Stream names a stream of the platform's log.
type Stream string

// The streams that the system keeps in the platform's log.
const (
	StreamConfig Stream = "config"
	StreamClaims Stream = "claims"
	// StreamLeases says which entry orders which pool's engines.
	StreamLeases Stream = "leases"
)

// CallID names one attempt of one stage of one request of this process.
type CallID struct {
	Request uint64
	Stage   int
	Attempt int
}

// CallStage has a stage run at an endpoint.
type CallStage struct {
	Call    CallID
	Address string
	Body    *endpointserver.StageCall
	// Timeout ends the call when no part came for that long; 0 leaves it to the core.
	Timeout time.Duration
}

// ResumeStage has the parts of a cut stream read from a sequence number on.
type ResumeStage struct {
	Call     CallID
	Address  string
	StreamID string
	From     int
}

// CancelStage ends a call that nobody waits for.
type CancelStage struct {
	Call     CallID
	Address  string
	StreamID string
}

// SendPart hands a part of the answer to a caller that asked for a stream.
type SendPart struct {
	ID   uint64
	Text string
}

// SendAnswer ends a request with its whole answer.
type SendAnswer struct {
	ID uint64
	// Request is the name under which endpoints saw the request; empty when another entry served it.
	Request string
	Key     string
	Answer  string
	Parts   int
}

// SendFailure ends a request, or another question of a caller, without an answer.
type SendFailure struct {
	ID      uint64
	Failure Failure
}

// SendAddresses answers AddressesAsked.
type SendAddresses struct {
	ID     uint64
	Answer addresser.AddressList
}

// SendOutcome answers OutcomeAsked.
type SendOutcome struct {
	ID      uint64
	Key     string
	Outcome Outcome
}

// Append has a record appended to a stream of the log.
type Append struct {
	Stream  Stream
	BatchID uint64
	Data    []byte
}

// SendPeer hands a message to another entry, without waiting.
type SendPeer struct {
	Address string
	Message carrier.Message
}

// SendVerdict answers ChangeAsked and OperationAsked.
type SendVerdict struct {
	ID      uint64
	Verdict operatorserver.ConfigVerdict
}

// SendRefusal answers an operator whose change or question is refused.
type SendRefusal struct {
	ID      uint64
	Code    string
	Message string
	Faults  []string
}

// SendConfig answers ConfigAsked.
type SendConfig struct {
	ID   uint64
	View operatorserver.ConfigView
}

// SendHistory answers HistoryAsked.
type SendHistory struct {
	ID      uint64
	History operatorserver.ConfigHistory
}

// SendStatus answers StatusAsked.
type SendStatus struct {
	ID     uint64
	Status operatorserver.Status
}

// SendStop answers StopAsked.
type SendStop struct {
	ID       uint64
	Progress operatorserver.StopProgress
}

// ReadAssignment has an engine asked what it holds.
type ReadAssignment struct {
	Pool    string
	Address string
	// Asked is from before the question is sent.
	Asked time.Time
}

// OrderEngine has an engine ordered to a state.
type OrderEngine struct {
	Pool    string
	Address string
	State   placer.Assignment
	// Until is when the order must be over, inside the orderer's lease. It is an instant and not a span: a pause
	// of the process between this effect and the sending would lengthen a span past the lease.
	Until time.Time
}

// LogChange has a change of state written to the log of this process.
type LogChange struct {
	Message string
	Subject string
	From    string
	To      string
}

// Exit ends the process: a planned stop is done.
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
