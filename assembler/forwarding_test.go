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

func stream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s\n\n", i, i, id)
	}
	return b.String()
}

func TestRequestsAreForwarded(t *testing.T) {
	f := newFleet(t, 2)
	t.Run("plain", func(t *testing.T) {
		a := f.ask(0, imitator.OncePath+"a//b%2Fc?q=1", "plain-1")
		a.Body = "the whole body, in chunks"
		a.Header = imitator.ForgedAccount("forged")
		a.Header.Set("X-Mine", "1")
		reply := f.call(a)
		require.Equal(t, http.StatusOK, reply.Status)
		require.Equal(t, "answer to plain-1", reply.Body)
		require.NotEmpty(t, reply.Stamp)
		runs := f.runs("plain-1")
		require.Len(t, runs, 1)
		require.Equal(t, a.Path, runs[0].Target)
		require.Equal(t, a.Body, runs[0].Body)
		require.Equal(t, imitator.Account, runs[0].Account())
		require.Equal(t, runs[0].Endpoint, runs[0].Instance())
		require.Equal(t, "1", runs[0].Header.Get("X-Mine"))
		require.Empty(t, runs[0].Header.Get("Authorization"))
		require.NotEmpty(t, runs[0].Timeout())
	})
	t.Run("stream", func(t *testing.T) {
		reply := f.call(f.ask(1, imitator.StreamPath, "stream-1"))
		require.False(t, reply.Truncated)
		require.Equal(t, stream("stream-1", 5), reply.Body)
	})
	t.Run("stages", func(t *testing.T) {
		for entry := range 2 {
			id := fmt.Sprintf("stages-%d", entry)
			a := f.ask(entry, imitator.StagesPath, id)
			a.Pieces = "3,12"
			reply := f.call(a)
			require.Equal(t, stream(id, 5), reply.Body)
			runs := f.runs(id)
			require.Len(t, runs, 1)
			require.Len(t, runs[0].Inputs(), 12, "all pieces of the last stage")
			for _, e := range []string{"i-rank-0", "i-rank-1"} {
				for _, inputs := range f.site.Endpoint(e).PieceInputs(id, 1) {
					require.Len(t, inputs, 3, "each piece takes all results of the stage before")
				}
			}
		}
		require.Eventually(t, func() bool {
			held := 0
			for _, e := range f.site.Endpoints {
				held += e.HeldResults()
			}
			return held == 0
		}, forwardPatience, 10*time.Millisecond, "results are freed")
	})
	t.Run("a stage without pieces is passed over", func(t *testing.T) {
		a := f.ask(0, imitator.StagesPath, "stages-none")
		a.Pieces = "2,0"
		require.Equal(t, http.StatusOK, f.call(a).Status)
		require.Len(t, f.runs("stages-none")[0].Inputs(), 2)
	})
}

func TestBadRequestsGetAClearAnswer(t *testing.T) {
	f := newFleet(t, 1)
	for _, tc := range []struct {
		name   string
		status int
		change func(a *imitator.Request)
	}{
		{"no route", http.StatusNotFound, func(a *imitator.Request) { a.Path = "/nowhere/" }},
		{"unknown key", http.StatusUnauthorized, func(a *imitator.Request) { a.Key = "guess" }},
		{"no key", http.StatusUnauthorized, func(a *imitator.Request) { a.Key = "" }},
		{"no attempt", http.StatusBadRequest, func(a *imitator.Request) { a.ID = "" }},
		{"body too large", http.StatusRequestEntityTooLarge, func(a *imitator.Request) { a.Body = strings.Repeat("x", 70_000) }},
		{"bad header", http.StatusBadRequest, func(a *imitator.Request) { a.Pieces = "many" }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := f.ask(0, imitator.PlainPath, "bad")
			tc.change(&a)
			reply := f.call(a)
			require.Equal(t, tc.status, reply.Status)
			require.Empty(t, reply.Stamp)
			require.Empty(t, f.runs("bad"))
		})
	}
	require.Equal(t, http.StatusOK, f.call(f.ask(0, imitator.PlainPath, "good")).Status)
}

// Both endpoints run the request and break off. The caller hears that it may have run, and it is not sent again.
func TestARequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.fail("plain", imitator.Aborting, -1)
	reply := f.call(f.ask(0, imitator.OncePath, "once"))
	require.Equal(t, http.StatusBadGateway, reply.Status)
	require.Len(t, f.runs("once"), 1)
	f.fail("model", imitator.Aborting, -1)
	reply = f.call(f.ask(0, imitator.StreamPath, "stream"))
	require.Equal(t, http.StatusBadGateway, reply.Status)
	require.Len(t, f.runs("stream"), 1)
}

// An idempotent request meets an endpoint that breaks off, fails, or hangs, and is answered by the other one.
func TestAnIdempotentRequestIsTriedElsewhere(t *testing.T) {
	for name, fault := range map[string]imitator.Fault{
		"broken": imitator.Aborting, "erring": imitator.ServerError, "hanging": imitator.Hanging,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.site.Endpoint("i-plain-0").InjectFault(fault, -1)
			for i := range 4 {
				id := fmt.Sprint(i)
				reply := f.call(f.ask(0, imitator.PlainPath, id))
				require.Equal(t, http.StatusOK, reply.Status)
				require.LessOrEqual(t, len(f.runs(id)), 2)
			}
		})
	}
}

// All endpoints refuse unrun. The caller hears at once that nothing ran, and when to come back.
func TestFullEndpointsAreARefusalThatIsTrue(t *testing.T) {
	f := newFleet(t, 1)
	f.fail("plain", imitator.Full, -1)
	began := time.Now()
	reply := f.call(f.ask(0, imitator.OncePath, "full"))
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.Empty(t, f.runs("full"))
	require.Less(t, time.Since(began), 2*time.Second)
	f.fail("plain", imitator.Healthy, 0)
	require.Equal(t, http.StatusOK, f.call(f.ask(0, imitator.OncePath, "full")).Status)
}

// The endpoint breaks off in the middle of an event. Where the stream may be resumed the caller gets it whole, once
// each event; else it sees that it is not whole.
func TestABrokenStream(t *testing.T) {
	f := newFleet(t, 1)
	f.site.Endpoint("i-model-0").InjectFault(imitator.Truncated, -1)
	resumed := 0
	for i := range 10 {
		id := fmt.Sprintf("resumed-%d", i)
		reply := f.call(f.ask(0, imitator.ResumePath, id))
		require.False(t, reply.Truncated)
		require.Equal(t, stream(id, 5), reply.Body)
		resumed += len(f.runs(id)) - 1
	}
	require.Positive(t, resumed)

	f.fail("model", imitator.Truncated, -1)
	reply := f.call(f.ask(0, imitator.StreamPath, "cut"))
	require.True(t, reply.Truncated)
	require.Equal(t, stream("cut", 2), reply.Body)
	require.Len(t, f.runs("cut"), 1)
}

// An engine breaks off in the middle of a stream whose stage results it has had, and which were freed with its first event.
// Another engine goes on with the stream, for which the results are made again; without them it would refuse, and the caller
// be left with the beginning.
func TestABrokenStreamWithStagesGoesOn(t *testing.T) {
	f := newFleet(t, 2)
	f.site.Endpoint("i-model-0").InjectFault(imitator.Truncated, -1)
	resumed := 0
	for i := range 10 {
		id := fmt.Sprintf("resumed-%d", i)
		a := f.ask(i%2, imitator.ResumeStagesPath, id)
		a.Pieces = "3,5"
		reply := f.call(a)
		require.False(t, reply.Truncated)
		require.Equal(t, stream(id, 5), reply.Body)
		runs := f.runs(id)
		for _, run := range runs {
			require.Len(t, run.Inputs(), 5)
		}
		resumed += len(runs) - 1
	}
	require.Positive(t, resumed)
}

// An endpoint answers twice, or without a length. Each caller gets its own whole answer.
func TestOddAnswersReachTheirOwnCaller(t *testing.T) {
	f := newFleet(t, 1)
	for name, fault := range map[string]imitator.Fault{"twice": imitator.Duplicating, "no length": imitator.Unframed} {
		f.fail("plain", fault, -1)
		for i := range 6 {
			id := fmt.Sprintf("%s-%d", name, i)
			require.Equal(t, "answer to "+id, f.call(f.ask(0, imitator.PlainPath, id)).Body)
		}
	}
}

// A caller leaves while an endpoint works on its request: the endpoint must notice.
func TestWorkEndsWithItsCaller(t *testing.T) {
	f := newFleet(t, 1)
	f.fail("model", imitator.Hanging, -1)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := f.ask(0, imitator.StreamPath, "left").Call(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool {
		return f.site.Endpoint("i-model-0").CanceledRuns()+f.site.Endpoint("i-model-1").CanceledRuns() == 1
	}, forwardPatience, 5*time.Millisecond)
}

// The endpoint never answers: the caller hears so at its deadline, and not that the request has not run.
func TestTheDeadlineEndsAnExchange(t *testing.T) {
	f := newFleet(t, 1)
	f.fail("plain", imitator.Hanging, -1)
	a := f.ask(0, imitator.OncePath, "deadline")
	a.Timeout = 300 * time.Millisecond
	require.Equal(t, http.StatusGatewayTimeout, f.call(a).Status)
	require.Len(t, f.runs("deadline"), 1)
}

// An endpoint reports that it is leaving, another one's entry is taken away: neither gets new work.
func TestLeavingEndpointsGetNoWork(t *testing.T) {
	f := newFleet(t, 2)
	f.site.Register(f.site.Endpoint("i-plain-0"), "plain", "draining")
	f.site.Remove(f.site.Endpoint("i-model-0"))
	time.Sleep(time.Second) // one reading of the store and its pause
	for i := range 10 {
		id := fmt.Sprintf("after-%d", i)
		require.Equal(t, "i-plain-1", firstRun(t, f, f.ask(i%2, imitator.PlainPath, id)))
		require.Equal(t, "i-model-1", firstRun(t, f, f.ask(i%2, imitator.StreamPath, id+"-s")))
	}
}

func firstRun(t *testing.T, f *fleet, a imitator.Request) string {
	t.Helper()
	require.Equal(t, http.StatusOK, f.call(a).Status)
	return f.runs(a.ID)[0].Endpoint
}

// A key is withdrawn while one entry can't reach the store. Its callers must be refused there too: the entry hears of
// the configuration, and of the endpoints, from its peers.
func TestAnEntryWithoutTheStoreLearnsFromPeers(t *testing.T) {
	f := newFleet(t, 2)
	f.startCut()
	f.await()
	require.Equal(t, http.StatusOK, f.call(f.ask(2, imitator.PlainPath, "before")).Status)
	f.site.Tenants = []map[string]any{{"Name": "other", "ApiKeys": []string{"other-key"}}}
	f.site.Configure()
	require.Eventually(t, func() bool {
		return f.call(f.ask(2, imitator.PlainPath, "after")).Status == http.StatusUnauthorized
	}, forwardPatience, 20*time.Millisecond)
	f.site.Remove(f.site.Endpoint("i-plain-0"))
	require.Eventually(t, func() bool {
		a := f.ask(2, imitator.PlainPath, "other")
		a.Key = "other-key"
		before := len(f.site.Endpoint("i-plain-0").Runs())
		for range 6 {
			require.Equal(t, http.StatusOK, f.call(a).Status)
		}
		return len(f.site.Endpoint("i-plain-0").Runs()) == before
	}, forwardPatience, 20*time.Millisecond)
}

// An entry is told to stop while a stream runs. The stream ends whole, callers are sent elsewhere, and an open
// connection is used to the last.
func TestAPlannedStopCutsNothing(t *testing.T) {
	site := imitator.NewSite()
	// On a busy machine the stream takes longer than the site's usual routes may.
	site.SetTimeouts(time.Minute)
	site.Configure()
	f := newFleetBefore(t, site, 2)
	for _, e := range f.site.Endpoints {
		e.Events = 1500
	}
	replies := make(chan imitator.Response, 1)
	go func() {
		reply, err := f.ask(0, imitator.StreamPath, "long").Call(context.Background())
		if err != nil {
			reply.Truncated = true
		}
		replies <- reply
	}()
	require.Eventually(t, func() bool { return len(f.runs("long")) == 1 }, forwardPatience, time.Millisecond)
	client := &http.Client{}
	reply, err := f.ask(0, imitator.PlainPath, "kept").CallWith(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)

	f.nodes[0].stop()
	require.Eventually(t, func() bool {
		addresses, err := imitator.Addresses(t.Context(), f.nodes[1].addresses)
		return err == nil && !slices.Contains(addresses, f.nodes[0].callers)
	}, forwardPatience, 5*time.Millisecond)
	require.False(t, imitator.Ready(t.Context(), f.nodes[0].ready))
	reply, err = f.ask(0, imitator.PlainPath, "kept-2").CallWith(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
	require.True(t, reply.Closing, "the next request is to go elsewhere")
	long := <-replies
	require.False(t, long.Truncated)
	require.Equal(t, stream("long", 1500), long.Body)
	require.NoError(t, <-f.nodes[0].done)
	f.nodes[0].done <- nil
}

// The configuration goes on to a newer version while requests come: none is answered by an older one afterwards.
func TestANewConfigurationIsInForceEverywhere(t *testing.T) {
	f := newFleet(t, 3)
	f.site.Routes = f.site.Routes[1:] // without the plain route
	f.site.Configure()
	for entry := range 3 {
		require.Eventually(t, func() bool {
			return f.call(f.ask(entry, imitator.PlainPath, "dropped")).Status == http.StatusNotFound
		}, forwardPatience, 10*time.Millisecond)
		require.Equal(t, http.StatusOK, f.call(f.ask(entry, imitator.OncePath, fmt.Sprint(entry))).Status)
	}
}

// A request crashes each endpoint that runs it, and its caller sends it again at any entry. After the second crash it
// must reach no endpoint any more, while other requests are served.
func TestContentThatCrashesEndpointsIsRefused(t *testing.T) {
	f := newFleet(t, 2)
	f.fail("plain", imitator.Crashing, -1)
	poison := f.ask(0, imitator.PlainPath+"poison", "poison-1")
	require.Equal(t, http.StatusBadGateway, f.call(poison).Status)
	require.Len(t, f.runs("poison-1"), 2)
	sound := f.site.Start("i-plain-2", "plain", imitator.Plain)
	for entry := range 2 {
		poison = f.ask(entry, imitator.PlainPath+"poison", fmt.Sprintf("again-%d", entry))
		require.Eventually(t, func() bool {
			reply := f.call(poison)
			return reply.Status == http.StatusServiceUnavailable && reply.RetryAfter == "60.00"
		}, forwardPatience, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return f.call(f.ask(1, imitator.PlainPath+"sound", "sound")).Status == http.StatusOK
	}, forwardPatience, 20*time.Millisecond)
	for _, run := range sound.Runs() {
		require.NotContains(t, run.Attempt, "again-1")
	}
}

// An entry stops while a request waits for a stage that nobody serves. Its caller hears that it has not run, and is not
// cut with the process.
func TestAPlannedStopAnswersWhatWaits(t *testing.T) {
	f := newFleet(t, 2)
	f.fail("encode", imitator.Full, -1)
	f.site.Routes[4]["TimeoutMs"] = 60_000
	f.site.Configure()
	a := f.ask(0, imitator.StagesPath, "waits")
	a.Pieces = "1,1"
	a.Timeout = time.Minute
	require.Eventually(t, func() bool {
		for _, nd := range f.nodes {
			if f.call(imitator.Request{Address: nd.callers, Path: "/none/", ID: "x"}).Status != http.StatusNotFound {
				return false
			}
		}
		return true
	}, forwardPatience, 10*time.Millisecond)
	time.AfterFunc(300*time.Millisecond, f.nodes[0].stop)
	reply := f.call(a)
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.Empty(t, f.runs("waits"))
}

// All endpoints of a stage are full for as long as the caller waits. Callers leave a stream without its first event after
// some objectives, long before their deadline: the refusal must come before that, or the caller waits for nothing and
// learns neither that its request has not run nor when to come back.
func TestAStreamThatCannotBeginIsToldBeforeItsCallerLeaves(t *testing.T) {
	f := newFleet(t, 1)
	f.fail("encode", imitator.Full, -1)
	f.site.Routes[4]["TimeoutMs"] = 60_000
	f.site.Configure()
	a := f.ask(0, imitator.StagesPath, "waits")
	a.Pieces = "1,1"
	a.Timeout = time.Minute
	ctx, leave := context.WithTimeout(t.Context(), 10*time.Second)
	defer leave()
	reply, err := a.Call(ctx)
	require.NoError(t, err, "the caller has left before it was told")
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.NotEmpty(t, reply.RetryAfter)
	require.Empty(t, f.runs("waits"))
}

// A caller asks for a long stream and reads none of it. After its deadline the endpoint's work must end, and the entry
// must hold nothing for it, although its write to the caller never comes to an end.
func TestACallerThatDoesNotReadHoldsNothing(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 2 {
		e := f.site.Endpoint(fmt.Sprintf("i-model-%d", i))
		e.Events, e.EventInterval, e.Padding = 1_000_000, 0, 4<<10
	}
	conn, err := net.Dial("tcp", f.nodes[0].callers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	a := f.ask(0, imitator.StreamPath, "unread")
	a.Timeout = 500 * time.Millisecond
	require.NoError(t, a.Send(t.Context(), conn))
	require.Eventually(t, func() bool {
		return f.site.Endpoint("i-model-0").CanceledRuns()+f.site.Endpoint("i-model-1").CanceledRuns() == 1
	}, forwardPatience, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		return f.metric(0, "geraniumline_forward_in_flight") == "0"
	}, forwardPatience, 50*time.Millisecond)
}

// All seeds that the settings name are gone for good when an entry starts. Its callers would be told of it alone, and it
// would collect pieces beside the others. It must find them by the addresses that they left in the platform's store, and
// they it.
func TestAnEntryWhoseSeedsAreGoneFindsItsPeers(t *testing.T) {
	f := newFleet(t, 2)
	f.startWith(startOptions{seedless: true})
	f.await()
}
