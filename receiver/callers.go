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

// Callers serves the callers' interface.
type Callers struct {
	core   Core
	tracer *tracer.Tracer
	meter  *meter.Meter
}

// CallersConfig holds what the callers' interface needs.
type CallersConfig struct {
	Core   Core
	Tracer *tracer.Tracer
	Meter  *meter.Meter
}

// NewCallers makes the handler of the callers' interface.
func NewCallers(cfg CallersConfig) (http.Handler, error) {
	callers := &Callers{core: cfg.Core, tracer: cfg.Tracer, meter: cfg.Meter}
	return callerserver.NewServer(callers, callers, security{}, callerserver.WithErrorHandler(writeFailure),
		callerserver.WithNotFound(writeUnknownPath), callerserver.WithMethodNotAllowed(writeWrongMethod))
}

type credentialsKey struct{}

// security takes the caller's credentials along; the core judges them.
type security struct{}

// HandleBasicAuth hashes the credential, so that it goes no further in the clear.
func (security) HandleBasicAuth(ctx context.Context, _ callerserver.OperationName, auth callerserver.BasicAuth) (context.Context, error) {
	credentials := reducer.Credentials{Account: auth.Username, Hash: verifier.HashCredential(auth.Password)}
	return context.WithValue(ctx, credentialsKey{}, credentials), nil
}

func credentialsOf(ctx context.Context) reducer.Credentials {
	credentials, _ := ctx.Value(credentialsKey{}).(reducer.Credentials)
	return credentials
}

// ListAddresses answers which entries the account should use.
func (c *Callers) ListAddresses(ctx context.Context) (*callerserver.AddressAnswer, error) {
	effect, err := ask(ctx, c.core, func(id uint64) reducer.Event {
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
		return nil, errorOf(effect)
	}
}

// GetOutcome answers what is known of a request by its key.
func (c *Callers) GetOutcome(ctx context.Context, params callerserver.GetOutcomeParams) (*callerserver.Outcome, error) {
	effect, err := ask(ctx, c.core, func(id uint64) reducer.Event {
		return reducer.OutcomeRequested{ID: id, Credentials: credentialsOf(ctx), Key: params.Key}
	})
	if err != nil {
		return nil, err
	}
	switch e := effect.(type) {
	case reducer.SendOutcome:
		return outcomeOf(e), nil
	default:
		return nil, errorOf(effect)
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

// errorOf makes the error for an answer that is none of those expected.
func errorOf(effect reducer.Effect) error {
	if failure, failed := effect.(reducer.SendFailure); failed {
		return &FailureError{Failure: failure.Failure}
	}
	return fmt.Errorf("unexpected answer %T", effect)
}

// NewError puts an error into the callers' form.
func (c *Callers) NewError(_ context.Context, err error) *callerserver.FailureStatusCode {
	return failureOfError(err)
}

// RunPipeline runs a request and writes its answer, in parts when the caller asked for a stream.
func (c *Callers) RunPipeline(ctx context.Context, req *callerserver.PipelineRequest, params callerserver.RunPipelineParams, w http.ResponseWriter) error {
	span := c.tracer.Start(params.Traceparent.Value, "request "+params.Pipeline, params.IdempotencyKey, now())
	known := true
	defer func() { endKnown(span, known) }()
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
	counts := newCounts(c.meter, credentials.Account, deadline, now())
	out := newWriter(w, req.Stream.Value, span.TraceID())
	for {
		select {
		case <-ctx.Done():
			c.core.Post(reducer.CallerDisconnected{ID: id})
			return ctx.Err()
		case <-reply.Signal():
		}
		for _, effect := range reply.Take() {
			counts.count(effect, now())
			known = known && !isUnauthorized(effect)
			if done, err := out.write(effect); done || err != nil {
				return err
			}
		}
	}
}

// endKnown ends the span of a request whose caller has proved its account. One that is not ended is neither
// kept nor exported: a flood of wrong credentials would else push the traces of real requests out.
func endKnown(span *tracer.Span, known bool) {
	if known {
		span.End(now())
	}
}

// digestOf tells two requests under one key apart. A caller may choose both, so the hash must not collide.
func digestOf(pipeline, input string) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(pipeline))
	h.Write([]byte{0})
	h.Write([]byte(input))
	return [sha256.Size]byte(h.Sum(nil))
}
