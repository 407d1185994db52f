package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"geraniumline/operatorserver"
	"geraniumline/publisher"
	"geraniumline/reducer"
	"geraniumline/tracer"
	"geraniumline/verifier"
)

// Operators serves the operators' interface.
type Operators struct {
	core   Core
	tracer *tracer.Tracer
	hashes map[string]string
}

// OperatorsConfig holds what the operators' interface needs.
type OperatorsConfig struct {
	Core   Core
	Tracer *tracer.Tracer
	// Hashes are the SHA-256 of the operators' credentials by name.
	Hashes map[string]string
}

// NewOperators makes the operators' interface.
func NewOperators(cfg OperatorsConfig) *Operators {
	return &Operators{core: cfg.Core, tracer: cfg.Tracer, hashes: cfg.Hashes}
}

// Handler serves the interface.
func (o *Operators) Handler() (http.Handler, error) {
	return operatorserver.NewServer(o, o, operatorserver.WithErrorHandler(writeRefusal))
}

// Authenticated lets only known operators pass to a handler of pages that the schema does not have.
func (o *Operators) Authenticated(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, credential, _ := r.BasicAuth()
		if hash, known := o.hashes[name]; !known || !verifier.Matches(credential, hash) {
			w.Header().Set("WWW-Authenticate", `Basic realm="geraniumline"`)
			writeRefusal(r.Context(), w, r, &WrongCredentialError{Operator: name})
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// WrongCredentialError tells that an operator did not prove its name.
type WrongCredentialError struct {
	Operator string
}

func (e *WrongCredentialError) Error() string {
	return "operator " + e.Operator + " is not known by this credential"
}

// RefusalError is a core's refusal on its way to the operator.
type RefusalError struct {
	Refusal reducer.SendRefusal
}

func (e *RefusalError) Error() string { return e.Refusal.Code + ": " + e.Refusal.Message }

type operatorKey struct{}

// HandleBasicAuth lets only known operators pass.
func (o *Operators) HandleBasicAuth(ctx context.Context, _ operatorserver.OperationName, auth operatorserver.BasicAuth) (context.Context, error) {
	hash, known := o.hashes[auth.Username]
	if !known || !verifier.Matches(auth.Password, hash) {
		return ctx, &WrongCredentialError{Operator: auth.Username}
	}
	return context.WithValue(ctx, operatorKey{}, auth.Username), nil
}

// PublishConfig publishes a change and answers with the log's verdict.
func (o *Operators) PublishConfig(ctx context.Context, req *operatorserver.ConfigChange) (*operatorserver.ConfigVerdict, error) {
	operator, _ := ctx.Value(operatorKey{}).(string)
	change := publisher.Change{
		OperationID: req.OperationId,
		Operator:    operator,
		Kind:        string(req.Kind),
		Name:        req.Name,
		BaseVersion: req.BaseVersion,
		Remove:      req.Remove.Value,
		Body:        json.RawMessage(req.Body),
	}
	effect, err := ask(ctx, o.core, func(id uint64) reducer.Event { return reducer.ChangeRequested{ID: id, Change: change} })
	return verdictOf(effect, err)
}

// GetOperation answers with the verdict on an earlier change.
func (o *Operators) GetOperation(ctx context.Context, params operatorserver.GetOperationParams) (*operatorserver.ConfigVerdict, error) {
	effect, err := ask(ctx, o.core, func(id uint64) reducer.Event {
		return reducer.OperationRequested{ID: id, OperationID: params.OperationId}
	})
	return verdictOf(effect, err)
}

func verdictOf(effect reducer.Effect, err error) (*operatorserver.ConfigVerdict, error) {
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendVerdict); ok {
		return &e.Verdict, nil
	}
	return nil, refusalOf(effect)
}

func refusalOf(effect reducer.Effect) error {
	if e, ok := effect.(reducer.SendRefusal); ok {
		return &RefusalError{Refusal: e}
	}
	return fmt.Errorf("unexpected answer %T", effect)
}

// GetConfig answers with the objects in force.
func (o *Operators) GetConfig(ctx context.Context, params operatorserver.GetConfigParams) (*operatorserver.ConfigView, error) {
	effect, err := ask(ctx, o.core, func(id uint64) reducer.Event {
		return reducer.ConfigRequested{ID: id, ObjectKind: params.Kind.Value, Name: params.Name.Value}
	})
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendConfig); ok {
		return &e.View, nil
	}
	return nil, refusalOf(effect)
}

// defaultHistory is how many changes are shown when the operator does not say.
const defaultHistory = 50

// GetHistory answers with recent changes.
func (o *Operators) GetHistory(ctx context.Context, params operatorserver.GetHistoryParams) (*operatorserver.ConfigHistory, error) {
	effect, err := ask(ctx, o.core, func(id uint64) reducer.Event {
		return reducer.HistoryRequested{ID: id, Limit: params.Limit.Or(defaultHistory)}
	})
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendHistory); ok {
		return &e.History, nil
	}
	return nil, refusalOf(effect)
}

// StartStop starts a planned stop of this entry.
func (o *Operators) StartStop(ctx context.Context) (*operatorserver.StopProgress, error) {
	return o.stop(ctx, true)
}

// GetStop answers with the planned stop's progress.
func (o *Operators) GetStop(ctx context.Context) (*operatorserver.StopProgress, error) {
	return o.stop(ctx, false)
}

func (o *Operators) stop(ctx context.Context, begin bool) (*operatorserver.StopProgress, error) {
	effect, err := ask(ctx, o.core, func(id uint64) reducer.Event { return reducer.StopRequested{ID: id, Begin: begin} })
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendStop); ok {
		return &e.Progress, nil
	}
	return nil, refusalOf(effect)
}

// GetStatus answers with the system as this entry sees it.
func (o *Operators) GetStatus(ctx context.Context) (*operatorserver.Status, error) {
	effect, err := ask(ctx, o.core, func(id uint64) reducer.Event { return reducer.StatusRequested{ID: id} })
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendStatus); ok {
		return &e.Status, nil
	}
	return nil, refusalOf(effect)
}

// GetTrace answers with the spans that are kept of a request.
func (o *Operators) GetTrace(_ context.Context, params operatorserver.GetTraceParams) (*operatorserver.Trace, error) {
	trace, found := o.tracer.Find(params.TraceId)
	if !found {
		return nil, &RefusalError{Refusal: reducer.SendRefusal{Code: "unknownTrace", Message: "this entry keeps no such trace"}}
	}
	return traceOf(trace), nil
}

// NewError puts an error into the operators' form.
func (o *Operators) NewError(_ context.Context, err error) *operatorserver.FailureStatusCode {
	return operatorFailureOf(err)
}

func operatorFailureOf(err error) *operatorserver.FailureStatusCode {
	var refused *RefusalError
	if errors.As(err, &refused) {
		return &operatorserver.FailureStatusCode{
			StatusCode: refusalStatus(refused.Refusal.Code),
			Response:   operatorserver.Failure{Code: refused.Refusal.Code, Message: refused.Refusal.Message, Faults: refused.Refusal.Faults},
		}
	}
	status, code := classify(err)
	return &operatorserver.FailureStatusCode{StatusCode: status, Response: operatorserver.Failure{Code: code, Message: err.Error()}}
}

func refusalStatus(code string) int {
	switch code {
	case "unknownTrace", "unknownOperation":
		return http.StatusNotFound
	case string(reducer.CodeLogUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}

func writeRefusal(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	failure := operatorFailureOf(err)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(failure.StatusCode)
	_ = json.NewEncoder(w).Encode(&failure.Response)
}

// traceOf puts the kept spans of a request into the operators' form.
func traceOf(trace tracer.Trace) *operatorserver.Trace {
	answer := &operatorserver.Trace{TraceId: trace.TraceID, Spans: []operatorserver.Span{}}
	for _, record := range trace.Spans {
		span := operatorserver.Span{
			Name:           record.Name,
			SpanId:         record.SpanID,
			StartMicros:    record.Start.UnixMicro(),
			DurationMicros: record.Duration.Microseconds(),
			Attributes:     operatorserver.NewOptSpanAttributes(operatorserver.SpanAttributes(record.Attributes)),
		}
		if record.ParentID != "" {
			span.ParentId = operatorserver.NewOptString(record.ParentID)
		}
		answer.Spans = append(answer.Spans, span)
	}
	return answer
}
