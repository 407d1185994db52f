package launcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"geraniumline/callerserver"
)

// A request is tried at most maxTries times. retryPause lies between two tries where the entry names no
// time, followPause between two questions for an outcome.
const (
	maxTries    = 6
	retryPause  = 200 * time.Millisecond
	followPause = 250 * time.Millisecond
)

// request is one request on its way to its outcome.
type request struct {
	app        *app
	connection *connection
	ranked     addresses

	pipeline    string
	input       string
	key         string
	traceparent string
	deadline    time.Duration
	begun       time.Time
	stream      bool
	part        func(text string) // prints a part as it comes; may be nil

	tries   int
	sent    bool   // some of it may have reached an entry that gave no outcome
	printed string // what part has printed
}

// addresses are the entries to use, best first, until they lapse.
type addresses struct {
	list   []string
	lapses time.Time
}

// BasicAuth gives the client account's credential to the generated client.
func (r *request) BasicAuth(context.Context, callerserver.OperationName) (callerserver.BasicAuth, error) {
	return callerserver.BasicAuth{Username: r.connection.user, Password: r.connection.credential}, nil
}

func (r *request) client(address string) (*callerserver.Client, error) {
	return callerserver.NewClient(r.connection.scheme+address, r, callerserver.WithClient(streamClient{r.connection.client}))
}

// run tries addresses in turn until the outcome is known.
//
// All tries carry one key, so the system runs the request at most once whichever of them arrive. Where a
// try was cut off after it was sent, a later try's notRun speaks of that later try alone, and the first
// may still run. So the outcome is asked for by the key, and notRun is reported only from the answer to
// that or where no try was cut off.
func (r *request) run(ctx context.Context) result {
	last := result{Outcome: callerserver.OutcomeStateNotRun, Message: "no entry could be reached"}
	again := true
	for i := 0; again && r.tries < maxTries && ctx.Err() == nil && r.left() > 0; i++ {
		list := r.addresses(ctx)
		last, again = r.try(ctx, list[i%len(list)])
		roundDone := (i+1)%len(list) == 0
		if again && (roundDone || last.RetryAfterMillis > 0) && r.app.cfg.Wait(ctx, r.pause(last)) != nil {
			break
		}
	}
	return r.seal(r.resolve(ctx, last))
}

// resolve asks for the outcome where the tries have not told it.
func (r *request) resolve(ctx context.Context, last result) result {
	answered := last.Outcome == callerserver.OutcomeStateAnswered
	unknown := r.sent || last.Outcome == callerserver.OutcomeStateUnknown
	if answered || !unknown {
		return last
	}
	found := r.follow(ctx)
	if found.Message == "" {
		found.Message = last.Message
	}
	return found
}

func (r *request) seal(found result) result {
	found.Key = r.key
	found.Tries = r.tries
	found.printed = r.printed
	return found
}

// left is the time until the deadline.
func (r *request) left() time.Duration {
	return r.deadline - r.app.cfg.Now().Sub(r.begun)
}

// pause is how long to wait before the next round of tries.
func (r *request) pause(last result) time.Duration {
	pause := time.Duration(last.RetryAfterMillis) * time.Millisecond
	return min(max(pause, retryPause), max(r.left(), 0))
}

// addresses asks which entries to use, and keeps the answer until it lapses. Where none answers, the
// addresses given on the command line are tried themselves.
func (r *request) addresses(ctx context.Context) []string {
	now := r.app.cfg.Now()
	if len(r.ranked.list) > 0 && now.Before(r.ranked.lapses) {
		return r.ranked.list
	}
	for _, address := range r.connection.addresses {
		client, err := r.client(address)
		if err != nil {
			continue
		}
		answer, err := client.ListAddresses(ctx)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		r.ranked = addresses{lapses: now.Add(time.Duration(answer.TtlMillis) * time.Millisecond)}
		for _, a := range answer.Addresses {
			r.ranked.list = append(r.ranked.list, a.Address)
		}
		return r.ranked.list
	}
	return r.connection.addresses
}

// try sends the request once and tells whether another try may do better.
func (r *request) try(ctx context.Context, address string) (found result, again bool) {
	r.tries++
	client, err := r.client(address)
	if err != nil {
		return result{Outcome: callerserver.OutcomeStateNotRun, Message: err.Error()}, false
	}
	answer, err := r.send(ctx, client)
	if err == nil {
		return result{Outcome: callerserver.OutcomeStateAnswered, Answer: answer.Answer, RequestID: answer.RequestId, Address: address}, false
	}
	found, again = r.judge(err)
	found.Address = address
	return found, again
}

func (r *request) send(ctx context.Context, client *callerserver.Client) (*callerserver.Answer, error) {
	params := callerserver.RunPipelineParams{Pipeline: r.pipeline, IdempotencyKey: r.key}
	params.Traceparent.SetTo(r.traceparent)
	body := callerserver.PipelineRequest{Input: r.input, DeadlineMillis: max(r.left().Milliseconds(), 1)}
	body.Stream.SetTo(r.stream)
	reply, err := client.RunPipeline(ctx, &body, params)
	if err != nil {
		return nil, err
	}
	raw, ok := reply.(*callerserver.RunPipelineOKRawApplicationJSON)
	if !ok {
		return nil, fmt.Errorf("a reply of the unexpected type %T", reply)
	}
	defer func() { _ = raw.Response.Body.Close() }()
	if raw.Response.Header.Get(streamedHeader) != "" {
		return readStream(raw.Response.Body, r.showPart)
	}
	var answer callerserver.Answer
	if err := json.NewDecoder(raw.Response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	return &answer, nil
}

func (r *request) showPart(text string) {
	if r.part == nil {
		return
	}
	r.part(text)
	r.printed += text
}

// judge tells what a failed try means, and whether another may do better.
func (r *request) judge(err error) (found result, again bool) {
	failure, status := failureOf(err)
	switch {
	case failure == nil && notSent(err):
		return r.unanswered("no entry could be reached"), true
	case failure == nil:
		r.sent = true
		return r.unanswered("the connection broke: " + err.Error()), true
	}
	found = result{
		Outcome:          callerserver.OutcomeState(failure.Outcome),
		Code:             failure.Code,
		Message:          failure.Message,
		RetryAfterMillis: failure.RetryAfterMillis.Or(0),
	}
	notRun := failure.Outcome == callerserver.FailureOutcomeNotRun
	return found, notRun && mayPass(status)
}

// unanswered is a try without an outcome. Where an earlier try was sent, the whole is unknown.
func (r *request) unanswered(message string) result {
	if r.sent {
		return result{Outcome: callerserver.OutcomeStateUnknown, Message: message}
	}
	return result{Outcome: callerserver.OutcomeStateNotRun, Message: message}
}

// mayPass tells whether a refusal with the HTTP status is one of the moment.
func mayPass(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// failureOf returns the entry's failure and its HTTP status, or nil where none was read.
func failureOf(err error) (*callerserver.Failure, int) {
	var refused *callerserver.FailureStatusCode
	if errors.As(err, &refused) {
		return &refused.Response, refused.StatusCode
	}
	var streamed *StreamFailureError
	if errors.As(err, &streamed) {
		return &streamed.Failure, http.StatusOK
	}
	return nil, 0
}

// follow asks for the outcome of a request that was cut off, until it is known.
func (r *request) follow(ctx context.Context) result {
	last := result{Outcome: callerserver.OutcomeStateUnknown, Message: "no entry tells what became of it"}
	for ctx.Err() == nil && r.left() > -followGrace {
		for _, address := range r.addresses(ctx) {
			found, known := r.outcome(ctx, address)
			if known {
				return found
			}
			if found.Outcome != "" {
				last = found
			}
		}
		if r.app.cfg.Wait(ctx, followPause) != nil {
			break
		}
	}
	return last
}

// outcome asks one entry. It is known once the request no longer runs.
func (r *request) outcome(ctx context.Context, address string) (found result, known bool) {
	client, err := r.client(address)
	if err != nil {
		return result{}, false
	}
	outcome, err := client.GetOutcome(ctx, callerserver.GetOutcomeParams{Key: r.key})
	if err != nil {
		return result{}, false
	}
	found = result{
		Outcome:          outcome.State,
		Answer:           outcome.Answer.Or(""),
		Message:          outcome.Message.Or(""),
		RetryAfterMillis: outcome.RetryAfterMillis.Or(0),
		Address:          address,
	}
	return found, outcome.State != callerserver.OutcomeStateRunning
}
