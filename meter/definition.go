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
	ForwardRetriesDenied    Name = "forward_retries_denied"
	ForwardRetriesLeft      Name = "forward_retries_left"
	ForwardResumes          Name = "forward_resumes"
	ForwardStalls           Name = "forward_stalls"
	ForwardBroken           Name = "forward_broken"
	ForwardPanics           Name = "forward_panics"
	ForwardPromptsCached    Name = "forward_prompts_cached"
	ForwardPromptsRead      Name = "forward_prompts_read"
	PromptsReported         Name = "prompts_reported"
	ForwardSpeedSpread      Name = "forward_speed_spread"
	StreamResumptions       Name = "stream_resumptions"
	StreamOriginsReplicated Name = "stream_origins_replicated"
	StreamOriginsDropped    Name = "stream_origins_dropped"
	RelayedCalls            Name = "relayed_calls"
	ServedRelays            Name = "served_relays"
	EndpointDetours         Name = "endpoint_detours"
	Partitioned             Name = "partitioned"
	ForwardCrashes          Name = "forward_crashes"
	PartsQuarantined        Name = "parts_quarantined"
	PartsSuspected          Name = "parts_suspected"
	PartTrials              Name = "part_trials"
	ForwardOverloadRefusals Name = "forward_overload_refusals"
	PieceCalls              Name = "piece_calls"
	PieceCallMicros         Name = "piece_call_micros"
	PieceBatch              Name = "piece_batch"
	PieceWaiting            Name = "piece_waiting"
	PieceClassWaitMillis    Name = "piece_class_wait_millis"
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
	EndpointsFragile    Name = "endpoints_fragile"
	EndpointsLeaving    Name = "endpoints_leaving"
	EndpointsResting    Name = "endpoints_resting"
	EndpointsEnded      Name = "endpoints_ended"
	EndpointsAvoided    Name = "endpoints_avoided"
	PausesNoticed       Name = "pauses_noticed"
)

// Metrics of listening sockets, by socket.
const (
	ConnectionsOpen      Name = "connections_open"
	ConnectionsRefused   Name = "connections_refused"
	ConnectionsExpired   Name = "connections_expired"
	CredentialsWrong     Name = "credentials_wrong"
	CredentialsThrottled Name = "credentials_throttled"
	BodiesTooLarge       Name = "bodies_too_large"
	BodiesRefused        Name = "bodies_refused"
	ClientBytes          Name = "client_bytes"
	ClientsEvicted       Name = "clients_evicted"
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
	byPhase   = "phase"
	byPool    = "pool"
	byReason  = "reason"
	byService = "service"
	byOutcome = "outcome"
	// byClass is a service's pool and a priority, such as encode/0.
	byClass = "class"
)

// definitions holds all metrics in the order of docs/METRICS.md.
var definitions = []Definition{
	{RequestsReceived, KindCounter, "requests", byAccount, "A request whose credential and body were read.", ""},
	{RequestsAnswered, KindCounter, "requests", byAccount, "A request whose whole answer was given.", ""},
	{RequestsInTime, KindCounter, "requests", byAccount, "A request whose whole answer was given within its deadline. Attainment is this over requests_received.", ""},
	{RequestsNotRun, KindCounter, "requests", byAccount, "Requests answered notRun.", ""},
	{RequestsUnknown, KindCounter, "requests", byAccount, "Requests answered unknown.", ""},
	{RequestsRepeated, KindCounter, "requests", "", "A request under a key that was already known, answered by the first one's outcome.", ""},
	{RequestsInFlight, KindGauge, "requests", "", "Requests that this entry is running or holding in its queue.", ""},
	{RequestMicros, KindHistogram, "microseconds", "", "From a request's arrival to the end of its answer.", ""},
	{FirstPartMicros, KindHistogram, "microseconds", "", "From a streamed request's arrival to the first part of its answer.", ""},
	{CostMillis, KindCounter, "endpoint milliseconds", byAccount, "Endpoint time used by stage calls.", ""},
	{WastedMillis, KindCounter, "endpoint milliseconds", byAccount, "The part of cost_millis that went to cancelled, hedged and retried calls whose result was not used.", ""},
	{PoisonFound, KindCounter, "contents", "", "A content that lost two endpoints that ran it and is not run again.", ""},
	{PoisonRefused, KindCounter, "requests", "", "A request refused because its content had crashed endpoints before.", ""},
	{OutcomesAsked, KindCounter, "calls", "", "A call for the outcome of an earlier request.", ""},
	{OutcomesHandedOff, KindCounter, "outcomes", "", "An outcome given to a peer at a planned stop.", ""},

	{StageCalls, KindCounter, "calls", byStage, "A call sent to an endpoint.", ""},
	{StageFailures, KindCounter, "calls", byStage, "A call that ended without a whole reply.", ""},
	{StageRetries, KindCounter, "calls", "", "A call sent again after a failure.", ""},
	{StageHedges, KindCounter, "calls", "", "A second call sent beside a slow first one.", ""},
	{StageResumes, KindCounter, "calls", "", "A cut stream that was read on at its endpoint.", ""},
	{StageCancels, KindCounter, "calls", byStage, "A call cancelled because its result was no longer wanted.", ""},
	{StageMicros, KindHistogram, "microseconds", byStage, "From a call's dispatch to the end of its reply.", ""},
	{RepliesLate, KindCounter, "replies", "", "A reply dropped because another attempt had already been taken.", ""},
	{RepliesForeign, KindCounter, "replies", "", "A reply dropped because its ids were not those of the call.", ""},
	{StreamGaps, KindCounter, "parts", "", "A hole found in a stream's sequence numbers.", ""},
	{StreamOverlaps, KindCounter, "parts", "", "A part of a stream that had come before and was cut.", ""},
	{EndpointsEjected, KindCounter, "endpoints", "", "An endpoint taken out because it did worse than its pool.", ""},

	{OrdersSent, KindCounter, "orders", "", "An order sent to an engine.", ""},
	{OrdersRefused, KindCounter, "orders", "", "An order that the engine surely did not take.", ""},
	{OrdersUncertain, KindCounter, "orders", "", "An order without a readable answer; the engine is read back.", ""},
	{LoadsOrdered, KindCounter, "loads", "", "An order for which the engine loads weights.", ""},

	{LogAppends, KindCounter, "appends", byStream, "An append sent to the log service.", ""},
	{LogAppendErrors, KindCounter, "appends", byStream, "An append refused, failed or without a reply.", ""},
	{LogAppendMicros, KindHistogram, "microseconds", byStream, "From an append's sending to its reply.", ""},
	{LogReads, KindCounter, "reads", byStream, "A read sent to the log service.", ""},
	{LogReadErrors, KindCounter, "reads", byStream, "A read that failed.", ""},
	{ClaimsAppended, KindCounter, "claims", "", "A claim put into an append.", ""},
	{ClaimsWon, KindCounter, "claims", "", "A claim read back as the first valid one for its key.", ""},
	{ClaimsLost, KindCounter, "claims", "", "A claim read back behind another's.", ""},
	{ClaimsLate, KindCounter, "claims", "", "Claims won after their caller had been answered notRun; they were released and not run.", ""},
	{ClaimsRecordsBad, KindCounter, "records", "", "A record of claims that could not be read and was passed over.", ""},
	{ConfigOffset, KindGauge, "offset", "", "Log offset up to which configuration is in force.", ""},
	{ClaimsOffset, KindGauge, "offset", "", "Log offset up to which claims are known.", ""},
	{ConfigAccepted, KindCounter, "changes", "", "A change of configuration that won.", ""},
	{ConfigConflicts, KindCounter, "changes", "", "A change of configuration that was based on an older version.", ""},
	{ConfigInvalid, KindCounter, "changes", "", "A change of configuration with faults in its body.", ""},
	{ConfigRecordsBad, KindCounter, "records", "", "A record of configuration that could not be read and was passed over.", ""},
	{ConfigFromPeers, KindCounter, "messages", "", "A peer's message that brought configuration up to a higher offset than the log had yet.", ""},

	{ForwardRequests, KindCounter, "requests", byReason, "A forwarded request that has ended: answered, or the reason of its failure.", ""},
	{ForwardMicros, KindHistogram, "microseconds", "", "From a forwarded request's arrival to its end.", ""},
	{ForwardFirstEventMicros, KindHistogram, "microseconds", "", "From a call to a model engine to its first event.", ""},
	{ForwardStagesMicros, KindHistogram, "microseconds", "", "From a request's arrival to the end of its stages.", ""},
	{ForwardInFlight, KindGauge, "requests", "", "Forwarded requests under way.", ""},
	{ForwardCalls, KindCounter, "calls", byService, "A forwarded request sent to an endpoint.", ""},
	{ForwardRepeats, KindCounter, "calls", byService, "A call beyond the first of its request. The system's budget bounds them.", ""},
	{ForwardRetriesDenied, KindCounter, "calls", byService, "A call beyond the first of its request that the budget did not allow.", ""},
	{ForwardRetriesLeft, KindGauge, "calls", byService, "Calls beyond the first of their request that this entry may still make.", ""},
	{ForwardResumes, KindCounter, "streams", "", "A stream that went on at another endpoint.", ""},
	{ForwardStalls, KindCounter, "calls", byReason, "A call that was canceled because its endpoint was silent, once another endpoint had taken the request: that of a resumable stream beforeFirstEvent or betweenEvents, that of another repeatable request beforeResponse.", ""},
	{ForwardBroken, KindCounter, "requests", byReason, "A response that had begun and was broken off, by the reason of the request's failure.", ""},
	{ForwardPanics, KindCounter, "requests", "", "A request whose connection was closed because its handler panicked.", ""},
	{ForwardPromptsCached, KindCounter, "calls", byService, "A call whose endpoint has most likely cached all shared parts of the prompt.", ""},
	{ForwardPromptsRead, KindCounter, "calls", byService, "A call whose endpoint most likely reads shared parts of the prompt.", ""},
	{PromptsReported, KindGauge, "1 or 0", "", "Whether enough peers report to this entry where they send prompts. Otherwise it takes prompts for cached at their home endpoints.", ""},
	{ForwardSpeedSpread, KindGauge, "thousandths", byService, "The standard deviation of the endpoints' speeds as a part of the usual one; 0 if noise explains all differences.", ""},
	{StreamResumptions, KindCounter, "streams", byOutcome, "A stream that its caller resumes: recorded if the software version that began it is stored at an entry, singleVersion if its service has had only one, unknown and gone if it was refused because its version is not known or has no endpoint.", ""},
	{StreamOriginsReplicated, KindCounter, "streams", "", "A stream begun at this entry whose software version was sent to peers, since its service may have several.", ""},
	{StreamOriginsDropped, KindCounter, "streams", "", "A stream whose origin was not kept, since too many are.", ""},
	{RelayedCalls, KindCounter, "calls", byOutcome, "A call to an endpoint that this entry can't reach, sent through a peer: answered, failed, endpointDown, or noPeer if no peer took it.", ""},
	{ServedRelays, KindCounter, "calls", byOutcome, "A call sent to an endpoint for a peer that can't reach it: answered, failed, or the reason why it was not sent.", ""},
	{EndpointDetours, KindGauge, "endpoints", "", "Endpoints that this entry can't reach while a peer can.", ""},
	{Partitioned, KindGauge, "1 or 0", "", "Whether this entry is considered partitioned from all endpoints, so that all its calls go through peers.", ""},
	{ForwardCrashes, KindCounter, "endpoints", "", "An endpoint that crashed while it ran a forwarded request.", ""},
	{PartsQuarantined, KindGauge, "parts", "", "Parts of prompts that are quarantined since they crash endpoints.", ""},
	{PartsSuspected, KindGauge, "parts", "", "Parts of prompts with fewer crashes that no answer has cleared yet.", ""},
	{PartTrials, KindCounter, "trials", byOutcome, "A request with a quarantined part that asked to be sent as a trial: granted or denied.", ""},
	{ForwardOverloadRefusals, KindCounter, "requests", byService, "A request refused before its first stage, since the wait at this service leaves its caller no time.", ""},
	{PieceCalls, KindCounter, "calls", byService, "A call for pieces of a stage.", ""},
	{PieceCallMicros, KindHistogram, "microseconds", byService, "From a call for pieces to its answer.", ""},
	{PieceBatch, KindHistogram, "pieces", byService, "Pieces of one call.", ""},
	{PieceWaiting, KindGauge, "pieces", byService, "Pieces that wait for a call at this entry.", ""},
	{PieceClassWaitMillis, KindGauge, "milliseconds", byClass, "How long a piece of a priority that arrives at this collecting entry now would wait, by pool/priority.", ""},
	{PieceFailures, KindCounter, "pieces", byReason, "A piece that a call did not make.", ""},
	{PieceAsksMoved, KindCounter, "asks", "", "Pieces asked for at another entry since the first one was silent.", ""},
	{EndpointJudgements, KindCounter, "judgements", byOutcome, "An endpoint taken out of use or let back.", ""},
	{EndpointsAgeMillis, KindGauge, "milliseconds", "", "Age of the list of endpoints.", ""},
	{ConfigVersion, KindGauge, "version", "", "Version of the configuration that requests are forwarded by.", ""},
	{ConfigAgeMillis, KindGauge, "milliseconds", "", "Time since the store last answered a reading of the configuration, here or at a peer.", ""},
	{EntriesUnusable, KindCounter, "records", "", "An endpoint's entry in the store that can't be used.", ""},
	{NoticesUnusable, KindCounter, "answers", byService, "An endpoint's answer whose header on the work that the endpoint takes can't be used.", ""},
	{StoreCalls, KindCounter, "calls", byOutcome, "A reading of the platform's store.", ""},
	{StoreReturns, KindCounter, "returns", "", "A return of the store from an older copy.", ""},
	{LogLinesDropped, KindCounter, "lines", byReason, "A log line not written: ordinary over the rate, or any over the buffer.", ""},

	{HeartbeatsSent, KindCounter, "heartbeats", "", "A heartbeat sent to a peer.", ""},
	{HeartbeatsReceived, KindCounter, "heartbeats", "", "A heartbeat taken from a peer.", ""},
	{HeartbeatsReplaced, KindCounter, "heartbeats", "", "A heartbeat that gave way to a newer one before it was sent.", "peers.heartbeatsReplaced"},
	{PeerFramesSent, KindCounter, "frames", "", "A frame written to a peer.", "peers.framesSent"},
	{PeerFramesReceived, KindCounter, "frames", "", "A frame read from a peer.", "peers.framesReceived"},
	{PeerFramesBad, KindCounter, "frames", "", "A frame that was too large or could not be decoded; its connection was closed.", "peers.badFrames"},
	{PeerBytesSent, KindCounter, "bytes", "", "Bytes written to peers.", "peers.bytesSent"},
	{PeerBytesReceived, KindCounter, "bytes", "", "Bytes read from peers.", "peers.bytesReceived"},
	{PeerMessagesDropped, KindCounter, "messages", "", "A message that found no room in the queue for its peer.", "peers.messagesDropped"},
	{PeerMessagesLost, KindCounter, "messages", "", "A message for a peer that could not be reached.", "peers.messagesLost"},
	{PeersRefused, KindCounter, "connections", "", "A connection at the peers' socket that did not prove the shared key.", "peers.connectionsRefused"},
	{PeersEvicted, KindCounter, "connections", "", "A connection at the peers' socket closed in favour of a newer one.", "peers.connectionsEvicted"},
	{PeerAcceptErrors, KindCounter, "failures", "", "A failure to accept a connection at the peers' socket.", "peers.acceptFailures"},
	{PeersLive, KindGauge, "entries", "", "Other entries that are live.", ""},
	{ZonesEvacuated, KindGauge, "zones", "", "Availability zones whose endpoints get no new work, by the operator's order.", ""},
	{EndpointsCold, KindGauge, "endpoints", "", "Endpoints in their slow start, which get few requests from all entries together.", ""},
	{EndpointsLimited, KindGauge, "endpoints", byService, "Endpoints that name a limit on the requests that they take from all entries together.", ""},
	{EndpointsFragile, KindGauge, "endpoints", byService, "Endpoints that name a number of refusals a second above which they crash.", ""},
	{EndpointsLeaving, KindGauge, "endpoints", byService, "Endpoints that say in their answers that they leave, and are still listed.", ""},
	{EndpointsResting, KindGauge, "endpoints", byService, "Endpoints that have turned this entry away and asked it for a time of rest, which is not over.", ""},
	{EndpointsEnded, KindCounter, "endpoints", byService, "An endpoint found to have ended, as another process answered at its address while it was still listed.", ""},
	{EndpointsAvoided, KindGauge, "endpoints", byService, "Endpoints that get work only while no other is in use, as peers could not reach them.", ""},
	{PausesNoticed, KindCounter, "pauses", "", "A pause of this entry that was so long that its peers may have taken it for dead.", ""},

	{ConnectionsOpen, KindGauge, "connections", bySocket, "Open connections.", ""},
	{ConnectionsRefused, KindCounter, "connections", bySocket, "A connection closed at once because too many were open.", ""},
	{ConnectionsExpired, KindCounter, "connections", bySocket, "A connection closed because it was idle for longer than the configuration allows.", ""},
	{CredentialsWrong, KindCounter, "requests", bySocket, "A request with a wrong credential.", ""},
	{CredentialsThrottled, KindCounter, "requests", bySocket, "A request with a wrong credential from an address that had sent too many; its connection was closed.", ""},
	{BodiesTooLarge, KindCounter, "requests", bySocket, "A request whose body was over the limit.", ""},
	{BodiesRefused, KindCounter, "requests", bySocket, "A request refused because the bodies in memory left no room for its own.", ""},
	{ClientBytes, KindGauge, "bytes", bySocket, "Memory counted for what callers' connections, requests and unread responses hold.", ""},
	{ClientsEvicted, KindCounter, "connections", byPhase, "A connection closed, or a body refused, to make room for others, by what it was doing.", ""},

	{EventsReduced, KindCounter, "events", "", "An event given to the reducer.", ""},
	{ReduceMicros, KindHistogram, "microseconds", "", "Time to reduce one event.", ""},
	{SpansDropped, KindCounter, "spans", "", "A span not exported because the queue was full or the export failed.", ""},
	{SpansExported, KindCounter, "spans", "", "A span taken by the trace collector.", ""},
	{LabelsDropped, KindCounter, "counts", "", "A count put under the label \"other\" because its metric had too many labels.", ""},
}

// Definitions returns the definitions of all metrics in the order of docs/METRICS.md.
func Definitions() []Definition {
	return append([]Definition(nil), definitions...)
}
