// Package carrier defines the messages that entries send to each other.
// This file is the schema; schema_gen.go is generated from it by scripts/generate.sh.
package carrier

//go:generate msgp -file schema.go -o schema_gen.go -tests=false

//msgp:tuple StreamOrigin PromptPlacement EndpointTiming RetryUse StageClassWait EndpointRefusal EndpointLeave EndpointLimit PieceResult MadeResult EndpointWork StageWait EndpointEntry ModelDemand AccountBill StageBill Member EndpointLoad AccountUse Record

// Kind identifies the type of the message in a frame.
type Kind uint8

// The kinds of frames that entries exchange.
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
	KindMembersCall
	KindMembersReply
	KindRelayCall
	KindRelayBody
	KindRelayResponse
	KindRelayEnd
	KindRelayFailure
	KindStreamOrigins
	KindOriginCall
	KindOriginReply
	KindPartCrashes
	KindTrialCall
	KindTrialReply
)

// Challenge is the first message of a connection in each direction: the peer must prove that it knows the shared key.
type Challenge struct {
	Nonce []byte `msg:"nonce,limit=64"`
	Entry string `msg:"entry,limit=128"`
}

// Proof answers a Challenge with an HMAC-SHA256 over a label for the sender's side, both nonces and both entries' names.
type Proof struct {
	Mac []byte `msg:"mac,limit=64"`
}

// Member is the state of an entry as known to the sender.
type Member struct {
	Name          string
	Zone          string
	CallerAddress string
	PeerAddress   string
	Incarnation   uint64
	State         uint8
	ConfigOffset  int64
	InFlight      int32
	// Capacity is the load that the member's VM can carry, with its processor and link combined in one figure, in
	// thousandths of a core.
	Capacity int32
	// Sequence counts the steps of the member's own loop in this incarnation; only the member itself increments it.
	Sequence uint64
	// AgeMillis is the sender's estimate of the time since Sequence last increased.
	AgeMillis uint32
}

// MembersCall requests the descriptions of members whose pulses the sender received but doesn't know.
type MembersCall struct {
	IDs []uint32 `msg:"ids,limit=1024"`
}

// MembersReply answers a MembersCall with those of the members that the sender knows.
type MembersReply struct {
	Members []Member `msg:"members,limit=1024"`
}

// EndpointLoad is one entry's number of calls in flight to an endpoint and its view of the endpoint's state.
type EndpointLoad struct {
	Address  string
	InFlight int32
	Ejected  bool
	Leaving  bool
}

// AccountUse is one entry's share of one client account's usage since the entry's previous report on the account.
type AccountUse struct {
	Account string
	// Rate is the number of admitted requests per second, Demand the number of offered requests per second.
	Rate   float32
	Demand float32
	// CostRate is the work in endpoint milliseconds per second.
	CostRate float32
	InFlight int32
	Backlog  int32
}

// Heartbeat is the state that an entry sends to its peers several times per second.
type Heartbeat struct {
	From      Member         `msg:"from"`
	Sequence  uint64         `msg:"sequence"`
	Members   []Member       `msg:"members,limit=4096"`
	Pulses    PulseList      `msg:"pulses"`
	Endpoints []EndpointLoad `msg:"endpoints,omitempty,limit=16384"`
	Accounts  []AccountUse   `msg:"accounts,omitempty,limit=65536"`
	Crashes   []CrashMark    `msg:"crashes,omitempty,limit=1024"`
	// Stages are the newest loads of stage pools known to the sender.
	Stages []StageWait `msg:"stages,limit=1024"`
	// StageClasses are the newest loads of stage pools by priority. An entry whose release does not send them is known by
	// Stages alone.
	StageClasses []StageClassWait `msg:"stageClasses,omitempty,limit=8192"`
	// Unreachable lists the endpoints whose address refused the sender's connections. Receivers don't pass it on.
	Unreachable []EndpointRefusal `msg:"unreachable,omitempty,limit=16384"`
	// Limits are the newest limits stated by endpoints that the sender knows.
	Limits []EndpointLimit `msg:"limits,omitempty,limit=16384"`
	// Fragile are the newest numbers of refusals per second above which endpoints crash, as stated by endpoints that the
	// sender knows.
	Fragile []EndpointLimit `msg:"fragile,omitempty,limit=16384"`
	// Refusing lists the endpoints that have refused consecutive calls of the sender, and the fragile ones that have refused
	// any. Receivers don't pass it on.
	Refusing []EndpointRefusal `msg:"refusing,omitempty,limit=16384"`
	// Leaving lists the endpoints that have stated in a response that they are leaving.
	Leaving []EndpointLeave `msg:"leaving,omitempty,limit=16384"`
	// ConfigAgeMillis is the time since the store last answered a read of the configuration by any entry, as far as the
	// sender knows.
	ConfigAgeMillis int64 `msg:"configAgeMillis"`
	// Evacuated lists the availability zones whose endpoints receive no new work, according to the operator's records up
	// to the offset EvacuatedNext in the era EvacuatedEra of the store; both are 0 if the sender knows no records.
	// EvacuationsHeld lists further zones that were evacuated in the previous era and that the store doesn't mention in
	// this one.
	EvacuatedEra    int64    `msg:"evacuatedEra"`
	EvacuatedNext   int64    `msg:"evacuatedNext"`
	Evacuated       []string `msg:"evacuated,limit=4096"`
	EvacuationsHeld []string `msg:"evacuationsHeld,limit=4096"`
	// StoresOrigins is set if the sender's release understands StreamOrigins and OriginCall.
	StoresOrigins bool `msg:"storesOrigins,omitempty"`
	// PartCrashes is a checksum of what the sender knows of parts of prompts that crash endpoints, by which a receiver detects
	// that it knows something else. It is never 0, except in a release that doesn't understand PartCrashes and TrialCall.
	PartCrashes uint32 `msg:"partCrashes,omitempty"`
	// StoreEra is the newest era of the store known to the sender, EndpointsEra the era of its list of endpoints.
	StoreEra     int64 `msg:"storeEra"`
	EndpointsEra int64 `msg:"endpointsEra"`
}

// Record is one log record that an entry passes on to a peer.
type Record struct {
	Offset   int64
	AtMillis int64
	Data     []byte
}

// RecordsCall requests records of a log stream that the sender has not read, starting at offset From.
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
	// Snapshot holds the parts of a snapshot if the records are no longer kept individually or if From of the call is 0.
	Snapshot [][]byte `msg:"snapshot,limit=4096"`
}

// OutcomeCall requests the outcome of a request, identified by account and idempotency key.
type OutcomeCall struct {
	CallID  uint64 `msg:"callId"`
	Account string `msg:"account,limit=128"`
	Key     string `msg:"key,limit=128"`
	// WaitMillis requests that the reply be held until a running request has ended, unless it is 0.
	WaitMillis int32 `msg:"waitMillis"`
}

// Outcome answers an OutcomeCall. A Handover also consists of Outcomes.
type Outcome struct {
	CallID  uint64 `msg:"callId"`
	Account string `msg:"account,limit=128"`
	Key     string `msg:"key,limit=128"`
	State   uint8  `msg:"state"`
	Answer  string `msg:"answer,limit=1048576"`
	Parts   int32  `msg:"parts"`
	Code    string `msg:"code,limit=64"`
	Message string `msg:"message,limit=1024"`
	// AgeMillis is the time since the request ended.
	AgeMillis int64 `msg:"ageMillis"`
	// Digest is the digest of the request. It reveals the reuse of a key for a different request.
	Digest []byte `msg:"digest,limit=32"`
}

// Handover transfers the outcomes that callers may still request to a peer before the sender exits.
type Handover struct {
	CallID   uint64    `msg:"callId"`
	Outcomes []Outcome `msg:"outcomes,limit=100000"`
}

// StageBill is the work of one stage, in endpoint milliseconds.
type StageBill struct {
	Stage  string
	Cost   float64
	Wasted float64
}

// AccountBill is the running total of one account at one incarnation of an entry.
type AccountBill struct {
	Account string
	// Urgent, Normal and Relaxed count requests by outcome, in this order: in time, late, not run, unknown.
	Urgent  [4]uint64
	Normal  [4]uint64
	Relaxed [4]uint64
	Stages  []StageBill
}

// Bills holds the running totals of one incarnation of an entry. Totals only increase, so a message may arrive twice,
// late or by way of another entry.
type Bills struct {
	Entry       string        `msg:"entry,limit=128"`
	Incarnation uint64        `msg:"incarnation"`
	Accounts    []AccountBill `msg:"accounts,limit=4096"`
}

// ModelDemand is the work waiting for a model, in endpoint milliseconds.
type ModelDemand struct {
	Model  string
	Millis int64
}

// Demand reports the work that waits at the sender for the models of a pool. It is sent to the pool's orderer.
type Demand struct {
	Pool   string        `msg:"pool,limit=128"`
	Models []ModelDemand `msg:"models,limit=4096"`
}

// PieceRequest requests pieces of one stage of a request from the entry that collects for the stage's service.
type PieceRequest struct {
	Service string   `msg:"service,limit=128"`
	Request string   `msg:"request,limit=128"`
	Stage   int32    `msg:"stage"`
	Numbers []int32  `msg:"numbers,limit=4096"`
	Key     string   `msg:"key,limit=256"`
	Inputs  []string `msg:"inputs,limit=4096"`
	// DueMillis, LatestMillis and DeadlineMillis are relative to the time of sending, since the clocks of entries differ.
	DueMillis      int64  `msg:"dueMillis"`
	LatestMillis   int64  `msg:"latestMillis"`
	DeadlineMillis int64  `msg:"deadlineMillis"`
	Priority       int32  `msg:"priority"`
	Account        string `msg:"account,limit=128"`
	ResultBytes    int64  `msg:"resultBytes"`
	Zone           string `msg:"zone,limit=128"`
	FarBytes       int64  `msg:"farBytes"`
	// Regions are the regions where the pieces may be processed; empty allows all.
	Regions []string `msg:"regions,limit=256"`
	// Kept is set if another entry that had the duty did not respond to the sender: the receiver must not return the
	// pieces, even if it considers that entry the owner.
	Kept    bool `msg:"kept"`
	Holding bool `msg:"holding"`
	// InputBytes is the total size of the inputs of one piece. TellRead requests a PieceRead.
	InputBytes int64 `msg:"inputBytes"`
	TellRead   bool  `msg:"tellRead"`
}

// PieceRead reports that the endpoints have fetched the inputs of all pieces of a PieceRequest.
type PieceRead struct {
	Service string `msg:"service,limit=128"`
	Request string `msg:"request,limit=128"`
	Stage   int32  `msg:"stage"`
}

// PieceAccepted acknowledges the arrival of a PieceRequest at a collecting entry.
type PieceAccepted struct {
	Service string `msg:"service,limit=128"`
	Request string `msg:"request,limit=128"`
	Stage   int32  `msg:"stage"`
}

// PieceResult is the result of a piece, or the reason why there is none.
type PieceResult struct {
	Number  int32
	Reason  uint8
	Handle  string
	Address string
	Zone    string
}

// PieceResults contains the results of pieces of one stage of a request.
type PieceResults struct {
	Service string        `msg:"service,limit=128"`
	Request string        `msg:"request,limit=128"`
	Stage   int32         `msg:"stage"`
	Results []PieceResult `msg:"results,limit=4096"`
}

// PieceWithdraw reports that the pieces of one stage of a request are no longer needed.
type PieceWithdraw struct {
	Service string `msg:"service,limit=128"`
	Request string `msg:"request,limit=128"`
	Stage   int32  `msg:"stage"`
}

// MadeResult is a result and the address of the endpoint that holds it.
type MadeResult struct {
	Handle  string
	Address string
}

// PieceFree lists results that are no longer needed.
type PieceFree struct {
	Service string       `msg:"service,limit=128"`
	Results []MadeResult `msg:"results,limit=4096"`
}

// EndpointWork is the work that an entry has in flight at an endpoint, in prompt tokens.
type EndpointWork struct {
	ID     string
	Tokens int32
}

// StageWait is the load of a service's pool at the entry that collects for it. Entries pass it on.
type StageWait struct {
	Service string
	// Millis is how long a piece that arrives now would wait. TurnaroundMillis is how long groups of pieces take from
	// their arrival to their last result.
	Millis           int32
	TurnaroundMillis int32
	// Short is set if calls are held back by a lack of space for results rather than of time.
	Short bool
	// OverMillis is how long more pieces have been arriving than can be processed.
	OverMillis int32
	// AgeMillis is the time since the collecting entry reported this load.
	AgeMillis uint32
}

// StageClassWait is the load of a service's pool for the pieces of one class, at the entry that collects for it. Entries pass
// it on.
type StageClassWait struct {
	Service string
	// Priority is the class: ten times the request's priority plus its route's.
	Priority int32
	// Millis is how long a piece of this class that arrives now would wait. TurnaroundMillis is how long groups of this
	// class take from their arrival to their last result; 0 if none was done recently.
	Millis           int32
	TurnaroundMillis int32
	// AgeMillis is the time since the collecting entry reported this load.
	AgeMillis uint32
}

// EndpointLimit is a rate that an endpoint has stated in a response. Entries pass it on.
type EndpointLimit struct {
	ID string
	// StartedMillis is the start time of the endpoint process that stated the rate, in Unix milliseconds; 0 if the
	// endpoint does not report one.
	StartedMillis int64
	// PerSecond is the number of calls or refusals per second from or to all entries together; 0 if the endpoint no longer
	// states it.
	PerSecond float64
	// AgeMillis is the time since the endpoint's response.
	AgeMillis uint32
}

// EndpointLeave is an endpoint that is leaving, with the start time of the process that stated so, in Unix milliseconds;
// 0 if the endpoint does not report one. Entries pass it on.
type EndpointLeave struct {
	ID            string
	StartedMillis int64
}

// EndpointRefusal is an endpoint that refuses calls, with its start time in Unix milliseconds (0 if it does not report
// one) and the time since its last refusal.
type EndpointRefusal struct {
	ID            string
	StartedMillis int64
	AgeMillis     uint32
}

// EndpointTiming is one observation of an endpoint's speed by the sender.
type EndpointTiming struct {
	ID string
	// StartedMillis is the start time of the endpoint process in Unix milliseconds; 0 if it does not report one.
	StartedMillis int64
	// Sequence numbers the sender's observations. A receiver counts each of them once.
	Sequence uint64
	// LogRatio is the natural logarithm of the observed time to the first event divided by the time that is usual in the
	// endpoint's pool for such a call, in thousandths.
	LogRatio int32
}

// PromptPlacement is a prompt that the sender has sent to an endpoint, which caches its shared parts from then on.
type PromptPlacement struct {
	ID string
	// StartedMillis is the start time of the endpoint process in Unix milliseconds; 0 if it does not report one.
	StartedMillis int64
	// Sequence numbers the sender's placements. A receiver applies each of them once.
	Sequence uint64
	// Prefixes are the keys of the prompt's shared prefixes, from the shortest to the longest.
	Prefixes []uint64 `msg:"prefixes,limit=64"`
}

// RetryUse is the sender's use of the retry budget of one service within the budget's window.
type RetryUse struct {
	Service string
	// Requests is the number of the sender's first attempts, Retries that of its further attempts.
	Requests int32
	Retries  int32
}

// LoadReport is the work that an entry has in flight. It replaces the sender's previous report.
type LoadReport struct {
	Endpoints []EndpointWork `msg:"endpoints,limit=16384"`
	// Timings are the sender's most recent observations of endpoints' speeds.
	Timings []EndpointTiming `msg:"timings,omitempty,limit=1024"`
	// Prompts are the sender's most recent placements of prompts.
	Prompts []PromptPlacement `msg:"prompts,omitempty,limit=1024"`
	// Retries is the sender's use of the services' retry budgets.
	Retries []RetryUse `msg:"retries,omitempty,limit=1024"`
}

// ConfigCall requests the newest configuration that the peer knows.
type ConfigCall struct{}

// ConfigReply contains a configuration as the operator wrote it.
type ConfigReply struct {
	Version int64  `msg:"version"`
	Data    []byte `msg:"data,limit=8388608"`
}

// EndpointsCall requests the list of endpoints. A peer replies only if it has newer data from the store than the sender.
type EndpointsCall struct {
	// Next is the offset in the era Era up to which the sender's own list is complete, below 0 if it has none. AgeMillis
	// is the time since the read of the store that the list is based on.
	Era       int64 `msg:"era"`
	Next      int64 `msg:"next"`
	AgeMillis int64 `msg:"ageMillis"`
}

// EndpointEntry is the newest registration record of one endpoint.
type EndpointEntry struct {
	ID string
	// Era and Offset are the position of the record. Sequence is the endpoint's own count of its records.
	Era      int64
	Offset   int64
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Slots    int32
	Draining bool
	// Removed is set if the registration was removed or its record can't be read, Unusable only in the latter case. Such
	// an entry has only its ID, position and Sequence.
	Removed  bool
	Unusable bool
	// StartedMillis is when the endpoint started, as reported by itself in Unix milliseconds; 0 if not reported.
	StartedMillis int64
	// ColdLeftMillis is the remaining duration of the endpoint's slow start, relative to the time of sending.
	ColdLeftMillis int64
}

// EndpointsNews contains the changes of registrations that were just read by the entry that reads the store for all.
type EndpointsNews struct {
	// From is the offset of the first change that may be included, Next the offset after the last one, both in the era
	// Era.
	Era     int64           `msg:"era"`
	From    int64           `msg:"from"`
	Next    int64           `msg:"next"`
	Entries []EndpointEntry `msg:"entries,limit=65536"`
	// Versions are the software versions of the Entries, in the same order; nil if the sender's release does not know them.
	Versions []string `msg:"versions,omitempty,limit=65536"`
}

// EndpointsReply contains the list of endpoints as known to the sender.
type EndpointsReply struct {
	// Next is the offset in the era Era up to which the list is complete, AgeMillis the time since the read of the store
	// that it is based on.
	Era       int64 `msg:"era"`
	Next      int64 `msg:"next"`
	AgeMillis int64 `msg:"ageMillis"`
	// Unchanged is set if the list of the requesting entry is the same; Entries is then empty.
	Unchanged bool `msg:"unchanged"`
	// Part is the index of this message among the Parts that contain the whole list.
	Part    int32           `msg:"part"`
	Parts   int32           `msg:"parts"`
	Entries []EndpointEntry `msg:"entries,limit=65536"`
	// Versions are the software versions of the Entries, in the same order; nil if the sender's release does not know them.
	Versions []string `msg:"versions,omitempty,limit=65536"`
}

// RelayCall asks the receiver to send one call to an endpoint that the sender can't reach. It is the first message of a
// connection that carries nothing else: the body of the call follows, then the receiver's reply. The sender closes the
// connection to cancel the call.
type RelayCall struct {
	// Address is the endpoint's address.
	Address string              `msg:"address"`
	Method  string              `msg:"method"`
	Target  string              `msg:"target"`
	Host    string              `msg:"host"`
	Header  map[string][]string `msg:"header,limit=1024"`
	// BodyBytes is the size of the body in the RelayBody messages that follow.
	BodyBytes int64 `msg:"bodyBytes"`
	// TimeoutMillis is how long the sender waits for the whole response.
	TimeoutMillis int64 `msg:"timeoutMillis"`
}

// RelayBody is a part of the body of a call or of its response.
type RelayBody struct {
	Data []byte `msg:"data,limit=1048576"`
}

// RelayResponse is the status and header of the endpoint's response. Its body follows, and a RelayEnd if it is complete.
type RelayResponse struct {
	Status int32               `msg:"status"`
	Header map[string][]string `msg:"header,limit=1024"`
	// UntilClose is set if the endpoint's body has neither a length nor chunks, so that it ends with its connection.
	UntilClose bool `msg:"untilClose"`
}

// RelayEnd ends a complete response.
type RelayEnd struct{}

// RelayReason is why a call was not relayed.
type RelayReason uint8

// The reasons why a call was not relayed. In all of them nothing was sent to the endpoint.
const (
	// RelayRefused means that the endpoint refused the connection.
	RelayRefused RelayReason = iota + 1
	// RelayUnreachable means that the endpoint didn't accept a connection, while the peer reaches other endpoints.
	RelayUnreachable
	// RelayUnproven means that the endpoint didn't accept a connection, and that the peer hasn't connected to another one
	// recently, so that the cause is not known.
	RelayUnproven
	// RelayPartitioned means that the peer may be partitioned from the endpoints too.
	RelayPartitioned
	// RelayUnwanted means that the peer sends nothing to the endpoint itself, because it doesn't know it or because the
	// endpoint accepts no work.
	RelayUnwanted
	// RelayStopping means that the peer is stopping.
	RelayStopping
	// RelayNoRoom means that the peer has no memory left for the body of the call.
	RelayNoRoom
)

// RelayFailure reports a call that was not sent to the endpoint. A connection that ends without it, after the call was
// sent, leaves open whether the endpoint received the call.
type RelayFailure struct {
	Reason RelayReason `msg:"reason"`
}

// StreamOrigin is the software version that began a stream.
type StreamOrigin struct {
	// Key is derived from the stream's client account, service and first attempt.
	Key     uint64
	Version string
	// Doubtful is set if the stream may have been begun by another version.
	Doubtful bool
	// LeftMillis is for how long the stream may still be resumed.
	LeftMillis int64
}

// StreamOrigins replicates the origins of streams to an entry that stores them.
type StreamOrigins struct {
	Origins []StreamOrigin `msg:"origins,limit=1024"`
}

// OriginCall requests the origin of a stream that a caller resumes at the sender.
type OriginCall struct {
	CallID  uint64 `msg:"callId"`
	Key     uint64 `msg:"key"`
	Service string `msg:"service,limit=128"`
	// WindowMillis is how long after its first event a stream of the route may be resumed.
	WindowMillis int64 `msg:"windowMillis"`
}

// OriginReply answers an OriginCall.
type OriginReply struct {
	CallID uint64 `msg:"callId"`
	// Known is set if the sender knows the stream, Version is then the version that began it unless Doubtful is set.
	Known    bool   `msg:"known"`
	Version  string `msg:"version,limit=65536"`
	Doubtful bool   `msg:"doubtful"`
	// Listed is set if the sender has seen any version listed for the service within the window, Several if there was more
	// than one, and OnlyVersion is the only one. FullWindow is set if the sender has followed the list for the whole window, and
	// Fresh if its list is recent.
	Listed      bool   `msg:"listed"`
	Several     bool   `msg:"several"`
	OnlyVersion string `msg:"onlyVersion,limit=65536"`
	FullWindow  bool   `msg:"fullWindow"`
	Fresh       bool   `msg:"fresh"`
}
