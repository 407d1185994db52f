package connector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxUnmatchedResponses limits the responses of other exchanges that are skipped before the expected one.
const maxUnmatchedResponses = 2

// conn is one connection to an endpoint.
type conn struct {
	client  *Client
	address string
	netConn net.Conn
	// limited reads from netConn, and br buffers what it reads.
	limited *limitedReader
	br      *bufio.Reader
	// idle is set between exchanges, while the connection is in the client's idle list. Client.mu guards it.
	idle        bool
	usableUntil time.Time
	// firstRead receives the result of the first read after an idle period; nil on a new connection.
	firstRead chan error
	// written receives the result of writing the request.
	written chan error
	// echoes is set once the endpoint has echoed the ID of a call.
	echoes bool
}

// abort closes the connection. Pending reads and writes fail.
func (cn *conn) abort() { _ = cn.netConn.Close() }

// watchIdle reads ahead while the connection is idle, and closes it if the endpoint closes it or sends bytes that belong
// to no request. Otherwise the next request would be lost or would receive the response of another exchange.
func (cn *conn) watchIdle() {
	_, err := cn.br.Peek(1)
	if cn.client.removeIdle(cn) {
		if err == nil {
			cn.client.recordSurplus(cn.address, time.Now())
		}
		cn.abort()
		return
	}
	cn.firstRead <- err
}

// spoiled reports whether the endpoint has closed the connection, or sent bytes on it, since the last exchange. Nothing of the
// next one has been sent yet.
func (cn *conn) spoiled() bool { return len(cn.firstRead) > 0 }

// send writes the request. Long bodies are written concurrently with reading the response.
func (cn *conn) send(call *Call) {
	cn.written = make(chan error, 1)
	length := call.Body.Len()
	head := encodeHead(call, length)
	if length < concurrentWriteBytes {
		for _, block := range call.Body {
			head = append(head, block...)
		}
		_, err := cn.netConn.Write(head)
		cn.written <- err
		return
	}
	go func() {
		parts := append(net.Buffers{head}, call.Body...)
		_, err := parts.WriteTo(cn.netConn)
		cn.written <- err
	}()
}

// awaitSent waits until the request has been written, and returns the error of that.
func (cn *conn) awaitSent() error {
	err := <-cn.written
	cn.written <- err
	return err
}

// encodeHead returns the encoded request up to its body, with room for a short body.
func encodeHead(call *Call, length int) []byte {
	var b bytes.Buffer
	b.Grow(min(length, concurrentWriteBytes) + 1<<10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	_ = call.Header.Write(&b) // a bytes.Buffer never returns an error
	if length > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// UnmatchedResponseError reports that a connection carried responses that don't match the current request.
type UnmatchedResponseError struct{}

func (*UnmatchedResponseError) Error() string { return "response belongs to another exchange" }

// receive reads the header of the response to the call. It skips late responses of earlier exchanges.
func (cn *conn) receive(call *Call) (*http.Response, error) {
	if cn.firstRead != nil {
		if err := <-cn.firstRead; err != nil {
			return nil, err
		}
	}
	req := &http.Request{Method: call.Method}
	defer cn.limited.setLimit(0)
	for range maxUnmatchedResponses + 1 {
		cn.limited.setLimit(maxHeadBytes)
		resp, err := readResponse(cn.br, req)
		if err != nil {
			return nil, err
		}
		if call.lacksEcho(resp) && cn.echoes && resp.StatusCode < http.StatusMultipleChoices {
			// An endpoint that echoes IDs does so in all its answers. Refusals are taken without, as they hold no result.
			cn.client.recordSurplus(cn.address, time.Now())
			return nil, &UnmatchedResponseError{}
		}
		if call.matches(resp) {
			cn.echoes = cn.echoes || !call.lacksEcho(resp)
			return resp, nil
		}
		cn.client.recordSurplus(cn.address, time.Now())
		if resp.Close {
			return nil, &UnmatchedResponseError{}
		}
		cn.limited.setLimit(maxSkippedBytes)
		_, err = io.Copy(io.Discard, resp.Body)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return nil, err
		}
	}
	return nil, &UnmatchedResponseError{}
}

// readResponse reads the next response and skips informational (1xx) ones other than 101.
func readResponse(br *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// matches reports whether the response may belong to the call.
func (c *Call) matches(resp *http.Response) bool {
	if c.EchoHeader == "" {
		return true
	}
	echoed := resp.Header.Get(c.EchoHeader)
	return echoed == "" || echoed == c.Header.Get(c.EchoHeader)
}

// lacksEcho reports whether the response doesn't say to which call it belongs.
func (c *Call) lacksEcho(resp *http.Response) bool {
	return c.EchoHeader == "" || resp.Header.Get(c.EchoHeader) == ""
}

// release returns the connection to the idle ones after a complete response, or closes it if it can't be reused.
func (cn *conn) release(resp *http.Response, now time.Time) {
	var fullySent bool
	select {
	case err := <-cn.written:
		fullySent = err == nil
	default:
		// The endpoint responded before it received the whole request. It would read the remaining bytes as the
		// rest of this body or as the next request, so the connection can't be reused.
	}
	if cn.br.Buffered() > 0 {
		cn.client.recordSurplus(cn.address, now)
	}
	if !fullySent || resp.Close || cn.client.sendsSurplus(cn.address, now) {
		cn.abort()
		return
	}
	cn.usableUntil = now.Add(cn.client.cfg.IdleTimeout)
	if timeout, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		cn.usableUntil = now.Add(timeout - idleMargin)
	}
	if !now.Before(cn.usableUntil) {
		cn.abort()
		return
	}
	cn.client.addIdle(cn)
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, the time for which the endpoint keeps idle
// connections open, and whether there is a valid one.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
