package forwarder

import "time"

const (
	// silenceFactor is how many times the predicted time to the first event an endpoint may be silent, and
	// silenceDeviations how many deviations of predictions longer. The former covers an engine that is slow for a moment,
	// the latter the work there that this entry doesn't know of.
	silenceFactor     = 3
	silenceDeviations = 4
	// minSilenceFactor is the least such multiple. An endpoint that serves as predicted is not left, even if the time
	// that remains would not suffice at another one afterwards.
	minSilenceFactor = 1.5
	// silenceRecheck is how often it is checked whether a silent stream may go on elsewhere.
	silenceRecheck = 250 * time.Millisecond
	// maxReturnWait is the longest time between two attempts of a stream that has left a silent endpoint and that no other one
	// has taken. Each takes a retry.
	maxReturnWait = 2 * time.Second
)

// The values of the label of meter.ForwardStalls.
const (
	stalledBeforeFirstEvent = "beforeFirstEvent"
	stalledBetweenEvents    = "betweenEvents"
	stalledBeforeResponse   = "beforeResponse"
)

// firstEventSilence decides how long an endpoint may be silent before the first event of a stream that may resume
// elsewhere. It answers the load of long prompts at busy endpoints: each stream that is left too early is read again at
// another endpoint, which makes the next ones late.
type firstEventSilence struct {
	// min is the least limit, for prompts that are read within a moment.
	min time.Duration
	// predicted is the predicted time to the first event at the endpoint, and elsewhere that at another one, both
	// without any part of the prompt cached: which parts an endpoint has is only a belief.
	predicted time.Duration
	elsewhere time.Duration
	// deviation is the mean deviation of predictions.
	deviation time.Duration
	// left is the time until the caller gives up waiting for a first event.
	left time.Duration
}

// limit returns the longest silence. A hung endpoint is left in time for another one.
func (s firstEventSilence) limit() time.Duration {
	limit := min(silenceFactor*s.predicted+silenceDeviations*s.deviation, s.left-s.elsewhere)
	limit = max(limit, time.Duration(minSilenceFactor*float64(s.predicted)))
	return max(limit, s.min)
}
