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

// reply is what a fake entry does with one request.
type reply func(w http.ResponseWriter) error

func answers(text string) reply {
	return func(w http.ResponseWriter) error {
		w.Header().Set("Content-Type", "application/json")
		_, err := fmt.Fprintf(w, `{"requestId": "r", "key": "k", "answer": %q, "totalParts": 1}`, text)
		return err
	}
}

func refuses(status int, outcome, code string, retryAfterMillis int) reply {
	return func(w http.ResponseWriter) error {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, err := fmt.Fprintf(w, `{"code": %q, "message": "no", "outcome": %q, "retryAfterMillis": %d}`, code, outcome, retryAfterMillis)
		return err
	}
}

// streams writes parts, then the whole answer where there is one, and else cuts the connection.
func streams(whole string, parts ...string) reply {
	return func(w http.ResponseWriter) error {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, part := range parts {
			_, _ = fmt.Fprintf(w, "event: part\ndata: {\"text\": %q}\n\n", part)
			_ = http.NewResponseController(w).Flush()
		}
		if whole == "" {
			return cuts(w)
		}
		_, err := fmt.Fprintf(w, "event: answer\ndata: {\"requestId\": \"r\", \"key\": \"k\", \"answer\": %q, \"totalParts\": 2}\n\n", whole)
		return err
	}
}

func cuts(http.ResponseWriter) error { panic(http.ErrAbortHandler) }

// fakeCallers is an entry's caller interface that follows a script.
type fakeCallers struct {
	callerserver.UnimplementedHandler
	server *httptest.Server

	mu       sync.Mutex
	ranked   []string
	replies  []reply
	outcomes []callerserver.Outcome // the last one is repeated
	keys     []string
	asked    int // for addresses
}

func newFakeCallers(t *testing.T, replies ...reply) *fakeCallers {
	t.Helper()
	f := &fakeCallers{replies: replies}
	handler, err := callerserver.NewServer(f, f, f)
	require.NoError(t, err)
	f.server = httptest.NewServer(handler)
	t.Cleanup(f.server.Close)
	f.ranked = []string{f.address()}
	return f
}

func (f *fakeCallers) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

func (f *fakeCallers) HandleBasicAuth(ctx context.Context, _ callerserver.OperationName, auth callerserver.BasicAuth) (context.Context, error) {
	if auth.Username != "kilima" || auth.Password != testCredential {
		return ctx, errors.New("wrong credential")
	}
	return ctx, nil
}

func (f *fakeCallers) NewError(_ context.Context, err error) *callerserver.FailureStatusCode {
	return &callerserver.FailureStatusCode{StatusCode: 404, Response: callerserver.Failure{Code: "unknownKey", Message: err.Error(), Outcome: "notRun"}}
}

func (f *fakeCallers) ListAddresses(context.Context) (*callerserver.AddressAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	answer := &callerserver.AddressAnswer{TtlMillis: 60_000}
	for _, address := range f.ranked {
		answer.Addresses = append(answer.Addresses, callerserver.EntryAddress{Address: address, Zone: "zone-a"})
	}
	return answer, nil
}

func (f *fakeCallers) RunPipeline(_ context.Context, req *callerserver.PipelineRequest, params callerserver.RunPipelineParams, w http.ResponseWriter) error {
	f.mu.Lock()
	f.keys = append(f.keys, params.IdempotencyKey)
	next := refuses(400, "notRun", "offScript", 0)
	if len(f.replies) > 0 {
		next = f.replies[0]
		f.replies = f.replies[1:]
	}
	f.mu.Unlock()
	if req.Input != "readings" || params.Traceparent.Value == "" {
		return errors.New("the request is not whole")
	}
	return next(w)
}

// seen returns the keys of the requests that came. A cut connection orders nothing between the handler
// and the test, so the lock has to.
func (f *fakeCallers) seen() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys
}

func (f *fakeCallers) askedTimes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked
}

func (f *fakeCallers) GetOutcome(context.Context, callerserver.GetOutcomeParams) (*callerserver.Outcome, error) {
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

// Each scenario has two entries, the first ranked before the second. What must hold: every try carries
// one key; notRun is told only where no try was cut off or the outcome says so; a cut request is asked
// after; parts are printed once.
func TestRequest(t *testing.T) {
	const maxGap = 7 * time.Second
	answered := outcome(callerserver.OutcomeStateAnswered, "whole answer")
	running := outcome(callerserver.OutcomeStateRunning, "")
	scenarios := []struct {
		testName  string
		flags     string
		first     []reply
		second    []reply
		outcomes  []callerserver.Outcome // asked of the second
		want      ExitCode
		output    string
		wantTries int
	}{
		{"answered", "", []reply{answers("whole answer")}, nil, nil, ExitOK, "whole answer\n", 1},
		{"busy, then answered after the time named", "",
			[]reply{refuses(429, "notRun", "rateLimited", 700), answers("whole answer")}, []reply{refuses(503, "notRun", "draining", 0)},
			nil, ExitOK, "whole answer\n", 3},
		{"wrong credential is final", "", []reply{refuses(401, "notRun", "wrongCredential", 0)}, nil, nil, ExitNotRun, "notRun: no\n", 1},
		{"unknown is final", "", []reply{refuses(502, "unknown", "ownerLost", 0)}, nil,
			[]callerserver.Outcome{outcome(callerserver.OutcomeStateUnknown, "")}, ExitUnknown, "unknown: no (", 1},
		{"unknown, and then known after all", "", []reply{refuses(502, "unknown", "ownerLost", 0)}, nil,
			[]callerserver.Outcome{running, answered}, ExitOK, "whole answer\n", 1},
		{"cut, then answered under the same key", "", []reply{cuts}, []reply{answers("whole answer")}, nil, ExitOK, "whole answer\n", 2},
		{"cut, then refused: the first try's outcome counts", "", []reply{cuts}, []reply{refuses(401, "notRun", "wrongCredential", 0)},
			[]callerserver.Outcome{running, answered}, ExitOK, "whole answer\n", 2},
		{"cut, then refused, and no entry knows", "", []reply{cuts}, []reply{refuses(401, "notRun", "wrongCredential", 0)},
			nil, ExitUnknown, "unknown: no entry tells what became of it", 2},
		{"cut, and not run by the system's word", "", []reply{cuts}, []reply{refuses(401, "notRun", "wrongCredential", 0)},
			[]callerserver.Outcome{outcome(callerserver.OutcomeStateNotRun, "")}, ExitNotRun, "notRun: no", 2},
		{"streamed", "--stream", []reply{streams("whole answer", "whole ", "answer")}, nil, nil, ExitOK, "whole answer\n", 1},
		{"stream cut, the rest printed once", "--stream", []reply{streams("", "whole ")}, []reply{answers("whole answer")}, nil, ExitOK, "whole answer\n", 2},
		{"busy until the deadline", "--deadline 1s",
			[]reply{refuses(503, "notRun", "busy", 600), refuses(503, "notRun", "busy", 600)}, []reply{refuses(503, "notRun", "busy", 600)},
			nil, ExitNotRun, "notRun: no", 2},
		{"as JSON", "--json", []reply{refuses(403, "notRun", "notInContract", 0)}, nil, nil, ExitNotRun, `"outcome": "notRun"`, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			second := newFakeCallers(t, s.second...)
			second.outcomes = s.outcomes
			first := newFakeCallers(t, s.first...)
			first.ranked = []string{first.address(), second.address()}
			c := newConsole(t)
			code, stdout, stderr := c.run(requestArgs(t, s.flags, closedPort(t), first.address())...)
			require.Equal(t, s.want, code, stderr)
			require.Contains(t, stdout+stderr, s.output)
			if s.want == ExitOK {
				require.Equal(t, s.output, stdout)
			}
			keys := append(first.seen(), second.seen()...)
			require.Len(t, keys, s.wantTries)
			for _, key := range keys {
				require.Contains(t, stderr, "key "+key+"\n")
			}
			require.Equal(t, 1, first.askedTimes(), "the address answer is kept while it lasts")
			require.NotContains(t, stderr, "readings", "the request's body")
			require.Less(t, c.now.Sub(time.Unix(1_800_000_000, 0)), 6*time.Second+followGrace+maxGap)
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

// Nobody listens at any address: nothing was ever sent, so notRun is the truth.
func TestRequestThatWasNeverSentIsNotRun(t *testing.T) {
	code, _, stderr := newConsole(t).run(requestArgs(t, "--key 0190a1b2-7c3d-7e4f-8a5b-6c7d8e9f0a1b", closedPort(t), closedPort(t))...)
	require.Equal(t, ExitNotRun, code)
	require.Contains(t, stderr, "notRun: no entry could be reached")
	require.Contains(t, stderr, "key 0190a1b2-7c3d-7e4f-8a5b-6c7d8e9f0a1b\n")
}
