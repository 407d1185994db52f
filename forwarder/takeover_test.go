package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/connector"
	"geraniumline/quarantiner"
	"geraniumline/selector"
)

// callWire encodes calls, and takes status 503 for a refusal.
type callWire struct{ noWire }

func (callWire) CallHeader(http.Header, CallInfo) http.Header { return http.Header{} }

func (callWire) EchoHeader() string { return "" }

func (callWire) ReadResponse(status int, _ http.Header) ResponseInfo {
	return ResponseInfo{NotRun: status == http.StatusServiceUnavailable}
}

// respondWith makes each endpoint of the forwarder send a response to every call; it is silent if the response is empty.
func respondWith(f *Forwarder, response string) {
	f.cfg.Wire = callWire{}
	f.cfg.Client = connector.New(connector.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.WriteString(far, response)
			_, _ = io.Copy(io.Discard, io.MultiReader(r.Body, far))
		}()
		return near, nil
	}})
}

// Guards against a request that is taken from a silent endpoint although no other one takes it: a response that has begun would
// be broken off, and the caller of another one would be told that it may have run and never get the answer.
func TestASilentEndpointIsLeftOnlyForOneThatTakesTheRequest(t *testing.T) {
	for _, tc := range []struct {
		name, response string
		left           bool
	}{
		{"the other one is silent too", "", true},
		{"the other one answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		{"the other one refuses", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
		{"the other one fails", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false},
		{"the other one sends no response", "nothing\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSilentExchange(t, tc.response)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				watch := x.watchPlain(cancel)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				require.Equal(t, tc.left, ctx.Err() != nil)
				next := watch.stop()
				require.Equal(t, tc.left, next != nil)
				x.dropAttempt(next)
				x.f.cfg.Client.CloseExpired(time.Now().Add(time.Hour))
			})
		})
	}
}

// Guards against a silent endpoint that is left for one that can't be connected to.
func TestASilentEndpointIsNotLeftForAnUnreachableOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSilentExchange(t, "")
		x.f.cfg.Client = connector.New(connector.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		watch := x.watchPlain(cancel)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.NoError(t, ctx.Err())
		require.Nil(t, watch.stop())
		require.Equal(t, 1, x.attempts, "nothing was sent")
		require.Zero(t, x.runs)
	})
}

// newSilentExchange returns a request that a silent endpoint has, beside others that respond in one way.
func newSilentExchange(t *testing.T, response string) *exchange {
	m := newMesh(t, 1)
	m.setEndpoints("a", "b")
	x := newExchange(m.nodes["entry-0"], 0)
	respondWith(x.f, response)
	x.in = httptest.NewRequest(http.MethodPost, "/", strings.NewReader(""))
	x.attempts, x.tried = 1, []string{"a"}
	return x
}

// newSilentStream returns a resumable stream with parts of prompts at a silent endpoint beside others, and its takeover.
func newSilentStream(ctx context.Context, t *testing.T, cancel context.CancelFunc, parts ...quarantiner.Part) (*streamer, *takeover) {
	x := newSilentExchange(t, "")
	x.ctx, x.parts = ctx, parts
	x.route = &cataloger.Route{Kind: cataloger.Streaming, Resumable: true, MaxAttempts: 2, Objective: time.Second}
	x.firstEventDeadline = time.Now().Add(4 * time.Second)
	s := &streamer{x: x, stages: newStageRunner(x)}
	return s, s.watchSilence(cancel, selector.Choice{}, time.Now())
}

// Guards against two endpoints that work on a request for long, after the silent one went on.
func TestAnEndpointThatGoesOnKeepsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, watch := newSilentStream(ctx, t, cancel)
		time.Sleep(minStallTime + takeoverOverlap/2)
		synctest.Wait()
		require.True(t, watch.receiving())
		watch.settle()
		watch.received(s.stallTimeout(), time.Now())
		synctest.Wait()
		require.NoError(t, ctx.Err())
		require.Nil(t, watch.stop())
		require.Equal(t, 1, s.x.runs, "the other endpoint may have begun")
	})
}

// Guards against a stream that is broken off because its silent endpoint fails while another one is being asked.
func TestAFailedEndpointHandsOverToTheOneThatIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, watch := newSilentStream(ctx, t, cancel)
		time.Sleep(minStallTime + takeoverOverlap/2)
		next := watch.handOver()
		require.NotNil(t, next)
		require.Zero(t, s.x.runs)
		s.x.dropAttempt(next)
	})
}

// Guards against events of a silent endpoint that reach the caller after another one has taken the stream, which may be of
// another software version.
func TestNothingIsReceivedFromAnEndpointThatWasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, watch := newSilentStream(ctx, t, cancel)
		time.Sleep(minStallTime + 2*takeoverOverlap)
		synctest.Wait()
		require.False(t, watch.receiving())
		s.x.dropAttempt(watch.handOver())
	})
}

// Guards against requests with a part of prompts that crashes endpoints, which takeovers send on to others.
func TestARequestWithACrashingPartIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, watch := newSilentStream(ctx, t, cancel, 1)
		s.x.f.withLock(func() []func() {
			for _, id := range []string{"c", "d", "e", "f", "g"} {
				s.x.f.parts.RecordCrash(s.x.parts, quarantiner.ProcessOf(id, time.Now()), time.Now())
			}
			return nil
		})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.NoError(t, ctx.Err())
		require.Nil(t, watch.stop())
		require.Equal(t, 1, s.x.attempts)
	})
}
