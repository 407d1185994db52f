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
	// mostPerSecond bounds the requests a second of all callers together, by the wait of a caller between two requests: the
	// stand-ins of all endpoints run in one process.
	mostPerSecond = 500
	// callerPatience is a caller's deadline.
	callerPatience = 2 * time.Second
	// callersPerEntry is how many callers hold a connection to each entry.
	callersPerEntry = 2
)

// callerPause is the wait of a caller between two requests before so many entries.
func callerPause(entries int) time.Duration {
	return time.Duration(entries*callersPerEntry) * time.Second / mostPerSecond
}

// kinds are the requests that callers send in turn.
var kinds = []struct {
	path string
	once bool
	// pieces are the numbers of pieces of the stages.
	pieces string
	want   func(id string) string
}{
	{path: imitator.PlainPath, want: imitator.PlainAnswer},
	{path: imitator.OncePath, once: true, want: imitator.PlainAnswer},
	{path: imitator.StreamPath, once: true, want: imitator.StreamAnswer},
	{path: imitator.ResumePath, want: imitator.StreamAnswer},
	{path: imitator.StagesPath, once: true, pieces: "3,2", want: imitator.StreamAnswer},
}

// traffic is what callers send, and what they were answered.
type traffic struct {
	fleet *fleet
	began time.Time

	mu       sync.Mutex
	attempts []Attempt
}

// run lets callers send until the context ends.
func (t *traffic) run(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range t.fleet.entries {
		for n := range callersPerEntry {
			callers.Go(func() { t.call(ctx, i, n) })
		}
	}
	callers.Wait()
}

// call is one caller, which keeps its connection for as long as it is open.
func (t *traffic) call(ctx context.Context, entry, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		t.send(client, entry, n, fmt.Sprintf("r-%d-%d-%d", entry, caller, n), phaseFaults)
		time.Sleep(callerPause(len(t.fleet.entries)))
	}
}

// send sends one request and notes its end. It is sent to its end although the traffic is over.
func (t *traffic) send(client *http.Client, i, kind int, id string, phase Phase) {
	e := t.fleet.entries[i]
	_, boot := e.present()
	k := kinds[kind%len(kinds)]
	a := Attempt{ID: id, Entry: i, Boot: boot, Once: k.once, Sent: time.Since(t.began), Want: k.want(id), Phase: phase}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callerPatience)
	defer cancel()
	ask := imitator.Request{
		Address: e.callers.Address(), Path: k.path, ID: id, Key: imitator.Key, Body: "body of " + id,
		Timeout: callerPatience, Pieces: k.pieces,
	}
	if reply, err := ask.CallWith(ctx, client); err == nil && !reply.Truncated {
		a.Status, a.Body, a.Stamp = reply.Status, reply.Body, reply.Stamp
	}
	a.Ended = time.Since(t.began)
	if _, now := e.present(); now != boot {
		a.Boot = unknownBoot
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
}

// record gives all that was seen.
func (t *traffic) record(newest int) *Record {
	r := &Record{Attempts: t.attempts, Newest: newest}
	for _, endpoint := range t.fleet.site.Endpoints {
		for _, run := range endpoint.Runs() {
			r.Executions = append(r.Executions, Execution{
				Attempt: run.Attempt, Endpoint: endpoint.ID, Version: versionOf(run.Account()),
				At: run.At.Sub(t.began), Evacuated: t.fleet.site.Zones[endpoint.ID] == evacuatedZone,
			})
		}
	}
	return r
}

// accountPrefix begins the account's name, which the version of the configuration follows.
const accountPrefix = "account-v"

func versionOf(account string) int {
	version, err := strconv.Atoi(strings.TrimPrefix(account, accountPrefix))
	if err != nil {
		// No configuration of the soak has such an account: it counts as older than all.
		return -1
	}
	return version
}
