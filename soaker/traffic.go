package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumline/platform/imitator"
)

const (
	// maxRequestsPerSecond bounds the request rate of all callers together, through the interval between two requests of a
	// caller: the simulated endpoints all run in one process.
	maxRequestsPerSecond = 500
	// callerDeadline is the deadline of a request.
	callerDeadline = 2 * time.Second
	// callersPerEntry is how many callers are connected to each entry.
	callersPerEntry = 2
)

// callerInterval returns the pause of a caller between two requests for a number of entries.
func callerInterval(entries int) time.Duration {
	return time.Duration(entries*callersPerEntry) * time.Second / maxRequestsPerSecond
}

// requestKinds are the kinds of requests that callers send in turn.
var requestKinds = []struct {
	path       string
	atMostOnce bool
	// pieces holds the number of pieces of each stage.
	pieces       string
	expectedBody func(id string) string
}{
	{path: imitator.PlainPath, expectedBody: imitator.PlainAnswer},
	{path: imitator.OncePath, atMostOnce: true, expectedBody: imitator.PlainAnswer},
	{path: imitator.StreamPath, atMostOnce: true, expectedBody: imitator.StreamAnswer},
	{path: imitator.ResumePath, expectedBody: imitator.StreamAnswer},
	{path: imitator.StagesPath, atMostOnce: true, pieces: "3,2", expectedBody: imitator.StreamAnswer},
}

// traffic sends the requests of callers and records their outcomes.
type traffic struct {
	fleet     *fleet
	startedAt time.Time
	// resumes is set if callers resume broken streams.
	resumes bool

	mu       sync.Mutex
	attempts []Attempt
}

// run makes callers send requests until the context ends.
func (t *traffic) run(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range t.fleet.entries {
		for n := range callersPerEntry {
			callers.Go(func() { t.runCaller(ctx, i, n) })
		}
	}
	callers.Wait()
}

// runCaller sends the requests of one caller, which reuses its connection for as long as it is open.
func (t *traffic) runCaller(ctx context.Context, entry, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		t.send(client, entry, n, fmt.Sprintf("r-%d-%d-%d", entry, caller, n), phaseFaults)
		time.Sleep(callerInterval(len(t.fleet.entries)))
	}
}

// send sends one request and records its outcome. It does not use the context of run, so that a request completes after
// the callers have been stopped.
func (t *traffic) send(client *http.Client, i, kind int, id string, phase Phase) {
	e := t.fleet.entries[i]
	_, incarnation := e.current()
	k := requestKinds[kind%len(requestKinds)]
	a := Attempt{ID: id, Entry: i, Incarnation: incarnation, AtMostOnce: k.atMostOnce, Sent: time.Since(t.startedAt), ExpectedBody: k.expectedBody(id), Phase: phase}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callerDeadline)
	defer cancel()
	ask := imitator.Request{
		Address: e.callerRelay.Address(), Path: k.path, ID: id, Key: imitator.Key, Body: "body of " + id,
		Timeout: callerDeadline, Pieces: k.pieces,
	}
	reply, err := ask.CallWith(ctx, client)
	if err == nil && !reply.Truncated {
		a.Status, a.Body, a.Stamp = reply.Status, reply.Body, reply.Stamp
	}
	if t.resumes && strings.HasPrefix(reply.Body, "id: ") {
		a.ExpectedBody = expectedStream(reply.Body, id)
	}
	a.Ended = time.Since(t.startedAt)
	if _, currentIncarnation := e.current(); currentIncarnation != incarnation {
		a.Incarnation = unknownIncarnation
	}
	t.add(a)
	if t.resumes && k.path == imitator.ResumePath && reply.Truncated && reply.Body != "" {
		t.resume(ask, i, reply.Body, phase)
	}
}

func (t *traffic) add(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
}

// record returns the attempts of all callers and the executions at all endpoints.
func (t *traffic) record(newestVersion int) *Record {
	r := &Record{Attempts: t.attempts, NewestVersion: newestVersion}
	for _, endpoint := range t.fleet.site.Endpoints {
		for _, run := range endpoint.Runs() {
			r.Executions = append(r.Executions, Execution{
				Attempt: run.Attempt, Endpoint: endpoint.ID, Version: accountVersion(run.Account()),
				ReceivedAt: run.At.Sub(t.startedAt), InEvacuatedZone: t.fleet.site.Zones[endpoint.ID] == evacuatedZone,
			})
		}
	}
	return r
}

// accountPrefix is the prefix of the account's name. The version of the configuration follows it.
const accountPrefix = "account-v"

func accountVersion(account string) int {
	version, err := strconv.Atoi(strings.TrimPrefix(account, accountPrefix))
	if err != nil {
		// No configuration of this package has such an account, so it counts as older than all versions.
		return -1
	}
	return version
}
