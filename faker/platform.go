package faker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"geraniumline/platformserver"
)

// maxPlatformBodyBytes is the maximum size of a request body: a record of 1 MiB in base64 and the
// surrounding JSON.
const maxPlatformBodyBytes = 1<<20*4/3 + 4096

// Error codes of the platform services.
const (
	codeOutage      = "outage"
	codeRateLimited = "rateLimited"
	codeNotServed   = "notServed"
	codeFailed      = "failed"
)

// Outage is the behaviour of a platform service while it is down.
type Outage string

// Kinds of outage. With OutageFail, each call fails immediately. With OutageHang, a call gets no reply
// until the kind of outage changes, and then fails. In neither case does the call take effect.
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

// failInOutage returns an error during an outage: immediately, or with OutageHang when the outage ends.
// The context's error is ignored because a caller that has disconnected receives no reply.
func failInOutage[T any](ctx context.Context, faults *switches[T], outage func(T) Outage) error {
	switch outage(faults.get()) {
	case OutageNone:
		return nil
	case OutageHang:
		_ = faults.waitUntil(ctx, func(f T) bool { return outage(f) != OutageHang })
	}
	return errOutage
}

// PlatformError reports that a platform service refused or failed a call.
type PlatformError struct {
	Code             string
	Message          string
	RetryAfterMillis int64
}

// Error returns the code and the message.
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

// unimplemented refuses all platform calls. Each service embeds it and overrides the calls that it serves.
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
		panic(err) // NewServer fails only if the global metrics provider is broken.
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", http.MaxBytesHandler(server, maxPlatformBodyBytes))
	return mux
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
