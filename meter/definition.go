package meter

// Name is the name of a metric. The constants below list all metrics.
type Name string

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition describes a metric. docs/METRICS.md is generated from the definitions.
type Definition struct {
	Name Name
	Kind Kind
	// Unit is the unit of the value, such as requests or microseconds.
	Unit string
	// Label is the name of the metric's label, empty if it has none.
	Label string
	// Help describes what is counted or measured.
	Help string
	// RegistryName is the metric's name in the go-metrics registry, set if the package that updates the metric
	// does not use Name.
	RegistryName string
}

// Request metrics, most of them by client account.
const (
	RequestsReceived  Name = "requests_received"
	RequestsAnswered  Name = "requests_answered"
	RequestsInTime    Name = "requests_in_time"
	RequestsNotRun    Name = "requests_not_run"
	RequestsUnknown   Name = "requests_unknown"
	RequestsRepeated  Name = "requests_repeated"
	RequestsInFlight  Name = "requests_in_flight"
	RequestMicros     Name = "request_micros"
	FirstPartMicros   Name = "first_part_micros"
	CostMillis        Name = "cost_millis"
	WastedMillis      Name = "wasted_millis"
	PoisonFound       Name = "poison_found"
	PoisonRefused     Name = "poison_refused"
	OutcomesAsked     Name = "outcomes_asked"
	OutcomesHandedOff Name = "outcomes_handed_off"
)

// Stage call metrics.
const (
	StageCalls       Name = "stage_calls"
	StageFailures    Name = "stage_failures"
	StageRetries     Name = "stage_retries"
	StageHedges      Name = "stage_hedges"
	StageResumes     Name = "stage_resumes"
	StageCancels     Name = "stage_cancels"
	StageMicros      Name = "stage_micros"
	RepliesLate      Name = "replies_late"
	RepliesForeign   Name = "replies_foreign"
	StreamGaps       Name = "stream_gaps"
	StreamOverlaps   Name = "stream_overlaps"
	EndpointsEjected Name = "endpoints_ejected"
)

// Metrics of orders sent to engines.
const (
	OrdersSent      Name = "orders_sent"
	OrdersRefused   Name = "orders_refused"
	OrdersUncertain Name = "orders_uncertain"
	LoadsOrdered    Name = "loads_ordered"
)

// Metrics of the platform's log, and of the claims and the configuration read from it.
const (
	LogAppends       Name = "log_appends"
	LogAppendErrors  Name = "log_append_errors"
	LogAppendMicros  Name = "log_append_micros"
	LogReads         Name = "log_reads"
	LogReadErrors    Name = "log_read_errors"
	ClaimsAppended   Name = "claims_appended"
	ClaimsWon        Name = "claims_won"
	ClaimsLost       Name = "claims_lost"
	ClaimsLate       Name = "claims_late"
	ConfigOffset     Name = "config_offset"
	ClaimsOffset     Name = "claims_offset"
	ConfigAccepted   Name = "config_accepted"
	ConfigConflicts  Name = "config_conflicts"
	ConfigInvalid    Name = "config_invalid"
	ClaimsRecordsBad Name = "claims_records_bad"
	ConfigRecordsBad Name = "config_records_bad"
	ConfigFromPeers  Name = "config_from_peers"
)

// Metrics of requests forwarded from the platform's callers to endpoints.
const (
	ForwardRequests         Name = "forward_requests"
	ForwardMicros           Name = "forward_micros"
	ForwardFirstEventMicros Name = "forward_first_event_micros"
	ForwardStagesMicros     Name = "forward_stages_micros"
	ForwardInFlight         Name = "forward_in_flight"
	ForwardCalls            Name = "forward_calls"
	ForwardRepeats          Name = "forward_repeats"
	ForwardResumes          Name = "forward_resumes"
	ForwardCrashes          Name = "forward_crashes"
	PieceCalls              Name = "piece_calls"
	PieceCallMicros         Name = "piece_call_micros"
	PieceBatch              Name = "piece_batch"
	PieceWaiting            Name = "piece_waiting"
	PieceFailures           Name = "piece_failures"
	PieceAsksMoved          Name = "piece_asks_moved"
	EndpointJudgements      Name = "endpoint_judgements"
	EndpointsAgeMillis      Name = "endpoints_age_millis"
	ConfigVersion           Name = "config_version"
	ConfigAgeMillis         Name = "config_age_millis"
	StoreCalls              Name = "store_calls"
	StoreReturns            Name = "store_returns"
	EntriesUnusable         Name = "entries_unusable"
	NoticesUnusable         Name = "notices_unusable"
	LogLinesDropped         Name = "log_lines_dropped"
)

// Metrics of peers and of the state of endpoints.
const (
	HeartbeatsSent      Name = "heartbeats_sent"
	HeartbeatsReceived  Name = "heartbeats_received"
	HeartbeatsReplaced  Name = "heartbeats_replaced"
	PeerFramesSent      Name = "peer_frames_sent"
	PeerFramesReceived  Name = "peer_frames_received"
	PeerFramesBad       Name = "peer_frames_bad"
	PeerBytesSent       Name = "peer_bytes_sent"
	PeerBytesReceived   Name = "peer_bytes_received"
	PeerMessagesDropped Name = "peer_messages_dropped"
	PeerMessagesLost    Name = "peer_messages_lost"
	PeersRefused        Name = "peers_refused"
	PeersEvicted        Name = "peers_evicted"
	PeerAcceptErrors    Name = "peer_accept_errors"
	PeersLive           Name = "peers_live"
	ZonesEvacuated      Name = "zones_evacuated"
	EndpointsCold       Name = "endpoints_cold"
	EndpointsLimited    Name = "endpoints_limited"
	EndpointsLeaving    Name = "endpoints_leaving"
	EndpointsResting    Name = "endpoints_resting"
	PausesNoticed       Name = "pauses_noticed"
)

// Metrics of listening sockets, by socket.
const (
	ConnectionsOpen      Name = "connections_open"
	ConnectionsRefused   Name = "connections_refused"
	CredentialsWrong     Name = "credentials_wrong"
	CredentialsThrottled Name = "credentials_throttled"
	BodiesTooLarge       Name = "bodies_too_large"
	BodiesRefused        Name = "bodies_refused"
)

// Metrics of the process itself.
const (
	EventsReduced Name = "events_reduced"
	ReduceMicros  Name = "reduce_micros"
	SpansDropped  Name = "spans_dropped"
	SpansExported Name = "spans_exported"
	LabelsDropped Name = "labels_dropped"
)

// Names of the labels.
const (
	byAccount = "account"
	byStage   = "stage"
	byStream  = "stream"
	bySocket  = "socket"
	byPool    = "pool"
	byReason  = "reason"
	byService = "service"
	byOutcome = "outcome"
)

// definitions holds all metrics in the order of docs/METRICS.md.
var definitions = []Definition{
	{RequestsReceived, KindCounter, "requests", byAccount, "A request whose credential and body were read.", ""},
	{RequestsAnswered, KindCounter, "requests", byAccount, "A request whose complete answer was sent.", ""},
	{RequestsInTime, KindCounter, "requests", byAccount, "A request whose complete answer was sent within its deadline. Attainment is this divided by requests_received.", ""},
	{RequestsNotRun, KindCounter, "requests", byAccount, "A request answered with notRun.", ""},
	{RequestsUnknown, KindCounter, "requests", byAccount, "A request answered with unknown.", ""},
	{RequestsRepeated, KindCounter, "requests", "", "A request with a key that was already known, answered with the outcome of the first request.", ""},
	{RequestsInFlight, KindGauge, "requests", "", "Requests that this entry is running or has queued.", ""},
	{RequestMicros, KindHistogram, "microseconds", "", "Time from a request's arrival to the end of its answer.", ""},
	{FirstPartMicros, KindHistogram, "microseconds", "", "Time from a streamed request's arrival to the first part of its answer.", ""},
	{CostMillis, KindCounter, "endpoint milliseconds", byAccount, "Endpoint time used by stage calls.", ""},
	{WastedMillis, KindCounter, "endpoint milliseconds", byAccount, "The part of cost_millis spent on cancelled, hedged and retried calls whose result was not used.", ""},
	{PoisonFound, KindCounter, "contents", "", "A request content whose runs lost two endpoints; it is not run again.", ""},
	{PoisonRefused, KindCounter, "requests", "", "A request refused because its content had crashed endpoints before.", ""},
	{OutcomesAsked, KindCounter, "calls", "", "A call for the outcome of an earlier request.", ""},
	{OutcomesHandedOff, KindCounter, "outcomes", "", "An outcome handed to a peer at a planned stop.", ""},

	{StageCalls, KindCounter, "calls", byStage, "A call sent to an endpoint.", ""},
	{StageFailures, KindCounter, "calls", byStage, "A call that ended without a complete reply.", ""},
	{StageRetries, KindCounter, "calls", "", "A call sent again after a failure.", ""},
	{StageHedges, KindCounter, "calls", "", "A second call sent while a slow first one is still running.", ""},
	{StageResumes, KindCounter, "calls", "", "An interrupted stream that was resumed at its endpoint.", ""},
	{StageCancels, KindCounter, "calls", byStage, "A call cancelled because its result was no longer wanted.", ""},
	{StageMicros, KindHistogram, "microseconds", byStage, "Time from a call's dispatch to the end of its reply.", ""},
	{RepliesLate, KindCounter, "replies", "", "A reply dropped because another attempt's reply had already been used.", ""},
	{RepliesForeign, KindCounter, "replies", "", "A reply dropped because its ids did not match those of the call.", ""},
	{StreamGaps, KindCounter, "parts", "", "A gap in a stream's sequence numbers.", ""},
	{StreamOverlaps, KindCounter, "parts", "", "A part of a stream that had already been received and was removed.", ""},
	{EndpointsEjected, KindCounter, "endpoints", "", "An endpoint ejected because it performed worse than its pool.", ""},

	{OrdersSent, KindCounter, "orders", "", "An order sent to an engine.", ""},
	{OrdersRefused, KindCounter, "orders", "", "An order that the engine certainly did not accept.", ""},
	{OrdersUncertain, KindCounter, "orders", "", "An order without a readable answer; the engine's state is read back.", ""},
	{LoadsOrdered, KindCounter, "loads", "", "An order that makes the engine load weights.", ""},

	{LogAppends, KindCounter, "appends", byStream, "An append sent to the log service.", ""},
	{LogAppendErrors, KindCounter, "appends", byStream, "An append that was refused, failed or got no reply.", ""},
	{LogAppendMicros, KindHistogram, "microseconds", byStream, "Time from sending an append to its reply.", ""},
	{LogReads, KindCounter, "reads", byStream, "A read sent to the log service.", ""},
	{LogReadErrors, KindCounter, "reads", byStream, "A read that failed.", ""},
	{ClaimsAppended, KindCounter, "claims", "", "A claim written in an append.", ""},
	{ClaimsWon, KindCounter, "claims", "", "A claim read back as the first valid one for its key.", ""},
	{ClaimsLost, KindCounter, "claims", "", "A claim read back after another valid claim for its key.", ""},
	{ClaimsLate, KindCounter, "claims", "", "A claim won after its caller had received notRun; it was released and not run.", ""},
	{ClaimsRecordsBad, KindCounter, "records", "", "A record of claims that could not be read and was skipped.", ""},
	{ConfigOffset, KindGauge, "offset", "", "Log offset up to which the configuration is in force.", ""},
	{ClaimsOffset, KindGauge, "offset", "", "Log offset up to which claims are known.", ""},
	{ConfigAccepted, KindCounter, "changes", "", "A configuration change that was accepted.", ""},
	{ConfigConflicts, KindCounter, "changes", "", "A configuration change that was based on an older version.", ""},
	{ConfigInvalid, KindCounter, "changes", "", "A configuration change with an invalid body.", ""},
	{ConfigRecordsBad, KindCounter, "records", "", "A record of configuration that could not be read and was skipped.", ""},
	{ConfigFromPeers, KindCounter, "messages", "", "A peer's message with configuration of a higher offset than had been read from the log.", ""},

	{ForwardRequests, KindCounter, "requests", byReason, "A forwarded request that has ended, by result: answered, or the reason for its failure.", ""},
	{ForwardMicros, KindHistogram, "microseconds", "", "Time from a forwarded request's arrival to its end.", ""},
	{ForwardFirstEventMicros, KindHistogram, "microseconds", "", "Time from a call to a model engine to its first event.", ""},
	{ForwardStagesMicros, KindHistogram, "microseconds", "", "Time from a request's arrival to the end of its stages.", ""},
	{ForwardInFlight, KindGauge, "requests", "", "Forwarded requests in progress.", ""},
	{ForwardCalls, KindCounter, "calls", byService, "A forwarded request sent to an endpoint.", ""},
	{ForwardRepeats, KindCounter, "calls", byService, "A call after the first one for a request. The system's budget limits these calls.", ""},
	{ForwardResumes, KindCounter, "streams", "", "A stream that was continued at another endpoint.", ""},
	{ForwardCrashes, KindCounter, "endpoints", "", "An endpoint that crashed while it ran a forwarded request.", ""},
	{PieceCalls, KindCounter, "calls", byService, "A call for pieces of a stage.", ""},
	{PieceCallMicros, KindHistogram, "microseconds", byService, "Time from a call for pieces to its answer.", ""},
	{PieceBatch, KindHistogram, "pieces", byService, "Number of pieces in one call.", ""},
	{PieceWaiting, KindGauge, "pieces", byService, "Pieces waiting for a call at this entry.", ""},
	{PieceFailures, KindCounter, "pieces", byReason, "A piece that a call did not produce.", ""},
	{PieceAsksMoved, KindCounter, "asks", "", "A request for pieces sent to another entry because the first one did not respond.", ""},
	{EndpointJudgements, KindCounter, "judgements", byOutcome, "An endpoint taken out of use or returned to use.", ""},
	{EndpointsAgeMillis, KindGauge, "milliseconds", "", "Age of the list of endpoints.", ""},
	{ConfigVersion, KindGauge, "version", "", "Version of the configuration used to forward requests.", ""},
	{ConfigAgeMillis, KindGauge, "milliseconds", "", "Time since the store last answered a read of the configuration, from this entry or a peer.", ""},
	{EntriesUnusable, KindCounter, "records", "", "An invalid endpoint record in the store.", ""},
	{NoticesUnusable, KindCounter, "answers", byService, "An endpoint's answer with an invalid header about the work that the endpoint accepts.", ""},
	{StoreCalls, KindCounter, "calls", byOutcome, "A read of the platform's store.", ""},
	{StoreReturns, KindCounter, "returns", "", "A restoration of the store from an older copy.", ""},
	{LogLinesDropped, KindCounter, "lines", byReason, "A log line that was not written: an ordinary line over the rate limit, or any line when the buffer was full.", ""},

	{HeartbeatsSent, KindCounter, "heartbeats", "", "A heartbeat sent to a peer.", ""},
	{HeartbeatsReceived, KindCounter, "heartbeats", "", "A heartbeat received from a peer.", ""},
	{HeartbeatsReplaced, KindCounter, "heartbeats", "", "A heartbeat replaced by a newer one before it was sent.", "peers.heartbeatsReplaced"},
	{PeerFramesSent, KindCounter, "frames", "", "A frame written to a peer.", "peers.framesSent"},
	{PeerFramesReceived, KindCounter, "frames", "", "A frame read from a peer.", "peers.framesReceived"},
	{PeerFramesBad, KindCounter, "frames", "", "A frame that was too large or could not be decoded; its connection was closed.", "peers.badFrames"},
	{PeerBytesSent, KindCounter, "bytes", "", "Bytes written to peers.", "peers.bytesSent"},
	{PeerBytesReceived, KindCounter, "bytes", "", "Bytes read from peers.", "peers.bytesReceived"},
	{PeerMessagesDropped, KindCounter, "messages", "", "A message dropped because the queue for its peer was full.", "peers.messagesDropped"},
	{PeerMessagesLost, KindCounter, "messages", "", "A message for a peer that could not be reached.", "peers.messagesLost"},
	{PeersRefused, KindCounter, "connections", "", "A connection to the peers' socket that failed authentication with the shared key.", "peers.connectionsRefused"},
	{PeersEvicted, KindCounter, "connections", "", "A connection to the peers' socket closed in favour of a newer one.", "peers.connectionsEvicted"},
	{PeerAcceptErrors, KindCounter, "failures", "", "A failure to accept a connection on the peers' socket.", "peers.acceptFailures"},
	{PeersLive, KindGauge, "entries", "", "Other entries that are considered live.", ""},
	{ZonesEvacuated, KindGauge, "zones", "", "Availability zones whose endpoints receive no new work, by the operator's order.", ""},
	{EndpointsCold, KindGauge, "endpoints", "", "Endpoints in slow start, which receive few requests from all entries together.", ""},
	{EndpointsLimited, KindGauge, "endpoints", byService, "Endpoints that advertise a limit on the requests that they accept from all entries together.", ""},
	{EndpointsLeaving, KindGauge, "endpoints", byService, "Endpoints that announced in their answers that they are leaving, and are still listed.", ""},
	{EndpointsResting, KindGauge, "endpoints", byService, "Endpoints that refused a request of this entry and asked it to pause for a time that is not over.", ""},
	{PausesNoticed, KindCounter, "pauses", "", "A pause of this entry long enough that its peers may have considered it dead.", ""},

	{ConnectionsOpen, KindGauge, "connections", bySocket, "Open connections.", ""},
	{ConnectionsRefused, KindCounter, "connections", bySocket, "A connection closed immediately because too many were open.", ""},
	{CredentialsWrong, KindCounter, "requests", bySocket, "A request with a wrong credential.", ""},
	{CredentialsThrottled, KindCounter, "requests", bySocket, "A request with a wrong credential from an address that had sent too many; its connection was closed.", ""},
	{BodiesTooLarge, KindCounter, "requests", bySocket, "A request whose body was over the limit.", ""},
	{BodiesRefused, KindCounter, "requests", bySocket, "A request refused because the bodies in memory left no space for its own.", ""},

	{EventsReduced, KindCounter, "events", "", "An event passed to the reducer.", ""},
	{ReduceMicros, KindHistogram, "microseconds", "", "Time to reduce one event.", ""},
	{SpansDropped, KindCounter, "spans", "", "A span not exported because the queue was full or the export failed.", ""},
	{SpansExported, KindCounter, "spans", "", "A span accepted by the trace collector.", ""},
	{LabelsDropped, KindCounter, "counts", "", "A count recorded under the label \"other\" because its metric had too many labels.", ""},
}

// Definitions returns the definitions of all metrics in the order of docs/METRICS.md.
func Definitions() []Definition {
	return append([]Definition(nil), definitions...)
}
