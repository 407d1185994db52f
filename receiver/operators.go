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

// OperatorAPI implements the HTTP API for operators.
type OperatorAPI struct {
	core             Core
	tracer           *tracer.Tracer
	credentialHashes map[string]string
}

// OperatorAPIConfig configures an OperatorAPI.
type OperatorAPIConfig struct {
	Core   Core
	Tracer *tracer.Tracer
	// CredentialHashes maps an operator's name to the SHA-256 of its credential.
	CredentialHashes map[string]string
}

// NewOperatorAPI returns an operator API.
func NewOperatorAPI(cfg OperatorAPIConfig) *OperatorAPI {
	return &OperatorAPI{core: cfg.Core, tracer: cfg.Tracer, credentialHashes: cfg.CredentialHashes}
}

// Handler returns the HTTP handler of the API.
func (o *OperatorAPI) Handler() (http.Handler, error) {
	return operatorserver.NewServer(o, o, operatorserver.WithErrorHandler(writeRefusal))
}

// Authenticated requires an operator's credential for a handler of pages that are not in the API schema.
func (o *OperatorAPI) Authenticated(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, credential, _ := r.BasicAuth()
		if hash, known := o.credentialHashes[name]; !known || !verifier.Matches(credential, hash) {
			w.Header().Set("WWW-Authenticate", `Basic realm="geraniumline"`)
			writeRefusal(r.Context(), w, r, &WrongCredentialError{Operator: name})
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// WrongCredentialError reports an unknown operator or a wrong credential.
type WrongCredentialError struct {
	Operator string
}

func (e *WrongCredentialError) Error() string {
	return "operator " + e.Operator + " is not known by this credential"
}

// RefusalError wraps a refusal from the core that is returned to the operator.
type RefusalError struct {
	Refusal reducer.SendRefusal
}

func (e *RefusalError) Error() string { return e.Refusal.Code + ": " + e.Refusal.Message }

type operatorKey struct{}

// HandleBasicAuth authenticates the operator and stores its name in the context. It returns a
// WrongCredentialError if that fails.
func (o *OperatorAPI) HandleBasicAuth(ctx context.Context, _ operatorserver.OperationName, auth operatorserver.BasicAuth) (context.Context, error) {
	hash, known := o.credentialHashes[auth.Username]
	if !known || !verifier.Matches(auth.Password, hash) {
		return ctx, &WrongCredentialError{Operator: auth.Username}
	}
	return context.WithValue(ctx, operatorKey{}, auth.Username), nil
}

// PublishConfig publishes a change and returns the log's verdict.
func (o *OperatorAPI) PublishConfig(ctx context.Context, req *operatorserver.ConfigChange) (*operatorserver.ConfigVerdict, error) {
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
	effect, err := postAndWait(ctx, o.core, nil, func(id uint64) reducer.Event { return reducer.ChangeRequested{ID: id, Change: change} })
	return verdictOf(effect, err)
}

// GetOperation returns the verdict on an earlier change.
func (o *OperatorAPI) GetOperation(ctx context.Context, params operatorserver.GetOperationParams) (*operatorserver.ConfigVerdict, error) {
	effect, err := postAndWait(ctx, o.core, nil, func(id uint64) reducer.Event {
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
	return nil, refusalError(effect)
}

func refusalError(effect reducer.Effect) error {
	if e, ok := effect.(reducer.SendRefusal); ok {
		return &RefusalError{Refusal: e}
	}
	return fmt.Errorf("unexpected answer %T", effect)
}

// GetConfig returns the configuration objects in force.
func (o *OperatorAPI) GetConfig(ctx context.Context, params operatorserver.GetConfigParams) (*operatorserver.ConfigView, error) {
	effect, err := postAndWait(ctx, o.core, nil, func(id uint64) reducer.Event {
		return reducer.ConfigRequested{ID: id, ObjectKind: params.Kind.Value, Name: params.Name.Value}
	})
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendConfig); ok {
		return &e.View, nil
	}
	return nil, refusalError(effect)
}

// defaultHistoryLimit is the number of changes returned if the operator sets no limit.
const defaultHistoryLimit = 50

// GetHistory returns recent changes.
func (o *OperatorAPI) GetHistory(ctx context.Context, params operatorserver.GetHistoryParams) (*operatorserver.ConfigHistory, error) {
	effect, err := postAndWait(ctx, o.core, nil, func(id uint64) reducer.Event {
		return reducer.HistoryRequested{ID: id, Limit: params.Limit.Or(defaultHistoryLimit)}
	})
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendHistory); ok {
		return &e.History, nil
	}
	return nil, refusalError(effect)
}

// StartStop starts a planned stop of this entry.
func (o *OperatorAPI) StartStop(ctx context.Context) (*operatorserver.StopProgress, error) {
	return o.stopProgress(ctx, true)
}

// GetStop returns the progress of the planned stop.
func (o *OperatorAPI) GetStop(ctx context.Context) (*operatorserver.StopProgress, error) {
	return o.stopProgress(ctx, false)
}

func (o *OperatorAPI) stopProgress(ctx context.Context, begin bool) (*operatorserver.StopProgress, error) {
	effect, err := postAndWait(ctx, o.core, nil, func(id uint64) reducer.Event { return reducer.StopRequested{ID: id, Begin: begin} })
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendStop); ok {
		return &e.Progress, nil
	}
	return nil, refusalError(effect)
}

// GetStatus returns the state of the system as seen by this entry.
func (o *OperatorAPI) GetStatus(ctx context.Context) (*operatorserver.Status, error) {
	effect, err := postAndWait(ctx, o.core, nil, func(id uint64) reducer.Event { return reducer.StatusRequested{ID: id} })
	if err != nil {
		return nil, err
	}
	if e, ok := effect.(reducer.SendStatus); ok {
		return &e.Status, nil
	}
	return nil, refusalError(effect)
}

// GetTrace returns the spans of a request that this entry has kept.
func (o *OperatorAPI) GetTrace(_ context.Context, params operatorserver.GetTraceParams) (*operatorserver.Trace, error) {
	trace, found := o.tracer.Find(params.TraceId)
	if !found {
		return nil, &RefusalError{Refusal: reducer.SendRefusal{Code: "unknownTrace", Message: "this entry keeps no such trace"}}
	}
	return traceOf(trace), nil
}

// NewError converts an error to a failure response of the operator API.
func (o *OperatorAPI) NewError(_ context.Context, err error) *operatorserver.FailureStatusCode {
	return operatorFailureFromError(err)
}

func operatorFailureFromError(err error) *operatorserver.FailureStatusCode {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return &operatorserver.FailureStatusCode{
			StatusCode: refusalStatus(refusal.Refusal.Code),
			Response:   operatorserver.Failure{Code: refusal.Refusal.Code, Message: refusal.Refusal.Message, Faults: refusal.Refusal.Faults},
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
	failure := operatorFailureFromError(err)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(failure.StatusCode)
	_ = json.NewEncoder(w).Encode(&failure.Response)
}

// traceOf converts a trace to the operator API's type.
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
