package faker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"geraniumline/platformserver"
)

// maxPlatformBody bounds a body in bytes: a record of 1 MiB in base64, and what goes around it.
const maxPlatformBodyBytes = 1<<20*4/3 + 4096

// The codes of the platform's errors.
const (
	codeOutage      = "outage"
	codeRateLimited = "rateLimited"
	codeNotServed   = "notServed"
	codeFailed      = "failed"
)

// Outage is how a platform service behaves while it is down.
type Outage string

// The ways of an outage. With OutageFail each call fails at once; with OutageHang it gets no reply
// until the outage ends, and then fails. Neither takes effect.
const (
	OutageNone Outage = ""
	OutageFail Outage = "fail"
	OutageHang Outage = "hang"
)

func (o Outage) check() error {
	switch o {
	case OutageNone, OutageFail, OutageHang:
		return nil
	default:
		return &ConfigError{Field: "outage", Value: o, Want: "fail, hang or empty"}
	}
}

// failInOutage returns an error while the outage lasts: at once, or when hanging at its end. If the
// caller goes before that, the reply is the same to nobody.
func failInOutage[T any](ctx context.Context, faults *switches[T], outage func(T) Outage) error {
	switch outage(faults.get()) {
	case OutageNone:
		return nil
	case OutageHang:
		_ = faults.waitUntil(ctx, func(f T) bool { return outage(f) != OutageHang })
	}
	return errOutage
}

// PlatformError is a platform service's refusal.
type PlatformError struct {
	Code             string
	Message          string
	RetryAfterMillis int64
}

// Error gives the code and the message.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

var errOutage = &PlatformError{Code: codeOutage, Message: "the service is down"}

func platformStatus(code string) int {
	switch code {
	case codeRateLimited:
		return http.StatusTooManyRequests
	case codeNotServed:
		return http.StatusNotFound
	case codeOutage:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// unserved refuses all of the platform's calls; each service overrides those that it serves.
type unimplemented struct{}

var errNotServed = &PlatformError{Code: codeNotServed, Message: "another service serves this path"}

func (unimplemented) AppendRecord(
	context.Context, *platformserver.AppendCall, platformserver.AppendRecordParams,
) (*platformserver.AppendReply, error) {
	return nil, errNotServed
}

func (unimplemented) ReadRecords(
	context.Context, platformserver.ReadRecordsParams,
) (*platformserver.RecordPage, error) {
	return nil, errNotServed
}

func (unimplemented) ListVms(context.Context) (*platformserver.VmList, error) {
	return nil, errNotServed
}

func (unimplemented) GetWeights(
	context.Context, platformserver.GetWeightsParams,
) (*platformserver.Weights, error) {
	return nil, errNotServed
}

func (unimplemented) NewError(_ context.Context, err error) *platformserver.PlatformErrorStatusCode {
	reply := platformserver.PlatformError{Code: codeFailed, Message: err.Error()}
	var failed *PlatformError
	if errors.As(err, &failed) {
		reply.Code = failed.Code
		reply.Message = failed.Message
	}
	if failed != nil && failed.RetryAfterMillis > 0 {
		reply.RetryAfterMillis = platformserver.NewOptInt64(failed.RetryAfterMillis)
	}
	return &platformserver.PlatformErrorStatusCode{StatusCode: platformStatus(reply.Code), Response: reply}
}

func newPlatformMux(handler platformserver.Handler) *http.ServeMux {
	server, err := platformserver.NewServer(handler, platformserver.WithErrorHandler(writeBadCall))
	if err != nil {
		panic(err) // Only a broken global metrics provider makes it fail.
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", http.MaxBytesHandler(server, maxPlatformBodyBytes))
	return mux
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
