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

// fakeEntries are entries that follow one script: each request takes the next reply, each question for an
// outcome the next outcome, the last of which is repeated.
type fakeEntries struct {
	mu       sync.Mutex
	ranked   []string
	replies  []http.HandlerFunc
	outcomes []string
	asked    int
	posts    []string // the address, key and trace context of each request
}

func (f *fakeEntries) start(t *testing.T) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asked++
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
			refuses(404, "unknownKey", "notRun", 0)(w, nil)
			return
		}
		_, _ = fmt.Fprint(w, f.outcomes[0])
		if len(f.outcomes) > 1 {
			f.outcomes = f.outcomes[1:]
		}
	})
	mux.HandleFunc("POST /v1/pipelines/digest/requests", func(w http.ResponseWriter, r *http.Request) {
		f.next(r)(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fakeEntries) next(r *http.Request) http.HandlerFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.posts = append(f.posts, r.Host+" "+r.Header.Get("Idempotency-Key")+" "+r.Header.Get("Traceparent"))
	if len(f.replies) == 0 {
		return refuses(400, "offScript", "notRun", 0)
	}
	reply := f.replies[0]
	f.replies = f.replies[1:]
	return reply
}

func answers(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"requestId": "r", "key": "k", "answer": %q, "totalParts": 1}`, text)
	}
}

func refuses(status int, code, outcome string, retryAfterMillis int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"code": %q, "message": "no", "outcome": %q, "retryAfterMillis": %d}`, code, outcome, retryAfterMillis)
	}
}

// streams writes parts, and then one more event or, without one, cuts the connection.
func streams(last string, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, part := range parts {
			_, _ = fmt.Fprintf(w, "event: part\ndata: {\"text\": %q}\n\n", part)
			_ = http.NewResponseController(w).Flush()
		}
		if last == "" {
			cuts(w, r)
		}
		_, _ = fmt.Fprint(w, last+"\n\n")
	}
}

func cuts(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

const (
	wholeEvent   = `event: answer` + "\n" + `data: {"requestId": "r", "key": "k", "answer": "whole answer", "totalParts": 2}`
	failureEvent = `event: failure` + "\n" + `data: {"code": "stageFailed", "message": "m", "outcome": "unknown"}`

	answeredOutcome = `{"key": "k", "state": "answered", "answer": "whole answer"}`
	notRunOutcome   = `{"key": "k", "state": "notRun"}`
	unknownOutcome  = `{"key": "k", "state": "unknown", "message": "its owner died"}`
	runningOutcome  = `{"key": "k", "state": "running"}`
)

// clock is moved on by waiting alone.
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

// A request is sent to two addresses of one scripted system. What must hold: all tries carry one key; the
// caller hears notRun only where no try may have reached an entry without an outcome, or where the outcome
// says so; each piece of a streamed text is handed on once.
func TestSend(t *testing.T) {
	refused := refuses(401, "wrongCredential", "notRun", 0)
	scenarios := []struct {
		testName  string
		replies   []http.HandlerFunc
		outcomes  []string
		want      string // the answer, or the outcome and message
		wantParts string // with a / after each
		wantTries int
		wantAsked int // for addresses
		wantWait  time.Duration
	}{
		{"answered", []http.HandlerFunc{answers("x")}, nil, "x", "", 1, 1, 0},
		{"refused for good", []http.HandlerFunc{refused}, nil, "notRun: no", "", 1, 1, 0},
		{"comes back at the time named", []http.HandlerFunc{refuses(429, "rateLimited", "notRun", 700), answers("x")}, nil, "x", "", 2, 1, 700 * time.Millisecond},
		{"comes back as soon as named", []http.HandlerFunc{refuses(429, "rateLimited", "notRun", 20), refuses(429, "rateLimited", "notRun", 20), answers("x")}, nil, "x", "", 3, 1, 40 * time.Millisecond},
		{"does not wait for a time past the deadline", []http.HandlerFunc{refuses(429, "rateLimited", "notRun", 9000)}, nil, "notRun: no", "", 1, 1, 0},
		{"busy elsewhere too", []http.HandlerFunc{refuses(503, "busy", "notRun", 0), refuses(503, "busy", "notRun", 0), answers("x")}, nil, "x", "", 3, 1, retryPause},
		{"tries on where an entry is not ready", []http.HandlerFunc{refuses(503, "notReady", "unknown", 0), answers("x")}, nil, "x", "", 2, 1, 0},
		{"asks for addresses again of a stopping entry", []http.HandlerFunc{refuses(503, "stopping", "notRun", 0), answers("x")}, nil, "x", "", 2, 2, 0},
		{"asks again after a round without outcomes", []http.HandlerFunc{cuts, cuts, answers("x")}, nil, "x", "", 3, 2, retryPause},
		{"gives up after a bounded number of tries", slices.Repeat([]http.HandlerFunc{refuses(503, "busy", "notRun", 0)}, maxAttempts+1), nil, "notRun: no", "", maxAttempts, 1, 4 * retryPause},
		{"cut, then refused, then known", []http.HandlerFunc{cuts, refused}, []string{runningOutcome, answeredOutcome}, "whole answer", "", 2, 1, 0},
		{"cut, then refused, and not run", []http.HandlerFunc{cuts, refused}, []string{notRunOutcome}, "notRun: no", "", 2, 1, 0},
		{"cut, then refused, and unknown", []http.HandlerFunc{cuts, refused}, []string{unknownOutcome}, "unknown: its owner died", "", 2, 1, 0},
		{"cut, then refused, and runs on", []http.HandlerFunc{cuts, refused}, []string{runningOutcome}, "unknown: no", "", 2, 1, 6 * time.Second},
		{"cut, then refused, and no entry knows", []http.HandlerFunc{cuts, refused}, nil, "unknown: no entry tells what became of it", "", 2, 1, 6 * time.Second},
		{"unknown is asked after, not sent again", []http.HandlerFunc{refuses(502, "ownerLost", "unknown", 0)}, []string{answeredOutcome}, "whole answer", "", 1, 1, 0},
		{"streamed", []http.HandlerFunc{streams(wholeEvent, "whole ", "answer")}, nil, "whole answer", "whole /answer/", 1, 1, 0},
		{"stream cut, then streamed from its start", []http.HandlerFunc{streams("", "whole "), streams(wholeEvent, "who", "le ans", "wer")}, nil, "whole answer", "whole /ans/wer/", 2, 1, 0},
		{"stream cut, then another text", []http.HandlerFunc{streams("", "half "), streams(wholeEvent, "whole ", "answer")}, nil, "whole answer", "half /", 2, 1, 0},
		{"failure after a part", []http.HandlerFunc{streams(failureEvent, "whole ")}, []string{unknownOutcome}, "unknown: its owner died", "whole /", 1, 1, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := &fakeEntries{replies: s.replies, outcomes: s.outcomes}
			f.ranked = []string{f.start(t), f.start(t)}
			begun := time.Unix(1_800_000_000, 0)
			c := &clock{now: begun}
			client := New(Config{Account: "a", Credential: "c", Entries: []string{closedPort(t), f.ranked[0]}, Grace: time.Second, Now: c.Now, Wait: c.Wait})
			var parts strings.Builder
			answer, err := client.Send(t.Context(), Request{
				Pipeline: "digest", Key: "k", Input: "i", Deadline: 5 * time.Second, Traceparent: "tp",
				Stream: true, OnPart: func(text string) { parts.WriteString(text + "/") },
			})
			got, tries := answer.Text, answer.Attempts
			if err != nil {
				var failed *RequestError
				require.ErrorAs(t, err, &failed)
				require.Equal(t, "k", failed.Key)
				got, tries = failed.Outcome+": "+failed.Message, failed.Attempts
			}
			require.Equal(t, s.want, got)
			require.Equal(t, s.wantParts, parts.String())
			require.Equal(t, s.wantTries, tries)
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, s.wantAsked, f.asked)
			require.Len(t, f.posts, tries, "net/http sends none again by itself")
			for _, post := range f.posts {
				require.Contains(t, post, " k tp")
			}
			require.Equal(t, s.wantWait, c.now.Sub(begun))
		})
	}
}

// Nothing listens, or the address is none: no byte was sent, so notRun is the truth.
func TestSendThatNeverLeft(t *testing.T) {
	for _, entries := range [][]string{nil, {closedPort(t)}, {"no address"}} {
		c := &clock{now: time.Unix(1_800_000_000, 0)}
		_, err := New(Config{Entries: entries, Now: c.Now, Wait: c.Wait}).Send(t.Context(), Request{Pipeline: "digest", Deadline: time.Second})
		var failed *RequestError
		require.ErrorAs(t, err, &failed, entries)
		require.Equal(t, outcomeNotRun, failed.Outcome)
		require.Equal(t, "no entry could be reached", failed.Message)
	}
}
