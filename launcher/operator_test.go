package launcher

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/jx"
	"github.com/stretchr/testify/require"

	"geraniumline/operatorserver"
)

// fakeEntry serves the operator API of an entry with one contract.
type fakeEntry struct {
	operatorserver.UnimplementedHandler
	mu               sync.Mutex // guards published, lookups and stop
	version          int64
	body             string
	verdict          operatorserver.ConfigVerdictVerdict // of the next change
	published        []*operatorserver.ConfigChange
	lookups          int
	pendingLookups   int // lookups before the verdict is known
	dropPublishReply bool
	stop             []operatorserver.StopProgress
	server           *httptest.Server
}

const contractBody = `{"weight":2,"ratePerSecond":20,"burst":40,"concurrency":8,"costPerSecond":900,"urgency":"normal",` +
	`"credentialSha256":"ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100","pipelines":["digest"]}`

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	f := &fakeEntry{version: 3, body: contractBody, verdict: operatorserver.ConfigVerdictVerdictAccepted}
	handler, err := operatorserver.NewServer(f, f)
	require.NoError(t, err)
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.dropPublishReply && r.Method == http.MethodPost {
			handler.ServeHTTP(httptest.NewRecorder(), r) // the change takes effect, but its reply is lost
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeEntry) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

// flags returns the flags for calling the entry as an operator; addresses are tried before the entry's own.
func (f *fakeEntry) flags(t *testing.T, addresses ...string) []string {
	flags := []string{"--user", "asha", "--credential-file", writeFile(t, "credential", testCredential+"\n")}
	for _, address := range append(addresses, f.address()) {
		flags = append(flags, "--address", address)
	}
	return flags
}

func (f *fakeEntry) HandleBasicAuth(ctx context.Context, _ operatorserver.OperationName, auth operatorserver.BasicAuth) (context.Context, error) {
	if auth.Username != "asha" || auth.Password != testCredential {
		return ctx, errors.New("wrong credential")
	}
	return ctx, nil
}

func (f *fakeEntry) NewError(_ context.Context, err error) *operatorserver.FailureStatusCode {
	return &operatorserver.FailureStatusCode{StatusCode: 422, Response: operatorserver.Failure{Code: "refused", Message: err.Error()}}
}

func (f *fakeEntry) GetConfig(_ context.Context, params operatorserver.GetConfigParams) (*operatorserver.ConfigView, error) {
	view := &operatorserver.ConfigView{Offset: 7, Objects: []operatorserver.ConfigObject{}}
	if f.version > 0 && params.Name.Or("kilima") == "kilima" && params.Kind.Or("contract") == "contract" {
		view.Objects = append(view.Objects, operatorserver.ConfigObject{
			Kind: "contract", Name: "kilima", Version: f.version, Body: operatorserver.Body(jx.Raw(f.body)),
		})
	}
	return view, nil
}

func (f *fakeEntry) PublishConfig(_ context.Context, change *operatorserver.ConfigChange) (*operatorserver.ConfigVerdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published = append(f.published, change)
	return f.verdictOn(change), nil
}

func (f *fakeEntry) verdictOn(change *operatorserver.ConfigChange) *operatorserver.ConfigVerdict {
	return &operatorserver.ConfigVerdict{
		OperationId: change.OperationId, Verdict: f.verdict, Kind: string(change.Kind), Name: change.Name, Version: change.BaseVersion + 1,
	}
}

func (f *fakeEntry) GetOperation(_ context.Context, params operatorserver.GetOperationParams) (*operatorserver.ConfigVerdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lookups++
	for _, change := range f.published {
		if change.OperationId == params.OperationId && f.lookups > f.pendingLookups {
			return f.verdictOn(change), nil
		}
	}
	return nil, errors.New("unknown operation")
}

// changes returns the received changes. A closed connection doesn't synchronize the handler with the test, so the
// lock is needed.
func (f *fakeEntry) changes() []*operatorserver.ConfigChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published
}

func (f *fakeEntry) GetHistory(context.Context, operatorserver.GetHistoryParams) (*operatorserver.ConfigHistory, error) {
	return &operatorserver.ConfigHistory{Changes: []operatorserver.ConfigVerdict{{Verdict: f.verdict, Kind: "contract", Name: "kilima", Version: 3}}}, nil
}

func (f *fakeEntry) GetStatus(context.Context) (*operatorserver.Status, error) {
	return &operatorserver.Status{
		Entry: "entry-1", Zone: "zone-a", Phase: "serving", Ready: true,
		Entries: []operatorserver.EntryStatus{}, Endpoints: []operatorserver.EndpointStatus{}, Accounts: []operatorserver.AccountStatus{},
		Alarms: []string{"late \x1b[2J"},
	}, nil
}

func (f *fakeEntry) GetTrace(context.Context, operatorserver.GetTraceParams) (*operatorserver.Trace, error) {
	return &operatorserver.Trace{TraceId: "t1", Spans: []operatorserver.Span{}}, nil
}

func (f *fakeEntry) StartStop(ctx context.Context) (*operatorserver.StopProgress, error) {
	return f.GetStop(ctx)
}

// GetStop returns the next step. After the last one it closes the connection, like an entry that has exited.
func (f *fakeEntry) GetStop(context.Context) (*operatorserver.StopProgress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.stop) == 0 {
		panic(http.ErrAbortHandler)
	}
	next := f.stop[0]
	f.stop = f.stop[1:]
	return &next, nil
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

func TestReadingCommands(t *testing.T) {
	f := newFakeEntry(t)
	scenarios := []struct {
		testName string
		args     string
		want     ExitCode
		output   string
	}{
		{"status", "status", ExitOK, "entry-1 in zone-a: serving, ready"},
		{"status without control characters", "status", ExitOK, "ALARM late ?[2J"},
		{"status as JSON", "status --json", ExitOK, `"entry": "entry-1"`},
		{"trace", "trace t1", ExitOK, "trace t1, 0 spans"},
		{"objects in force", "config get", ExitOK, "contract  kilima        3"},
		{"one object for publish", "config get contract kilima", ExitOK, `"baseVersion": 3`},
		{"no such object", "config get contract none", ExitFailed, `there is no contract "none" in force`},
		{"history", "config history", ExitOK, "accepted  contract  kilima"},
		{"contract", "contract get kilima", ExitOK, `"ratePerSecond": 20`},
		{"contracts", "contract list", ExitOK, "offset 7"},
		{"refused by the entry", "config operation none", ExitFailed, "refused: unknown operation (refused)"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			// The first address doesn't respond, so the second one must be called.
			args := append(strings.Fields(s.args), f.flags(t, closedPort(t))...)
			code, stdout, stderr := newConsole(t).run(args...)
			require.Equal(t, s.want, code, stderr)
			require.Contains(t, stdout+stderr, s.output)
		})
	}
}

func TestPublish(t *testing.T) {
	const object = `{"kind": "contract", "name": "kilima", "body": ` + contractBody + `}`
	scenarios := []struct {
		testName    string
		args        []string
		file        string
		verdict     operatorserver.ConfigVerdictVerdict
		want        ExitCode
		wantVersion int64
		wantBody    string
	}{
		{"accepted, based on the version in force", []string{"config", "publish"}, object, "accepted", ExitOK, 3, `"weight":2`},
		{"based on the version in the file", []string{"config", "publish"}, strings.Replace(object, `"name"`, `"baseVersion": 1, "name"`, 1), "accepted", ExitOK, 1, `"weight":2`},
		{"conflict with another operator", []string{"config", "publish"}, object, "conflict", ExitFailed, 3, `"weight":2`},
		{"found invalid by the entry", []string{"config", "publish"}, object, "invalid", ExitUsage, 3, `"weight":2`},
		{"contract from a file", []string{"contract", "set", "kilima"}, "// raised\n" + contractBody, "accepted", ExitOK, 3, `"weight":2`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newFakeEntry(t)
			f.verdict = s.verdict
			args := append(append(s.args, writeFile(t, "object.json", s.file)), f.flags(t, closedPort(t))...)
			code, _, stderr := newConsole(t).run(args...)
			require.Equal(t, s.want, code, stderr)
			require.Len(t, f.changes(), 1)
			require.Equal(t, s.wantVersion, f.changes()[0].BaseVersion)
			require.Contains(t, string(f.changes()[0].Body), s.wantBody)
		})
	}
}

func TestContractSetChangesFields(t *testing.T) {
	f := newFakeEntry(t)
	code, _, stderr := newConsole(t).run(append([]string{"contract", "set", "kilima", "ratePerSecond=50", "urgency=urgent"}, f.flags(t)...)...)
	require.Equal(t, ExitOK, code, stderr)
	want := strings.NewReplacer(`"ratePerSecond":20`, `"ratePerSecond":50`, `"normal"`, `"urgent"`).Replace(contractBody)
	require.JSONEq(t, want, string(f.changes()[0].Body))

	code, _, stderr = newConsole(t).run(append([]string{"contract", "set", "kilima", "ratePerSecond=lots", "wieght=3"}, f.flags(t)...)...)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "ratePerSecond")
	require.Contains(t, stderr, "wieght")
	require.Len(t, f.changes(), 1, "a faulty change must not be sent")
}

func TestDiffAndRemove(t *testing.T) {
	f := newFakeEntry(t)
	same := writeFile(t, "same.json", `{"kind": "contract", "name": "kilima", "body": `+contractBody+`}`)
	code, stdout, _ := newConsole(t).run(append([]string{"config", "diff", same}, f.flags(t)...)...)
	require.Equal(t, ExitOK, code)
	require.Empty(t, stdout)

	changed := strings.NewReplacer(`"weight":2`, `"weight":3`, `["digest"]`, `["digest","alert"]`).Replace(contractBody)
	other := writeFile(t, "other.json", `{"kind": "contract", "name": "kilima", "body": `+changed+`}`)
	code, stdout, _ = newConsole(t).run(append([]string{"config", "diff", other}, f.flags(t)...)...)
	require.Equal(t, ExitFailed, code)
	require.Equal(t, "contract kilima pipelines[1]: (none) -> \"alert\"\ncontract kilima weight: 2 -> 3\n", stdout)

	code, _, stderr := newConsole(t).run(append([]string{"config", "remove", "contract", "kilima"}, f.flags(t)...)...)
	require.Equal(t, ExitOK, code, stderr)
	require.True(t, f.changes()[0].Remove.Value)
	require.Equal(t, int64(3), f.changes()[0].BaseVersion)
}

// An entry appends a change to the log, but its reply is lost. If the change were sent again, it would conflict with
// itself, and the operator would see a conflict. So it must be sent once and its verdict looked up by the operation
// id; if no entry has the verdict in time, the outcome must be unknown, printed with that id.
func TestLostReplyIsLookedUpAndNotSentAgain(t *testing.T) {
	object := writeFile(t, "object.json", `{"kind": "contract", "name": "kilima", "body": `+contractBody+`}`)
	scenarios := []struct {
		testName       string
		pendingLookups int
		want           ExitCode
		output         string
	}{
		{"verdict known immediately", 0, ExitOK, "contract kilima: accepted, version 4 in force"},
		{"verdict known after 5 lookups", 5, ExitOK, "contract kilima: accepted, version 4 in force"},
		{"verdict never known", 1 << 20, ExitUnknown, "unknown: the change may be accepted yet"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f, other := newFakeEntry(t), newFakeEntry(t)
			f.dropPublishReply = true
			f.pendingLookups = s.pendingLookups
			args := append([]string{"config", "publish", object}, f.flags(t)...)
			code, stdout, stderr := newConsole(t).run(append(args, "--address", other.address())...)
			require.Equal(t, s.want, code, stderr)
			require.Contains(t, stdout+stderr, s.output)
			require.Len(t, f.changes(), 1)
			require.Empty(t, other.changes())
			if s.want == ExitUnknown {
				require.Contains(t, stderr, f.changes()[0].OperationId)
			}
		})
	}
}

// An entry that has drained exits between two progress requests; the command must report that as done. If an entry
// disappears with requests in flight, the command must exit with 1.
func TestStop(t *testing.T) {
	step := func(phase operatorserver.StopProgressPhase, inFlight int, left int64) operatorserver.StopProgress {
		return operatorserver.StopProgress{Phase: phase, InFlight: inFlight, MillisLeft: left}
	}
	started := step("withdrawing", 9, 5000)
	scenarios := []struct {
		testName string
		steps    []operatorserver.StopProgress
		want     ExitCode
		output   string
	}{
		{"done", []operatorserver.StopProgress{started, started, step("draining", 2, 0), step("done", 0, 0)}, ExitOK,
			"withdrawing: 9 in flight, 5.0 s until the last address answer lapses\n" +
				"draining: 2 in flight, 0.0 s until the last address answer lapses\n" +
				"done: 0 in flight, 0.0 s until the last address answer lapses\n"},
		{"exited after handing over", []operatorserver.StopProgress{started, step("handingOver", 0, 0)}, ExitOK, "done: 0 in flight"},
		{"disappeared with requests in flight", []operatorserver.StopProgress{started, step("draining", 3, 0)}, ExitFailed, "with 3 requests in flight when it last did"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newFakeEntry(t)
			f.stop = s.steps
			code, stdout, stderr := newConsole(t).run(append([]string{"stop"}, f.flags(t)...)...)
			require.Equal(t, s.want, code, stderr)
			require.Contains(t, stdout+stderr, s.output)
		})
	}
	f := newFakeEntry(t)
	code, _, _ := newConsole(t).run(append([]string{"stop"}, f.flags(t, closedPort(t))...)...)
	require.Equal(t, ExitUsage, code, "two addresses")
}
