package explainer

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// OnTime requests were answered within the objective of their route.
	OnTime Outcome = "onTime"
	// Late requests were answered after it, or with a pause between two events that was too long.
	Late Outcome = "late"
	// Refused requests have not run.
	Refused Outcome = "refused"
	// Lost requests ended with a failure after they may have run.
	Lost Outcome = "lost"
	// GaveUp requests ended because the caller disconnected.
	GaveUp Outcome = "gaveUp"
	// Invalid requests can't be served as they are: no route, no known key, a body that is too large.
	Invalid Outcome = "invalid"
	// Unjudged requests were answered; their log line has no objective.
	Unjudged Outcome = "unjudged"
)

// Step is the decision or the part of a request's way that made its outcome.
type Step string

// The steps.
const (
	StepDoor          Step = "door"
	StepPool          Step = "pool"
	StepStages        Step = "stages"
	StepModelEngine   Step = "modelEngine"
	StepEndpoint      Step = "endpoint"
	StepPause         Step = "pause"
	StepStream        Step = "stream"
	StepSilence       Step = "silence"
	StepLostEndpoint  Step = "lostEndpoint"
	StepUnreachable   Step = "unreachable"
	StepRejected      Step = "rejected"
	StepFailedTry     Step = "failedTry"
	StepRetryDenied   Step = "retryDenied"
	StepNoEndpoint    Step = "noEndpoint"
	StepEndpointError Step = "endpointError"
	StepEntryStop     Step = "entryStop"
	StepSeveral       Step = "several"
	StepUnknown       Step = "unknown"
)

// steps maps each step to its meaning and to what to check next.
var steps = map[Step]string{
	StepDoor:          "refused at the entry before any stage began. The reason says why; see 'geraniumline explain'.",
	StepPool:          "the pool of a stage refused it or lost its results. knownWait 0 means that the entry knew of no queue there. See piece_waiting.",
	StepStages:        "waited at a stage; where is the service that took longest. See piece_waiting and 'call for pieces'.",
	StepModelEngine:   "waited for the first event of the last endpoint. See --by endpoint and tokens, cached in 'endpoint chosen'.",
	StepEndpoint:      "waited for the answer of the last endpoint. See --by endpoint.",
	StepPause:         "a pause between two events of one endpoint was too long. See --by endpoint.",
	StepStream:        "ended between two events.",
	StepSilence:       "an endpoint was silent, and the request went to another one. See 'stream interrupted'.",
	StepLostEndpoint:  "an endpoint broke off. See 'stream interrupted' and 'endpoint health changed'.",
	StepUnreachable:   "an endpoint could not be connected to. A high listAge means that the entry did not know that it had ended.",
	StepRejected:      "endpoints answered that they did not run it. See 'endpoint asks for rest' and listAge.",
	StepFailedTry:     "an endpoint failed, answered with an error or was too slow, and the request went to another one.",
	StepRetryDenied:   "the retry budget was used up. See 'retry requested' and forward_repeats.",
	StepNoEndpoint:    "no further endpoint was in use. See 'endpoint health changed' and listAge.",
	StepEndpointError: "the endpoint's own answer was an error.",
	StepEntryStop:     "the entry ended its planned stop.",
	StepSeveral:       "no single step took over half of the objective.",
	StepUnknown:       "the log lines don't say.",
}

// Explain returns the meaning of a step.
func (s Step) Explain() string { return steps[s] }

// verdict is the outcome of one request with the step that decided it.
type verdict struct {
	outcome Outcome
	step    Step
	reason  string
	// after is what happened to the attempt before a retry that was denied or found no endpoint.
	after Step
	// where is the service of the pool or of the endpoint that decided it; empty if unknown.
	where string
	// took is the duration in seconds of the step for a late request, and of the whole request otherwise.
	took float64
	// listAge is the age in seconds of the list of endpoints when the last one was chosen, and knownWait the wait at
	// the stage that failed, as the entry knew it. They are nil if they were not logged.
	listAge   *float64
	knownWait *float64
}
