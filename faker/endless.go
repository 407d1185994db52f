package faker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// endlessChunk is the least number of bytes of one write, so that a client is not slowed down by small ones.
const endlessChunk = 1 << 10

// Endless is an HTTP server that answers a request with Beginning and then repeats Repeated until the client closes the
// connection.
type Endless struct {
	Beginning, Repeated string
	sent                atomic.Int64
	connections         sync.WaitGroup
}

// Dial connects to the server. The connection has no buffer, so that Sent counts the bytes that the client has read.
func (e *Endless) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	e.connections.Go(func() { e.serve(server) })
	return client, nil
}

func (e *Endless) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, e.Beginning)
	chunk := strings.Repeat(e.Repeated, max(1, endlessChunk/len(e.Repeated)))
	for err == nil {
		var n int
		n, err = io.WriteString(conn, chunk)
		e.sent.Add(int64(n))
	}
}

// Sent waits until the client has closed all connections, and returns the number of bytes sent after Beginning.
func (e *Endless) Sent() int64 {
	e.connections.Wait()
	return e.sent.Load()
}
