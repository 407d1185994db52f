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
	// maxAttempts is the maximum number of times that one request is sent.
	maxAttempts = 8
	// retryInterval is the wait between two rounds over the addresses if the entry sets no retry time.
	retryInterval = 200 * time.Millisecond
	// outcomePollInterval is the wait between two rounds of outcome requests.
	outcomePollInterval = 250 * time.Millisecond
)

const (
	outcomeNotRun  = string(callerserver.FailureOutcomeNotRun)
	outcomeUnknown = string(callerserver.FailureOutcomeUnknown)
)

// The failure codes that affect retries.
const (
	// codeStopping is sent by an entry in its planned stop: the cached addresses are out of date.
	codeStopping   = "stopping"
	codeNotReady   = "notReady"
	codeMayHaveRun = "mayHaveRun"
)

// delivery is the state of one request while it is sent, retried and followed to its outcome.
type delivery struct {
	caller   *Caller
	request  Request
	deadline time.Time
	attempts int
	// maybeSent is set once an attempt may have reached an entry that returned no outcome.
	maybeSent bool
	// forwarded is the text passed to the request's OnPart so far, received the text of the current attempt.
	forwarded string
	received  string
}

// Send sends a request, retries it where that is safe, and returns its complete answer or a RequestError.
//
// All attempts use the same key, so the system runs the request at most once, whichever of them arrive. If the
// connection of an attempt broke after it was sent, a notRun response to a later attempt applies to that later
// attempt only, and the first one may still run. Send therefore requests the outcome by key, and reports notRun
// only if that outcome says so or if no connection broke.
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
	d := &delivery{caller: c, request: request, deadline: c.cfg.Now().Add(request.Deadline)}
	answer, failed := d.attemptAll(ctx)
	if failed != nil && (d.maybeSent || failed.Outcome == outcomeUnknown) {
		answer, failed = d.pollOutcome(ctx, failed)
	}
	if failed != nil {
		failed.Key = request.Key
		failed.Attempts = d.attempts
		return Answer{}, failed
	}
	answer.Attempts = d.attempts
	return answer, nil
}

// remaining returns the time until the deadline.
func (d *delivery) remaining() time.Duration {
	return d.deadline.Sub(d.caller.cfg.Now())
}

// attemptAll sends the request to the addresses in turn until it gets a final outcome or reaches the deadline or
// maxAttempts.
func (d *delivery) attemptAll(ctx context.Context) (Answer, *RequestError) {
	last := &RequestError{Outcome: outcomeNotRun, Message: "no entry could be reached"}
	for i := 0; d.attempts < maxAttempts && ctx.Err() == nil && d.remaining() > 0; i++ {
		addresses := d.caller.addressesOrEntries(ctx)
		if len(addresses) == 0 {
			break
		}
		answer, failed := d.attempt(ctx, addresses[i%len(addresses)])
		if failed == nil {
			return answer, nil
		}
		last = failed
		roundDone := (i+1)%len(addresses) == 0
		if failed.Code == codeStopping || roundDone && failed.Status == 0 {
			d.caller.expireAddresses()
		}
		if !isRetryable(failed) || !d.waitForRetry(ctx, failed.RetryAfter, roundDone) {
			break
		}
	}
	return Answer{}, last
}

// attempt sends the request to one entry.
func (d *delivery) attempt(ctx context.Context, entry string) (Answer, *RequestError) {
	d.attempts++
	d.received = ""
	request := d.request
	request.Deadline = d.remaining()
	request.OnPart = d.forwardPart
	answer, err := d.caller.SendTo(ctx, entry, request)
	if err == nil {
		return answer, nil
	}
	failed := d.failureOf(err)
	failed.Entry = entry
	return Answer{}, failed
}

// forwardPart passes to OnPart the text that no earlier attempt has passed. Once the text differs from that of an
// earlier attempt, nothing more is passed; the caller gets the text with the complete answer.
func (d *delivery) forwardPart(text string) {
	d.received += text
	rest, matches := strings.CutPrefix(d.received, d.forwarded)
	if d.request.OnPart == nil || !matches || rest == "" {
		return
	}
	d.request.OnPart(rest)
	d.forwarded = d.received
}

// failureOf converts the error of an attempt to a RequestError. Without an outcome from the entry, the outcome is
// notRun only if no attempt so far may have reached an entry.
func (d *delivery) failureOf(err error) *RequestError {
	var failed *RequestError
	if errors.As(err, &failed) {
		return failed
	}
	failed = &RequestError{Outcome: outcomeNotRun, Message: "no entry could be reached"}
	if !NotSent(err) {
		d.maybeSent = true
		failed.Message = "the connection broke: " + err.Error()
	}
	if d.maybeSent {
		failed.Outcome = outcomeUnknown
	}
	return failed
}

// isRetryable reports whether another attempt may succeed: no entry returned an outcome, or the refusal is temporary.
// An entry that is not ready, or can't read the log, returns unknown for the key although it ran nothing; another
// attempt under the same key is safe and may reach an entry that has the outcome.
func isRetryable(failed *RequestError) bool {
	if failed.Status == 0 {
		return true
	}
	temporary := failed.Status == http.StatusTooManyRequests || failed.Status >= http.StatusInternalServerError
	outcomeUnavailable := failed.Code == codeNotReady || failed.Code == codeMayHaveRun
	return temporary && (failed.Outcome == outcomeNotRun || outcomeUnavailable)
}

// waitForRetry waits until the next attempt is due, and reports whether the deadline leaves time for it.
func (d *delivery) waitForRetry(ctx context.Context, retryAfter time.Duration, roundDone bool) bool {
	if retryAfter == 0 && !roundDone {
		return true
	}
	pause := retryAfter
	if pause == 0 {
		pause = retryInterval
	}
	if pause >= d.remaining() {
		return false
	}
	return d.caller.cfg.Wait(ctx, pause) == nil
}

// pollOutcome requests the outcome by key until it is known or the time is up.
func (d *delivery) pollOutcome(ctx context.Context, last *RequestError) (Answer, *RequestError) {
	result := &RequestError{Outcome: outcomeUnknown, Message: "no entry tells what became of it"}
	for ctx.Err() == nil && d.remaining() > -d.caller.cfg.Grace {
		for _, entry := range d.caller.addressesOrEntries(ctx) {
			outcome, err := d.caller.OutcomeAt(ctx, entry, d.request.Key)
			if err != nil {
				continue
			}
			if outcome.State == callerserver.OutcomeStateAnswered {
				return Answer{Key: d.request.Key, Text: outcome.Answer.Or(""), Entry: entry}, nil
			}
			result = outcomeFailure(outcome, entry, last)
			if outcome.State != callerserver.OutcomeStateRunning {
				return Answer{}, result
			}
		}
		if d.caller.cfg.Wait(ctx, outcomePollInterval) != nil {
			break
		}
	}
	return Answer{}, result
}

// outcomeFailure converts an outcome without an answer to a RequestError. A request that is still running is reported
// as unknown, since the caller stops waiting for it.
func outcomeFailure(outcome *callerserver.Outcome, entry string, last *RequestError) *RequestError {
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
