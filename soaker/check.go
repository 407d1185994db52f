package soaker

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Attempt is one request and the response that its caller received.
type Attempt struct {
	ID    string
	Entry int
	// Incarnation numbers the starts of the entry's process. It is unknownIncarnation if the process was restarted during the
	// request.
	Incarnation int
	// AtMostOnce is set if the request must not run twice.
	AtMostOnce bool
	// Sent and Ended are measured from the start of the plan.
	Sent, Ended time.Duration
	// Status is the HTTP status, or 0 if no complete response was received.
	Status int
	Body   string
	Stamp  string
	// ExpectedBody is the body of a complete response.
	ExpectedBody string
	// Received holds the events that the caller has received so far of a stream that it resumes.
	Received string
	Phase    Phase
}

// Phase is the part of a plan run in which a request is sent.
type Phase int

// The phases: while faults are injected, after the last configuration must be in force, and after everything must have
// recovered.
const (
	phaseFaults Phase = iota
	phaseConfigured
	phaseSettled
)

// unknownIncarnation marks requests that either of two processes of an entry may have handled.
const unknownIncarnation = -1

// Execution is one execution of a request at an endpoint.
type Execution struct {
	Attempt  string
	Endpoint string
	// Version is the version of the configuration with which the entry handled the request.
	Version int
	// ReceivedAt is when the endpoint received the request, measured from the start of the plan.
	ReceivedAt time.Duration
	// InEvacuatedZone is set if the endpoint is in the zone that the plan evacuates.
	InEvacuatedZone bool
}

// Span is an interval measured from the start of the plan. In Record.Evacuations, it is one in which a zone was evacuated
// according to the store's acknowledgements, while nothing disturbed the store or an entry. In Record.Disturbed, it is one
// in which an entry's process was disturbed.
type Span struct{ From, To time.Duration }

// Record holds everything observed while a plan ran.
type Record struct {
	Attempts   []Attempt
	Executions []Execution
	// Evacuations are the spans in which endpoints of the evacuated zone must not receive requests.
	Evacuations []Span
	// NewestVersion is the last version of the configuration that was written.
	NewestVersion int
	// Endpoints lists the requests that each endpoint received. Disturbed holds, by entry, the spans in which its process was
	// ended, paused or started.
	Endpoints []EndpointRecord
	Disturbed map[int][]Span
	// ProcessErrors describes planned stops that took too long and entries that could not be killed or restarted.
	ProcessErrors []string
}

// Violation is one broken promise of the system.
type Violation struct {
	Promise string
	Detail  string
}

func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// The promises to callers and operators.
const (
	promiseWhole    = "whole answers to the caller's own request"
	promiseOnce     = "at most once"
	promiseTruth    = "truth of not run"
	promiseForward  = "configuration never goes back"
	promiseCurrent  = "configuration in force"
	promiseRecovery = "recovery"
	promiseStop     = "planned stops end in time"
	promiseZone     = "nothing to evacuated endpoints"
	promiseOwn      = "only what callers sent"
)

// notRunStatuses are the HTTP statuses that promise that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// Check returns the promises that were broken.
func Check(r *Record) []Violation {
	executions := make(map[string][]Execution)
	for _, e := range r.Executions {
		executions[e.Attempt] = append(executions[e.Attempt], e)
	}
	var violations []Violation
	sent := make(map[string]bool, len(r.Attempts))
	for i := range r.Attempts {
		a := &r.Attempts[i]
		sent[a.ID] = true
		violations = append(violations, checkAttempt(a, executions[a.ID], r.NewestVersion)...)
	}
	for i := range r.Executions {
		violations = append(violations, checkZone(&r.Executions[i], r.Evacuations)...)
	}
	for id := range executions {
		if !sent[id] {
			violations = append(violations, Violation{promiseOwn, id + " ran and no caller sent it"})
		}
	}
	for _, name := range r.ProcessErrors {
		violations = append(violations, Violation{promiseStop, name})
	}
	violations = append(violations, checkNotices(r)...)
	return append(violations, checkForward(r.Attempts, executions)...)
}

func checkAttempt(a *Attempt, executions []Execution, newest int) []Violation {
	var violations []Violation
	add := func(promise, format string, args ...any) {
		violations = append(violations, Violation{promise, a.ID + " " + fmt.Sprintf(format, args...)})
	}
	if a.Status == http.StatusOK && (a.Body != a.ExpectedBody || a.Stamp == "" || len(executions) == 0) {
		add(promiseWhole, "got %q of %q", a.Body, a.ExpectedBody)
	}
	if !strings.HasPrefix(a.ExpectedBody, a.Received) {
		add(promiseWhole, "got %q so far, of %q", a.Received, a.ExpectedBody)
	}
	if a.AtMostOnce && len(executions) > 1 {
		add(promiseOnce, "ran %d times", len(executions))
	}
	if a.AtMostOnce && notRunStatuses[a.Status] && len(executions) > 0 {
		add(promiseTruth, "ran and was answered %d", a.Status)
	}
	if a.Phase == phaseFaults {
		return violations
	}
	if a.Phase == phaseSettled && a.Status != http.StatusOK {
		add(promiseRecovery, "was answered %d after the last fault", a.Status)
	}
	for _, execution := range executions {
		if execution.Version < newest {
			add(promiseCurrent, "was handled by version %d at entry-%d, the newest is %d", execution.Version, a.Entry, newest)
		}
	}
	return violations
}

// checkZone reports an execution in the evacuated zone during one of the evacuations.
func checkZone(e *Execution, evacuations []Span) []Violation {
	if !e.InEvacuatedZone {
		return nil
	}
	for _, span := range evacuations {
		if e.ReceivedAt > span.From && e.ReceivedAt < span.To {
			return []Violation{{promiseZone, fmt.Sprintf("%s reached %s at %v, evacuated from %v to %v", e.Attempt, e.Endpoint, e.ReceivedAt, span.From, span.To)}}
		}
	}
	return nil
}

// checkForward checks that no process handled a request with an older configuration version than that of a request that had
// ended before this one was sent.
func checkForward(all []Attempt, executions map[string][]Execution) []Violation {
	type process struct{ entry, incarnation int }
	byProcess := make(map[process][]*Attempt)
	for i := range all {
		a := &all[i]
		if a.Incarnation != unknownIncarnation && len(executions[a.ID]) > 0 && a.Status == http.StatusOK {
			byProcess[process{a.Entry, a.Incarnation}] = append(byProcess[process{a.Entry, a.Incarnation}], a)
		}
	}
	var violations []Violation
	for p, attempts := range byProcess {
		byEnd := slices.SortedFunc(slices.Values(attempts), func(a, b *Attempt) int { return cmp.Compare(a.Ended, b.Ended) })
		slices.SortFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
		highestVersion, next := 0, 0
		for _, a := range attempts {
			for ; next < len(byEnd) && byEnd[next].Ended <= a.Sent; next++ {
				highestVersion = max(highestVersion, executions[byEnd[next].ID][0].Version)
			}
			if version := executions[a.ID][0].Version; version < highestVersion {
				violations = append(violations, Violation{promiseForward, fmt.Sprintf(
					"%s was handled by version %d at entry-%d, which had used %d", a.ID, version, p.entry, highestVersion)})
			}
		}
	}
	return violations
}
