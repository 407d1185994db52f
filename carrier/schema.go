// Package carrier holds the messages that entries send to each other.
// This file is the schema; schema_gen.go is generated from it by scripts/generate.sh.
package carrier

//go:generate msgp -file schema.go -o schema_gen.go -tests=false

//msgp:tuple EndpointRefusal EndpointLeave EndpointLimit PieceResult MadeResult EndpointWork StageWait EndpointEntry ModelDemand AccountBill StageBill Member Pulse EndpointLoad AccountUse Record CrashLoss

// Kind tells which message a frame carries.
type Kind uint8

// The kinds of frame between entries.
const (
	KindChallenge Kind = iota + 1
	KindProof
	KindHeartbeat
	KindRecordsCall
	KindRecords
	KindOutcomeCall
	KindOutcome
	KindHandover
	KindBills
	KindDemand
	KindPieceRequest
	KindPieceAccepted
	KindPieceResults
	KindPieceWithdraw
	KindPieceFree
	KindLoadReport
	KindConfigCall
	KindConfigReply
	KindEndpointsCall
	KindEndpointsReply
	KindEndpointsNews
	KindPieceRead
)

// Challenge opens a connection in both directions: the peer must prove that it knows the shared key.
type Challenge struct {
	Nonce []byte `msg:"nonce,limit=64"`
	Entry string `msg:"entry,limit=128"`
}

// Proof answers a Challenge with an HMAC-SHA256 over both nonces and the sender's name.
type Proof struct {
	Mac []byte `msg:"mac,limit=64"`
}

// Member is what an entry believes of another entry.
type Member struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	Incarnation   uint64
	State         uint8
	ConfigOffset  int64
	InFlight      int32
	// Capacity is what the member's VM can carry, its processor and link as one figure, in thousandths of a core.
	Capacity int32
	// Sequence counts the steps of the member's own loop in this incarnation; only the member itself raises it.
	Sequence uint64
	// AgeMillis is how long ago the sender of the message last saw Sequence rise.
	AgeMillis uint32
}

// Pulse is the short form of a Member that the receiver already knows.
type Pulse struct {
	// ID is a hash of the member's name and incarnation.
	ID        uint32
	Sequence  uint64
	AgeMillis uint32
	State     uint8
}

// EndpointLoad is one entry's calls in flight and its opinion of an endpoint.
type EndpointLoad struct {
	Address  string
	InFlight int32
	Ejected  bool
	Leaving  bool
}

// AccountUse is one entry's share of one client account's use since its last heartbeats.
type AccountUse struct {
	Account string
	// Rate is admitted requests a second, Demand is offered requests a second.
	Rate   float32
	Demand float32
	// CostRate is endpoint milliseconds a second.
	CostRate float32
	InFlight int32
	Backlog  int32
}

// CrashLoss is the loss of one endpoint. Entries that saw the same loss tell the same address and
// nearly the same age.
type CrashLoss struct {
	Address   string
	AgeMillis int64
}

// CrashMark names the endpoints that were lost while a request with this digest ran there. They are named,
// and not counted, so that losses seen by several entries add up and those told on do not.
type CrashMark struct {
	Digest []byte      `msg:"digest,limit=32"`
	Losses []CrashLoss `msg:"losses,limit=16"`
}

// Heartbeat is what an entry tells its peers, several times a second.
type Heartbeat struct {
	From      Member         `msg:"from"`
	Sequence  uint64         `msg:"sequence"`
	Members   []Member       `msg:"members,limit=4096"`
	Pulses    []Pulse        `msg:"pulses,limit=4096"`
	Endpoints []EndpointLoad `msg:"endpoints,limit=16384"`
	Accounts  []AccountUse   `msg:"accounts,limit=65536"`
	Crashes   []CrashMark    `msg:"crashes,limit=1024"`
	// Stages are the newest waits that the sender knows.
	Stages []StageWait `msg:"stages,limit=1024"`
	// Limits are those that endpoints have named, by the newest word that the sender knows.
	Limits []EndpointLimit `msg:"limits,omitempty,limit=16384"`
	// Refusing are the endpoints that refuse the sender's calls in a row. It is not told on.
	Refusing []EndpointRefusal `msg:"refusing,omitempty,limit=16384"`
	// Leaving are the endpoints that have said in an answer that they leave.
	Leaving []EndpointLeave `msg:"leaving,omitempty,limit=16384"`
	// ConfigAgeMillis is how long ago the store last answered a reading of the configuration, by the newest word that the
	// sender knows.
	ConfigAgeMillis int64 `msg:"configAgeMillis"`
	// Evacuated are the availability zones whose endpoints get no new work, by the operator's records up to the offset
	// EvacuatedNext in the era EvacuatedEra of the store; both are 0 where the sender knows none. EvacuationsHeld are zones
	// evacuated in the era before, which the store does not name in this one.
	EvacuatedEra    int64    `msg:"evacuatedEra"`
	EvacuatedNext   int64    `msg:"evacuatedNext"`
	Evacuated       []string `msg:"evacuated,limit=4096"`
	EvacuationsHeld []string `msg:"evacuationsHeld,limit=4096"`
	// StoreEra is the newest era of the store that the sender knows, EndpointsEra that of its list of endpoints.
	StoreEra     int64 `msg:"storeEra"`
	EndpointsEra int64 `msg:"endpointsEra"`
}

// Record is one log record that a peer passes on.
type Record struct {
	Offset   int64
	AtMillis int64
	Data     []byte
}

// RecordsCall asks a peer for records of a log stream that this entry has not seen.
type RecordsCall struct {
	CallID uint64 `msg:"callId"`
	Stream string `msg:"stream,limit=64"`
	From   int64  `msg:"from"`
}

// Records answers a RecordsCall.
type Records struct {
	CallID  uint64   `msg:"callId"`
	Stream  string   `msg:"stream,limit=64"`
	First   int64    `msg:"first"`
	Next    int64    `msg:"next"`
	Records []Record `msg:"records,limit=10000"`
	// Snapshot holds the parts of a snapshot when the records are no longer kept one by one.
	Snapshot [][]byte `msg:"snapshot,limit=4096"`
}

// OutcomeCall asks a peer for the outcome of a request by account and idempotency key.
type OutcomeCall struct {
	CallID  uint64 `msg:"callId"`
	Account string `msg:"account,limit=128"`
	Key     string `msg:"key,limit=128"`
	// Wait asks for the reply to be held until the request has ended.
	WaitMillis int32 `msg:"waitMillis"`
}

// Outcome answers an OutcomeCall, and hands over a result in a Handover.
type Outcome struct {
	CallID  uint64 `msg:"callId"`
	Account string `msg:"account,limit=128"`
	Key     string `msg:"key,limit=128"`
	State   uint8  `msg:"state"`
	Answer  string `msg:"answer,limit=1048576"`
	Parts   int32  `msg:"parts"`
	Code    string `msg:"code,limit=64"`
	Message string `msg:"message,limit=1024"`
	// AgeMillis is how long ago the request ended.
	AgeMillis int64 `msg:"ageMillis"`
	// Digest is that of the request, so that a key used for another request is noticed.
	Digest []byte `msg:"digest,limit=32"`
}

// Handover gives the outcomes that callers may still ask for to a peer, before the sender exits.
type Handover struct {
	CallID   uint64    `msg:"callId"`
	Outcomes []Outcome `msg:"outcomes,limit=100000"`
}

// StageBill is the work of one stage in endpoint milliseconds.
type StageBill struct {
	Stage  string
	Cost   float64
	Wasted float64
}

// AccountBill is one account's running total at one incarnation of an entry.
type AccountBill struct {
	Account string
	// Urgent, Normal and Relaxed count requests in time, late, not run and unknown.
	Urgent  [4]uint64
	Normal  [4]uint64
	Relaxed [4]uint64
	Stages  []StageBill
}

// Bills are the running totals of one incarnation of an entry. They only grow, so that they may come twice,
// late or by way of another entry.
type Bills struct {
	Entry       string        `msg:"entry,limit=128"`
	Incarnation uint64        `msg:"incarnation"`
	Accounts    []AccountBill `msg:"accounts,limit=4096"`
}

// ModelDemand is the work that waits for a model, in endpoint milliseconds.
type ModelDemand struct {
	Model  string
	Millis int64
}

// Demand tells a pool's orderer what waits at the sender for the pool's models.
type Demand struct {
	Pool   string        `msg:"pool,limit=128"`
	Models []ModelDemand `msg:"models,limit=4096"`
}

// PieceRequest asks the entry that collects for a stage's service for pieces of a request.
type PieceRequest struct {
	Service string   `msg:"service,limit=128"`
	Request string   `msg:"request,limit=128"`
	Stage   int32    `msg:"stage"`
	Numbers []int32  `msg:"numbers,limit=4096"`
	Key     string   `msg:"key,limit=256"`
	Inputs  []string `msg:"inputs,limit=4096"`
	// DueMillis and DeadlineMillis are counted from the sending: clocks of entries differ.
	DueMillis      int64  `msg:"dueMillis"`
	LatestMillis   int64  `msg:"latestMillis"`
	DeadlineMillis int64  `msg:"deadlineMillis"`
	Priority       int32  `msg:"priority"`
	Account        string `msg:"account,limit=128"`
	ResultBytes    int64  `msg:"resultBytes"`
	Zone           string `msg:"zone,limit=128"`
	FarBytes       int64  `msg:"farBytes"`
	// Regions are those where the pieces may be made; empty where all are.
	Regions []string `msg:"regions,limit=256"`
	// Kept tells that the entry with the duty left the sender without a word: the receiver does not give the pieces back to it.
	Kept    bool `msg:"kept"`
	Holding bool `msg:"holding"`
	// InputBytes is the size of all inputs of one piece. TellRead asks for a PieceRead.
	InputBytes int64 `msg:"inputBytes"`
	TellRead   bool  `msg:"tellRead"`
}

// PieceRead tells that the endpoints have fetched the inputs of all pieces of a PieceRequest.
type PieceRead struct {
	Service string `msg:"service,limit=128"`
	Request string `msg:"request,limit=128"`
	Stage   int32  `msg:"stage"`
}

// PieceAccepted tells that a PieceRequest has come to an entry that collects.
type PieceAccepted struct {
	Service string `msg:"service,limit=128"`
	Request string `msg:"request,limit=128"`
	Stage   int32  `msg:"stage"`
}

// PieceResult is a piece's result, or the reason why there is none.
type PieceResult struct {
	Number  int32
	Reason  uint8
	Handle  string
	Address string
	Zone    string
}

// PieceResults brings the results of pieces.
type PieceResults struct {
	Service string        `msg:"service,limit=128"`
	Request string        `msg:"request,limit=128"`
	Stage   int32         `msg:"stage"`
	Results []PieceResult `msg:"results,limit=4096"`
}

// PieceWithdraw tells that pieces of a request's stage are not needed any more.
type PieceWithdraw struct {
	Service string `msg:"service,limit=128"`
	Request string `msg:"request,limit=128"`
	Stage   int32  `msg:"stage"`
}

// MadeResult is a result and the endpoint where it lies.
type MadeResult struct {
	Handle  string
	Address string
}

// PieceFree names results that are not needed any more.
type PieceFree struct {
	Service string       `msg:"service,limit=128"`
	Results []MadeResult `msg:"results,limit=4096"`
}

// EndpointWork is the work that an entry has under way at an endpoint, in prompt tokens.
type EndpointWork struct {
	ID     string
	Tokens int32
}

// StageWait is how long a piece would wait at the entry that collects for the service, and how long groups of pieces take
// there from their arrival to their last result. Entries tell it on.
type StageWait struct {
	Service          string
	Millis           int32
	TurnaroundMillis int32
	// Short tells that space for results, and not time, holds calls back.
	Short bool
	// OverMillis is for how long more has come than can be made.
	OverMillis int32
	// AgeMillis is how long ago the collecting entry said so.
	AgeMillis uint32
}

// EndpointLimit is a limit that an endpoint has named in an answer. Entries tell it on.
type EndpointLimit struct {
	ID string
	// StartedMillis is when the start of the endpoint began that named it, in Unix milliseconds; 0 where it does not say.
	StartedMillis int64
	// PerSecond is the calls a second that the endpoint takes from all entries together; 0 where the limit has ended.
	PerSecond float64
	// AgeMillis is how long ago the endpoint said so.
	AgeMillis uint32
}

// EndpointLeave names an endpoint that leaves, and when the start of it began that said so, in Unix milliseconds; 0 where it
// does not say. Entries tell it on.
type EndpointLeave struct {
	ID            string
	StartedMillis int64
}

// EndpointRefusal names an endpoint that refuses calls, the start of it in Unix milliseconds (0 where it does not say), and how
// long ago it last refused one.
type EndpointRefusal struct {
	ID            string
	StartedMillis int64
	AgeMillis     uint32
}

// LoadReport is what an entry has under way. It replaces the sender's earlier one.
type LoadReport struct {
	Endpoints []EndpointWork `msg:"endpoints,limit=16384"`
}

// ConfigCall asks a peer for the newest configuration that it knows.
type ConfigCall struct{}

// ConfigReply brings a configuration as the operator wrote it.
type ConfigReply struct {
	Version int64  `msg:"version"`
	Data    []byte `msg:"data,limit=8388608"`
}

// EndpointsCall asks a peer for the list of endpoints, if it has newer word of the store than the sender.
type EndpointsCall struct {
	// Next is the offset in the era Era up to which the sender's own list is whole, below 0 if it has none. AgeMillis is how
	// long ago the store's word was read that it goes by.
	Era       int64 `msg:"era"`
	Next      int64 `msg:"next"`
	AgeMillis int64 `msg:"ageMillis"`
}

// EndpointEntry is the newest entry of one endpoint.
type EndpointEntry struct {
	ID string
	// Era and Offset are the position of the record, Sequence counts the endpoint's records by its own word.
	Era      int64
	Offset   int64
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Slots    int32
	Draining bool
	// Removed and unusable entries have only their ID and offset.
	Removed  bool
	Unusable bool
	// StartedMillis is when the endpoint started, by its own word in Unix milliseconds; 0 where it does not say.
	StartedMillis int64
	// ColdLeftMillis is how much longer the endpoint is in its slow start, counted from the sending.
	ColdLeftMillis int64
}

// EndpointsNews brings the changes of endpoints' entries that the entry which reads the store for all has just read.
type EndpointsNews struct {
	// From is the offset of the first change that may be among them, Next that after the last one, both in the era Era.
	Era     int64           `msg:"era"`
	From    int64           `msg:"from"`
	Next    int64           `msg:"next"`
	Entries []EndpointEntry `msg:"entries,limit=65536"`
}

// EndpointsReply brings the list of endpoints as the sender knows it.
type EndpointsReply struct {
	// Next is the offset in the era Era up to which the list is whole, AgeMillis how long ago the store's word was read.
	Era       int64 `msg:"era"`
	Next      int64 `msg:"next"`
	AgeMillis int64 `msg:"ageMillis"`
	// Unchanged tells that the asking entry's list is the same; Entries is empty then.
	Unchanged bool            `msg:"unchanged"`
	Entries   []EndpointEntry `msg:"entries,limit=65536"`
}
