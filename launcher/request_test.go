package launcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/callerserver"
)

// reply is a fake entry's handler for one request.
type reply func(w http.ResponseWriter) error

func answerReply(text string) reply {
	return func(w http.ResponseWriter) error {
		w.Header().Set("Content-Type", "application/json")
		_, err := fmt.Fprintf(w, `{"requestId": "r", "key": "k", "answer": %q, "totalParts": 1}`, text)
		return err
	}
}

func failureReply(status int, outcome, code string, retryAfterMillis int) reply {
	return func(w http.ResponseWriter) error {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, err := fmt.Fprintf(w, `{"code": %q, "message": "no", "outcome": %q, "retryAfterMillis": %d}`, code, outcome, retryAfterMillis)
		return err
	}
}

// streamReply writes parts and then the complete answer, or closes the connection if there is none.
func streamReply(whole string, parts ...string) reply {
	return func(w http.ResponseWriter) error {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, part := range parts {
			_, _ = fmt.Fprintf(w, "event: part\ndata: {\"text\": %q}\n\n", part)
			_ = http.NewResponseController(w).Flush()
		}
		if whole == "" {
			return closeConnection(w)
		}
		_, err := fmt.Fprintf(w, "event: answer\ndata: {\"requestId\": \"r\", \"key\": \"k\", \"answer\": %q, \"totalParts\": 2}\n\n", whole)
		return err
	}
}

func closeConnection(http.ResponseWriter) error { panic(http.ErrAbortHandler) }

// fakeCallerAPI serves the caller API of an entry from a script.
type fakeCallerAPI struct {
	callerserver.UnimplementedHandler
	server *httptest.Server

	mu              sync.Mutex
	ranked          []string
	replies         []reply
	outcomes        []callerserver.Outcome // the last one is repeated
	keys            []string
	addressRequests int
}

func newFakeCallerAPI(t *testing.T, replies ...reply) *fakeCallerAPI {
	t.Helper()
	f := &fakeCallerAPI{replies: replies}
	handler, err := callerserver.NewServer(f, f, f)
	require.NoError(t, err)
	f.server = httptest.NewServer(handler)
	t.Cleanup(f.server.Close)
	f.ranked = []string{f.address()}
	return f
}

func (f *fakeCallerAPI) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

func (f *fakeCallerAPI) HandleBasicAuth(ctx context.Context, _ callerserver.OperationName, auth callerserver.BasicAuth) (context.Context, error) {
	if auth.Username != "kilima" || auth.Password != testCredential {
		return ctx, errors.New("wrong credential")
	}
	return ctx, nil
}

func (f *fakeCallerAPI) NewError(_ context.Context, err error) *callerserver.FailureStatusCode {
	return &callerserver.FailureStatusCode{StatusCode: 404, Response: callerserver.Failure{Code: "unknownKey", Message: err.Error(), Outcome: "notRun"}}
}

func (f *fakeCallerAPI) ListAddresses(context.Context) (*callerserver.AddressAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addressRequests++
	answer := &callerserver.AddressAnswer{TtlMillis: 60_000}
	for _, address := range f.ranked {
		answer.Addresses = append(answer.Addresses, callerserver.EntryAddress{Address: address, Zone: "zone-a"})
	}
	return answer, nil
}

func (f *fakeCallerAPI) RunPipeline(_ context.Context, req *callerserver.PipelineRequest, params callerserver.RunPipelineParams, w http.ResponseWriter) error {
	f.mu.Lock()
	f.keys = append(f.keys, params.IdempotencyKey)
	next := failureReply(400, "notRun", "offScript", 0)
	if len(f.replies) > 0 {
		next = f.replies[0]
		f.replies = f.replies[1:]
	}
	f.mu.Unlock()
	if req.Input != "readings" || params.Traceparent.Value == "" {
		return errors.New("the request is incomplete")
	}
	return next(w)
}

// receivedKeys returns the keys of the received requests. A closed connection doesn't synchronize the handler with the
// test, so the lock is needed.
func (f *fakeCallerAPI) receivedKeys() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys
}

func (f *fakeCallerAPI) addressRequestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addressRequests
}

func (f *fakeCallerAPI) GetOutcome(context.Context, callerserver.GetOutcomeParams) (*callerserver.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.outcomes) == 0 {
		return nil, errors.New("unknown key")
	}
	next := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	return &next, nil
}

func outcome(state callerserver.OutcomeState, answer string) callerserver.Outcome {
	o := callerserver.Outcome{Key: "k", State: state}
	if answer != "" {
		o.Answer.SetTo(answer)
	}
	return o
}

// Each scenario has two entries, the first ranked before the second. Every attempt must use the same key; notRun must
// be reported only if no connection broke during an attempt or if the outcome says so; after a broken connection the
// outcome must be requested; parts must be printed once.
func TestRequest(t *testing.T) {
	const maxGap = 7 * time.Second
	answered := outcome(callerserver.OutcomeStateAnswered, "whole answer")
	running := outcome(callerserver.OutcomeStateRunning, "")
	scenarios := []struct {
		testName     string
		flags        string
		first        []reply
		second       []reply
		outcomes     []callerserver.Outcome // returned by the second
		want         ExitCode
		output       string
		wantAttempts int
	}{
		{"answered", "", []reply{answerReply("whole answer")}, nil, nil, ExitOK, "whole answer\n", 1},
		{"busy, then answered after the given time", "",
			[]reply{failureReply(429, "notRun", "rateLimited", 700), answerReply("whole answer")}, []reply{failureReply(503, "notRun", "draining", 0)},
			nil, ExitOK, "whole answer\n", 3},
		{"wrong credential is final", "", []reply{failureReply(401, "notRun", "wrongCredential", 0)}, nil, nil, ExitNotRun, "notRun: no\n", 1},
		{"unknown is final", "", []reply{failureReply(502, "unknown", "ownerLost", 0)}, nil,
			[]callerserver.Outcome{outcome(callerserver.OutcomeStateUnknown, "")}, ExitUnknown, "unknown: no (", 1},
		{"unknown, then answered", "", []reply{failureReply(502, "unknown", "ownerLost", 0)}, nil,
			[]callerserver.Outcome{running, answered}, ExitOK, "whole answer\n", 1},
		{"connection closed, then answered under the same key", "", []reply{closeConnection}, []reply{answerReply("whole answer")}, nil, ExitOK, "whole answer\n", 2},
		{"connection closed, then refused: the first attempt's outcome counts", "", []reply{closeConnection}, []reply{failureReply(401, "notRun", "wrongCredential", 0)},
			[]callerserver.Outcome{running, answered}, ExitOK, "whole answer\n", 2},
		{"connection closed, then refused, no outcome", "", []reply{closeConnection}, []reply{failureReply(401, "notRun", "wrongCredential", 0)},
			nil, ExitUnknown, "unknown: no entry tells what became of it", 2},
		{"connection closed, outcome not run", "", []reply{closeConnection}, []reply{failureReply(401, "notRun", "wrongCredential", 0)},
			[]callerserver.Outcome{outcome(callerserver.OutcomeStateNotRun, "")}, ExitNotRun, "notRun: no", 2},
		{"streamed", "--stream", []reply{streamReply("whole answer", "whole ", "answer")}, nil, nil, ExitOK, "whole answer\n", 1},
		{"stream truncated, the rest printed once", "--stream", []reply{streamReply("", "whole ")}, []reply{answerReply("whole answer")}, nil, ExitOK, "whole answer\n", 2},
		{"busy until the deadline", "--deadline 1s",
			[]reply{failureReply(503, "notRun", "busy", 600), failureReply(503, "notRun", "busy", 600)}, []reply{failureReply(503, "notRun", "busy", 600)},
			nil, ExitNotRun, "notRun: no", 2},
		{"as JSON", "--json", []reply{failureReply(403, "notRun", "notInContract", 0)}, nil, nil, ExitNotRun, `"outcome": "notRun"`, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			second := newFakeCallerAPI(t, s.second...)
			second.outcomes = s.outcomes
			first := newFakeCallerAPI(t, s.first...)
			first.ranked = []string{first.address(), second.address()}
			c := newConsole(t)
			code, stdout, stderr := c.run(requestArgs(t, s.flags, closedPort(t), first.address())...)
			require.Equal(t, s.want, code, stderr)
			require.Contains(t, stdout+stderr, s.output)
			if s.want == ExitOK {
				require.Equal(t, s.output, stdout)
			}
			keys := append(first.receivedKeys(), second.receivedKeys()...)
			require.Len(t, keys, s.wantAttempts)
			for _, key := range keys {
				require.Contains(t, stderr, "key "+key+"\n")
			}
			require.Equal(t, 1, first.addressRequestCount(), "the addresses must be cached for their time to live")
			require.NotContains(t, stderr, "readings", "the request's body must not be printed")
			require.Less(t, c.now.Sub(time.Unix(1_800_000_000, 0)), 6*time.Second+outcomeGrace+maxGap)
		})
	}
}

func requestArgs(t *testing.T, flags string, addresses ...string) []string {
	args := []string{"request", "--account", "kilima", "--pipeline", "digest", "--credential-file", writeFile(t, "credential", testCredential)}
	for _, address := range addresses {
		args = append(args, "--address", address)
	}
	return append(append(args, strings.Fields(flags)...), "readings")
}

// If no address accepts connections, nothing is sent, so the outcome must be notRun.
func TestRequestThatWasNeverSentIsNotRun(t *testing.T) {
	code, _, stderr := newConsole(t).run(requestArgs(t, "--key 0190a1b2-7c3d-7e4f-8a5b-6c7d8e9f0a1b", closedPort(t), closedPort(t))...)
	require.Equal(t, ExitNotRun, code)
	require.Contains(t, stderr, "notRun: no entry could be reached")
	require.Contains(t, stderr, "key 0190a1b2-7c3d-7e4f-8a5b-6c7d8e9f0a1b\n")
}
