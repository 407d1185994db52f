package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is a fake endpoint on a raw TCP listener. It calls a test's serve function for each accepted connection.
type peer struct {
	address string
	dials   atomic.Int32
}

func newPeer(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{address: l.Addr().String()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.dials.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return p
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c := New(Config{})
	t.Cleanup(func() { c.CloseExpired(time.Now().Add(time.Hour)) })
	return c
}

const idHeader = "Attempt-Id"

func call(address, id string) *Call {
	return &Call{
		Address:    address,
		Method:     http.MethodPost,
		Target:     "/a//b%2Fc?q=1",
		Host:       "a.example",
		Header:     http.Header{idHeader: {id}},
		Body:       NewBody([]byte("body of " + id)),
		EchoHeader: idHeader,
	}
}

func reply(c net.Conn, id, extraHeader, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", idHeader, id, extraHeader, len(body), body)
}

func readRequest(br *bufio.Reader) (*http.Request, string, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

// echo responds to each request with the request's id.
func echo(c net.Conn, br *bufio.Reader) {
	for {
		r, _, err := readRequest(br)
		if err != nil {
			return
		}
		reply(c, r.Header.Get(idHeader), "", "response to "+r.Header.Get(idHeader))
	}
}

func do(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), call(address, id))
	if err != nil {
		return "", err
	}
	body, err := resp.ReadAll(NewBudget(0), 1<<10)
	return string(body), err
}

func TestRequestIsSentUnchanged(t *testing.T) {
	got := make(chan string, 1)
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		r, body, err := readRequest(br)
		if err != nil {
			return
		}
		got <- r.Method + " " + r.RequestURI + " " + r.Host + " " + body
		reply(c, "1", "", "x")
	})
	_, err := do(t, newClient(t), p.address, "1")
	require.NoError(t, err)
	require.Equal(t, "POST /a//b%2Fc?q=1 a.example body of 1", <-got)
}

func TestConnectionsAreReused(t *testing.T) {
	p := newPeer(t, echo)
	c := newClient(t)
	for i := range 5 {
		body, err := do(t, c, p.address, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("response to %d", i), body)
	}
	require.Equal(t, int32(1), p.dials.Load())
}

func TestConnectionsThatMustNotBeReused(t *testing.T) {
	for _, tc := range []struct{ name, extraHeader string }{
		{"Connection: close header", "Connection: close\r\n"},
		{"idle timeout below the margin", "Keep-Alive: timeout=0\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
				for {
					r, _, err := readRequest(br)
					if err != nil {
						return
					}
					reply(c, r.Header.Get(idHeader), tc.extraHeader, "x")
				}
			})
			c := newClient(t)
			for i := range 3 {
				_, err := do(t, c, p.address, fmt.Sprint(i))
				require.NoError(t, err)
			}
			require.Equal(t, int32(3), p.dials.Load())
		})
	}
}

// An endpoint sends its response twice. The duplicate precedes the response to the next request on the connection, and
// must not be returned for it.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get(idHeader)
			reply(c, id, "", "response to "+id)
			reply(c, id, "", "response to "+id)
		}
	})
	c := newClient(t)
	for i := range 10 {
		body, err := do(t, c, p.address, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("response to %d", i), body)
	}
}

// The duplicate response arrives only after the next request was sent on the connection.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		last := ""
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			if last != "" {
				reply(c, last, "", "response to "+last)
			}
			last = r.Header.Get(idHeader)
			reply(c, last, "", "response to "+last)
		}
	})
	c := newClient(t)
	for i := range 4 {
		body, err := do(t, c, p.address, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("response to %d", i), body)
	}
}

func TestBrokenResponses(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"},
		{"cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"},
		{"no response", ""},
		{"not HTTP", "garbage\r\n\r\n"},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
				if _, _, err := readRequest(br); err == nil {
					_, _ = io.WriteString(c, tc.text)
				}
			})
			_, err := do(t, newClient(t), p.address, "1")
			var exchange *ExchangeError
			require.ErrorAs(t, err, &exchange)
		})
	}
}

func TestResponseMayEndWithConnection(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		if _, _, err := readRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
		}
	})
	body, err := do(t, newClient(t), p.address, "1")
	require.NoError(t, err)
	require.Equal(t, "all of it", body)
}

// An endpoint responds to a long request before it has read it. The rest of the body must not be parsed as the next
// request, nor the next request as the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		reply(c, r.Header.Get(idHeader), "", "early")
		time.Sleep(50 * time.Millisecond)
	})
	c := newClient(t)
	for i := range 2 {
		long := call(p.address, fmt.Sprint(i))
		long.Body = NewBody(make([]byte, 16<<20))
		resp, err := c.Do(t.Context(), long)
		require.NoError(t, err)
		body, err := resp.ReadAll(NewBudget(0), 1<<10)
		require.NoError(t, err)
		require.Equal(t, "early", string(body))
	}
	require.Equal(t, int32(2), p.dials.Load())
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = do(t, newClient(t), address, "1")
	var unsent *UnsentError
	require.ErrorAs(t, err, &unsent)
	require.True(t, unsent.Refused())
	require.False(t, (&UnsentError{Err: context.DeadlineExceeded}).Refused())
}

// The endpoint closes an idle connection. The next request must be sent on a new connection, so that it is not lost.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		r, _, err := readRequest(br)
		if err != nil {
			return
		}
		reply(c, r.Header.Get(idHeader), "", "x")
		_ = c.Close()
		closed <- struct{}{}
	})
	c := newClient(t)
	for i := range 3 {
		_, err := do(t, c, p.address, fmt.Sprint(i))
		require.NoError(t, err)
		<-closed
		require.Eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.idle) == 0
		}, time.Second, time.Millisecond)
	}
}

func TestCancelledExchangeClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(_ net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient(t).Do(ctx, call(p.address, "1"))
	var exchange *ExchangeError
	require.ErrorAs(t, err, &exchange)
	require.ErrorIs(t, err, context.Canceled)
	<-closed
}

func TestKeepAliveTimeout(t *testing.T) {
	for _, tc := range []struct {
		header string
		want   time.Duration
		ok     bool
	}{
		{"timeout=5, max=100", 5 * time.Second, true},
		{"max=100", 0, false},
		{"timeout=x", 0, false},
		{"", 0, false},
	} {
		got, ok := keepAliveTimeout(tc.header)
		require.Equal(t, tc.ok, ok, tc.header)
		if ok {
			require.Equal(t, tc.want, got)
		}
	}
}

// Guards against bytes that arrived before a call was written and are taken for the response to it.
func TestBytesBeforeACallAreNoResponse(t *testing.T) {
	c := New(Config{})
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	stale := &conn{client: c, address: "a", netConn: client, idle: true, firstRead: make(chan error, 1), usableUntil: time.Now().Add(time.Minute)}
	stale.firstRead <- nil
	c.idle["a"] = []*conn{stale}
	fresh, other := net.Pipe()
	defer func() { _ = other.Close() }()
	c.cfg.Dial = func(context.Context, string, string) (net.Conn, error) { return fresh, nil }
	cn, err := c.acquire(t.Context(), "a")
	require.NoError(t, err)
	require.NotSame(t, stale, cn)
	cn.abort()
}

// Guards against a response without an ID that is taken for the answer to any request, once the endpoint has echoed IDs.
func TestAnEndpointThatEchoesIsNotBelievedWithout(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			if n == 0 {
				reply(c, r.Header.Get(idHeader), "", "first")
				continue
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		}
	})
	client := newClient(t)
	body, err := do(t, client, p.address, "1")
	require.NoError(t, err)
	require.Equal(t, "first", body)
	_, err = do(t, client, p.address, "2")
	var unmatched *UnmatchedResponseError
	require.ErrorAs(t, err, &unmatched)
}

// Guards against an endpoint without IDs whose responses fail because others echo them.
func TestAnEndpointThatNeverEchoesIsUsable(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, _, err := readRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := newClient(t)
	for _, id := range []string{"1", "2", "3"} {
		body, err := do(t, client, p.address, id)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, p.dials.Load())
}

// Guards against an endpoint that sends more than it is asked for, and whose late bytes meet the next call on their connection.
func TestConnectionsOfAnEndpointThatSentSurplusAreNotKept(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		r, _, err := readRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get(idHeader)
		if id == "1" {
			reply(c, "0", "", "late")
		}
		reply(c, id, "", "response to "+id)
		_, _ = br.ReadByte()
	})
	client := newClient(t)
	for i, id := range []string{"1", "2", "3"} {
		body, err := do(t, client, p.address, id)
		require.NoError(t, err)
		require.Equal(t, "response to "+id, body)
		require.EqualValues(t, i+1, p.dials.Load())
	}
}
