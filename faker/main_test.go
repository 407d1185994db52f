package faker_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"geraniumline/endpointserver"
	"geraniumline/faker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testTimeout limits waiting for events that must happen. No test asserts how long they take.
const testTimeout = 30 * time.Second

// serve starts a server and returns its URL. The server and the handler are closed when the test ends.
func serve(t testing.TB, handler http.Handler, closeHandler func()) string {
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		closeHandler()
		server.CloseClientConnections()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return server.URL
}

func serveEndpoint(t testing.TB, e *faker.Endpoint) string {
	return serve(t, e.Handler(), e.Close)
}

func stageCall(requestID string) *endpointserver.StageCall {
	return &endpointserver.StageCall{
		RequestId:      requestID,
		Stage:          "generate",
		Attempt:        1,
		Account:        "club",
		Input:          "input of " + requestID,
		DeadlineMillis: 6000,
	}
}

// sideEffectCall returns a call that must not be repeated, with the fence of a claim.
func sideEffectCall(requestID string, fence int64) *endpointserver.StageCall {
	call := stageCall(requestID)
	call.IdempotencyKey = endpointserver.NewOptString("key")
	call.Repeatable = endpointserver.NewOptBool(false)
	call.Fence = endpointserver.NewOptInt64(fence)
	return call
}

// partReader reads the parts of a reply as they arrive.
type partReader struct {
	resp  *http.Response
	lines *bufio.Scanner
}

func openCall(t testing.TB, url string, call *endpointserver.StageCall) *partReader {
	body, err := call.MarshalJSON()
	require.NoError(t, err)
	resp, err := http.Post(url+"/v1/stages", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return newPartReader(resp)
}

func newPartReader(resp *http.Response) *partReader {
	return &partReader{resp: resp, lines: bufio.NewScanner(resp.Body)}
}

// next returns the next part, or false if the reply or the connection has ended.
func (r *partReader) next(t testing.TB) (endpointserver.StagePart, bool) {
	var part endpointserver.StagePart
	if !r.lines.Scan() {
		return part, false
	}
	require.NoError(t, json.Unmarshal(r.lines.Bytes(), &part))
	return part, true
}

func (r *partReader) readAll(t testing.TB) []endpointserver.StagePart {
	var parts []endpointserver.StagePart
	for {
		part, ok := r.next(t)
		if !ok {
			return parts
		}
		parts = append(parts, part)
	}
}

func runCall(t testing.TB, url string, call *endpointserver.StageCall) []endpointserver.StagePart {
	reader := openCall(t, url, call)
	require.Equal(t, http.StatusOK, reader.resp.StatusCode)
	return reader.readAll(t)
}

func textOf(parts []endpointserver.StagePart) string {
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	return text.String()
}

func refusalCode(t testing.TB, reader *partReader) endpointserver.RefusalCode {
	var refusal endpointserver.Refusal
	require.NoError(t, json.NewDecoder(reader.resp.Body).Decode(&refusal))
	return refusal.Code
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits until ok returns true and fails the test after testTimeout.
func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, testTimeout, time.Millisecond)
}

func outcomes(e *faker.Endpoint) []faker.Outcome {
	list := []faker.Outcome{}
	for _, execution := range e.Ledger().Executions {
		list = append(list, execution.Outcome)
	}
	return list
}
