package assembler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/faker"
)

// pipelineBody is the body of a request whose deadline is longer than the planned stop of a test entry, and shortBody that of one
// which is answered or refused at once.
const (
	pipelineBody = `{"input":"x","deadlineMillis":20000}`
	shortBody    = `{"input":"x","deadlineMillis":50}`
)

// answer is what a caller of a pipeline received.
type answer struct {
	status  int
	outcome string
	code    string
	err     error
}

// readAnswer reads the response to a request of a pipeline.
func readAnswer(response *http.Response) answer {
	var body struct{ Code, Outcome string }
	err := json.NewDecoder(response.Body).Decode(&body)
	return answer{status: response.StatusCode, outcome: body.Outcome, code: body.Code, err: err}
}

// runPipeline sends a request of a pipeline and returns its answer.
func (e *testEntry) runPipeline(key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.caller+"/v1/pipelines/summary/requests", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.SetBasicAuth(testAccount, testAccount+testCredential)
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

// Guards against requests that the planned stop of an entry cuts, and against late ones that it takes.
func TestAPlannedStopOfAnEntryAnswersEveryRequest(t *testing.T) {
	e := startEntryWith(t, 2, func(string) (*faker.Endpoint, http.Handler) {
		endpoint := faker.NewService(faker.ServiceConfig{
			EndpointConfig: faker.EndpointConfig{Slots: 2, MaxWaiting: 2},
			ServiceTime:    2 * time.Second,
		})
		return endpoint, endpoint.Handler()
	})
	answers := make(chan answer, 1)
	key := fmt.Sprintf("%d-long", time.Now().UnixMilli())
	go func() { answers <- e.runPipeline(key, pipelineBody) }()
	require.Eventually(t, func() bool {
		status, err := e.operator.GetStop(context.Background())
		return err == nil && status.InFlight == 1
	}, waitTimeout, 5*time.Millisecond)

	_, err := e.operator.StartStop(context.Background())
	require.NoError(t, err)
	n := 0
	require.Eventually(t, func() bool {
		n++
		late := e.runPipeline(fmt.Sprintf("late-%d", n), shortBody)
		require.NoError(t, late.err, "the entry ended before it refused a request")
		return late.code == "stopping" && late.outcome == "notRun" && late.status == http.StatusServiceUnavailable
	}, waitTimeout, 50*time.Millisecond)
	long := <-answers
	require.NoError(t, long.err)
	require.Equal(t, http.StatusOK, long.status)
}

// Guards against a bare close for a request whose body is complete only after the entry has stopped.
func TestAPlannedStopOfAnEntryAnswersTheLastRequest(t *testing.T) {
	e := startEntry(t, 1)
	conn, err := net.Dial("tcp", e.caller)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequest(http.MethodPost, "http://"+e.caller+"/v1/pipelines/summary/requests", nil)
	require.NoError(t, err)
	request.SetBasicAuth(testAccount, testAccount+testCredential)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nIdempotency-Key: last\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		request.URL.Path, e.caller, request.Header.Get("Authorization"), len(pipelineBody), pipelineBody[:10])
	require.NoError(t, err)
	_, err = e.operator.StartStop(context.Background())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", e.caller)
		if err != nil {
			return true
		}
		_ = probe.Close()
		return false
	}, waitTimeout, 5*time.Millisecond)
	_, err = conn.Write([]byte(pipelineBody[10:]))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	last := readAnswer(response)
	require.NoError(t, last.err)
	require.Equal(t, http.StatusServiceUnavailable, last.status)
	require.Equal(t, "stopping", last.code)
	require.Equal(t, "notRun", last.outcome)
	require.Zero(t, e.executions())
}
