package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"geraniumline/callerserver"
)

const (
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 8
	// retryPause lies between two rounds of tries where the entry names no time.
	retryPause = 200 * time.Millisecond
	// followPause lies between two questions for an outcome.
	followPause = 250 * time.Millisecond
)

const (
	outcomeNotRun  = string(callerserver.FailureOutcomeNotRun)
	outcomeUnknown = string(callerserver.FailureOutcomeUnknown)
)

// The codes that decide about another try.
const (
	// codeStopping is the refusal of an entry in its planned stop: the kept addresses are out of date.
	codeStopping   = "stopping"
	codeNotReady   = "notReady"
	codeMayHaveRun = "mayHaveRun"
)

// sending is one request on its way to its outcome.
type sending struct {
	caller   *Caller
	request  Request
	until    time.Time
	attempts int
	// sent tells that some try may have reached an entry that gave no outcome.
	sent bool
	// shown is the text that the request's Part was called with, tried the text of the present try.
	shown string
	tried string
}

// Send sends a request and gives its whole answer, or a FailedError.
//
// All tries carry one key, so the system runs the request at most once whichever of them arrive. Where a try
// was cut off after it was sent, a later try's notRun speaks of that later try alone, and the first may still
// run. So the outcome is asked for by the key, and notRun is reported only from the answer to that, or where
// no try was cut off.
func (c *Caller) Send(ctx context.Context, request Request) (Answer, error) {
	if request.Key == "" {
		key, err := NewKey()
		if err != nil {
			return Answer{}, err
		}
		request.Key = key
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline+c.cfg.Grace)
	defer cancel()
	s := &sending{caller: c, request: request, until: c.cfg.Now().Add(request.Deadline)}
	answer, failed := s.tryAll(ctx)
	if failed != nil && (s.sent || failed.Outcome == outcomeUnknown) {
		answer, failed = s.resolve(ctx, failed)
	}
	if failed != nil {
		failed.Key = request.Key
		failed.Attempts = s.attempts
		return Answer{}, failed
	}
	answer.Attempts = s.attempts
	return answer, nil
}

// left is the time until the deadline.
func (s *sending) left() time.Duration {
	return s.until.Sub(s.caller.cfg.Now())
}

// tryAll tries the addresses in turn until one gives a final outcome or the time is up.
func (s *sending) tryAll(ctx context.Context) (Answer, *RequestError) {
	last := &RequestError{Outcome: outcomeNotRun, Message: "no entry could be reached"}
	for i := 0; s.attempts < maxAttempts && ctx.Err() == nil && s.left() > 0; i++ {
		addresses := s.caller.addressesOrEntries(ctx)
		if len(addresses) == 0 {
			break
		}
		answer, failed := s.try(ctx, addresses[i%len(addresses)])
		if failed == nil {
			return answer, nil
		}
		last = failed
		roundDone := (i+1)%len(addresses) == 0
		if failed.Code == codeStopping || roundDone && failed.Status == 0 {
			s.caller.forget()
		}
		if !mayPass(failed) || !s.pause(ctx, failed.RetryAfter, roundDone) {
			break
		}
	}
	return Answer{}, last
}

// try sends the request once.
func (s *sending) try(ctx context.Context, entry string) (Answer, *RequestError) {
	s.attempts++
	s.tried = ""
	request := s.request
	request.Deadline = s.left()
	request.OnPart = s.showPart
	answer, err := s.caller.SendTo(ctx, entry, request)
	if err == nil {
		return answer, nil
	}
	failed := s.judge(err)
	failed.Entry = entry
	return Answer{}, failed
}

// showPart hands on what of a try's text no earlier try has handed on. Of a text that differs nothing more is
// handed on; the whole answer still tells it.
func (s *sending) showPart(text string) {
	s.tried += text
	rest, same := strings.CutPrefix(s.tried, s.shown)
	if s.request.OnPart == nil || !same || rest == "" {
		return
	}
	s.request.OnPart(rest)
	s.shown = s.tried
}

// judge tells what a failed try means. Without an outcome from the entry, it is notRun only while no try may
// have reached one.
func (s *sending) judge(err error) *RequestError {
	var failed *RequestError
	if errors.As(err, &failed) {
		return failed
	}
	failed = &RequestError{Outcome: outcomeNotRun, Message: "no entry could be reached"}
	if !NotSent(err) {
		s.sent = true
		failed.Message = "the connection broke: " + err.Error()
	}
	if s.sent {
		failed.Outcome = outcomeUnknown
	}
	return failed
}

// mayPass tells whether another try may do better: no entry gave an outcome, or it refused for the moment. An entry
// that is not ready, or can't read the log, says unknown of the key though it ran nothing; under the same key
// another try is safe, and may meet an entry that knows.
func mayPass(failed *RequestError) bool {
	if failed.Status == 0 {
		return true
	}
	ofTheMoment := failed.Status == http.StatusTooManyRequests || failed.Status >= http.StatusInternalServerError
	knowsNothing := failed.Code == codeNotReady || failed.Code == codeMayHaveRun
	return ofTheMoment && (failed.Outcome == outcomeNotRun || knowsNothing)
}

// pause waits until the next try, and tells whether the deadline leaves time for one.
func (s *sending) pause(ctx context.Context, retryAfter time.Duration, roundDone bool) bool {
	if retryAfter == 0 && !roundDone {
		return true
	}
	pause := retryAfter
	if pause == 0 {
		pause = retryPause
	}
	if pause >= s.left() {
		return false
	}
	return s.caller.cfg.Wait(ctx, pause) == nil
}

// resolve asks for the outcome by the key until it is known, where the tries have not told it.
func (s *sending) resolve(ctx context.Context, last *RequestError) (Answer, *RequestError) {
	found := &RequestError{Outcome: outcomeUnknown, Message: "no entry tells what became of it"}
	for ctx.Err() == nil && s.left() > -s.caller.cfg.Grace {
		for _, entry := range s.caller.addressesOrEntries(ctx) {
			outcome, err := s.caller.OutcomeAt(ctx, entry, s.request.Key)
			if err != nil {
				continue
			}
			if outcome.State == callerserver.OutcomeStateAnswered {
				return Answer{Key: s.request.Key, Text: outcome.Answer.Or(""), Entry: entry}, nil
			}
			found = failedOutcome(outcome, entry, last)
			if outcome.State != callerserver.OutcomeStateRunning {
				return Answer{}, found
			}
		}
		if s.caller.cfg.Wait(ctx, followPause) != nil {
			break
		}
	}
	return Answer{}, found
}

// failedOutcome is an outcome without an answer. What still runs is unknown to a caller that waits no longer.
func failedOutcome(outcome *callerserver.Outcome, entry string, last *RequestError) *RequestError {
	failed := &RequestError{
		Outcome:    outcomeUnknown,
		Message:    outcome.Message.Or(last.Message),
		RetryAfter: time.Duration(outcome.RetryAfterMillis.Or(0)) * time.Millisecond,
		Entry:      entry,
	}
	if outcome.State == callerserver.OutcomeStateNotRun {
		failed.Outcome = outcomeNotRun
	}
	return failed
}
