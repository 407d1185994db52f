package explainer

// causes maps each reason in the log line of a failed request to its meaning and to what to check next. A test
// compares the keys with the reasons in the forwarder's sources.
var causes = map[string]string{
	"starting":          "the entry did not know the configuration or the endpoints yet; it has not run. Look for 'store does not answer'.",
	"noMemory":          "the requests of callers held the memory that is set aside for them; it has not run. See 'no room for clients' and client_bytes.",
	"serviceTooBusy":    "most connections of callers waited for its service already; it has not run. See connections_open.",
	"noRoute":           "no route of the version in force has this host and path. Compare 'version' with the operator's newest.",
	"badHeader":         "the caller's header can't be used.",
	"unknownKey":        "the key is in no client account of the version in force. Was it withdrawn?",
	"ambiguousLength":   "the request states its length in two ways; it was refused and its connection closed.",
	"bodyTooLarge":      "the body is over the configuration's limit.",
	"bodyCut":           "the caller's body was incomplete.",
	"unusableRoute":     "the route of the version in force can't be used; it has not run. Look for 'part of the configuration can't be used'.",
	"unknownService":    "the route names a service that the version in force does not have; it has not run.",
	"crashesEndpoints":  "the same content crashed two endpoints that ran it; it has not run. See 'endpoint crashed with a request'.",
	"crashingPart":      "a part of its prompt crashed several endpoints that began to answer it, and is quarantined; it has not run unless runs is above 0. See 'part of prompts quarantined'.",
	"overload":          "the pieces queued at the stages would have taken until after its deadline; it has not run. See piece_waiting.",
	"stageoverload":     "more urgent pieces would have taken the stage until after its deadline; it has not run. See piece_waiting.",
	"stagelate":         "its pieces waited until too little time was left for a call; it has not run. See 'waits' in 'stage failed'.",
	"stageinputGone":    "results of an earlier stage expired before they were used, more than twice; it has not run.",
	"stagenoRoom":       "no endpoint of the stage had space for its results; it has not run.",
	"stagefailed":       "its pieces failed in several calls; it has not run. See 'call for pieces failed' for the endpoints.",
	"stagecrashed":      "its pieces were in calls that crashed endpoints of a stage, the last one without other pieces; it has not run, and its content is refused. See 'call for pieces ended' with end=crashed.",
	"stagesTimedOut":    "its caller would have disconnected, or its deadline passed, before the stages were done; it has not run.",
	"entryStops":        "the entry was stopping: it came after cached addresses had expired, or its body or its stages were not complete at the end; it has not run.",
	"endedByStop":       "the entry reached the end of its planned stop while an endpoint worked on it; it may have run. Its route's timeout is longer than the time for a stop.",
	"stageResultGone":   "results of a stage had expired, or the process that held them had ended, when the model engine fetched them, and could not be computed again in time; it has not run.",
	"noOpenEndpoint":    "the endpoints that could serve it are in evacuated zones, or outside its home regions; it has not run. Look for 'evacuated zones changed'.",
	"stageevacuated":    "the zones of all endpoints of a stage were evacuated while its pieces waited; it has not run. Look for 'evacuated zones changed'.",
	"stageheldBack":     "all endpoints of a stage had asked for a pause or stated limits, so that its pieces could not be computed in time; it has not run. Look for 'endpoint asks for rest' and 'endpoint's limit changed'.",
	"endpointsHeldBack": "all endpoints of the service had asked for a pause or stated limits; it has not run. Look for 'endpoint asks for rest' and 'endpoint's limit changed'.",
	"unknownVersion":    "the caller resumes a stream whose software version is not known, and its service has, or may have had, several; it has not run. See 'stream resumed by caller'.",
	"versionGone":       "the caller resumes a stream whose software version has no endpoint any more; it has not run. See 'stream resumed by caller'.",
	"noEndpoint":        "all endpoints of the service were tried, or none is in use.",
	"noEndpointTook":    "several endpoints rejected it, or the retry budget was used up.",
	"endpointBroke":     "an endpoint closed the connection after it had received the request: it may have run, and was not sent again.",
	"endpointFailed":    "an endpoint failed in the middle of the stream.",
	"timeout":           "its deadline or its route's timeout passed while an endpoint was processing it: it may have run.",
	"callerGone":        "the caller disconnected before the response; the endpoint's work was cancelled.",
}

// Explain returns the meaning of a reason, or a text saying that the reason is unknown.
func Explain(reason string) string {
	if text, known := causes[reason]; known {
		return text
	}
	return "unknown reason"
}

// Reasons returns the reasons that Explain knows, in no particular order.
func Reasons() []string {
	list := make([]string, 0, len(causes))
	for reason := range causes {
		list = append(list, reason)
	}
	return list
}
