package forwarder

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/collector"
	"geraniumline/regulator"
	"geraniumline/selector"
)

// Request is the decoded header of a caller's request.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if unspecified.
	Timeout time.Duration
	// Key is the credential of a client account.
	Key string
	// Parts are the parts of the prompt.
	Parts []selector.Part
	// PieceCounts is the number of pieces of each stage, and PieceKey the input of the first stages.
	PieceCounts []int
	PieceKey    string
	// LastEvent is the ID of the last event that the caller received of a stream that it resumes; empty for a new
	// one.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of a stream that it resumes; empty for a new
	// stream, and for a caller that doesn't say.
	Resumes string
}

// targetSeed selects the service of a request whose route is split among several. A stream that is resumed goes to the
// service that began it.
func (r *Request) targetSeed() uint64 {
	if r.LastEvent != "" && r.Resumes != "" {
		return xxhash.Sum64String(r.Resumes)
	}
	return xxhash.Sum64String(r.ID)
}

// CallInfo is the metadata that a call to an endpoint carries in addition to the caller's own header.
type CallInfo struct {
	// Timeout is how long the endpoint may work.
	Timeout time.Duration
	// Instance is the endpoint's ID: another process at its address refuses the call.
	Instance string
	Account  string
	// Priority orders requests within a model engine, 0 first; it is sent only if HasPriority is set.
	Priority    int
	HasPriority bool
	// Inputs are the results of the last stages.
	Inputs []string
	// LastEvent is the ID of the last relayed event if a stream resumes at another endpoint.
	LastEvent string
	// ForwardKey forwards the caller's credential. It is set only if the configuration requires no keys.
	ForwardKey bool
}

// ResponseInfo is the metadata of an endpoint's response.
type ResponseInfo struct {
	// NotRun is set if the endpoint did not run the request and will not.
	NotRun bool
	// Misdirected is set if another process than the addressed one answered: the addressed one has ended.
	Misdirected bool
	// InputGone is set if a stage's result no longer exists.
	InputGone bool
	// Notice is the endpoint's notice about the work that it accepts. NoticeErr reports an invalid part of it.
	Notice    regulator.Notice
	NoticeErr error
}

// Wire converts between the types above and the headers and bodies of callers and endpoints.
type Wire interface {
	// ReadRequest decodes a caller's header.
	ReadRequest(h http.Header) (Request, error)
	// CallHeader returns the header of a call. Headers that only the system may set are removed from the caller's.
	CallHeader(caller http.Header, info CallInfo) http.Header
	// ReadResponse decodes the status and header of an endpoint's response.
	ReadResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the part of an endpoint's header that is forwarded to the caller.
	ResponseHeader(h http.Header) http.Header
	// EchoHeader names the header that endpoints echo unchanged.
	EchoHeader() string
	// PiecesTarget and FreeTarget are the paths of the calls that run pieces and free results.
	PiecesTarget() string
	FreeTarget() string
	// InstanceHeader returns a header that names the addressed endpoint.
	InstanceHeader(instance string) http.Header
	// EncodePieces and DecodePieces convert the bodies of a call for pieces.
	EncodePieces(pieces []collector.Piece, now time.Time) ([]byte, error)
	DecodePieces(body []byte) ([]collector.PieceResult, error)
	// EncodeFree returns the body of a call that frees results.
	EncodeFree(handles []string) ([]byte, error)
}
