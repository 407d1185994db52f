package assembler

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// eventStream returns the first n events of the answer to an attempt.
func eventStream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s\n\n", i, i, id)
	}
	return b.String()
}

func TestRequestsAreForwarded(t *testing.T) {
	f := newFleet(t, 2)
	t.Run("plain", func(t *testing.T) {
		request := f.newRequest(0, imitator.OncePath+"a//b%2Fc?q=1", "plain-1")
		request.Body = "the whole body, in chunks"
		request.Header = imitator.ForgedAccount("forged")
		request.Header.Set("X-Mine", "1")
		reply := f.call(request)
		require.Equal(t, http.StatusOK, reply.Status)
		require.Equal(t, "answer to plain-1", reply.Body)
		require.NotEmpty(t, reply.Stamp)
		runs := f.runs("plain-1")
		require.Len(t, runs, 1)
		require.Equal(t, request.Path, runs[0].Target)
		require.Equal(t, request.Body, runs[0].Body)
		require.Equal(t, imitator.Account, runs[0].Account())
		require.Equal(t, runs[0].Endpoint, runs[0].Instance())
		require.Equal(t, "1", runs[0].Header.Get("X-Mine"))
		require.Empty(t, runs[0].Header.Get("Authorization"))
		require.NotEmpty(t, runs[0].Timeout())
	})
	t.Run("stream", func(t *testing.T) {
		reply := f.call(f.newRequest(1, imitator.StreamPath, "stream-1"))
		require.False(t, reply.Truncated)
		require.Equal(t, eventStream("stream-1", 5), reply.Body)
	})
	t.Run("stages", func(t *testing.T) {
		for entry := range 2 {
			id := fmt.Sprintf("stages-%d", entry)
			request := f.newRequest(entry, imitator.StagesPath, id)
			request.Pieces = "3,12"
			reply := f.call(request)
			require.Equal(t, eventStream(id, 5), reply.Body)
			runs := f.runs(id)
			require.Len(t, runs, 1)
			require.Len(t, runs[0].Inputs(), 12, "a run receives all pieces of the last stage")
			for _, e := range []string{"i-rank-0", "i-rank-1"} {
				for _, inputs := range f.site.Endpoint(e).PieceInputs(id, 1) {
					require.Len(t, inputs, 3, "each piece receives all results of the previous stage")
				}
			}
		}
		require.Eventually(t, func() bool {
			unfreed := 0
			for _, e := range f.site.Endpoints {
				unfreed += e.HeldResults()
			}
			return unfreed == 0
		}, waitTimeout, 10*time.Millisecond, "all results are freed")
	})
	t.Run("stage without pieces is skipped", func(t *testing.T) {
		request := f.newRequest(0, imitator.StagesPath, "stages-none")
		request.Pieces = "2,0"
		require.Equal(t, http.StatusOK, f.call(request).Status)
		require.Len(t, f.runs("stages-none")[0].Inputs(), 2)
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFleet(t, 1)
	for _, tc := range []struct {
		name   string
		status int
		modify func(request *imitator.Request)
	}{
		{"no route", http.StatusNotFound, func(request *imitator.Request) { request.Path = "/nowhere/" }},
		{"unknown key", http.StatusUnauthorized, func(request *imitator.Request) { request.Key = "guess" }},
		{"no key", http.StatusUnauthorized, func(request *imitator.Request) { request.Key = "" }},
		{"no attempt", http.StatusBadRequest, func(request *imitator.Request) { request.ID = "" }},
		{"body too large", http.StatusRequestEntityTooLarge, func(request *imitator.Request) { request.Body = strings.Repeat("x", 70_000) }},
		{"bad header", http.StatusBadRequest, func(request *imitator.Request) { request.Pieces = "many" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			request := f.newRequest(0, imitator.PlainPath, "bad")
			tc.modify(&request)
			reply := f.call(request)
			require.Equal(t, tc.status, reply.Status)
			require.Empty(t, reply.Stamp)
			require.Empty(t, f.runs("bad"))
		})
	}
	require.Equal(t, http.StatusOK, f.call(f.newRequest(0, imitator.PlainPath, "good")).Status)
}

// Both endpoints run the request and close the connection without an answer. The caller must get 502, since the request
// may have run, and the request must not be sent again.
func TestARequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.injectFault("plain", imitator.Aborting, -1)
	reply := f.call(f.newRequest(0, imitator.OncePath, "once"))
	require.Equal(t, http.StatusBadGateway, reply.Status)
	require.Len(t, f.runs("once"), 1)
	f.injectFault("model", imitator.Aborting, -1)
	reply = f.call(f.newRequest(0, imitator.StreamPath, "stream"))
	require.Equal(t, http.StatusBadGateway, reply.Status)
	require.Len(t, f.runs("stream"), 1)
}

// One endpoint closes the connection, returns an error or hangs. An idempotent request must be answered by the other one.
func TestAnIdempotentRequestIsTriedElsewhere(t *testing.T) {
	for name, fault := range map[string]imitator.Fault{
		"broken": imitator.Aborting, "erring": imitator.ServerError, "hanging": imitator.Hanging,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.site.Endpoint("i-plain-0").InjectFault(fault, -1)
			for i := range 4 {
				id := fmt.Sprint(i)
				reply := f.call(f.newRequest(0, imitator.PlainPath, id))
				require.Equal(t, http.StatusOK, reply.Status)
				require.LessOrEqual(t, len(f.runs(id)), 2)
			}
		})
	}
}

// All endpoints refuse the request without running it. The caller must learn at once that it has not run and when to
// retry.
func TestFullEndpointsAreARefusalThatIsTrue(t *testing.T) {
	f := newFleet(t, 1)
	f.injectFault("plain", imitator.Full, -1)
	began := time.Now()
	reply := f.call(f.newRequest(0, imitator.OncePath, "full"))
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.Empty(t, f.runs("full"))
	require.Less(t, time.Since(began), 2*time.Second)
	f.injectFault("plain", imitator.Healthy, 0)
	require.Equal(t, http.StatusOK, f.call(f.newRequest(0, imitator.OncePath, "full")).Status)
}

// An endpoint closes the connection in the middle of an event. If the stream may be resumed, the caller must receive each
// event exactly once; otherwise it must be able to see that the stream is incomplete.
func TestABrokenStream(t *testing.T) {
	f := newFleet(t, 1)
	f.site.Endpoint("i-model-0").InjectFault(imitator.Truncated, -1)
	resumed := 0
	for i := range 10 {
		id := fmt.Sprintf("resumed-%d", i)
		reply := f.call(f.newRequest(0, imitator.ResumePath, id))
		require.False(t, reply.Truncated)
		require.Equal(t, eventStream(id, 5), reply.Body)
		resumed += len(f.runs(id)) - 1
	}
	require.Positive(t, resumed)

	f.injectFault("model", imitator.Truncated, -1)
	reply := f.call(f.newRequest(0, imitator.StreamPath, "cut"))
	require.True(t, reply.Truncated)
	require.Equal(t, eventStream("cut", 2), reply.Body)
	require.Len(t, f.runs("cut"), 1)
}

// An engine closes the connection in the middle of a stream. Its stage results were freed with its first event, and another
// engine refuses to resume the stream without them, which would leave the caller with an incomplete stream. So the results
// must be produced again.
func TestABrokenStreamWithStagesIsResumed(t *testing.T) {
	f := newFleet(t, 2)
	f.site.Endpoint("i-model-0").InjectFault(imitator.Truncated, -1)
	resumed := 0
	for i := range 10 {
		id := fmt.Sprintf("resumed-%d", i)
		request := f.newRequest(i%2, imitator.ResumeStagesPath, id)
		request.Pieces = "3,5"
		reply := f.call(request)
		require.False(t, reply.Truncated)
		require.Equal(t, eventStream(id, 5), reply.Body)
		runs := f.runs(id)
		for _, run := range runs {
			require.Len(t, run.Inputs(), 5)
		}
		resumed += len(runs) - 1
	}
	require.Positive(t, resumed)
}

// An endpoint answers twice or without a content length. Each caller must get its own complete answer.
func TestOddAnswersReachTheirOwnCaller(t *testing.T) {
	f := newFleet(t, 1)
	for name, fault := range map[string]imitator.Fault{"twice": imitator.Duplicating, "no length": imitator.Unframed} {
		f.injectFault("plain", fault, -1)
		for i := range 6 {
			id := fmt.Sprintf("%s-%d", name, i)
			require.Equal(t, "answer to "+id, f.call(f.newRequest(0, imitator.PlainPath, id)).Body)
		}
	}
}

// A caller disconnects while an endpoint works on its request. The endpoint's call must be canceled.
func TestWorkEndsWithItsCaller(t *testing.T) {
	f := newFleet(t, 1)
	f.injectFault("model", imitator.Hanging, -1)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := f.newRequest(0, imitator.StreamPath, "left").Call(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool {
		return f.site.Endpoint("i-model-0").CanceledRuns()+f.site.Endpoint("i-model-1").CanceledRuns() == 1
	}, waitTimeout, 5*time.Millisecond)
}

// The endpoint never answers. The caller must get 504 at its deadline, as the request may have run.
func TestARequestTimesOutAtItsDeadline(t *testing.T) {
	f := newFleet(t, 1)
	f.injectFault("plain", imitator.Hanging, -1)
	request := f.newRequest(0, imitator.OncePath, "deadline")
	request.Timeout = 300 * time.Millisecond
	require.Equal(t, http.StatusGatewayTimeout, f.call(request).Status)
	require.Len(t, f.runs("deadline"), 1)
}

// One endpoint is marked as draining, another is removed from the store. Neither must receive new requests.
func TestLeavingEndpointsGetNoWork(t *testing.T) {
	f := newFleet(t, 2)
	f.site.Register(f.site.Endpoint("i-plain-0"), "plain", "draining")
	f.site.Remove(f.site.Endpoint("i-model-0"))
	time.Sleep(time.Second) // one read of the store and the pause after it
	for i := range 10 {
		id := fmt.Sprintf("after-%d", i)
		require.Equal(t, "i-plain-1", endpointOfFirstRun(t, f, f.newRequest(i%2, imitator.PlainPath, id)))
		require.Equal(t, "i-model-1", endpointOfFirstRun(t, f, f.newRequest(i%2, imitator.StreamPath, id+"-s")))
	}
}

func endpointOfFirstRun(t *testing.T, f *fleet, request imitator.Request) string {
	t.Helper()
	require.Equal(t, http.StatusOK, f.call(request).Status)
	return f.runs(request.ID)[0].Endpoint
}

// An API key is revoked while one entry can't reach the store. That entry must reject the key too: it receives the
// configuration and the endpoints from its peers.
func TestAnEntryWithoutTheStoreLearnsFromPeers(t *testing.T) {
	f := newFleet(t, 2)
	f.startWithoutStore()
	f.awaitReady()
	require.Equal(t, http.StatusOK, f.call(f.newRequest(2, imitator.PlainPath, "before")).Status)
	f.site.Tenants = []map[string]any{{"Name": "other", "ApiKeys": []string{"other-key"}}}
	f.site.Configure()
	require.Eventually(t, func() bool {
		return f.call(f.newRequest(2, imitator.PlainPath, "after")).Status == http.StatusUnauthorized
	}, waitTimeout, 20*time.Millisecond)
	f.site.Remove(f.site.Endpoint("i-plain-0"))
	require.Eventually(t, func() bool {
		request := f.newRequest(2, imitator.PlainPath, "other")
		request.Key = "other-key"
		before := len(f.site.Endpoint("i-plain-0").Runs())
		for range 6 {
			require.Equal(t, http.StatusOK, f.call(request).Status)
		}
		return len(f.site.Endpoint("i-plain-0").Runs()) == before
	}, waitTimeout, 20*time.Millisecond)
}

// An entry is stopped while a stream runs. The stream must complete, new callers must be directed to the other entry, and
// requests on an open connection must still be served.
func TestAPlannedStopCutsNothing(t *testing.T) {
	site := imitator.NewSite()
	// On a busy machine the stream takes longer than the default timeout of the site's routes.
	site.SetTimeouts(time.Minute)
	site.Configure()
	f := newFleetAt(t, site, 2)
	for _, e := range f.site.Endpoints {
		e.Events = 1500
	}
	replies := make(chan imitator.Response, 1)
	go func() {
		reply, err := f.newRequest(0, imitator.StreamPath, "long").Call(context.Background())
		if err != nil {
			reply.Truncated = true
		}
		replies <- reply
	}()
	require.Eventually(t, func() bool { return len(f.runs("long")) == 1 }, waitTimeout, time.Millisecond)
	client := &http.Client{}
	reply, err := f.newRequest(0, imitator.PlainPath, "kept").CallWith(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)

	f.nodes[0].stop()
	require.Eventually(t, func() bool {
		addresses, err := imitator.Addresses(t.Context(), f.nodes[1].addresses)
		return err == nil && !slices.Contains(addresses, f.nodes[0].callers)
	}, waitTimeout, 5*time.Millisecond)
	require.False(t, imitator.Ready(t.Context(), f.nodes[0].ready))
	reply, err = f.newRequest(0, imitator.PlainPath, "kept-2").CallWith(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
	require.True(t, reply.Closing, "the entry must close the connection after the reply")
	long := <-replies
	require.False(t, long.Truncated)
	require.Equal(t, eventStream("long", 1500), long.Body)
	require.NoError(t, <-f.nodes[0].done)
	f.nodes[0].done <- nil
}

// A new configuration removes a route. Every entry must apply it and go on serving the other routes.
func TestANewConfigurationIsInForceEverywhere(t *testing.T) {
	f := newFleet(t, 3)
	f.site.Routes = f.site.Routes[1:] // without the plain route
	f.site.Configure()
	for entry := range 3 {
		require.Eventually(t, func() bool {
			return f.call(f.newRequest(entry, imitator.PlainPath, "dropped")).Status == http.StatusNotFound
		}, waitTimeout, 10*time.Millisecond)
		require.Equal(t, http.StatusOK, f.call(f.newRequest(entry, imitator.OncePath, fmt.Sprint(entry))).Status)
	}
}

// A request crashes every endpoint that runs it, and its caller retries it at all entries. After the second crash it must
// reach no endpoint, while other requests are still served.
func TestContentThatCrashesEndpointsIsRefused(t *testing.T) {
	f := newFleet(t, 2)
	f.injectFault("plain", imitator.Crashing, -1)
	poison := f.newRequest(0, imitator.PlainPath+"poison", "poison-1")
	require.Equal(t, http.StatusBadGateway, f.call(poison).Status)
	require.Len(t, f.runs("poison-1"), 2)
	healthy := f.site.Start("i-plain-2", "plain", imitator.Plain)
	for entry := range 2 {
		poison = f.newRequest(entry, imitator.PlainPath+"poison", fmt.Sprintf("again-%d", entry))
		require.Eventually(t, func() bool {
			reply := f.call(poison)
			return reply.Status == http.StatusServiceUnavailable && reply.RetryAfter == "60.00"
		}, waitTimeout, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return f.call(f.newRequest(1, imitator.PlainPath+"sound", "sound")).Status == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
	for _, run := range healthy.Runs() {
		require.NotContains(t, run.Attempt, "again-1")
	}
}

// An entry stops while a request waits for a stage whose endpoints are all full. Its caller must get a refusal, which
// says that the request has not run, before the process exits.
func TestAPlannedStopAnswersWhatWaits(t *testing.T) {
	f := newFleet(t, 2)
	f.injectFault("encode", imitator.Full, -1)
	f.site.Routes[4]["TimeoutMs"] = 60_000
	f.site.Configure()
	request := f.newRequest(0, imitator.StagesPath, "waits")
	request.Pieces = "1,1"
	request.Timeout = time.Minute
	require.Eventually(t, func() bool {
		for _, nd := range f.nodes {
			if f.call(imitator.Request{Address: nd.callers, Path: "/none/", ID: "x"}).Status != http.StatusNotFound {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
	time.AfterFunc(300*time.Millisecond, f.nodes[0].stop)
	reply := f.call(request)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.Empty(t, f.runs("waits"))
}

// All endpoints of a stage stay full. Callers disconnect from a stream without a first event after a few times the
// objective, long before their deadline. The refusal must come before that, or the caller learns neither that its request
// has not run nor when to retry.
func TestAStreamThatCannotBeginIsToldBeforeItsCallerLeaves(t *testing.T) {
	f := newFleet(t, 1)
	f.injectFault("encode", imitator.Full, -1)
	f.site.Routes[4]["TimeoutMs"] = 60_000
	f.site.Configure()
	request := f.newRequest(0, imitator.StagesPath, "waits")
	request.Pieces = "1,1"
	request.Timeout = time.Minute
	ctx, disconnect := context.WithTimeout(t.Context(), 10*time.Second)
	defer disconnect()
	reply, err := request.Call(ctx)
	require.NoError(t, err, "the caller disconnected before it got a refusal")
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.Empty(t, f.runs("waits"))
}

// A caller requests a long stream and does not read it, so the entry's write to it blocks. After the deadline the
// endpoint must stop working on the request and the entry must release it.
func TestARequestOfACallerThatDoesNotReadIsReleased(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 2 {
		e := f.site.Endpoint(fmt.Sprintf("i-model-%d", i))
		e.Events, e.EventInterval, e.Padding = 1_000_000, 0, 4<<10
	}
	conn, err := net.Dial("tcp", f.nodes[0].callers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	request := f.newRequest(0, imitator.StreamPath, "unread")
	request.Timeout = 500 * time.Millisecond
	require.NoError(t, request.Send(t.Context(), conn))
	require.Eventually(t, func() bool {
		return f.site.Endpoint("i-model-0").CanceledRuns()+f.site.Endpoint("i-model-1").CanceledRuns() == 1
	}, waitTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		return f.metric(0, "geraniumline_forward_in_flight") == "0"
	}, waitTimeout, 50*time.Millisecond)
}

// All seeds in an entry's settings are gone for good when it starts. Without peers it would return only its own address to
// callers and collect pieces in parallel with the other entries. It and its peers must find each other through the
// addresses in the platform's store.
func TestAnEntryWhoseSeedsAreGoneFindsItsPeers(t *testing.T) {
	f := newFleet(t, 2)
	f.startWith(startOptions{withoutSeeds: true})
	f.awaitReady()
}
