package guarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/budgeter"
	"geraniumline/meter"
)

// openAdmitted serves a handler on the connections of an Admission until the test ends.
func openAdmitted(t *testing.T, budget budgeter.Config, handler http.HandlerFunc) (string, *Admission) {
	t.Helper()
	return openAdmittedWith(t, budget, &http.Server{Handler: handler, ConnState: AdmissionState})
}

func openAdmittedWith(t *testing.T, budget budgeter.Config, server *http.Server) (string, *Admission) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := NewAdmission(AdmissionConfig{Socket: "caller", Budget: budget, Meter: meter.New(), Log: zap.NewNop()})
	server.ConnContext = FramingContext
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(FramingListener(a.Listener(l)))
	}()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		<-done
	})
	return l.Addr().String(), a
}

// lingerTime is how long net/http's goroutine of a connection may live after an early response.
const lingerTime = time.Second

// Guards against a refusal that its caller never reads, since the connection is reset while the caller still sends its body.
func TestARefusalIsReadWhileTheBodyIsSent(t *testing.T) {
	address, _ := openAdmitted(t, budgeter.ForMemory(0), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	})
	for range 20 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 1000000\r\n\r\n")
		require.NoError(t, err)
		_, err = conn.Write(make([]byte, 64<<10))
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		require.NoError(t, conn.Close())
	}
	time.Sleep(lingerTime)
}

// Guards against memory that stays counted after a connection has been closed, or after its request has ended.
func TestWhatARequestHeldIsGivenBack(t *testing.T) {
	address, a := openAdmitted(t, budgeter.ForMemory(0), func(w http.ResponseWriter, r *http.Request) {
		if HoldOf(r.Context()).Grow(1000, time.Now()) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	held := func() int64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.ledger.Bytes()
	}
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	br := bufio.NewReader(conn)
	for range 3 {
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Eventually(t, func() bool { return held() == budgeter.ConnectionBytes }, 10*time.Second, time.Millisecond)
	}
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return held() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a process that holds what callers send ahead while their first request is being served.
func TestACallerThatSendsAheadIsCounted(t *testing.T) {
	serving, release := make(chan struct{}), make(chan struct{})
	address, a := openAdmitted(t, budgeter.ForMemory(0), func(_ http.ResponseWriter, r *http.Request) {
		HoldOf(r.Context()).Enter(budgeter.Serving, time.Now())
		close(serving)
		<-release
	})
	defer close(release)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	<-serving
	_, err = conn.Write(make([]byte, 8<<10))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.ledger.Bytes() >= budgeter.ConnectionBytes+socketBuffer
	}, 10*time.Second, time.Millisecond)
}
