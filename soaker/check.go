package soaker

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Attempt is one request as its caller saw it.
type Attempt struct {
	ID    string
	Entry int
	// Incarnation counts the starts of the entry's process; unknownBoot where it started again meanwhile.
	Incarnation int
	// AtMostOnce is set where the request must not run twice.
	AtMostOnce bool
	// Sent and Ended are from the plan's start.
	Sent, Ended time.Duration
	// Status is 0 where no whole answer came.
	Status int
	Body   string
	Stamp  string
	// ExpectedBody is the body of a whole answer.
	ExpectedBody string
	Phase        Phase
}

// Phase is a part of a play.
type Phase int

// The phases: while faults strike, once the last configuration must be in force, and once all must be in order.
const (
	phaseFaults Phase = iota
	phaseConfigured
	phaseSettled
)

// unknownBoot stands for either of two processes of an entry.
const unknownBoot = -1

// Execution is one run of a request at an endpoint.
type Execution struct {
	Attempt  string
	Endpoint string
	// Version is that of the configuration by which the request was handled.
	Version int
	// ReceivedAt is when the endpoint got the request, from the plan's start.
	ReceivedAt time.Duration
	// InEvacuatedZone is set at endpoints of the zone that is evacuated.
	InEvacuatedZone bool
}

// Span is a time from the plan's start: one in which a zone was evacuated, by the store's acknowledgements, while nothing
// disturbed the store or an entry, or one in which an entry's process was disturbed.
type Span struct{ From, To time.Duration }

// Record is all that was seen in the play of a plan.
type Record struct {
	Attempts   []Attempt
	Executions []Execution
	// Evacuations are the spans in which endpoints of the evacuated zone may get nothing.
	Evacuations []Span
	// NewestVersion is the version of the configuration at the end.
	NewestVersion int
	// Endpoints are what the endpoints have got, Disturbed the times in which entries' processes were not left alone.
	Endpoints []EndpointRecord
	Disturbed map[int][]Span
	// ProcessErrors are the entries whose planned stop took too long, or which did not start again.
	ProcessErrors []string
}

// Violation is one broken promise.
type Violation struct {
	Promise string
	Detail  string
}

func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// The promises.
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

// saysNotRun are the statuses that promise that a request has not run and never will.
var saysNotRun = map[int]bool{
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// Check finds the promises that were broken.
func Check(r *Record) []Violation {
	runs := make(map[string][]Execution)
	for _, e := range r.Executions {
		runs[e.Attempt] = append(runs[e.Attempt], e)
	}
	var found []Violation
	sent := make(map[string]bool, len(r.Attempts))
	for i := range r.Attempts {
		a := &r.Attempts[i]
		sent[a.ID] = true
		found = append(found, checkAttempt(a, runs[a.ID], r.NewestVersion)...)
	}
	for i := range r.Executions {
		found = append(found, checkZone(&r.Executions[i], r.Evacuations)...)
	}
	for id := range runs {
		if !sent[id] {
			found = append(found, Violation{promiseOwn, id + " ran and no caller sent it"})
		}
	}
	for _, name := range r.ProcessErrors {
		found = append(found, Violation{promiseStop, name})
	}
	found = append(found, checkNotices(r)...)
	return append(found, checkForward(r.Attempts, runs)...)
}

func checkAttempt(a *Attempt, runs []Execution, newest int) []Violation {
	var found []Violation
	add := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, a.ID + " " + fmt.Sprintf(format, args...)})
	}
	if a.Status == http.StatusOK && (a.Body != a.ExpectedBody || a.Stamp == "" || len(runs) == 0) {
		add(promiseWhole, "got %q of %q", a.Body, a.ExpectedBody)
	}
	if a.AtMostOnce && len(runs) > 1 {
		add(promiseOnce, "ran %d times", len(runs))
	}
	if a.AtMostOnce && saysNotRun[a.Status] && len(runs) > 0 {
		add(promiseTruth, "ran and was answered %d", a.Status)
	}
	if a.Phase == phaseFaults {
		return found
	}
	if a.Phase == phaseSettled && a.Status != http.StatusOK {
		add(promiseRecovery, "was answered %d after the last fault", a.Status)
	}
	for _, run := range runs {
		if run.Version < newest {
			add(promiseCurrent, "was handled by version %d at entry-%d, the newest is %d", run.Version, a.Entry, newest)
		}
	}
	return found
}

// checkZone holds a run against the evacuations.
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

// checkForward compares the versions by which one process handled requests that followed each other.
func checkForward(attempts []Attempt, runs map[string][]Execution) []Violation {
	type process struct{ entry, boot int }
	ended := make(map[process][]*Attempt)
	for i := range attempts {
		a := &attempts[i]
		if a.Incarnation != unknownBoot && len(runs[a.ID]) > 0 && a.Status == http.StatusOK {
			ended[process{a.Entry, a.Incarnation}] = append(ended[process{a.Entry, a.Incarnation}], a)
		}
	}
	var found []Violation
	for p, list := range ended {
		byEnd := slices.SortedFunc(slices.Values(list), func(a, b *Attempt) int { return cmp.Compare(a.Ended, b.Ended) })
		slices.SortFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.Sent, b.Sent) })
		highest, next := 0, 0
		for _, a := range list {
			for ; next < len(byEnd) && byEnd[next].Ended <= a.Sent; next++ {
				highest = max(highest, runs[byEnd[next].ID][0].Version)
			}
			if version := runs[a.ID][0].Version; version < highest {
				found = append(found, Violation{promiseForward, fmt.Sprintf(
					"%s was handled by version %d at entry-%d, which had used %d", a.ID, version, p.entry, highest)})
			}
		}
	}
	return found
}
