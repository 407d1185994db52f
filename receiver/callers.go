package receiver

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"geraniumline/callerserver"
	"geraniumline/meter"
	"geraniumline/reducer"
	"geraniumline/tracer"
	"geraniumline/verifier"
)

// CallerAPI implements the HTTP API for callers.
type CallerAPI struct {
	core   Core
	tracer *tracer.Tracer
	meter  *meter.Meter
}

// CallerAPIConfig configures a CallerAPI.
type CallerAPIConfig struct {
	Core   Core
	Tracer *tracer.Tracer
	Meter  *meter.Meter
}

// NewCallerHandler returns the HTTP handler of the caller API.
func NewCallerHandler(cfg CallerAPIConfig) (http.Handler, error) {
	callers := &CallerAPI{core: cfg.Core, tracer: cfg.Tracer, meter: cfg.Meter}
	return callerserver.NewServer(callers, callers, security{}, callerserver.WithErrorHandler(writeFailure),
		callerserver.WithNotFound(writeUnknownPath), callerserver.WithMethodNotAllowed(writeWrongMethod))
}

type credentialsKey struct{}

// security passes the caller's credentials on in the context; the core verifies them.
type security struct{}

// HandleBasicAuth stores the account and the credential's hash in the context, so that the plain-text
// credential is not passed on.
func (security) HandleBasicAuth(ctx context.Context, _ callerserver.OperationName, auth callerserver.BasicAuth) (context.Context, error) {
	credentials := reducer.Credentials{Account: auth.Username, Hash: verifier.HashCredential(auth.Password)}
	return context.WithValue(ctx, credentialsKey{}, credentials), nil
}

func credentialsOf(ctx context.Context) reducer.Credentials {
	credentials, _ := ctx.Value(credentialsKey{}).(reducer.Credentials)
	return credentials
}

// stoppedFailure returns the failure of a request that the core did not process before it exited.
func stoppedFailure(state reducer.State) reducer.Failure {
	return reducer.Failure{Code: reducer.CodeStopping, Message: "this entry has stopped; ask for addresses again", State: state}
}

// ListAddresses returns the entries that the account should use.
func (c *CallerAPI) ListAddresses(ctx context.Context) (*callerserver.AddressAnswer, error) {
	effect, err := postAndWait(ctx, c.core, c.core.Exited(), func(id uint64) reducer.Event {
		return reducer.AddressesRequested{ID: id, Credentials: credentialsOf(ctx)}
	})
	if err != nil {
		return nil, err
	}
	switch e := effect.(type) {
	case reducer.SendAddresses:
		answer := &callerserver.AddressAnswer{TtlMillis: e.Answer.TTL.Milliseconds(), Addresses: []callerserver.EntryAddress{}}
		for _, address := range e.Answer.Addresses {
			answer.Addresses = append(answer.Addresses, callerserver.EntryAddress{Address: address.Address, Zone: address.Zone, Spare: address.Spare})
		}
		return answer, nil
	default:
		return nil, effectError(effect)
	}
}

// GetOutcome returns the known outcome of the request with the given key.
func (c *CallerAPI) GetOutcome(ctx context.Context, params callerserver.GetOutcomeParams) (*callerserver.Outcome, error) {
	effect, err := postAndWait(ctx, c.core, c.core.Exited(), func(id uint64) reducer.Event {
		return reducer.OutcomeRequested{ID: id, Credentials: credentialsOf(ctx), Key: params.Key}
	})
	if err != nil {
		return nil, err
	}
	switch e := effect.(type) {
	case reducer.SendOutcome:
		return outcomeOf(e), nil
	default:
		return nil, effectError(effect)
	}
}

func outcomeOf(e reducer.SendOutcome) *callerserver.Outcome {
	outcome := &callerserver.Outcome{Key: e.Key}
	switch e.Outcome.State {
	case reducer.StateAnswered:
		outcome.State = callerserver.OutcomeStateAnswered
		outcome.Answer = callerserver.NewOptString(e.Outcome.Answer)
	case reducer.StateNotRun:
		outcome.State = callerserver.OutcomeStateNotRun
	case reducer.StateRunning:
		outcome.State = callerserver.OutcomeStateRunning
	default:
		outcome.State = callerserver.OutcomeStateUnknown
	}
	if message := e.Outcome.Failure.Message; message != "" {
		outcome.Message = callerserver.NewOptString(message)
	}
	if after := e.Outcome.Failure.RetryAfter; after > 0 {
		outcome.RetryAfterMillis = callerserver.NewOptInt64(after.Milliseconds())
	}
	return outcome
}

// effectError converts a failure or an unexpected effect to an error.
func effectError(effect reducer.Effect) error {
	if failure, failed := effect.(reducer.SendFailure); failed {
		return &FailureError{Failure: failure.Failure}
	}
	return fmt.Errorf("unexpected answer %T", effect)
}

// NewError converts an error to a failure response of the caller API.
func (c *CallerAPI) NewError(_ context.Context, err error) *callerserver.FailureStatusCode {
	return failureFromError(err)
}

// RunPipeline runs a request and writes its answer, as a stream of parts if the caller asked for one.
func (c *CallerAPI) RunPipeline(ctx context.Context, req *callerserver.PipelineRequest, params callerserver.RunPipelineParams, w http.ResponseWriter) error {
	span := c.tracer.Start(params.Traceparent.Value, "request "+params.Pipeline, params.IdempotencyKey, now())
	authenticated := true
	defer func() { endIfAuthenticated(span, authenticated) }()
	credentials := credentialsOf(ctx)
	deadline := time.Duration(req.DeadlineMillis) * time.Millisecond
	span.Set("account", credentials.Account)
	id, reply := c.core.Open(span)
	defer c.core.Close(id)
	c.core.Post(&reducer.RequestArrived{
		ID:          id,
		Credentials: credentials,
		Pipeline:    params.Pipeline,
		Key:         params.IdempotencyKey,
		Input:       req.Input,
		Digest:      digestOf(params.Pipeline, req.Input),
		Deadline:    deadline,
		Stream:      req.Stream.Value,
	})
	metrics := newRequestMetrics(c.meter, credentials.Account, deadline, now())
	out := newWriter(w, req.Stream.Value, span.TraceID())
	for {
		exited := false
		select {
		case <-ctx.Done():
			c.core.Post(reducer.CallerDisconnected{ID: id})
			return ctx.Err()
		case <-reply.Signal():
		case <-c.core.Exited():
			exited = true
		}
		effects := reply.Take()
		if exited {
			// It ends the response only if the core's own answer is not among the effects.
			effects = append(effects, reducer.SendFailure{ID: id, Failure: c.lastFailure(params.IdempotencyKey)})
		}
		for _, effect := range effects {
			metrics.record(effect, now())
			authenticated = authenticated && !isUnauthorized(effect)
			if done, err := out.write(effect); done || err != nil {
				return err
			}
		}
	}
}

// lastFailure returns the failure of a request that the core has left unanswered. After a planned stop that is one which it has
// not begun.
func (c *CallerAPI) lastFailure(key string) reducer.Failure {
	if c.core.Stopped() {
		return stoppedFailure(reducer.StateNotRun)
	}
	failure := stoppedFailure(reducer.StateUnknown)
	failure.Key = key
	return failure
}

// endIfAuthenticated ends the span of a request whose caller is authenticated. A span that is not ended is neither
// kept nor exported; otherwise a flood of wrong credentials would evict the traces of valid requests.
func endIfAuthenticated(span *tracer.Span, authenticated bool) {
	if authenticated {
		span.End(now())
	}
}

// digestOf returns a hash that distinguishes requests sent under the same key. The caller controls both
// requests, so the hash must be collision-resistant.
func digestOf(pipeline, input string) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(pipeline))
	h.Write([]byte{0})
	h.Write([]byte(input))
	return [sha256.Size]byte(h.Sum(nil))
}
