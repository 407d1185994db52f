package assembler

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/caller"
	"geraniumline/callerserver"
	"geraniumline/faker"
	"geraniumline/operatorserver"
)

// gate blocks an engine's replies to testAccount after their first part until it is opened. Replies to other
// accounts are not blocked.
type gate struct {
	opened chan struct{}
	open   func()
}

func newGate() *gate {
	opened := make(chan struct{})
	return &gate{opened: opened, open: sync.OnceFunc(func() { close(opened) })}
}

func (g *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(testAccount)) {
			w = &gatedWriter{ResponseWriter: w, gate: g}
		}
		next.ServeHTTP(w, r)
	})
}

type gatedWriter struct {
	http.ResponseWriter
	gate    *gate
	written int
}

// Write writes one part of the reply; the fake engine writes one part per call.
func (w *gatedWriter) Write(part []byte) (int, error) {
	if w.written > 0 {
		<-w.gate.opened
	}
	w.written++
	return w.ResponseWriter.Write(part)
}

func (w *gatedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// startGatedEntry runs an entry whose engine streams its tokens through a gate.
func startGatedEntry(t *testing.T) (*testEntry, *gate) {
	const slots = 32
	g := newGate()
	t.Cleanup(g.open)
	services := newServices(slots)
	e := startEntryWith(t, slots, func(pool string) (*faker.Endpoint, http.Handler) {
		if pool != "engines" {
			return services(pool)
		}
		engine := faker.NewEngine(faker.EngineConfig{EndpointConfig: faker.EndpointConfig{Slots: slots}, TokenTime: time.Millisecond})
		return engine, g.wrap(engine.Handler())
	})
	t.Cleanup(g.open)
	return e, g
}

func (e *testEntry) newCaller(account string) *caller.Caller {
	return caller.New(caller.Config{Account: account, Credential: account + testCredential, Entries: []string{e.caller}})
}

// sendResult is the outcome of a request that runs in the background.
type sendResult struct {
	answer caller.Answer
	parts  []string
	err    error
}

func (e *testEntry) send(t *testing.T, request caller.Request, first chan<- string) <-chan sendResult {
	request.Pipeline = "summary"
	request.Deadline = 20 * time.Second
	done := make(chan sendResult, 1)
	var result sendResult
	request.OnPart = func(text string) {
		result.parts = append(result.parts, text)
		if len(result.parts) == 1 && first != nil {
			first <- text
		}
	}
	go func() {
		result.answer, result.err = e.newCaller(testAccount).SendTo(t.Context(), e.caller, request)
		done <- result
	}()
	return done
}

// An engine stalls after its first token. While the request runs, the caller must have received that token, a query by
// key must report the request as running, a second request with the same key must join the first without running again,
// and another account's request must be answered. When the engine continues, both callers must get the same complete
// answer, the first one its parts in order, and the caller's trace must contain all stages.
func TestStreamThroughAnEntry(t *testing.T) {
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	e, g := startGatedEntry(t)
	first := make(chan string, 1)
	streamed := e.send(t, caller.Request{Key: "k", Input: "readings", Stream: true, Traceparent: "00-" + traceID + "-b7ad6b7169203331-01"}, first)
	token := ""
	select {
	case token = <-first:
	case early := <-streamed:
		require.Fail(t, "the request ended before its first token", "%v", early.err)
	}
	require.NotEmpty(t, token)
	require.Empty(t, streamed, "the answer is not complete yet")

	outcome, err := e.newCaller(testAccount).OutcomeAt(t.Context(), e.caller, "k")
	require.NoError(t, err)
	require.Equal(t, callerserver.OutcomeStateRunning, outcome.State)

	joined := e.send(t, caller.Request{Key: "k", Input: "readings"}, nil)
	other, err := e.newCaller(otherAccount).SendTo(t.Context(), e.caller, caller.Request{Pipeline: "summary", Key: "k", Input: "rain", Deadline: 20 * time.Second})
	require.NoError(t, err)
	require.NotEmpty(t, other.Text)
	require.Empty(t, streamed, "the engine is still blocked")

	g.open()
	one, two := <-streamed, <-joined
	require.NoError(t, one.err)
	require.NoError(t, two.err)
	require.Equal(t, one.answer.Text, strings.Join(one.parts, ""))
	require.Greater(t, len(one.parts), 1)
	require.Equal(t, token, one.parts[0])
	require.Equal(t, one.answer.Text, two.answer.Text)
	require.Equal(t, 2*4, e.executions(), "two requests ran four stages each; the joined one ran none")
	require.Equal(t, traceID, one.answer.TraceID)
	e.requireHops(t, traceID, "encode", "retrieve", "rerank", "generate")
}

// requireHops waits until the trace names all stages. A span is recorded when it ends, which may be just after its
// caller has received the answer.
func (e *testEntry) requireHops(t *testing.T, traceID string, stages ...string) {
	require.Eventually(t, func() bool {
		trace, err := e.operator.GetTrace(t.Context(), operatorserver.GetTraceParams{TraceId: traceID})
		if err != nil {
			return false
		}
		var names []string
		for _, span := range trace.Spans {
			names = append(names, span.Name)
		}
		all := strings.Join(names, "\n")
		for _, stage := range stages {
			if !strings.Contains(all, stage) {
				return false
			}
		}
		return strings.Contains(all, "request summary")
	}, 10*time.Second, 10*time.Millisecond)
}

// Some callers send half a body or none and wait, send a body that is too large, or do not read their streamed answer.
// While they keep their connections open, requests of other callers must still be answered.
func TestMisbehavingCallersDoNotBlockOthers(t *testing.T) {
	scenarios := []struct {
		testName string
		body     string
		length   int
	}{
		{"half a body", `{"input": "x`, 4096},
		{"no body", "", 4096},
		{"too large a body", strings.Repeat("x", 64<<10), 1 << 30},
		{"reads nothing of its stream", `{"input":"x","deadlineMillis":20000,"stream":true}`, 0},
	}
	e, _ := startGatedEntry(t)
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for i := range 16 {
				e.holdConnection(t, fmt.Sprintf("%s-%d", strings.ReplaceAll(s.testName, " ", "-"), i), s.body, s.length)
			}
			for i := range 8 {
				request := caller.Request{Pipeline: "summary", Key: fmt.Sprintf("%s-%d", s.testName[:2], i), Input: "rain", Deadline: 20 * time.Second}
				request.Key = strings.ReplaceAll(request.Key, " ", "-")
				answer, err := e.newCaller(otherAccount).SendTo(t.Context(), e.caller, request)
				require.NoError(t, err)
				require.NotEmpty(t, answer.Text)
			}
		})
	}
}

// holdConnection sends a request with the given body and content length, or the body's length if 0. It reads nothing and
// keeps the connection open until the test ends.
func (e *testEntry) holdConnection(t *testing.T, key, body string, length int) {
	conn, err := net.Dial("tcp", e.caller)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	request, err := http.NewRequest(http.MethodPost, "http://"+e.caller+"/v1/pipelines/summary/requests", nil)
	require.NoError(t, err)
	request.SetBasicAuth(testAccount, testAccount+testCredential)
	if length == 0 {
		length = len(body)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nIdempotency-Key: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		request.URL.Path, e.caller, request.Header.Get("Authorization"), key, length, body)
	require.NoError(t, err)
}
