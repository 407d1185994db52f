package explainer

import (
	"net/http"
	"strings"
	"time"
)

const (
	// maxStages and maxInterruptions bound what is kept of one request.
	maxStages        = 16
	maxInterruptions = 16
	// decisiveShare is the part of the objective that a step of a late request must have taken to be named alone.
	decisiveShare = 0.5
)

// openRequest is the state of a request whose end was not read yet.
type openRequest struct {
	stages        map[int]*stageTime
	interruptions []interruption
	retryDenied   bool
	begun         bool
	failedPool    string
	listAge       *float64
	knownWait     *float64
}

// stageTime is the time that a stage has taken.
type stageTime struct {
	service string
	// since is when it was delegated, zero once it is complete.
	since time.Time
	total time.Duration
}

// interruption is the end of an attempt without a complete response.
type interruption struct {
	at   time.Time
	step Step
}

// add adds a line before the request's end.
func (o *openRequest) add(r *record) {
	switch r.Message {
	case messageStageDelegated:
		o.startStage(r)
	case messageStageCompleted:
		if s := o.stages[r.Stage]; s != nil {
			s.end(r.Time)
		}
	case messageStageFailed:
		o.failedPool, o.knownWait = r.Service, r.Waits
	case messageEndpointChosen:
		o.listAge = r.Age
	case messageFirstEvent:
		o.begun = true
	case messageRetryRequested:
		o.retryDenied = !r.Allowed
	case messageInterrupted:
		if len(o.interruptions) < maxInterruptions {
			o.interruptions = append(o.interruptions, interruption{at: r.Time, step: interruptionStep(r.Error)})
		}
	}
}

func (o *openRequest) startStage(r *record) {
	s := o.stages[r.Stage]
	if s == nil {
		if len(o.stages) >= maxStages {
			return
		}
		if o.stages == nil {
			o.stages = make(map[int]*stageTime)
		}
		s = &stageTime{}
		o.stages[r.Stage] = s
	}
	s.end(r.Time)
	s.service, s.since = r.Service, r.Time
}

func (s *stageTime) end(at time.Time) {
	if !s.since.IsZero() {
		s.total += at.Sub(s.since)
		s.since = time.Time{}
	}
}

// interruptionStep returns the step that the error of an interrupted attempt stands for: the entry cancels an attempt
// that was silent for too long.
func interruptionStep(text string) Step {
	switch {
	case strings.HasPrefix(text, "connect to "):
		return StepUnreachable
	case strings.HasSuffix(text, "context canceled"):
		return StepSilence
	}
	return StepLostEndpoint
}

// judge returns the verdict on the request, given the line of its end.
func (o *openRequest) judge(end *record) verdict {
	for _, s := range o.stages {
		s.end(end.Time)
	}
	var v verdict
	if end.Message == messageRequestAnswered {
		v = o.judgeAnswer(end)
	} else {
		v = o.judgeFailure(end)
	}
	v.listAge = o.listAge
	if v.step == StepPool {
		v.knownWait = o.knownWait
	}
	return v
}

func (o *openRequest) judgeAnswer(end *record) verdict {
	switch {
	case end.Status >= http.StatusInternalServerError:
		return verdict{outcome: Lost, step: StepEndpointError, where: end.Service, took: end.Took}
	case end.Objective == 0:
		return verdict{outcome: Unjudged}
	case answerTime(end) > end.Objective:
		return o.judgeLate(end)
	case end.EventGap != nil && *end.EventGap > 0 && end.LongestPause > *end.EventGap:
		return o.judgePause(end)
	}
	return verdict{outcome: OnTime}
}

// answerTime returns the time in seconds that counts against the objective: until the first event of a stream, and
// until the end of other answers.
func answerTime(end *record) float64 {
	if end.FirstEventAfter != nil {
		return *end.FirstEventAfter
	}
	return end.Took
}

// judgeLate finds the step that took longest: the stages before an endpoint was chosen, earlier attempts, or the last
// endpoint.
func (o *openRequest) judgeLate(end *record) verdict {
	if end.FirstSendAfter == nil || end.LastSendAfter == nil {
		return verdict{outcome: Late, step: StepUnknown, took: answerTime(end)}
	}
	before, attempts := *end.FirstSendAfter, *end.LastSendAfter-*end.FirstSendAfter
	last := answerTime(end) - *end.LastSendAfter
	v := verdict{outcome: Late, step: o.endpointStep(end), where: end.Service, took: last}
	if before > v.took {
		v.step, v.where, v.took = StepStages, o.slowestStage(), before
	}
	if attempts > v.took {
		v.step, v.where, v.took = o.attemptStep(end), end.Service, attempts
	}
	if v.took < decisiveShare*end.Objective {
		return verdict{outcome: Late, step: StepSeveral, took: answerTime(end)}
	}
	return v
}

// attemptStep returns the step at which the attempts before the last one spent most of their time.
func (o *openRequest) attemptStep(end *record) Step {
	from, until := attemptTimes(end)
	spent := make(map[Step]time.Duration)
	longest := Step("")
	for _, i := range o.interruptions {
		if i.at.Before(from) || i.at.After(until) {
			continue
		}
		spent[i.step] += i.at.Sub(from)
		from = i.at
		if longest == "" || spent[i.step] > spent[longest] {
			longest = i.step
		}
	}
	switch {
	case longest != "":
		return longest
	case end.Runs > 1:
		return StepFailedTry
	case end.Sends > 1:
		return StepRejected
	}
	return StepUnreachable
}

// attemptTimes returns when the first endpoint was chosen, and when the last one answered. A silent endpoint is left only after
// the next one was sent the request.
func attemptTimes(end *record) (first, last time.Time) {
	start := end.Time.Add(-seconds(end.Took))
	return start.Add(seconds(*end.FirstSendAfter)), start.Add(seconds(answerTime(end)))
}

// judgePause judges a stream that began on time and had a pause that was too long.
func (o *openRequest) judgePause(end *record) verdict {
	v := verdict{outcome: Late, step: StepPause, where: end.Service, took: end.LongestPause}
	begun := end.Time.Add(seconds(*end.FirstEventAfter - end.Took))
	for _, i := range o.interruptions {
		if i.at.After(begun) {
			v.step = i.step
		}
	}
	return v
}

func (o *openRequest) judgeFailure(end *record) verdict {
	v := verdict{outcome: Lost, reason: end.Reason, took: end.Took}
	switch {
	case end.CallerGone || end.Reason == "callerGone":
		v.outcome = GaveUp
		v.step, v.where = o.position(end)
		return v
	case end.Status == http.StatusServiceUnavailable:
		v.outcome = Refused
	case end.Status < http.StatusInternalServerError:
		v.outcome = Invalid
		v.step = StepDoor
		return v
	}
	v.step, v.where = o.failureStep(end)
	switch v.step {
	case StepRetryDenied, StepRejected, StepNoEndpoint:
		v.after = o.lastAttempt(end)
	}
	return v
}

// lastAttempt returns how the last attempt of a failed request ended, empty if there was none.
func (o *openRequest) lastAttempt(end *record) Step {
	switch n := len(o.interruptions); {
	case n > 0:
		return o.interruptions[n-1].step
	case end.Runs > 0:
		return StepFailedTry
	case end.Sends > 0:
		return StepRejected
	case len(end.Endpoints) > 0:
		return StepUnreachable
	}
	return ""
}

// failureStep returns the step that a failure's reason stands for, and the service concerned.
func (o *openRequest) failureStep(end *record) (Step, string) {
	switch end.Reason {
	case "stagesTimedOut":
		return StepStages, o.slowestStage()
	case "entryStops", "endedByStop":
		return StepEntryStop, ""
	case "noEndpointTook":
		if o.retryDenied {
			return StepRetryDenied, end.Service
		}
		return StepRejected, end.Service
	case "endpointBroke", "endpointFailed":
		return StepLostEndpoint, end.Service
	case "noEndpoint":
		return StepNoEndpoint, end.Service
	case "endpointsHeldBack":
		if end.Sends == 0 && len(o.stages) == 0 {
			return StepDoor, end.Service
		}
		return StepNoEndpoint, end.Service
	case "timeout":
		if end.Status == http.StatusServiceUnavailable {
			return StepUnreachable, end.Service
		}
		return o.position(end)
	}
	switch {
	case strings.HasPrefix(end.Reason, "stage"):
		return StepPool, o.failedPool
	case end.Sends > 0 || len(o.stages) > 0:
		return StepUnknown, end.Service
	}
	return StepDoor, ""
}

// position returns how far the request had come at its end, and the service it was at.
func (o *openRequest) position(end *record) (Step, string) {
	switch {
	case end.FirstEventAfter != nil || o.begun:
		return StepStream, end.Service
	case end.FirstSendAfter != nil || end.Sends > 0:
		return o.endpointStep(end), end.Service
	case len(o.stages) > 0:
		return StepStages, o.slowestStage()
	}
	return StepDoor, ""
}

// endpointStep returns the step of the last endpoint: a stream's is a model engine.
func (o *openRequest) endpointStep(end *record) Step {
	if end.EventGap != nil || o.begun || len(o.stages) > 0 {
		return StepModelEngine
	}
	return StepEndpoint
}

// slowestStage returns the service of the stage that took longest.
func (o *openRequest) slowestStage() string {
	slowest := &stageTime{}
	for _, s := range o.stages {
		if s.total > slowest.total || s.total == slowest.total && s.service < slowest.service {
			slowest = s
		}
	}
	return slowest.service
}
