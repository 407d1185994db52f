package assembler

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

const (
	// testStopTime is the time for a planned stop in these tests, and testAddressTTL how long callers may cache addresses.
	testStopTime   = 6 * time.Second
	testAddressTTL = 300 * time.Millisecond
)

// startStopping starts an entry whose planned stop is short.
func (f *fleet) startStopping(o startOptions) int {
	f.t.Helper()
	o.stopTime, o.addressTTL = cmp.Or(o.stopTime, testStopTime), testAddressTTL
	f.startWith(o)
	f.awaitReady()
	return len(f.nodes) - 1
}

// newStoppingFleet returns a fleet of two entries and the number of the one whose planned stop takes stopTime at most. Requests
// may take as long as a minute.
func newStoppingFleet(t *testing.T, stopTime time.Duration) (*fleet, int) {
	t.Helper()
	site := imitator.NewSite()
	site.SetTimeouts(time.Minute)
	site.Configure()
	f := newFleetAt(t, site, 1)
	return f, f.startStopping(startOptions{stopTime: stopTime})
}

// reply is what a caller received, or the error with which its connection ended.
type reply struct {
	imitator.Response
	err error
}

// callAsync sends a request, and returns where its reply will be found.
func (f *fleet) callAsync(ctx context.Context, request imitator.Request) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		response, err := request.Call(ctx)
		replies <- reply{response, err}
	}()
	return replies
}

// awaitRuns waits until endpoints run all requests.
func (f *fleet) awaitRuns(ids ...string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, id := range ids {
			if len(f.runs(id)) == 0 {
				return false
			}
		}
		return true
	}, waitTimeout, 5*time.Millisecond)
}

// Guards against requests that a stopping entry takes when it can't be sure any more to see them answered.
func TestAPlannedStopRefusesLateRequests(t *testing.T) {
	f, entry := newStoppingFleet(t, 2*waitTimeout)
	// A stream in flight keeps the entry from stopping as soon as nothing arrives.
	f.injectFault("model", imitator.Hanging, 2)
	ctx, release := context.WithCancel(t.Context())
	defer release()
	held := f.callAsync(ctx, f.newRequest(entry, imitator.StreamPath, "held"))
	f.awaitRuns("held")
	f.injectFault("model", imitator.Healthy, 0)
	kept := make([]*http.Client, 3)
	for i := range kept {
		kept[i] = &http.Client{Transport: &http.Transport{}}
		reply, err := f.newRequest(entry, imitator.PlainPath, fmt.Sprint("kept-", i)).CallWith(t.Context(), kept[i])
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, reply.Status)
		require.False(t, reply.Closing)
	}

	f.nodes[entry].stop()
	n := 0
	require.Eventually(t, func() bool {
		n++
		reply, err := f.newRequest(entry, imitator.OncePath, fmt.Sprint("once-", n)).Call(t.Context())
		require.NoError(t, err, "the entry ended before it refused a request")
		return reply.Status == http.StatusServiceUnavailable
	}, waitTimeout, 10*time.Millisecond)
	for i, path := range []string{imitator.PlainPath, imitator.OncePath, imitator.StreamPath, imitator.ResumePath, imitator.StagesPath} {
		request := f.newRequest(entry, path, fmt.Sprint("late-", i))
		request.Pieces = "3,5"
		request.Body = strings.Repeat("body", 100)
		refused := f.call(request)
		require.Equal(t, http.StatusServiceUnavailable, refused.Status, path)
		require.NotEmpty(t, refused.RetryAfter)
		require.True(t, refused.Closing)
		require.Empty(t, f.runs(request.ID))
	}
	for i, client := range kept {
		id := fmt.Sprint("kept-late-", i)
		reply, err := f.newRequest(entry, imitator.OncePath, id).CallWith(t.Context(), client)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, reply.Status)
		require.Empty(t, f.runs(id))
	}
	require.Equal(t, http.StatusOK, f.call(f.newRequest(0, imitator.OncePath, "elsewhere")).Status)
	release()
	require.ErrorIs(t, (<-held).err, context.Canceled)
}

// Guards against requests that the end of a planned stop cuts without an answer, and against answers that promise too much.
func TestAPlannedStopAnswersEveryRequest(t *testing.T) {
	f, entry := newStoppingFleet(t, testStopTime)
	for i := range 2 {
		e := f.site.Endpoint(fmt.Sprintf("i-model-%d", i))
		e.Events, e.EventInterval = 100_000, 10*time.Millisecond
	}
	begun := f.callAsync(t.Context(), f.newRequest(entry, imitator.StreamPath, "begun"))
	f.awaitRuns("begun")
	f.injectFault("plain", imitator.Hanging, -1)
	f.injectFault("model", imitator.Hanging, -1)
	running := make(map[string]<-chan reply)
	var ids []string
	for _, path := range []string{imitator.PlainPath, imitator.OncePath, imitator.StreamPath, imitator.ResumePath, imitator.StagesPath} {
		request := f.newRequest(entry, path, "runs"+path)
		request.Pieces = "3,5"
		running[path] = f.callAsync(t.Context(), request)
		ids = append(ids, request.ID)
	}
	f.awaitRuns(ids...)
	unread := f.newRequest(entry, imitator.OncePath, "unread")
	conn, err := net.Dial("tcp", f.nodes[entry].callers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()

	f.nodes[entry].stop()
	// Sent late enough to be in the middle of its body at the end, as reading a body has a limit of its own.
	_, err = fmt.Fprintf(conn, "%sContent-Length: 100\r\n\r\nhalf", unread.Head())
	require.NoError(t, err)
	for path, replies := range running {
		reply := <-replies
		require.NoError(t, reply.err, path)
		require.False(t, reply.Truncated, path)
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, reply.Status, path)
	}
	for _, path := range []string{imitator.OncePath, imitator.StreamPath, imitator.StagesPath} {
		require.Len(t, f.runs("runs"+path), 1, path)
	}
	reply := <-begun
	require.NoError(t, reply.err)
	require.Equal(t, http.StatusOK, reply.Status)
	require.True(t, reply.Truncated, "a stream that is broken off must not look complete")
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(text, []byte("HTTP/1.1 503 ")), "%q", text)
	require.Empty(t, f.runs("unread"))
}

// Guards against calls that a peer relays and cuts off at the end of its planned stop, and that are then taken for not run.
func TestAPlannedStopAnswersRelayedCalls(t *testing.T) {
	for name, stopsRelaying := range map[string]bool{"at the peer that relays": true, "at the entry that has calls relayed": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetAt(t, imitator.NewSite(), 0)
			f.site.SetTimeouts(time.Minute)
			f.site.Configure()
			relaying := f.startStopping(startOptions{})
			p := newPartition()
			partitioned := f.startStopping(startOptions{partition: p})
			p.set(resetting)
			require.Eventually(t, func() bool {
				return f.served(partitioned, "before") && f.metric(partitioned, "geraniumline_partitioned") == "1"
			}, waitTimeout, time.Millisecond)
			f.injectFault("plain", imitator.Hanging, -1)
			f.injectFault("model", imitator.Hanging, -1)
			running := make(map[string]<-chan reply)
			for _, path := range []string{imitator.OncePath, imitator.StreamPath} {
				running[path] = f.callAsync(t.Context(), f.newRequest(partitioned, path, "runs"+path))
			}
			f.awaitRuns("runs"+imitator.OncePath, "runs"+imitator.StreamPath)
			stopping := partitioned
			if stopsRelaying {
				stopping = relaying
			}
			f.nodes[stopping].stop()
			for path, replies := range running {
				reply := <-replies
				require.NoError(t, reply.err, path)
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, reply.Status, path)
				require.Len(t, f.runs("runs"+path), 1, path)
			}
		})
	}
}

// crossingListener accepts connections on which the end of a request header arrives just as they are closed.
type crossingListener struct {
	net.Listener
	// crossed counts the connections that were closed while the end of a header was being read.
	crossed sync.WaitGroup
}

// crossingEnd marks the last part of a header that crosses a close.
const crossingEnd = "X-Crosses: 1"

func (l *crossingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossingConn{Conn: conn, listener: l, closed: make(chan struct{})}, nil
}

type crossingConn struct {
	net.Conn
	listener *crossingListener
	once     sync.Once
	closed   chan struct{}
}

// Read holds back the end of the header, which the kernel has already delivered, until the connection is closed.
func (c *crossingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if bytes.Contains(b[:n], []byte(crossingEnd)) {
		c.listener.crossed.Done()
		<-c.closed
	}
	return n, err
}

func (c *crossingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against requests that are passed on although their connection was closed as idle while their header was read.
func TestAPlannedStopPassesOnNothingFromIdleConnections(t *testing.T) {
	const connections = 16
	f := newFleet(t, 1)
	crossing := &crossingListener{}
	crossing.crossed.Add(connections)
	entry := f.startStopping(startOptions{wrapCallers: func(l net.Listener) net.Listener {
		crossing.Listener = l
		return crossing
	}})
	for i := range connections {
		conn, err := net.Dial("tcp", f.nodes[entry].callers)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, f.newRequest(entry, imitator.OncePath, fmt.Sprint("first-", i)).Send(t.Context(), conn))
		_, err = conn.Read(make([]byte, 1))
		require.NoError(t, err, "connection %d", i)
		head := f.newRequest(entry, imitator.OncePath, fmt.Sprint("crossing-", i)).Head()
		_, err = io.WriteString(conn, head)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond) // so that the end of the header arrives with a read of its own
		_, err = io.WriteString(conn, crossingEnd+"\r\nContent-Length: 4\r\n\r\nbody")
		require.NoError(t, err)
	}
	crossing.crossed.Wait()
	f.nodes[entry].stop()
	require.NoError(t, <-f.nodes[entry].done)
	f.nodes[entry].done <- nil
	for i := range connections {
		require.Empty(t, f.runs(fmt.Sprint("crossing-", i)))
	}
}
