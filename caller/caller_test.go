package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeEntries serves the caller API of entries that share one script: each request gets the next reply, and each
// outcome request the next outcome. The last outcome is repeated.
type fakeEntries struct {
	mu              sync.Mutex
	ranked          []string
	replies         []http.HandlerFunc
	outcomes        []string
	addressRequests int
	posts           []string // the host, key and trace context of each request
}

func (f *fakeEntries) start(t *testing.T) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.addressRequests++
		var list []string
		for _, address := range f.ranked {
			list = append(list, fmt.Sprintf(`{"address": %q, "zone": "zone-a", "spare": false}`, address))
		}
		_, _ = fmt.Fprintf(w, `{"ttlMillis": 60000, "addresses": [%s]}`, strings.Join(list, ","))
	})
	mux.HandleFunc("GET /v1/requests/{key}", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.outcomes) == 0 {
			failureReply(404, "unknownKey", "notRun", 0)(w, nil)
			return
		}
		_, _ = fmt.Fprint(w, f.outcomes[0])
		if len(f.outcomes) > 1 {
			f.outcomes = f.outcomes[1:]
		}
	})
	mux.HandleFunc("POST /v1/pipelines/digest/requests", func(w http.ResponseWriter, r *http.Request) {
		f.nextReply(r)(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fakeEntries) nextReply(r *http.Request) http.HandlerFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.posts = append(f.posts, r.Host+" "+r.Header.Get("Idempotency-Key")+" "+r.Header.Get("Traceparent"))
	if len(f.replies) == 0 {
		return failureReply(400, "offScript", "notRun", 0)
	}
	reply := f.replies[0]
	f.replies = f.replies[1:]
	return reply
}

func answerReply(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"requestId": "r", "key": "k", "answer": %q, "totalParts": 1}`, text)
	}
}

func failureReply(status int, code, outcome string, retryAfterMillis int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"code": %q, "message": "no", "outcome": %q, "retryAfterMillis": %d}`, code, outcome, retryAfterMillis)
	}
}

// streamReply writes parts and then the last event, or closes the connection if there is none.
func streamReply(last string, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, part := range parts {
			_, _ = fmt.Fprintf(w, "event: part\ndata: {\"text\": %q}\n\n", part)
			_ = http.NewResponseController(w).Flush()
		}
		if last == "" {
			closeConnection(w, r)
		}
		_, _ = fmt.Fprint(w, last+"\n\n")
	}
}

func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

const (
	answerEvent  = `event: answer` + "\n" + `data: {"requestId": "r", "key": "k", "answer": "whole answer", "totalParts": 2}`
	failureEvent = `event: failure` + "\n" + `data: {"code": "stageFailed", "message": "m", "outcome": "unknown"}`

	answeredOutcome = `{"key": "k", "state": "answered", "answer": "whole answer"}`
	notRunOutcome   = `{"key": "k", "state": "notRun"}`
	unknownOutcome  = `{"key": "k", "state": "unknown", "message": "its owner died"}`
	runningOutcome  = `{"key": "k", "state": "running"}`
)

// clock is a fake clock that only Wait advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Wait(ctx context.Context, d time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return ctx.Err()
}

func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// Sends a request to two addresses that share one script. All attempts must use the same key; notRun must be
// reported only if no attempt may have reached an entry without returning an outcome, or if the outcome says so;
// each piece of streamed text must be passed on once.
func TestSend(t *testing.T) {
	unauthorized := failureReply(401, "wrongCredential", "notRun", 0)
	scenarios := []struct {
		testName            string
		replies             []http.HandlerFunc
		outcomes            []string
		want                string // the answer, or the outcome and the message
		wantParts           string // each followed by a slash
		wantAttempts        int
		wantAddressRequests int
		wantWait            time.Duration
	}{
		{"answered", []http.HandlerFunc{answerReply("x")}, nil, "x", "", 1, 1, 0},
		{"permanent failure", []http.HandlerFunc{unauthorized}, nil, "notRun: no", "", 1, 1, 0},
		{"retries at the given time", []http.HandlerFunc{failureReply(429, "rateLimited", "notRun", 700), answerReply("x")}, nil, "x", "", 2, 1, 700 * time.Millisecond},
		{"retries as early as allowed", []http.HandlerFunc{failureReply(429, "rateLimited", "notRun", 20), failureReply(429, "rateLimited", "notRun", 20), answerReply("x")}, nil, "x", "", 3, 1, 40 * time.Millisecond},
		{"does not wait past the deadline", []http.HandlerFunc{failureReply(429, "rateLimited", "notRun", 9000)}, nil, "notRun: no", "", 1, 1, 0},
		{"both entries busy", []http.HandlerFunc{failureReply(503, "busy", "notRun", 0), failureReply(503, "busy", "notRun", 0), answerReply("x")}, nil, "x", "", 3, 1, retryInterval},
		{"tries the next entry if one is not ready", []http.HandlerFunc{failureReply(503, "notReady", "unknown", 0), answerReply("x")}, nil, "x", "", 2, 1, 0},
		{"requests the addresses again after a stopping entry", []http.HandlerFunc{failureReply(503, "stopping", "notRun", 0), answerReply("x")}, nil, "x", "", 2, 2, 0},
		{"requests the addresses again after a round without outcomes", []http.HandlerFunc{closeConnection, closeConnection, answerReply("x")}, nil, "x", "", 3, 2, retryInterval},
		{"gives up after maxAttempts", slices.Repeat([]http.HandlerFunc{failureReply(503, "busy", "notRun", 0)}, maxAttempts+1), nil, "notRun: no", "", maxAttempts, 1, 4 * retryInterval},
		{"connection closed, then refused, then answered", []http.HandlerFunc{closeConnection, unauthorized}, []string{runningOutcome, answeredOutcome}, "whole answer", "", 2, 1, 0},
		{"connection closed, then refused, outcome not run", []http.HandlerFunc{closeConnection, unauthorized}, []string{notRunOutcome}, "notRun: no", "", 2, 1, 0},
		{"connection closed, then refused, outcome unknown", []http.HandlerFunc{closeConnection, unauthorized}, []string{unknownOutcome}, "unknown: its owner died", "", 2, 1, 0},
		{"connection closed, then refused, still running", []http.HandlerFunc{closeConnection, unauthorized}, []string{runningOutcome}, "unknown: no", "", 2, 1, 6 * time.Second},
		{"connection closed, then refused, no outcome", []http.HandlerFunc{closeConnection, unauthorized}, nil, "unknown: no entry tells what became of it", "", 2, 1, 6 * time.Second},
		{"unknown outcome is polled, not sent again", []http.HandlerFunc{failureReply(502, "ownerLost", "unknown", 0)}, []string{answeredOutcome}, "whole answer", "", 1, 1, 0},
		{"streamed", []http.HandlerFunc{streamReply(answerEvent, "whole ", "answer")}, nil, "whole answer", "whole /answer/", 1, 1, 0},
		{"stream truncated, then streamed from its start", []http.HandlerFunc{streamReply("", "whole "), streamReply(answerEvent, "who", "le ans", "wer")}, nil, "whole answer", "whole /ans/wer/", 2, 1, 0},
		{"stream truncated, then a different text", []http.HandlerFunc{streamReply("", "half "), streamReply(answerEvent, "whole ", "answer")}, nil, "whole answer", "half /", 2, 1, 0},
		{"failure after a part", []http.HandlerFunc{streamReply(failureEvent, "whole ")}, []string{unknownOutcome}, "unknown: its owner died", "whole /", 1, 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := &fakeEntries{replies: s.replies, outcomes: s.outcomes}
			f.ranked = []string{f.start(t), f.start(t)}
			started := time.Unix(1_800_000_000, 0)
			c := &clock{now: started}
			client := New(Config{Account: "a", Credential: "c", Entries: []string{closedPort(t), f.ranked[0]}, Grace: time.Second, Now: c.Now, Wait: c.Wait})
			var parts strings.Builder
			answer, err := client.Send(t.Context(), Request{
				Pipeline: "digest", Key: "k", Input: "i", Deadline: 5 * time.Second, Traceparent: "tp",
				Stream: true, OnPart: func(text string) { parts.WriteString(text + "/") },
			})
			got, attempts := answer.Text, answer.Attempts
			if err != nil {
				var failed *RequestError
				require.ErrorAs(t, err, &failed)
				require.Equal(t, "k", failed.Key)
				got, attempts = failed.Outcome+": "+failed.Message, failed.Attempts
			}
			require.Equal(t, s.want, got)
			require.Equal(t, s.wantParts, parts.String())
			require.Equal(t, s.wantAttempts, attempts)
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, s.wantAddressRequests, f.addressRequests)
			require.Len(t, f.posts, attempts, "net/http must not retry by itself")
			for _, post := range f.posts {
				require.Contains(t, post, " k tp")
			}
			require.Equal(t, s.wantWait, c.now.Sub(started))
		})
	}
}

// If no address is given, reachable or valid, no byte is sent, so the outcome must be notRun.
func TestSendWithoutReachableEntry(t *testing.T) {
	for _, entries := range [][]string{nil, {closedPort(t)}, {"no address"}} {
		c := &clock{now: time.Unix(1_800_000_000, 0)}
		_, err := New(Config{Entries: entries, Now: c.Now, Wait: c.Wait}).Send(t.Context(), Request{Pipeline: "digest", Deadline: time.Second})
		var failed *RequestError
		require.ErrorAs(t, err, &failed, entries)
		require.Equal(t, outcomeNotRun, failed.Outcome)
		require.Equal(t, "no entry could be reached", failed.Message)
	}
}
