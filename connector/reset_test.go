package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// resetConn is a connection that its peer resets after a response without a length, while the request is being sent. The
// kernel reports a reset once: here to the write, so that reads find the end of the stream.
type resetConn struct {
	net.Conn
	response io.Reader
	reset    chan struct{}
	once     sync.Once
}

func (c *resetConn) Write([]byte) (int, error) {
	<-c.reset
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err != nil {
		c.once.Do(func() { close(c.reset) })
	}
	return n, err
}

func (*resetConn) Close() error { return nil }

// Guards against a response without a length that is taken for complete because the write of the request, not the read of
// the response, got the error of a reset.
func TestAResetDuringTheRequestBreaksOffTheResponse(t *testing.T) {
	c := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		return &resetConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhalf of the"), reset: make(chan struct{})}, nil
	}})
	long := call("endpoint", "1")
	long.Body = NewBody(make([]byte, concurrentWriteBytes))
	resp, err := c.Do(t.Context(), long)
	require.NoError(t, err)
	_, err = resp.ReadAll(NewBudget(0), 1<<10)
	var broken *ExchangeError
	require.ErrorAs(t, err, &broken)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against losing whole responses without a length whose endpoint closes the connection while the end of the write
// of the request is not noticed yet.
func TestAResponseWithoutALengthIsWholeAfterALongRequest(t *testing.T) {
	p := newPeer(t, func(c net.Conn, br *bufio.Reader) {
		if _, _, err := readRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nthe whole")
		}
	})
	for range 20 {
		long := call(p.address, "1")
		long.Body = NewBody(make([]byte, 1<<20))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		resp, err := newClient(t).Do(ctx, long)
		require.NoError(t, err)
		body, err := resp.ReadAll(NewBudget(0), 1<<10)
		require.NoError(t, err)
		require.Equal(t, "the whole", string(body))
		cancel()
	}
}
