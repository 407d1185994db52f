package guarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/budgeter"
)

// idleServer serves requests and closes idle connections when a test asks it to.
type idleServer struct {
	admission *Admission
	url       string
	served    atomic.Int64
	// onActive is called when the server has read a request's head, before it takes the connection for active.
	onActive atomic.Pointer[func()]
}

func newIdleServer(t *testing.T) *idleServer {
	s := &idleServer{}
	address, admission := openAdmittedWith(t, budgeter.ForMemory(0), &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.served.Add(1) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			if f := s.onActive.Load(); f != nil && state == http.StateActive {
				(*f)()
			}
			AdmissionState(c, state)
		},
	})
	s.url, s.admission = "http://"+address, admission
	return s
}

// post sends a request that the client doesn't repeat by itself.
func (s *idleServer) post(client *http.Client) error {
	resp, err := client.Post(s.url, "", http.NoBody)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// newClient returns a client that keeps its connections until the test ends.
func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// closeIdle closes connections that have been idle for longer than a second, an hour from now.
func (s *idleServer) closeIdle() int {
	return s.admission.CloseIdle(time.Second, time.Now().Add(time.Hour))
}

// Guards against requests that are served, but whose response is lost, as their connection is closed as idle while they arrive.
func TestAConnectionIsNotClosedWhileARequestArrives(t *testing.T) {
	s := newIdleServer(t)
	client := newClient(t)
	require.NoError(t, s.post(client))
	closed := 0
	closeIdle := func() { closed += s.closeIdle() }
	s.onActive.Store(&closeIdle)
	require.NoError(t, s.post(client))
	require.Zero(t, closed)
	require.EqualValues(t, 2, s.served.Load())
}

// Guards against connections that stay open though they are idle, or are closed too early.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := newIdleServer(t)
	client := newClient(t)
	require.NoError(t, s.post(client))
	require.Eventually(t, func() bool { return s.admission.CloseIdle(0, time.Now()) == 1 }, 10*time.Second, time.Millisecond)
	// The client may not have noticed yet, and doesn't repeat its request.
	client.CloseIdleConnections()
	require.NoError(t, s.post(client), "on a new connection")
	require.Zero(t, s.admission.CloseIdle(time.Hour, time.Now()))
	conn, err := net.Dial("tcp", s.url[len("http://"):])
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return s.closeIdle() > 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a request that is read from a connection which has just expired.
func TestNothingIsReadFromAnExpiredConnection(t *testing.T) {
	now := time.Unix(1000, 0)
	var s idleState
	s.rest(now)
	require.False(t, s.expire(time.Second, now.Add(time.Second)))
	require.True(t, s.expire(time.Second, now.Add(2*time.Second)))
	require.False(t, s.wake())
	var woken idleState
	woken.rest(now)
	require.True(t, woken.wake())
	require.False(t, woken.expire(time.Second, now.Add(time.Hour)))
}

// Guards against a response that is cut since its request came with the one before it, so that nothing is read while it is served.
func TestAPipelinedRequestIsNotCutAsIdle(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	address, admission := openAdmittedWith(t, budgeter.ForMemory(0), &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			HoldOf(r.Context()).Enter(budgeter.Serving, time.Now())
			if r.URL.Path == "/second" {
				close(begun)
				<-end
			}
		}),
		ConnState: AdmissionState,
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: entry\r\n\r\nGET /second HTTP/1.1\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	<-begun
	closed := admission.CloseIdle(time.Second, time.Now().Add(time.Hour))
	close(end)
	require.Zero(t, closed)
	br := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}
